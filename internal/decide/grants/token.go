package grants

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-jose/go-jose/v4"

	"cherryramp/internal/decide/keyring"
)

// signatureState is the state of a token's signature.
type signatureState uint8

const (
	unverified signatureState = iota
	pending                   // a PendingSignature was handed out
	genuine
	forged
)

// token is a parsed credential with the state of its signature.
type token struct {
	profile          *Profile
	key              *keyring.Key // nil until verified, if the token doesn't name its key
	state            signatureState
	notBefore        Micros // 0: always
	expires          Micros // 0: never
	subject          string
	id               string
	data             string
	signed           string   // the part of the signed text that identifies the token
	mac              [64]byte // of EdgeAuth
	scope            scope
	networks         []netip.Prefix // empty: any
	renew            *renewal
	pendingSignature PendingSignature
	verify           func() *keyring.Key // of keyed digests: returns the matching key or nil
	entry            *entry              // in the verdict cache
}

// costly reports whether the signature is to be verified as a PendingSignature. It
// is valid only before verifyMAC.
func (t *token) costly() bool { return t.verify == nil }

// verifyMAC verifies a keyed digest and sets the token's key.
func (t *token) verifyMAC() bool {
	t.key = t.verify()
	t.verify = nil
	return t.key != nil
}

// resolve records whether the signature is genuine, and returns that.
func (t *token) resolve(good bool) bool {
	if t.state = forged; good {
		t.state = genuine
	}
	t.pendingSignature = PendingSignature{token: t} // frees the inputs of the verification
	return good
}

// allowsAddress reports whether a client address may use the token.
func (t *token) allowsAddress(peer netip.Addr) bool {
	if len(t.networks) == 0 {
		return true
	}
	peer = peer.Unmap().WithZone("")
	for _, n := range t.networks {
		if n.Contains(peer) {
			return true
		}
	}
	return false
}

// scope is the set of URLs that a token covers. The zero value is the URL that the
// signature itself covers.
type scope struct {
	kind    scopeKind
	pattern string
	regex   *regexp.Regexp
	hash    []byte
}

type scopeKind uint8

const (
	signedURL    scopeKind = iota
	anyPath                // the format covers no path
	pathPatterns           // path patterns, separated by '!'
	urlPrefix              // prefix of the URL without its query
	urlPattern             // one pattern for the whole URL
	urlRegex               // regular expression for the whole URL
	urlHash                // SHA-256 digest of the whole URL
	exactPath              // the path itself
	noURL                  // covers nothing
)

// coversURL reports whether the request's URL is in the token's scope.
func (t *token) coversURL(cred *credential) bool {
	switch t.scope.kind {
	case signedURL, anyPath:
		return true
	case pathPatterns:
		return matchesAny(t.scope.pattern, cred.path)
	case urlPrefix:
		url := cred.url(t.profile.BaseURL)
		return strings.HasPrefix(string(url[:len(t.profile.BaseURL)+len(cred.path)]), t.scope.pattern)
	case urlPattern:
		return matchesPattern(t.scope.pattern, cred.url(t.profile.BaseURL))
	case urlRegex:
		return t.scope.regex.Match(cred.url(t.profile.BaseURL))
	case urlHash:
		return matchesHash(t.scope.hash, cred.url(t.profile.BaseURL))
	case exactPath:
		return t.scope.pattern == cred.path
	}
	return false
}

// PendingSignature is a signature that is costly to verify. Verify may run on any
// goroutine, concurrently with the ProfileSet, since nothing else uses its data.
type PendingSignature struct {
	token     *token
	publicKey crypto.PublicKey
	hash      crypto.Hash
	message   []byte // for Ed25519 the message, otherwise its digest by hash
	signature []byte
	jws       *jose.JSONWebSignature
}

// Tenant returns the owner of the link, by the profile of the claimed key.
func (p *PendingSignature) Tenant() string { return p.token.profile.Tenant }

// Verify reports whether the signature is genuine.
func (p *PendingSignature) Verify() bool {
	if p.jws != nil {
		_, err := p.jws.Verify(p.publicKey)
		return err == nil
	}
	switch key := p.publicKey.(type) {
	case *rsa.PublicKey:
		return rsa.VerifyPKCS1v15(key, p.hash, p.message, p.signature) == nil
	case *ecdsa.PublicKey:
		return ecdsa.VerifyASN1(key, p.message, p.signature)
	case ed25519.PublicKey:
		return ed25519.Verify(key, p.message, p.signature)
	}
	return false
}

// parseSeconds parses a Unix time in seconds, which must be all digits.
func parseSeconds(s string) (Micros, bool) {
	if s == "" || len(s) > maxTimeDigits {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n * 1_000_000, err == nil && n > 0
}

// matchesAny reports whether a path matches one of the patterns, which are
// separated by '!'.
func matchesAny(patterns, path string) bool {
	for more := true; more; {
		var pattern string
		if pattern, patterns, more = strings.Cut(patterns, "!"); matchesPattern(pattern, path) {
			return true
		}
	}
	return false
}

// matchesPattern reports whether s matches a pattern, in which '*' matches any
// sequence of bytes and '?' any one byte. It backtracks to the last '*' only, so
// its time is bounded by the product of the two lengths.
func matchesPattern[T string | []byte](pattern string, s T) bool {
	patternPos, pos, star, restart := 0, 0, -1, 0
	for pos < len(s) {
		switch {
		case patternPos < len(pattern) && pattern[patternPos] == '*':
			star, restart = patternPos, pos
			patternPos++
		case patternPos < len(pattern) && (pattern[patternPos] == '?' || pattern[patternPos] == s[pos]):
			patternPos++
			pos++
		case star >= 0:
			restart++
			patternPos, pos = star+1, restart
		default:
			return false
		}
	}
	return strings.Trim(pattern[patternPos:], "*") == ""
}

// parseNetworks parses addresses and prefixes (RFC 4632, RFC 4291).
func parseNetworks(list []string) ([]netip.Prefix, bool) {
	var networks []netip.Prefix
	for _, text := range list {
		n, err := netip.ParsePrefix(text)
		if err != nil {
			a, err := netip.ParseAddr(text)
			if err != nil || a.Zone() != "" {
				return nil, false
			}
			n = netip.PrefixFrom(a, a.BitLen())
		}
		if n.Addr().Is4In6() {
			return nil, false // can't match, since client addresses are unmapped
		}
		networks = append(networks, n.Masked())
	}
	return networks, true
}

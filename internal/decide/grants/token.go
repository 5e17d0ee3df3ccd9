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

// state is what is known of a token's signature.
type signatureState uint8

const (
	unverified signatureState = iota
	pending                   // a Proof of it is out
	genuine
	forged
)

// token is what a credential says, and what is known of its signature.
type token struct {
	profile          *Profile
	key              *keyring.Key // nil until a nameless key was found
	state            signatureState
	notBefore        Micros // 0: always
	expires          Micros // 0: never
	subject          string
	id               string
	data             string
	signed           string   // what the signature covers, as far as it tells this token from others
	mac              [64]byte // of keyed digests
	scope            scope
	networks         []netip.Prefix // empty: any
	renew            *renewal
	pendingSignature PendingSignature
	verify           func() *keyring.Key // of keyed digests: the key under which it is genuine
	entry            *entry              // in the memory of verdicts
}

func (t *token) costly() bool { return t.verify == nil }

func (t *token) verifyMAC() bool {
	t.key = t.verify()
	t.verify = nil
	return t.key != nil
}

func (t *token) resolve(good bool) bool {
	if t.state = forged; good {
		t.state = genuine
	}
	t.pendingSignature = PendingSignature{token: t} // what it was checked with is of no more use
	return good
}

// takes tells whether an address may use the token.
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

// scope is the URLs that a token lets in. The zero one holds for the URL that
// the signature itself covers.
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
	pathPatterns           // patterns parted by '!', of paths
	urlPrefix              // plain text that the URL without its query begins with
	urlPattern             // one pattern of the whole URL
	urlRegex               // an expression that the whole URL fits
	urlHash                // the digest of the whole URL
	exactPath              // the path itself
	noURL                  // covers nothing
)

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

// Proof is a signature whose check takes long. It is plain data and shared with
// nobody, so that Check may run on any goroutine, beside its set.
type PendingSignature struct {
	token     *token
	publicKey crypto.PublicKey
	hash      crypto.Hash
	message   []byte // of Ed25519; else its digest under hash
	signature []byte
	jws       *jose.JSONWebSignature
}

// Tenant is whose link it claims to be.
func (p *PendingSignature) Tenant() string { return p.token.profile.Tenant }

// Check tells whether the signature is genuine.
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

// seconds reads a Unix time of digits alone.
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

// covers tells whether one of the patterns, parted by '!', fits a path; '*'
// stands for any run of signs and '?' for one.
func matchesAny(patterns, path string) bool {
	for more := true; more; {
		var pattern string
		if pattern, patterns, more = strings.Cut(patterns, "!"); matchesPattern(pattern, path) {
			return true
		}
	}
	return false
}

// matches goes back only to the last '*', so it takes no more than the product
// of the two lengths.
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

// nets reads addresses and prefixes (RFC 4632, RFC 4291).
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
			return nil, false // it could never hold an address as it is compared
		}
		networks = append(networks, n.Masked())
	}
	return networks, true
}

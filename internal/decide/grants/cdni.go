package grants

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/go-jose/go-jose/v4"

	"cherryramp/internal/decide/keyring"
)

// cdni is CDNI URI Signing (RFC 9246): a signed JWT in the query, in a path
// parameter or in a cookie. A token may ask for its renewal: the response then
// sets a cookie with the next token.
//
// The key is selected from the profile's ring by kid. The token's alg must equal
// the key's algorithm and never selects one. The URI container, cdniuc, is
// required. A regular expression must match the whole URI; the engine takes time
// linear in the length of the URI. cdniip and sub are encrypted with a secret of
// the ring (RFC 7516, direct).
type cdni struct{}

// DefaultCDNITokenName is the usual name of the query parameter, path parameter or
// cookie that carries the token.
const DefaultCDNITokenName = "URISigningPackage"

var cdniAlgorithms = []jose.SignatureAlgorithm{jose.HS256, jose.RS256, jose.ES256, jose.EdDSA}

func (cdni) fieldNames(p *Profile) fieldNames {
	n := fieldNames{identifying: 1}
	n.byCarrier[inQuery], n.byCarrier[inCookie] = []string{p.Query}, []string{p.Cookie}
	if p.Query != "" {
		n.byCarrier[inPath] = []string{";" + p.Query}
	}
	return n
}

func (cdni) carriesKeyName() bool { return true }

func (cdni) sameFormat(f format) bool { _, ok := f.(cdni); return ok }

// signsURL returns false: the token names its URIs itself.
func (cdni) signsURL(*credential) bool { return false }

// claims are the registered claims of RFC 9246 and RFC 7519.
type claims struct {
	Issuer       string       `json:"iss,omitempty"`
	Subject      string       `json:"sub,omitempty"`
	Audience     audience     `json:"aud,omitempty"`
	Expires      *numericDate `json:"exp,omitempty"`
	NotBefore    *numericDate `json:"nbf,omitempty"`
	Issued       *numericDate `json:"iat,omitempty"`
	ID           string       `json:"jti,omitempty"`
	Version      *int         `json:"cdniv,omitempty"`
	Critical     string       `json:"cdnicrit,omitempty"`
	ClientIP     string       `json:"cdniip,omitempty"`
	Container    string       `json:"cdniuc,omitempty"`
	RenewSeconds *int64       `json:"cdniets,omitempty"`
	Transport    *int         `json:"cdnistt,omitempty"`
	Depth        *int         `json:"cdnistd,omitempty"`
}

var cdniClaimNames = []string{"iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniip",
	"cdniuc", "cdniets", "cdnistt", "cdnistd"}

// numericDate is a NumericDate (RFC 7519, section 2), truncated to seconds.
type numericDate int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *numericDate) UnmarshalJSON(text []byte) error {
	var f float64
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	if f <= 0 || f >= unixSecondsLimit {
		return errors.New("time is out of range")
	}
	*n = numericDate(f)
	return nil
}

func (n *numericDate) micros() Micros {
	if n == nil {
		return 0
	}
	return Micros(*n) * 1_000_000
}

// audience is one name or a list of names (RFC 7519, section 4.1.3).
type audience []string

// UnmarshalJSON implements json.Unmarshaler.
func (a *audience) UnmarshalJSON(text []byte) error {
	var one string
	if json.Unmarshal(text, &one) == nil {
		*a = audience{one}
		return nil
	}
	return json.Unmarshal(text, (*[]string)(a))
}

// MarshalJSON implements json.Marshaler.
func (a audience) MarshalJSON() ([]byte, error) {
	if len(a) == 1 {
		return json.Marshal(a[0])
	}
	return json.Marshal([]string(a))
}

// Values of cdnistt, the transport of a renewed token (RFC 9246, section 6.5).
const (
	transportNone = iota
	transportCookie
	transportQuery
)

func (cdni) parse(cred *credential) (*token, Refusal) {
	text := cred.values[0]
	if text == "" || len(text) > maxTokenBytes {
		return nil, MalformedSignature
	}
	jws, err := jose.ParseSignedCompact(text, cdniAlgorithms)
	var algorithmErr *jose.ErrUnexpectedSignatureAlgorithm
	if errors.As(err, &algorithmErr) && algorithmErr.Got != "" {
		return nil, WrongAlgorithm
	}
	if err != nil || len(jws.Signatures) != 1 {
		return nil, MalformedSignature
	}
	header := jws.Signatures[0].Protected
	t := &token{}
	for _, p := range cred.profiles {
		if t.key = p.Ring.Find(header.KeyID); t.key == nil && header.KeyID == "" && len(p.Ring.Keys) == 1 {
			t.key = p.Ring.Keys[0]
		}
		if t.key != nil {
			t.profile = p
			break
		}
	}
	switch {
	case t.key == nil:
		return nil, UnknownKey
	case t.key.Alg != header.Algorithm:
		return nil, WrongAlgorithm
	}
	var claimSet claims
	payload := jws.UnsafePayloadWithoutVerification()
	if json.Unmarshal(payload, &claimSet) != nil {
		return nil, MalformedSignature
	}
	if refusal := t.applyClaims(&claimSet, payload); refusal != "" {
		return nil, refusal
	}
	dot := strings.LastIndexByte(text, '.')
	if _, err := base64.RawURLEncoding.Strict().DecodeString(text[dot+1:]); err != nil {
		return nil, MalformedSignature // go-jose accepts base64 with nonzero trailing bits
	}
	t.signed = text[:dot]
	if t.key.Kind.Costly() {
		t.pendingSignature = PendingSignature{token: t, publicKey: t.key.Public, jws: jws}
		return t, ""
	}
	t.verify = func() *keyring.Key {
		if _, err := jws.Verify(t.key.Bytes); err != nil {
			return nil
		}
		return t.key
	}
	return t, ""
}

// applyClaims checks the claims that don't depend on the request, and copies the
// others to the token.
func (t *token) applyClaims(claimSet *claims, payload []byte) Refusal {
	p := t.profile
	if claimSet.Version != nil && *claimSet.Version != 1 {
		return UnknownCriticalClaim
	}
	var rawClaims map[string]json.RawMessage
	if json.Unmarshal(payload, &rawClaims) != nil {
		return MalformedSignature
	}
	for name := range rawClaims { // claim names are case-sensitive, the JSON decoder is not
		if lower := strings.ToLower(name); lower != name && slices.Contains(cdniClaimNames, lower) {
			return MalformedSignature
		}
	}
	if claimSet.Critical != "" {
		for name := range strings.SplitSeq(claimSet.Critical, ",") {
			if !slices.Contains(cdniClaimNames, name) || rawClaims[name] == nil {
				return UnknownCriticalClaim
			}
		}
	}
	if len(p.Issuers) > 0 && !slices.Contains(p.Issuers, claimSet.Issuer) {
		return UntrustedIssuer
	}
	if len(claimSet.Audience) > 0 && !slices.Contains(claimSet.Audience, p.Audience) {
		return WrongAudience
	}
	if claimSet.Expires == nil && !p.AllowNoExpiry {
		return MalformedSignature
	}
	t.expires, t.notBefore, t.id = claimSet.Expires.micros(), claimSet.NotBefore.micros(), claimSet.ID
	var refusal Refusal
	if t.scope, refusal = parseContainer(claimSet.Container); refusal != "" {
		return refusal
	}
	if claimSet.ClientIP != "" {
		text, ok := t.decrypt(claimSet.ClientIP)
		if ok {
			t.networks, ok = parseNetworks([]string{text})
		}
		if !ok {
			return WrongAddress
		}
	}
	if claimSet.Subject != "" {
		var ok bool
		if t.subject, ok = t.decrypt(claimSet.Subject); !ok {
			return MalformedSignature
		}
	}
	transport := transportNone
	if claimSet.Transport != nil {
		transport = *claimSet.Transport
	}
	switch {
	case transport < transportNone || transport > transportQuery || claimSet.Depth != nil && *claimSet.Depth < 0:
		return MalformedSignature
	case transport != transportNone && (claimSet.RenewSeconds == nil || *claimSet.RenewSeconds <= 0 || *claimSet.RenewSeconds > maxRenewalSeconds):
		return MalformedSignature
	case transport == transportCookie:
		t.renew = &renewal{claims: *claimSet}
	}
	return ""
}

// maxRenewalSeconds is the longest accepted lifetime of a renewed token.
const maxRenewalSeconds = 7 * 24 * 3600

// decrypt decrypts a JWE with the ring's secrets (RFC 9246, sections 2.1.2 and
// 2.1.10).
func (t *token) decrypt(text string) (string, bool) {
	jwe, err := jose.ParseEncryptedCompact(text, []jose.KeyAlgorithm{jose.DIRECT},
		[]jose.ContentEncryption{jose.A256GCM})
	if err != nil {
		return "", false
	}
	for _, k := range t.profile.Ring.Keys {
		if k.Kind == keyring.Secret && (jwe.Header.KeyID == "" || jwe.Header.KeyID == k.Name) {
			if plain, err := jwe.Decrypt(k.Bytes); err == nil {
				return string(plain), true
			}
		}
	}
	return "", false
}

// parseContainer parses the URI container, cdniuc.
func parseContainer(text string) (scope, Refusal) {
	kind, value, ok := strings.Cut(text, ":")
	if !ok || value == "" || len(value) > maxPatternBytes {
		return scope{}, MalformedSignature
	}
	switch kind {
	case "hash": // RFC 6920, section 5: algorithm and digest
		name, sum, _ := strings.Cut(value, ";")
		hash, err := base64.RawURLEncoding.Strict().DecodeString(sum)
		if name != "sha-256" || err != nil || len(hash) != sha256.Size {
			return scope{}, MalformedSignature
		}
		return scope{kind: urlHash, hash: hash}, ""
	case "regex":
		// The size of a compiled expression grows with its repetition counts; package
		// regexp limits each to 1000, and their product as well.
		expression, err := regexp.CompilePOSIX("^(" + value + ")$")
		if err != nil {
			return scope{}, MalformedSignature
		}
		return scope{kind: urlRegex, regex: expression}, ""
	}
	return scope{}, MalformedSignature
}

func matchesHash(want, url []byte) bool {
	sum := sha256.Sum256(url)
	return constantTimeEqual(sum[:], want)
}

// renewal holds the claims for the next token of a chain.
type renewal struct{ claims claims }

// Cookie is a renewed token, which the response sets as a cookie for the paths
// below Path.
type Cookie struct {
	Name, Value, Path string
	Expires           Micros
}

// Renew returns the next token of a chain (RFC 9246, section 3), for the response
// to a granted request, or nil if the grant is not to be renewed. It is signed by
// the ring's signing key, whichever key signed the last one, so that a chain
// survives a key rotation. If the ring has no signing key, Renew returns nil and
// the chain ends.
func (g *Grant) Renew(now Micros) (*Cookie, error) {
	if g.token == nil || g.token.renew == nil {
		return nil, nil
	}
	k := g.Profile.Ring.SigningKey()
	if k == nil {
		return nil, nil
	}
	claimSet := g.token.renew.claims
	expires := now/1_000_000 + *claimSet.RenewSeconds
	exp := numericDate(expires)
	claimSet.Expires, claimSet.NotBefore, claimSet.Issued = &exp, nil, nil
	if claimSet.ID != "" { // the uses of the new token are counted separately
		sum := sha256.Sum256([]byte(g.token.signed))
		claimSet.ID = base64.RawURLEncoding.EncodeToString(sum[:12])
	}
	text, err := signJWT(k, &claimSet)
	if err != nil {
		return nil, err
	}
	depth := 0
	if claimSet.Depth != nil {
		depth = *claimSet.Depth
	}
	return &Cookie{Name: g.Profile.Cookie, Value: text, Path: firstSegments(g.Path, depth),
		Expires: expires * 1_000_000}, nil
}

// firstSegments returns the first n segments of a path with the slash after them,
// but never the last segment.
func firstSegments(path string, n int) string {
	at := 0
	for range n {
		i := strings.IndexByte(path[at+1:], '/')
		if i < 0 {
			break
		}
		at += 1 + i
	}
	return path[:at+1]
}

func signJWT(k *keyring.Key, claimSet *claims) (string, error) {
	var key any = k.Bytes
	if k.Kind.Costly() {
		key = k.Signer
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.Alg), Key: key},
		(&jose.SignerOptions{}).WithHeader("kid", k.Name))
	if err != nil {
		return "", err
	}
	payload, err := json.Marshal(claimSet)
	if err != nil {
		return "", err
	}
	jws, err := signer.Sign(payload)
	if err != nil {
		return "", err
	}
	return jws.CompactSerialize()
}

func encryptTo(k *keyring.Key, text string) (string, error) {
	e, err := jose.NewEncrypter(jose.A256GCM, jose.Recipient{Algorithm: jose.DIRECT, Key: k.Bytes, KeyID: k.Name}, nil)
	if err != nil {
		return "", err
	}
	jwe, err := e.Encrypt([]byte(text))
	if err != nil {
		return "", err
	}
	return jwe.CompactSerialize()
}

// isAddressOrPrefix reports whether text is an IP address or prefix.
func isAddressOrPrefix(text string) bool {
	_, err := netip.ParsePrefix(text)
	_, err2 := netip.ParseAddr(text)
	return err == nil || err2 == nil
}

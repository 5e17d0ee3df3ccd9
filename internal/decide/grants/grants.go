// Package grants authorizes requests by signed links and tokens. The input is a
// request's target, header and peer address with the time at which its last byte
// was received; the output is a verdict: a grant with scope, subject, expiry and
// key, or one named refusal.
//
// It supports the formats of several content networks, one file each, and tells
// them apart by the names of their fields. A request may carry one grant; two are
// refused, even if both are valid.
//
// The package does no I/O and reads no clock. RSA, ECDSA and Ed25519 signatures,
// which take tens of microseconds to verify, are returned as a PendingSignature,
// which may be verified on any goroutine; everything else belongs to a single
// goroutine, such as the event loop.
//
// The cheaper check runs first. A keyed digest is verified before the claims of
// its token are checked. The claims of a token with a costly signature are
// checked before the signature, so that a flood of links that would be refused
// anyway costs no signature verification.
package grants

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strings"

	"cherryramp/internal/decide/keyring"
	"cherryramp/internal/httpwire"
)

// Micros is a Unix time or a duration in microseconds.
type Micros = int64

// Limits on the parts of a request.
const (
	maxTargetBytes  = 8 << 10 // of a request target
	maxFieldBytes   = 6 << 10 // of one signing field
	maxTokenBytes   = 4 << 10 // of a token
	maxPatternBytes = 1 << 10 // of a pattern, prefix or expression for URLs
	maxTimeDigits   = 12      // of a decimal Unix time in seconds
)

// Refusal is the reason why a request is refused. It contains no secret and
// nothing that the client sent. The empty string means no refusal.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// The reasons for refusal.
const (
	MissingSignature     Refusal = "no signature"
	MultipleSignatures   Refusal = "more than one signature"
	MalformedSignature   Refusal = "signature is malformed"
	UnknownKey           Refusal = "key is unknown"
	KeyNotYetValid       Refusal = "key is not in use yet"
	KeyRetired           Refusal = "key has retired"
	KeyRevoked           Refusal = "key is revoked"
	SignatureMismatch    Refusal = "signature does not match"
	Expired              Refusal = "expired"
	NotYetValid          Refusal = "not valid yet"
	PathNotCovered       Refusal = "path is not covered"
	WrongBranch          Refusal = "not for this branch"
	WrongAddress         Refusal = "not for this address"
	WrongAlgorithm       Refusal = "algorithm does not fit the key"
	UnknownCriticalClaim Refusal = "a critical claim is not understood"
	UntrustedIssuer      Refusal = "issuer is not trusted"
	WrongAudience        Refusal = "not for this audience"
	UnusableTarget       Refusal = "target can't be used"
)

// Request is a client's request.
type Request struct {
	Target     string // as in the request line
	Header     httpwire.Header
	Peer       netip.Addr
	ReceivedAt Micros // when the last byte was received
}

// Grant describes a request that a valid signature authorizes.
type Grant struct {
	Path, Query string // of the target, without signing fields
	Profile     *Profile
	Key         *keyring.Key
	Subject     string // named by the issuer; empty: none
	ID          string // of the token, to limit its uses; empty: none
	Expires     Micros // without clock skew; 0: never
	token       *token
}

// Verdict is the decision on a request. If the request is not granted, exactly
// one of Refusal and Pending is set.
type Verdict struct {
	Grant
	Refusal Refusal
	Pending *PendingSignature // to be verified and passed to Resolve, before Authorize is called again
}

// carrier is the part of a request that carries a grant.
type carrier uint8

const (
	inQuery carrier = iota
	inCookie
	inHeader
	inPath
	carrierCount
)

// ProfileSet authorizes requests by a set of profiles and caches the verdicts. It
// must be used by one goroutine only.
type ProfileSet struct {
	families         []*family
	fieldRefs        [carrierCount]map[string][]fieldRef // by field name; header names in lower case
	firstBytes       [carrierCount][256]bool             // first bytes of the field names
	branch           string
	cache            verdictCache
	fieldValues      [carrierCount][]fieldValues // by family; reused by each request
	populated        []*fieldValues              // those in fieldValues with a field
	cacheKey, urlBuf []byte                      // reused by each request
	credential       credential                  // reused by each request
}

// fieldRef refers to a field of a family by indices.
type fieldRef struct{ family, field int }

// fieldValues holds the fields of one family in one carrier of a request.
type fieldValues struct {
	values    [maxFields]string
	order     [maxFields]uint8 // field indices in order of appearance
	present   uint16           // bit set of field indices
	count     int
	start     int // offset of the first field in the query or path
	end       int // offset after the last field
	duplicate bool
	family    *family
	carrier   carrier
}

const maxFields = 8

// family is a group of profiles of one format with the same field names.
type family struct {
	format     format
	index      int
	profiles   []*Profile
	fieldNames fieldNames
}

// fieldNames lists the names of a format's fields.
type fieldNames struct {
	byCarrier   [carrierCount][]string
	identifying uint16             // bit set of the fields that distinguish the format from others
	single      [carrierCount]bool // carriers where any one field identifies the format, and only one may occur
}

// credential is the one grant that a request carries, unparsed.
type credential struct {
	*family
	*fieldValues
	carrier carrier
	path    string // without signing fields
	query   string // without signing fields
	target  string
	peer    netip.Addr
	urlBuf  *[]byte // reused by url
}

// url returns the whole URL without signing fields, beginning with base. The
// result is valid until the next call.
func (cred *credential) url(base string) []byte {
	b := append(append((*cred.urlBuf)[:0], base...), cred.path...)
	if cred.query != "" {
		b = append(append(b, '?'), cred.query...)
	}
	*cred.urlBuf = b
	return b
}

// format parses one format of grants.
type format interface {
	// fieldNames returns the names of a profile's fields.
	fieldNames(p *Profile) fieldNames
	// carriesKeyName reports whether a grant names its key.
	carriesKeyName() bool
	// sameFormat reports whether this format also parses grants of another one.
	sameFormat(format) bool
	// signsURL reports whether the signature covers the URL itself, so that its
	// cached verdict is valid for that URL only.
	signsURL(c *credential) bool
	// parse returns a credential's token, with the signature not verified yet.
	parse(c *credential) (*token, Refusal)
}

// Config configures a ProfileSet.
type Config struct {
	Profiles          []*Profile
	Branch            string // own name, which a token's data must match if its profile requires it
	MaxCachedVerdicts int    // half for genuine signatures, a quarter each for forged and pending ones
}

// New returns a set of the profiles. The error names the first profile that can't
// be used.
func New(cfg Config) (*ProfileSet, error) {
	set := &ProfileSet{branch: cfg.Branch}
	set.cache.init(cfg.MaxCachedVerdicts)
	for c := range set.fieldRefs {
		set.fieldRefs[c] = map[string][]fieldRef{}
	}
	for _, p := range cfg.Profiles {
		if err := p.Check(); err != nil {
			return nil, fmt.Errorf("grants: %s: %w", p.Name, err)
		}
		if err := set.addProfile(p); err != nil {
			return nil, fmt.Errorf("grants: %s: %w", p.Name, err)
		}
	}
	for c := range set.fieldValues {
		set.fieldValues[c] = make([]fieldValues, len(set.families))
		for i, f := range set.families {
			set.fieldValues[c][i].family, set.fieldValues[c][i].carrier = f, carrier(c)
		}
	}
	return set, nil
}

// addProfile adds a profile to the family with the same format and field names,
// or to a new one.
func (set *ProfileSet) addProfile(p *Profile) error {
	names := p.format.fieldNames(p)
	for _, f := range set.families {
		if f.format.sameFormat(p.format) && equalFieldNames(f.fieldNames, names) {
			if p.Format == Timed {
				return fmt.Errorf("query, cookie, header: profile %q uses the same field names, and nothing else tells them apart",
					f.profiles[0].Name)
			}
			for _, k := range p.Ring.Keys {
				for _, other := range f.profiles {
					if p.format.carriesKeyName() && other.Ring.Find(k.Name) != nil {
						return fmt.Errorf("ring: key %q is also in profile %q, which uses the same field names, so its links are ambiguous",
							k.Name, other.Name)
					}
				}
			}
			f.profiles = append(f.profiles, p)
			return nil
		}
	}
	f := &family{format: p.format, index: len(set.families), profiles: []*Profile{p}, fieldNames: names}
	set.families = append(set.families, f)
	for c, list := range names.byCarrier {
		for i, name := range list {
			if name == "" {
				continue
			}
			if carrier(c) == inHeader {
				name = strings.ToLower(name)
			}
			set.firstBytes[c][name[0]|caseBit(carrier(c))] = true
			set.fieldRefs[c][name] = append(set.fieldRefs[c][name], fieldRef{f.index, i})
		}
	}
	return nil
}

// caseBit returns the ASCII bit that maps a letter to lower case, for carriers
// with case-insensitive names, and 0 for others.
func caseBit(c carrier) byte {
	if c == inHeader {
		return 0x20
	}
	return 0
}

func equalFieldNames(a, b fieldNames) bool {
	for c := range a.byCarrier {
		if strings.Join(a.byCarrier[c], "\x00") != strings.Join(b.byCarrier[c], "\x00") {
			return false
		}
	}
	return true
}

// Authorize returns the verdict on a request. If a costly signature must be
// verified first, it sets Verdict.Pending.
func (set *ProfileSet) Authorize(req *Request) Verdict {
	cred := &set.credential
	*cred = credential{urlBuf: &set.urlBuf, peer: req.Peer}
	if refusal := set.locate(req, cred); refusal != "" {
		return Verdict{Refusal: refusal}
	}
	set.cacheKey = cred.appendKey(set.cacheKey[:0])
	if t := set.cache.get(set.cacheKey, req.ReceivedAt); t != nil {
		return set.verdict(t, cred, req)
	}
	t, refusal := cred.format.parse(cred)
	if refusal != "" {
		return Verdict{Refusal: refusal}
	}
	if !t.costly() {
		if t.resolve(t.verifyMAC()) {
			set.cache.addGenuine(set.cacheKey, t)
		}
		return set.verdict(t, cred, req)
	}
	// Checking the claims is cheaper than verifying the signature.
	if v := set.verdict(t, cred, req); v.Refusal != "" {
		return v
	}
	t.state = pending
	set.cache.addPending(set.cacheKey, t)
	return set.verdict(t, cred, req)
}

// Resolve records the result of p.Verify.
func (set *ProfileSet) Resolve(p *PendingSignature, genuine bool, now Micros) {
	p.token.resolve(genuine)
	set.cache.resolve(p.token, now)
}

// Discard drops a pending signature that won't be verified. A later request with
// the same credential gets a new one.
func (set *ProfileSet) Discard(p *PendingSignature) {
	if p.token.state == pending {
		set.cache.discard(p.token)
	}
}

// verdict checks a token's claims against a request. The token's signature is
// genuine, forged or not verified yet.
func (set *ProfileSet) verdict(t *token, cred *credential, req *Request) Verdict {
	v := Verdict{Grant: Grant{Path: cred.path, Query: cred.query, Profile: t.profile, Key: t.key,
		Subject: t.subject, ID: t.id, Expires: t.expires, token: t}}
	v.Refusal = set.checkToken(t, cred, req)
	if v.Refusal == "" && t.state == pending {
		v.Pending = &t.pendingSignature
	}
	return v
}

// checkToken returns the reason to refuse the token for a request, if any.
func (set *ProfileSet) checkToken(t *token, cred *credential, req *Request) Refusal {
	if t.state == forged {
		return SignatureMismatch
	}
	skew := t.profile.Skew
	if t.key != nil {
		switch t.key.ValidityAt(req.ReceivedAt) {
		case keyring.NotYetValid:
			return KeyNotYetValid
		case keyring.Retired:
			return KeyRetired
		case keyring.Withdrawn:
			return KeyRevoked
		}
		if t.key.Skew >= 0 {
			skew = t.key.Skew
		}
	}
	switch {
	case t.expires > 0 && req.ReceivedAt > t.expires+skew:
		return Expired
	case t.notBefore > 0 && req.ReceivedAt < t.notBefore-skew:
		return NotYetValid
	case !t.coversURL(cred):
		return PathNotCovered
	case !t.allowsAddress(req.Peer):
		return WrongAddress
	case t.profile.RequireBranch && t.data != set.branch && !(t.data == "" && t.profile.AllowMissingBranch):
		return WrongBranch
	}
	return ""
}

// appendKey appends the cache key: everything that the verdict on the signature
// depends on.
func (cred *credential) appendKey(b []byte) []byte {
	b = append(b, byte(cred.index), byte(cred.carrier), byte(cred.count))
	if cred.count > 1 { // the order of the fields matters to some formats
		for _, i := range cred.order[:cred.count] {
			b = append(b, i)
		}
	}
	for i := range cred.values {
		if cred.present&(1<<i) != 0 {
			b = append(b, byte(i))
			b = append(b, cred.values[i]...)
			b = append(b, 0)
		}
	}
	if t, ok := cred.format.(*timed); ok && t.bindsPeer {
		b = cred.peer.AppendTo(b)
	}
	if cred.carrier != inCookie && cred.carrier != inHeader && (cred.count > 1 || cred.carrier == inPath) {
		return append(b, cred.target...) // the position of the fields matters too
	}
	if cred.format.signsURL(cred) {
		b = append(b, cred.path...)
		b = append(b, '?')
		b = append(b, cred.query...)
	}
	return b
}

// Digest identifies the token in tables that count its uses. It covers the ID or
// the signed text, not the signature, which others could encode differently.
func (g *Grant) Digest() (d [16]byte) {
	h := sha256.New()
	h.Write([]byte(g.Profile.Name))
	h.Write([]byte{0})
	if g.ID != "" {
		h.Write([]byte(g.ID))
	} else {
		h.Write([]byte(g.token.signed))
	}
	copy(d[:], h.Sum(nil))
	return d
}

// ExpiresWithSkew returns the time from which the grant is refused as expired,
// with the allowed clock skew included, or the maximum if it never expires.
func (g *Grant) ExpiresWithSkew() Micros {
	if g.Expires == 0 {
		return 1<<63 - 1
	}
	skew := g.Profile.Skew
	if g.Key.Skew >= 0 {
		skew = g.Key.Skew
	}
	return g.Expires + skew + 1
}

// Renewable reports whether the grant's token is to be renewed, and whether signing
// the next one is costly.
func (g *Grant) Renewable() (costly, renewable bool) {
	if g.token == nil || g.token.renew == nil {
		return false, false
	}
	k := g.Profile.Ring.SigningKey()
	return k != nil && k.Kind.Costly(), k != nil
}

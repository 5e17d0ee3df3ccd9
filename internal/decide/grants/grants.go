// Package grants decides whether a signed link or token lets a request in. A
// request's target, header and peer address come in, with the moment at which
// its last byte came; a verdict goes out: granted, with scope, subject, expiry
// and key, or one named refusal.
//
// It knows the formats of several content networks, a file each, and tells them
// apart by the names under which their fields are carried. A request holds one
// grant; two are refused, even where both are good.
//
// Nothing here does I/O or asks a clock. What costs tens of microseconds, an
// RSA, ECDSA or Ed25519 signature, is not checked here but handed out as a
// Proof, which may be checked on any goroutine; all the rest belongs to one
// owner, as the event loop.
//
// The order of judgement is by cost. Of a keyed digest the signature comes
// first, and what it claims is judged once it is known to be genuine. Of a
// costly signature what it claims comes first, so that the flood of links that
// could let nothing in costs no signature.
package grants

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strings"

	"cherryramp/internal/decide/keyring"
	"cherryramp/internal/httpwire"
)

// Micros is a moment or a span in microseconds of the Unix clock.
type Micros = int64

// Bounds of what a request may bring.
const (
	maxTargetBytes  = 8 << 10 // bytes of a target
	maxFieldBytes   = 6 << 10 // bytes of a field of a signature
	maxTokenBytes   = 4 << 10 // bytes of a token
	maxPatternBytes = 1 << 10 // bytes of a pattern of paths
	maxTimeDigits   = 12      // of a Unix time in seconds
)

// Refusal is a reason for which a request is not let in. It holds no secret and
// nothing that the client sent. The empty one is none.
type Refusal string

func (r Refusal) Error() string { return string(r) }

// The refusals.
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

// Request is what a client sent.
type Request struct {
	Target     string // as it stands in the request line
	Header     httpwire.Header
	Peer       netip.Addr
	ReceivedAt Micros // when its last byte was here
}

// Grant is what a good signature lets in.
type Grant struct {
	Path, Query string // the target without signing fields
	Profile     *Profile
	Key         *keyring.Key
	Subject     string // whom the issuer named; empty: nobody
	ID          string // of the one token, for those that are used once
	Expires     Micros // without skew
	token       *token
}

// Verdict is the answer to a request. Exactly one of Refusal and Proof is set
// where nothing is granted.
type Verdict struct {
	Grant
	Refusal Refusal
	Pending *PendingSignature // to be checked first; then Settle gives the verdict
}

// carrier is where in a request a grant stands.
type carrier uint8

const (
	inQuery carrier = iota
	inCookie
	inHeader
	inPath
	carrierCount
)

// Set judges requests by a set of profiles. It belongs to one goroutine.
type ProfileSet struct {
	families         []*family
	fieldRefs        [carrierCount]map[string][]fieldRef // of fields; of headers in lower case
	firstBytes       [carrierCount][256]bool             // first bytes of the names
	branch           string
	cache            verdictCache
	fieldValues      [carrierCount][]fieldValues // by family; used anew by each request
	populated        []*fieldValues              // those that hold something
	cacheKey, urlBuf []byte                      // used anew by each request
	credential       credential                  // used anew by each request
}

// ref says which field of which family a name is.
type fieldRef struct{ family, field int }

// found is the fields of one family in one carrier of a request.
type fieldValues struct {
	values    [maxFields]string
	order     [maxFields]uint8 // fields in the order in which they came
	present   uint16           // bits of fields
	count     int
	start     int // offset of the first field in the query
	end       int // and of what follows the last
	duplicate bool
	family    *family
	carrier   carrier
}

const maxFields = 8

// family is the profiles of one format that are carried under the same names.
type family struct {
	format     format
	index      int
	profiles   []*Profile
	fieldNames fieldNames
}

// names are where a format's fields stand.
type fieldNames struct {
	byCarrier   [carrierCount][]string
	identifying uint16             // bits of the fields that tell the format from others
	single      [carrierCount]bool // any one field tells it, and there may be only one
}

// credential is the one grant that a request holds, as text.
type credential struct {
	*family
	*fieldValues
	carrier carrier
	path    string // without signing fields
	query   string // without signing fields
	target  string
	peer    netip.Addr
	urlBuf  *[]byte // for the whole URL
}

// url is the whole URL without signing fields, as the issuer names it. It holds
// until the next one is asked for.
func (cred *credential) url(base string) []byte {
	b := append(append((*cred.urlBuf)[:0], base...), cred.path...)
	if cred.query != "" {
		b = append(append(b, '?'), cred.query...)
	}
	*cred.urlBuf = b
	return b
}

// format reads one format of grants.
type format interface {
	// names tells under which names a profile's fields are carried.
	fieldNames(p *Profile) fieldNames
	// named tells whether a grant names its key.
	carriesKeyName() bool
	// kin tells whether grants of another format are read by this one too.
	sameFormat(format) bool
	// bound tells whether the signature covers the URL itself, so that what was
	// learnt of it holds for that URL only.
	signsURL(c *credential) bool
	// read turns a credential into a token whose signature is not checked yet.
	parse(c *credential) (*token, Refusal)
}

// Config is what a set is made of.
type Config struct {
	Profiles          []*Profile
	Branch            string // own name, which a grant's data must give
	MaxCachedVerdicts int    // verdicts held at most, half of them for forged ones
}

// New makes a set; it names the profile that can't be used.
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

// add puts a profile to those that are carried alike, or into a family of its own.
func (set *ProfileSet) addProfile(p *Profile) error {
	names := p.format.fieldNames(p)
	for _, f := range set.families {
		if f.format.sameFormat(p.format) && equalFieldNames(f.fieldNames, names) {
			if p.Format == Timed {
				return fmt.Errorf("query, cookie, header: profile %q is carried alike, and nothing else tells them apart",
					f.profiles[0].Name)
			}
			for _, k := range p.Ring.Keys {
				for _, other := range f.profiles {
					if p.format.carriesKeyName() && other.Ring.Find(k.Name) != nil {
						return fmt.Errorf("ring: key %q is in profile %q too, whose links are carried alike: which is meant?",
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

// caseless is the bit that tells small letters apart, where case does not count.
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

// Judge gives the verdict on a request, or a Proof that must be checked first.
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
	// What it claims is cheaper to judge than its signature.
	if v := set.verdict(t, cred, req); v.Refusal != "" {
		return v
	}
	t.state = pending
	set.cache.addPending(set.cacheKey, t)
	return set.verdict(t, cred, req)
}

// Settle takes what a Proof's check gave.
func (set *ProfileSet) Resolve(p *PendingSignature, genuine bool, now Micros) {
	p.token.resolve(genuine)
	set.cache.resolve(p.token, now)
}

// Forget drops a Proof that nobody will check; whoever comes with the same
// credential later gets a new one.
func (set *ProfileSet) Discard(p *PendingSignature) {
	if p.token.state == pending {
		set.cache.discard(p.token)
	}
}

// judge holds a token's claims against a request. The token's signature is
// good, or not yet known, or known to be forged.
func (set *ProfileSet) verdict(t *token, cred *credential, req *Request) Verdict {
	v := Verdict{Grant: Grant{Path: cred.path, Query: cred.query, Profile: t.profile, Key: t.key,
		Subject: t.subject, ID: t.id, Expires: t.expires, token: t}}
	v.Refusal = set.checkToken(t, cred, req)
	if v.Refusal == "" && t.state == pending {
		v.Pending = &t.pendingSignature
	}
	return v
}

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

// appendKey writes what a verdict on a signature depends on.
func (cred *credential) appendKey(b []byte) []byte {
	b = append(b, byte(cred.index), byte(cred.carrier), byte(cred.count))
	if cred.count > 1 { // a format may care for the order in which they stand
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
		return append(b, cred.target...) // and for where they stand
	}
	if cred.format.signsURL(cred) {
		b = append(b, cred.path...)
		b = append(b, '?')
		b = append(b, cred.query...)
	}
	return b
}

// Digest names the token in tables that count its uses: by what was signed, and
// not by the signature, which others could word anew.
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

// Ends is the moment from which the grant can let nothing in, skew and all; the
// end of time where it never runs out.
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

// Renews tells whether the grant is one of a chain of tokens, and whether the
// next one costs a signature that takes long.
func (g *Grant) Renewable() (costly, renewable bool) {
	if g.token == nil || g.token.renew == nil {
		return false, false
	}
	k := g.Profile.Ring.SigningKey()
	return k != nil && k.Kind.Costly(), k != nil
}

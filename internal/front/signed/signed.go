// Package signed is the front for links and tokens that expire, as content
// networks issue them. Whether a request is let in, grants decides, with what
// quota and revoked have to say; this package asks them in order, carries costly
// signatures to the pool, and words answers as content networks do. No request
// that is not let in comes near a cache node.
//
// A target is /files/CLASS/GROUP/OBJECT, with ?seg=N for a part. The group is
// the one that purges name.
package signed

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"

	"cherryramp/internal/decide/abuse"
	"cherryramp/internal/decide/content"
	"cherryramp/internal/decide/fairqueue"
	"cherryramp/internal/decide/grants"
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/ratelimit"
	"cherryramp/internal/decide/revoked"
	"cherryramp/internal/front/session"
	"cherryramp/internal/front/signed/encoding"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/workers"
)

const path = "/files/"

// Limits bound a request; links have no body. A head has room for a token and
// many cookies.
var Limits = httpwire.Limits{Head: 16 << 10, Body: 0}

// Buffer is what may wait of requests sent behind each other, in bytes.
const InputBuffer = 64 << 10

// Class is a class of requests.
type Class struct {
	Name     string
	Index    int // by which the gateway knows it
	Write    bool
	GiveUp   gateway.Micros // how long a client waits
	Fresh    gateway.Micros // how long a copy is; 0: always
	Type     string         // Content-Type of answers; empty: none is told
	Compress bool
	MaxAge   gateway.Micros // that clients may keep answers; 0: they ask each time
}

// Uses is how often one token of a profile may be used; 0: as often as it likes.
type UseLimit struct {
	Max         int
	RetryWindow gateway.Micros // within which the same again is the same use
}

// Tenant is what a tenant's links may let in, and how much.
type Tenant struct {
	Paths             []string // prefixes; none: everything
	All, Key, Subject ratelimit.Limit
}

// CORS says which pages' scripts may read answers.
type CORS struct {
	Origins     []string
	Headers     []string
	Credentials bool
	MaxAge      int // s
}

// Policy is what requests are judged by. A new one takes the place of the old
// one whole.
type Policy struct {
	Set     *grants.ProfileSet
	Uses    map[string]UseLimit // by profile
	Tenants map[string]Tenant   // by name
	Revoked *revoked.List
	CORS    *CORS
	Classes []Class
}

// Shared are limits that hold for the whole fleet.
type SharedLimits interface {
	// Take asks for one request under all its claims; it takes from all or from none.
	Take(claims []ratelimit.Claim) (taken []*quotalease.Bucket, away gateway.Micros, refused string)
	// Done gives back what was taken.
	Done(taken []*quotalease.Bucket)
	// Forged notes a forged signature from a prefix; Suspect tells whether the fleet
	// holds a prefix for one that forges.
	Forged(p netip.Prefix)
	Suspect(p netip.Prefix) bool
}

// Share has requests keep to limits of the whole fleet, besides this front's own.
func (f *Front) SetSharedLimits(s SharedLimits) { f.shared = s }

// Config bounds what the front holds.
type Config struct {
	MaxQueue     int // costly checks that wait
	MaxRates     int // names that rates are kept of
	MaxUses      int // tokens that uses are kept of
	EncodedBytes int // bytes of encoded answers
}

// Front judges requests and words outcomes as a content network does.
type Front struct {
	policy   Policy
	now      func() gateway.Micros // for spans
	wall     func() gateway.Micros // for what links say of moments, such as their expiry
	log      *slog.Logger
	pool     *workers.Pool
	turns    *fairqueue.Queue
	proofs   map[*grants.PendingSignature]*proof
	suspects *abuse.Sketch
	rates    *ratelimit.Rates
	uses     *ratelimit.Uses
	variants *encoding.Variants
	shared   SharedLimits // nil: no limit holds for the whole fleet
	base     uint64       // of the ids that requests get
	count    uint64
}

// New makes a front. Its costly work goes to the pool. Spans are counted by now; links are
// judged by wall, the wall clock.
func New(cfg Config, policy Policy, pool *workers.Pool, now, wall func() gateway.Micros, log *slog.Logger) (*Front, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("signed: %w", err)
	}
	return &Front{policy: policy, now: now, wall: wall, log: log, pool: pool, turns: fairqueue.New(cfg.MaxQueue),
		proofs: map[*grants.PendingSignature]*proof{}, suspects: abuse.New(binary.BigEndian.Uint64(seed[8:])),
		rates: ratelimit.NewRates(cfg.MaxRates), uses: ratelimit.NewUses(cfg.MaxUses), variants: encoding.New(cfg.EncodedBytes),
		base: binary.BigEndian.Uint64(seed[:])}, nil
}

// Reload has requests judged by another policy from now on. What was counted
// stays; verdicts are found anew.
func (f *Front) Reload(p Policy) { f.policy = p }

// visit is one request.
type visit struct {
	x      *session.Exchange
	r      *httpwire.Request
	asked  grants.Request
	ask    content.Request
	grant  grants.Grant
	call   *gateway.Call
	class  *Class
	claims []ratelimit.Claim // taken
	shared []*quotalease.Bucket
	use    [16]byte // taken, if counted
	used   bool
	origin string // of a page whose script may read the answer
	proof  *proof // waited for
}

// Take lets a request in, refuses it, or keeps it until its signature is checked.
func (f *Front) HandleRequest(r *httpwire.Request, x *session.Exchange) (*gateway.Call, *httpwire.Response) {
	v := &visit{x: x, r: r}
	x.State = v
	v.origin = f.policy.CORS.origin(r.Header)
	if r.Method == "OPTIONS" && f.policy.CORS != nil {
		return nil, f.preflight(v)
	}
	if r.Method != "GET" && r.Method != "HEAD" {
		f.log.Info("signed request refused", "status", 405, "reason", "method")
		return nil, f.worded(v, &httpwire.Response{Status: 405, Body: []byte("links are for reading\n"),
			Header: httpwire.Header{{Name: "Allow", Value: "GET, HEAD"}}})
	}
	// The last byte is here: this try is judged once, for this moment.
	v.asked = grants.Request{Target: r.Target, Header: r.Header, Peer: x.Peer(), ReceivedAt: f.wall()}
	v.ask = content.ParseRequest(r.Method, r.Header)
	return f.judge(v)
}

// judge asks whether a request is let in, and by which grant.
func (f *Front) judge(v *visit) (*gateway.Call, *httpwire.Response) {
	d := f.policy.Set.Authorize(&v.asked)
	v.grant = d.Grant
	if d.Refusal != "" {
		return nil, f.refuse(v, 403, string(d.Refusal), 0)
	}
	// What costs little is asked before a signature is.
	if what := f.policy.Revoked.Match(revoked.Grant{ID: d.ID, Subject: d.Subject, Key: d.Key.Name, Path: d.Path,
		Digest: d.Digest}); what != "" {
		return nil, f.refuse(v, 403, what+" is revoked", 0)
	}
	if tenant := f.policy.Tenants[d.Profile.Tenant]; !tenant.covers(d.Path) {
		return nil, f.refuse(v, 403, string(grants.PathNotCovered), 0)
	}
	if v.call, v.class = f.read(v); v.call == nil {
		return nil, f.refuse(v, 403, string(grants.UnusableTarget), 0)
	}
	if d.Pending != nil {
		return nil, f.wait(v, d.Pending)
	}
	return f.admit(v)
}

// admit lets in a request whose grant is good, within what it may ask for.
func (f *Front) admit(v *visit) (*gateway.Call, *httpwire.Response) {
	tenant := f.policy.Tenants[v.grant.Profile.Tenant]
	if away, status, reason := f.take(v, &tenant); reason != "" {
		return nil, f.refuse(v, status, reason, away)
	}
	f.count++
	v.call.ID = fmt.Sprintf("%016x", f.base+f.count)
	return v.call, nil
}

func (t *Tenant) covers(path string) bool {
	for _, p := range t.Paths {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return len(t.Paths) == 0
}

// read turns a target without signing fields into a call.
func (f *Front) read(v *visit) (*gateway.Call, *Class) {
	rest, ok := strings.CutPrefix(v.grant.Path, path)
	name, rest, _ := strings.Cut(rest, "/")
	group, object, _ := strings.Cut(rest, "/")
	if !ok || !gateway.IsName(object) {
		return nil, nil
	}
	var class *Class
	for i := range f.policy.Classes {
		if x := &f.policy.Classes[i]; x.Name == name && !x.Write {
			class = x
		}
	}
	if class == nil {
		return nil, nil
	}
	c := &gateway.Call{Class: class.Index, Object: object, Deadline: f.now() + class.GiveUp}
	if session.ParseTarget(c, v.grant.Query, group) != "" {
		return nil, nil
	}
	if tag := v.ask.KnownTag(); gateway.IsName(tag) {
		c.Tag = tag
	}
	if !class.Compress {
		v.ask.Encoding = ""
	}
	return c, class
}

// take takes one request of all that is limited, or tells why not.
func (f *Front) take(v *visit, t *Tenant) (away gateway.Micros, status int, reason string) {
	now, g := f.now(), &v.grant
	claims := []ratelimit.Claim{{Kind: ratelimit.Tenant, Name: g.Profile.Tenant, Limit: t.All},
		{Kind: ratelimit.Key, Name: g.Profile.Ring.Name + "/" + g.Key.Name, Limit: t.Key}}
	if g.Subject != "" {
		claims = append(claims, ratelimit.Claim{Kind: ratelimit.Subject, Name: g.Profile.Tenant + "/" + g.Subject, Limit: t.Subject})
	}
	if away, refusal := f.rates.Take(claims, now); refusal != "" {
		status = 429
		if refusal == ratelimit.RatesTableFull {
			status = 503
		}
		return away, status, string(refusal)
	}
	v.claims = claims
	if f.shared != nil {
		var refused string
		if v.shared, away, refused = f.shared.Take(claims); refused != "" {
			f.release(v, true)
			return away, 429, refused
		}
	}
	if u := f.policy.Uses[g.Profile.Name]; u.Max > 0 {
		v.use = g.Digest()
		away, refusal := f.uses.Take(ratelimit.Token{Name: v.use, ExpiresAt: now + g.ExpiresWithSkew() - f.wall(), MaxUses: u.Max,
			Object: g.Path + "?" + g.Query + " " + v.asked.Peer.String(), RetryWindow: u.RetryWindow}, now)
		switch refusal {
		case "":
			v.used = true
		case ratelimit.TokenUsedUp:
			status = 403
		case ratelimit.UsesTableFull:
			status = 503
		default:
			status = 429
		}
		if refusal != "" {
			f.release(v, true)
			return away, status, string(refusal)
		}
	}
	return 0, 0, ""
}

// release gives back what a visit took.
func (f *Front) release(v *visit, harmless bool) {
	if v.claims != nil {
		f.rates.Release(v.claims)
		v.claims = nil
	}
	if v.shared != nil {
		f.shared.Done(v.shared)
		v.shared = nil
	}
	if v.used {
		f.uses.Release(v.use, harmless)
		v.used = false
	}
}

// refuse words a refusal; away tells when to come back, where that helps.
func (f *Front) refuse(v *visit, status int, reason string, away gateway.Micros) *httpwire.Response {
	name, key := "", ""
	if v.grant.Profile != nil {
		name = v.grant.Profile.Name
	}
	if v.grant.Key != nil {
		key = v.grant.Key.Name
	}
	f.log.Info("signed request refused", "status", status, "reason", reason, "profile", name, "key", key)
	r := &httpwire.Response{Status: status, Body: []byte(reason + "\n")}
	if status != 403 {
		r.Header = httpwire.Header{{Name: "Retry-After", Value: seconds(away)}}
	}
	return f.worded(v, r)
}

// seconds is a span in whole seconds, one at least (RFC 9110, section 10.2.3).
func seconds(m gateway.Micros) string {
	return strconv.FormatInt(max(1, (m+999_999)/1_000_000), 10)
}

// Left ends a visit whose client has gone.
func (f *Front) ClientGone(x *session.Exchange) {
	if v, ok := x.State.(*visit); ok {
		f.leave(v)
		f.release(v, false)
	}
}

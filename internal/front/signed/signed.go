// Package signed is the front for signed, expiring links and tokens, as content delivery
// networks issue them. Packages grants, revoked and ratelimit decide whether a request is
// admitted; this package consults them in order, has the worker pool check costly
// signatures, and builds responses as content delivery networks do. Only admitted
// requests reach a cache node.
//
// A target is /files/CLASS/GROUP/OBJECT, with ?seg=N for a part. The group is the one
// that purges name.
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

const pathPrefix = "/files/"

// Limits bound a request. The head has room for a token and many cookies; a request has
// no body.
var Limits = httpwire.Limits{Head: 16 << 10, Body: 0}

// InputBuffer bounds the bytes of pipelined requests that wait on a connection.
const InputBuffer = 64 << 10

// Class is a class of requests, with the headers and encoding of its answers.
type Class struct {
	Name     string
	Index    int // in the gateway's list of classes
	Write    bool
	GiveUp   gateway.Micros // time from a request to its deadline
	Fresh    gateway.Micros // time that a copy is fresh; 0: always
	Type     string         // Content-Type of answers; empty: none is sent
	Compress bool
	MaxAge   gateway.Micros // time that clients may cache answers; 0: they revalidate each time
}

// UseLimit bounds the uses of one token of a profile.
type UseLimit struct {
	Max         int            // 0: unlimited
	RetryWindow gateway.Micros // in which a repeated request counts as one use
}

// Tenant has the paths that a tenant's links may grant, and its limits.
type Tenant struct {
	Paths             []string        // prefixes; none: every path
	All, Key, Subject ratelimit.Limit // of all its requests, of each key, of each subject
}

// CORS sets which origins' scripts may read answers.
type CORS struct {
	Origins     []string
	Headers     []string
	Credentials bool
	MaxAge      int // s
}

// Policy is what requests are authorized by. A reload replaces it as a whole.
type Policy struct {
	ProfileSet *grants.ProfileSet
	Uses       map[string]UseLimit // by profile
	Tenants    map[string]Tenant   // by name
	Revoked    *revoked.List
	CORS       *CORS
	Classes    []Class
}

// SharedLimits are the limits and verdicts of the whole fleet.
type SharedLimits interface {
	// Take admits one request under all its claims or, if a limit refuses it, takes from
	// none and gives the time after which to retry and the reason.
	Take(claims []ratelimit.Claim) (taken []*quotalease.Bucket, retryAfter gateway.Micros, refused string)
	// Release gives back what Take took.
	Release(taken []*quotalease.Bucket)
	// Forged records a forged signature from a prefix; Suspect reports whether the
	// fleet's verdict is that a prefix forges signatures.
	Forged(p netip.Prefix)
	Suspect(p netip.Prefix) bool
}

// SetSharedLimits has requests checked against the fleet's limits as well.
func (f *Front) SetSharedLimits(s SharedLimits) { f.shared = s }

// Config bounds the memory of a front.
type Config struct {
	MaxQueue     int // queued checks of costly signatures, and of tokens to make
	MaxRates     int // names with rates or open requests
	MaxUses      int // tokens with counted uses
	EncodedBytes int // of encoded answers
}

// Front authorizes requests and builds responses as a content delivery network does.
type Front struct {
	policy   Policy
	now      func() gateway.Micros // monotonic, for durations
	wall     func() gateway.Micros // Unix time, for times in links, such as their expiry
	log      *slog.Logger
	pool     *workers.Pool
	queue    *fairqueue.Queue
	checks   map[*grants.PendingSignature]*pendingCheck
	suspects *abuse.Sketch
	rates    *ratelimit.Rates
	uses     *ratelimit.Uses
	variants *encoding.Variants
	shared   SharedLimits // nil: the fleet has none
	idBase   uint64       // random start of request ids
	idCount  uint64
}

// New makes a front. The pool does its costly work. Durations are measured by now, and
// times in links are compared with wall, the wall clock. It fails if the system gives no
// random numbers.
func New(cfg Config, policy Policy, pool *workers.Pool, now, wall func() gateway.Micros, log *slog.Logger) (*Front, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("signed: %w", err)
	}
	return &Front{policy: policy, now: now, wall: wall, log: log, pool: pool, queue: fairqueue.New(cfg.MaxQueue),
		checks: map[*grants.PendingSignature]*pendingCheck{}, suspects: abuse.New(binary.BigEndian.Uint64(seed[8:])),
		rates: ratelimit.NewRates(cfg.MaxRates), uses: ratelimit.NewUses(cfg.MaxUses), variants: encoding.New(cfg.EncodedBytes),
		idBase: binary.BigEndian.Uint64(seed[:])}, nil
}

// Reload replaces the policy. Counts of requests and uses stay; remembered results of
// signature checks are dropped with the old profile set.
func (f *Front) Reload(p Policy) { f.policy = p }

// request is the state of one request.
type request struct {
	exchange       *session.Exchange
	httpRequest    *httpwire.Request
	grantRequest   grants.Request
	contentRequest content.Request
	grant          grants.Grant
	call           *gateway.Call
	class          *Class
	claims         []ratelimit.Claim    // admitted by rates, to be released
	shared         []*quotalease.Bucket // taken from the fleet's limits, to be released
	useToken       [16]byte             // digest of the token, where its uses are counted
	useTaken       bool                 // a use of it is to be released
	origin         string               // value of Access-Control-Allow-Origin; empty: none
	check          *pendingCheck        // check that the request waits for
}

// HandleRequest admits a request, refuses it, or has it wait until its signature is
// checked (nil, nil).
func (f *Front) HandleRequest(r *httpwire.Request, x *session.Exchange) (*gateway.Call, *httpwire.Response) {
	req := &request{exchange: x, httpRequest: r}
	x.State = req
	req.origin = f.policy.CORS.origin(r.Header)
	if r.Method == "OPTIONS" && f.policy.CORS != nil {
		return nil, f.preflight(req)
	}
	if r.Method != "GET" && r.Method != "HEAD" {
		f.log.Info("signed request refused", "status", 405, "reason", "method")
		return nil, f.withCommonHeaders(req, &httpwire.Response{Status: 405, Body: []byte("links are for reading\n"),
			Header: httpwire.Header{{Name: "Allow", Value: "GET, HEAD"}}})
	}
	// The request is complete; its links are checked for this time only.
	req.grantRequest = grants.Request{Target: r.Target, Header: r.Header, Peer: x.Peer(), ReceivedAt: f.wall()}
	req.contentRequest = content.ParseRequest(r.Method, r.Header)
	return f.authorize(req)
}

// authorize checks a request's grant, revocations and target, and then admits it or has
// it wait for the check of its signature.
func (f *Front) authorize(req *request) (*gateway.Call, *httpwire.Response) {
	d := f.policy.ProfileSet.Authorize(&req.grantRequest)
	req.grant = d.Grant
	if d.Refusal != "" {
		return nil, f.refuse(req, 403, string(d.Refusal), 0)
	}
	// Cheap checks come before that of a signature.
	if what := f.policy.Revoked.Match(revoked.Grant{ID: d.ID, Subject: d.Subject, Key: d.Key.Name, Path: d.Path,
		Digest: d.Digest}); what != "" {
		return nil, f.refuse(req, 403, what+" is revoked", 0)
	}
	if tenant := f.policy.Tenants[d.Profile.Tenant]; !tenant.covers(d.Path) {
		return nil, f.refuse(req, 403, string(grants.PathNotCovered), 0)
	}
	if req.call, req.class = f.parseCall(req); req.call == nil {
		return nil, f.refuse(req, 403, string(grants.UnusableTarget), 0)
	}
	if d.Pending != nil {
		return nil, f.awaitCheck(req, d.Pending)
	}
	return f.admit(req)
}

// admit admits a request with a valid grant if the limits allow it.
func (f *Front) admit(req *request) (*gateway.Call, *httpwire.Response) {
	tenant := f.policy.Tenants[req.grant.Profile.Tenant]
	if retryAfter, status, reason := f.acquire(req, &tenant); reason != "" {
		return nil, f.refuse(req, status, reason, retryAfter)
	}
	f.idCount++
	req.call.ID = fmt.Sprintf("%016x", f.idBase+f.idCount)
	return req.call, nil
}

// covers reports whether the tenant's links may grant a path.
func (t *Tenant) covers(path string) bool {
	for _, p := range t.Paths {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return len(t.Paths) == 0
}

// parseCall makes a call of a target without its signing fields; nil: the target is
// invalid.
func (f *Front) parseCall(req *request) (*gateway.Call, *Class) {
	rest, ok := strings.CutPrefix(req.grant.Path, pathPrefix)
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
	c := &gateway.Call{Class: class.Index, Object: strings.Clone(object), Deadline: f.now() + class.GiveUp} // a copy, since the name may be cached
	if session.ParseTarget(c, req.grant.Query, group) != "" {
		return nil, nil
	}
	if tag := req.contentRequest.KnownTag(); gateway.IsName(tag) {
		c.Tag = strings.Clone(tag)
	}
	if !class.Compress {
		req.contentRequest.Encoding = ""
	}
	return c, class
}

// acquire takes one request from all limits, or gives the response status and the reason
// of the refusal, and takes nothing.
func (f *Front) acquire(req *request, t *Tenant) (retryAfter gateway.Micros, status int, reason string) {
	now, g := f.now(), &req.grant
	claims := []ratelimit.Claim{{Kind: ratelimit.Tenant, Name: g.Profile.Tenant, Limit: t.All},
		{Kind: ratelimit.Key, Name: g.Profile.Ring.Name + "/" + g.Key.Name, Limit: t.Key}}
	if g.Subject != "" {
		claims = append(claims, ratelimit.Claim{Kind: ratelimit.Subject, Name: g.Profile.Tenant + "/" + g.Subject, Limit: t.Subject})
	}
	if retryAfter, refusal := f.rates.Take(claims, now); refusal != "" {
		status = 429
		if refusal == ratelimit.RatesTableFull {
			status = 503
		}
		return retryAfter, status, string(refusal)
	}
	req.claims = claims
	if f.shared != nil {
		var refused string
		if req.shared, retryAfter, refused = f.shared.Take(claims); refused != "" {
			f.release(req, true)
			return retryAfter, 429, refused
		}
	}
	if u := f.policy.Uses[g.Profile.Name]; u.Max > 0 {
		req.useToken = g.Digest()
		retryAfter, refusal := f.uses.Take(ratelimit.Token{Name: req.useToken, ExpiresAt: now + g.ExpiresWithSkew() - f.wall(), MaxUses: u.Max,
			Object: g.Path + "?" + g.Query + " " + req.grantRequest.Peer.String(), RetryWindow: u.RetryWindow}, now)
		switch refusal {
		case "":
			req.useTaken = true
		case ratelimit.TokenUsedUp:
			status = 403
		case ratelimit.UsesTableFull:
			status = 503
		default:
			status = 429
		}
		if refusal != "" {
			f.release(req, true)
			return retryAfter, status, string(refusal)
		}
	}
	return 0, 0, ""
}

// release gives back what a request took from the limits. With notServed, a counted use of
// the token is given back too.
func (f *Front) release(req *request, notServed bool) {
	if req.claims != nil {
		f.rates.Release(req.claims)
		req.claims = nil
	}
	if req.shared != nil {
		f.shared.Release(req.shared)
		req.shared = nil
	}
	if req.useTaken {
		f.uses.Release(req.useToken, notServed)
		req.useTaken = false
	}
}

// refuse logs and builds a refusal. With a status other than 403, retryAfter is sent as
// Retry-After.
func (f *Front) refuse(req *request, status int, reason string, retryAfter gateway.Micros) *httpwire.Response {
	name, key := "", ""
	if req.grant.Profile != nil {
		name = req.grant.Profile.Name
	}
	if req.grant.Key != nil {
		key = req.grant.Key.Name
	}
	f.log.Info("signed request refused", "status", status, "reason", reason, "profile", name, "key", key)
	r := &httpwire.Response{Status: status, Body: []byte(reason + "\n")}
	if status != 403 {
		r.Header = httpwire.Header{{Name: "Retry-After", Value: seconds(retryAfter)}}
	}
	return f.withCommonHeaders(req, r)
}

// seconds gives a duration in whole seconds, rounded up, at least 1 (RFC 9110, section
// 10.2.3).
func seconds(m gateway.Micros) string {
	return strconv.FormatInt(max(1, (m+999_999)/1_000_000), 10)
}

// ClientGone ends a request whose client has disconnected.
func (f *Front) ClientGone(x *session.Exchange) {
	if req, ok := x.State.(*request); ok {
		f.abandonCheck(req)
		f.release(req, false)
	}
}

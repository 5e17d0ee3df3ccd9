package signed

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherryramp/internal/decide/abuse"
	"cherryramp/internal/decide/content"
	"cherryramp/internal/decide/fairqueue"
	"cherryramp/internal/decide/grants"
	"cherryramp/internal/front/session"
	"cherryramp/internal/front/signed/encoding"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

// minTimeToEncode is the least time before a call's deadline at which its answer is
// still encoded.
const minTimeToEncode gateway.Micros = 50_000

func add(r *httpwire.Response, name, value string) {
	r.Header = append(r.Header, httpwire.Field{Name: name, Value: value})
}

// BuildResponse builds the response to a call's final answer; nil: the pool has work
// for it, and the response follows by Exchange.Reply.
func (f *Front) BuildResponse(x *session.Exchange, a gateway.Answer) *httpwire.Response {
	req := x.State.(*request)
	f.release(req, a.Kind == gateway.Refused)
	switch {
	case a.Kind == gateway.Refused:
		return f.withCommonHeaders(req, f.OverloadResponse(a.RetryAfter))
	case a.Kind == gateway.Failed && a.TimedOut:
		return f.withCommonHeaders(req, &httpwire.Response{Status: 504})
	case a.Kind == gateway.Failed:
		return f.withCommonHeaders(req, &httpwire.Response{Status: 502})
	}
	return f.renewToken(req, &a)
}

// OverloadResponse builds a refusal that asks the client to retry after a time.
func (f *Front) OverloadResponse(retryAfter loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503, Header: httpwire.Header{{Name: "Retry-After", Value: seconds(retryAfter)}}}
}

// renewToken makes the next token, if the grant is of a chain of tokens, and then the
// response that sets it. Where the signature is costly the pool makes it; without room
// in the queue the response goes out without a token.
func (f *Front) renewToken(req *request, a *gateway.Answer) *httpwire.Response {
	costly, renews := req.grant.Renewable()
	if !renews {
		return f.respond(req, a, nil)
	}
	now := f.wall()
	if !costly {
		return f.respond(req, a, f.logMintError(req.grant.Renew(now)))
	}
	var cookie *grants.Cookie
	var err error
	job := &fairqueue.Job{Tenant: req.grant.Profile.Tenant, Prefix: abuse.Prefix(req.grantRequest.Peer)}
	job.Value = &task{run: func() { cookie, err = req.grant.Renew(now) }, done: func(dropped bool) {
		if dropped {
			f.log.Warn("no next token: too many signatures to make", "profile", req.grant.Profile.Name)
		}
		if r := f.respond(req, a, f.logMintError(cookie, err)); r != nil {
			req.exchange.Reply(r)
		}
	}}
	if evicted := f.queue.Push(job); evicted == job {
		f.log.Warn("no next token: too many signatures to make", "profile", req.grant.Profile.Name)
		return f.respond(req, a, nil)
	} else if evicted != nil {
		f.drop(evicted)
	}
	f.dispatch()
	return nil
}

// logMintError logs the error of Renew, if any, and passes the cookie on.
func (f *Front) logMintError(c *grants.Cookie, err error) *grants.Cookie {
	if err != nil {
		f.log.Error("next token can't be made", "error", err)
	}
	return c
}

// respond builds the response to a served call: the whole body, ranges, an encoded body,
// or that the client's copy is current. It gives nil where a worker encodes the body
// first.
func (f *Front) respond(req *request, a *gateway.Answer, c *grants.Cookie) *httpwire.Response {
	plan := content.Plan{Status: 304}
	if a.Kind == gateway.Served {
		plan = req.contentRequest.Plan(len(a.Body), a.Tag)
	}
	if plan.Status == 200 && req.contentRequest.Encoding != "" && len(a.Body) >= encoding.MinSize {
		key := encoding.Key{Object: req.call.Object, Part: req.call.Part, Tag: a.Tag, CreatedAt: a.CreatedAt, Encoding: req.contentRequest.Encoding}
		body, known := f.variants.Get(key)
		if known || !f.encode(req, a, c, key) {
			return f.contentResponse(req, a, plan, c, body)
		}
		return nil
	}
	return f.contentResponse(req, a, plan, c, nil)
}

// encode has a worker encode an answer. It gives false, and the answer is sent
// unencoded, if no worker is free or the deadline is near: answers do not wait in the
// queue.
func (f *Front) encode(req *request, a *gateway.Answer, c *grants.Cookie, key encoding.Key) bool {
	if req.call.Deadline-f.now() < minTimeToEncode {
		return false
	}
	var body []byte
	var err error
	return f.pool.Do(func() { body, err = encoding.Encode(key.Encoding, a.Body) }, func() {
		if err != nil {
			f.log.Error("answer can't be encoded", "error", err)
		}
		if err != nil || len(body) > len(a.Body)*9/10 {
			body = nil
		}
		f.variants.Put(key, body)
		req.exchange.Reply(f.contentResponse(req, a, content.Plan{Status: 200}, c, body))
		f.dispatch()
	})
}

// contentResponse builds the response of a plan; encoded is the body in the encoding
// that the client prefers, or nil.
func (f *Front) contentResponse(req *request, a *gateway.Answer, plan content.Plan, c *grants.Cookie, encoded []byte) *httpwire.Response {
	r := &httpwire.Response{Status: plan.Status}
	kind := req.class.Type
	tag := a.Tag
	switch plan.Status {
	case 200:
		if r.Body = a.Body; encoded != nil {
			r.Body = encoded
			tag = content.EncodedTag(tag, req.contentRequest.Encoding)
			add(r, "Content-Encoding", req.contentRequest.Encoding)
		}
	case 206:
		if len(plan.Ranges) == 1 {
			p := plan.Ranges[0]
			r.Body = a.Body[p.First : p.Last+1]
			add(r, "Content-Range", string(content.AppendContentRange(nil, p, len(a.Body))))
			break
		}
		f.idCount++
		boundary := fmt.Sprintf("%016x%016x", f.idBase, f.idCount) // idBase is random, so that no body can contain the boundary on purpose
		r.Body = content.AppendMultipart(nil, a.Body, plan.Ranges, kind, boundary)
		kind = "multipart/byteranges; boundary=" + boundary
	case 416:
		add(r, "Content-Range", fmt.Sprintf("bytes */%d", len(a.Body)))
		kind, tag = "", ""
	case 304:
		kind = ""
		if a.Kind == gateway.Served && tag != "" {
			tag = a.Tag
		}
	}
	if kind != "" {
		add(r, "Content-Type", kind)
	}
	if plan.Status != 416 {
		add(r, "Accept-Ranges", "bytes")
		add(r, "Cache-Control", f.cacheControl(req, a))
		if a.CreatedAt > 0 {
			add(r, "Age", strconv.FormatInt(max(0, (f.now()-a.CreatedAt)/1_000_000), 10))
		}
	}
	if tag != "" {
		add(r, "ETag", `"`+tag+`"`)
	}
	if c != nil {
		add(r, "Set-Cookie", fmt.Sprintf("%s=%s; Path=%s; Expires=%s; Secure; HttpOnly", c.Name, c.Value, c.Path,
			time.UnixMicro(c.Expires).UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")))
	}
	return f.withCommonHeaders(req, r)
}

// cacheControl gives the Cache-Control of an answer: clients may keep it no longer than
// their grant and the copy are valid, and shared caches may not keep it.
func (f *Front) cacheControl(req *request, a *gateway.Answer) string {
	now, maxAge := f.now(), req.class.MaxAge
	if req.grant.Expires > 0 {
		maxAge = min(maxAge, req.grant.Expires-f.wall())
	}
	if req.class.Fresh > 0 {
		maxAge = min(maxAge, a.CreatedAt+req.class.Fresh-now)
	}
	if maxAge < 1_000_000 {
		return "private, no-cache"
	}
	return "private, max-age=" + strconv.FormatInt(maxAge/1_000_000, 10)
}

// withCommonHeaders adds the headers that every response has.
func (f *Front) withCommonHeaders(req *request, r *httpwire.Response) *httpwire.Response {
	var vary []string
	if req.class != nil && req.class.Compress && r.Status < 400 {
		vary = append(vary, "Accept-Encoding")
	}
	if r.Status >= 400 {
		add(r, "Cache-Control", "no-store")
	}
	if c := f.policy.CORS; c != nil {
		if !slices.Contains(c.Origins, "*") {
			vary = append(vary, "Origin")
		}
		if req.origin != "" {
			add(r, "Access-Control-Allow-Origin", req.origin)
			add(r, "Access-Control-Expose-Headers", "Age, Content-Range, ETag, Retry-After")
			if c.Credentials {
				add(r, "Access-Control-Allow-Credentials", "true")
			}
		}
	}
	if len(vary) > 0 {
		add(r, "Vary", strings.Join(vary, ", "))
	}
	return r
}

// origin gives the value of Access-Control-Allow-Origin: the request's origin, if it is
// allowed, or "*"; empty: none.
func (c *CORS) origin(h httpwire.Header) string {
	o := h.Get("Origin")
	switch {
	case c == nil || o == "" || h.Count("Origin") > 1:
		return ""
	case slices.Contains(c.Origins, o):
		return o
	case slices.Contains(c.Origins, "*"):
		return "*"
	}
	return ""
}

// preflight answers a CORS preflight request (the Fetch standard, section 3.2.2). It
// needs no grant, since browsers send no credentials with it.
func (f *Front) preflight(req *request) *httpwire.Response {
	c, method := f.policy.CORS, req.httpRequest.Header.Get("Access-Control-Request-Method")
	wantedHeaders := req.httpRequest.Header.Get("Access-Control-Request-Headers")
	allowed := req.origin != "" && (method == "GET" || method == "HEAD")
	for name := range strings.SplitSeq(wantedHeaders, ",") {
		name = strings.TrimSpace(name)
		allowed = allowed && (name == "" || slices.ContainsFunc(c.Headers, func(h string) bool { return strings.EqualFold(h, name) }))
	}
	if !allowed {
		f.log.Info("signed request refused", "status", 403, "reason", "preflight")
		return f.withCommonHeaders(req, &httpwire.Response{Status: 403, Body: []byte("preflight\n")})
	}
	r := &httpwire.Response{Status: 204}
	add(r, "Access-Control-Allow-Methods", "GET, HEAD")
	if wantedHeaders != "" {
		add(r, "Access-Control-Allow-Headers", strings.Join(c.Headers, ", "))
	}
	add(r, "Access-Control-Max-Age", strconv.Itoa(c.MaxAge))
	return f.withCommonHeaders(req, r)
}

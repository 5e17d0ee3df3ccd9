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

// encodeLeft is how much of a client's time must be left for an answer to be
// encoded first.
const encodeLeft gateway.Micros = 50_000

func add(r *httpwire.Response, name, value string) {
	r.Header = append(r.Header, httpwire.Field{Name: name, Value: value})
}

// Reply words the final answer to a call; nil where more work is in the pool.
func (f *Front) BuildResponse(x *session.Exchange, a gateway.Answer) *httpwire.Response {
	v := x.State.(*visit)
	f.release(v, a.Kind == gateway.Refused)
	switch {
	case a.Kind == gateway.Refused:
		return f.worded(v, f.OverloadResponse(a.RetryAfter))
	case a.Kind == gateway.Failed && a.TimedOut:
		return f.worded(v, &httpwire.Response{Status: 504})
	case a.Kind == gateway.Failed:
		return f.worded(v, &httpwire.Response{Status: 502})
	}
	return f.renewed(v, &a)
}

// Full words a refusal.
func (f *Front) OverloadResponse(away loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503, Header: httpwire.Header{{Name: "Retry-After", Value: seconds(away)}}}
}

// renewed makes the next token of a chain, where the grant is one of a chain,
// and then the answer that hands it out.
func (f *Front) renewed(v *visit, a *gateway.Answer) *httpwire.Response {
	costly, renews := v.grant.Renewable()
	if !renews {
		return f.answer(v, a, nil)
	}
	now := f.wall()
	if !costly {
		return f.answer(v, a, f.minted(v.grant.Renew(now)))
	}
	var cookie *grants.Cookie
	var err error
	job := &fairqueue.Job{Tenant: v.grant.Profile.Tenant, Prefix: abuse.Prefix(v.asked.Peer)}
	job.Value = &task{work: func() { cookie, err = v.grant.Renew(now) }, done: func(dropped bool) {
		if dropped {
			f.log.Warn("no next token: too many signatures to make", "profile", v.grant.Profile.Name)
		}
		if r := f.answer(v, a, f.minted(cookie, err)); r != nil {
			v.x.Reply(r)
		}
	}}
	if out := f.turns.Push(job); out == job {
		f.log.Warn("no next token: too many signatures to make", "profile", v.grant.Profile.Name)
		return f.answer(v, a, nil)
	} else if out != nil {
		f.drop(out)
	}
	f.next()
	return nil
}

func (f *Front) minted(c *grants.Cookie, err error) *grants.Cookie {
	if err != nil {
		f.log.Error("next token can't be made", "error", err)
	}
	return c
}

// answer words what a served call gives: the whole, ranges, an encoding, or
// that the client's own copy holds.
func (f *Front) answer(v *visit, a *gateway.Answer, c *grants.Cookie) *httpwire.Response {
	plan := content.Plan{Status: 304}
	if a.Kind == gateway.Served {
		plan = v.ask.Plan(len(a.Body), a.Tag)
	}
	if plan.Status == 200 && v.ask.Encoding != "" && len(a.Body) >= encoding.MinSize {
		of := encoding.Key{Object: v.call.Object, Part: v.call.Part, Tag: a.Tag, CreatedAt: a.CreatedAt, Encoding: v.ask.Encoding}
		body, known := f.variants.Get(of)
		if known || !f.encode(v, a, c, of) {
			return f.word(v, a, plan, c, body)
		}
		return nil
	}
	return f.word(v, a, plan, c, nil)
}

// encode has a worker encode an answer, if one is free and there is time. An
// answer does not wait for a turn: it goes as it is.
func (f *Front) encode(v *visit, a *gateway.Answer, c *grants.Cookie, of encoding.Key) bool {
	if v.call.Deadline-f.now() < encodeLeft {
		return false
	}
	var body []byte
	var err error
	return f.pool.Do(func() { body, err = encoding.Encode(of.Encoding, a.Body) }, func() {
		if err != nil {
			f.log.Error("answer can't be encoded", "error", err)
		}
		if err != nil || len(body) > len(a.Body)*9/10 {
			body = nil
		}
		f.variants.Put(of, body)
		v.x.Reply(f.word(v, a, content.Plan{Status: 200}, c, body))
		f.next()
	})
}

// word makes the answer; encoded is the body under the encoding asked for, or nil.
func (f *Front) word(v *visit, a *gateway.Answer, plan content.Plan, c *grants.Cookie, encoded []byte) *httpwire.Response {
	r := &httpwire.Response{Status: plan.Status}
	kind := v.class.Type
	tag := a.Tag
	switch plan.Status {
	case 200:
		if r.Body = a.Body; encoded != nil {
			r.Body = encoded
			tag = content.EncodedTag(tag, v.ask.Encoding)
			add(r, "Content-Encoding", v.ask.Encoding)
		}
	case 206:
		if len(plan.Ranges) == 1 {
			p := plan.Ranges[0]
			r.Body = a.Body[p.First : p.Last+1]
			add(r, "Content-Range", string(content.AppendContentRange(nil, p, len(a.Body))))
			break
		}
		f.count++
		boundary := fmt.Sprintf("%016x%016x", f.base, f.count) // nobody knows the base
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
		add(r, "Cache-Control", f.cacheControl(v, a))
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
	return f.worded(v, r)
}

// cacheControl says how long the client may keep an answer: never longer than
// its grant or the copy lasts, and no cache that others share may.
func (f *Front) cacheControl(v *visit, a *gateway.Answer) string {
	now, left := f.now(), v.class.MaxAge
	if v.grant.Expires > 0 {
		left = min(left, v.grant.Expires-f.wall())
	}
	if v.class.Fresh > 0 {
		left = min(left, a.CreatedAt+v.class.Fresh-now)
	}
	if left < 1_000_000 {
		return "private, no-cache"
	}
	return "private, max-age=" + strconv.FormatInt(left/1_000_000, 10)
}

// worded adds what every answer has.
func (f *Front) worded(v *visit, r *httpwire.Response) *httpwire.Response {
	var vary []string
	if v.class != nil && v.class.Compress && r.Status < 400 {
		vary = append(vary, "Accept-Encoding")
	}
	if r.Status >= 400 {
		add(r, "Cache-Control", "no-store")
	}
	if c := f.policy.CORS; c != nil {
		if !slices.Contains(c.Origins, "*") {
			vary = append(vary, "Origin")
		}
		if v.origin != "" {
			add(r, "Access-Control-Allow-Origin", v.origin)
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

// origin gives the origin that an answer may name: the request's, if it is
// among those allowed, or "*"; empty: none.
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

// preflight answers a browser's question before the request (the Fetch
// standard, section 3.2.2). It holds no grant, since browsers send none then.
func (f *Front) preflight(v *visit) *httpwire.Response {
	c, method := f.policy.CORS, v.r.Header.Get("Access-Control-Request-Method")
	asked := v.r.Header.Get("Access-Control-Request-Headers")
	good := v.origin != "" && (method == "GET" || method == "HEAD")
	for name := range strings.SplitSeq(asked, ",") {
		name = strings.TrimSpace(name)
		good = good && (name == "" || slices.ContainsFunc(c.Headers, func(h string) bool { return strings.EqualFold(h, name) }))
	}
	if !good {
		f.log.Info("signed request refused", "status", 403, "reason", "preflight")
		return f.worded(v, &httpwire.Response{Status: 403, Body: []byte("preflight\n")})
	}
	r := &httpwire.Response{Status: 204}
	add(r, "Access-Control-Allow-Methods", "GET, HEAD")
	if asked != "" {
		add(r, "Access-Control-Allow-Headers", strings.Join(c.Headers, ", "))
	}
	add(r, "Access-Control-Max-Age", strconv.Itoa(c.MaxAge))
	return f.worded(v, r)
}

// Package platform is the thin front for the platform's own protocol: HTTP/1.1
// whose target names class, object and part, and whose headers hold the rest.
package platform

import (
	"log/slog"
	"strconv"
	"strings"

	"cherryramp/internal/front/session"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

const (
	path        = "/call/"
	health      = "/ping"
	longestWait = 60_000 // ms
)

// Limits bound a request: a write carries up to 48,000 bytes.
var Limits = httpwire.Limits{Head: 8 << 10, Body: 48_000}

// Class is a class of requests.
type Class struct {
	Name  string
	Index int // by which the gateway knows it
	Write bool
	Keyed bool // repeats are dropped by their key, which every request has
}

// mostKB is the size of the largest part that can be told, in KB.
const mostKB = 1e9

// Front reads the platform's requests and words its answers.
type Front struct {
	classes []Class
	ready   func() (ok bool, why string)
	log     *slog.Logger
}

// New makes a front for the classes that requests may name. Health checks are answered by
// ready: 200, or 503 with the reason.
func New(classes []Class, ready func() (ok bool, why string), log *slog.Logger) *Front {
	return &Front{classes: classes, ready: ready, log: log}
}

// Reload has requests that come from now on name other classes.
func (f *Front) Reload(classes []Class) { f.classes = classes }

// Take answers a health check, and turns any other request into a call.
func (f *Front) Take(r *httpwire.Request, x *session.Exchange) (*gateway.Call, *httpwire.Response) {
	if r.Target == health && r.Method == "GET" {
		if ok, why := f.ready(); !ok {
			return nil, &httpwire.Response{Status: 503, Body: []byte(why + "\n")}
		}
		return nil, &httpwire.Response{Status: 200}
	}
	call, wrong := f.read(r, x.Came())
	if wrong != nil {
		f.log.Info("request rejected", "status", wrong.Status, "reason", wrong.Reason)
		return nil, &httpwire.Response{Status: wrong.Status, Body: []byte(wrong.Reason + "\n"), Close: true}
	}
	return call, nil
}

func bad(reason string) *httpwire.Error { return &httpwire.Error{Status: 400, Reason: reason} }

func (f *Front) read(r *httpwire.Request, came gateway.Micros) (*gateway.Call, *httpwire.Error) {
	target, query, _ := strings.Cut(r.Target, "?")
	rest, ok := strings.CutPrefix(target, path)
	if !ok {
		return nil, bad("target is unknown")
	}
	name, object, _ := strings.Cut(rest, "/")
	class := f.class(name)
	id := r.Header.Get("Req-Id")
	switch {
	case class < 0:
		return nil, bad("class is unknown")
	case !gateway.IsName(object):
		return nil, bad("object is malformed")
	case r.Header.Count("Req-Id") > 1 || r.Header.Count("Req-Wait-Ms") > 1 || r.Header.Count("X-Bucket") > 1 ||
		r.Header.Count("Req-Token") > 1 || r.Header.Count("Req-Kb") > 1:
		return nil, bad("a field stands twice")
	case len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "":
		return nil, bad("Req-Id is not 16 hex digits")
	case r.Method != "GET" && r.Method != "PUT" || f.classes[class].Write != (r.Method == "PUT"):
		return nil, &httpwire.Error{Status: 405, Reason: "method does not fit the class"}
	case r.Method == "GET" && len(r.Body) > 0:
		return nil, bad("a read has no body")
	}
	c := &gateway.Call{ID: id, Class: f.classes[class].Index, Object: object, Body: r.Body,
		Repeat: r.Header.Get("Req-Retry") == "1"}
	wait, err := strconv.ParseUint(r.Header.Get("Req-Wait-Ms"), 10, 32)
	if err != nil || wait == 0 || wait > longestWait {
		return nil, bad("Req-Wait-Ms is not 1 to 60000")
	}
	c.Deadline = came + int64(wait)*1000
	if f.classes[class].Keyed {
		if c.Token = r.Header.Get("Req-Token"); !gateway.IsName(c.Token) {
			return nil, bad("Req-Token is missing or malformed: the class is keyed")
		}
	}
	if text := r.Header.Get("Req-Kb"); text != "" {
		if c.Size, err = strconv.ParseFloat(text, 64); err != nil || !(c.Size >= 0 && c.Size <= mostKB) {
			return nil, bad("Req-Kb is no size in KB")
		}
	}
	if fault := session.ReadCopy(c, query, r.Header.Get("X-Bucket")); fault != "" {
		return nil, bad(fault)
	}
	if tag := strings.Trim(r.Header.Get("If-None-Match"), `"`); gateway.IsName(tag) {
		c.Tag = tag
	}
	return c, nil
}

func (f *Front) class(name string) int {
	for i, c := range f.classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Reply words the final answer to a call.
func (f *Front) Reply(_ *session.Exchange, a gateway.Answer) *httpwire.Response {
	r := &httpwire.Response{Status: 502}
	if a.Tag != "" {
		r.Header = append(r.Header, httpwire.Field{Name: "ETag", Value: `"` + a.Tag + `"`})
	}
	switch {
	case a.Kind == gateway.Served:
		r.Status, r.Body = 200, a.Body
	case a.Kind == gateway.NotModified:
		r.Status = 304
	case a.Kind == gateway.Refused:
		return f.Full(a.RetryAfter)
	case a.TimedOut:
		r.Status = 504
	}
	return r
}

// Full words a refusal.
func (f *Front) Full(away loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503,
		Header: httpwire.Header{{Name: "Srv-Wait-Ms", Value: strconv.FormatInt((away+999)/1000, 10)}}}
}

// Left has nothing to do: the front keeps nothing of a request.
func (f *Front) Left(*session.Exchange) {}

// Package platform is the front for the platform's own protocol: HTTP/1.1 requests
// whose target names class, object and part, and whose headers have the rest.
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
	callPath   = "/call/"
	healthPath = "/ping"
	maxWaitMs  = 60_000 // ms
)

// Limits bounds the size of a request. The body of a write has up to 48,000 bytes.
var Limits = httpwire.Limits{Head: 8 << 10, Body: 48_000}

// Class is a class of requests.
type Class struct {
	Name  string
	Index int // of the class in the gateway's settings
	Write bool
	Keyed bool // repeats are discarded by their key, which every request must have
}

// maxKB is the maximum size of a part that a request can give, in KB.
const maxKB = 1e9

// Front parses the platform's requests and builds the responses.
type Front struct {
	classes []Class
	ready   func() (ok bool, why string)
	log     *slog.Logger
}

// New returns a front for the classes that requests may name. Health checks are answered with 200, or with
// 503 and the reason, as ready says.
func New(classes []Class, ready func() (ok bool, why string), log *slog.Logger) *Front {
	return &Front{classes: classes, ready: ready, log: log}
}

// Reload sets the classes that later requests may name.
func (f *Front) Reload(classes []Class) { f.classes = classes }

// HandleRequest answers a health check or an invalid request, and turns any other request into a call.
func (f *Front) HandleRequest(r *httpwire.Request, x *session.Exchange) (*gateway.Call, *httpwire.Response) {
	if r.Target == healthPath && r.Method == "GET" {
		if ok, reason := f.ready(); !ok {
			return nil, &httpwire.Response{Status: 503, Body: []byte(reason + "\n")}
		}
		return nil, &httpwire.Response{Status: 200}
	}
	call, invalid := f.read(r, x.ReceivedAt())
	if invalid != nil {
		f.log.Info("request rejected", "status", invalid.Status, "reason", invalid.Reason)
		return nil, &httpwire.Response{Status: invalid.Status, Body: []byte(invalid.Reason + "\n"), Close: true}
	}
	return call, nil
}

// badRequest returns an error with status 400.
func badRequest(reason string) *httpwire.Error { return &httpwire.Error{Status: 400, Reason: reason} }

// read parses a request that came at the given time into a call.
func (f *Front) read(r *httpwire.Request, receivedAt gateway.Micros) (*gateway.Call, *httpwire.Error) {
	target, query, _ := strings.Cut(r.Target, "?")
	rest, ok := strings.CutPrefix(target, callPath)
	if !ok {
		return nil, badRequest("target is unknown")
	}
	name, object, _ := strings.Cut(rest, "/")
	class := f.class(name)
	id := r.Header.Get("Req-Id")
	switch {
	case class < 0:
		return nil, badRequest("class is unknown")
	case !gateway.IsName(object):
		return nil, badRequest("object is malformed")
	case r.Header.Count("Req-Id") > 1 || r.Header.Count("Req-Wait-Ms") > 1 || r.Header.Count("X-Bucket") > 1 ||
		r.Header.Count("Req-Token") > 1 || r.Header.Count("Req-Kb") > 1:
		return nil, badRequest("a field stands twice")
	case len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "":
		return nil, badRequest("Req-Id is not 16 hex digits")
	case r.Method != "GET" && r.Method != "PUT" || f.classes[class].Write != (r.Method == "PUT"):
		return nil, &httpwire.Error{Status: 405, Reason: "method does not fit the class"}
	case r.Method == "GET" && len(r.Body) > 0:
		return nil, badRequest("a read has no body")
	}
	// The parts that are kept are copied: they would keep the whole head in memory, the object's
	// name for as long as a copy is cached.
	c := &gateway.Call{ID: strings.Clone(id), Class: f.classes[class].Index, Object: strings.Clone(object), Body: r.Body,
		Repeat: r.Header.Get("Req-Retry") == "1"}
	wait, err := strconv.ParseUint(r.Header.Get("Req-Wait-Ms"), 10, 32)
	if err != nil || wait == 0 || wait > maxWaitMs {
		return nil, badRequest("Req-Wait-Ms is not 1 to 60000")
	}
	c.Deadline = receivedAt + int64(wait)*1000
	if f.classes[class].Keyed {
		if c.Token = strings.Clone(r.Header.Get("Req-Token")); !gateway.IsName(c.Token) {
			return nil, badRequest("Req-Token is missing or malformed: the class is keyed")
		}
	}
	if text := r.Header.Get("Req-Kb"); text != "" {
		if c.Size, err = strconv.ParseFloat(text, 64); err != nil || !(c.Size >= 0 && c.Size <= maxKB) {
			return nil, badRequest("Req-Kb is no size in KB")
		}
	}
	if fault := session.ParseTarget(c, query, r.Header.Get("X-Bucket")); fault != "" {
		return nil, badRequest(fault)
	}
	if tag := strings.Trim(r.Header.Get("If-None-Match"), `"`); gateway.IsName(tag) {
		c.Tag = strings.Clone(tag)
	}
	return c, nil
}

// class returns the index of a class in f.classes, or -1.
func (f *Front) class(name string) int {
	for i, c := range f.classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// BuildResponse returns the response for the final answer to a call.
func (f *Front) BuildResponse(_ *session.Exchange, a gateway.Answer) *httpwire.Response {
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
		return f.OverloadResponse(a.RetryAfter)
	case a.TimedOut:
		r.Status = 504
	}
	return r
}

// OverloadResponse returns the response for a refusal, with the time after which to come back.
func (f *Front) OverloadResponse(away loop.Micros) *httpwire.Response {
	return &httpwire.Response{Status: 503,
		Header: httpwire.Header{{Name: "Srv-Wait-Ms", Value: strconv.FormatInt((away+999)/1000, 10)}}}
}

// ClientGone does nothing: the front keeps no state of a request.
func (f *Front) ClientGone(*session.Exchange) {}

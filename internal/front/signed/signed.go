// Package signed is the front for links that expire: signed URLs as Google
// Cloud CDN takes them, and tokens as Akamai EdgeAuth 2.0 makes them. It checks
// a request's signature against the raw target before anything else is done
// with it, so that no forged request comes near a cache node, and passes on the
// object's name without the signing fields.
//
// A target is /files/CLASS/GROUP/OBJECT, with ?seg=N for a part. The group is
// the one that purges name.
package signed

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"cherryramp/internal/front/session"
	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
)

const path = "/files/"

// Limits bound a request; links have no body.
var Limits = httpwire.Limits{Head: 8 << 10, Body: 0}

// Class is a class of requests.
type Class struct {
	Name   string
	Write  bool
	GiveUp gateway.Micros // how long a client waits
}

// Front checks signatures and words outcomes as a content network does.
type Front struct {
	rules   Rules
	classes []Class
	log     *slog.Logger
	base    uint64 // of the ids that requests get
	count   uint64
}

// New makes a front for the classes, which calls name by their place.
func New(rules Rules, classes []Class, log *slog.Logger) (*Front, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("signed: %w", err)
	}
	return &Front{rules: rules, classes: classes, log: log, base: binary.BigEndian.Uint64(seed[:])}, nil
}

// Take lets a request in, or refuses it for good.
func (f *Front) Take(r *httpwire.Request) (*gateway.Call, *httpwire.Response) {
	if r.Method != "GET" && r.Method != "HEAD" {
		f.log.Info("signed request refused", "status", 405, "reason", "method")
		return nil, &httpwire.Response{Status: 405, Body: []byte("links are for reading\n"),
			Header: httpwire.Header{{Name: "Allow", Value: "GET, HEAD"}}}
	}
	now := loop.Now() // the last byte is here: this try is judged once, now
	g, err := f.rules.verify(r.Target, r.Header, now)
	var call *gateway.Call
	if err == nil {
		call, err = f.read(g, r.Header, now)
	}
	if err != nil {
		f.log.Info("signed request refused", "status", 403, "reason", err.Error(), "key", g.key)
		return nil, &httpwire.Response{Status: 403, Body: []byte(err.Error() + "\n")}
	}
	return call, nil
}

// read turns a granted target into a call.
func (f *Front) read(g grant, header httpwire.Header, now gateway.Micros) (*gateway.Call, error) {
	rest, ok := strings.CutPrefix(g.path, path)
	words := strings.Split(rest, "/")
	if !ok || len(words) != 3 || !gateway.IsName(words[2]) {
		return nil, errTarget
	}
	c := &gateway.Call{Class: -1, Object: words[2]}
	for i, x := range f.classes {
		if x.Name == words[0] && !x.Write {
			c.Class, c.Deadline = i, now+x.GiveUp
		}
	}
	if c.Class < 0 || session.ReadCopy(c, g.query, words[1], header) != "" {
		return nil, errTarget
	}
	f.count++
	c.ID = fmt.Sprintf("%016x", f.base+f.count)
	return c, nil
}

// Reply words the final answer to a call.
func (f *Front) Reply(a gateway.Answer) *httpwire.Response {
	r := &httpwire.Response{Status: 502}
	switch {
	case a.Kind == gateway.Served:
		r.Status, r.Body = 200, a.Body
	case a.Kind == gateway.Current:
		r.Status = 304
	case a.Kind == gateway.Refused:
		r.Status = 503
		away := strconv.FormatInt(max(1, (a.Await+999_999)/1_000_000), 10)
		r.Header = httpwire.Header{{Name: "Retry-After", Value: away}}
		return r
	case a.Late:
		r.Status = 504
	}
	// Links run out, so no cache on the way may answer in their place.
	r.Header = httpwire.Header{{Name: "Cache-Control", Value: "private, no-cache"}}
	if a.Tag != "" {
		r.Header = append(r.Header, httpwire.Field{Name: "ETag", Value: `"` + a.Tag + `"`})
	}
	return r
}

// Package content decides which answer a client gets of an object whose bytes
// and tag are known: the whole, some ranges, the news that its own copy holds,
// and in which encoding. It follows RFC 9110: section 8.8.3 for tags, 12.5.3 for
// encodings, 13 for conditions and 14 for ranges.
package content

import (
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/httpwire"
)

// Bounds of what a request may ask for.
const (
	MaxRanges = 8  // more are refused
	mostTags  = 32 // in If-None-Match; more are passed over
)

// Encodings are those that answers may have, the best first where a client
// likes them alike. The words are IANA's.
var Encodings = []string{"br", "zstd", "gzip"}

// suffixes part the tags of encoded answers from the tag of the bytes.
var suffixes = map[string]string{"br": "-br", "zstd": "-zs", "gzip": "-gz"}

// Ask is what a request says of the answer that it wants.
type Request struct {
	any      bool     // If-None-Match: *
	tags     []string // opaque tags, weak or not: for reads the comparison is weak
	ranges   []span
	ranged   bool // ranges were asked for in a form that can be used
	abuse    bool // too many of them
	ifRange  string
	hasIf    bool
	Encoding string // the best that the client takes; empty: none
}

// span is a range as asked for; from -1 is a suffix of to bytes, to -1 is open.
type span struct{ from, to int64 }

// Part is a range of bytes of an object, both ends in it.
type ByteRange struct{ First, Last int }

// Read reads a request's header. Fields that can't be used are passed over, as
// the RFC has it, but for ranges that are too many.
func ParseRequest(method string, h httpwire.Header) (a Request) {
	for _, f := range h {
		switch {
		case strings.EqualFold(f.Name, "If-None-Match"):
			a.readTags(f.Value)
		case strings.EqualFold(f.Name, "If-Range"):
			a.ifRange, a.hasIf = f.Value, true
		case strings.EqualFold(f.Name, "Accept-Encoding"):
			a.Encoding = choose(f.Value, a.Encoding)
		}
	}
	if method == "GET" && h.Count("Range") == 1 {
		a.readRanges(h.Get("Range"))
	}
	if a.ranged {
		a.Encoding = "" // a range is always of the bytes themselves
	}
	return a
}

func (a *Request) readTags(list string) {
	for list != "" && len(a.tags) < mostTags {
		list = strings.TrimLeft(list, " \t,")
		if list == "*" {
			a.any = true
			return
		}
		rest := strings.TrimPrefix(list, "W/")
		if !strings.HasPrefix(rest, `"`) {
			return
		}
		tag, after, ok := strings.Cut(rest[1:], `"`)
		if !ok {
			return
		}
		a.tags = append(a.tags, tag)
		list = after
	}
}

// Known gives the tag of a copy that the client holds, bare, to be asked for
// further in; empty: none, or more than one, of which nobody knows which holds.
func (a *Request) KnownTag() string {
	known := ""
	for _, tag := range a.tags {
		bare := a.bare(tag)
		if known != "" && bare != known {
			return ""
		}
		known = bare
	}
	return known
}

// bare takes the suffix of the encoding off that this request would get.
func (a *Request) bare(tag string) string {
	if s := suffixes[a.Encoding]; s != "" {
		return strings.TrimSuffix(tag, s)
	}
	return tag
}

// Holds tells whether the client's own copy is the one with a tag.
func (a *Request) Matches(tag string) bool {
	return a.any || tag != "" && slices.ContainsFunc(a.tags, func(t string) bool { return a.bare(t) == tag })
}

func (a *Request) readRanges(text string) {
	unit, list, ok := strings.Cut(text, "=")
	if !ok || !strings.EqualFold(unit, "bytes") {
		return
	}
	for item := range strings.SplitSeq(list, ",") {
		item = strings.Trim(item, " \t")
		if item == "" {
			continue
		}
		first, last, ok := strings.Cut(item, "-")
		s := span{from: -1, to: -1}
		good := ok && first+last != ""
		if first != "" {
			s.from, good = position(first, good)
		}
		if last != "" {
			s.to, good = position(last, good)
		}
		if !good || s.from >= 0 && s.to >= 0 && s.to < s.from {
			a.ranges = nil
			return // one that can't be read spoils the field
		}
		if len(a.ranges) == MaxRanges {
			a.abuse = true
			break
		}
		a.ranges = append(a.ranges, s)
	}
	a.ranged = len(a.ranges) > 0
}

// position reads a number of any length; what no object can have is a large one.
func position(text string, good bool) (int64, bool) {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		n = 1 << 62
	}
	return n, good
}

// Plan is what to answer.
type Plan struct {
	Status int         // 200, 206, 304 or 416
	Ranges []ByteRange // with 206
}

// Plan decides on an object of so many bytes under a tag.
func (a *Request) Plan(size int, tag string) Plan {
	if a.Matches(tag) {
		return Plan{Status: 304}
	}
	if !a.ranged || a.hasIf && (tag == "" || a.ifRange != `"`+tag+`"`) { // the comparison is strong
		return Plan{Status: 200}
	}
	var parts []ByteRange
	total := 0
	for _, s := range a.ranges {
		p := ByteRange{int(min(s.from, int64(size))), size - 1}
		switch {
		case s.from < 0:
			p.First = int(max(0, int64(size)-s.to))
		case s.to >= 0:
			p.Last = int(min(s.to, int64(size)-1))
		}
		if s.from < 0 && s.to == 0 || p.First >= size || p.Last < p.First {
			continue
		}
		parts = append(parts, p)
		total += p.Last - p.First + 1
	}
	if a.abuse || len(parts) == 0 || total > size && len(parts) > 1 || overlapping(parts) {
		return Plan{Status: 416}
	}
	return Plan{Status: 206, Ranges: parts}
}

// overlapping tells whether a byte is asked for more than twice (RFC 9110,
// section 17.15, leaves what is too much to the server).
func overlapping(parts []ByteRange) bool {
	for i, p := range parts {
		n := 0
		for j, o := range parts {
			if i != j && o.First <= p.First && p.First <= o.Last {
				n++
			}
		}
		if n > 1 {
			return true
		}
	}
	return false
}

// Tagged gives the tag of an object in an encoding.
func EncodedTag(tag, encoding string) string { return tag + suffixes[encoding] }

// choose gives the best encoding that an Accept-Encoding field takes.
func choose(field, best string) string {
	weights := [...]float64{-1, -1, -1}
	rest, identity := -1.0, -1.0
	for item := range strings.SplitSeq(field, ",") {
		name, param, _ := strings.Cut(item, ";")
		name = strings.ToLower(strings.Trim(name, " \t"))
		q := 1.0
		if key, value, ok := strings.Cut(strings.Trim(param, " \t"), "="); ok && strings.EqualFold(strings.TrimSpace(key), "q") {
			x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || x < 0 || x > 1 {
				continue
			}
			q = x
		}
		switch i := slices.Index(Encodings, name); {
		case i >= 0:
			weights[i] = q
		case name == "x-gzip":
			weights[2] = q
		case name == "*":
			rest = q
		case name == "identity":
			identity = q
		}
	}
	most := 0.0
	for i, q := range weights {
		if q < 0 {
			q = max(rest, 0)
		}
		if q > most && q >= identity {
			most, best = q, Encodings[i]
		}
	}
	return best
}

// AppendParts writes several ranges of a body as multipart/byteranges (RFC
// 9110, section 14.6).
func AppendMultipart(b, body []byte, parts []ByteRange, kind, boundary string) []byte {
	for _, p := range parts {
		b = append(b, "\r\n--"...)
		b = append(b, boundary...)
		if kind != "" {
			b = append(b, "\r\nContent-Type: "...)
			b = append(b, kind...)
		}
		b = append(b, "\r\nContent-Range: "...)
		b = AppendContentRange(b, p, len(body))
		b = append(b, "\r\n\r\n"...)
		b = append(b, body[p.First:p.Last+1]...)
	}
	b = append(b, "\r\n--"...)
	b = append(b, boundary...)
	return append(b, "--\r\n"...)
}

// AppendRange writes a Content-Range.
func AppendContentRange(b []byte, p ByteRange, size int) []byte {
	b = append(b, "bytes "...)
	b = strconv.AppendInt(b, int64(p.First), 10)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(p.Last), 10)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(size), 10)
}

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
	maxTags   = 32 // in If-None-Match; more are passed over
)

// Encodings are those that answers may have, the best first where a client
// likes them alike. The words are IANA's.
var Encodings = []string{"br", "zstd", "gzip"}

// suffixes part the tags of encoded answers from the tag of the bytes.
var tagSuffixes = map[string]string{"br": "-br", "zstd": "-zs", "gzip": "-gz"}

// Ask is what a request says of the answer that it wants.
type Request struct {
	anyTag        bool     // If-None-Match: *
	tags          []string // opaque tags, weak or not: for reads the comparison is weak
	ranges        []span
	hasRange      bool // ranges were asked for in a form that can be used
	tooManyRanges bool // too many of them
	ifRange       string
	hasIfRange    bool
	Encoding      string // the best that the client takes; empty: none
}

// span is a range as asked for; from -1 is a suffix of to bytes, to -1 is open.
type span struct{ first, last int64 }

// Part is a range of bytes of an object, both ends in it.
type ByteRange struct{ First, Last int }

// Read reads a request's header. Fields that can't be used are passed over, as
// the RFC has it, but for ranges that are too many.
func ParseRequest(method string, h httpwire.Header) (r Request) {
	for _, f := range h {
		switch {
		case strings.EqualFold(f.Name, "If-None-Match"):
			r.parseTags(f.Value)
		case strings.EqualFold(f.Name, "If-Range"):
			r.ifRange, r.hasIfRange = f.Value, true
		case strings.EqualFold(f.Name, "Accept-Encoding"):
			r.Encoding = chooseEncoding(f.Value, r.Encoding)
		}
	}
	if method == "GET" && h.Count("Range") == 1 {
		r.parseRanges(h.Get("Range"))
	}
	if r.hasRange {
		r.Encoding = "" // a range is always of the bytes themselves
	}
	return r
}

func (r *Request) parseTags(list string) {
	for list != "" && len(r.tags) < maxTags {
		list = strings.TrimLeft(list, " \t,")
		if list == "*" {
			r.anyTag = true
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
		r.tags = append(r.tags, tag)
		list = after
	}
}

// Known gives the tag of a copy that the client holds, bare, to be asked for
// further in; empty: none, or more than one, of which nobody knows which holds.
func (r *Request) KnownTag() string {
	known := ""
	for _, tag := range r.tags {
		bare := r.stripSuffix(tag)
		if known != "" && bare != known {
			return ""
		}
		known = bare
	}
	return known
}

// bare takes the suffix of the encoding off that this request would get.
func (r *Request) stripSuffix(tag string) string {
	if s := tagSuffixes[r.Encoding]; s != "" {
		return strings.TrimSuffix(tag, s)
	}
	return tag
}

// Holds tells whether the client's own copy is the one with a tag.
func (r *Request) Matches(tag string) bool {
	return r.anyTag || tag != "" && slices.ContainsFunc(r.tags, func(t string) bool { return r.stripSuffix(t) == tag })
}

func (r *Request) parseRanges(text string) {
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
		s := span{first: -1, last: -1}
		good := ok && first+last != ""
		if first != "" {
			s.first, good = parsePosition(first, good)
		}
		if last != "" {
			s.last, good = parsePosition(last, good)
		}
		if !good || s.first >= 0 && s.last >= 0 && s.last < s.first {
			r.ranges = nil
			return // one that can't be read spoils the field
		}
		if len(r.ranges) == MaxRanges {
			r.tooManyRanges = true
			break
		}
		r.ranges = append(r.ranges, s)
	}
	r.hasRange = len(r.ranges) > 0
}

// position reads a number of any length; what no object can have is a large one.
func parsePosition(text string, good bool) (int64, bool) {
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
func (r *Request) Plan(size int, tag string) Plan {
	if r.Matches(tag) {
		return Plan{Status: 304}
	}
	if !r.hasRange || r.hasIfRange && (tag == "" || r.ifRange != `"`+tag+`"`) { // the comparison is strong
		return Plan{Status: 200}
	}
	var ranges []ByteRange
	total := 0
	for _, s := range r.ranges {
		p := ByteRange{int(min(s.first, int64(size))), size - 1}
		switch {
		case s.first < 0:
			p.First = int(max(0, int64(size)-s.last))
		case s.last >= 0:
			p.Last = int(min(s.last, int64(size)-1))
		}
		if s.first < 0 && s.last == 0 || p.First >= size || p.Last < p.First {
			continue
		}
		ranges = append(ranges, p)
		total += p.Last - p.First + 1
	}
	if r.tooManyRanges || len(ranges) == 0 || total > size && len(ranges) > 1 || overlapsTooMuch(ranges) {
		return Plan{Status: 416}
	}
	return Plan{Status: 206, Ranges: ranges}
}

// overlapping tells whether a byte is asked for more than twice (RFC 9110,
// section 17.15, leaves what is too much to the server).
func overlapsTooMuch(ranges []ByteRange) bool {
	for i, p := range ranges {
		n := 0
		for j, o := range ranges {
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
func EncodedTag(tag, encoding string) string { return tag + tagSuffixes[encoding] }

// choose gives the best encoding that an Accept-Encoding field takes.
func chooseEncoding(field, best string) string {
	weights := [...]float64{-1, -1, -1}
	wildcard, identity := -1.0, -1.0
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
			wildcard = q
		case name == "identity":
			identity = q
		}
	}
	highest := 0.0
	for i, q := range weights {
		if q < 0 {
			q = max(wildcard, 0)
		}
		if q > highest && q >= identity {
			highest, best = q, Encodings[i]
		}
	}
	return best
}

// AppendParts writes several ranges of a body as multipart/byteranges (RFC
// 9110, section 14.6).
func AppendMultipart(b, body []byte, ranges []ByteRange, contentType, boundary string) []byte {
	for _, r := range ranges {
		b = append(b, "\r\n--"...)
		b = append(b, boundary...)
		if contentType != "" {
			b = append(b, "\r\nContent-Type: "...)
			b = append(b, contentType...)
		}
		b = append(b, "\r\nContent-Range: "...)
		b = AppendContentRange(b, r, len(body))
		b = append(b, "\r\n\r\n"...)
		b = append(b, body[r.First:r.Last+1]...)
	}
	b = append(b, "\r\n--"...)
	b = append(b, boundary...)
	return append(b, "--\r\n"...)
}

// AppendRange writes a Content-Range.
func AppendContentRange(b []byte, r ByteRange, size int) []byte {
	b = append(b, "bytes "...)
	b = strconv.AppendInt(b, int64(r.First), 10)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(r.Last), 10)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(size), 10)
}

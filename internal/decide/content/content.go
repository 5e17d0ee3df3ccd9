// Package content decides how to answer a request for an object whose bytes and
// entity tag are known: with the whole object, with ranges, or with 304, and in which
// encoding. It follows RFC 9110: section 8.8.3 for entity tags, 12.5.3 for encodings,
// 13 for conditional requests and 14 for ranges.
package content

import (
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/httpwire"
)

// Bounds of a request.
const (
	MaxRanges = 8  // more are refused with 416
	maxTags   = 32 // in If-None-Match; more are ignored
)

// Encodings are the supported content codings by their IANA names, in order of
// preference among those that a client weights equally.
var Encodings = []string{"br", "zstd", "gzip"}

// tagSuffixes distinguish the entity tags of encoded answers from the tag of the
// unencoded bytes.
var tagSuffixes = map[string]string{"br": "-br", "zstd": "-zs", "gzip": "-gz"}

// Request holds the fields of a request that select the answer.
type Request struct {
	anyTag        bool     // If-None-Match: *
	tags          []string // opaque tags of If-None-Match; weak ones too, since its comparison is weak
	ranges        []span
	hasRange      bool // there is a valid Range field
	tooManyRanges bool // more than MaxRanges
	ifRange       string
	hasIfRange    bool
	Encoding      string // best encoding that the client accepts; empty: identity
}

// span is a range as requested. If first is -1, it is a suffix of last bytes; if last
// is -1, it extends to the end.
type span struct{ first, last int64 }

// ByteRange is a range of bytes of an object; both ends are inclusive.
type ByteRange struct{ First, Last int }

// ParseRequest parses a request's header. Invalid fields are ignored, as the RFC
// requires; too many ranges lead to a Plan of status 416.
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
		r.Encoding = "" // ranges are served of the unencoded bytes only
	}
	return r
}

// parseTags adds the entity tags of an If-None-Match field.
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

// KnownTag returns the tag, without suffix, of the copy that the client holds, for a
// conditional request to the next server. It is empty if the client names none, or
// several, of which any may be the current one.
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

// stripSuffix removes the suffix of the encoding that this request would get.
func (r *Request) stripSuffix(tag string) string {
	if s := tagSuffixes[r.Encoding]; s != "" {
		return strings.TrimSuffix(tag, s)
	}
	return tag
}

// Matches reports whether the client holds the copy with the given tag.
func (r *Request) Matches(tag string) bool {
	return r.anyTag || tag != "" && slices.ContainsFunc(r.tags, func(t string) bool { return r.stripSuffix(t) == tag })
}

// parseRanges parses a Range field. An invalid field is ignored.
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
			return // one invalid range invalidates the field
		}
		if len(r.ranges) == MaxRanges {
			r.tooManyRanges = true
			break
		}
		r.ranges = append(r.ranges, s)
	}
	r.hasRange = len(r.ranges) > 0
}

// parsePosition parses a decimal number of any length; those beyond int64 become
// 1<<62, which is beyond the end of any object. It returns false for other text, and
// else passes good on.
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

// Plan is the decision how to answer.
type Plan struct {
	Status int         // 200, 206, 304 or 416
	Ranges []ByteRange // for 206
}

// Plan decides how to answer for an object of the given size in bytes and tag.
func (r *Request) Plan(size int, tag string) Plan {
	if r.Matches(tag) {
		return Plan{Status: 304}
	}
	if !r.hasRange || r.hasIfRange && (tag == "" || r.ifRange != `"`+tag+`"`) { // If-Range requires a strong comparison
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

// overlapsTooMuch reports whether a byte is requested more than twice (RFC 9110,
// section 17.15, leaves the limit to the server).
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

// EncodedTag returns the tag of an object in an encoding.
func EncodedTag(tag, encoding string) string { return tag + tagSuffixes[encoding] }

// chooseEncoding returns the preferred encoding of an Accept-Encoding field, or best
// if it accepts none.
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

// AppendMultipart appends ranges of a body as multipart/byteranges (RFC 9110, section
// 14.6). An empty contentType leaves the field out.
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

// AppendContentRange appends the value of a Content-Range field for an object of the
// given size.
func AppendContentRange(b []byte, r ByteRange, size int) []byte {
	b = append(b, "bytes "...)
	b = strconv.AppendInt(b, int64(r.First), 10)
	b = append(b, '-')
	b = strconv.AppendInt(b, int64(r.Last), 10)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(size), 10)
}

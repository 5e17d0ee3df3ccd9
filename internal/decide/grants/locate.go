package grants

import (
	"net/url"
	"strings"
)

// locate finds the one credential of a request and parts it from the target.
func (s *ProfileSet) locate(r *Request, c *credential) Refusal {
	if len(r.Target) > mostTarget {
		return UnusableTarget
	}
	for _, x := range s.touched {
		*x = found{family: x.family, at: x.at}
	}
	s.touched = s.touched[:0]
	path, query, _ := strings.Cut(r.Target, "?")
	path, refusal := s.inPath(path)
	if refusal != "" {
		return refusal
	}
	if !plainPath(path) {
		return UnusableTarget
	}
	if refusal := s.inQuery(query); refusal != "" {
		return refusal
	}
	for _, f := range r.Header {
		if f.Name != "" && s.begin[inHeader][f.Name[0]|0x20] {
			if refs := s.header(f.Name); refs != nil {
				s.take(inHeader, refs, f.Value, 0, 0)
			}
		}
		if len(f.Name) == len("Cookie") && strings.EqualFold(f.Name, "Cookie") {
			s.inCookies(f.Value)
		}
	}
	c.path, c.target = path, r.Target
	stray, many := false, 0
	for _, x := range s.touched {
		if n := &x.family.names; n.alone[x.at] {
			x.twice = x.twice || x.count > 1
		} else if x.have&n.telling == 0 {
			stray = true // fields that some formats share, and none that tells which
			continue
		}
		many++
		if c.family == nil {
			c.family, c.found, c.carrier = x.family, x, x.at
		}
	}
	switch {
	case many == 0 && stray:
		return MalformedSignature
	case many == 0:
		return MissingSignature
	case many > 1 || c.twice && (c.names.alone[c.carrier] || len(c.names.fields[c.carrier]) == 1):
		return MultipleSignatures
	case c.twice:
		return MalformedSignature
	case stray && !s.shared(c):
		return MultipleSignatures
	}
	c.query = s.rest(query, c)
	return ""
}

// shared tells whether all stray fields are names that the chosen credential
// has as well, in the same carrier.
func (s *ProfileSet) shared(c *credential) bool {
	for _, x := range s.touched {
		if x == c.found {
			continue
		}
		if x.at != c.carrier {
			return false
		}
		for f, name := range x.family.names.fields[x.at] {
			if x.have&(1<<f) != 0 && !has(c.names.fields[x.at], name) {
				return false
			}
		}
	}
	return true
}

func has(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

func (s *ProfileSet) take(at carrier, refs []ref, value string, from, to int) {
	for _, ref := range refs {
		x := &s.found[at][ref.family]
		if x.have == 0 {
			x.first = from
			s.touched = append(s.touched, x)
		}
		x.last = to
		if x.have&(1<<ref.field) != 0 {
			x.twice = true
			continue
		}
		x.have |= 1 << ref.field
		x.values[ref.field] = value
		x.order[x.count] = uint8(ref.field)
		x.count++
	}
}

// header finds a header's name without allocating for its case.
func (s *ProfileSet) header(name string) []ref {
	if len(name) > 64 {
		return nil
	}
	var lower [64]byte
	for i := range len(name) {
		b := name[i]
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		lower[i] = b
	}
	return s.names[inHeader][string(lower[:len(name)])]
}

// inQuery takes the signing fields of a query. A name in another spelling than
// the plain one is refused, so that no other reader of the URL takes it for one.
func (s *ProfileSet) inQuery(query string) Refusal {
	for at := 0; at < len(query); {
		end := len(query)
		if i := strings.IndexByte(query[at:], '&'); i >= 0 {
			end = at + i
		}
		name, value, _ := strings.Cut(query[at:end], "=")
		var refs []ref
		if name != "" && s.begin[inQuery][name[0]] {
			refs = s.names[inQuery][name]
		}
		if refs == nil && strings.ContainsAny(name, "%+") {
			plain, err := url.QueryUnescape(name)
			if err != nil {
				return UnusableTarget
			}
			if s.names[inQuery][plain] != nil {
				return MalformedSignature
			}
		}
		if refs != nil {
			s.take(inQuery, refs, value, at, end)
		}
		at = end + 1
	}
	return ""
}

// rest is the query without the credential's fields.
func (s *ProfileSet) rest(query string, c *credential) string {
	if query == "" || c.carrier != inQuery {
		return query
	}
	mine := c.names.fields[inQuery]
	// The usual case allocates nothing: the fields stand together at an end.
	if c.first > 0 && c.last == len(query) && strings.Count(query[c.first:], "&") == c.count-1 {
		return query[:c.first-1]
	}
	if c.first == 0 && strings.Count(query[:c.last], "&") == c.count-1 {
		return strings.TrimPrefix(query[c.last:], "&")
	}
	var keep []string
	for _, p := range strings.Split(query, "&") {
		if name, _, _ := strings.Cut(p, "="); !has(mine, name) {
			keep = append(keep, p)
		}
	}
	return strings.Join(keep, "&")
}

// inCookies takes the signing fields of a Cookie header (RFC 6265, section 5.4).
func (s *ProfileSet) inCookies(value string) {
	for value != "" {
		pair := value
		if i := strings.IndexByte(value, ';'); i >= 0 {
			pair, value = value[:i], value[i+1:]
		} else {
			value = ""
		}
		pair = strings.Trim(pair, " \t")
		if i := strings.IndexByte(pair, '='); i > 0 && s.begin[inCookie][pair[0]] {
			if refs := s.names[inCookie][pair[:i]]; refs != nil {
				s.take(inCookie, refs, pair[i+1:], 0, 0)
			}
		}
	}
}

// inPath takes signing fields that stand in the path: as a parameter of a
// segment, ;NAME=VALUE, or as a segment of its own, /NAME=VALUE. It gives the
// path without them.
func (s *ProfileSet) inPath(path string) (string, Refusal) {
	if len(s.names[inPath]) == 0 || !strings.Contains(path, "=") {
		return path, ""
	}
	for at := 0; at < len(path); {
		i := strings.IndexAny(path[at:], "/;")
		if i < 0 {
			break
		}
		mark := at + i
		at = mark + 1
		end := len(path)
		if i := strings.IndexAny(path[at:], "/;"); i >= 0 {
			end = at + i
		}
		name, value, ok := strings.Cut(path[at:end], "=")
		refs := s.names[inPath][path[mark:mark+1]+name]
		if !ok || refs == nil {
			continue
		}
		s.take(inPath, refs, value, mark, end)
		path = path[:mark] + path[end:]
		at = mark
	}
	return path, ""
}

// plainPath refuses paths that can be read in more than one way: dot segments,
// encoded or not, empty segments, encoded slashes and backslashes, and what
// would decode to something that can be decoded again.
func plainPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	encoded := false
	for i, from := 1, 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if path[i] == '\\' {
				return false
			}
			encoded = encoded || path[i] == '%'
			continue
		}
		if n := i - from; n == 0 || path[from] == '.' && (n == 1 || n == 2 && path[from+1] == '.') {
			return false
		}
		from = i + 1
	}
	if !encoded {
		return true
	}
	text, err := url.PathUnescape(path)
	return err == nil && strings.Count(text, "/") == strings.Count(path, "/") && !strings.ContainsAny(text, "\\%\x00") &&
		plainPath(text)
}

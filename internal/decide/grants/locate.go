package grants

import (
	"net/url"
	"strings"
)

// locate finds the one credential of a request and removes it from the path and
// the query.
func (set *ProfileSet) locate(req *Request, cred *credential) Refusal {
	if len(req.Target) > maxTargetBytes {
		return UnusableTarget
	}
	for _, fields := range set.populated {
		*fields = fieldValues{family: fields.family, carrier: fields.carrier}
	}
	set.populated = set.populated[:0]
	path, query, _ := strings.Cut(req.Target, "?")
	path, refusal := set.extractPath(path)
	if refusal != "" {
		return refusal
	}
	if !unambiguousPath(path) {
		return UnusableTarget
	}
	if refusal := set.extractQuery(query); refusal != "" {
		return refusal
	}
	for _, field := range req.Header {
		if field.Name != "" && set.firstBytes[inHeader][field.Name[0]|0x20] {
			if refs := set.headerRefs(field.Name); refs != nil {
				set.record(inHeader, refs, field.Value, 0, 0)
			}
		}
		if len(field.Name) == len("Cookie") && strings.EqualFold(field.Name, "Cookie") {
			set.extractCookies(field.Value)
		}
	}
	cred.path, cred.target = path, req.Target
	stray, credentials := false, 0
	for _, fields := range set.populated {
		if names := &fields.family.fieldNames; names.single[fields.carrier] {
			fields.duplicate = fields.duplicate || fields.count > 1
		} else if fields.present&names.identifying == 0 {
			stray = true // only fields that several formats share
			continue
		}
		credentials++
		if cred.family == nil {
			cred.family, cred.fieldValues, cred.carrier = fields.family, fields, fields.carrier
		}
	}
	switch {
	case credentials == 0 && stray:
		return MalformedSignature
	case credentials == 0:
		return MissingSignature
	case credentials > 1 || cred.duplicate && (cred.fieldNames.single[cred.carrier] || len(cred.fieldNames.byCarrier[cred.carrier]) == 1):
		return MultipleSignatures
	case cred.duplicate:
		return MalformedSignature
	case stray && !set.sharesStray(cred):
		return MultipleSignatures
	}
	cred.query = set.stripQuery(query, cred)
	return ""
}

// sharesStray reports whether all stray fields are ones that the chosen
// credential has as well, in the same carrier.
func (set *ProfileSet) sharesStray(cred *credential) bool {
	for _, fields := range set.populated {
		if fields == cred.fieldValues {
			continue
		}
		if fields.carrier != cred.carrier {
			return false
		}
		for field, name := range fields.family.fieldNames.byCarrier[fields.carrier] {
			if fields.present&(1<<field) != 0 && !containsName(cred.fieldNames.byCarrier[fields.carrier], name) {
				return false
			}
		}
	}
	return true
}

func containsName(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// record stores a field's value for every family that has the field. In a query or
// a path, the field extends from start to end.
func (set *ProfileSet) record(at carrier, refs []fieldRef, value string, start, end int) {
	for _, ref := range refs {
		fields := &set.fieldValues[at][ref.family]
		if fields.present == 0 {
			fields.start = start
			set.populated = append(set.populated, fields)
		}
		fields.end = end
		if fields.present&(1<<ref.field) != 0 {
			fields.duplicate = true
			continue
		}
		fields.present |= 1 << ref.field
		fields.values[ref.field] = value
		fields.order[fields.count] = uint8(ref.field)
		fields.count++
	}
}

// headerRefs looks up a header name in any case, without allocating.
func (set *ProfileSet) headerRefs(name string) []fieldRef {
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
	return set.fieldRefs[inHeader][string(lower[:len(name)])]
}

// extractQuery records the signing fields of a query. A field name that is
// percent-encoded is refused, since another parser of the URL would recognize it.
func (set *ProfileSet) extractQuery(query string) Refusal {
	for at := 0; at < len(query); {
		end := len(query)
		if i := strings.IndexByte(query[at:], '&'); i >= 0 {
			end = at + i
		}
		name, value, _ := strings.Cut(query[at:end], "=")
		var refs []fieldRef
		if name != "" && set.firstBytes[inQuery][name[0]] {
			refs = set.fieldRefs[inQuery][name]
		}
		if refs == nil && strings.ContainsAny(name, "%+") {
			decoded, err := url.QueryUnescape(name)
			if err != nil {
				return UnusableTarget
			}
			if set.fieldRefs[inQuery][decoded] != nil {
				return MalformedSignature
			}
		}
		if refs != nil {
			set.record(inQuery, refs, value, at, end)
		}
		at = end + 1
	}
	return ""
}

// stripQuery returns the query without the credential's fields.
func (set *ProfileSet) stripQuery(query string, cred *credential) string {
	if query == "" || cred.carrier != inQuery {
		return query
	}
	names := cred.fieldNames.byCarrier[inQuery]
	// The usual case, adjacent fields at one end, allocates nothing.
	if cred.start > 0 && cred.end == len(query) && strings.Count(query[cred.start:], "&") == cred.count-1 {
		return query[:cred.start-1]
	}
	if cred.start == 0 && strings.Count(query[:cred.end], "&") == cred.count-1 {
		return strings.TrimPrefix(query[cred.end:], "&")
	}
	var keep []string
	for _, pair := range strings.Split(query, "&") {
		if name, _, _ := strings.Cut(pair, "="); !containsName(names, name) {
			keep = append(keep, pair)
		}
	}
	return strings.Join(keep, "&")
}

// extractCookies records the signing fields of a Cookie header (RFC 6265,
// section 5.4).
func (set *ProfileSet) extractCookies(value string) {
	for value != "" {
		pair := value
		if i := strings.IndexByte(value, ';'); i >= 0 {
			pair, value = value[:i], value[i+1:]
		} else {
			value = ""
		}
		pair = strings.Trim(pair, " \t")
		if i := strings.IndexByte(pair, '='); i > 0 && set.firstBytes[inCookie][pair[0]] {
			if refs := set.fieldRefs[inCookie][pair[:i]]; refs != nil {
				set.record(inCookie, refs, pair[i+1:], 0, 0)
			}
		}
	}
}

// extractPath records the signing fields in the path: a parameter of a segment,
// ;NAME=VALUE, or a segment of its own, /NAME=VALUE. It returns the path without
// them.
func (set *ProfileSet) extractPath(path string) (string, Refusal) {
	if len(set.fieldRefs[inPath]) == 0 || !strings.Contains(path, "=") {
		return path, ""
	}
	for at := 0; at < len(path); {
		i := strings.IndexAny(path[at:], "/;")
		if i < 0 {
			break
		}
		delimiter := at + i
		at = delimiter + 1
		end := len(path)
		if i := strings.IndexAny(path[at:], "/;"); i >= 0 {
			end = at + i
		}
		name, value, ok := strings.Cut(path[at:end], "=")
		refs := set.fieldRefs[inPath][path[delimiter:delimiter+1]+name]
		if !ok || refs == nil {
			continue
		}
		set.record(inPath, refs, value, delimiter, end)
		path = path[:delimiter] + path[end:]
		at = delimiter
	}
	return path, ""
}

// unambiguousPath reports whether all parsers read a path in the same way. It
// excludes dot segments, encoded or not, empty segments, encoded slashes,
// backslashes and NUL bytes, and paths that could be decoded twice.
func unambiguousPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	encoded := false
	for i, segmentStart := 1, 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if path[i] == '\\' {
				return false
			}
			encoded = encoded || path[i] == '%'
			continue
		}
		if n := i - segmentStart; n == 0 || path[segmentStart] == '.' && (n == 1 || n == 2 && path[segmentStart+1] == '.') {
			return false
		}
		segmentStart = i + 1
	}
	if !encoded {
		return true
	}
	decoded, err := url.PathUnescape(path)
	return err == nil && strings.Count(decoded, "/") == strings.Count(path, "/") && !strings.ContainsAny(decoded, "\\%\x00") &&
		unambiguousPath(decoded)
}

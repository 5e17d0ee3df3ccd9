package conformance

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The reasons that the front gives for refusals.
const (
	noSignature        = "no signature"
	multipleSignatures = "more than one signature"
	malformed          = "signature is malformed"
	unknownKey         = "key is unknown"
	badSignature       = "signature does not match"
	expired            = "expired"
	notYetValid        = "not valid yet"
	notCovered         = "path is not covered"
	wrongBranch        = "not for this branch"
	wrongAddress       = "not for this address"
	wrongAlgorithm     = "algorithm does not fit the key"
	unknownCritical    = "a critical claim is not understood"
	untrustedIssuer    = "issuer is not trusted"
	wrongAudience      = "not for this audience"
	badTarget          = "target can't be used"
)

// suite collects cases.
type suite struct {
	fixture *Fixture
	cases   []Case
}

// Cases returns all cases of the fixture.
func (fixture *Fixture) Cases() []Case {
	s := &suite{fixture: fixture}
	for _, f := range fixture.forms() {
		s.addValid(f)
		s.addFieldChanges(f)
		s.addKeyStates(f)
		s.addScopes(f)
	}
	s.addCombinations()
	s.addCloudFront()
	s.addCDNI()
	s.addPaths()
	s.addSizes()
	s.addHTTP()
	// Cases that depend on the skew come first: their links are accepted for a few seconds only.
	slices.SortStableFunc(s.cases, func(a, b Case) int {
		return strings.Compare(sortKey(a.Name), sortKey(b.Name))
	})
	return s.cases
}

func sortKey(name string) string {
	if strings.HasSuffix(name, "within the skew") {
		return "a"
	}
	return "b"
}

// addGrant adds a case that is decided by the grant alone. With an empty reason the
// request has to be accepted.
func (s *suite) addGrant(f *form, what string, target string, fields []field, reason string) {
	target, header := f.carry(target, fields)
	s.add(Case{Name: f.name + "/" + f.carrier + "/" + what, Target: target, Header: header, Reason: reason, GrantOnly: true})
}

func (s *suite) add(c Case) {
	if c.Method == "" {
		c.Method = "GET"
	}
	if c.Status == 0 {
		if c.Status = 200; c.Reason != "" {
			c.Status = 403
		}
	}
	if c.Size == 0 {
		c.Size = -1
	}
	s.cases = append(s.cases, c)
}

func (s *suite) addSigned(f *form, what string, spec linkSpec, reason string) {
	spec = spec.withDefaults(f)
	s.addGrant(f, what, spec.target, f.sign(spec), reason)
}

// addValid adds correctly signed links within and outside their time, address and branch,
// and a forged one.
func (s *suite) addValid(f *form) {
	s.addSigned(f, "good", linkSpec{}, "")
	s.addSigned(f, "expired", linkSpec{expiry: -time.Minute}, expired)
	s.addSigned(f, "expired, within the skew", linkSpec{expiry: -2 * time.Second}, "")
	s.addSigned(f, "forged", linkSpec{forge: true}, badSignature)
	if f.hasStart {
		s.addSigned(f, "early", linkSpec{start: time.Minute, expiry: time.Hour}, notYetValid)
		s.addSigned(f, "early, within the skew", linkSpec{start: 5 * time.Second}, "")
	}
	if f.bindsAddress {
		s.addSigned(f, "address", linkSpec{address: "127.0.0.1"}, "")
		s.addSigned(f, "prefix of the address", linkSpec{address: "127.0.0.0/8"}, "")
		s.addSigned(f, "other address", linkSpec{address: "127.0.0.2"}, wrongAddress)
		s.addSigned(f, "other prefix", linkSpec{address: "10.0.0.0/8"}, wrongAddress)
		s.addSigned(f, "prefix of the other family", linkSpec{address: "2001:db8::/32"}, wrongAddress)
		s.addSigned(f, "no address at all", linkSpec{address: "somewhere"}, malformed)
	}
	if f.bindsBranch {
		s.addSigned(f, "other branch", linkSpec{branch: "edge-2"}, wrongBranch)
	}
	target, header := f.carry(Target, f.sign(linkSpec{}.withDefaults(f)))
	s.add(Case{Name: f.name + "/" + f.carrier + "/HEAD", Method: "HEAD", Target: target, Header: header, Size: ObjectSize})
	if f.carrier == "query" && !strings.HasSuffix(f.name, "-url") {
		fields := f.sign(linkSpec{}.withDefaults(f))
		text, _ := f.carry("", fields)
		s.add(Case{Name: f.name + "/query/before the part", Target: Path + "?" + text[1:] + "&seg=3", GrantOnly: true})
	}
}

// changeChar returns text with the character at index at replaced by another one of its
// kind: digit, hex digit or letter.
func changeChar(text string, at int) string {
	b := []byte(text)
	switch c := b[at]; {
	case c == '9':
		b[at] = '8'
	case '0' <= c && c < '9':
		b[at]++
	case c == 'f' || c == 'F' || c == 'z' || c == 'Z':
		b[at]--
	case 'a' <= c && c < 'z' || 'A' <= c && c < 'Z':
		b[at]++
	default:
		b[at] = 'A'
	}
	return string(b)
}

// firstUnescaped returns the index of the first character that is not part of a percent
// escape. An altered escape could decode to a character that no signature contains.
func firstUnescaped(text string) (at int) {
	for at+3 < len(text) && text[at] == '%' {
		at += 3
	}
	return at
}

// addFieldChanges adds a valid link with each of its fields altered, cut, emptied, left
// out, doubled and moved.
func (s *suite) addFieldChanges(f *form) {
	full := linkSpec{}
	if f.bindsAddress {
		full.address = "127.0.0.0/8"
	}
	if f.hasStart {
		full.start = -time.Minute
	}
	if f.bindsBranch {
		full.scope, full.subject = "/files/*", "member 7"
	}
	fields := f.sign(full.withDefaults(f))
	modified := func(change func(list []field) []field) []field { return change(append([]field(nil), fields...)) }
	for i, x := range fields {
		name := x.name
		if name == "" {
			name = fmt.Sprint("part ", i+1)
		}
		withValue := func(value string) []field {
			return modified(func(l []field) []field { l[i].value = value; return l })
		}
		s.addGrant(f, name+" altered", Target, withValue(alteredValue(f, x, i)), s.wantReason(f, x, i, "altered"))
		s.addGrant(f, name+" cut", Target, withValue(x.value[:len(x.value)-1]), s.wantReason(f, x, i, "cut"))
		s.addGrant(f, name+" emptied", Target, withValue(""), s.wantReason(f, x, i, "emptied"))
		s.addGrant(f, name+" left out", Target, modified(func(l []field) []field { return append(l[:i], l[i+1:]...) }), s.wantReason(f, x, i, "left out"))
		s.addGrant(f, name+" doubled", Target, modified(func(l []field) []field {
			return append(l[:i+1], append([]field{x}, l[i+1:]...)...)
		}), s.wantReason(f, x, i, "doubled"))
		if i > 0 {
			reason := malformed
			if f.anyOrder {
				reason = ""
			}
			s.addGrant(f, name+" before its neighbour", Target, modified(func(l []field) []field {
				l[i-1], l[i] = l[i], l[i-1]
				return l
			}), reason)
		}
	}
	if f.field == "" {
		return
	}
	target, header := f.carry(Target, fields)
	switch f.carrier {
	case "query":
		_, text, _ := strings.Cut(target, "&")
		s.add(Case{Name: f.name + "/query/twice", Target: target + "&" + text, Reason: multipleSignatures, GrantOnly: true})
		s.add(Case{Name: f.name + "/query/name in capitals", Target: strings.Replace(target, f.field, strings.ToUpper(f.field), 1), Reason: noSignature, GrantOnly: true})
		s.add(Case{Name: f.name + "/query/name encoded", Target: strings.Replace(target, f.field, fmt.Sprintf("%%%02x", f.field[0])+f.field[1:], 1), Reason: malformed, GrantOnly: true})
	case "cookie":
		s.add(Case{Name: f.name + "/cookie/twice", Target: target, Header: append(header, header...), Reason: multipleSignatures, GrantOnly: true})
		s.add(Case{Name: f.name + "/cookie/name in capitals", Target: target, Header: []string{strings.Replace(header[0], f.field, strings.ToUpper(f.field), 1)}, Reason: noSignature, GrantOnly: true})
		s.add(Case{Name: f.name + "/cookie/of fifty", Target: target, Header: []string{header[0] + strings.Repeat("; x=y", 48)}, GrantOnly: true})
	case "header":
		s.add(Case{Name: f.name + "/header/twice", Target: target, Header: append(header, header...), Reason: multipleSignatures, GrantOnly: true})
		s.add(Case{Name: f.name + "/header/name in capitals", Target: target, Header: []string{strings.ToUpper(f.field) + header[0][len(f.field):]}, GrantOnly: true})
	}
}

// alteredValue returns a different value for the field, one that still parses where the
// field has such values.
func alteredValue(f *form, x field, i int) string {
	last := len(x.value) - 1
	switch {
	case strings.HasPrefix(f.name, "cdni") && i == 0:
		m := readJSON(x.value)
		m["kid"] = strings.Replace(m["kid"].(string), "active", "next", 1)
		return encodeJSON(m)
	case strings.HasPrefix(f.name, "cdni") && i == 1:
		m := readJSON(x.value)
		m["exp"] = m["exp"].(float64) + 3600
		return encodeJSON(m)
	case strings.HasSuffix(x.name, "Policy"):
		plain, err := base64.StdEncoding.DecodeString(strings.NewReplacer("-", "+", "_", "=", "~", "/").Replace(x.value))
		if err != nil {
			panic(err) // the value was encoded by this package
		}
		return strings.NewReplacer("+", "-", "=", "_", "/", "~").Replace(base64.StdEncoding.EncodeToString(
			[]byte(strings.Replace(string(plain), "files/", "file?/", 1))))
	case strings.Contains(x.name, "ignature") || x.name == "hmac" || x.name == "md5" || f.name == "timed-verify" && i == 1 ||
		strings.HasPrefix(f.name, "cdni") || f.name == "timed-issued" && i == 2:
		return changeChar(x.value, firstUnescaped(x.value))
	case x.name == "URLPrefix":
		return changeChar(x.value, len(x.value)/2)
	case x.name == "acl":
		return changeChar(x.value, 3)
	}
	return changeChar(x.value, last)
}

func encodeJSON(m map[string]any) string {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // the map was decoded from JSON
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// wantReason returns the reason that a change of a field has to give, or alternatives
// separated by |.
func (s *suite) wantReason(f *form, x field, i int, change string) string {
	name := strings.TrimPrefix(x.name, "CloudFront-")
	jwt, edge := strings.HasPrefix(f.name, "cdni"), strings.HasPrefix(f.name, "edgeauth")
	amazon, media := strings.HasPrefix(f.name, "cloudfront"), strings.HasPrefix(f.name, "mediacdn")
	named := name == "KeyName" || name == "Key-Pair-Id"
	switch change {
	case "altered":
		switch {
		case named:
			return unknownKey
		case media && name == "URLPrefix":
			return notCovered // the prefix is checked before the signature
		}
		return badSignature
	case "cut":
		switch {
		case named:
			return unknownKey
		case name == "ip" || name == "hmac" || name == "Signature" || name == "md5" || f.name == "timed-issued" && i == 2:
			return malformed
		case f.name == "timed-verify" && i == 1:
			return malformed
		case jwt && i < 2:
			return malformed
		case jwt:
			return badSignature + "|" + malformed // depends on the last bits of the encoding
		case name == "Policy":
			return malformed
		case (amazon || media) && name == "Expires":
			return expired // the expiry is checked before the signature
		case f.name == "timed-issued" && i == 1:
			return badSignature
		}
		return badSignature
	case "emptied":
		if name == "Key-Pair-Id" {
			return unknownKey
		}
		if jwt && i == 2 {
			return badSignature
		}
		return malformed
	case "left out":
		if edge && name != "exp" && name != "hmac" || name == "URLPrefix" && f.carrier == "query" {
			return badSignature
		}
		return malformed
	}
	return malformed
}

// addKeyStates adds links signed by keys in each state.
func (s *suite) addKeyStates(f *form) {
	if f.unnamedKey {
		s.addSigned(f, "second key", linkSpec{key: "b"}, "")
		s.addSigned(f, "retired key", linkSpec{key: "retired"}, "key has retired")
		s.addSigned(f, "revoked key", linkSpec{key: "revoked"}, "key is revoked")
		return
	}
	prefix := strings.TrimSuffix(f.defaultKey, "active")
	for _, x := range []struct{ state, want string }{{"next", ""}, {"later", "key is not in use yet"}, {"retiring", ""},
		{"retired", "key has retired"}, {"revoked", "key is revoked"}, {"nobodys", unknownKey}} {
		s.addSigned(f, x.state+" key", linkSpec{key: prefix + x.state}, x.want)
	}
	s.addSigned(f, "expired, past the key's own skew", linkSpec{key: prefix + "strict", expiry: -2 * time.Second}, expired)
	s.addSigned(f, "good by a key without skew", linkSpec{key: prefix + "strict"}, "")
}

// addScopes adds links that cover more than one URL.
func (s *suite) addScopes(f *form) {
	if !f.hasScope {
		s.addSigned(f, "for another object", linkSpec{target: strings.Replace(Target, "9f3a", "9f3b", 1)}, "")
		x := linkSpec{target: strings.Replace(Target, "9f3a", "9f3b", 1)}.withDefaults(f)
		if f.carrier != "path" { // a grant in the path also covers the object's siblings
			s.addGrant(f, "of another object", Target, f.sign(x), badSignature)
		}
		return
	}
	scopes := map[string]string{}
	switch {
	case strings.HasPrefix(f.name, "edgeauth"):
		scopes = map[string]string{"/files/*": "", "/*": "", Path: "", "/files/guide-video/17/9f3?": "", "/x!" + Path: "",
			"/files/*/17/*": "", "%2ffiles%2f*": "", "/files/": notCovered, "/files/page-asset/*": notCovered, "/x!/y": notCovered,
			"/FILES/*": notCovered, "/files/guide-video/17/9f3a?": notCovered, "/files/guide-video/1?/9f3": notCovered,
			strings.Repeat("*a", 200): notCovered, "%zz": malformed}
	case strings.HasSuffix(f.name, "prefix"):
		scopes = map[string]string{BaseURL: "", BaseURL + "/": "", BaseURL + "/files/g": "", BaseURL + Path: "", BaseURL + Path + "/": notCovered,
			"http://files.example/": notCovered, "https://files.exampl": "", BaseURL + "/files/page-asset/": notCovered,
			BaseURL + "/?a": malformed, BaseURL + "/#": malformed}
	case strings.HasPrefix(f.name, "cloudfront"):
		scopes = map[string]string{BaseURL + "/files/*": "", "http*://files.example/*": "", "*": "", BaseURL + Target: "", BaseURL + Path + "?seg=?": "",
			BaseURL + "/files/*/9f3a?*": "", BaseURL + Path: "", BaseURL + "/files/page-asset/*": notCovered, "http://files.example/*": notCovered,
			BaseURL + "/files": notCovered, BaseURL + "/FILES/*": notCovered}
		scopes[BaseURL+Path] = notCovered // the part's number is in the query, which belongs to the URL
	case strings.HasPrefix(f.name, "cdni"):
		scopes = map[string]string{`https://files\.example/files/.*`: "", `https://files\.example/files/guide-video/[0-9]+/9f3a\?seg=[0-9]`: "",
			`.*`: "", `https://files\.example/files/(page-asset|guide-video)/17/9f3a.*`: "", `/files/.*`: notCovered,
			`https://files\.example/files/`: notCovered, `https://other\.example/.*`: notCovered, `(x+x+)+y`: notCovered, `((a*)*)*b`: notCovered,
			`(`: malformed, `a{1001}`: malformed}
	}
	for covers, want := range scopes {
		s.addSigned(f, "covers "+covers, linkSpec{scope: covers}, want)
	}
}

// addCombinations adds requests with two valid grants, which are refused, and requests
// without a whole grant.
func (s *suite) addCombinations() {
	forms := s.fixture.forms()
	for i, f := range forms {
		for _, j := range []int{(i + 1) % len(forms), (i + 4) % len(forms), (i + 9) % len(forms)} {
			g := forms[j]
			if f.carrier == g.carrier && strings.Split(f.name, "-")[0] == strings.Split(g.name, "-")[0] ||
				strings.Contains(f.name, "-url") || strings.Contains(g.name, "-url") || g.carrier == "path" ||
				f.carrier == "query" && g.carrier == "query" && (f.field == "" || g.field == "") {
				continue
			}
			target, header := f.carry(Target, f.sign(linkSpec{}.withDefaults(f)))
			var more []string
			target, more = g.carry(target, g.sign(linkSpec{}.withDefaults(g)))
			s.add(Case{Name: fmt.Sprintf("together/%s in %s with %s in %s", f.name, f.carrier, g.name, g.carrier), Target: target,
				Header: append(append([]string(nil), header...), more...), Reason: multipleSignatures, GrantOnly: true})
		}
	}
	s.add(Case{Name: "together/nothing", Target: Target, Reason: noSignature, GrantOnly: true})
	s.add(Case{Name: "together/a bare Expires", Target: Target + "&Expires=" + s.fixture.unixAfter(time.Minute), Reason: malformed, GrantOnly: true})
	s.add(Case{Name: "together/a bare Signature", Target: Target + "&Signature=AAAA", Reason: malformed, GrantOnly: true})
}

func (s *suite) findForm(name, carrier string) *form {
	for _, f := range s.fixture.forms() {
		if f.name == name && f.carrier == carrier {
			return f
		}
	}
	panic("no form " + name) // the suite names a form that does not exist
}

// addCloudFront adds correctly signed policies with unusual content.
func (s *suite) addCloudFront() {
	later := s.fixture.unixAfter(time.Minute)
	good := `"Resource":"` + BaseURL + `/*","Condition":{"DateLessThan":{"AWS:EpochTime":` + later + `}}`
	for _, kind := range []string{"rs", "es"} {
		f := s.findForm("cloudfront-custom-"+kind, "query")
		for what, x := range map[string]struct{ policy, want string }{
			"plain policy":        {`{"Statement":[{` + good + `}]}`, ""},
			"two statements":      {`{"Statement":[{` + good + `},{` + good + `}]}`, malformed},
			"no statement":        {`{"Statement":[]}`, malformed},
			"no expiry":           {`{"Statement":[{"Resource":"` + BaseURL + `/*","Condition":{}}]}`, malformed},
			"no resource":         {`{"Statement":[{"Condition":{"DateLessThan":{"AWS:EpochTime":` + later + `}}}]}`, malformed},
			"unknown condition":   {strings.Replace(`{"Statement":[{`+good+`}]}`, `"DateLessThan"`, `"Weekday":{"x":1},"DateLessThan"`, 1), malformed},
			"expiry as text":      {strings.Replace(`{"Statement":[{`+good+`}]}`, later, `"`+later+`"`, 1), malformed},
			"expiry below zero":   {strings.Replace(`{"Statement":[{`+good+`}]}`, later, `-5`, 1), malformed},
			"expiry without end":  {strings.Replace(`{"Statement":[{`+good+`}]}`, later, `9999999999999999999`, 1), malformed},
			"something behind it": {`{"Statement":[{` + good + `}]}{}`, malformed},
			"not JSON":            {`Statement`, malformed},
			"backslash":           {strings.Replace(`{"Statement":[{`+good+`}]}`, "/*", `/\\*`, 1), malformed},
		} {
			s.addSigned(f, what, linkSpec{claims: map[string]any{"policy": x.policy}}, x.want)
		}
		for hash, want := range map[string]string{"SHA256": "", "SHA1": "", "MD5": wrongAlgorithm, "": wrongAlgorithm} {
			for _, name := range []string{"cloudfront-canned-" + kind, "cloudfront-custom-" + kind} {
				for _, carrier := range []string{"query", "cookie"} {
					s.addSigned(s.findForm(name, carrier), "hash "+hash, linkSpec{claims: map[string]any{"hash": hash}}, want)
				}
			}
		}
	}
	c, q := s.findForm("cloudfront-canned-rs", "query"), s.findForm("cloudfront-custom-rs", "query")
	both := append(c.sign(linkSpec{}.withDefaults(c)), q.sign(linkSpec{}.withDefaults(q))[0])
	s.addGrant(c, "both an expiry and a policy", Target, both, malformed)
	s.addSigned(c, "key of another kind", linkSpec{key: "es-active", forge: true}, badSignature)
}

// addCDNI adds correctly signed tokens with unusual claims, and tokens whose algorithm
// does not fit their key.
func (s *suite) addCDNI() {
	at := func(d time.Duration) int64 { return s.fixture.Now.Add(d).Unix() }
	for _, kind := range []string{"hs", "rs", "es", "ed"} {
		f := s.findForm("cdni-"+kind, "query")
		for _, x := range []struct {
			what  string
			claim string
			value any
			want  string
		}{
			{"no expiry", "exp", nil, malformed}, {"expiry as text", "exp", "soon", malformed}, {"expiry of zero", "exp", 0, malformed},
			{"expiry with a fraction", "exp", float64(at(time.Minute)) + 0.5, ""}, {"no issuer", "iss", nil, untrustedIssuer},
			{"other issuer", "iss", "someone", untrustedIssuer}, {"no audience", "aud", nil, ""}, {"audience in a list", "aud", []string{"x", "dCDN"}, ""},
			{"other audience", "aud", "x", wrongAudience}, {"no container", "cdniuc", nil, malformed}, {"container of no kind", "cdniuc", "uri:x", malformed},
			{"hash of another algorithm", "cdniuc", "hash:sha-1;AAAA", malformed}, {"hash cut", "cdniuc", "hash:sha-256;AAAA", malformed},
			{"version 1", "cdniv", 1, ""}, {"version 2", "cdniv", 2, unknownCritical}, {"version as text", "cdniv", "1", malformed},
			{"critical and known", "cdnicrit", "exp,iss", ""}, {"critical and unknown", "cdnicrit", "exp,geo", unknownCritical},
			{"critical and absent", "cdnicrit", "nbf", unknownCritical}, {"critical and empty words", "cdnicrit", ",", unknownCritical},
			{"unknown claim", "geo", "bd", ""}, {"address in clear", "cdniip", "127.0.0.1", wrongAddress}, {"subject in clear", "sub", "member 7", malformed},
			{"transport of no kind", "cdnistt", 7, malformed}, {"transport without a span", "cdnistt", 1, malformed},
			{"depth below zero", "cdnistd", -1, malformed}, {"issued later", "iat", at(time.Hour), ""}, {"not before, as text", "nbf", "x", malformed},
			{"alg none", "head.alg", "none", wrongAlgorithm}, {"unknown kid", "head.kid", "zz", unknownKey}, {"no kid", "head.kid", "", unknownKey},
			{"kid of another kind", "head.kid", map[string]string{"hs": "rs-active"}[kind] + map[bool]string{true: "hs-active"}[kind != "hs"], wrongAlgorithm},
			{"critical header", "head.crit", []string{"exp"}, malformed + "|" + badSignature},
		} {
			s.addSigned(f, x.what, linkSpec{claims: map[string]any{x.claim: x.value}}, x.want)
		}
	}
	hs, rs := s.findForm("cdni-hs", "query"), s.findForm("cdni-rs", "query")
	s.addSigned(rs, "HS256 by the public key", linkSpec{claims: map[string]any{"head.alg": "HS256 by the public key"}}, wrongAlgorithm)
	s.addSigned(rs, "PS256", linkSpec{claims: map[string]any{"head.alg": "PS256"}}, wrongAlgorithm)
	s.addSigned(hs, "HS512", linkSpec{claims: map[string]any{"head.alg": "HS512"}}, wrongAlgorithm)
	s.addSigned(hs, "RS256 under the secret's name", linkSpec{claims: map[string]any{"head.alg": "RS256"}}, wrongAlgorithm)
	addRevocation := func(what string, x linkSpec, want string) {
		x = x.withDefaults(hs)
		target, header := hs.carry(x.target, hs.sign(x))
		s.add(Case{Name: "cdni-hs/query/" + what, Target: target, Header: header, Reason: want})
	}
	addRevocation("token taken back", linkSpec{tokenID: "taken-back"}, "token is revoked")
	addRevocation("token not taken back", linkSpec{tokenID: "another"}, "")
	x := linkSpec{claims: map[string]any{"cdnistt": 1, "cdniets": 30, "cdnistd": 2}}.withDefaults(hs)
	target, header := hs.carry(x.target, hs.sign(x))
	s.add(Case{Name: "cdni-hs/query/renewed", Target: target, Header: header, WantHeader: map[string]string{
		"Set-Cookie": "URISigningPackage=*; Path=/files/guide-video/; Expires=*; Secure; HttpOnly"}})
}

// addPaths adds correctly signed targets that are ambiguous or name no object, and
// targets that a revocation or the tenant's paths exclude.
func (s *suite) addPaths() {
	for _, name := range []string{"edgeauth", "cloudcdn-prefix", "cloudfront-custom-es", "cdni-hs", "timed-issued"} {
		f := s.findForm(name, "query")
		spec := linkSpec{}
		if f.hasScope {
			spec.scope = f.unrestrictedScope()
		}
		for _, target := range []string{"/files/guide-video/../9f3a", "/files/guide-video/./17/9f3a", "/files/guide-video/17/%2e%2e",
			"/files/guide-video/17/%2E/9f3a", "/files/guide-video/17%2f9f3a", "/files/guide-video/17%2F9f3a", "/files//guide-video/17/9f3a",
			"//files/guide-video/17/9f3a", "/files/guide-video/17/%252e%252e", "/files/guide-video/17/9f3a%00", "/files/guide-video/17/9f%5c3a",
			"/files/guide-video/17/9f\\3a", "/files/guide-video/17/9f3a%", "/files/guide-video/17/9f3a%zz", "/files/guide-video/17/",
			"/files/guide-video/17", "/files/guide-video/17/9f3a/x", "/files/guide-video/256/9f3a", "/files/guide-video/-1/9f3a",
			"/files/guide-video/x/9f3a", "/files/unknown/17/9f3a", "/files/payout-confirm/17/9f3a", "/FILES/guide-video/17/9f3a",
			"/Files/guide-video/17/9f3a", "/call/guide-video/9f3a", "/files/guide-video/17/9f3a?seg=-1", "/files/guide-video/17/9f3a?seg=x",
			"/files/guide-video/17/9f3a?seg=3&seg=4", "/files/guide-video/17/9f3a?seg=99999999999", "/files/guide-video/17/9f3a?x=1",
			"/files/guide-video/17/%39f3a", "/"} {
			spec.target = target
			filled := spec.withDefaults(f)
			target, header := f.carry(filled.target, f.sign(filled))
			s.add(Case{Name: "paths/" + name + "/" + filled.target, Target: target, Header: header, Reason: badTarget})
		}
	}
	f := s.findForm("edgeauth", "query")
	target, header := f.carry("/files/guide-video/99/9f3a", f.sign(linkSpec{scope: "/*"}.withDefaults(f)))
	s.add(Case{Name: "paths/under a revoked prefix", Target: target, Header: header, Reason: "path is revoked"})
	target, header = f.carry(Target, f.sign(linkSpec{subject: "member 13"}.withDefaults(f)))
	s.add(Case{Name: "paths/a revoked subject", Target: target, Header: header, Reason: "subject is revoked"})
	v := s.findForm("timed-verify", "query")
	for path, want := range map[string]string{Path: "", "/files/page-asset/17/9f3a": notCovered} {
		target, header = v.carry(path, v.sign(linkSpec{target: path}.withDefaults(v)))
		s.add(Case{Name: "paths/a tenant's " + path, Target: target, Header: header, Reason: want})
	}
}

// addSizes adds grants and targets that are too long, empty or in the wrong format.
func (s *suite) addSizes() {
	long := func(n int) string { return strings.Repeat("A", n) }
	for name, c := range map[string]Case{
		"token of 5 KB":             {Target: Target + "&hdnts=exp=1~acl=/*~hmac=" + long(5000), Reason: malformed},
		"JWT of 5 KB":               {Target: Target + "&URISigningPackage=" + long(5000), Reason: malformed},
		"policy of 5 KB":            {Target: Target + "&Policy=" + long(5000) + "&Signature=AAAA&Key-Pair-Id=rs-active", Reason: malformed},
		"signature of 5 KB":         {Target: Target + "&Expires=" + s.fixture.unixAfter(time.Minute) + "&Signature=" + long(5000) + "&Key-Pair-Id=rs-active", Reason: malformed},
		"key's name of 1 KB":        {Target: Target + "&Expires=" + s.fixture.unixAfter(time.Minute) + "&KeyName=" + long(1000) + "&Signature=" + long(27) + "=", Reason: malformed},
		"expiry of 13 digits":       {Target: Target + "&Expires=1000000000000&KeyName=active&Signature=" + long(27) + "=", Reason: malformed},
		"target of 9 KB":            {Target: Target + "&x=" + long(9000), Reason: badTarget},
		"cookie header of 10 KB":    {Target: Target, Header: []string{"Cookie: x=" + long(10_000)}, Reason: noSignature},
		"pattern of 2 KB":           {Target: Target + "&hdnts=" + longPatternToken(s.fixture), Reason: malformed},
		"an empty token":            {Target: Target + "&hdnts=", Reason: malformed},
		"an empty JWT":              {Target: Target + "&URISigningPackage=", Reason: malformed},
		"an empty header":           {Target: Target, Header: []string{"X-Edge-Token: "}, Reason: malformed},
		"an empty cookie":           {Target: Target, Header: []string{"Cookie: Cloud-CDN-Cookie="}, Reason: malformed},
		"a cookie of another's":     {Target: Target, Header: []string{"Cookie: hdnts2=x; xhdnts=y; CloudFront=z"}, Reason: noSignature},
		"a cookie without a value":  {Target: Target, Header: []string{"Cookie: hdnts"}, Reason: noSignature},
		"a cookie in quotation":     {Target: Target, Header: []string{`Cookie: "hdnts=x"`}, Reason: noSignature},
		"cookies without a name":    {Target: Target, Header: []string{"Cookie: ;;=;=x; ;"}, Reason: noSignature},
		"query of separators":       {Target: Path + "?&&&===&", Reason: noSignature},
		"query that can't be read":  {Target: Target + "&%zz=1", Reason: badTarget},
		"edge token that is a JWT":  {Target: Target + "&hdnts=" + join(s.fixture.cdniFields(linkSpec{}.withDefaults(s.findForm("cdni-hs", "query"))), "."), Reason: malformed},
		"JWT that is an edge token": {Target: Target + "&URISigningPackage=exp=1~hmac=00", Reason: malformed},
	} {
		c.Name, c.GrantOnly = "sizes/"+name, true
		s.add(c)
	}
}

func longPatternToken(fixture *Fixture) string {
	return join(fixture.edgeAuthFields(linkSpec{target: Target, key: "a", expiry: time.Minute, branch: Branch, scope: "/files/*!" + strings.Repeat("/x", 1000)}, "", newSHA256), "~")
}

// addHTTP adds the other HTTP features that clients use: ranges, conditions, methods,
// content encodings and CORS.
func (s *suite) addHTTP() {
	f := s.findForm("edgeauth", "query")
	link, _ := f.carry(Target, f.sign(linkSpec{}.withDefaults(f)))
	style, _ := f.carry("/files/page-asset/17/9f3a?seg=3", f.sign(linkSpec{scope: "/files/*"}.withDefaults(f)))
	add := func(name string, status, size int, fields map[string]string, header ...string) {
		s.add(Case{Name: "http/" + name, Target: link, Header: header, Status: status, Size: size, WantHeader: fields})
	}
	whole := map[string]string{"ETag": `"t1"`, "Accept-Ranges": "bytes", "Content-Type": "video/mp4", "Content-Range": "",
		"Content-Encoding": "", "Cache-Control": "private, no-cache", "Age": "*"}
	add("whole", 200, ObjectSize, whole)
	for r, want := range map[string]struct {
		status, size int
		text         string
	}{
		"bytes=0-0": {206, 1, "bytes 0-0/14000"}, "bytes=0-99": {206, 100, "bytes 0-99/14000"}, "bytes=13999-": {206, 1, "bytes 13999-13999/14000"},
		"bytes=-1": {206, 1, "bytes 13999-13999/14000"}, "bytes=-20000": {206, ObjectSize, "bytes 0-13999/14000"}, "bytes=100-20000": {206, 13900, "bytes 100-13999/14000"},
		"bytes=0-": {206, ObjectSize, "bytes 0-13999/14000"}, "bytes=5-5,99999-": {206, 1, "bytes 5-5/14000"}, "bytes=14000-": {416, 0, "bytes */14000"},
		"bytes=-0": {416, 0, "bytes */14000"}, "bytes=99999999999999999999-": {416, 0, "bytes */14000"}, "bytes=0-99,50-149,75-99": {416, 0, "bytes */14000"},
		"bytes=0-,0-": {416, 0, "bytes */14000"}, "bytes=0-0,1-1,2-2,3-3,4-4,5-5,6-6,7-7,8-8": {416, 0, "bytes */14000"},
		"bytes=2-1": {200, ObjectSize, ""}, "bytes=x-y": {200, ObjectSize, ""}, "bytes": {200, ObjectSize, ""}, "bytes=": {200, ObjectSize, ""}, "pages=1-2": {200, ObjectSize, ""},
		"bytes=1-2;3-4": {200, ObjectSize, ""}, "bytes=-": {200, ObjectSize, ""},
	} {
		if want.status == 416 {
			want.size = -1
		}
		add("range "+r, want.status, want.size, map[string]string{"Content-Range": want.text}, "Range: "+r)
	}
	add("two ranges", 206, -1, map[string]string{"Content-Type": "multipart/byteranges; boundary=*", "Content-Range": ""}, "Range: bytes=0-9,100-109")
	add("two Range fields", 200, ObjectSize, nil, "Range: bytes=0-9", "Range: bytes=0-9")
	add("range if the tag holds", 206, 10, nil, "Range: bytes=0-9", `If-Range: "t1"`)
	add("range if another tag held", 200, ObjectSize, nil, "Range: bytes=0-9", `If-Range: "t0"`)
	add("range if a weak tag held", 200, ObjectSize, nil, "Range: bytes=0-9", `If-Range: W/"t1"`)
	add("range if unchanged since", 200, ObjectSize, nil, "Range: bytes=0-9", "If-Range: Tue, 01 Dec 2026 00:00:00 GMT")
	for tags, status := range map[string]int{`"t1"`: 304, `W/"t1"`: 304, `"t0", "t1"`: 304, `"t0",W/"t1" , "t2"`: 304, `*`: 304, `"t0"`: 200, `t1`: 200, `"t1`: 200,
		`"t0,t1"`: 200, `""`: 200, `"t1-br"`: 200} {
		size := -1
		if status == 200 {
			size = ObjectSize
		}
		add("if none matches "+tags, status, size, map[string]string{"ETag": `"t1"`}, "If-None-Match: "+tags)
	}
	add("condition before range", 304, -1, nil, `If-None-Match: "t1"`, "Range: bytes=0-9")
	s.add(Case{Name: "http/HEAD with a range", Method: "HEAD", Target: link, Header: []string{"Range: bytes=0-9"}, Size: ObjectSize})
	s.add(Case{Name: "http/HEAD with a condition", Method: "HEAD", Target: link, Header: []string{`If-None-Match: "t1"`}, Status: 304})
	for _, m := range []string{"PUT", "POST", "DELETE", "PATCH", "TRACE", "get"} {
		s.add(Case{Name: "http/" + m, Method: m, Target: link, Status: 405, WantHeader: map[string]string{"Allow": "GET, HEAD"}})
	}
	add("encodings of what is not compressible", 200, ObjectSize, map[string]string{"Content-Encoding": "", "Vary": "Origin"}, "Accept-Encoding: gzip, br")
	for accept, encoding := range map[string]string{"gzip": "gzip", "br": "br", "zstd": "zstd", "gzip, zstd, br": "br", "br;q=0.1, gzip": "gzip",
		"identity": "", "*;q=0": "", "gzip;q=0": "", "deflate": "", "gzip;q=5": ""} {
		tag := map[string]string{"gzip": `"t1-gz"`, "br": `"t1-br"`, "zstd": `"t1-zs"`, "": `"t1"`}[encoding]
		s.add(Case{Name: "http/accepts " + accept, Target: style, Header: []string{"Accept-Encoding: " + accept},
			WantHeader: map[string]string{"Content-Encoding": encoding, "ETag": tag, "Vary": "Accept-Encoding, Origin", "Content-Type": "text/css"}})
	}
	s.add(Case{Name: "http/range of what is compressible", Target: style, Header: []string{"Accept-Encoding: gzip", "Range: bytes=0-9"},
		Status: 206, Size: 10, WantHeader: map[string]string{"Content-Encoding": "", "ETag": `"t1"`}})
	s.add(Case{Name: "http/own encoded copy holds", Target: style, Header: []string{"Accept-Encoding: gzip", `If-None-Match: "t1-gz"`}, Status: 304})
	s.add(Case{Name: "http/copy in an encoding not asked for", Target: style, Header: []string{"Accept-Encoding: br", `If-None-Match: "t1-gz"`}})
	app := "Origin: https://app.example"
	add("allowed origin", 200, ObjectSize, map[string]string{"Access-Control-Allow-Origin": "https://app.example", "Vary": "Origin"}, app)
	add("other origin", 200, ObjectSize, map[string]string{"Access-Control-Allow-Origin": "", "Vary": "Origin"}, "Origin: https://evil.example")
	add("origin null", 200, ObjectSize, map[string]string{"Access-Control-Allow-Origin": ""}, "Origin: null")
	s.add(Case{Name: "http/refusal is readable to the page", Target: Target, Header: []string{app}, Reason: noSignature,
		WantHeader: map[string]string{"Access-Control-Allow-Origin": "https://app.example", "Cache-Control": "no-store"}})
	for name, x := range map[string]struct {
		status int
		header []string
	}{
		"preflight":                     {204, []string{app, "Access-Control-Request-Method: GET"}},
		"preflight with headers":        {204, []string{app, "Access-Control-Request-Method: GET", "Access-Control-Request-Headers: x-edge-token, range"}},
		"preflight with other headers":  {403, []string{app, "Access-Control-Request-Method: GET", "Access-Control-Request-Headers: x-admin"}},
		"preflight of a write":          {403, []string{app, "Access-Control-Request-Method: PUT"}},
		"preflight of another's page":   {403, []string{"Origin: https://evil.example", "Access-Control-Request-Method: GET"}},
		"preflight without an origin":   {403, []string{"Access-Control-Request-Method: GET"}},
		"OPTIONS that asks for nothing": {403, []string{app}},
	} {
		s.add(Case{Name: "http/" + name, Method: "OPTIONS", Target: link, Header: x.header, Status: x.status})
	}
}

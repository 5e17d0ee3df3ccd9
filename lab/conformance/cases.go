package conformance

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The reasons that refusals give.
const (
	missing   = "no signature"
	twice     = "more than one signature"
	malformed = "signature is malformed"
	unknown   = "key is unknown"
	forged    = "signature does not match"
	expired   = "expired"
	early     = "not valid yet"
	uncovered = "path is not covered"
	branch    = "not for this branch"
	address   = "not for this address"
	algorithm = "algorithm does not fit the key"
	critical  = "a critical claim is not understood"
	issuer    = "issuer is not trusted"
	audience  = "not for this audience"
	badTarget = "target can't be used"
)

// suite collects cases.
type suite struct {
	w    *Fixture
	list []Case
}

// Cases makes all cases of a world.
func (w *Fixture) Cases() []Case {
	s := &suite{w: w}
	for _, f := range w.forms() {
		s.good(f)
		s.fields(f)
		s.keys(f)
		s.scopes(f)
	}
	s.together()
	s.cloudFront()
	s.cdni()
	s.paths()
	s.sizes()
	s.http()
	// What is good for seconds only comes first.
	slices.SortStableFunc(s.list, func(a, b Case) int {
		return strings.Compare(soon(a.Name), soon(b.Name))
	})
	return s.list
}

func soon(name string) string {
	if strings.HasSuffix(name, "within the skew") {
		return "a"
	}
	return "b"
}

// grant adds a case that the grant alone decides; reason empty: it is let in.
func (s *suite) grant(f *form, what string, target string, fields []field, reason string) {
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
	s.list = append(s.list, c)
}

func (s *suite) signed(f *form, what string, x wish, reason string) {
	x = x.fill(f)
	s.grant(f, what, x.target, f.sign(x), reason)
}

// good is links that are genuine, and whether they hold now and here.
func (s *suite) good(f *form) {
	s.signed(f, "good", wish{}, "")
	s.signed(f, "expired", wish{until: -time.Minute}, expired)
	s.signed(f, "expired, within the skew", wish{until: -2 * time.Second}, "")
	s.signed(f, "forged", wish{forge: true}, forged)
	if f.starts {
		s.signed(f, "early", wish{from: time.Minute, until: time.Hour}, early)
		s.signed(f, "early, within the skew", wish{from: 5 * time.Second}, "")
	}
	if f.address {
		s.signed(f, "address", wish{net: "127.0.0.1"}, "")
		s.signed(f, "prefix of the address", wish{net: "127.0.0.0/8"}, "")
		s.signed(f, "other address", wish{net: "127.0.0.2"}, address)
		s.signed(f, "other prefix", wish{net: "10.0.0.0/8"}, address)
		s.signed(f, "prefix of the other family", wish{net: "2001:db8::/32"}, address)
		s.signed(f, "no address at all", wish{net: "somewhere"}, malformed)
	}
	if f.bound {
		s.signed(f, "other branch", wish{data: "edge-2"}, branch)
	}
	target, header := f.carry(Target, f.sign(wish{}.fill(f)))
	s.add(Case{Name: f.name + "/" + f.carrier + "/HEAD", Method: "HEAD", Target: target, Header: header, Size: ObjectSize})
	if f.carrier == "query" && !strings.HasSuffix(f.name, "-url") {
		own := f.sign(wish{}.fill(f))
		text, _ := f.carry("", own)
		s.add(Case{Name: f.name + "/query/before the part", Target: Path + "?" + text[1:] + "&seg=3", GrantOnly: true})
	}
}

// changed gives the text with its sign at a place made another of its kind.
func changed(text string, at int) string {
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

// unescaped is the first place of a text that is not part of an escape: what an
// altered escape stands for may be no sign of a signature at all.
func unescaped(text string) (at int) {
	for at+3 < len(text) && text[at] == '%' {
		at += 3
	}
	return at
}

// fields is a good link with each of its fields altered, cut, emptied, left out,
// doubled and moved.
func (s *suite) fields(f *form) {
	full := wish{}
	if f.address {
		full.net = "127.0.0.0/8"
	}
	if f.starts {
		full.from = -time.Minute
	}
	if f.bound {
		full.covers, full.who = "/files/*", "member 7"
	}
	own := f.sign(full.fill(f))
	with := func(change func(list []field) []field) []field { return change(append([]field(nil), own...)) }
	for i, x := range own {
		name := x.name
		if name == "" {
			name = fmt.Sprint("part ", i+1)
		}
		put := func(value string) []field {
			return with(func(l []field) []field { l[i].value = value; return l })
		}
		s.grant(f, name+" altered", Target, put(alter(f, x, i)), s.want(f, x, i, "altered"))
		s.grant(f, name+" cut", Target, put(x.value[:len(x.value)-1]), s.want(f, x, i, "cut"))
		s.grant(f, name+" emptied", Target, put(""), s.want(f, x, i, "emptied"))
		s.grant(f, name+" left out", Target, with(func(l []field) []field { return append(l[:i], l[i+1:]...) }), s.want(f, x, i, "left out"))
		s.grant(f, name+" doubled", Target, with(func(l []field) []field {
			return append(l[:i+1], append([]field{x}, l[i+1:]...)...)
		}), s.want(f, x, i, "doubled"))
		if i > 0 {
			reason := malformed
			if f.free {
				reason = ""
			}
			s.grant(f, name+" before its neighbour", Target, with(func(l []field) []field {
				l[i-1], l[i] = l[i], l[i-1]
				return l
			}), reason)
		}
	}
	if f.field == "" {
		return
	}
	target, header := f.carry(Target, own)
	switch f.carrier {
	case "query":
		_, text, _ := strings.Cut(target, "&")
		s.add(Case{Name: f.name + "/query/twice", Target: target + "&" + text, Reason: twice, GrantOnly: true})
		s.add(Case{Name: f.name + "/query/name in capitals", Target: strings.Replace(target, f.field, strings.ToUpper(f.field), 1), Reason: missing, GrantOnly: true})
		s.add(Case{Name: f.name + "/query/name encoded", Target: strings.Replace(target, f.field, fmt.Sprintf("%%%02x", f.field[0])+f.field[1:], 1), Reason: malformed, GrantOnly: true})
	case "cookie":
		s.add(Case{Name: f.name + "/cookie/twice", Target: target, Header: append(header, header...), Reason: twice, GrantOnly: true})
		s.add(Case{Name: f.name + "/cookie/name in capitals", Target: target, Header: []string{strings.Replace(header[0], f.field, strings.ToUpper(f.field), 1)}, Reason: missing, GrantOnly: true})
		s.add(Case{Name: f.name + "/cookie/of fifty", Target: target, Header: []string{header[0] + strings.Repeat("; x=y", 48)}, GrantOnly: true})
	case "header":
		s.add(Case{Name: f.name + "/header/twice", Target: target, Header: append(header, header...), Reason: twice, GrantOnly: true})
		s.add(Case{Name: f.name + "/header/name in capitals", Target: target, Header: []string{strings.ToUpper(f.field) + header[0][len(f.field):]}, GrantOnly: true})
	}
}

// alter gives another value that can still be read, where the field has one.
func alter(f *form, x field, i int) string {
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
			panic(err) // it was made here
		}
		return strings.NewReplacer("+", "-", "=", "_", "/", "~").Replace(base64.StdEncoding.EncodeToString(
			[]byte(strings.Replace(string(plain), "files/", "file?/", 1))))
	case strings.Contains(x.name, "ignature") || x.name == "hmac" || x.name == "md5" || f.name == "timed-verify" && i == 1 ||
		strings.HasPrefix(f.name, "cdni") || f.name == "timed-issued" && i == 2:
		return changed(x.value, unescaped(x.value))
	case x.name == "URLPrefix":
		return changed(x.value, len(x.value)/2)
	case x.name == "acl":
		return changed(x.value, 3)
	}
	return changed(x.value, last)
}

func encodeJSON(m map[string]any) string {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // it came from JSON
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// want is what a change of a field gives.
func (s *suite) want(f *form, x field, i int, change string) string {
	name := strings.TrimPrefix(x.name, "CloudFront-")
	jwt, edge := strings.HasPrefix(f.name, "cdni"), strings.HasPrefix(f.name, "edgeauth")
	amazon, media := strings.HasPrefix(f.name, "cloudfront"), strings.HasPrefix(f.name, "mediacdn")
	named := name == "KeyName" || name == "Key-Pair-Id"
	switch change {
	case "altered":
		switch {
		case named:
			return unknown
		case media && name == "URLPrefix":
			return uncovered // judged before its signature is checked
		}
		return forged
	case "cut":
		switch {
		case named:
			return unknown
		case name == "ip" || name == "hmac" || name == "Signature" || name == "md5" || f.name == "timed-issued" && i == 2:
			return malformed
		case f.name == "timed-verify" && i == 1:
			return malformed
		case jwt && i < 2:
			return malformed
		case jwt:
			return forged + "|" + malformed // as the last bits fall
		case name == "Policy":
			return malformed
		case (amazon || media) && name == "Expires":
			return expired // judged before its signature is checked
		case f.name == "timed-issued" && i == 1:
			return forged
		}
		return forged
	case "emptied":
		if name == "Key-Pair-Id" {
			return unknown
		}
		if jwt && i == 2 {
			return forged
		}
		return malformed
	case "left out":
		if edge && name != "exp" && name != "hmac" || name == "URLPrefix" && f.carrier == "query" {
			return forged
		}
		return malformed
	}
	return malformed
}

// keys is links by keys in each state.
func (s *suite) keys(f *form) {
	if f.noKey {
		s.signed(f, "second key", wish{key: "b"}, "")
		s.signed(f, "retired key", wish{key: "retired"}, "key has retired")
		s.signed(f, "revoked key", wish{key: "revoked"}, "key is revoked")
		return
	}
	prefix := strings.TrimSuffix(f.key, "active")
	for _, x := range []struct{ state, want string }{{"next", ""}, {"later", "key is not in use yet"}, {"retiring", ""},
		{"retired", "key has retired"}, {"revoked", "key is revoked"}, {"nobodys", unknown}} {
		s.signed(f, x.state+" key", wish{key: prefix + x.state}, x.want)
	}
	s.signed(f, "expired, past the key's own skew", wish{key: prefix + "strict", until: -2 * time.Second}, expired)
	s.signed(f, "good by a key without skew", wish{key: prefix + "strict"}, "")
}

// scopes is links that let in more than one URL.
func (s *suite) scopes(f *form) {
	if !f.tokens {
		s.signed(f, "for another object", wish{target: strings.Replace(Target, "9f3a", "9f3b", 1)}, "")
		x := wish{target: strings.Replace(Target, "9f3a", "9f3b", 1)}.fill(f)
		if f.carrier != "path" { // whose grant covers what lies beside it
			s.grant(f, "of another object", Target, f.sign(x), forged)
		}
		return
	}
	scopes := map[string]string{}
	switch {
	case strings.HasPrefix(f.name, "edgeauth"):
		scopes = map[string]string{"/files/*": "", "/*": "", Path: "", "/files/guide-video/17/9f3?": "", "/x!" + Path: "",
			"/files/*/17/*": "", "%2ffiles%2f*": "", "/files/": uncovered, "/files/page-asset/*": uncovered, "/x!/y": uncovered,
			"/FILES/*": uncovered, "/files/guide-video/17/9f3a?": uncovered, "/files/guide-video/1?/9f3": uncovered,
			strings.Repeat("*a", 200): uncovered, "%zz": malformed}
	case strings.HasSuffix(f.name, "prefix"):
		scopes = map[string]string{BaseURL: "", BaseURL + "/": "", BaseURL + "/files/g": "", BaseURL + Path: "", BaseURL + Path + "/": uncovered,
			"http://files.example/": uncovered, "https://files.exampl": "", BaseURL + "/files/page-asset/": uncovered,
			BaseURL + "/?a": malformed, BaseURL + "/#": malformed}
	case strings.HasPrefix(f.name, "cloudfront"):
		scopes = map[string]string{BaseURL + "/files/*": "", "http*://files.example/*": "", "*": "", BaseURL + Target: "", BaseURL + Path + "?seg=?": "",
			BaseURL + "/files/*/9f3a?*": "", BaseURL + Path: "", BaseURL + "/files/page-asset/*": uncovered, "http://files.example/*": uncovered,
			BaseURL + "/files": uncovered, BaseURL + "/FILES/*": uncovered}
		scopes[BaseURL+Path] = uncovered // the part is in the query, which belongs to the URL
	case strings.HasPrefix(f.name, "cdni"):
		scopes = map[string]string{`https://files\.example/files/.*`: "", `https://files\.example/files/guide-video/[0-9]+/9f3a\?seg=[0-9]`: "",
			`.*`: "", `https://files\.example/files/(page-asset|guide-video)/17/9f3a.*`: "", `/files/.*`: uncovered,
			`https://files\.example/files/`: uncovered, `https://other\.example/.*`: uncovered, `(x+x+)+y`: uncovered, `((a*)*)*b`: uncovered,
			`(`: malformed, `a{1001}`: malformed}
	}
	for covers, want := range scopes {
		s.signed(f, "covers "+covers, wish{covers: covers}, want)
	}
}

// together is two good grants in one request, of which neither counts.
func (s *suite) together() {
	forms := s.w.forms()
	for i, f := range forms {
		for _, j := range []int{(i + 1) % len(forms), (i + 4) % len(forms), (i + 9) % len(forms)} {
			g := forms[j]
			if f.carrier == g.carrier && strings.Split(f.name, "-")[0] == strings.Split(g.name, "-")[0] ||
				strings.Contains(f.name, "-url") || strings.Contains(g.name, "-url") || g.carrier == "path" ||
				f.carrier == "query" && g.carrier == "query" && (f.field == "" || g.field == "") {
				continue
			}
			target, header := f.carry(Target, f.sign(wish{}.fill(f)))
			var more []string
			target, more = g.carry(target, g.sign(wish{}.fill(g)))
			s.add(Case{Name: fmt.Sprintf("together/%s in %s with %s in %s", f.name, f.carrier, g.name, g.carrier), Target: target,
				Header: append(append([]string(nil), header...), more...), Reason: twice, GrantOnly: true})
		}
	}
	s.add(Case{Name: "together/nothing", Target: Target, Reason: missing, GrantOnly: true})
	s.add(Case{Name: "together/a bare Expires", Target: Target + "&Expires=" + s.w.unix(time.Minute), Reason: malformed, GrantOnly: true})
	s.add(Case{Name: "together/a bare Signature", Target: Target + "&Signature=AAAA", Reason: malformed, GrantOnly: true})
}

func (s *suite) find(name, carrier string) *form {
	for _, f := range s.w.forms() {
		if f.name == name && f.carrier == carrier {
			return f
		}
	}
	panic("no form " + name) // the suite's own fault
}

// cloudFront is policies that are signed and odd.
func (s *suite) cloudFront() {
	later := s.w.unix(time.Minute)
	good := `"Resource":"` + BaseURL + `/*","Condition":{"DateLessThan":{"AWS:EpochTime":` + later + `}}`
	for _, kind := range []string{"rs", "es"} {
		f := s.find("cloudfront-custom-"+kind, "query")
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
			s.signed(f, what, wish{claims: map[string]any{"policy": x.policy}}, x.want)
		}
		for hash, want := range map[string]string{"SHA256": "", "SHA1": "", "MD5": algorithm, "": algorithm} {
			for _, name := range []string{"cloudfront-canned-" + kind, "cloudfront-custom-" + kind} {
				for _, carrier := range []string{"query", "cookie"} {
					s.signed(s.find(name, carrier), "hash "+hash, wish{claims: map[string]any{"hash": hash}}, want)
				}
			}
		}
	}
	c, q := s.find("cloudfront-canned-rs", "query"), s.find("cloudfront-custom-rs", "query")
	both := append(c.sign(wish{}.fill(c)), q.sign(wish{}.fill(q))[0])
	s.grant(c, "both an expiry and a policy", Target, both, malformed)
	s.signed(c, "key of another kind", wish{key: "es-active", forge: true}, forged)
}

// cdni is claims that are signed and odd, and confusions of algorithms.
func (s *suite) cdni() {
	at := func(d time.Duration) int64 { return s.w.Now.Add(d).Unix() }
	for _, kind := range []string{"hs", "rs", "es", "ed"} {
		f := s.find("cdni-"+kind, "query")
		for _, x := range []struct {
			what  string
			claim string
			value any
			want  string
		}{
			{"no expiry", "exp", nil, malformed}, {"expiry as text", "exp", "soon", malformed}, {"expiry of zero", "exp", 0, malformed},
			{"expiry with a fraction", "exp", float64(at(time.Minute)) + 0.5, ""}, {"no issuer", "iss", nil, issuer},
			{"other issuer", "iss", "someone", issuer}, {"no audience", "aud", nil, ""}, {"audience in a list", "aud", []string{"x", "dCDN"}, ""},
			{"other audience", "aud", "x", audience}, {"no container", "cdniuc", nil, malformed}, {"container of no kind", "cdniuc", "uri:x", malformed},
			{"hash of another algorithm", "cdniuc", "hash:sha-1;AAAA", malformed}, {"hash cut", "cdniuc", "hash:sha-256;AAAA", malformed},
			{"version 1", "cdniv", 1, ""}, {"version 2", "cdniv", 2, critical}, {"version as text", "cdniv", "1", malformed},
			{"critical and known", "cdnicrit", "exp,iss", ""}, {"critical and unknown", "cdnicrit", "exp,geo", critical},
			{"critical and absent", "cdnicrit", "nbf", critical}, {"critical and empty words", "cdnicrit", ",", critical},
			{"unknown claim", "geo", "bd", ""}, {"address in clear", "cdniip", "127.0.0.1", address}, {"subject in clear", "sub", "member 7", malformed},
			{"transport of no kind", "cdnistt", 7, malformed}, {"transport without a span", "cdnistt", 1, malformed},
			{"depth below zero", "cdnistd", -1, malformed}, {"issued later", "iat", at(time.Hour), ""}, {"not before, as text", "nbf", "x", malformed},
			{"alg none", "head.alg", "none", algorithm}, {"unknown kid", "head.kid", "zz", unknown}, {"no kid", "head.kid", "", unknown},
			{"kid of another kind", "head.kid", map[string]string{"hs": "rs-active"}[kind] + map[bool]string{true: "hs-active"}[kind != "hs"], algorithm},
			{"critical header", "head.crit", []string{"exp"}, malformed + "|" + forged},
		} {
			s.signed(f, x.what, wish{claims: map[string]any{x.claim: x.value}}, x.want)
		}
	}
	hs, rs := s.find("cdni-hs", "query"), s.find("cdni-rs", "query")
	s.signed(rs, "HS256 by the public key", wish{claims: map[string]any{"head.alg": "HS256 by the public key"}}, algorithm)
	s.signed(rs, "PS256", wish{claims: map[string]any{"head.alg": "PS256"}}, algorithm)
	s.signed(hs, "HS512", wish{claims: map[string]any{"head.alg": "HS512"}}, algorithm)
	s.signed(hs, "RS256 under the secret's name", wish{claims: map[string]any{"head.alg": "RS256"}}, algorithm)
	c := func(what string, x wish, want string) {
		x = x.fill(hs)
		target, header := hs.carry(x.target, hs.sign(x))
		s.add(Case{Name: "cdni-hs/query/" + what, Target: target, Header: header, Reason: want})
	}
	c("token taken back", wish{id: "taken-back"}, "token is revoked")
	c("token not taken back", wish{id: "another"}, "")
	x := wish{claims: map[string]any{"cdnistt": 1, "cdniets": 30, "cdnistd": 2}}.fill(hs)
	target, header := hs.carry(x.target, hs.sign(x))
	s.add(Case{Name: "cdni-hs/query/renewed", Target: target, Header: header, WantHeader: map[string]string{
		"Set-Cookie": "URISigningPackage=*; Path=/files/guide-video/; Expires=*; Secure; HttpOnly"}})
}

// paths is targets that can be read in two ways, or name nothing; all signed.
func (s *suite) paths() {
	for _, name := range []string{"edgeauth", "cloudcdn-prefix", "cloudfront-custom-es", "cdni-hs", "timed-issued"} {
		f := s.find(name, "query")
		x := wish{}
		if f.tokens {
			x.covers = f.everything()
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
			x.target = target
			y := x.fill(f)
			target, header := f.carry(y.target, f.sign(y))
			s.add(Case{Name: "paths/" + name + "/" + y.target, Target: target, Header: header, Reason: badTarget})
		}
	}
	f := s.find("edgeauth", "query")
	target, header := f.carry("/files/guide-video/99/9f3a", f.sign(wish{covers: "/*"}.fill(f)))
	s.add(Case{Name: "paths/under a revoked prefix", Target: target, Header: header, Reason: "path is revoked"})
	target, header = f.carry(Target, f.sign(wish{who: "member 13"}.fill(f)))
	s.add(Case{Name: "paths/a revoked subject", Target: target, Header: header, Reason: "subject is revoked"})
	v := s.find("timed-verify", "query")
	for path, want := range map[string]string{Path: "", "/files/page-asset/17/9f3a": uncovered} {
		target, header = v.carry(path, v.sign(wish{target: path}.fill(v)))
		s.add(Case{Name: "paths/a tenant's " + path, Target: target, Header: header, Reason: want})
	}
}

// sizes is what is too long to be anything.
func (s *suite) sizes() {
	long := func(n int) string { return strings.Repeat("A", n) }
	for name, c := range map[string]Case{
		"token of 5 KB":             {Target: Target + "&hdnts=exp=1~acl=/*~hmac=" + long(5000), Reason: malformed},
		"JWT of 5 KB":               {Target: Target + "&URISigningPackage=" + long(5000), Reason: malformed},
		"policy of 5 KB":            {Target: Target + "&Policy=" + long(5000) + "&Signature=AAAA&Key-Pair-Id=rs-active", Reason: malformed},
		"signature of 5 KB":         {Target: Target + "&Expires=" + s.w.unix(time.Minute) + "&Signature=" + long(5000) + "&Key-Pair-Id=rs-active", Reason: malformed},
		"key's name of 1 KB":        {Target: Target + "&Expires=" + s.w.unix(time.Minute) + "&KeyName=" + long(1000) + "&Signature=" + long(27) + "=", Reason: malformed},
		"expiry of 13 digits":       {Target: Target + "&Expires=1000000000000&KeyName=active&Signature=" + long(27) + "=", Reason: malformed},
		"target of 9 KB":            {Target: Target + "&x=" + long(9000), Reason: badTarget},
		"cookie header of 10 KB":    {Target: Target, Header: []string{"Cookie: x=" + long(10_000)}, Reason: missing},
		"pattern of 2 KB":           {Target: Target + "&hdnts=" + edgeLong(s.w), Reason: malformed},
		"an empty token":            {Target: Target + "&hdnts=", Reason: malformed},
		"an empty JWT":              {Target: Target + "&URISigningPackage=", Reason: malformed},
		"an empty header":           {Target: Target, Header: []string{"X-Edge-Token: "}, Reason: malformed},
		"an empty cookie":           {Target: Target, Header: []string{"Cookie: Cloud-CDN-Cookie="}, Reason: malformed},
		"a cookie of another's":     {Target: Target, Header: []string{"Cookie: hdnts2=x; xhdnts=y; CloudFront=z"}, Reason: missing},
		"a cookie without a value":  {Target: Target, Header: []string{"Cookie: hdnts"}, Reason: missing},
		"a cookie in quotation":     {Target: Target, Header: []string{`Cookie: "hdnts=x"`}, Reason: missing},
		"cookies without a name":    {Target: Target, Header: []string{"Cookie: ;;=;=x; ;"}, Reason: missing},
		"query of separators":       {Target: Path + "?&&&===&", Reason: missing},
		"query that can't be read":  {Target: Target + "&%zz=1", Reason: badTarget},
		"edge token that is a JWT":  {Target: Target + "&hdnts=" + join(s.w.token(wish{}.fill(s.find("cdni-hs", "query"))), "."), Reason: malformed},
		"JWT that is an edge token": {Target: Target + "&URISigningPackage=exp=1~hmac=00", Reason: malformed},
	} {
		c.Name, c.GrantOnly = "sizes/"+name, true
		s.add(c)
	}
}

func edgeLong(w *Fixture) string {
	return join(w.edge(wish{target: Target, key: "a", until: time.Minute, data: Branch, covers: "/files/*!" + strings.Repeat("/x", 1000)}, "", shaNew), "~")
}

// http is what clients use of HTTP beside the grant.
func (s *suite) http() {
	f := s.find("edgeauth", "query")
	link, _ := f.carry(Target, f.sign(wish{}.fill(f)))
	style, _ := f.carry("/files/page-asset/17/9f3a?seg=3", f.sign(wish{covers: "/files/*"}.fill(f)))
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
	s.add(Case{Name: "http/refusal is readable to the page", Target: Target, Header: []string{app}, Reason: missing,
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

package conformance

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/md5"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"net/url"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// wish is what a link is made for; the zero one is good.
type wish struct {
	target string // Target
	key    string // the form's own
	from   time.Duration
	until  time.Duration // a minute
	net    string
	data   string // Branch
	covers string
	id     string
	who    string
	forge  bool // by a key that nobody knows
	claims map[string]any
}

// field is one field of a grant, as it is carried.
type field struct{ name, value string }

// form is one format in one carrier.
type form struct {
	name    string
	carrier string // query, cookie, header, path
	field   string // that carries a one-field token; empty: the fields stand by themselves
	sep     string // of the fields
	key     string // by default
	free    bool   // the order of the fields is free
	sign    func(w wish) []field
	address bool // can be bound to addresses
	starts  bool // can begin later
	tokens  bool // can let in more than one URL
	bound   bool // names a branch
	noKey   bool // names no key
}

func (w wish) fill(f *form) wish {
	if w.target == "" {
		w.target = Target
	}
	if w.key == "" {
		w.key = f.key
	}
	if w.until == 0 {
		w.until = time.Minute
	}
	if w.data == "" {
		w.data = Branch
	}
	return w
}

func mac(h func() hash.Hash, key, text string) []byte {
	m := hmac.New(h, []byte(key))
	m.Write([]byte(text))
	return m.Sum(nil)
}

func join(fields []field, sep string) string {
	var out []string
	for _, f := range fields {
		if f.name == "" {
			out = append(out, f.value)
			continue
		}
		out = append(out, f.name+"="+f.value)
	}
	return strings.Join(out, sep)
}

// carry puts fields into a request.
func (f *form) carry(target string, fields []field) (string, []string) {
	text := join(fields, f.sep)
	if f.field != "" {
		text = f.field + "=" + text
	}
	switch f.carrier {
	case "query":
		if strings.Contains(target, "?") {
			return target + "&" + text, nil
		}
		return target + "?" + text, nil
	case "cookie":
		return target, []string{"Cookie: lang=bn; " + text + "; theme=dark"}
	case "header":
		return target, []string{strings.Replace(text, "=", ": ", 1)}
	}
	path, query, more := strings.Cut(target, "?")
	if f.field[0] == ';' {
		path += text
	} else { // a segment before the last
		i := strings.LastIndexByte(path, '/')
		path = path[:i] + text + path[i:]
	}
	if more {
		path += "?" + query
	}
	return path, nil
}

func (w *Fixture) unix(d time.Duration) string { return fmt.Sprint(w.Now.Add(d).Unix()) }

func (w *Fixture) edge(x wish, salt string, h func() hash.Hash) []field {
	keys := map[string]string{"a": secret, "b": otherOne, "retired": "retired" + secret, "revoked": "revoked" + secret}
	key := keys[x.key]
	if x.forge {
		key = "nobody's " + secret
	}
	var out []field
	if x.net != "" {
		out = append(out, field{"ip", strings.ToLower(url.QueryEscape(x.net))})
	}
	if x.from != 0 {
		out = append(out, field{"st", w.unix(x.from)})
	}
	out = append(out, field{"exp", w.unix(x.until)})
	if x.covers != "" {
		out = append(out, field{"acl", x.covers})
	}
	if x.who != "" {
		out = append(out, field{"id", url.QueryEscape(x.who)})
	}
	if salt == "" {
		out = append(out, field{"data", x.data})
	}
	text := join(out, "~")
	if x.covers == "" {
		path, _, _ := strings.Cut(x.target, "?")
		text += "~url=" + lowerHex(url.QueryEscape(path))
	}
	if salt != "" {
		text += "~salt=" + salt
	}
	return append(out, field{"hmac", hex.EncodeToString(mac(h, key, text))})
}

// lowerHex is how the published token libraries write what they escape.
func lowerHex(s string) string {
	b := []byte(s)
	for i := range b {
		if b[i] == '%' && i+2 < len(b) {
			copy(b[i+1:i+3], strings.ToLower(string(b[i+1:i+3])))
		}
	}
	return string(b)
}

// cloud is Google's signed requests; ed with Ed25519 keys.
func (w *Fixture) cloud(x wish, sep string, ed, inPath bool) []field {
	sign := func(text string) string {
		switch {
		case ed && x.forge:
			return base64.RawURLEncoding.EncodeToString(ed25519.Sign(w.bad.ed, []byte(text)))
		case ed:
			return base64.RawURLEncoding.EncodeToString(ed25519.Sign(w.ed, []byte(text)))
		case x.forge:
			return base64.URLEncoding.EncodeToString(mac(sha1.New, otherOne, text))
		}
		return base64.URLEncoding.EncodeToString(mac(sha1.New, secret, text))
	}
	out := []field{{"Expires", w.unix(x.until)}, {"KeyName", x.key}}
	text := ""
	switch {
	case inPath:
		path, _, _ := strings.Cut(x.target, "?")
		text = BaseURL + path[:strings.LastIndexByte(path, '/')+1] + "edge-cache-token=" + join(out, "&")
	case x.covers != "":
		out = append([]field{{"URLPrefix", base64.URLEncoding.EncodeToString([]byte(x.covers))}}, out...)
		text = join(out, sep)
	case strings.Contains(x.target, "?"):
		text = BaseURL + x.target + "&" + join(out, "&")
	default:
		text = BaseURL + x.target + "?" + join(out, "&")
	}
	return append(out, field{"Signature", sign(text)})
}

// amazon is CloudFront's canned and custom policies.
func (w *Fixture) amazon(x wish, custom, cookie bool) []field {
	enc := func(b []byte) string {
		return strings.NewReplacer("+", "-", "=", "_", "/", "~").Replace(base64.StdEncoding.EncodeToString(b))
	}
	resource := BaseURL + x.target
	if x.covers != "" {
		resource = x.covers
	}
	policy := fmt.Sprintf(`{"Statement":[{"Resource":"%s","Condition":{"DateLessThan":{"AWS:EpochTime":%s}}}]}`, resource, w.unix(x.until))
	if custom {
		condition := `"DateLessThan":{"AWS:EpochTime":` + w.unix(x.until) + `}`
		if x.from != 0 {
			condition += `,"DateGreaterThan":{"AWS:EpochTime":` + w.unix(x.from) + `}`
		}
		if x.net != "" {
			condition += `,"IpAddress":{"AWS:SourceIp":"` + x.net + `"}`
		}
		policy = fmt.Sprintf(`{ "Statement": [{ "Resource":"%s", "Condition":{%s} }] }`, resource, condition)
		if raw, ok := x.claims["policy"]; ok {
			policy = raw.(string)
		}
	}
	kind, sum := crypto.SHA1, sha1.Sum([]byte(policy))
	digest := sum[:]
	if x.claims["hash"] == "SHA256" {
		s := sha256.Sum256([]byte(policy))
		kind, digest = crypto.SHA256, s[:]
	}
	var signature []byte
	var err error
	rs, es := w.rsa, w.ec
	if x.forge {
		rs, es = w.bad.rsa, w.bad.ec
	}
	if strings.HasPrefix(x.key, "es-") {
		signature, err = ecdsa.SignASN1(rand.Reader, es, digest)
	} else {
		signature, err = rsa.SignPKCS1v15(nil, rs, kind, digest)
	}
	if err != nil {
		panic(err) // the keys are ours
	}
	out := []field{{"Expires", w.unix(x.until)}}
	if custom {
		out = []field{{"Policy", enc([]byte(policy))}}
	}
	out = append(out, field{"Signature", enc(signature)}, field{"Key-Pair-Id", x.key})
	if h, ok := x.claims["hash"]; ok {
		out = append(out, field{"Hash-Algorithm", h.(string)})
	}
	if cookie {
		for i := range out {
			out[i].name = "CloudFront-" + out[i].name
		}
	}
	return out
}

// token is a JWT of RFC 9246 in its three parts.
func (w *Fixture) token(x wish) []field {
	sum := sha256.Sum256([]byte(BaseURL + x.target))
	m := jwt.MapClaims{"iss": "uCDN", "aud": "dCDN", "exp": w.Now.Add(x.until).Unix(),
		"cdniuc": "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])}
	if x.covers != "" {
		m["cdniuc"] = "regex:" + x.covers
	}
	if x.from != 0 {
		m["nbf"] = w.Now.Add(x.from).Unix()
	}
	if x.id != "" {
		m["jti"] = x.id
	}
	method, key := jwt.SigningMethod(jwt.SigningMethodHS256), any([]byte(secret))
	switch x.key[:3] {
	case "rs-":
		method, key = jwt.SigningMethodRS256, w.rsa
	case "es-":
		method, key = jwt.SigningMethodES256, w.ec
	case "ed-":
		method, key = jwt.SigningMethodEdDSA, w.ed
	}
	if x.forge {
		switch x.key[:3] {
		case "hs-":
			key = []byte(otherOne)
		case "rs-":
			key = w.bad.rsa
		case "es-":
			key = w.bad.ec
		case "ed-":
			key = w.bad.ed
		}
	}
	head := map[string]any{"kid": x.key}
	for name, v := range x.claims {
		switch name {
		case "head.alg":
			switch v {
			case "none":
				method, key = jwt.SigningMethodNone, jwt.UnsafeAllowNoneSignatureType
			case "HS256 by the public key":
				method, key = jwt.SigningMethodHS256, []byte(public(w.rsa))
			case "HS512":
				method = jwt.SigningMethodHS512
			case "PS256":
				method, key = jwt.SigningMethodPS256, w.rsa
			case "RS256":
				method, key = jwt.SigningMethodRS256, w.rsa
			}
		default:
			if name, ok := strings.CutPrefix(name, "head."); ok {
				head[name] = v
			} else if v == nil {
				delete(m, name)
			} else {
				m[name] = v
			}
		}
	}
	t := jwt.NewWithClaims(method, m)
	for name, v := range head {
		t.Header[name] = v
	}
	text, err := t.SignedString(key)
	if err != nil {
		panic(err) // the keys are ours
	}
	parts := strings.Split(text, ".")
	return []field{{"", parts[0]}, {"", parts[1]}, {"", parts[2]}}
}

// timed is the digests that the world's file describes.
func (w *Fixture) timed(x wish, kind string) []field {
	path, _, _ := strings.Cut(x.target, "?")
	key := map[string]string{"a": secret, "b": otherOne, "retired": "retired" + secret, "revoked": "revoked" + secret}[x.key]
	if x.forge {
		key = "nobody's " + secret
	}
	switch kind {
	case "verify":
		sum := base64.StdEncoding.EncodeToString(mac(sha256.New, key, path+w.unix(x.until)))
		return []field{{"", w.unix(x.until)}, {"", url.QueryEscape(sum)}}
	case "secure":
		ip := x.net
		if ip == "" {
			ip = "127.0.0.1"
		}
		sum := md5.Sum([]byte(w.unix(x.until) + path + ip + " " + key))
		return []field{{"md5", base64.RawURLEncoding.EncodeToString(sum[:])}, {"expires", w.unix(x.until)}}
	}
	at := fmt.Sprintf("%x", w.Now.Add(x.until-time.Minute).Unix())
	return []field{{"", at}, {"", "n1"}, {"", hex.EncodeToString(mac(sha1.New, key, path+"-"+at+"-n1"))}}
}

// forms lists every format in every carrier.
func (w *Fixture) forms() []*form {
	var out []*form
	for _, c := range []struct{ carrier, field string }{{"query", "hdnts"}, {"cookie", "hdnts"}, {"header", "X-Edge-Token"}} {
		out = append(out, &form{name: "edgeauth", carrier: c.carrier, field: c.field, sep: "~", key: "a", address: true,
			starts: true, tokens: true, bound: true, noKey: true,
			sign: func(x wish) []field { return w.edge(x, "", sha256.New) }})
	}
	out = append(out, &form{name: "edgeauth-salt-sha1", carrier: "query", field: "salted", sep: "~", key: "a", address: true,
		starts: true, tokens: true, noKey: true, sign: func(x wish) []field { return w.edge(x, "pinch", sha1.New) }})
	for _, ed := range []bool{false, true} {
		name, cookie, key := "cloudcdn", "Cloud-CDN-Cookie", "active"
		if ed {
			name, cookie, key = "mediacdn", "Edge-Cache-Cookie", "m-active"
		}
		prefix := func(x wish) wish {
			if x.covers == "" {
				x.covers = BaseURL + "/files/guide-video/"
			}
			return x
		}
		out = append(out,
			&form{name: name + "-url", carrier: "query", sep: "&", key: key,
				sign: func(x wish) []field { return w.cloud(x, "&", ed, false) }},
			&form{name: name + "-prefix", carrier: "query", sep: "&", key: key, tokens: true,
				sign: func(x wish) []field { return w.cloud(prefix(x), "&", ed, false) }},
			&form{name: name + "-prefix", carrier: "cookie", field: cookie, sep: ":", key: key, tokens: true,
				sign: func(x wish) []field { return w.cloud(prefix(x), ":", ed, false) }})
	}
	out = append(out, &form{name: "mediacdn-path", carrier: "path", field: "/edge-cache-token", sep: "&", key: "m-active", sign: func(x wish) []field { return w.cloud(x, "&", true, true) }})
	for _, kind := range []string{"rs-", "es-"} {
		for _, custom := range []bool{false, true} {
			for _, carrier := range []string{"query", "cookie"} {
				name, sep := "cloudfront-canned-"+kind[:2], "&"
				if custom {
					name = "cloudfront-custom-" + kind[:2]
				}
				if carrier == "cookie" {
					sep = "; "
				}
				out = append(out, &form{name: name, carrier: carrier, sep: sep, key: kind + "active", free: true,
					address: custom, starts: custom, tokens: custom,
					sign: func(x wish) []field { return w.amazon(x, custom, carrier == "cookie") }})
			}
		}
	}
	for _, c := range []struct{ carrier, field string }{{"query", "URISigningPackage"}, {"cookie", "URISigningPackage"}, {"path", ";URISigningPackage"}} {
		for _, kind := range []string{"hs-", "rs-", "es-", "ed-"} {
			out = append(out, &form{name: "cdni-" + kind[:2], carrier: c.carrier, field: c.field, sep: ".", key: kind + "active",
				starts: true, tokens: true, sign: w.token})
		}
	}
	return append(out,
		&form{name: "timed-verify", carrier: "query", field: "verify", sep: "-", key: "a", noKey: true, sign: func(x wish) []field { return w.timed(x, "verify") }},
		&form{name: "timed-secure", carrier: "query", sep: "&", key: "a", free: true, noKey: true, sign: func(x wish) []field { return w.timed(x, "secure") }},
		&form{name: "timed-issued", carrier: "query", field: "auth", sep: "_", key: "a", noKey: true, sign: func(x wish) []field { return w.timed(x, "issued") }})
}

// readJSON is for alterations of what is encoded.
func readJSON(text string) map[string]any {
	var m map[string]any
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err == nil {
		err = json.Unmarshal(b, &m)
	}
	if err != nil {
		panic(err) // it was made here
	}
	return m
}

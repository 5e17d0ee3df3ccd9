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

// linkSpec says what a link is signed for; the zero value gives a valid link.
type linkSpec struct {
	target  string // default: Target
	key     string // default: the form's defaultKey
	start   time.Duration
	expiry  time.Duration // default: a minute
	address string        // client address or prefix
	branch  string        // default: Branch
	scope   string
	tokenID string
	subject string
	forge   bool // sign with a key that is not in the operator file
	claims  map[string]any
}

// field is one field of a grant, in its encoded form.
type field struct{ name, value string }

// form is one link format in one carrier.
type form struct {
	name         string
	carrier      string // query, cookie, header, path
	field        string // name that carries a one-field token; empty: each field stands on its own
	sep          string // separator of the fields
	defaultKey   string // signs links whose spec names no key
	anyOrder     bool   // the fields may come in any order
	sign         func(spec linkSpec) []field
	bindsAddress bool // can be bound to addresses
	hasStart     bool // supports a start of validity
	hasScope     bool // can cover more than one URL
	bindsBranch  bool // names the branch that may serve it
	unnamedKey   bool // does not name its key
}

func (spec linkSpec) withDefaults(f *form) linkSpec {
	if spec.target == "" {
		spec.target = Target
	}
	if spec.key == "" {
		spec.key = f.defaultKey
	}
	if spec.expiry == 0 {
		spec.expiry = time.Minute
	}
	if spec.branch == "" {
		spec.branch = Branch
	}
	return spec
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

// carry puts fields into a request and returns its target and header fields.
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
	} else { // a path segment before the last one
		i := strings.LastIndexByte(path, '/')
		path = path[:i] + text + path[i:]
	}
	if more {
		path += "?" + query
	}
	return path, nil
}

func (fixture *Fixture) unixAfter(d time.Duration) string {
	return fmt.Sprint(fixture.Now.Add(d).Unix())
}

func (fixture *Fixture) edgeAuthFields(spec linkSpec, salt string, h func() hash.Hash) []field {
	keys := map[string]string{"a": secret, "b": otherSecret, "retired": "retired" + secret, "revoked": "revoked" + secret}
	key := keys[spec.key]
	if spec.forge {
		key = "nobody's " + secret
	}
	var out []field
	if spec.address != "" {
		out = append(out, field{"ip", strings.ToLower(url.QueryEscape(spec.address))})
	}
	if spec.start != 0 {
		out = append(out, field{"st", fixture.unixAfter(spec.start)})
	}
	out = append(out, field{"exp", fixture.unixAfter(spec.expiry)})
	if spec.scope != "" {
		out = append(out, field{"acl", spec.scope})
	}
	if spec.subject != "" {
		out = append(out, field{"id", url.QueryEscape(spec.subject)})
	}
	if salt == "" {
		out = append(out, field{"data", spec.branch})
	}
	text := join(out, "~")
	if spec.scope == "" {
		path, _, _ := strings.Cut(spec.target, "?")
		text += "~url=" + lowerHex(url.QueryEscape(path))
	}
	if salt != "" {
		text += "~salt=" + salt
	}
	return append(out, field{"hmac", hex.EncodeToString(mac(h, key, text))})
}

// lowerHex writes percent escapes with lower-case digits, as the published token
// libraries do.
func lowerHex(s string) string {
	b := []byte(s)
	for i := range b {
		if b[i] == '%' && i+2 < len(b) {
			copy(b[i+1:i+3], strings.ToLower(string(b[i+1:i+3])))
		}
	}
	return string(b)
}

// googleFields returns the fields of Google's signed requests: Cloud CDN's, or with ed
// Media CDN's, which use Ed25519 keys.
func (fixture *Fixture) googleFields(spec linkSpec, sep string, ed, inPath bool) []field {
	sign := func(text string) string {
		switch {
		case ed && spec.forge:
			return base64.RawURLEncoding.EncodeToString(ed25519.Sign(fixture.unlisted.ed, []byte(text)))
		case ed:
			return base64.RawURLEncoding.EncodeToString(ed25519.Sign(fixture.ed, []byte(text)))
		case spec.forge:
			return base64.URLEncoding.EncodeToString(mac(sha1.New, otherSecret, text))
		}
		return base64.URLEncoding.EncodeToString(mac(sha1.New, secret, text))
	}
	out := []field{{"Expires", fixture.unixAfter(spec.expiry)}, {"KeyName", spec.key}}
	text := ""
	switch {
	case inPath:
		path, _, _ := strings.Cut(spec.target, "?")
		text = BaseURL + path[:strings.LastIndexByte(path, '/')+1] + "edge-cache-token=" + join(out, "&")
	case spec.scope != "":
		out = append([]field{{"URLPrefix", base64.URLEncoding.EncodeToString([]byte(spec.scope))}}, out...)
		text = join(out, sep)
	case strings.Contains(spec.target, "?"):
		text = BaseURL + spec.target + "&" + join(out, "&")
	default:
		text = BaseURL + spec.target + "?" + join(out, "&")
	}
	return append(out, field{"Signature", sign(text)})
}

// cloudFrontFields returns the fields of CloudFront's canned and custom policies.
func (fixture *Fixture) cloudFrontFields(spec linkSpec, custom, cookie bool) []field {
	encode := func(b []byte) string {
		return strings.NewReplacer("+", "-", "=", "_", "/", "~").Replace(base64.StdEncoding.EncodeToString(b))
	}
	resource := BaseURL + spec.target
	if spec.scope != "" {
		resource = spec.scope
	}
	policy := fmt.Sprintf(`{"Statement":[{"Resource":"%s","Condition":{"DateLessThan":{"AWS:EpochTime":%s}}}]}`, resource, fixture.unixAfter(spec.expiry))
	if custom {
		condition := `"DateLessThan":{"AWS:EpochTime":` + fixture.unixAfter(spec.expiry) + `}`
		if spec.start != 0 {
			condition += `,"DateGreaterThan":{"AWS:EpochTime":` + fixture.unixAfter(spec.start) + `}`
		}
		if spec.address != "" {
			condition += `,"IpAddress":{"AWS:SourceIp":"` + spec.address + `"}`
		}
		policy = fmt.Sprintf(`{ "Statement": [{ "Resource":"%s", "Condition":{%s} }] }`, resource, condition)
		if raw, ok := spec.claims["policy"]; ok {
			policy = raw.(string)
		}
	}
	kind, sum := crypto.SHA1, sha1.Sum([]byte(policy))
	digest := sum[:]
	if spec.claims["hash"] == "SHA256" {
		s := sha256.Sum256([]byte(policy))
		kind, digest = crypto.SHA256, s[:]
	}
	var signature []byte
	var err error
	rsaKey, ecKey := fixture.rsa, fixture.ec
	if spec.forge {
		rsaKey, ecKey = fixture.unlisted.rsa, fixture.unlisted.ec
	}
	if strings.HasPrefix(spec.key, "es-") {
		signature, err = ecdsa.SignASN1(rand.Reader, ecKey, digest)
	} else {
		signature, err = rsa.SignPKCS1v15(nil, rsaKey, kind, digest)
	}
	if err != nil {
		panic(err) // the keys were generated by this package
	}
	out := []field{{"Expires", fixture.unixAfter(spec.expiry)}}
	if custom {
		out = []field{{"Policy", encode([]byte(policy))}}
	}
	out = append(out, field{"Signature", encode(signature)}, field{"Key-Pair-Id", spec.key})
	if h, ok := spec.claims["hash"]; ok {
		out = append(out, field{"Hash-Algorithm", h.(string)})
	}
	if cookie {
		for i := range out {
			out[i].name = "CloudFront-" + out[i].name
		}
	}
	return out
}

// cdniFields returns the three parts of a JWT as RFC 9246 defines it.
func (fixture *Fixture) cdniFields(spec linkSpec) []field {
	sum := sha256.Sum256([]byte(BaseURL + spec.target))
	claims := jwt.MapClaims{"iss": "uCDN", "aud": "dCDN", "exp": fixture.Now.Add(spec.expiry).Unix(),
		"cdniuc": "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])}
	if spec.scope != "" {
		claims["cdniuc"] = "regex:" + spec.scope
	}
	if spec.start != 0 {
		claims["nbf"] = fixture.Now.Add(spec.start).Unix()
	}
	if spec.tokenID != "" {
		claims["jti"] = spec.tokenID
	}
	method, key := jwt.SigningMethod(jwt.SigningMethodHS256), any([]byte(secret))
	switch spec.key[:3] {
	case "rs-":
		method, key = jwt.SigningMethodRS256, fixture.rsa
	case "es-":
		method, key = jwt.SigningMethodES256, fixture.ec
	case "ed-":
		method, key = jwt.SigningMethodEdDSA, fixture.ed
	}
	if spec.forge {
		switch spec.key[:3] {
		case "hs-":
			key = []byte(otherSecret)
		case "rs-":
			key = fixture.unlisted.rsa
		case "es-":
			key = fixture.unlisted.ec
		case "ed-":
			key = fixture.unlisted.ed
		}
	}
	head := map[string]any{"kid": spec.key}
	for name, v := range spec.claims {
		switch name {
		case "head.alg":
			switch v {
			case "none":
				method, key = jwt.SigningMethodNone, jwt.UnsafeAllowNoneSignatureType
			case "HS256 by the public key":
				method, key = jwt.SigningMethodHS256, []byte(publicPEM(fixture.rsa))
			case "HS512":
				method = jwt.SigningMethodHS512
			case "PS256":
				method, key = jwt.SigningMethodPS256, fixture.rsa
			case "RS256":
				method, key = jwt.SigningMethodRS256, fixture.rsa
			}
		default:
			if name, ok := strings.CutPrefix(name, "head."); ok {
				head[name] = v
			} else if v == nil {
				delete(claims, name)
			} else {
				claims[name] = v
			}
		}
	}
	token := jwt.NewWithClaims(method, claims)
	for name, v := range head {
		token.Header[name] = v
	}
	text, err := token.SignedString(key)
	if err != nil {
		panic(err) // the keys were generated by this package
	}
	parts := strings.Split(text, ".")
	return []field{{"", parts[0]}, {"", parts[1]}, {"", parts[2]}}
}

// timedFields returns the fields of the timed digests that OperatorFile describes.
func (fixture *Fixture) timedFields(spec linkSpec, kind string) []field {
	path, _, _ := strings.Cut(spec.target, "?")
	key := map[string]string{"a": secret, "b": otherSecret, "retired": "retired" + secret, "revoked": "revoked" + secret}[spec.key]
	if spec.forge {
		key = "nobody's " + secret
	}
	switch kind {
	case "verify":
		sum := base64.StdEncoding.EncodeToString(mac(sha256.New, key, path+fixture.unixAfter(spec.expiry)))
		return []field{{"", fixture.unixAfter(spec.expiry)}, {"", url.QueryEscape(sum)}}
	case "secure":
		ip := spec.address
		if ip == "" {
			ip = "127.0.0.1"
		}
		sum := md5.Sum([]byte(fixture.unixAfter(spec.expiry) + path + ip + " " + key))
		return []field{{"md5", base64.RawURLEncoding.EncodeToString(sum[:])}, {"expires", fixture.unixAfter(spec.expiry)}}
	}
	at := fmt.Sprintf("%x", fixture.Now.Add(spec.expiry-time.Minute).Unix())
	return []field{{"", at}, {"", "n1"}, {"", hex.EncodeToString(mac(sha1.New, key, path+"-"+at+"-n1"))}}
}

// forms lists every format in every carrier.
func (fixture *Fixture) forms() []*form {
	var out []*form
	for _, c := range []struct{ carrier, field string }{{"query", "hdnts"}, {"cookie", "hdnts"}, {"header", "X-Edge-Token"}} {
		out = append(out, &form{name: "edgeauth", carrier: c.carrier, field: c.field, sep: "~", defaultKey: "a", bindsAddress: true,
			hasStart: true, hasScope: true, bindsBranch: true, unnamedKey: true,
			sign: func(spec linkSpec) []field { return fixture.edgeAuthFields(spec, "", sha256.New) }})
	}
	out = append(out, &form{name: "edgeauth-salt-sha1", carrier: "query", field: "salted", sep: "~", defaultKey: "a", bindsAddress: true,
		hasStart: true, hasScope: true, unnamedKey: true, sign: func(spec linkSpec) []field { return fixture.edgeAuthFields(spec, "pinch", sha1.New) }})
	for _, ed := range []bool{false, true} {
		name, cookie, key := "cloudcdn", "Cloud-CDN-Cookie", "active"
		if ed {
			name, cookie, key = "mediacdn", "Edge-Cache-Cookie", "m-active"
		}
		prefix := func(spec linkSpec) linkSpec {
			if spec.scope == "" {
				spec.scope = BaseURL + "/files/guide-video/"
			}
			return spec
		}
		out = append(out,
			&form{name: name + "-url", carrier: "query", sep: "&", defaultKey: key,
				sign: func(spec linkSpec) []field { return fixture.googleFields(spec, "&", ed, false) }},
			&form{name: name + "-prefix", carrier: "query", sep: "&", defaultKey: key, hasScope: true,
				sign: func(spec linkSpec) []field { return fixture.googleFields(prefix(spec), "&", ed, false) }},
			&form{name: name + "-prefix", carrier: "cookie", field: cookie, sep: ":", defaultKey: key, hasScope: true,
				sign: func(spec linkSpec) []field { return fixture.googleFields(prefix(spec), ":", ed, false) }})
	}
	out = append(out, &form{name: "mediacdn-path", carrier: "path", field: "/edge-cache-token", sep: "&", defaultKey: "m-active", sign: func(spec linkSpec) []field { return fixture.googleFields(spec, "&", true, true) }})
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
				out = append(out, &form{name: name, carrier: carrier, sep: sep, defaultKey: kind + "active", anyOrder: true,
					bindsAddress: custom, hasStart: custom, hasScope: custom,
					sign: func(spec linkSpec) []field { return fixture.cloudFrontFields(spec, custom, carrier == "cookie") }})
			}
		}
	}
	for _, c := range []struct{ carrier, field string }{{"query", "URISigningPackage"}, {"cookie", "URISigningPackage"}, {"path", ";URISigningPackage"}} {
		for _, kind := range []string{"hs-", "rs-", "es-", "ed-"} {
			out = append(out, &form{name: "cdni-" + kind[:2], carrier: c.carrier, field: c.field, sep: ".", defaultKey: kind + "active",
				hasStart: true, hasScope: true, sign: fixture.cdniFields})
		}
	}
	return append(out,
		&form{name: "timed-verify", carrier: "query", field: "verify", sep: "-", defaultKey: "a", unnamedKey: true, sign: func(spec linkSpec) []field { return fixture.timedFields(spec, "verify") }},
		&form{name: "timed-secure", carrier: "query", sep: "&", defaultKey: "a", anyOrder: true, unnamedKey: true, sign: func(spec linkSpec) []field { return fixture.timedFields(spec, "secure") }},
		&form{name: "timed-issued", carrier: "query", field: "auth", sep: "_", defaultKey: "a", unnamedKey: true, sign: func(spec linkSpec) []field { return fixture.timedFields(spec, "issued") }})
}

// readJSON decodes one part of a JWT, so that a case can alter it.
func readJSON(text string) map[string]any {
	var m map[string]any
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err == nil {
		err = json.Unmarshal(b, &m)
	}
	if err != nil {
		panic(err) // the value was encoded by this package
	}
	return m
}

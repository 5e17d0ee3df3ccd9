package grants

import (
	"crypto/ed25519"
	"crypto/sha1"
	"encoding/base64"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// google is the signed requests of Google's networks, as their documentation
// has them: Cloud CDN with HMAC-SHA1 keys, Media CDN with Ed25519 ones.
//
//	URL?...&Expires=UNIX&KeyName=NAME&Signature=SIG              the URL itself
//	URL?...&URLPrefix=B64&Expires=UNIX&KeyName=NAME&Signature=SIG   URLs that begin so
//	Cookie: Cloud-CDN-Cookie=URLPrefix=B64:Expires=UNIX:KeyName=NAME:Signature=SIG
//	/path/edge-cache-token=Expires=UNIX&KeyName=NAME&Signature=SIG/more   Media CDN alone
//
// The fields stand in this order, at the end of the query or, with URLPrefix,
// anywhere in one run. Signatures are base64url; Cloud CDN's with padding.
//
// Both networks' fields have the same names, so the key's name tells which it is.
type google struct{}

const (
	gPrefix = iota
	gExpires
	gKey
	gSignature
	gFields
)

var gNames = [gFields]string{"URLPrefix", "Expires", "KeyName", "Signature"}

// The cookies, by profile.
var gCookies = []string{"Cloud-CDN-Cookie", "Edge-Cache-Cookie"}

const gToken = "edge-cache-token"

func (google) names(*Profile) names {
	n := names{telling: 1<<gPrefix | 1<<gKey}
	n.fields[inQuery], n.fields[inCookie], n.fields[inPath] = gNames[:], gCookies, []string{"/" + gToken}
	n.alone = [carriers]bool{inCookie: true, inPath: true}
	return n
}

func (google) named() bool { return true }

func (google) kin(f format) bool { _, ok := f.(google); return ok }

func (google) bound(c *credential) bool {
	return c.carrier == inPath || c.carrier == inQuery && c.have&(1<<gPrefix) == 0
}

func (g google) read(c *credential) (*token, Refusal) {
	values, ok, sep := c.values, true, "&"
	switch c.carrier {
	case inQuery:
		ok = g.ordered(c)
	case inCookie:
		sep = ":"
		values, ok = gSplit(c.values[0]+c.values[1], sep, gPrefix)
	case inPath:
		values, ok = gSplit(c.values[0], sep, gExpires)
	}
	t := &token{}
	var ok2 bool
	if t.expires, ok2 = seconds(values[gExpires]); !ok || !ok2 || len(values[gKey]) > keyring.MaxNameBytes {
		return nil, MalformedSignature
	}
	for _, p := range c.profiles {
		if t.key = p.Ring.Find(values[gKey]); t.key != nil && g.carried(p, c) {
			t.profile = p
			break
		}
	}
	if t.profile == nil {
		return nil, UnknownKey
	}
	p, k, media := t.profile, t.key, t.profile.Format == MediaCDN
	signature, ok := g.decode(values[gSignature], media)
	if !ok {
		return nil, MalformedSignature
	}
	before, signed := "", "Expires="+values[gExpires]+sep+"KeyName="+values[gKey]
	switch {
	case values[gPrefix] != "":
		prefix, ok := g.text(values[gPrefix])
		if !ok || strings.ContainsAny(prefix, "?#") || len(prefix) > mostPattern {
			return nil, MalformedSignature
		}
		t.scope = scope{kind: urlPrefix, pattern: prefix}
		signed = "URLPrefix=" + values[gPrefix] + sep + signed
	case c.carrier == inPath:
		// What stands before the token is covered, and all that is below it.
		before = p.BaseURL + c.path[:c.first+1]
		t.scope = scope{kind: urlPrefix, pattern: before}
		signed = gToken + "=" + signed
	default:
		before, signed = p.BaseURL, c.target[:len(c.target)-len("&Signature=")-len(values[gSignature])]
	}
	t.signed = signed
	if media {
		t.proof = PendingSignature{token: t, public: k.Public, message: []byte(before + signed), signature: signature}
		return t, ""
	}
	t.verify = func() *keyring.Key {
		if equal(p.mac(k, before, signed), signature) {
			return k
		}
		return nil
	}
	return t, ""
}

// carried tells whether a profile's network has grants where this one stands.
func (google) carried(p *Profile, c *credential) bool {
	media := p.Format == MediaCDN
	return c.carrier == inQuery || c.carrier == inPath && media || c.carrier == inCookie && media == (c.have == 2)
}

// ordered tells whether a query's fields stand in one run in their order, and
// last where they sign the URL itself.
func (google) ordered(c *credential) bool {
	first := gExpires
	if c.have&(1<<gPrefix) != 0 {
		first = gPrefix
	}
	if c.count != gFields-first {
		return false
	}
	for i := range c.count {
		if int(c.order[i]) != first+i || c.values[first+i] == "" {
			return false
		}
	}
	_, query, _ := strings.Cut(c.target, "?")
	if strings.Count(query[c.first:c.last], "&") != c.count-1 {
		return false
	}
	return first == gPrefix || c.last == len(query)
}

// gSplit reads the fields of a cookie or a path segment, which begin with first.
func gSplit(text, sep string, first int) (values [maxFields]string, ok bool) {
	for i := first; i < gFields; i++ {
		var f string
		f, text, ok = strings.Cut(text, sep)
		name, value, _ := strings.Cut(f, "=")
		if name != gNames[i] || value == "" || ok != (i < gFields-1) {
			return values, false
		}
		values[i] = value
	}
	return values, true
}

func (google) decode(text string, media bool) ([]byte, bool) {
	encoding, size := base64.URLEncoding.Strict(), sha1.Size
	if media {
		size = ed25519.SignatureSize
		if !strings.HasSuffix(text, "=") {
			encoding = base64.RawURLEncoding.Strict()
		}
	}
	b, err := encoding.DecodeString(text)
	return b, err == nil && len(b) == size
}

// text decodes a prefix, which is base64url with or without padding.
func (google) text(text string) (string, bool) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimRight(text, "="))
	return string(b), err == nil && len(b) > 0
}

package grants

import (
	"crypto/ed25519"
	"crypto/sha1"
	"encoding/base64"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// google is the signed requests of Google's networks, as documented there: Cloud
// CDN with HMAC-SHA1 keys and Media CDN with Ed25519 keys.
//
//	URL?...&Expires=UNIX&KeyName=NAME&Signature=SIG                 the URL itself
//	URL?...&URLPrefix=B64&Expires=UNIX&KeyName=NAME&Signature=SIG   URLs with a prefix
//	Cookie: Cloud-CDN-Cookie=URLPrefix=B64:Expires=UNIX:KeyName=NAME:Signature=SIG
//	/path/edge-cache-token=Expires=UNIX&KeyName=NAME&Signature=SIG/more   Media CDN only
//
// The fields must be in this order and adjacent, at the end of the query or, with
// URLPrefix, anywhere in it. Signatures are base64url; Cloud CDN's are padded.
//
// The fields of both networks have the same names; the key's name decides which
// profile applies.
type google struct{}

const (
	gPrefix = iota
	gExpires
	gKey
	gSignature
	gFields
)

var gNames = [gFields]string{"URLPrefix", "Expires", "KeyName", "Signature"}

// gCookies are the cookie names of Cloud CDN and Media CDN.
var gCookies = []string{"Cloud-CDN-Cookie", "Edge-Cache-Cookie"}

const gPathToken = "edge-cache-token"

func (google) fieldNames(*Profile) fieldNames {
	n := fieldNames{identifying: 1<<gPrefix | 1<<gKey}
	n.byCarrier[inQuery], n.byCarrier[inCookie], n.byCarrier[inPath] = gNames[:], gCookies, []string{"/" + gPathToken}
	n.single = [carrierCount]bool{inCookie: true, inPath: true}
	return n
}

func (google) carriesKeyName() bool { return true }

func (google) sameFormat(f format) bool { _, ok := f.(google); return ok }

func (google) signsURL(cred *credential) bool {
	return cred.carrier == inPath || cred.carrier == inQuery && cred.present&(1<<gPrefix) == 0
}

func (g google) parse(cred *credential) (*token, Refusal) {
	values, ok, sep := cred.values, true, "&"
	switch cred.carrier {
	case inQuery:
		ok = g.fieldsInOrder(cred)
	case inCookie:
		sep = ":"
		values, ok = gSplit(cred.values[0]+cred.values[1], sep, gPrefix)
	case inPath:
		values, ok = gSplit(cred.values[0], sep, gExpires)
	}
	t := &token{}
	var expiresOK bool
	if t.expires, expiresOK = parseSeconds(values[gExpires]); !ok || !expiresOK || len(values[gKey]) > keyring.MaxNameBytes {
		return nil, MalformedSignature
	}
	for _, p := range cred.profiles {
		if t.key = p.Ring.Find(values[gKey]); t.key != nil && g.allowsCarrier(p, cred) {
			t.profile = p
			break
		}
	}
	if t.profile == nil {
		return nil, UnknownKey
	}
	p, k, media := t.profile, t.key, t.profile.Format == MediaCDN
	signature, ok := g.decodeSignature(values[gSignature], media)
	if !ok {
		return nil, MalformedSignature
	}
	signedBase, signed := "", "Expires="+values[gExpires]+sep+"KeyName="+values[gKey]
	switch {
	case values[gPrefix] != "":
		prefix, ok := g.decodePrefix(values[gPrefix])
		if !ok || strings.ContainsAny(prefix, "?#") || len(prefix) > maxPatternBytes {
			return nil, MalformedSignature
		}
		t.scope = scope{kind: urlPrefix, pattern: prefix}
		signed = "URLPrefix=" + values[gPrefix] + sep + signed
	case cred.carrier == inPath:
		// The token covers all paths that begin with the part before it.
		signedBase = p.BaseURL + cred.path[:cred.start+1]
		t.scope = scope{kind: urlPrefix, pattern: signedBase}
		signed = gPathToken + "=" + signed
	default:
		signedBase, signed = p.BaseURL, cred.target[:len(cred.target)-len("&Signature=")-len(values[gSignature])]
	}
	t.signed = signed
	if media {
		t.pendingSignature = PendingSignature{token: t, publicKey: k.Public, message: []byte(signedBase + signed), signature: signature}
		return t, ""
	}
	t.verify = func() *keyring.Key {
		if constantTimeEqual(p.mac(k, signedBase, signed), signature) {
			return k
		}
		return nil
	}
	return t, ""
}

// allowsCarrier reports whether the profile's network uses the credential's carrier
// and, for cookies, its cookie name.
func (google) allowsCarrier(p *Profile, cred *credential) bool {
	media := p.Format == MediaCDN
	return cred.carrier == inQuery || cred.carrier == inPath && media || cred.carrier == inCookie && media == (cred.present == 2)
}

// fieldsInOrder reports whether the fields in a query are adjacent and in order,
// and, if the URL itself is signed, at the end of the query.
func (google) fieldsInOrder(cred *credential) bool {
	firstField := gExpires
	if cred.present&(1<<gPrefix) != 0 {
		firstField = gPrefix
	}
	if cred.count != gFields-firstField {
		return false
	}
	for i := range cred.count {
		if int(cred.order[i]) != firstField+i || cred.values[firstField+i] == "" {
			return false
		}
	}
	_, query, _ := strings.Cut(cred.target, "?")
	if strings.Count(query[cred.start:cred.end], "&") != cred.count-1 {
		return false
	}
	return firstField == gPrefix || cred.end == len(query)
}

// gSplit parses the fields of a cookie or a path segment, which begin with
// firstField.
func gSplit(text, sep string, firstField int) (values [maxFields]string, ok bool) {
	for i := firstField; i < gFields; i++ {
		var field string
		field, text, ok = strings.Cut(text, sep)
		name, value, _ := strings.Cut(field, "=")
		if name != gNames[i] || value == "" || ok != (i < gFields-1) {
			return values, false
		}
		values[i] = value
	}
	return values, true
}

// decodeSignature decodes a signature and checks its size. Media CDN's may be
// unpadded.
func (google) decodeSignature(text string, media bool) ([]byte, bool) {
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

// decodePrefix decodes a URL prefix, which is base64url with or without padding.
func (google) decodePrefix(text string) (string, bool) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimRight(text, "="))
	return string(b), err == nil && len(b) > 0
}

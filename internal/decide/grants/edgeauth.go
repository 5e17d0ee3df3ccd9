package grants

import (
	"encoding/hex"
	"net/url"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// edgeAuth is Akamai's EdgeAuth 2.0, as its published token libraries generate it:
//
//	ip=A~st=UNIX~exp=UNIX~acl=PATTERNS~id=TEXT~data=TEXT~hmac=HEX
//
// in this order, with all fields but exp and hmac optional. The digest covers all
// before ~hmac=. A token without acl is for one URL, and the digest then also
// covers ~url=PATH. With a salt, it covers ~salt=TEXT at the end.
type edgeAuth struct{}

func (edgeAuth) fieldNames(p *Profile) fieldNames {
	n := fieldNames{identifying: 1}
	n.byCarrier[inQuery], n.byCarrier[inCookie], n.byCarrier[inHeader] =
		[]string{p.Query}, []string{p.Cookie}, []string{p.Header}
	return n
}

func (edgeAuth) carriesKeyName() bool { return false }

func (edgeAuth) sameFormat(f format) bool { _, ok := f.(edgeAuth); return ok }

func (edgeAuth) signsURL(cred *credential) bool {
	token := cred.values[0]
	return !strings.HasPrefix(token, "acl=") && !strings.Contains(token, "~acl=")
}

// Indices of the fields, in their order in a token.
const (
	eaIP = iota
	eaStart
	eaExpires
	eaACL
	eaID
	eaData
	eaMAC
	eaFields
)

var eaNames = [eaFields]string{"ip", "st", "exp", "acl", "id", "data", "hmac"}

func (edgeAuth) parse(cred *credential) (*token, Refusal) {
	text := cred.values[0]
	var values [eaFields]string
	if len(text) > maxTokenBytes {
		return nil, MalformedSignature
	}
	next := 0
	for rest, more := text, true; more; {
		var field string
		field, rest, more = strings.Cut(rest, "~")
		name, value, ok := strings.Cut(field, "=")
		for next < eaFields && eaNames[next] != name {
			next++
		}
		if !ok || next == eaFields || value == "" {
			return nil, MalformedSignature
		}
		values[next] = value
		next++
	}
	t := &token{profile: cred.profiles[0]}
	var ok, notBeforeOK bool
	t.expires, ok = parseSeconds(values[eaExpires])
	if t.notBefore, notBeforeOK = parseSeconds(values[eaStart]); values[eaStart] != "" && !notBeforeOK {
		return nil, MalformedSignature
	}
	acl, aclErr := url.PathUnescape(values[eaACL])
	data, dataErr := url.QueryUnescape(values[eaData])
	id, idErr := url.QueryUnescape(values[eaID])
	ip, ipErr := url.PathUnescape(values[eaIP])
	macBytes := hex.DecodedLen(len(values[eaMAC]))
	if !ok || aclErr != nil || dataErr != nil || idErr != nil || ipErr != nil || macBytes == 0 || macBytes > len(t.mac) ||
		len(acl) > maxPatternBytes {
		return nil, MalformedSignature
	}
	var macHex [2 * len(t.mac)]byte
	if _, err := hex.Decode(t.mac[:], macHex[:copy(macHex[:], values[eaMAC])]); err != nil {
		return nil, MalformedSignature
	}
	if ip != "" {
		if t.networks, ok = parseNetworks([]string{ip}); !ok {
			return nil, MalformedSignature
		}
	}
	t.data, t.subject, t.scope = data, id, scope{kind: pathPatterns, pattern: acl}
	url := ""
	if acl == "" {
		t.scope = scope{}
		url = cred.path
	}
	t.signed = text[:len(text)-len("~hmac=")-len(values[eaMAC])]
	profiles := cred.profiles
	t.verify = func() (found *keyring.Key) {
		for _, p := range profiles { // all keys are tried, so that the time doesn't reveal which one matches
			if macBytes != p.macSize {
				continue
			}
			for _, k := range p.Ring.Keys {
				if constantTimeEqual(p.edgeMAC(k, t.signed, url), t.mac[:macBytes]) {
					found, t.profile = k, p
				}
			}
		}
		return found
	}
	return t, ""
}

// edgeMAC returns the digest of the signed text and, unless url is empty, of the
// URL's path.
func (p *Profile) edgeMAC(k *keyring.Key, signed, url string) []byte {
	var parts [5]string
	list := append(parts[:0], signed)
	if url != "" {
		list = append(list, "~url=", eaEscape(url))
	}
	if p.Salt != "" {
		list = append(list, "~salt=", p.Salt)
	}
	return p.mac(k, list...)
}

// eaEscape escapes like a query component, but with lower-case hex digits, as the
// token libraries do.
func eaEscape(s string) string {
	unreserved := true
	for i := range len(s) {
		if c := s[i]; !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-_.~", c) >= 0) {
			unreserved = false
			break
		}
	}
	if unreserved {
		return s
	}
	const hexDigits = "0123456789abcdef"
	b := make([]byte, 0, len(s)+16)
	for i := range len(s) {
		switch c := s[i]; {
		case 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-_.~", c) >= 0:
			b = append(b, c)
		case c == ' ':
			b = append(b, '+')
		default:
			b = append(b, '%', hexDigits[c>>4], hexDigits[c&15])
		}
	}
	return string(b)
}

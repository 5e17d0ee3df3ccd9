package grants

import (
	"encoding/hex"
	"net/url"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// edgeAuth is Akamai's EdgeAuth 2.0, as its published token libraries make it:
//
//	ip=A~st=UNIX~exp=UNIX~acl=PATTERNS~id=TEXT~data=TEXT~hmac=HEX
//
// with every field but exp and hmac optional, in this order. The digest covers
// all before ~hmac=; a token without acl is for one URL, whose path then stands
// as ~url=PATH behind it, and a salt as ~salt=TEXT behind all.
type edgeAuth struct{}

func (edgeAuth) names(p *Profile) names {
	n := names{telling: 1}
	n.fields[inQuery], n.fields[inCookie], n.fields[inHeader] =
		[]string{p.Query}, []string{p.Cookie}, []string{p.Header}
	return n
}

func (edgeAuth) named() bool { return false }

func (edgeAuth) kin(f format) bool { _, ok := f.(edgeAuth); return ok }

func (edgeAuth) bound(c *credential) bool {
	token := c.values[0]
	return !strings.HasPrefix(token, "acl=") && !strings.Contains(token, "~acl=")
}

// The fields in their order.
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

func (edgeAuth) read(c *credential) (*token, Refusal) {
	text := c.values[0]
	var values [eaFields]string
	if len(text) > mostToken {
		return nil, MalformedSignature
	}
	next := 0
	for rest, more := text, true; more; {
		var f string
		f, rest, more = strings.Cut(rest, "~")
		name, value, ok := strings.Cut(f, "=")
		for next < eaFields && eaNames[next] != name {
			next++
		}
		if !ok || next == eaFields || value == "" {
			return nil, MalformedSignature
		}
		values[next] = value
		next++
	}
	t := &token{profile: c.profiles[0]}
	var ok, ok2 bool
	t.expires, ok = seconds(values[eaExpires])
	if t.begins, ok2 = seconds(values[eaStart]); values[eaStart] != "" && !ok2 {
		return nil, MalformedSignature
	}
	acl, bad := url.PathUnescape(values[eaACL])
	data, bad2 := url.QueryUnescape(values[eaData])
	id, bad3 := url.QueryUnescape(values[eaID])
	ip, bad4 := url.PathUnescape(values[eaIP])
	n := hex.DecodedLen(len(values[eaMAC]))
	if !ok || bad != nil || bad2 != nil || bad3 != nil || bad4 != nil || n == 0 || n > len(t.mac) ||
		len(acl) > mostPattern {
		return nil, MalformedSignature
	}
	var digits [2 * len(t.mac)]byte
	if _, err := hex.Decode(t.mac[:], digits[:copy(digits[:], values[eaMAC])]); err != nil {
		return nil, MalformedSignature
	}
	if ip != "" {
		if t.nets, ok = readNets([]string{ip}); !ok {
			return nil, MalformedSignature
		}
	}
	t.data, t.subject, t.scope = data, id, scope{kind: pathLists, pattern: acl}
	url := ""
	if acl == "" {
		t.scope = scope{}
		url = c.path
	}
	t.signed = text[:len(text)-len("~hmac=")-len(values[eaMAC])]
	profiles := c.profiles
	t.verify = func() (found *keyring.Key) {
		for _, p := range profiles { // every key, so that time does not tell which
			if n != p.macSize {
				continue
			}
			for _, k := range p.Ring.Keys {
				if equal(p.edgeMAC(k, t.signed, url), t.mac[:n]) {
					found, t.profile = k, p
				}
			}
		}
		return found
	}
	return t, ""
}

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

// eaEscape escapes as the token libraries do: like a query component, with the
// hex digits in lower case.
func eaEscape(s string) string {
	plain := true
	for i := range len(s) {
		if c := s[i]; !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-_.~", c) >= 0) {
			plain = false
			break
		}
	}
	if plain {
		return s
	}
	const hexa = "0123456789abcdef"
	b := make([]byte, 0, len(s)+16)
	for i := range len(s) {
		switch c := s[i]; {
		case 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-_.~", c) >= 0:
			b = append(b, c)
		case c == ' ':
			b = append(b, '+')
		default:
			b = append(b, '%', hexa[c>>4], hexa[c&15])
		}
	}
	return string(b)
}

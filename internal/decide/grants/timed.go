package grants

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// Description tells how a network makes its timed digests. Message and Token
// are templates: text with fields in braces.
//
//	{expires}  moment in seconds, in Base: the last one, or with Life the first
//	{path}     the path without signing fields
//	{dir}      the path up to and with its last slash; the link then covers all below it
//	{url}      scheme, host and path
//	{ip}       the client's address
//	{id}       whom the link is for
//	{nonce}    any word
//	{key}      the key's name
//	{secret}   the secret itself, of plain digests
//	{mac}      the digest, of Token
//
// Token is what the one field carries, as "{expires}_{mac}"; where Separate
// names a query parameter, the moment stands there instead.
type TimedFormat struct {
	Message   string
	Token     string
	TimeParam string // of the moment; empty: in Token
	Digest    string // hmac-sha256, hmac-sha1, hmac-md5; plain: sha256, sha1, md5
	Encoding  string // hex, base64, base64url, base64url-nopad
	TimeBase  int    // of the moment, 10 or 16
	Lifetime  Micros // of a link whose moment is when it was issued; 0: it is when it ends
}

// Encodings names the encodings.
var Encodings = []string{"hex", "base64", "base64url", "base64url-nopad"}

var (
	messageFields = []string{"expires", "path", "dir", "url", "ip", "id", "nonce", "key", "secret"}
	tokenFields   = []string{"expires", "ip", "id", "nonce", "key", "mac"}
)

// piece is a run of plain text or a field of a template.
type piece struct {
	text  string
	field string
}

// timed is a compiled description.
type timed struct {
	TimedFormat
	message, token []piece
	keyed          bool // HMAC; else a plain digest with the secret in the message
	peer           bool // the address is the client's, and not in the token
	digest         string
}

func template(key, text string, fields []string) ([]piece, error) {
	var out []piece
	for rest := text; rest != ""; {
		plain, after, ok := strings.Cut(rest, "{")
		if plain != "" {
			out = append(out, piece{text: plain})
		}
		if !ok {
			break
		}
		name, more, ok := strings.Cut(after, "}")
		if !ok || !slices.Contains(fields, name) {
			return nil, fmt.Errorf("%s: field {%s} is none of %v", key, name, fields)
		}
		out = append(out, piece{field: name})
		rest = more
	}
	return out, nil
}

func (d TimedFormat) compile() (*timed, error) {
	t := &timed{TimedFormat: d}
	var err error
	if t.message, err = template("message", d.Message, messageFields); err != nil {
		return nil, err
	}
	if t.token, err = template("token", d.Token, tokenFields); err != nil {
		return nil, err
	}
	for i, p := range t.token {
		if i > 0 && p.field != "" && t.token[i-1].field != "" {
			return nil, fmt.Errorf("token: nothing parts {%s} from {%s}", t.token[i-1].field, p.field)
		}
	}
	t.digest, t.keyed = strings.CutPrefix(d.Digest, "hmac-")
	if digests[t.digest] == nil {
		return nil, fmt.Errorf("digest: %q is none of %v, each also with hmac- before it", d.Digest, Digests)
	}
	if !slices.Contains(Encodings, d.Encoding) {
		return nil, fmt.Errorf("encoding: %q is none of %v", d.Encoding, Encodings)
	}
	if t.TimeBase == 0 {
		t.TimeBase = 10
	}
	inMessage := func(name string) bool {
		return slices.ContainsFunc(t.message, func(p piece) bool { return p.field == name })
	}
	inToken := func(name string) int {
		n := 0
		for _, p := range t.token {
			if p.field == name {
				n++
			}
		}
		return n
	}
	switch {
	case t.TimeBase != 10 && t.TimeBase != 16:
		return nil, fmt.Errorf("base: %d is not 10 or 16", t.TimeBase)
	case inToken("mac") != 1:
		return nil, errors.New("token: {mac} must stand there once")
	case inToken("expires")+map[bool]int{true: 1}[d.TimeParam != ""] != 1:
		return nil, errors.New("token: {expires} must stand there once, or separate name its parameter")
	case !inMessage("expires"):
		return nil, errors.New("message: {expires} is missing, so a link could be made to last")
	case !inMessage("path") && !inMessage("dir") && !inMessage("url"):
		return nil, errors.New("message: {path}, {dir} or {url} is missing, so a link would let in everything")
	case t.keyed == inMessage("secret"):
		return nil, errors.New("message: {secret} belongs to plain digests, and must stand there with them")
	}
	t.peer = inMessage("ip") && inToken("ip") == 0
	for _, p := range t.token {
		if p.field != "" && p.field != "mac" && !inMessage(p.field) && p.field != "key" {
			return nil, fmt.Errorf("token: {%s} is not in message, so anyone could alter it", p.field)
		}
	}
	return t, nil
}

func (t *timed) names(p *Profile) names {
	n := names{telling: 1}
	n.fields[inQuery] = []string{p.Query}
	if t.TimeParam != "" {
		n.fields[inQuery] = append(n.fields[inQuery], t.TimeParam)
	}
	n.fields[inCookie], n.fields[inHeader] = []string{p.Cookie}, []string{p.Header}
	return n
}

func (*timed) named() bool { return false }

func (*timed) kin(f format) bool { _, ok := f.(*timed); return ok }

func (t *timed) bound(*credential) bool { return true }

func (*timed) read(c *credential) (*token, Refusal) {
	text := c.values[0]
	if text == "" || len(text) > mostToken {
		return nil, MalformedSignature
	}
	x := &token{}
	for _, p := range c.profiles {
		// Described alike as far as names go; the first whose form fits is it.
		f := p.format.(*timed)
		values, ok := f.split(text)
		if !ok {
			continue
		}
		if f.TimeParam != "" {
			values["expires"] = c.values[1]
		}
		moment, err := strconv.ParseInt(values["expires"], f.TimeBase, 64)
		mac, ok := decodeMAC(f.Encoding, values["mac"])
		if err != nil || moment <= 0 || moment >= mostSeconds || !ok || len(mac) != digests[f.digest]().Size() {
			continue
		}
		x.profile = p
		if x.subject, err = url.QueryUnescape(values["id"]); err != nil {
			continue
		}
		if x.expires = moment * 1_000_000; f.Lifetime > 0 {
			x.begins, x.expires = x.expires, x.expires+f.Lifetime
		}
		if ip := values["ip"]; ip != "" && !f.peer {
			if x.nets, ok = readNets([]string{ip}); !ok {
				continue
			}
		}
		if f.peer {
			values["ip"] = c.peer.Unmap().String()
		}
		path := c.path
		x.signed = path + "\x00" + string(mac)
		x.verify = func() (found *keyring.Key) {
			for _, k := range p.Ring.Keys {
				if name := values["key"]; name != "" && name != k.Name {
					continue
				}
				if equal(f.sum(p, k, values, path), mac) {
					found = k
				}
			}
			return found
		}
		return x, ""
	}
	return nil, MalformedSignature
}

// split takes a token apart by its template.
func (t *timed) split(text string) (map[string]string, bool) {
	values := map[string]string{}
	for i, p := range t.token {
		if p.text != "" {
			var ok bool
			if text, ok = strings.CutPrefix(text, p.text); !ok {
				return nil, false
			}
			continue
		}
		end := len(text)
		if i+1 < len(t.token) {
			if end = strings.Index(text, t.token[i+1].text); end < 0 {
				return nil, false
			}
		}
		if end == 0 {
			return nil, false
		}
		values[p.field], text = text[:end], text[end:]
	}
	return values, text == ""
}

// sum is the digest that a key gives.
func (t *timed) sum(p *Profile, k *keyring.Key, values map[string]string, path string) []byte {
	texts := make([]string, 0, 16)
	for _, x := range t.message {
		switch x.field {
		case "":
			texts = append(texts, x.text)
		case "path":
			texts = append(texts, path)
		case "dir":
			texts = append(texts, path[:strings.LastIndexByte(path, '/')+1])
		case "url":
			texts = append(texts, p.BaseURL, path)
		case "key":
			texts = append(texts, k.Name)
		case "secret":
			texts = append(texts, string(k.Bytes))
		default:
			texts = append(texts, values[x.field])
		}
	}
	if t.keyed {
		return p.mac(k, texts...)
	}
	h := digests[t.digest]()
	for _, text := range texts {
		h.Write([]byte(text))
	}
	return h.Sum(nil)
}

func encodeMAC(encoding string, mac []byte) string {
	switch encoding {
	case "hex":
		return hex.EncodeToString(mac)
	case "base64":
		return strings.NewReplacer("+", "%2B", "/", "%2F", "=", "%3D").Replace(base64.StdEncoding.EncodeToString(mac))
	case "base64url":
		return base64.URLEncoding.EncodeToString(mac)
	}
	return base64.RawURLEncoding.EncodeToString(mac)
}

func decodeMAC(encoding, text string) ([]byte, bool) {
	var mac []byte
	var err error
	switch encoding {
	case "hex":
		mac, err = hex.DecodeString(text)
	case "base64":
		plain := strings.NewReplacer("%2B", "+", "%2b", "+", "%2F", "/", "%2f", "/", "%3D", "=", "%3d", "=").Replace(text)
		mac, err = base64.StdEncoding.Strict().DecodeString(plain)
	case "base64url":
		mac, err = base64.URLEncoding.Strict().DecodeString(text)
	default:
		mac, err = base64.RawURLEncoding.Strict().DecodeString(text)
	}
	return mac, err == nil
}

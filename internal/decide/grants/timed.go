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

// TimedFormat describes how a network computes digests of URLs with an expiry.
// Message, the text to be digested, and Token are templates: text with fields in
// braces.
//
//	{expires}  Unix time in seconds: the expiry, or with Lifetime the time of issue; 10 digits, or 8 in base 16
//	{path}     the path without signing fields
//	{dir}      the path through its last slash; the link then covers all paths below it
//	{url}      scheme, host and path
//	{ip}       the client's address
//	{id}       the user of the link
//	{nonce}    any text
//	{key}      the key's name
//	{secret}   the secret; only in Message, for plain digests
//	{mac}      the digest; only in Token
//
// Token is the format of the token's field, for example "{expires}_{mac}". If
// TimeParam names a query parameter, that carries {expires} instead.
type TimedFormat struct {
	Message   string
	Token     string
	TimeParam string // query parameter for {expires}; empty: it is in Token
	Digest    string // hmac-sha256, hmac-sha1, hmac-md5; plain: sha256, sha1, md5
	Encoding  string // hex, base64, base64url, base64url-nopad
	TimeBase  int    // base of {expires}: 10 (default) or 16
	Lifetime  Micros // from the time of issue; 0: {expires} is the expiry
}

// Encodings lists the encodings of a digest.
var Encodings = []string{"hex", "base64", "base64url", "base64url-nopad"}

var (
	messageFields = []string{"expires", "path", "dir", "url", "ip", "id", "nonce", "key", "secret"}
	tokenFields   = []string{"expires", "ip", "id", "nonce", "key", "mac"}
)

// templatePart is either literal text or a field of a template.
type templatePart struct {
	text  string
	field string
}

// timed is a compiled TimedFormat.
type timed struct {
	TimedFormat
	message, token []templatePart
	useHMAC        bool // otherwise a plain digest with the secret in the message
	bindsPeer      bool // {ip} is the address of the connection, not taken from the token
	digest         string
}

// parseTemplate splits a template into its parts. key is the setting's name, for
// errors.
func parseTemplate(key, text string, fields []string) ([]templatePart, error) {
	var parts []templatePart
	for rest := text; rest != ""; {
		plain, after, ok := strings.Cut(rest, "{")
		if plain != "" {
			parts = append(parts, templatePart{text: plain})
		}
		if !ok {
			break
		}
		name, more, ok := strings.Cut(after, "}")
		if !ok || !slices.Contains(fields, name) {
			return nil, fmt.Errorf("%s: field {%s} is not one of %v", key, name, fields)
		}
		parts = append(parts, templatePart{field: name})
		rest = more
	}
	return parts, nil
}

// compile checks the description and parses its templates. An error begins with the
// setting's key.
func (d TimedFormat) compile() (*timed, error) {
	t := &timed{TimedFormat: d}
	var err error
	if t.message, err = parseTemplate("message", d.Message, messageFields); err != nil {
		return nil, err
	}
	if t.token, err = parseTemplate("token", d.Token, tokenFields); err != nil {
		return nil, err
	}
	for i, part := range t.token {
		if i > 0 && part.field != "" && t.token[i-1].field != "" {
			return nil, fmt.Errorf("token: no text separates {%s} from {%s}", t.token[i-1].field, part.field)
		}
	}
	t.digest, t.useHMAC = strings.CutPrefix(d.Digest, "hmac-")
	if digests[t.digest] == nil {
		return nil, fmt.Errorf("digest: %q is not one of %v, with or without the prefix hmac-", d.Digest, Digests)
	}
	if !slices.Contains(Encodings, d.Encoding) {
		return nil, fmt.Errorf("encoding: %q is not one of %v", d.Encoding, Encodings)
	}
	if t.TimeBase == 0 {
		t.TimeBase = 10
	}
	inMessage := func(name string) bool {
		return slices.ContainsFunc(t.message, func(part templatePart) bool { return part.field == name })
	}
	inToken := func(name string) int {
		n := 0
		for _, part := range t.token {
			if part.field == name {
				n++
			}
		}
		return n
	}
	switch {
	case t.TimeBase != 10 && t.TimeBase != 16:
		return nil, fmt.Errorf("base: %d is not 10 or 16", t.TimeBase)
	case inToken("mac") != 1:
		return nil, errors.New("token: {mac} must occur exactly once")
	case inToken("expires")+map[bool]int{true: 1}[d.TimeParam != ""] != 1:
		return nil, errors.New("token: {expires} must occur exactly once, or separate must name its query parameter instead")
	case !inMessage("expires"):
		return nil, errors.New("message: {expires} is missing, so the expiry would not be signed")
	case !inMessage("path") && !inMessage("dir") && !inMessage("url"):
		return nil, errors.New("message: {path}, {dir} or {url} is missing, so a link would cover every path")
	case t.useHMAC == inMessage("secret"):
		return nil, errors.New("message: {secret} is required for plain digests and not allowed for HMAC")
	}
	t.bindsPeer = inMessage("ip") && inToken("ip") == 0
	if err := t.checkBoundaries(); err != nil {
		return nil, err
	}
	for _, part := range t.token {
		if part.field != "" && part.field != "mac" && !inMessage(part.field) && part.field != "key" {
			return nil, fmt.Errorf("token: {%s} is not in message, so it would not be signed", part.field)
		}
	}
	return t, nil
}

// checkBoundaries returns an error if the message has a field of the token, of any length, behind the
// path with no text between: characters could be moved from one to the other under the same digest.
// {expires} between the two separates nothing, since its digits can be moved as well.
func (t *timed) checkBoundaries() error {
	variable := "" // field of any length since the last text
	for _, part := range t.message {
		switch part.field {
		case "expires":
		case "path", "url":
			variable = part.field
		case "id", "nonce", "ip":
			if variable != "" && (part.field != "ip" || !t.bindsPeer) {
				return fmt.Errorf("message: no text separates {%s} from {%s}", variable, part.field)
			}
			variable = part.field
		default: // text; {dir} ends with a slash; nobody can move parts of {key} and {secret}
			variable = ""
		}
	}
	return nil
}

func (t *timed) fieldNames(p *Profile) fieldNames {
	n := fieldNames{identifying: 1}
	n.byCarrier[inQuery] = []string{p.Query}
	if t.TimeParam != "" {
		n.byCarrier[inQuery] = append(n.byCarrier[inQuery], t.TimeParam)
	}
	n.byCarrier[inCookie], n.byCarrier[inHeader] = []string{p.Cookie}, []string{p.Header}
	return n
}

func (*timed) carriesKeyName() bool { return false }

func (*timed) sameFormat(f format) bool { _, ok := f.(*timed); return ok }

func (t *timed) signsURL(*credential) bool { return true }

func (*timed) parse(cred *credential) (*token, Refusal) {
	text := cred.values[0]
	if text == "" || len(text) > maxTokenBytes {
		return nil, MalformedSignature
	}
	t := &token{}
	for _, p := range cred.profiles {
		// The profiles have the same field names; the first one whose template matches
		// applies.
		compiled := p.format.(*timed)
		values, ok := compiled.parseToken(text)
		if !ok {
			continue
		}
		if compiled.TimeParam != "" {
			values["expires"] = cred.values[1]
		}
		timestamp, err := strconv.ParseInt(values["expires"], compiled.TimeBase, 64)
		mac, ok := decodeMAC(compiled.Encoding, values["mac"])
		if err != nil || timestamp <= 0 || timestamp >= unixSecondsLimit || !ok || len(mac) != digests[compiled.digest]().Size() {
			continue
		}
		t.profile = p
		if t.subject, err = url.QueryUnescape(values["id"]); err != nil {
			continue
		}
		if t.expires = timestamp * 1_000_000; compiled.Lifetime > 0 {
			t.notBefore, t.expires = t.expires, t.expires+compiled.Lifetime
		}
		if ip := values["ip"]; ip != "" && !compiled.bindsPeer {
			if t.networks, ok = parseNetworks([]string{ip}); !ok {
				continue
			}
		}
		if compiled.bindsPeer {
			values["ip"] = cred.peer.Unmap().String()
		}
		path := cred.path
		t.signed = path + "\x00" + string(mac)
		t.verify = func() (found *keyring.Key) {
			if !compiled.isExactTime(values["expires"]) {
				return nil
			}
			for _, k := range p.Ring.Keys {
				if name := values["key"]; name != "" && name != k.Name {
					continue
				}
				if constantTimeEqual(compiled.computeDigest(p, k, values, path), mac) {
					found = k
				}
			}
			return found
		}
		return t, ""
	}
	return nil, MalformedSignature
}

// Numbers of digits of {expires}: as many as a Unix time in seconds has from 2001 to 2286 in base
// 10, and from 1978 to 2106 in base 16.
const (
	decimalTimeDigits = 10
	hexTimeDigits     = 8
)

// isExactTime reports whether {expires} has the digits of its time, neither more nor fewer, and no sign.
// A digit of a field beside it in the message could else be taken for one of the time's, or the other
// way round, under the same digest: such a signature does not match.
func (t *timed) isExactTime(text string) bool {
	digits := decimalTimeDigits
	if t.TimeBase == 16 {
		digits = hexTimeDigits
	}
	_, err := strconv.ParseUint(text, t.TimeBase, 64)
	return err == nil && len(text) == digits
}

// parseToken returns the values of a token's fields by its template.
func (t *timed) parseToken(text string) (map[string]string, bool) {
	values := map[string]string{}
	for i, part := range t.token {
		if part.text != "" {
			var ok bool
			if text, ok = strings.CutPrefix(text, part.text); !ok {
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
		values[part.field], text = text[:end], text[end:]
	}
	return values, text == ""
}

// computeDigest returns the digest of the message under a key.
func (t *timed) computeDigest(p *Profile, k *keyring.Key, values map[string]string, path string) []byte {
	texts := make([]string, 0, 16)
	for _, part := range t.message {
		switch part.field {
		case "":
			texts = append(texts, part.text)
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
			texts = append(texts, values[part.field])
		}
	}
	if t.useHMAC {
		return p.mac(k, texts...)
	}
	h := digests[t.digest]()
	for _, text := range texts {
		h.Write([]byte(text))
	}
	return h.Sum(nil)
}

// encodeMAC encodes a digest. Standard base64 is also percent-encoded.
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

// decodeMAC reverses encodeMAC.
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

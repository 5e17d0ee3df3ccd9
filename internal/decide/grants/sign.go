package grants

import (
	"crypto"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"cherryramp/internal/decide/keyring"
)

// constantTimeEqual reports whether a and b are equal, in a time that doesn't depend
// on their contents.
func constantTimeEqual(a, b []byte) bool { return hmac.Equal(a, b) }

// LinkSpec specifies a link to be signed. Fields that the profile's format doesn't
// have are ignored.
type LinkSpec struct {
	Target       string   // path and query
	KeyName      string   // empty: the ring's signing key
	Expires      Micros   // truncated to seconds
	NotBefore    Micros   // 0: valid immediately
	Scope        string   // patterns, prefix, resource or container, depending on the format; empty: the target only
	Address      string   // address or prefix of the client; empty: any
	Subject      string   // user of the link
	ID           string   // of the token
	Data         string   // of EdgeAuth: the branch
	SHA256       bool     // of CloudFront: sign a SHA-256 digest, not SHA-1
	RenewSeconds int64    // of CDNI: lifetime of renewed tokens in seconds; 0: no renewal
	Depth        int      // of CDNI: path segments in the path of the renewed cookie
	Issuer       string   // of CDNI
	Audience     []string // of CDNI
}

// SignedLink is a signed link in each form that the format and the profile allow. The
// others are empty.
type SignedLink struct {
	Target string // with the grant in the query
	InPath string // with the grant in the path
	Cookie string // name=value; name=value
	Header string // Name: value
}

// SignLink signs a link. The profile must belong to a ProfileSet. random is the
// source of randomness for signatures that need one.
func (p *Profile) SignLink(spec LinkSpec, random io.Reader) (SignedLink, error) {
	key := p.Ring.SigningKey()
	if spec.KeyName != "" {
		if key = p.Ring.Find(spec.KeyName); key == nil {
			return SignedLink{}, fmt.Errorf("key %q is not in ring %q", spec.KeyName, p.Ring.Name)
		}
	}
	if key == nil || key.Kind != keyring.Secret && key.Signer == nil {
		return SignedLink{}, fmt.Errorf("ring %q has no signing key", p.Ring.Name)
	}
	if path, _, _ := strings.Cut(spec.Target, "?"); !unambiguousPath(path) {
		return SignedLink{}, errors.New("target: the path is ambiguous")
	}
	if spec.Address != "" && !isAddressOrPrefix(spec.Address) {
		return SignedLink{}, fmt.Errorf("address: %q is not an address or prefix", spec.Address)
	}
	switch format := p.format.(type) {
	case edgeAuth:
		return p.signEdgeAuth(key, spec), nil
	case google:
		return p.signGoogle(key, spec, random)
	case cloudFront:
		return p.signCloudFront(key, spec, random)
	case cdni:
		return p.signCDNI(key, spec)
	case *timed:
		return p.signTimed(format, key, spec)
	}
	return SignedLink{}, fmt.Errorf("profile %q is not in a profile set", p.Name)
}

// appendQuery appends fields to a target's query.
func appendQuery(target, fields string) string {
	if strings.Contains(target, "?") {
		return target + "&" + fields
	}
	return target + "?" + fields
}

func unixSeconds(m Micros) string { return strconv.FormatInt(m/1_000_000, 10) }

// placeToken returns a link with a token of one field in each carrier that the
// profile accepts.
func (p *Profile) placeToken(target, token string) SignedLink {
	var link SignedLink
	if p.Query != "" {
		link.Target = appendQuery(target, p.Query+"="+token)
	}
	if p.Cookie != "" {
		link.Cookie = p.Cookie + "=" + token
	}
	if p.Header != "" {
		link.Header = p.Header + ": " + token
	}
	return link
}

func (p *Profile) signEdgeAuth(key *keyring.Key, spec LinkSpec) SignedLink {
	var fields []string
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	add("ip", eaEscape(spec.Address))
	if spec.NotBefore > 0 {
		add("st", unixSeconds(spec.NotBefore))
	}
	add("exp", unixSeconds(spec.Expires))
	if spec.Scope != "" {
		add("acl", strings.NewReplacer("~", "%7e", " ", "%20", "&", "%26", ";", "%3b").Replace(spec.Scope))
	}
	add("id", eaEscape(spec.Subject))
	add("data", eaEscape(spec.Data))
	signed, path := strings.Join(fields, "~"), ""
	if spec.Scope == "" {
		path, _, _ = strings.Cut(spec.Target, "?")
	}
	return p.placeToken(spec.Target, signed+"~hmac="+hex.EncodeToString(p.edgeMAC(key, signed, path)))
}

func (p *Profile) signGoogle(key *keyring.Key, spec LinkSpec, random io.Reader) (SignedLink, error) {
	media := p.Format == MediaCDN
	sign := func(text string) (string, error) {
		if !media {
			return base64.URLEncoding.EncodeToString(p.mac(key, text)), nil
		}
		signature, err := key.Signer.Sign(random, []byte(text), crypto.Hash(0))
		return base64.RawURLEncoding.EncodeToString(signature), err
	}
	claims := func(sep string) string { return "Expires=" + unixSeconds(spec.Expires) + sep + "KeyName=" + key.Name }
	var link SignedLink
	if spec.Scope == "" {
		text := appendQuery(spec.Target, claims("&"))
		signature, err := sign(p.BaseURL + text)
		link.Target = text + "&Signature=" + signature
		return link, err
	}
	prefix := "URLPrefix=" + base64.URLEncoding.EncodeToString([]byte(spec.Scope))
	text := prefix + "&" + claims("&")
	signature, err := sign(text)
	if err != nil {
		return link, err
	}
	link.Target = appendQuery(spec.Target, text+"&Signature="+signature)
	text = prefix + ":" + claims(":")
	if signature, err = sign(text); err != nil {
		return link, err
	}
	link.Cookie = gCookies[map[bool]int{true: 1}[media]] + "=" + text + ":Signature=" + signature
	if rest, ok := strings.CutPrefix(spec.Target, strings.TrimPrefix(spec.Scope, p.BaseURL)); ok && media && strings.HasSuffix(spec.Scope, "/") {
		text = gPathToken + "=" + claims("&")
		signature, err = sign(spec.Scope + text)
		link.InPath = strings.TrimPrefix(spec.Scope, p.BaseURL) + text + "&Signature=" + signature + "/" + rest
	}
	return link, err
}

func (p *Profile) signCloudFront(key *keyring.Key, spec LinkSpec, random io.Reader) (SignedLink, error) {
	resource := p.BaseURL + spec.Target
	if spec.Scope != "" {
		resource = spec.Scope
	}
	custom := spec.Scope != "" || spec.NotBefore > 0 || spec.Address != ""
	policy := cannedPolicy([]byte(resource), unixSeconds(spec.Expires))
	if custom {
		condition := map[string]any{"DateLessThan": map[string]int64{"AWS:EpochTime": spec.Expires / 1_000_000}}
		if spec.NotBefore > 0 {
			condition["DateGreaterThan"] = map[string]int64{"AWS:EpochTime": spec.NotBefore / 1_000_000}
		}
		if spec.Address != "" {
			condition["IpAddress"] = map[string]string{"AWS:SourceIp": spec.Address}
		}
		var text strings.Builder
		encoder := json.NewEncoder(&text)
		encoder.SetEscapeHTML(false)
		err := encoder.Encode(map[string]any{"Statement": []any{map[string]any{"Resource": resource, "Condition": condition}}})
		if err != nil {
			return SignedLink{}, err
		}
		policy = []byte(strings.TrimSpace(text.String()))
	}
	hash := crypto.SHA1
	if spec.SHA256 {
		hash = crypto.SHA256
	}
	digest := hash.New()
	digest.Write(policy)
	signature, err := key.Signer.Sign(random, digest.Sum(nil), hash)
	if err != nil {
		return SignedLink{}, err
	}
	var query, cookie []string
	add := func(name, value string) {
		query = append(query, name+"="+value)
		cookie = append(cookie, "CloudFront-"+name+"="+value)
	}
	if custom {
		add("Policy", cfEncoding.EncodeToString(policy))
	} else {
		add("Expires", unixSeconds(spec.Expires))
	}
	add("Signature", cfEncoding.EncodeToString(signature))
	add("Key-Pair-Id", key.Name)
	if spec.SHA256 {
		add("Hash-Algorithm", "SHA256")
	}
	return SignedLink{Target: appendQuery(spec.Target, strings.Join(query, "&")), Cookie: strings.Join(cookie, "; ")}, nil
}

func (p *Profile) signCDNI(key *keyring.Key, spec LinkSpec) (SignedLink, error) {
	claimSet := claims{Issuer: spec.Issuer, Audience: spec.Audience, ID: spec.ID, Container: spec.Scope}
	if claimSet.Container == "" {
		sum := sha256.Sum256([]byte(p.BaseURL + spec.Target))
		claimSet.Container = "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
	}
	exp := numericDate(spec.Expires / 1_000_000)
	claimSet.Expires = &exp
	if spec.NotBefore > 0 {
		nbf := numericDate(spec.NotBefore / 1_000_000)
		claimSet.NotBefore = &nbf
	}
	if spec.Address != "" || spec.Subject != "" {
		var secret *keyring.Key
		for _, x := range p.Ring.Keys {
			if x.Kind == keyring.Secret && x.State != keyring.Revoked && len(x.Bytes) == 32 {
				secret = x
			}
		}
		if secret == nil {
			return SignedLink{}, fmt.Errorf("ring %q has no 32-byte secret to encrypt with", p.Ring.Name)
		}
		var err error
		for _, x := range []struct {
			to   *string
			text string
		}{{&claimSet.ClientIP, spec.Address}, {&claimSet.Subject, spec.Subject}} {
			if x.text != "" && err == nil {
				*x.to, err = encryptTo(secret, x.text)
			}
		}
		if err != nil {
			return SignedLink{}, err
		}
	}
	if spec.RenewSeconds > 0 {
		transport := transportCookie
		claimSet.RenewSeconds, claimSet.Transport, claimSet.Depth = &spec.RenewSeconds, &transport, &spec.Depth
	}
	text, err := signJWT(key, &claimSet)
	if err != nil {
		return SignedLink{}, err
	}
	link := p.placeToken(spec.Target, text)
	path, query, hasQuery := strings.Cut(spec.Target, "?")
	link.InPath = path + ";" + p.Query + "=" + text
	if hasQuery {
		link.InPath += "?" + query
	}
	return link, nil
}

func (p *Profile) signTimed(t *timed, key *keyring.Key, spec LinkSpec) (SignedLink, error) {
	timestamp := spec.Expires
	if t.Lifetime > 0 {
		timestamp -= t.Lifetime
	}
	path, _, _ := strings.Cut(spec.Target, "?")
	values := map[string]string{"expires": strconv.FormatInt(timestamp/1_000_000, t.TimeBase), "ip": spec.Address,
		"id": url.QueryEscape(spec.Subject), "nonce": spec.ID, "key": key.Name}
	values["mac"] = encodeMAC(t.Encoding, t.computeDigest(p, key, values, path))
	var text strings.Builder
	for _, part := range t.token {
		if part.text != "" {
			text.WriteString(part.text)
			continue
		}
		if values[part.field] == "" {
			return SignedLink{}, fmt.Errorf("no value for {%s} in the token template", part.field)
		}
		text.WriteString(values[part.field])
	}
	if t.TimeParam != "" {
		return SignedLink{Target: appendQuery(spec.Target, t.TimeParam+"="+values["expires"]+"&"+p.Query+"="+text.String())}, nil
	}
	return p.placeToken(spec.Target, text.String()), nil
}

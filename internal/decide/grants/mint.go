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

func equal(a, b []byte) bool { return hmac.Equal(a, b) }

// Wish is what a link is to let in.
type LinkSpec struct {
	Target       string   // path and query
	KeyName      string   // its name; empty: the ring's signing key
	Expires      Micros   // whole seconds count
	NotBefore    Micros   // 0: at once
	Scope        string   // patterns, a prefix, a resource or a container, as the format has it; empty: the target alone
	Address      string   // one address or prefix; empty: any
	Subject      string   // whom it is for
	ID           string   // of the one token
	Data         string   // the branch, of EdgeAuth
	SHA256       bool     // of CloudFront
	RenewSeconds int64    // s that renewed tokens last, of CDNI; 0: none are
	Depth        int      // segments that the renewed cookie is for
	Issuer       string   // of CDNI
	Audience     []string // audience, of CDNI
}

// Minted is a link in each form in which its format may be carried; what it may
// not be carried in is empty.
type SignedLink struct {
	Target string // with the grant in the query
	InPath string // with the grant in the path
	Cookie string // name=value; name=value
	Header string // Name: value
}

// Mint signs a link. The profile must belong to a Set; random is for signatures
// that need it.
func (p *Profile) SignLink(w LinkSpec, random io.Reader) (SignedLink, error) {
	k := p.Ring.SigningKey()
	if w.KeyName != "" {
		if k = p.Ring.Find(w.KeyName); k == nil {
			return SignedLink{}, fmt.Errorf("key %q is not in ring %q", w.KeyName, p.Ring.Name)
		}
	}
	if k == nil || k.Kind != keyring.Secret && k.Signer == nil {
		return SignedLink{}, fmt.Errorf("ring %q holds no key that signs", p.Ring.Name)
	}
	if path, _, _ := strings.Cut(w.Target, "?"); !plainPath(path) {
		return SignedLink{}, errors.New("target: can be read in more than one way")
	}
	if w.Address != "" && !sameNet(w.Address) {
		return SignedLink{}, fmt.Errorf("address: %q is no address or prefix", w.Address)
	}
	switch f := p.format.(type) {
	case edgeAuth:
		return p.mintEdgeAuth(k, w), nil
	case google:
		return p.mintGoogle(k, w, random)
	case cloudFront:
		return p.mintCloudFront(k, w, random)
	case cdni:
		return p.mintCDNI(k, w)
	case *timed:
		return p.mintTimed(f, k, w)
	}
	return SignedLink{}, fmt.Errorf("profile %q belongs to no set", p.Name)
}

// with adds fields to a target's query.
func with(target, fields string) string {
	if strings.Contains(target, "?") {
		return target + "&" + fields
	}
	return target + "?" + fields
}

func unix(m Micros) string { return strconv.FormatInt(m/1_000_000, 10) }

// carried puts a one-field token wherever the profile has it.
func (p *Profile) carried(target, token string) SignedLink {
	var m SignedLink
	if p.Query != "" {
		m.Target = with(target, p.Query+"="+token)
	}
	if p.Cookie != "" {
		m.Cookie = p.Cookie + "=" + token
	}
	if p.Header != "" {
		m.Header = p.Header + ": " + token
	}
	return m
}

func (p *Profile) mintEdgeAuth(k *keyring.Key, w LinkSpec) SignedLink {
	var fields []string
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	add("ip", eaEscape(w.Address))
	if w.NotBefore > 0 {
		add("st", unix(w.NotBefore))
	}
	add("exp", unix(w.Expires))
	if w.Scope != "" {
		add("acl", strings.NewReplacer("~", "%7e", " ", "%20", "&", "%26", ";", "%3b").Replace(w.Scope))
	}
	add("id", eaEscape(w.Subject))
	add("data", eaEscape(w.Data))
	signed, own := strings.Join(fields, "~"), ""
	if w.Scope == "" {
		own, _, _ = strings.Cut(w.Target, "?")
	}
	return p.carried(w.Target, signed+"~hmac="+hex.EncodeToString(p.edgeMAC(k, signed, own)))
}

func (p *Profile) mintGoogle(k *keyring.Key, w LinkSpec, random io.Reader) (SignedLink, error) {
	media := p.Format == MediaCDN
	sign := func(text string) (string, error) {
		if !media {
			return base64.URLEncoding.EncodeToString(p.mac(k, text)), nil
		}
		signature, err := k.Signer.Sign(random, []byte(text), crypto.Hash(0))
		return base64.RawURLEncoding.EncodeToString(signature), err
	}
	claims := func(sep string) string { return "Expires=" + unix(w.Expires) + sep + "KeyName=" + k.Name }
	var m SignedLink
	if w.Scope == "" {
		text := with(w.Target, claims("&"))
		signature, err := sign(p.BaseURL + text)
		m.Target = text + "&Signature=" + signature
		return m, err
	}
	prefix := "URLPrefix=" + base64.URLEncoding.EncodeToString([]byte(w.Scope))
	text := prefix + "&" + claims("&")
	signature, err := sign(text)
	if err != nil {
		return m, err
	}
	m.Target = with(w.Target, text+"&Signature="+signature)
	text = prefix + ":" + claims(":")
	if signature, err = sign(text); err != nil {
		return m, err
	}
	m.Cookie = gCookies[map[bool]int{true: 1}[media]] + "=" + text + ":Signature=" + signature
	if rest, ok := strings.CutPrefix(w.Target, strings.TrimPrefix(w.Scope, p.BaseURL)); ok && media && strings.HasSuffix(w.Scope, "/") {
		text = gToken + "=" + claims("&")
		signature, err = sign(w.Scope + text)
		m.InPath = strings.TrimPrefix(w.Scope, p.BaseURL) + text + "&Signature=" + signature + "/" + rest
	}
	return m, err
}

func (p *Profile) mintCloudFront(k *keyring.Key, w LinkSpec, random io.Reader) (SignedLink, error) {
	resource := p.BaseURL + w.Target
	if w.Scope != "" {
		resource = w.Scope
	}
	custom := w.Scope != "" || w.NotBefore > 0 || w.Address != ""
	policy := cannedPolicy([]byte(resource), unix(w.Expires))
	if custom {
		s := map[string]any{"DateLessThan": map[string]int64{"AWS:EpochTime": w.Expires / 1_000_000}}
		if w.NotBefore > 0 {
			s["DateGreaterThan"] = map[string]int64{"AWS:EpochTime": w.NotBefore / 1_000_000}
		}
		if w.Address != "" {
			s["IpAddress"] = map[string]string{"AWS:SourceIp": w.Address}
		}
		var b strings.Builder
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		err := e.Encode(map[string]any{"Statement": []any{map[string]any{"Resource": resource, "Condition": s}}})
		if err != nil {
			return SignedLink{}, err
		}
		policy = []byte(strings.TrimSpace(b.String()))
	}
	hash := crypto.SHA1
	if w.SHA256 {
		hash = crypto.SHA256
	}
	h := hash.New()
	h.Write(policy)
	signature, err := k.Signer.Sign(random, h.Sum(nil), hash)
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
		add("Expires", unix(w.Expires))
	}
	add("Signature", cfEncoding.EncodeToString(signature))
	add("Key-Pair-Id", k.Name)
	if w.SHA256 {
		add("Hash-Algorithm", "SHA256")
	}
	return SignedLink{Target: with(w.Target, strings.Join(query, "&")), Cookie: strings.Join(cookie, "; ")}, nil
}

func (p *Profile) mintCDNI(k *keyring.Key, w LinkSpec) (SignedLink, error) {
	m := claims{Issuer: w.Issuer, Audience: w.Audience, ID: w.ID, Container: w.Scope}
	if m.Container == "" {
		sum := sha256.Sum256([]byte(p.BaseURL + w.Target))
		m.Container = "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
	}
	exp := number(w.Expires / 1_000_000)
	m.Expires = &exp
	if w.NotBefore > 0 {
		nbf := number(w.NotBefore / 1_000_000)
		m.NotBefore = &nbf
	}
	if w.Address != "" || w.Subject != "" {
		var secret *keyring.Key
		for _, x := range p.Ring.Keys {
			if x.Kind == keyring.Secret && x.State != keyring.Revoked && len(x.Bytes) == 32 {
				secret = x
			}
		}
		if secret == nil {
			return SignedLink{}, fmt.Errorf("ring %q holds no secret of 32 bytes to encrypt to", p.Ring.Name)
		}
		var err error
		for _, x := range []struct {
			to   *string
			text string
		}{{&m.ClientIP, w.Address}, {&m.Subject, w.Subject}} {
			if x.text != "" && err == nil {
				*x.to, err = encryptTo(secret, x.text)
			}
		}
		if err != nil {
			return SignedLink{}, err
		}
	}
	if w.RenewSeconds > 0 {
		transport := byCookie
		m.Renew, m.Transport, m.Depth = &w.RenewSeconds, &transport, &w.Depth
	}
	text, err := signJWT(k, &m)
	if err != nil {
		return SignedLink{}, err
	}
	out := p.carried(w.Target, text)
	path, query, more := strings.Cut(w.Target, "?")
	out.InPath = path + ";" + p.Query + "=" + text
	if more {
		out.InPath += "?" + query
	}
	return out, nil
}

func (p *Profile) mintTimed(t *timed, k *keyring.Key, w LinkSpec) (SignedLink, error) {
	moment := w.Expires
	if t.Lifetime > 0 {
		moment -= t.Lifetime
	}
	path, _, _ := strings.Cut(w.Target, "?")
	values := map[string]string{"expires": strconv.FormatInt(moment/1_000_000, t.TimeBase), "ip": w.Address,
		"id": url.QueryEscape(w.Subject), "nonce": w.ID, "key": k.Name}
	values["mac"] = encodeMAC(t.Encoding, t.sum(p, k, values, path))
	var b strings.Builder
	for _, x := range t.token {
		if x.text != "" {
			b.WriteString(x.text)
			continue
		}
		if values[x.field] == "" {
			return SignedLink{}, fmt.Errorf("the description's {%s} is not given", x.field)
		}
		b.WriteString(values[x.field])
	}
	if t.TimeParam != "" {
		return SignedLink{Target: with(w.Target, t.TimeParam+"="+values["expires"]+"&"+p.Query+"="+b.String())}, nil
	}
	return p.carried(w.Target, b.String()), nil
}

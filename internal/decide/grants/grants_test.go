package grants

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/md5"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/feature/cloudfront/sign"
	"github.com/golang-jwt/jwt/v5"
	"pgregory.net/rapid"

	"cherryramp/internal/decide/keyring"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const (
	at      = int64(1_800_000_000)
	now     = at * 1_000_000
	base    = "https://files.example"
	target  = "/files/guide-video/17/9f3a?seg=3"
	long    = "0123456789abcdef0123456789abcdef"
	anyFile = base + "/files/*"
)

var peer = netip.MustParseAddr("192.0.2.7")

// pairs are made once: RSA keys take long.
var pairs = func() (p struct {
	rsa *rsa.PrivateKey
	ec  *ecdsa.PrivateKey
	ed  ed25519.PrivateKey
}) {
	p.rsa, _ = rsa.GenerateKey(rand.Reader, 2048)
	p.ec, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	_, p.ed, _ = ed25519.GenerateKey(rand.Reader)
	return p
}()

func secretKey(name, secret string) *keyring.Key {
	return &keyring.Key{Name: name, State: keyring.Active, Kind: keyring.Secret, Bytes: []byte(secret), Skew: -1}
}

func signing(name string, kind keyring.Kind, s crypto.Signer) *keyring.Key {
	return &keyring.Key{Name: name, State: keyring.Active, Kind: kind, Public: s.Public(), Signer: s, Skew: -1}
}

func ring(t testing.TB, keys ...*keyring.Key) *keyring.Ring {
	t.Helper()
	r, err := keyring.New("ring", keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// world is one profile of each format, by name.
func world(t testing.TB) (*ProfileSet, map[string]*Profile) {
	t.Helper()
	hs := ring(t, secretKey("old", "0123456789abcdef"), secretKey("new", "fedcba9876543210"))
	all := map[string]*Profile{
		"edge":  {Format: EdgeAuth, Ring: hs, Query: "hdnts", Cookie: "hdnts", Header: "X-Edge-Token", RequireBranch: true},
		"cloud": {Format: CloudCDN, Ring: hs},
		"media": {Format: MediaCDN, Ring: ring(t, signing("ed", keyring.Ed25519, pairs.ed))},
		"front": {Format: CloudFront, Ring: ring(t, signing("KRSA", keyring.RSA, pairs.rsa), signing("KEC", keyring.P256, pairs.ec))},
		"cdni": {Format: CDNI, Query: DefaultCDNITokenName, Cookie: DefaultCDNITokenName, Issuers: []string{"uCDN"}, Audience: "dCDN",
			Ring: ring(t, secretKey("hs", long), signing("rs", keyring.RSA, pairs.rsa),
				signing("es", keyring.P256, pairs.ec), signing("ed", keyring.Ed25519, pairs.ed))},
		"timed": {Format: Timed, Ring: hs, Query: "verify", TimedFormat: TimedFormat{Message: "{path}{expires}",
			Token: "{expires}-{mac}", Digest: "hmac-sha256", Encoding: "base64"}},
		"plain": {Format: Timed, Ring: hs, Query: "md5", TimedFormat: TimedFormat{Message: "{expires}{path}{ip} {secret}",
			Token: "{mac}", TimeParam: "e", Digest: "md5", Encoding: "base64url-nopad"}},
	}
	cfg := Config{Branch: "edge-1", MaxCachedVerdicts: 1000}
	for _, name := range []string{"edge", "cloud", "media", "front", "cdni", "timed", "plain"} {
		p := all[name]
		p.Name, p.Tenant, p.BaseURL, p.Skew = name, "padma", base, 2_000_000
		cfg.Profiles = append(cfg.Profiles, p)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s, all
}

// ask judges a request through to its end.
func ask(s *ProfileSet, r Request) Verdict {
	if r.ReceivedAt == 0 {
		r.ReceivedAt = now
	}
	if !r.Peer.IsValid() {
		r.Peer = peer
	}
	v := s.Authorize(&r)
	if v.Pending != nil {
		s.Resolve(v.Pending, v.Pending.Verify(), r.ReceivedAt)
		v = s.Authorize(&r)
	}
	return v
}

func cookie(text string) httpwire.Header { return httpwire.Header{{Name: "Cookie", Value: text}} }

// Links of every format, minted here, in every carriage: let in, and with one
// byte of the grant altered, not.
func TestMintedLinksAreLetInAndAlteredOnesAreNot(t *testing.T) {
	s, all := world(t)
	exp := (at + 60) * 1_000_000
	wishes := map[string][]LinkSpec{
		"edge": {{Data: "edge-1"}, {Scope: "/files/*", Data: "edge-1"}, {Scope: "/files/*", Address: "192.0.2.0/24",
			Subject: "member 7", NotBefore: now, Data: "edge-1"}},
		"cloud": {{}, {Scope: base + "/files/"}},
		"media": {{}, {Scope: base + "/files/"}},
		"front": {{KeyName: "KRSA"}, {KeyName: "KEC", SHA256: true}, {Scope: anyFile, Address: "192.0.2.0/24", NotBefore: now, KeyName: "KEC"}},
		"cdni": {{KeyName: "hs"}, {KeyName: "rs", Scope: "regex:https://files\\.example/files/.*"}, {KeyName: "es", Subject: "member 7",
			Address: "192.0.2.0/24"}, {KeyName: "ed", Audience: []string{"other", "dCDN"}, ID: "one"}},
		"timed": {{}},
		"plain": {{Address: "192.0.2.7"}},
	}
	for name, list := range wishes {
		for i, w := range list {
			w.Target, w.Expires = target, exp
			if name == "cdni" {
				w.Issuer = "uCDN"
			}
			m, err := all[name].SignLink(w, rand.Reader)
			if err != nil {
				t.Fatalf("%s %d: %v", name, i, err)
			}
			var forms []Request
			for _, link := range []string{m.Target, m.InPath} {
				if link != "" {
					forms = append(forms, Request{Target: link})
				}
			}
			if m.Cookie != "" {
				forms = append(forms, Request{Target: target, Header: cookie("a=b; " + m.Cookie + "; c=d")})
			}
			if field, value, ok := strings.Cut(m.Header, ": "); ok {
				forms = append(forms, Request{Target: target, Header: httpwire.Header{{Name: strings.ToLower(field), Value: value}}})
			}
			for _, r := range forms {
				for range 2 { // judged, and remembered
					v := ask(s, r)
					if v.Refusal != "" || v.Path+"?"+v.Query != target || v.Profile.Name != name || v.Subject != w.Subject || v.Expires != exp {
						t.Errorf("%s %d: %q: %+v, %s?%s", name, i, v.Refusal, r, v.Path, v.Query)
					}
				}
				late := r
				late.ReceivedAt = exp + 2_000_001
				if v := ask(s, late); v.Refusal != Expired {
					t.Errorf("%s %d: %q after the skew", name, i, v.Refusal)
				}
				alter(t, s, r)
			}
		}
	}
}

func alter(t *testing.T, s *ProfileSet, r Request) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		x := r
		text := &x.Target
		if len(r.Header) > 0 {
			x.Header = append(httpwire.Header(nil), r.Header...)
			text = &x.Header[0].Value
		}
		from, to := 5, len(*text)-6 // in a header, what is the grant
		if len(r.Header) == 0 {
			for from = 0; from < len(target) && (*text)[from] == target[from]; from++ {
			}
			for to = len(*text) - 1; strings.HasSuffix(target, (*text)[to:]); to-- { // InPath
			}
		}
		i := rapid.IntRange(from, to).Draw(t, "place")
		b := rapid.ByteRange('!', '~').Draw(t, "byte")
		old := (*text)[i]
		*text = (*text)[:i] + string(b) + (*text)[i+1:]
		v := ask(s, x)
		// A cookie beside the grant, and the case of hex digits, carry nothing.
		if v.Refusal == "" && !strings.EqualFold(string(old), string(b)) {
			t.Fatalf("let in with %q for %q at %d: %+v", b, old, i, x)
		}
	})
}

// Amazon's own signer mints; every form must be let in.
func TestAmazonsOwnSigner(t *testing.T) {
	s, _ := world(t)
	for id, key := range map[string]crypto.Signer{"KRSA": pairs.rsa, "KEC": pairs.ec} {
		signer := sign.NewURLSigner(id, key)
		canned, err := signer.Sign(base+target, time.Unix(at+60, 0))
		if err != nil {
			t.Fatal(err)
		}
		if v := ask(s, Request{Target: strings.TrimPrefix(canned, base)}); v.Refusal != "" || v.Query != "seg=3" {
			t.Errorf("%s canned: %q", id, v.Refusal)
		}
		policy := &sign.Policy{Statements: []sign.Statement{{Resource: "http*://files.example/files/*/9f3a?seg=?",
			Condition: sign.Condition{DateLessThan: sign.NewAWSEpochTime(time.Unix(at+60, 0)),
				DateGreaterThan: sign.NewAWSEpochTime(time.Unix(at-60, 0)),
				IPAddress:       &sign.IPAddress{SourceIP: "192.0.2.0/24"}}}}}
		custom, err := signer.SignWithPolicy(base+target, policy)
		if err != nil {
			t.Fatal(err)
		}
		link := strings.TrimPrefix(custom, base)
		_, fields, _ := strings.Cut(link, "seg=3&")
		cookies := strings.Split("CloudFront-"+strings.ReplaceAll(fields, "&", "&CloudFront-"), "&")
		if key, ok := key.(*rsa.PrivateKey); ok {
			list, err := sign.NewCookieSigner(id, key).SignWithPolicy(policy)
			if err != nil {
				t.Fatal(err)
			}
			for i, c := range list {
				cookies[i] = c.Name + "=" + c.Value
			}
		}
		var jar []string
		for i := range 47 { // fifty, of which three belong to the one grant
			jar = append(jar, fmt.Sprintf("c%d=%d", i, i))
		}
		for i, c := range cookies {
			jar = append(jar[:i*20], append([]string{c}, jar[i*20:]...)...)
		}
		for _, x := range []struct {
			what string
			r    Request
			want Refusal
		}{
			{"custom", Request{Target: link}, ""},
			{"cookies", Request{Target: target, Header: cookie(strings.Join(jar, "; "))}, ""},
			{"other address", Request{Target: link, Peer: netip.MustParseAddr("192.0.3.7")}, WrongAddress},
			{"mapped address", Request{Target: link, Peer: netip.MustParseAddr("::ffff:192.0.2.9")}, ""},
			{"other part", Request{Target: strings.Replace(link, "seg=3", "seg=33", 1)}, PathNotCovered},
			{"early", Request{Target: link, ReceivedAt: now - 63_000_000}, NotYetValid},
			{"both", Request{Target: link, Header: cookie(strings.Join(jar, "; "))}, MultipleSignatures},
			{"SHA-256 claimed", Request{Target: link + "&Hash-Algorithm=SHA256"}, SignatureMismatch},
			{"MD5 claimed", Request{Target: link + "&Hash-Algorithm=MD5"}, WrongAlgorithm},
		} {
			if v := ask(s, x.r); v.Refusal != x.want {
				t.Errorf("%s %s: %q, want %q", id, x.what, v.Refusal, x.want)
			}
		}
	}
}

// JWTs by another library than the one that verifies.
func TestTokensOfAnotherLibrary(t *testing.T) {
	s, _ := world(t)
	mint := func(kid string, method jwt.SigningMethod, key any, change func(jwt.MapClaims)) string {
		m := jwt.MapClaims{"iss": "uCDN", "aud": "dCDN", "exp": at + 60, "cdniuc": "regex:https://files\\.example/files/.*"}
		change(m)
		x := jwt.NewWithClaims(method, m)
		x.Header["kid"] = kid
		text, err := x.SignedString(key)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	same := func(jwt.MapClaims) {}
	put := func(name string, value any) func(jwt.MapClaims) {
		return func(m jwt.MapClaims) { m[name] = value }
	}
	secret := []byte(long)
	public, _ := json.Marshal(pairs.rsa.PublicKey)
	hash := base64.RawURLEncoding.EncodeToString(sha256Of(base + target))
	for _, x := range []struct {
		what, token string
		want        Refusal
	}{
		{"HS256", mint("hs", jwt.SigningMethodHS256, secret, same), ""},
		{"RS256", mint("rs", jwt.SigningMethodRS256, pairs.rsa, same), ""},
		{"ES256", mint("es", jwt.SigningMethodES256, pairs.ec, same), ""},
		{"EdDSA", mint("ed", jwt.SigningMethodEdDSA, pairs.ed, same), ""},
		{"none", mint("hs", jwt.SigningMethodNone, jwt.UnsafeAllowNoneSignatureType, same), WrongAlgorithm},
		{"HS384", mint("hs", jwt.SigningMethodHS384, secret, same), WrongAlgorithm},
		{"public key as secret", mint("rs", jwt.SigningMethodHS256, public, same), WrongAlgorithm},
		{"another kind's kid", mint("es", jwt.SigningMethodRS256, pairs.rsa, same), WrongAlgorithm},
		{"unknown kid", mint("x", jwt.SigningMethodRS256, pairs.rsa, same), UnknownKey},
		{"no kid, many keys", mint("", jwt.SigningMethodRS256, pairs.rsa, same), UnknownKey},
		{"other secret", mint("hs", jwt.SigningMethodHS256, []byte(strings.ToUpper(long)), same), SignatureMismatch},
		{"expired", mint("hs", jwt.SigningMethodHS256, secret, put("exp", at-3)), Expired},
		{"early", mint("hs", jwt.SigningMethodHS256, secret, put("nbf", at+3)), NotYetValid},
		{"other issuer", mint("hs", jwt.SigningMethodHS256, secret, put("iss", "x")), UntrustedIssuer},
		{"other audience", mint("hs", jwt.SigningMethodHS256, secret, put("aud", []string{"x", "y"})), WrongAudience},
		{"no expiry", mint("hs", jwt.SigningMethodHS256, secret, func(m jwt.MapClaims) { delete(m, "exp") }), MalformedSignature},
		{"no container", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "")), MalformedSignature},
		{"expiry as text", mint("hs", jwt.SigningMethodHS256, secret, put("exp", "later")), MalformedSignature},
		{"claim in capitals", mint("hs", jwt.SigningMethodHS256, secret, put("EXP", at+99)), MalformedSignature},
		{"version 2", mint("hs", jwt.SigningMethodHS256, secret, put("cdniv", 2)), UnknownCriticalClaim},
		{"known critical", mint("hs", jwt.SigningMethodHS256, secret, put("cdnicrit", "exp,cdniuc")), ""},
		{"unknown critical", mint("hs", jwt.SigningMethodHS256, secret, put("cdnicrit", "exp,geo")), UnknownCriticalClaim},
		{"critical but absent", mint("hs", jwt.SigningMethodHS256, secret, put("cdnicrit", "sub")), UnknownCriticalClaim},
		{"hash", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "hash:sha-256;"+hash)), ""},
		{"other hash", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "hash:sha-256;"+strings.Repeat("A", 43))), PathNotCovered},
		{"expression for a part of the URI", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "regex:/files/")), PathNotCovered},
		{"expression made to explode", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "regex:(x+x+)+y|((a*)*)*b")), PathNotCovered},
		{"expression too large", mint("hs", jwt.SigningMethodHS256, secret, put("cdniuc", "regex:((a{999}){999}){9}")), MalformedSignature},
		{"address not encrypted", mint("hs", jwt.SigningMethodHS256, secret, put("cdniip", "192.0.2.7")), WrongAddress},
		{"renewal without a span", mint("hs", jwt.SigningMethodHS256, secret, put("cdnistt", 1)), MalformedSignature},
		{"unknown transport", mint("hs", jwt.SigningMethodHS256, secret, func(m jwt.MapClaims) { m["cdnistt"], m["cdniets"] = 9, 5 }), MalformedSignature},
	} {
		if v := ask(s, Request{Target: target + "&" + DefaultCDNITokenName + "=" + x.token}); v.Refusal != x.want {
			t.Errorf("%s: %q, want %q", x.what, v.Refusal, x.want)
		}
	}
}

func sha256Of(text string) []byte { d := crypto.SHA256.New(); d.Write([]byte(text)); return d.Sum(nil) }

// A chain of renewed tokens, across a rotation of the signing key.
func TestRenewalChain(t *testing.T) {
	first := secretKey("first", long)
	second := secretKey("second", strings.ToUpper(long))
	set := func(keys ...*keyring.Key) (*ProfileSet, *Profile) {
		p := &Profile{Name: "c", Format: CDNI, Query: DefaultCDNITokenName, Cookie: DefaultCDNITokenName, BaseURL: base, Ring: ring(t, keys...)}
		s, err := New(Config{Profiles: []*Profile{p}, MaxCachedVerdicts: 10})
		if err != nil {
			t.Fatal(err)
		}
		return s, p
	}
	s, p := set(first)
	m, err := p.SignLink(LinkSpec{Target: target, Scope: "regex:" + base + "/files/.*", Expires: now + 10_000_000,
		RenewSeconds: 10, Depth: 2, ID: "chain"}, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	r, seen := Request{Target: m.Target}, map[string]bool{}
	for i := range 6 {
		r.ReceivedAt = now + int64(i)*8_000_000
		if i == 2 {
			retiring := *first
			retiring.State, retiring.TransitionAt = keyring.Retiring, r.ReceivedAt+9_000_000
			s, _ = set(&retiring, second)
		}
		if i == 4 {
			s, _ = set(second)
		}
		v := ask(s, r)
		if v.Refusal != "" || seen[v.ID] || v.ID == "" {
			t.Fatalf("segment %d: %q, id %q", i, v.Refusal, v.ID)
		}
		seen[v.ID] = true
		c, err := v.Renew(r.ReceivedAt)
		if err != nil || c == nil || c.Path != "/files/guide-video/" || c.Expires != (r.ReceivedAt/1_000_000+10)*1_000_000 {
			t.Fatalf("segment %d: renewed as %+v, %v", i, c, err)
		}
		r = Request{Target: target, Header: cookie(c.Name + "=" + c.Value)}
	}
}

// The states of keys, and a skew of a key's own.
func TestKeyStates(t *testing.T) {
	key := func(state keyring.State, moment Micros) *keyring.Key {
		k := secretKey("k", "0123456789abcdef")
		k.State, k.TransitionAt = state, moment
		return k
	}
	for _, x := range []struct {
		key  *keyring.Key
		want Refusal
	}{
		{key(keyring.Next, 0), ""}, {key(keyring.Next, now+1), KeyNotYetValid}, {key(keyring.Retiring, now+1), ""},
		{key(keyring.Retiring, now), KeyRetired}, {key(keyring.Revoked, 0), KeyRevoked},
	} {
		p := &Profile{Name: "g", Format: CloudCDN, BaseURL: base, Ring: ring(t, x.key)}
		s, err := New(Config{Profiles: []*Profile{p}, MaxCachedVerdicts: 10})
		if err != nil {
			t.Fatal(err)
		}
		m, _ := p.SignLink(LinkSpec{Target: target, KeyName: "k", Expires: now + 9_000_000}, nil)
		if v := ask(s, Request{Target: m.Target}); v.Refusal != x.want {
			t.Errorf("%v %d: %q, want %q", x.key.State, x.key.TransitionAt-now, v.Refusal, x.want)
		}
		x.key.Skew = 4_000_000
		for late, want := range map[Micros]Refusal{4_000_000: "", 4_000_001: Expired} {
			if v := ask(s, Request{Target: m.Target, ReceivedAt: now + 9_000_000 + late}); x.want == "" && x.key.State == keyring.Next && v.Refusal != want {
				t.Errorf("skew of its own: %q at %d", v.Refusal, late)
			}
		}
	}
}

// Independent of Mint: digests by the published recipes.
func TestPublishedRecipes(t *testing.T) {
	s, _ := world(t)
	mac := func(text string) []byte {
		h := hmac.New(sha1.New, []byte("fedcba9876543210"))
		h.Write([]byte(text))
		return h.Sum(nil)
	}
	text := fmt.Sprintf("%s&Expires=%d&KeyName=new", target, at+9)
	link := text + "&Signature=" + base64.URLEncoding.EncodeToString(mac(base+text))
	if v := ask(s, Request{Target: link}); v.Refusal != "" {
		t.Error("signed URL:", v.Refusal)
	}
	text = fmt.Sprintf("URLPrefix=%s:Expires=%d:KeyName=new", base64.URLEncoding.EncodeToString([]byte(base+"/files/g")), at+9)
	jar := "Cloud-CDN-Cookie=" + text + ":Signature=" + base64.URLEncoding.EncodeToString(mac(text))
	if v := ask(s, Request{Target: target, Header: cookie(jar)}); v.Refusal != "" {
		t.Error("signed cookie:", v.Refusal)
	}
	if v := ask(s, Request{Target: "/files/page-asset/1/2", Header: cookie(jar)}); v.Refusal != PathNotCovered {
		t.Error("signed cookie elsewhere:", v.Refusal)
	}
	sum := md5.Sum([]byte(fmt.Sprintf("%d/files/guide-video/17/9f3a192.0.2.7 fedcba9876543210", at+9)))
	link = fmt.Sprintf("%s&md5=%s&e=%d", target, base64.RawURLEncoding.EncodeToString(sum[:]), at+9)
	if v := ask(s, Request{Target: link}); v.Refusal != "" {
		t.Error("secure link:", v.Refusal)
	}
	if v := ask(s, Request{Target: link, Peer: netip.MustParseAddr("192.0.2.8")}); v.Refusal != SignatureMismatch {
		t.Error("secure link, other address:", v.Refusal)
	}
}

// What a token gives must hold wherever it stands: a remembered verdict may not
// cover a place or an order that was never judged.
func TestMemoryKeepsPlacesApart(t *testing.T) {
	s, all := world(t)
	m, err := all["media"].SignLink(LinkSpec{Target: target, Scope: base + "/files/", Expires: now + 9_000_000}, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if v := ask(s, Request{Target: m.InPath}); v.Refusal != "" {
		t.Fatal(v.Refusal)
	}
	segment := m.InPath[len("/files/"):strings.Index(m.InPath, "/guide-video")]
	moved := strings.Replace("/files/guide-video/TOKEN/17/9f3a?seg=3", "TOKEN", segment, 1)
	if v := ask(s, Request{Target: moved}); v.Refusal != SignatureMismatch {
		t.Errorf("moved in the path: %q", v.Refusal)
	}
	g, _ := all["cloud"].SignLink(LinkSpec{Target: target, Expires: now + 9_000_000}, nil)
	ask(s, Request{Target: g.Target})
	q := strings.Split(strings.SplitN(g.Target, "?", 2)[1], "&")
	for _, order := range [][4]int{{0, 2, 1, 3}, {1, 0, 2, 3}, {1, 2, 3, 0}} {
		var mixed []string
		for _, i := range order {
			mixed = append(mixed, q[i])
		}
		if v := ask(s, Request{Target: "/files/guide-video/17/9f3a?" + strings.Join(mixed, "&")}); v.Refusal == "" {
			t.Errorf("let in as %v", mixed)
		}
	}
}

// The memory is bounded in each kind, and no flood of forged links drives a
// good one out.
func TestMemoryBounds(t *testing.T) {
	s, all := world(t)
	good, _ := all["front"].SignLink(LinkSpec{Target: target, Expires: now + 99_000_000, KeyName: "KEC"}, rand.Reader)
	ask(s, Request{Target: good.Target})
	for i := range 2000 {
		ask(s, Request{Target: strings.Replace(good.Target, "seg=3", fmt.Sprint("seg=", i+100), 1)})
	}
	if g, f, p := s.CachedVerdicts(); g != 1 || f != 250 || p != 0 {
		t.Errorf("remembers %d, %d, %d", g, f, p)
	}
	if v := s.Authorize(&Request{Target: good.Target, Peer: peer, ReceivedAt: now}); v.Refusal != "" || v.Pending != nil {
		t.Error("the good one was driven out")
	}
	var last Verdict
	for i := range 400 {
		last = s.Authorize(&Request{Target: strings.Replace(good.Target, "seg=3", fmt.Sprint("seg=", i+9000), 1), Peer: peer, ReceivedAt: now})
	}
	again := s.Authorize(&Request{Target: strings.Replace(good.Target, "seg=3", "seg=9399", 1), Peer: peer, ReceivedAt: now})
	if again.Pending != last.Pending {
		t.Error("two proofs of one credential")
	}
	s.Discard(last.Pending)
	if _, _, p := s.CachedVerdicts(); p != 249 {
		t.Errorf("%d proofs are out", p)
	}
}

func benchmark(b *testing.B, name string, w LinkSpec, fresh, forge bool) {
	s, all := world(b)
	w.Target, w.Expires = target, now+60_000_000
	if name == "cdni" {
		w.Issuer = "uCDN"
	}
	m, err := all[name].SignLink(w, rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	r := Request{Target: m.Target, Peer: peer, ReceivedAt: now}
	if forge { // the last sign but two of the signature, so that it can still be read
		i := len(r.Target) - 3
		for _, mark := range []string{"Signature=", DefaultCDNITokenName + "=", "hmac=", "verify="} {
			if at := strings.Index(r.Target, mark); at >= 0 {
				i = at + len(mark)
			}
		}
		if name == "cdni" {
			i = strings.LastIndexByte(r.Target, '.') + 5
		}
		other := byte('4')
		if r.Target[i] == other {
			other = '5'
		}
		r.Target = r.Target[:i] + string(other) + r.Target[i+1:]
	}
	if fresh {
		s.memory.init(0)
	} else {
		ask(s, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		v := s.Authorize(&r)
		if v.Pending != nil {
			s.Resolve(v.Pending, v.Pending.Verify(), now)
			continue
		}
		if (v.Refusal != "") != forge {
			b.Fatal(v.Refusal)
		}
	}
}

func BenchmarkVerdict(b *testing.B) {
	for _, x := range []struct {
		name, format string
		wish         LinkSpec
	}{
		{"edgeauth", "edge", LinkSpec{Scope: "/files/*", Data: "edge-1"}}, {"cloudcdn", "cloud", LinkSpec{}}, {"mediacdn", "media", LinkSpec{}},
		{"cloudfront-canned-rsa", "front", LinkSpec{KeyName: "KRSA"}}, {"cloudfront-custom-p256", "front", LinkSpec{KeyName: "KEC", Scope: anyFile}},
		{"cdni-hs256", "cdni", LinkSpec{KeyName: "hs"}}, {"cdni-es256", "cdni", LinkSpec{KeyName: "es"}}, {"cdni-rs256", "cdni", LinkSpec{KeyName: "rs"}},
		{"timed", "timed", LinkSpec{}},
	} {
		b.Run(x.name+"/first", func(b *testing.B) { benchmark(b, x.format, x.wish, true, false) })
		b.Run(x.name+"/remembered", func(b *testing.B) { benchmark(b, x.format, x.wish, false, false) })
		b.Run(x.name+"/forged", func(b *testing.B) { benchmark(b, x.format, x.wish, true, true) })
	}
}

// Two described profiles under one name could not be told apart, and a described
// token's subject is read back as it was named.
func TestDescribedProfiles(t *testing.T) {
	d := TimedFormat{Message: "{path}{expires}{id}", Token: "{expires}_{id}_{mac}", Digest: "hmac-sha256", Encoding: "hex"}
	profile := func(name string) *Profile {
		return &Profile{Name: name, Format: Timed, Ring: ring(t, secretKey(name, "0123456789abcdef")), Query: "t", TimedFormat: d}
	}
	if _, err := New(Config{Profiles: []*Profile{profile("a"), profile("b")}}); err == nil || !strings.Contains(err.Error(), `"a" is carried alike`) {
		t.Error(err)
	}
	p := profile("a")
	s, err := New(Config{Profiles: []*Profile{p}, MaxCachedVerdicts: 10})
	if err != nil {
		t.Fatal(err)
	}
	m, err := p.SignLink(LinkSpec{Target: target, Expires: now + 9_000_000, Subject: "member 13"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if v := ask(s, Request{Target: m.Target}); v.Refusal != "" || v.Subject != "member 13" {
		t.Errorf("%q, subject %q", v.Refusal, v.Subject)
	}
}

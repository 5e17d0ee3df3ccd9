package main_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/feature/cloudfront/sign"
	"github.com/golang-jwt/jwt/v5"
)

// reload gives the front another operator's file.
func (s *site) reload(text, want string) {
	s.t.Helper()
	if err := os.WriteFile(s.rules, []byte(strings.ReplaceAll(text, "LISTEN", s.signed)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	seen := strings.Count(s.log.String(), want)
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	s.log.awaitCount(s.t, want, seen+1)
}

// A rotation in the middle of a pipelined connection: what was let in ends
// whole, what comes after is judged by the new ring, and a bad file changes
// nothing and is told with its key.
func TestRotationOnAPipelinedConnection(t *testing.T) {
	s := newSite(t, 1, operator)
	later := time.Now().Add(time.Minute)
	link := issuer.signURL(file+"?seg=3", "k2", later)
	next := signer{"the new secret!!", tokenSecret}
	c := dial(t, s.signed)
	c.send(ask("GET", link, "") + ask("GET", link, "") + ask("GET", next.signURL(file+"?seg=3", "k3", later), ""))
	x := s.boxes[0].next(t) // the first is out; two wait behind it
	s.reload(strings.Replace(operator, `"skew_ms":2000`, `"skew_ms":99000`, 1), "configuration can't be used")
	if !strings.Contains(s.log.String(), "signed.skew_ms") {
		t.Error("the log does not name the key")
	}
	rotated := strings.Replace(operator, `{"name":"k2","secret":"MDEyMzQ1Njc4OWFiY2RlZg=="}`, `{"name":"k3","secret":"dGhlIG5ldyBzZWNyZXQhIQ=="}`, 1)
	if rotated == operator {
		t.Fatal("nothing was rotated")
	}
	s.reload(rotated, "configuration read again")
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, body := c.answer("GET"); r.StatusCode != 200 || body != object(x) {
		t.Errorf("let in before the rotation: %d", r.StatusCode)
	}
	if r, body := c.answer("GET"); r.StatusCode != 403 || body != "key is unknown\n" {
		t.Errorf("behind it, by the old key: %d %q", r.StatusCode, body)
	}
	y := s.boxes[0].next(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, _ := c.answer("GET"); r.StatusCode != 200 {
		t.Errorf("behind that, by the new key: %d", r.StatusCode)
	}
}

// limited is one EdgeAuth profile whose tokens are used once, with rates.
func limited(extra string) string {
	return fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","rings":[{"name":"r","keys":[{"name":"a","secret":%q}]}],
		"profiles":[{"name":"p","tenant":"t","format":"edgeauth","ring":"r","query":"hdnts"%s}],
		"tenants":[{"name":"t","each_subject":{"rate":0.01,"burst":2,"open":1}}]}}`, tokenSecret, extra)
}

// A single-use token: two together, one whose answer was lost, a retry, another
// object, a reload between, and one more after the span.
func TestSingleUse(t *testing.T) {
	s := newSite(t, 1, limited(`,"uses":1,"retry_ms":60000`))
	now := time.Now()
	target := file + "?seg=3&hdnts=" + issuer.signToken(now.Add(-time.Minute), now.Add(time.Minute), "/files/*", "one")
	first, second := dial(t, s.signed), dial(t, s.signed)
	first.send(ask("GET", target, ""))
	s.boxes[0].next(t)
	second.send(ask("GET", target, ""))
	if r, body := second.answer("GET"); r.StatusCode != 429 || body != "token is in use\n" || r.Header.Get("Retry-After") == "" {
		t.Errorf("together: %d %q", r.StatusCode, body)
	}
	_ = first.c.Close() // its answer is lost
	if x := s.boxes[0].next(t); x.word != "cancel" {
		t.Fatalf("%s came", x.word)
	}
	second.send(ask("GET", target, ""))
	x := s.boxes[0].next(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, _ := second.answer("GET"); r.StatusCode != 200 {
		t.Errorf("the same again: %d", r.StatusCode)
	}
	second.send(ask("GET", strings.Replace(target, "seg=3", "seg=4", 1), ""))
	if r, body := second.answer("GET"); r.StatusCode != 403 || body != "token is used up\n" {
		t.Errorf("another part: %d %q", r.StatusCode, body)
	}
	s.reload(limited(`,"uses":1,"retry_ms":0`), "configuration read again")
	second.send(ask("GET", target, ""))
	if r, body := second.answer("GET"); r.StatusCode != 403 || body != "token is used up\n" {
		t.Errorf("after a reload, past the span: %d %q", r.StatusCode, body)
	}
	s.reload(strings.Replace(limited(""), `"tenants"`, `"revoked":{"paths":["/files/guide-video/17/"]},"tenants"`, 1), "configuration read again")
	second.send(ask("GET", target, ""))
	if r, body := second.answer("GET"); r.StatusCode != 403 || body != "path is revoked\n" {
		t.Errorf("revoked: %d %q", r.StatusCode, body)
	}
}

// A subject's rate and open requests, told with a time to come back.
func TestSubjectsQuota(t *testing.T) {
	s := newSite(t, 1, limited(""))
	now := time.Now()
	token := func(who string) string {
		text := fmt.Sprintf("exp=%d~acl=/files/*~id=%s", now.Add(time.Minute).Unix(), who)
		return file + "?hdnts=" + issuer.signFields(text)
	}
	a, b := dial(t, s.signed), dial(t, s.signed)
	a.send(ask("GET", token("m1"), ""))
	x := s.boxes[0].next(t)
	b.send(ask("GET", token("m1"), ""))
	if r, body := b.answer("GET"); r.StatusCode != 429 || body != "too many requests at once\n" {
		t.Errorf("open: %d %q", r.StatusCode, body)
	}
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	a.answer("GET")
	b.send(ask("GET", token("m1"), ""))
	y := s.boxes[0].next(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	b.answer("GET")
	b.send(ask("GET", token("m1"), ""))
	if r, body := b.answer("GET"); r.StatusCode != 429 || body != "too many requests a second\n" || len(r.Header.Get("Retry-After")) < 2 {
		t.Errorf("rate: %d %q, %s", r.StatusCode, body, r.Header.Get("Retry-After"))
	}
	b.send(ask("GET", token("m2"), ""))
	z := s.boxes[0].next(t)
	z.reply("ok", "sum=t1,t0=1,why=warm", object(z))
	if r, _ := b.answer("GET"); r.StatusCode != 200 {
		t.Errorf("another subject: %d", r.StatusCode)
	}
}

func pemOf(t *testing.T, key any) string {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

// A flood of forged links, each with a costly signature of its own, beside good
// clients of another tenant: each gets one answer, none forged reaches a node,
// and no good one is refused for good.
func TestFloodOfForgedLinks(t *testing.T) {
	good, _ := rsa.GenerateKey(rand.Reader, 2048)
	other, _ := rsa.GenerateKey(rand.Reader, 2048)
	mine, _ := json.Marshal(pemOf(t, good))
	theirs, _ := json.Marshal(pemOf(t, other))
	s := newSite(t, 1, fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","pool":{"workers":1,"queue":16},
		"rings":[{"name":"a","keys":[{"name":"KA","pem":%s}]},{"name":"b","keys":[{"name":"KB","pem":%s}]}],
		"tenants":[{"name":"a"},{"name":"b"}],
		"profiles":[{"name":"a","tenant":"a","format":"cloudfront","ring":"a","base":"https://files.example"},
		{"name":"b","tenant":"b","format":"cloudfront","ring":"b","base":"https://files.example"}]}}`, mine, theirs))
	s.boxes[0].serveAll()
	later := time.Now().Add(time.Minute)
	forger, _ := rsa.GenerateKey(rand.Reader, 2048)
	var wg sync.WaitGroup
	counts := make(chan map[int]int, 40)
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, seen := dial(t, s.signed), map[int]int{}
			for j := range 10 {
				link, err := sign.NewURLSigner("KB", forger).Sign(fmt.Sprintf("https://files.example%s?seg=%d", file, i*10+j), later)
				if err != nil {
					t.Error(err)
					return
				}
				c.send(ask("GET", strings.TrimPrefix(link, "https://files.example"), ""))
				r, _ := c.answer("GET")
				seen[r.StatusCode]++
			}
			counts <- seen
		}()
	}
	const asked = 40
	c := dial(t, s.signed)
	for i := range asked {
		link, err := sign.NewURLSigner("KA", good).Sign(fmt.Sprintf("https://files.example%s?seg=%d", file, i), later)
		if err != nil {
			t.Fatal(err)
		}
		c.send(ask("GET", strings.TrimPrefix(link, "https://files.example"), ""))
		if r, body := c.answer("GET"); r.StatusCode != 200 {
			t.Fatalf("good one %d: %d %q", i, r.StatusCode, body)
		}
	}
	wg.Wait()
	close(counts)
	total := 0
	for seen := range counts {
		total += seen[403] + seen[503]
		if len(seen) > 2 || seen[200] > 0 {
			t.Errorf("forged ones got %v", seen)
		}
	}
	if total != 300 {
		t.Errorf("%d of 300 forged ones were answered", total)
	}
	if came := s.boxes[0].taken.Load(); came != asked {
		t.Errorf("%d requests came to the node, %d were good", came, asked)
	}
}

// A chain of tokens whose renewal is a costly signature, segment after segment,
// across a rotation of the signing key by files beside the operator's.
func TestRenewalAcrossARotation(t *testing.T) {
	one, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	two, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	until := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	text := func(keys string) string {
		return fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","rings":[{"name":"r","keys":[%s]}],
			"profiles":[{"name":"p","format":"cdni","ring":"r","base":"https://files.example"}]}}`, keys)
	}
	dir := t.TempDir()
	for name, key := range map[string]*ecdsa.PrivateKey{"one.pem": one, "two.pem": two} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(pemOf(t, key)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first := fmt.Sprintf(`{"name":"one","pem_file":%q`, filepath.Join(dir, "one.pem"))
	s := newSite(t, 1, text(first+"}"))
	s.boxes[0].serveAll()
	x := jwt.NewWithClaims(jwt.SigningMethodES256, jwt.MapClaims{"exp": time.Now().Add(time.Minute).Unix(),
		"cdniuc": `regex:https://files\.example/files/guide-video/17/.*`, "cdnistt": 1, "cdniets": 60, "cdnistd": 3})
	x.Header["kid"] = "one"
	token, err := x.SignedString(one)
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, s.signed)
	c.send(ask("GET", file+"?seg=0&URISigningPackage="+token, ""))
	for part := 1; ; part++ {
		r, body := c.answer("GET")
		cookies := (&http.Response{Header: r.Header}).Cookies()
		if r.StatusCode != 200 || len(cookies) != 1 || cookies[0].Path != "/files/guide-video/17/" || !cookies[0].HttpOnly {
			t.Fatalf("part %d: %d %q, %v", part-1, r.StatusCode, body, cookies)
		}
		switch part {
		case 2:
			s.reload(text(first+fmt.Sprintf(`,"state":"retiring","until":%q},{"name":"two","pem_file":%q}`, until, filepath.Join(dir, "two.pem"))),
				"configuration read again")
		case 4:
			s.reload(text(fmt.Sprintf(`{"name":"two","pem_file":%q}`, filepath.Join(dir, "two.pem"))), "configuration read again")
		case 6:
			return
		}
		c.send(ask("GET", fmt.Sprintf("%s?seg=%d", file, part), "Cookie: URISigningPackage="+cookies[0].Value+"\r\n"))
	}
}

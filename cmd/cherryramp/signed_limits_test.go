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

// reload replaces the operator's file, sends SIGHUP, and waits until the log contains want once more.
func (s *site) reload(text, want string) {
	s.t.Helper()
	if err := os.WriteFile(s.operatorPath, []byte(strings.ReplaceAll(text, "LISTEN", s.signedAddr)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	seen := strings.Count(s.log.String(), want)
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	s.log.awaitCount(s.t, want, seen+1)
}

// Guards a key rotation between the requests of a pipelined connection: an accepted request is
// answered whole, later ones are checked with the new ring, and an invalid file changes nothing and
// is logged with the faulty key.
func TestRotationOnAPipelinedConnection(t *testing.T) {
	s := newSite(t, 1, operatorConfig)
	later := time.Now().Add(time.Minute)
	link := issuer.signURL(filePath+"?seg=3", "k2", later)
	next := signer{"the new secret!!", tokenSecret}
	c := dial(t, s.signedAddr)
	c.send(signedRequest("GET", link, "") + signedRequest("GET", link, "") + signedRequest("GET", next.signURL(filePath+"?seg=3", "k3", later), ""))
	cmd := s.boxes[0].nextCommand(t) // the first has been sent to the box; two wait behind it
	s.reload(strings.Replace(operatorConfig, `"skew_ms":2000`, `"skew_ms":99000`, 1), "configuration can't be used")
	if !strings.Contains(s.log.String(), "signed.skew_ms") {
		t.Error("the log does not name the key")
	}
	rotated := strings.Replace(operatorConfig, `{"name":"k2","secret":"MDEyMzQ1Njc4OWFiY2RlZg=="}`, `{"name":"k3","secret":"dGhlIG5ldyBzZWNyZXQhIQ=="}`, 1)
	if rotated == operatorConfig {
		t.Fatal("the configuration was not changed")
	}
	s.reload(rotated, "configuration read again")
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || body != objectBody(cmd) {
		t.Errorf("accepted before the rotation: %d", r.StatusCode)
	}
	if r, body := c.readResponse("GET"); r.StatusCode != 403 || body != "key is unknown\n" {
		t.Errorf("second, by the old key: %d %q", r.StatusCode, body)
	}
	y := s.boxes[0].nextCommand(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("third, by the new key: %d", r.StatusCode)
	}
}

// operatorWithLimits returns an operator's file with one EdgeAuth profile, given more fields of the profile, and rates.
func operatorWithLimits(profileFields string) string {
	return fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","rings":[{"name":"r","keys":[{"name":"a","secret":%q}]}],
		"profiles":[{"name":"p","tenant":"t","format":"edgeauth","ring":"r","query":"hdnts"%s}],
		"tenants":[{"name":"t","each_subject":{"rate":0.01,"burst":2,"open":1}}]}}`, tokenSecret, profileFields)
}

// Guards the uses of a single-use token: two requests at once, one whose response was lost, a retry,
// another part, a retry after its period was reloaded to zero, and a revoked path.
func TestSingleUse(t *testing.T) {
	s := newSite(t, 1, operatorWithLimits(`,"uses":1,"retry_ms":60000`))
	now := time.Now()
	target := filePath + "?seg=3&hdnts=" + issuer.signToken(now.Add(-time.Minute), now.Add(time.Minute), "/files/*", "one")
	first, second := dial(t, s.signedAddr), dial(t, s.signedAddr)
	first.send(signedRequest("GET", target, ""))
	s.boxes[0].nextCommand(t)
	second.send(signedRequest("GET", target, ""))
	if r, body := second.readResponse("GET"); r.StatusCode != 429 || body != "token is in use\n" || r.Header.Get("Retry-After") == "" {
		t.Errorf("at once: %d %q", r.StatusCode, body)
	}
	_ = first.conn.Close() // its response is lost
	if x := s.boxes[0].nextCommand(t); x.verb != "cancel" {
		t.Fatalf("the node got %s", x.verb)
	}
	second.send(signedRequest("GET", target, ""))
	x := s.boxes[0].nextCommand(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", objectBody(x))
	if r, _ := second.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("retry: %d", r.StatusCode)
	}
	second.send(signedRequest("GET", strings.Replace(target, "seg=3", "seg=4", 1), ""))
	if r, body := second.readResponse("GET"); r.StatusCode != 403 || body != "token is used up\n" {
		t.Errorf("another part: %d %q", r.StatusCode, body)
	}
	s.reload(operatorWithLimits(`,"uses":1,"retry_ms":0`), "configuration read again")
	second.send(signedRequest("GET", target, ""))
	if r, body := second.readResponse("GET"); r.StatusCode != 403 || body != "token is used up\n" {
		t.Errorf("after the reload: %d %q", r.StatusCode, body)
	}
	s.reload(strings.Replace(operatorWithLimits(""), `"tenants"`, `"revoked":{"paths":["/files/guide-video/17/"]},"tenants"`, 1), "configuration read again")
	second.send(signedRequest("GET", target, ""))
	if r, body := second.readResponse("GET"); r.StatusCode != 403 || body != "path is revoked\n" {
		t.Errorf("revoked: %d %q", r.StatusCode, body)
	}
}

// Guards the limits of a subject's rate and open requests, and the Retry-After of refusals.
func TestSubjectQuota(t *testing.T) {
	s := newSite(t, 1, operatorWithLimits(""))
	now := time.Now()
	token := func(who string) string {
		text := fmt.Sprintf("exp=%d~acl=/files/*~id=%s", now.Add(time.Minute).Unix(), who)
		return filePath + "?hdnts=" + issuer.signFields(text)
	}
	a, b := dial(t, s.signedAddr), dial(t, s.signedAddr)
	a.send(signedRequest("GET", token("m1"), ""))
	cmd := s.boxes[0].nextCommand(t)
	b.send(signedRequest("GET", token("m1"), ""))
	if r, body := b.readResponse("GET"); r.StatusCode != 429 || body != "too many requests at once\n" {
		t.Errorf("open requests: %d %q", r.StatusCode, body)
	}
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	a.readResponse("GET")
	b.send(signedRequest("GET", token("m1"), ""))
	y := s.boxes[0].nextCommand(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	b.readResponse("GET")
	b.send(signedRequest("GET", token("m1"), ""))
	if r, body := b.readResponse("GET"); r.StatusCode != 429 || body != "too many requests a second\n" || len(r.Header.Get("Retry-After")) < 2 {
		t.Errorf("rate: %d %q, %s", r.StatusCode, body, r.Header.Get("Retry-After"))
	}
	b.send(signedRequest("GET", token("m2"), ""))
	z := s.boxes[0].nextCommand(t)
	z.reply("ok", "sum=t1,t0=1,why=warm", objectBody(z))
	if r, _ := b.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("another subject: %d", r.StatusCode)
	}
}

func encodePEM(t *testing.T, key any) string {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

// Guards against a flood of forged links with costly signatures, beside valid requests of another
// tenant: each request gets one response, no forged one reaches a node, and every valid one is served.
func TestFloodOfForgedLinks(t *testing.T) {
	good, _ := rsa.GenerateKey(rand.Reader, 2048)
	other, _ := rsa.GenerateKey(rand.Reader, 2048)
	mine, _ := json.Marshal(encodePEM(t, good))
	theirs, _ := json.Marshal(encodePEM(t, other))
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
			c, seen := dial(t, s.signedAddr), map[int]int{}
			for j := range 10 {
				link, err := sign.NewURLSigner("KB", forger).Sign(fmt.Sprintf("https://files.example%s?seg=%d", filePath, i*10+j), later)
				if err != nil {
					t.Error(err)
					return
				}
				c.send(signedRequest("GET", strings.TrimPrefix(link, "https://files.example"), ""))
				r, _ := c.readResponse("GET")
				seen[r.StatusCode]++
			}
			counts <- seen
		}()
	}
	const requests = 40
	c := dial(t, s.signedAddr)
	for i := range requests {
		link, err := sign.NewURLSigner("KA", good).Sign(fmt.Sprintf("https://files.example%s?seg=%d", filePath, i), later)
		if err != nil {
			t.Fatal(err)
		}
		c.send(signedRequest("GET", strings.TrimPrefix(link, "https://files.example"), ""))
		if r, body := c.readResponse("GET"); r.StatusCode != 200 {
			t.Fatalf("valid request %d: %d %q", i, r.StatusCode, body)
		}
	}
	wg.Wait()
	close(counts)
	total := 0
	for seen := range counts {
		total += seen[403] + seen[503]
		if len(seen) > 2 || seen[200] > 0 {
			t.Errorf("forged requests got %v", seen)
		}
	}
	if total != 300 {
		t.Errorf("%d of 300 forged requests were answered", total)
	}
	if reached := s.boxes[0].served.Load(); reached != requests {
		t.Errorf("%d requests reached the node, %d were valid", reached, requests)
	}
}

// Guards a chain of tokens that are renewed with each segment by a costly signature, across a rotation
// of the signing key, which is in files of its own.
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
		if err := os.WriteFile(filepath.Join(dir, name), []byte(encodePEM(t, key)), 0o600); err != nil {
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
	c := dial(t, s.signedAddr)
	c.send(signedRequest("GET", filePath+"?seg=0&URISigningPackage="+token, ""))
	for part := 1; ; part++ {
		r, body := c.readResponse("GET")
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
		c.send(signedRequest("GET", fmt.Sprintf("%s?seg=%d", filePath, part), "Cookie: URISigningPackage="+cookies[0].Value+"\r\n"))
	}
}

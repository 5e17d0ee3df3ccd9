package main_test

import (
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	urlSecret   = "0123456789abcdef"
	tokenSecret = "token secret 16b"
)

var operatorConfig = fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","skew_ms":2000,
	"url_base":"https://files.example",
	"url_keys":[{"name":"k1","secret":"%s"},{"name":"k2","secret":"%s"}],
	"token_keys":[{"name":"t1","secret":"%x"},{"name":"t2","secret":"%x"}]}}`,
	base64.URLEncoding.EncodeToString([]byte("old and rotating")),
	base64.URLEncoding.EncodeToString([]byte(urlSecret)), "old token secret", tokenSecret)

// signer is a fake issuer of links.
type signer struct{ url, token string }

var issuer = signer{urlSecret, tokenSecret}

func (s signer) signURL(target, key string, expires time.Time) string {
	sep := map[bool]string{true: "&", false: "?"}[strings.Contains(target, "?")]
	target += fmt.Sprintf("%sExpires=%d&KeyName=%s", sep, expires.Unix(), key)
	mac := hmac.New(sha1.New, []byte(s.url))
	mac.Write([]byte("https://files.example" + target))
	return target + "&Signature=" + base64.URLEncoding.EncodeToString(mac.Sum(nil))
}

func (s signer) signToken(from, until time.Time, acl, branch string) string {
	return s.signFields(fmt.Sprintf("st=%d~exp=%d~acl=%s~data=%s", from.Unix(), until.Unix(), acl, branch))
}

func (s signer) signFields(text string) string {
	mac := hmac.New(sha256.New, []byte(s.token))
	mac.Write([]byte(text))
	return text + "~hmac=" + hex.EncodeToString(mac.Sum(nil))
}

func signedRequest(method, target, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: files.example\r\n%s\r\n", method, target, fields)
}

const filePath = "/files/guide-video/17/9f3a"

func TestSignedLinksAreServedWhole(t *testing.T) {
	s := newSite(t, 1, operatorConfig)
	now := time.Now()
	token := issuer.signToken(now.Add(-time.Minute), now.Add(time.Minute), "/files/*", "edge-1")
	links := []struct{ target, fields string }{
		{issuer.signURL(filePath+"?seg=3", "k2", now.Add(time.Minute)), ""},
		{filePath + "?seg=3&hdnts=" + token, ""},
		{filePath + "?seg=3", "Cookie: lang=bn; hdnts=" + token + "\r\n"},
		{filePath + "?seg=3", "X-Edge-Token: " + token + "\r\n"},
	}
	c := dial(t, s.signedAddr)
	for _, link := range links {
		for _, method := range []string{"GET", "HEAD"} {
			c.send(signedRequest(method, link.target, link.fields))
			cmd := s.boxes[0].nextCommand(t)
			// Links with different signatures share one cached copy: the box sees only the object.
			if cmd.fields["name"] != "9f3a" || cmd.fields["piece"] != "3" || cmd.fields["lane"] != "guide-video" {
				t.Errorf("the box got %v", cmd.fields)
			}
			for _, v := range cmd.fields {
				if strings.Contains(v, "hmac") || strings.Contains(v, "Signature") || strings.Contains(v, "Expires") {
					t.Errorf("a signing field reached the box: %v", cmd.fields)
				}
			}
			cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
			r, body := c.readResponse(method)
			want := map[string]string{"GET": objectBody(cmd)}[method]
			if r.StatusCode != 200 || body != want || r.ContentLength != int64(len(objectBody(cmd))) {
				t.Errorf("%s %s: got %d, %d bytes of %d", method, link.target, r.StatusCode, len(body), r.ContentLength)
			}
		}
	}
	// The client's copy is current.
	c.send(signedRequest("GET", links[0].target, "If-None-Match: \"t1\"\r\n"))
	s.boxes[0].nextCommand(t).reply("current", "sum=t1,t0=1,why=warm", "")
	if r, _ := c.readResponse("GET"); r.StatusCode != 304 {
		t.Errorf("got %d, want 304", r.StatusCode)
	}
}

// Guards against a forged request that reaches a node: everything that arrives at any node is
// counted.
func TestForgedRequestsReachNoBox(t *testing.T) {
	s := newSite(t, 2, operatorConfig)
	now := time.Now()
	later, earlier := now.Add(time.Minute), now.Add(-time.Minute)
	good := issuer.signURL(filePath, "k2", later)
	token := issuer.signToken(earlier, later, "/files/*", "edge-1")
	forger := signer{"fedcba9876543210", "some other secret"}
	bad := map[string]struct{ target, fields, reason string }{
		"unsigned":          {filePath, "", "no signature"},
		"forged":            {forger.signURL(filePath, "k2", later), "", "does not match"},
		"wrong key":         {issuer.signURL(filePath, "k1", later), "", "does not match"},
		"unknown key":       {issuer.signURL(filePath, "k9", later), "", "unknown"},
		"altered":           {strings.Replace(good, "9f3a", "9f3b", 1), "", "does not match"},
		"altered expiry":    {strings.Replace(good, fmt.Sprint(later.Unix()), fmt.Sprint(later.Unix()+9), 1), "", "does not match"},
		"expired":           {issuer.signURL(filePath, "k2", earlier), "", "expired"},
		"dot segment":       {issuer.signURL("/files/guide-video/17/%2e%2e", "k2", later), "", "target"},
		"two signatures":    {good + "&hdnts=" + token, "", "more than one"},
		"forged token":      {filePath + "?hdnts=" + forger.signToken(earlier, later, "/files/*", "edge-1"), "", "does not match"},
		"expired token":     {filePath, "X-Edge-Token: " + issuer.signToken(earlier, earlier, "/files/*", "edge-1") + "\r\n", "expired"},
		"early token":       {filePath, "Cookie: hdnts=" + issuer.signToken(later, later, "/files/*", "edge-1") + "\r\n", "not valid yet"},
		"wrong branch":      {filePath + "?hdnts=" + issuer.signToken(earlier, later, "/files/*", "edge-2"), "", "branch"},
		"branch altered":    {filePath + "?hdnts=" + strings.Replace(token, "edge-1", "edge-2", 1), "", "does not match"},
		"path not covered":  {filePath + "?hdnts=" + issuer.signToken(earlier, later, "/files/page-asset/*", "edge-1"), "", "covered"},
		"class of writes":   {issuer.signURL("/files/payout-confirm/1/77", "k2", later), "", "target"},
		"platform's target": {issuer.signURL("/call/guide-video/9f3a", "k2", later), "", "target"},
	}
	for name, x := range bad {
		for _, method := range []string{"GET", "HEAD"} {
			c := dial(t, s.signedAddr)
			c.send(signedRequest(method, x.target, x.fields))
			r, body := c.readResponse(method)
			if r.StatusCode != 403 || method == "GET" && !strings.Contains(body, x.reason) {
				t.Errorf("%s: got %d %q, want 403 with %q", name, r.StatusCode, body, x.reason)
			}
		}
	}
	for _, method := range []string{"PUT", "POST", "DELETE"} {
		c := dial(t, s.signedAddr)
		c.send(signedRequest(method, good, ""))
		if r, _ := c.readResponse(method); r.StatusCode != 405 {
			t.Errorf("%s: got %d, want 405", method, r.StatusCode)
		}
	}
	for _, n := range append(s.boxes, s.parent, s.origin) {
		if len(n.commands) != 0 {
			t.Errorf("%d commands reached a node", len(n.commands))
		}
	}
	s.log.awaitCount(t, "signed request refused", 2*len(bad)+3)
	log := s.log.String()
	for _, secret := range []string{urlSecret, tokenSecret, "Signature=", "hmac="} {
		if strings.Contains(log, secret) {
			t.Errorf("the log contains %q", secret)
		}
	}
}

// Guards a link that expires between a client's first request and its retry: the first, accepted
// in time, may make all its attempts; the retry gets a final 403.
func TestExpiryBetweenTryAndRetry(t *testing.T) {
	s := newSite(t, 1, operatorConfig)
	// With the skew of 2 s the link expires at a whole second; the request is sent 200 ms
	// before.
	expiry := time.Now().Truncate(time.Second).Add(2 * time.Second)
	link := issuer.signURL("/files/page-asset/17/9f3a", "k2", expiry.Add(-2*time.Second))
	<-time.NewTimer(time.Until(expiry.Add(-200 * time.Millisecond))).C
	c := dial(t, s.signedAddr)
	c.send(signedRequest("GET", link, ""))
	cmd := s.boxes[0].nextCommand(t)
	<-time.NewTimer(time.Until(expiry.Add(10 * time.Millisecond))).C // waits for the expiry
	cmd.reply("error", "-", "")
	y := s.boxes[0].nextCommand(t) // the second attempt of the accepted request
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, body := c.readResponse("GET"); r.StatusCode != 200 || body != objectBody(y) {
		t.Errorf("accepted in time: got %d", r.StatusCode)
	}
	c.send(signedRequest("GET", link, ""))
	if r, body := c.readResponse("GET"); r.StatusCode != 403 || body != "expired\n" {
		t.Errorf("retry after expiry: got %d %q", r.StatusCode, body)
	}
	if len(s.boxes[0].commands) > 0 {
		t.Error("the retry reached the box")
	}
}

// Guards the limits of the allowed clock skew.
func TestSkewEdges(t *testing.T) {
	s := newSite(t, 1, operatorConfig)
	s.boxes[0].serveAll()
	now := time.Now()
	far := now.Add(time.Hour)
	for _, x := range []struct {
		name   string
		target string
		status int
	}{
		{"signer a second behind", issuer.signURL(filePath, "k2", now.Add(-time.Second)), 200},
		{"signer four seconds behind", issuer.signURL(filePath, "k2", now.Add(-4*time.Second)), 403},
		{"signer a second ahead", filePath + "?hdnts=" + issuer.signToken(now.Add(time.Second), far, "/*", "edge-1"), 200},
		{"signer ten seconds ahead", filePath + "?hdnts=" + issuer.signToken(now.Add(10*time.Second), far, "/*", "edge-1"), 403},
	} {
		c := dial(t, s.signedAddr)
		c.send(signedRequest("GET", x.target, ""))
		if r, _ := c.readResponse("GET"); r.StatusCode != x.status {
			t.Errorf("%s: got %d, want %d", x.name, r.StatusCode, x.status)
		}
	}
}

// Guards the status codes when nodes are down or slow, and against the platform's own headers in
// responses to signed requests.
func TestSignedWithNodesDownOrSlow(t *testing.T) {
	s := newSite(t, 1, operatorConfig)
	link := issuer.signURL("/files/page-asset/17/9f3a", "k2", time.Now().Add(time.Minute))
	c := dial(t, s.signedAddr)
	c.send(signedRequest("GET", link, ""))
	s.boxes[0].nextCommand(t) // no answer: the class times out after two seconds
	if r, _ := c.readResponse("GET"); r.StatusCode != 503 && r.StatusCode != 504 && r.StatusCode != 502 {
		t.Errorf("slow: got %d", r.StatusCode)
	}
	for _, n := range append(s.boxes, s.parent, s.origin) {
		_ = n.ln.Close()
		go func() {
			for x := range n.commands {
				_ = x.conn.Close()
			}
		}()
	}
	for range 3 {
		c.send(signedRequest("GET", link, ""))
		r, _ := c.readResponse("GET")
		if r.StatusCode != 503 && r.StatusCode != 502 {
			t.Errorf("down: got %d", r.StatusCode)
		}
		if r.StatusCode == 503 && r.Header.Get("Retry-After") == "" {
			t.Error("503 without Retry-After")
		}
		if r.Header.Get("Srv-Wait-Ms") != "" {
			t.Error("the response has the platform's header")
		}
	}
}

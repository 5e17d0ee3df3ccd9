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

var operator = fmt.Sprintf(`{"signed":{"listen":"LISTEN","branch":"edge-1","skew_ms":2000,
	"url_base":"https://files.example",
	"url_keys":[{"name":"k1","secret":"%s"},{"name":"k2","secret":"%s"}],
	"token_keys":[{"name":"t1","secret":"%x"},{"name":"t2","secret":"%x"}]}}`,
	base64.URLEncoding.EncodeToString([]byte("old and rotating")),
	base64.URLEncoding.EncodeToString([]byte(urlSecret)), "old token secret", tokenSecret)

// signer is the stand-in for whoever issues links.
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

func ask(method, target, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: files.example\r\n%s\r\n", method, target, fields)
}

const file = "/files/guide-video/17/9f3a"

func TestSignedLinksAreServedWhole(t *testing.T) {
	s := newSite(t, 1, operator)
	now := time.Now()
	token := issuer.signToken(now.Add(-time.Minute), now.Add(time.Minute), "/files/*", "edge-1")
	links := []struct{ target, fields string }{
		{issuer.signURL(file+"?seg=3", "k2", now.Add(time.Minute)), ""},
		{file + "?seg=3&hdnts=" + token, ""},
		{file + "?seg=3", "Cookie: lang=bn; hdnts=" + token + "\r\n"},
		{file + "?seg=3", "X-Edge-Token: " + token + "\r\n"},
	}
	c := dial(t, s.signed)
	for _, link := range links {
		for _, method := range []string{"GET", "HEAD"} {
			c.send(ask(method, link.target, link.fields))
			x := s.boxes[0].next(t)
			// Differently signed links share a copy: the box sees the object alone.
			if x.fields["name"] != "9f3a" || x.fields["piece"] != "3" || x.fields["lane"] != "guide-video" {
				t.Errorf("came as %v", x.fields)
			}
			for _, v := range x.fields {
				if strings.Contains(v, "hmac") || strings.Contains(v, "Signature") || strings.Contains(v, "Expires") {
					t.Errorf("a signing field reached the box: %v", x.fields)
				}
			}
			x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
			r, body := c.answer(method)
			want := map[string]string{"GET": object(x)}[method]
			if r.StatusCode != 200 || body != want || r.ContentLength != int64(len(object(x))) {
				t.Errorf("%s %s: got %d, %d bytes of %d", method, link.target, r.StatusCode, len(body), r.ContentLength)
			}
		}
	}
	// Unchanged since the client's copy.
	c.send(ask("GET", links[0].target, "If-None-Match: \"t1\"\r\n"))
	s.boxes[0].next(t).reply("current", "sum=t1,t0=1,why=warm", "")
	if r, _ := c.answer("GET"); r.StatusCode != 304 {
		t.Errorf("got %d, want 304", r.StatusCode)
	}
}

// Shows that no forged request comes near a cache box: everything that arrives
// at any of them is counted.
func TestNoForgedRequestArrives(t *testing.T) {
	s := newSite(t, 2, operator)
	now := time.Now()
	later, earlier := now.Add(time.Minute), now.Add(-time.Minute)
	good := issuer.signURL(file, "k2", later)
	token := issuer.signToken(earlier, later, "/files/*", "edge-1")
	forger := signer{"fedcba9876543210", "some other secret"}
	bad := map[string]struct{ target, fields, reason string }{
		"unsigned":          {file, "", "no signature"},
		"forged":            {forger.signURL(file, "k2", later), "", "does not match"},
		"wrong key":         {issuer.signURL(file, "k1", later), "", "does not match"},
		"unknown key":       {issuer.signURL(file, "k9", later), "", "unknown"},
		"altered":           {strings.Replace(good, "9f3a", "9f3b", 1), "", "does not match"},
		"altered expiry":    {strings.Replace(good, fmt.Sprint(later.Unix()), fmt.Sprint(later.Unix()+9), 1), "", "does not match"},
		"expired":           {issuer.signURL(file, "k2", earlier), "", "expired"},
		"dot segment":       {issuer.signURL("/files/guide-video/17/%2e%2e", "k2", later), "", "target"},
		"two signatures":    {good + "&hdnts=" + token, "", "more than one"},
		"forged token":      {file + "?hdnts=" + forger.signToken(earlier, later, "/files/*", "edge-1"), "", "does not match"},
		"expired token":     {file, "X-Edge-Token: " + issuer.signToken(earlier, earlier, "/files/*", "edge-1") + "\r\n", "expired"},
		"early token":       {file, "Cookie: hdnts=" + issuer.signToken(later, later, "/files/*", "edge-1") + "\r\n", "not valid yet"},
		"wrong branch":      {file + "?hdnts=" + issuer.signToken(earlier, later, "/files/*", "edge-2"), "", "branch"},
		"branch altered":    {file + "?hdnts=" + strings.Replace(token, "edge-1", "edge-2", 1), "", "does not match"},
		"path not covered":  {file + "?hdnts=" + issuer.signToken(earlier, later, "/files/page-asset/*", "edge-1"), "", "covered"},
		"class of writes":   {issuer.signURL("/files/payout-confirm/1/77", "k2", later), "", "target"},
		"platform's target": {issuer.signURL("/call/guide-video/9f3a", "k2", later), "", "target"},
	}
	for name, x := range bad {
		for _, method := range []string{"GET", "HEAD"} {
			c := dial(t, s.signed)
			c.send(ask(method, x.target, x.fields))
			r, body := c.answer(method)
			if r.StatusCode != 403 || method == "GET" && !strings.Contains(body, x.reason) {
				t.Errorf("%s: got %d %q, want 403 with %q", name, r.StatusCode, body, x.reason)
			}
		}
	}
	for _, method := range []string{"PUT", "POST", "DELETE"} {
		c := dial(t, s.signed)
		c.send(ask(method, good, ""))
		if r, _ := c.answer(method); r.StatusCode != 405 {
			t.Errorf("%s: got %d, want 405", method, r.StatusCode)
		}
	}
	for _, n := range append(s.boxes, s.parent, s.origin) {
		if len(n.came) != 0 {
			t.Errorf("%d commands arrived at a cache box", len(n.came))
		}
	}
	s.log.awaitCount(t, "signed request refused", 2*len(bad)+3)
	log := s.log.String()
	for _, secret := range []string{urlSecret, tokenSecret, "Signature=", "hmac="} {
		if strings.Contains(log, secret) {
			t.Errorf("the log holds %q", secret)
		}
	}
}

// A link that runs out between a client's first try and its retry: the first,
// let in in time, finishes all its attempts; the retry gets a final 403.
func TestExpiryBetweenTryAndRetry(t *testing.T) {
	s := newSite(t, 1, operator)
	// With the skew of 2 s the link runs out at the next whole second; the try
	// begins 200 ms before.
	edge := time.Now().Truncate(time.Second).Add(2 * time.Second)
	link := issuer.signURL("/files/page-asset/17/9f3a", "k2", edge.Add(-2*time.Second))
	<-time.NewTimer(time.Until(edge.Add(-200 * time.Millisecond))).C
	c := dial(t, s.signed)
	c.send(ask("GET", link, ""))
	x := s.boxes[0].next(t)
	<-time.NewTimer(time.Until(edge.Add(10 * time.Millisecond))).C // the event waited for is the expiry
	x.reply("error", "-", "")
	y := s.boxes[0].next(t) // the second attempt of the admitted try
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, body := c.answer("GET"); r.StatusCode != 200 || body != object(y) {
		t.Errorf("admitted in time: got %d", r.StatusCode)
	}
	c.send(ask("GET", link, ""))
	if r, body := c.answer("GET"); r.StatusCode != 403 || body != "expired\n" {
		t.Errorf("retry after expiry: got %d %q", r.StatusCode, body)
	}
	if len(s.boxes[0].came) > 0 {
		t.Error("the retry arrived")
	}
}

// Guards the edges of the skew on the running clock.
func TestSkewEdges(t *testing.T) {
	s := newSite(t, 1, operator)
	s.boxes[0].serveAll()
	now := time.Now()
	far := now.Add(time.Hour)
	for _, x := range []struct {
		name   string
		target string
		status int
	}{
		{"signer a second behind", issuer.signURL(file, "k2", now.Add(-time.Second)), 200},
		{"signer four seconds behind", issuer.signURL(file, "k2", now.Add(-4*time.Second)), 403},
		{"signer a second ahead", file + "?hdnts=" + issuer.signToken(now.Add(time.Second), far, "/*", "edge-1"), 200},
		{"signer ten seconds ahead", file + "?hdnts=" + issuer.signToken(now.Add(10*time.Second), far, "/*", "edge-1"), 403},
	} {
		c := dial(t, s.signed)
		c.send(ask("GET", x.target, ""))
		if r, _ := c.answer("GET"); r.StatusCode != x.status {
			t.Errorf("%s: got %d, want %d", x.name, r.StatusCode, x.status)
		}
	}
}

// Guards the mapping of outcomes when nodes are down or slow, and that a write's
// refusals of the platform never show on this front.
func TestSignedWithNodesDownOrSlow(t *testing.T) {
	s := newSite(t, 1, operator)
	link := issuer.signURL("/files/page-asset/17/9f3a", "k2", time.Now().Add(time.Minute))
	c := dial(t, s.signed)
	c.send(ask("GET", link, ""))
	s.boxes[0].next(t) // and no answer: the class gives up after two seconds
	if r, _ := c.answer("GET"); r.StatusCode != 503 && r.StatusCode != 504 && r.StatusCode != 502 {
		t.Errorf("slow: got %d", r.StatusCode)
	}
	for _, n := range append(s.boxes, s.parent, s.origin) {
		_ = n.ln.Close()
		go func() {
			for x := range n.came {
				_ = x.conn.Close()
			}
		}()
	}
	for range 3 {
		c.send(ask("GET", link, ""))
		r, _ := c.answer("GET")
		if r.StatusCode != 503 && r.StatusCode != 502 {
			t.Errorf("down: got %d", r.StatusCode)
		}
		if r.StatusCode == 503 && r.Header.Get("Retry-After") == "" {
			t.Error("503 without Retry-After")
		}
		if r.Header.Get("Srv-Wait-Ms") != "" {
			t.Error("the platform's header shows")
		}
	}
}

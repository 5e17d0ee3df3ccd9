package main

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["altered-link"] = alteredLink }

const linkSecret = "a-secret-of-the-review-0123456789"

// signLink is the stand-in signer: the format that docs/signed.md gives for Fastly.
func signLink(path string, expires int64) (token string) {
	h := hmac.New(sha256.New, []byte(linkSecret))
	fmt.Fprintf(h, "%s%d", path, expires)
	return fmt.Sprintf("%d_%s", expires, hex.EncodeToString(h.Sum(nil)))
}

// getLink asks the signed front for a target.
func getLink(rec *record, address, target string) (status int, body string) {
	err := func() error {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: files.padma.example\r\nConnection: close\r\n\r\n", target); err != nil {
			return err
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		defer r.Body.Close()
		b, err := io.ReadAll(r.Body)
		status, body = r.StatusCode, string(b)
		return err
	}()
	rec.line("client  GET %s has %d %.60q %v", target, status, body, err)
	return status, body
}

// alteredLink: a signer gives out ten links that last 3 s. Once they have expired, whoever holds one asks for it again as it is,
// and altered. TROUBLE=0: as it is alone.
func alteredLink(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 3)
	cleanUps = append(cleanUps, s.close)
	address := freeAddress("127.0.0.2")
	f := newFront(rec, dir, "n1", "127.0.0.2", s, nil, func(*front) map[string]any {
		return map[string]any{"signed": map[string]any{"listen": address, "branch": "edge-1", "skew_ms": 2000,
			"rings":   []any{map[string]any{"name": "links", "keys": []any{map[string]any{"name": "k1", "secret": linkSecret}}}},
			"tenants": []any{map[string]any{"name": "members", "paths": []string{"/files/guide-video/"}}},
			"profiles": []any{map[string]any{"name": "receipt", "tenant": "members", "format": "timed", "ring": "links", "query": "token",
				"describe": map[string]any{"message": "{path}{expires}", "token": "{expires}_{mac}", "digest": "hmac-sha256", "encoding": "hex"}}}}}
	})
	f.start()
	cleanUps = append(cleanUps, f.kill)
	await("the front to be ready", 10*time.Second, func() bool { return f.call("PING", nil) == nil })
	expires := time.Now().Unix() + 3
	links := map[string]string{}
	for i := range 10 {
		path := fmt.Sprintf("/files/guide-video/17/receipt-72%d", 10+i)
		links[path] = signLink(path, expires)
		rec.line("signer  %s until %d: %s", path, expires, links[path])
		if status, _ := getLink(rec, address, path+"?token="+links[path]); status != 200 {
			cannotRun("a whole link has %d", status)
		}
	}
	time.Sleep(time.Until(time.Unix(expires+4, 0))) // the skew is 2 s
	for path, token := range links {
		if status, _ := getLink(rec, address, path+"?token="+token); status == 200 {
			broken = append(broken, fmt.Sprintf("%s: the expired link is served", path))
		}
		if !trouble {
			continue
		}
		last := len(path) - 1
		object := path[strings.LastIndexByte(path, '/')+1 : last]
		status, body := getLink(rec, address, path[:last]+"?token="+path[last:]+token)
		if status == 200 {
			broken = append(broken, fmt.Sprintf("an altered and expired link, for %s instead of %s, has 200 with %q...", object, path[strings.LastIndexByte(path, '/')+1:], body[:min(len(body), 18)]))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if trouble && r.Object == "receipt-721" {
			broken = append(broken, fmt.Sprintf("cache node %s had a request for receipt-721, for which nobody has signed a link", r.Node))
			break
		}
	}
	return broken
}

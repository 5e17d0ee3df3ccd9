package conformance

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

func shaNew() hash.Hash { return sha256.New() }

// Failure is a case that went otherwise than it must.
type Failure struct {
	Case Case
	Got  string
}

func (f Failure) String() string {
	return fmt.Sprintf("%s: %s\nsent:\n%s", f.Case.Name, f.Got, f.Case.Bytes())
}

// Check tells what is wrong with an answer; empty: nothing.
func (c *Case) Check(status int, header http.Header, body string, length int64) string {
	var wrong []string
	if status != c.Status {
		wrong = append(wrong, fmt.Sprintf("status %d, want %d", status, c.Status))
	}
	if c.Reason != "" && !c.AcceptsReason(strings.TrimSuffix(body, "\n")) {
		wrong = append(wrong, fmt.Sprintf("reason %q, want %q", strings.TrimSpace(body), c.Reason))
	}
	if c.Size >= 0 && length != int64(c.Size) {
		wrong = append(wrong, fmt.Sprintf("%d bytes, want %d", length, c.Size))
	}
	for name, want := range c.WantHeader {
		if got := strings.Join(header.Values(name), ", "); !fits(want, got) {
			wrong = append(wrong, fmt.Sprintf("%s %q, want %q", name, got, want))
		}
	}
	return strings.Join(wrong, "; ")
}

// Gives tells whether a reason is one that the case must give.
func (c *Case) AcceptsReason(reason string) bool {
	return slices.Contains(strings.Split(c.Reason, "|"), reason)
}

// fits compares with '*' for any run of signs.
func fits(want, got string) bool {
	parts := strings.Split(want, "*")
	if len(parts) == 1 {
		return want == got
	}
	rest, ok := strings.CutPrefix(got, parts[0])
	if !ok || got == "" {
		return false
	}
	for _, p := range parts[1 : len(parts)-1] {
		i := strings.Index(rest, p)
		if i < 0 {
			return false
		}
		rest = rest[i+len(p):]
	}
	return strings.HasSuffix(rest, parts[len(parts)-1])
}

// Run sends the cases to a server, one behind the other on a connection for as
// long as it stays open. An answer takes so long at most.
func Run(address string, cases []Case, patience time.Duration) (failed []Failure, err error) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for _, c := range cases {
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", address, patience); err != nil {
				return failed, fmt.Errorf("conformance: %w", err)
			}
			r = bufio.NewReader(conn)
		}
		_ = conn.SetDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(conn, c.Bytes()); err != nil {
			return failed, fmt.Errorf("conformance: %s: %w", c.Name, err)
		}
		a, err := http.ReadResponse(r, &http.Request{Method: c.Method})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(a.Body)
		}
		if err != nil {
			failed = append(failed, Failure{c, "no whole answer: " + err.Error()})
			_ = conn.Close()
			conn = nil
			continue
		}
		length := int64(len(body))
		if c.Method == "HEAD" {
			length = a.ContentLength
		}
		if wrong := c.Check(a.StatusCode, a.Header, string(body), length); wrong != "" {
			failed = append(failed, Failure{c, wrong})
		}
		if a.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	return failed, nil
}

// Good is a good link of a form that lasts so long.
func (w *Fixture) ValidLink(name, carrier string, last time.Duration) string {
	s := suite{w: w}
	f := s.find(name, carrier)
	target, _ := f.carry(Target, f.sign(wish{until: last}.fill(f)))
	return target
}

// signature is the field that holds a grant's signature.
func (f *form) signature(fields []field) int {
	for i, x := range fields {
		if strings.HasSuffix(x.name, "Signature") || x.name == "hmac" || x.name == "md5" {
			return i
		}
	}
	return len(fields) - 1
}

// everything is what a grant of the form says that lets in everything.
func (f *form) everything() string {
	switch {
	case strings.HasPrefix(f.name, "edgeauth"):
		return "/*"
	case strings.HasSuffix(f.name, "prefix"):
		return BaseURL
	case strings.HasPrefix(f.name, "cdni"):
		return ".*"
	}
	return "*"
}

// Links makes the bytes of so many requests, each with a signature of its own:
// of links that last an hour, by the form's key or by one that nobody knows.
func (w *Fixture) SignedRequests(name, carrier string, n int, forged bool) ([]string, error) {
	for _, f := range w.forms() {
		if f.name != name || f.carrier != carrier {
			continue
		}
		var out []string
		var fields []field
		for i := range n {
			x := wish{target: fmt.Sprintf("%s?seg=%d", Path, i), until: time.Hour}.fill(f)
			if f.tokens { // so that nothing but the signature is wrong
				x.covers = f.everything()
			}
			if fields == nil || !forged {
				fields = f.sign(x)
			}
			c, own := Case{Method: "GET"}, slices.Clone(fields)
			if forged { // no signature is made for it, and each is another
				j := f.signature(own)
				v := own[j].value
				own[j].value = v[:4] + fmt.Sprintf("%08d", i) + v[12:]
			}
			c.Target, c.Header = f.carry(x.target, own)
			out = append(out, c.Bytes())
		}
		return out, nil
	}
	return nil, fmt.Errorf("conformance: no form %q in %q", name, carrier)
}

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

func newSHA256() hash.Hash { return sha256.New() }

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
	var problems []string
	if status != c.Status {
		problems = append(problems, fmt.Sprintf("status %d, want %d", status, c.Status))
	}
	if c.Reason != "" && !c.AcceptsReason(strings.TrimSuffix(body, "\n")) {
		problems = append(problems, fmt.Sprintf("reason %q, want %q", strings.TrimSpace(body), c.Reason))
	}
	if c.Size >= 0 && length != int64(c.Size) {
		problems = append(problems, fmt.Sprintf("%d bytes, want %d", length, c.Size))
	}
	for name, want := range c.WantHeader {
		if got := strings.Join(header.Values(name), ", "); !matches(want, got) {
			problems = append(problems, fmt.Sprintf("%s %q, want %q", name, got, want))
		}
	}
	return strings.Join(problems, "; ")
}

// Gives tells whether a reason is one that the case must give.
func (c *Case) AcceptsReason(reason string) bool {
	return slices.Contains(strings.Split(c.Reason, "|"), reason)
}

// fits compares with '*' for any run of signs.
func matches(want, got string) bool {
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
func Run(address string, cases []Case, timeout time.Duration) (failed []Failure, err error) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for _, c := range cases {
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", address, timeout); err != nil {
				return failed, fmt.Errorf("conformance: %w", err)
			}
			r = bufio.NewReader(conn)
		}
		_ = conn.SetDeadline(time.Now().Add(timeout))
		if _, err := io.WriteString(conn, c.Bytes()); err != nil {
			return failed, fmt.Errorf("conformance: %s: %w", c.Name, err)
		}
		response, err := http.ReadResponse(r, &http.Request{Method: c.Method})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			failed = append(failed, Failure{c, "no whole answer: " + err.Error()})
			_ = conn.Close()
			conn = nil
			continue
		}
		length := int64(len(body))
		if c.Method == "HEAD" {
			length = response.ContentLength
		}
		if problems := c.Check(response.StatusCode, response.Header, string(body), length); problems != "" {
			failed = append(failed, Failure{c, problems})
		}
		if response.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	return failed, nil
}

// Good is a good link of a form that lasts so long.
func (fixture *Fixture) ValidLink(name, carrier string, lifetime time.Duration) string {
	s := suite{fixture: fixture}
	f := s.findForm(name, carrier)
	target, _ := f.carry(Target, f.sign(linkSpec{expiry: lifetime}.withDefaults(f)))
	return target
}

// signature is the field that holds a grant's signature.
func (f *form) signatureIndex(fields []field) int {
	for i, x := range fields {
		if strings.HasSuffix(x.name, "Signature") || x.name == "hmac" || x.name == "md5" {
			return i
		}
	}
	return len(fields) - 1
}

// everything is what a grant of the form says that lets in everything.
func (f *form) unrestrictedScope() string {
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
func (fixture *Fixture) SignedRequests(name, carrier string, n int, forged bool) ([]string, error) {
	for _, f := range fixture.forms() {
		if f.name != name || f.carrier != carrier {
			continue
		}
		var out []string
		var fields []field
		for i := range n {
			spec := linkSpec{target: fmt.Sprintf("%s?seg=%d", Path, i), expiry: time.Hour}.withDefaults(f)
			if f.hasScope { // so that nothing but the signature is wrong
				spec.scope = f.unrestrictedScope()
			}
			if fields == nil || !forged {
				fields = f.sign(spec)
			}
			c, own := Case{Method: "GET"}, slices.Clone(fields)
			if forged { // no signature is made for it, and each is another
				j := f.signatureIndex(own)
				v := own[j].value
				own[j].value = v[:4] + fmt.Sprintf("%08d", i) + v[12:]
			}
			c.Target, c.Header = f.carry(spec.target, own)
			out = append(out, c.Bytes())
		}
		return out, nil
	}
	return nil, fmt.Errorf("conformance: no form %q in %q", name, carrier)
}

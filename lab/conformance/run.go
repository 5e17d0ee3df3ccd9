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

// Failure is a case whose response differs from the expected one.
type Failure struct {
	Case Case
	Got  string
}

func (f Failure) String() string {
	return fmt.Sprintf("%s: %s\nsent:\n%s", f.Case.Name, f.Got, f.Case.Bytes())
}

// Check compares a response with the expected one and returns the differences, or an
// empty string.
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

// AcceptsReason reports whether reason is one of those that the case allows.
func (c *Case) AcceptsReason(reason string) bool {
	return slices.Contains(strings.Split(c.Reason, "|"), reason)
}

// matches compares got with a pattern in which '*' stands for any text. A pattern with
// a '*' does not match the empty string.
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

// Run sends the cases to a server one after the other, on one connection as long as it
// stays open. Timeout bounds the dial, and each request together with its response.
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
			failed = append(failed, Failure{c, "incomplete response: " + err.Error()})
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

// ValidLink returns a valid link of a form that expires after lifetime.
func (fixture *Fixture) ValidLink(name, carrier string, lifetime time.Duration) string {
	s := suite{fixture: fixture}
	f := s.findForm(name, carrier)
	target, _ := f.carry(Target, f.sign(linkSpec{expiry: lifetime}.withDefaults(f)))
	return target
}

// signatureIndex returns the index of the field that holds the signature.
func (f *form) signatureIndex(fields []field) int {
	for i, x := range fields {
		if strings.HasSuffix(x.name, "Signature") || x.name == "hmac" || x.name == "md5" {
			return i
		}
	}
	return len(fields) - 1
}

// unrestrictedScope returns the scope that covers every URL in the form's format.
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

// SignedRequests returns the bytes of n requests with links that are valid for an hour,
// each with a signature of its own: the form's key makes them, or they are forged.
func (fixture *Fixture) SignedRequests(name, carrier string, n int, forged bool) ([]string, error) {
	for _, f := range fixture.forms() {
		if f.name != name || f.carrier != carrier {
			continue
		}
		var out []string
		var fields []field
		for i := range n {
			spec := linkSpec{target: fmt.Sprintf("%s?seg=%d", Path, i), expiry: time.Hour}.withDefaults(f)
			if f.hasScope { // otherwise the link would be refused for its URL and not for its signature
				spec.scope = f.unrestrictedScope()
			}
			if fields == nil || !forged {
				fields = f.sign(spec)
			}
			c, own := Case{Method: "GET"}, slices.Clone(fields)
			if forged { // reuse one set of fields and give each request another wrong signature
				j := f.signatureIndex(own)
				v := own[j].value
				own[j].value = v[:4] + fmt.Sprintf("%08d", i) + v[12:]
			}
			c.Target, c.Header = f.carry(spec.target, own)
			out = append(out, c.Bytes())
		}
		return out, nil
	}
	return nil, fmt.Errorf("conformance: there is no format %q in carrier %q", name, carrier)
}

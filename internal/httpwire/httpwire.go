// Package httpwire parses and writes HTTP/1.1 messages. It parses whole messages at the
// start of a buffer and keeps no state between calls, so that the result does not depend on
// how the network splits a message.
package httpwire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits are the maximum sizes of a message's head and body in bytes.
type Limits struct {
	Head, Body int
}

// Error is the error for a message that can't be parsed. Status is the HTTP status to send
// if the sender is a client.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("httpwire: %s (%d)", e.Reason, e.Status) }

func badRequest(reason string) error { return &Error{Status: 400, Reason: reason} }

// Field is one header field.
type Field struct{ Name, Value string }

// Header holds the header fields of a message in their order.
type Header []Field

// Get returns the value of the first field with a name, ignoring case, or "".
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Count returns the number of fields with a name, ignoring case.
func (h Header) Count(name string) (n int) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Request is an HTTP request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the client asks to close the connection after the response
}

// Response is an HTTP response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// ParseRequest parses a request at the start of b and returns it with its size in bytes.
// While the request is incomplete it returns nil and 0. Errors are of type *Error.
func ParseRequest(b []byte, limits Limits) (*Request, int, error) {
	head, err := parseHead(b, limits)
	if head == nil || err != nil {
		return nil, 0, err
	}
	method, rest, ok := strings.Cut(head.start, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	switch {
	case head.chunked:
		return nil, 0, badRequest("Transfer-Encoding is not taken")
	case !ok || !ok2 || !isToken(method) || !isTarget(target):
		return nil, 0, badRequest("request line is malformed")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return nil, 0, badRequest("version is not HTTP/1.1")
	}
	if len(b) < head.size+head.body {
		return nil, 0, nil
	}
	r := &Request{Method: method, Target: target, Header: head.fields,
		Close: head.close || version == "HTTP/1.0"}
	if head.body > 0 {
		r.Body = bytes.Clone(b[head.size : head.size+head.body])
	}
	return r, head.size + head.body, nil
}

// RequestSize returns the size of the request at the start of b as its head gives it; 0 while
// the head is incomplete or where it can't be parsed. ParseRequest needs so many bytes.
func RequestSize(b []byte, limits Limits) int {
	head, err := parseHead(b, limits)
	if head == nil || err != nil {
		return 0
	}
	return head.size + head.body
}

// ParseResponse parses a response at the start of b; see ParseRequest.
func ParseResponse(b []byte, limits Limits) (*Response, int, error) {
	head, err := parseHead(b, limits)
	if head == nil || err != nil {
		return nil, 0, err
	}
	version, rest, _ := strings.Cut(head.start, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || len(code) != 3 || status < 100 {
		return nil, 0, badRequest("status line is malformed")
	}
	r := &Response{Status: status, Header: head.fields, Close: head.close || version == "HTTP/1.0"}
	if status == 204 || status == 304 {
		return r, head.size, nil
	}
	if head.chunked {
		body, used, err := parseChunks(b[head.size:], limits)
		if used == 0 || err != nil {
			return nil, 0, err
		}
		r.Body = body
		return r, head.size + used, nil
	}
	if len(b) < head.size+head.body {
		return nil, 0, nil
	}
	if head.body > 0 {
		r.Body = bytes.Clone(b[head.size : head.size+head.body])
	}
	return r, head.size + head.body, nil
}

// maxChunkLine bounds the size line of a chunk, with its extensions, which are ignored.
const maxChunkLine = 256

// parseChunks decodes a chunked body (RFC 9112, 7.1). used is 0 while it is incomplete.
// Trailers are ignored.
func parseChunks(b []byte, limits Limits) (body []byte, used int, err error) {
	for {
		line, _, ok := bytes.Cut(b[used:min(len(b), used+maxChunkLine)], []byte("\r\n"))
		if !ok {
			if len(b)-used >= maxChunkLine {
				return nil, 0, badRequest("chunk's line is too long")
			}
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
		if err != nil {
			return nil, 0, badRequest("chunk's size is malformed")
		}
		used += len(line) + 2
		if size == 0 {
			break
		}
		if len(body)+int(size) > limits.Body {
			return nil, 0, &Error{Status: 413, Reason: "body is too long"}
		}
		if len(b) < used+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, b[used:used+int(size)]...)
		if used += int(size) + 2; string(b[used-2:used]) != "\r\n" {
			return nil, 0, badRequest("chunk is longer than its size")
		}
	}
	for trailerStart := used; ; {
		line, _, ok := bytes.Cut(b[used:], []byte("\r\n"))
		if used-trailerStart+len(line) > limits.Head {
			return nil, 0, &Error{Status: 431, Reason: "trailer is too long"}
		}
		if !ok {
			return nil, 0, nil
		}
		if used += len(line) + 2; len(line) == 0 {
			return body, used, nil
		}
	}
}

// maxFields bounds the header fields of a message. Each takes more memory than its bytes.
const maxFields = 128

// head is the part of a message before its body.
type head struct {
	start  string
	fields Header
	size   int // bytes of the head, with the blank line
	body   int // bytes of the body

	chunked, close bool
}

// parseHead returns nil while the head is incomplete.
func parseHead(b []byte, limits Limits) (*head, error) {
	end := bytes.Index(b[:min(len(b), limits.Head)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= limits.Head {
			return nil, &Error{Status: 431, Reason: "head is too long"}
		}
		return nil, checkStart(b)
	}
	text := string(b[:end])
	start, rest, more := strings.Cut(text, "\r\n")
	h := &head{start: start, size: end + 4}
	lengths := 0
	for more {
		var line string
		line, rest, more = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, badRequest("header field is malformed")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return nil, badRequest("header field is malformed")
		}
		if len(h.fields) >= maxFields {
			return nil, &Error{Status: 431, Reason: "head has too many fields"}
		}
		h.fields = append(h.fields, Field{name, value})
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if lengths++; err != nil || lengths > 1 {
				return nil, badRequest("Content-Length is malformed")
			}
			h.body = int(n)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if h.chunked || !strings.EqualFold(value, "chunked") {
				return nil, badRequest("Transfer-Encoding is not taken")
			}
			h.chunked = true
		case strings.EqualFold(name, "Connection"):
			for _, option := range strings.Split(value, ",") {
				h.close = h.close || strings.EqualFold(strings.TrimSpace(option), "close")
			}
		}
	}
	if h.chunked && lengths > 0 {
		return nil, badRequest("Content-Length beside Transfer-Encoding")
	}
	if h.body > limits.Body {
		return nil, &Error{Status: 413, Reason: "body is too long"}
	}
	return h, nil
}

// checkStart rejects bytes that can't become a message, so that garbage without a line
// ending is answered at once.
func checkStart(b []byte) error {
	for _, x := range b[:min(len(b), 16)] {
		if x == '\r' || x == '\n' {
			break
		}
		if x < ' ' || x >= 0x7f {
			return badRequest("not a message")
		}
	}
	if len(b) > 0 && (b[0] == '\r' || b[0] == '\n' || b[0] == ' ') {
		return badRequest("not a message")
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && s[0] == '/'
}

// reasons are the reason phrases of the status codes that the fronts use.
var reasons = map[int]string{200: "OK", 204: "No Content", 206: "Partial Content",
	304: "Not Modified", 400: "Bad Request", 403: "Forbidden",
	404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
	416: "Range Not Satisfiable", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout"}

// AppendResponse appends a response to dst. The response to a HEAD request has the
// Content-Length of the body but no body. A 204 or 304 has neither.
func AppendResponse(dst []byte, r *Response, head bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[r.Status]...)
	dst = append(dst, "\r\n"...)
	for _, f := range r.Header {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	noBody := r.Status == 304 || r.Status == 204
	if !noBody {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
		dst = append(dst, "\r\n"...)
	}
	if r.Close {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	if head || noBody {
		return dst
	}
	return append(dst, r.Body...)
}

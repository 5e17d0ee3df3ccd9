package content

import (
	"bytes"
	"fmt"
	"io"
	"mime/multipart"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/httpwire"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func header(fields ...string) (h httpwire.Header) {
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		h = append(h, httpwire.Field{Name: name, Value: value})
	}
	return h
}

func TestPlans(t *testing.T) {
	for _, x := range []struct {
		fields []string
		want   string
	}{
		{nil, "200"},
		{[]string{"Range: bytes=0-0"}, "206 0-0"},
		{[]string{"range: BYTES=90-"}, "206 90-99"},
		{[]string{"Range: bytes=-10"}, "206 90-99"},
		{[]string{"Range: bytes=-1000"}, "206 0-99"},
		{[]string{"Range: bytes=50-1000"}, "206 50-99"},
		{[]string{"Range: bytes=50-99999999999999999999999"}, "206 50-99"},
		{[]string{"Range: bytes=0-9, 90-99"}, "206 0-9 90-99"},
		{[]string{"Range: bytes=90-99, 0-9"}, "206 90-99 0-9"},
		{[]string{"Range: bytes=0-9,100-200"}, "206 0-9"},
		{[]string{"Range: bytes=,0-9,"}, "206 0-9"},
		{[]string{"Range: bytes=100-"}, "416"},
		{[]string{"Range: bytes=-0"}, "416"},
		{[]string{"Range: bytes=0-9,5-14,8-20"}, "416"},
		{[]string{"Range: bytes=0-,0-"}, "416"},
		{[]string{"Range: bytes=" + strings.Repeat("1-1,", 9)}, "416"},
		{[]string{"Range: bytes=9-1"}, "200"},
		{[]string{"Range: bytes=a-b"}, "200"},
		{[]string{"Range: bytes=1-2,x"}, "200"},
		{[]string{"Range: bytes=-"}, "200"},
		{[]string{"Range: bytes=--5"}, "200"},
		{[]string{"Range: bytes"}, "200"},
		{[]string{"Range: lines=1-2"}, "200"},
		{[]string{"Range: bytes=0-1", "Range: bytes=2-3"}, "200"},
		{[]string{"Range: bytes=0-1", `If-Range: "t"`}, "206 0-1"},
		{[]string{"Range: bytes=0-1", `If-Range: W/"t"`}, "200"},
		{[]string{"Range: bytes=0-1", `If-Range: "u"`}, "200"},
		{[]string{"Range: bytes=0-1", "If-Range: Tue, 01 Dec 2026 00:00:00 GMT"}, "200"},
		{[]string{`If-None-Match: "t"`}, "304"},
		{[]string{`If-None-Match: W/"t"`}, "304"},
		{[]string{`If-None-Match: "a", W/"b" ,"t"`}, "304"},
		{[]string{`If-None-Match: "a"`, `If-None-Match: "t"`}, "304"},
		{[]string{"If-None-Match: *"}, "304"},
		{[]string{`If-None-Match: "a,t"`}, "200"},
		{[]string{`If-None-Match: t`}, "200"},
		{[]string{`If-None-Match: "t`}, "200"},
		{[]string{`If-None-Match: "t"`, "Range: bytes=0-1"}, "304"},
		{[]string{`If-None-Match: "t-gz"`}, "200"},
		{[]string{`If-None-Match: "t-gz"`, "Accept-Encoding: gzip"}, "304"},
		{[]string{`If-None-Match: "t-gz"`, "Accept-Encoding: gzip, br"}, "200"},
	} {
		a := ParseRequest("GET", header(x.fields...))
		p := a.Plan(100, "t")
		got := fmt.Sprint(p.Status)
		for _, r := range p.Ranges {
			got += fmt.Sprintf(" %d-%d", r.First, r.Last)
		}
		if got != x.want {
			t.Errorf("%q: %s, want %s", x.fields, got, x.want)
		}
	}
	a := ParseRequest("HEAD", header("Range: bytes=0-1"))
	if p := a.Plan(100, "t"); p.Status != 200 {
		t.Error("a range is applied to HEAD:", p)
	}
}

func TestEncodings(t *testing.T) {
	for field, want := range map[string]string{
		"": "", "gzip": "gzip", "gzip, br, zstd": "br", "gzip;q=1, br;q=0.5": "gzip", "*": "br", "*;q=0": "",
		"br;q=0, *": "zstd", "identity": "", "identity;q=0.5, gzip": "gzip", "identity, gzip;q=0.5": "",
		"gzip;q=2": "", "x-gzip": "gzip", "deflate": "", "GZIP ; Q=0.3": "gzip",
	} {
		if got := ParseRequest("GET", header("Accept-Encoding: "+field)).Encoding; got != want {
			t.Errorf("%q: %q, want %q", field, got, want)
		}
	}
	if a := ParseRequest("GET", header("Accept-Encoding: gzip", "Range: bytes=0-1")); a.Encoding != "" {
		t.Error("a range request gets an encoding")
	}
}

// For any Range field, the planned ranges lie within the object, and an independent
// parser reads the multipart body back.
func TestRangesLieWithinTheObject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		field := "bytes=" + rapid.StringMatching(`[0-9]{0,3}-[0-9]{0,3}(,[0-9]{0,3}-[0-9]{0,3}){0,9}`).Draw(t, "ranges")
		body := []byte(rapid.StringN(1, 300, 300).Draw(t, "body"))
		a := ParseRequest("GET", header("Range: "+field))
		p := a.Plan(len(body), "t")
		total := 0
		for _, r := range p.Ranges {
			if r.First < 0 || r.Last < r.First || r.Last >= len(body) {
				t.Fatalf("%s of %d: %+v", field, len(body), p)
			}
			total += r.Last - r.First + 1
		}
		if len(p.Ranges) > 1 && total > len(body) {
			t.Fatalf("%s of %d: %d bytes", field, len(body), total)
		}
		r := multipart.NewReader(bytes.NewReader(AppendMultipart(nil, body, p.Ranges, "text/plain", "xyz")), "xyz")
		for _, want := range p.Ranges {
			part, err := r.NextRawPart()
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(part)
			if !bytes.Equal(got, body[want.First:want.Last+1]) || part.Header.Get("Content-Range") !=
				fmt.Sprintf("bytes %d-%d/%d", want.First, want.Last, len(body)) {
				t.Fatalf("range %+v was read back as %q", want, got)
			}
		}
	})
}

package upstream

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

func TestParseAnswer(t *testing.T) {
	for _, x := range []struct {
		text string
		want gateway.AttemptResult
	}{
		{"a ok sum=t,t0=5,why=fill,slow=12.5 3\r\nxyz\r\n", gateway.AttemptResult{Code: rules.OK,
			Note: rules.NoteFilled, SourceWait: 12500,
			Answer: gateway.Answer{Body: []byte("xyz"), Tag: "t", CreatedAt: 5000}}},
		{"a current sum=t 0\r\n\r\n", gateway.AttemptResult{Code: rules.OK,
			Answer: gateway.Answer{Kind: gateway.NotModified, Body: []byte{}, Tag: "t"}}},
		{"a nothing why=lacking 0\r\n\r\n", gateway.AttemptResult{Code: rules.Miss, Note: rules.NoteSourceMiss,
			Answer: gateway.Answer{Body: []byte{}}}},
		{"a refused - 0\r\n\r\n", gateway.AttemptResult{Code: rules.Full, Answer: gateway.Answer{Body: []byte{}}}},
		{"a error rep=util:0.5 0\r\n\r\n", gateway.AttemptResult{Code: rules.ServerError, Answer: gateway.Answer{Body: []byte{}}}},
		{"a stale - 0\r\n\r\n", gateway.AttemptResult{Code: rules.NotSent, Answer: gateway.Answer{Body: []byte{}}}},
	} {
		got, n, err := parseAnswer([]byte(x.text))
		if err != nil || n != len(x.text) || got.id != "a" || !reflect.DeepEqual(got.result, x.want) {
			t.Errorf("%q: got %+v, %d, %v", x.text, got, n, err)
		}
	}
	for _, bad := range []string{"a ok - 1\r\nxyz\r\n", "a odd - 0\r\n\r\n", "a ok 0\r\n\r\n", "a ok - -1\r\n",
		"a ok - 2000000\r\n", "a ok x 0\r\n\r\n", "a ok slow=-1 0\r\n\r\n", "a ok - 0\n",
		strings.Repeat("a", maxLine)} {
		if _, n, err := parseAnswer([]byte(bad)); err == nil || n != 0 {
			t.Errorf("%.40q: %d bytes and no error", bad, n)
		}
	}
}

// Guards against answers that are parsed differently depending on how the network splits them.
func TestParseAnswerAtAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		id := rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id")
		text := fmt.Sprintf("%s ok why=warm,sum=%s 0%d\r\n%s\r\n", id, id, len(body), body)
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		if _, n, err := parseAnswer([]byte(text[:cut])); n != 0 || err != nil {
			t.Fatalf("cut at %d: %d bytes, %v", cut, n, err)
		}
		got, n, err := parseAnswer([]byte(text + "next"))
		if err != nil || n != len(text) || got.id != id || string(got.result.Answer.Body) != string(body) {
			t.Fatalf("got %+v, %d, %v", got, n, err)
		}
	})
}

// Guards against garbage that causes a panic, or that is buffered without limit.
func TestParseAnswerGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 2*maxLine).Draw(t, "garbage")
		if _, n, err := parseAnswer(b); n > len(b) || n == 0 && err == nil && len(b) >= maxLine {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
	})
}

func TestAppendServe(t *testing.T) {
	a := &gateway.Attempt{Call: &gateway.Call{ID: "00ff", Object: "9f", Part: 3, HasPart: true, Tag: "t", Token: "5c0f",
		Body: []byte("xy")}, Source: &gateway.Server{Name: "s-1"}, Deadline: 1_500_000, KeepRank: 2, HeldOnly: true,
		Revalidate: true}
	got := string(appendServe(nil, a, "video", 1_000_000, 2_500_000))
	want := "serve 00ff lane=video,name=9f,piece=3,ttl=500,dedupe=5c0f,next=s-1,admit=2,agelim=2500," +
		"ways=have-only+update,cached=t 2\r\nxy\r\n"
	if got != want {
		t.Errorf("got %q\nwant %q", got, want)
	}
}

// Guards against telling a client that its copy is current although no node has confirmed
// that copy.
func TestNotModifiedNeedsRequestedTag(t *testing.T) {
	for _, x := range []struct {
		asked, text string
		fits        bool
	}{{"", "a current - 0", false}, {"", "a current sum=t 0", false}, {"t", "a current sum=u 0", false},
		{"t", "a current sum=t 0", true}, {"t", "a current - 0", true}, {"", "a ok sum=t 0", true}, {"t", "a ok sum=u 0", true}} {
		got, _, err := parseAnswer([]byte(x.text + "\r\n\r\n"))
		if err != nil || got.matchesTag(x.asked) != x.fits {
			t.Errorf("%q to a request with tag %q: fits %v, %v", x.text, x.asked, !x.fits, err)
		}
	}
}

package session

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkCall measures requests sent one at a time over a persistent connection:
//
//	go test -run - -bench Call -benchtime 3s -count 5 ./internal/front/session
func BenchmarkCall(b *testing.B) {
	ts := newTestServer(b, Config{})
	ts.app.answerAtOnce = true
	client := ts.connect()
	_ = client.conn.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		client.send(request)
		r, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_ = r.Body.Close()
	}
}

// BenchmarkGone measures the check whether a client has closed its side:
//
//	go test -run - -bench Gone ./internal/front/session
func BenchmarkGone(b *testing.B) {
	ts := newTestServer(b, Config{})
	ts.app.answerAtOnce = true
	client := ts.connect()
	client.send(request)
	if _, _, err := client.readAnswer(); err != nil {
		b.Fatal(err)
	}
	c := ts.onlyConn(idle)
	for b.Loop() {
		if c.Gone() {
			b.Fatal("a connected client was reported as gone")
		}
	}
}

package session

import (
	"net/http"
	"testing"
	"time"
)

// BenchmarkCall is one request and its answer over a connection that stays, one at a time:
//
//	go test -run - -bench Call -benchtime 3s -count 5 ./internal/front/session
func BenchmarkCall(b *testing.B) {
	h := newHall(b, Config{})
	h.desk.atOnce = true
	g := h.enter()
	_ = g.c.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		g.send(request)
		r, err := http.ReadResponse(g.r, nil)
		if err != nil {
			b.Fatal(err)
		}
		_ = r.Body.Close()
	}
}

// BenchmarkGone is the look at whether a client has ended its side:
//
//	go test -run - -bench Gone ./internal/front/session
func BenchmarkGone(b *testing.B) {
	h := newHall(b, Config{})
	h.desk.atOnce = true
	g := h.enter()
	g.send(request)
	if _, _, err := g.answer(); err != nil {
		b.Fatal(err)
	}
	c := h.only(idle)
	for b.Loop() {
		if c.Gone() {
			b.Fatal("a client that is there has gone")
		}
	}
}

package main_test

import (
	"testing"
	"time"

	"cherryramp/lab/conformance"
)

// The whole suite against the started program. What reaches the nodes is
// counted: nothing that was to be refused.
func TestConformance(t *testing.T) {
	w, err := conformance.New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, 1, string(w.Operator("LISTEN")))
	s.boxes[0].serveAll()
	cases, may := w.Cases(), 0
	for _, c := range cases {
		if c.Status < 400 || c.Status == 416 {
			may++
		}
	}
	failed, err := conformance.Run(s.signed, cases, patience)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range failed {
		t.Error(f)
	}
	if came := s.boxes[0].taken.Load(); came > int64(may) || came == 0 {
		t.Errorf("%d requests came to the node, %d may", came, may)
	}
	for _, n := range []*node{s.parent, s.origin} {
		if len(n.came) > 0 {
			t.Error("a request came to a parent or the origin")
		}
	}
	t.Logf("%d cases, %d of them let in", len(cases), may)
}

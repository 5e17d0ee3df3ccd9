package main_test

import (
	"testing"
	"time"

	"cherryramp/lab/conformance"
)

// Runs the whole conformance suite against the started front. Guards against a request that
// should be refused reaching a node: the requests that reach nodes are counted.
func TestConformance(t *testing.T) {
	w, err := conformance.New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s := newSite(t, 1, string(w.OperatorFile("LISTEN")))
	s.boxes[0].serveAll()
	cases, accepted := w.Cases(), 0
	for _, c := range cases {
		if c.Status < 400 || c.Status == 416 {
			accepted++
		}
	}
	failed, err := conformance.Run(s.signedAddr, cases, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range failed {
		t.Error(f)
	}
	if reached := s.boxes[0].served.Load(); reached > int64(accepted) || reached == 0 {
		t.Errorf("%d requests reached the node, at most %d should", reached, accepted)
	}
	for _, n := range []*node{s.parent, s.origin} {
		if len(n.commands) > 0 {
			t.Error("a request reached the parent or the origin")
		}
	}
	t.Logf("%d cases, %d of them accepted", len(cases), accepted)
}

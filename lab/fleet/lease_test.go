package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// requestPage requests a page from a front and returns the status and the time after which
// to retry.
func requestPage(p *Process, id string) (status int, retryAfter string, err error) {
	return requestPageOfClass(p, "page-asset", id)
}

func requestPageOfClass(p *Process, class, id string) (status int, retryAfter string, err error) {
	return p.RequestPage(class, id, 10*time.Second)
}

// One front is suspended and one is partitioned while an operation on a box is requested.
// The box must not be out before both leases have expired, and then it must be. The
// partitioned front refuses requests with a retry time once its lease has expired, and the
// resumed front refuses its first one. With connectivity restored both serve again.
func TestLeases(t *testing.T) {
	t.Parallel() // runs after the virtual-time tests, which replace the process's random source
	f := startFleet(t, Options{Fronts: 5, Zones: 5, Seed: 3, UseProxies: true, Rules: map[string]any{"out": 4, "zone": 4, "percent": 90, "hurt_percent": 90,
		"accept_s": 5, "empty_s": 1, "back_s": 20, "cold_s": 1, "alone_s": 4}})
	h := testFleet{f, t}
	l := h.awaitLeader()
	stopped, partitioned := h.otherThan(l), h.otherThan(l, h.otherThan(l))
	if status, _, err := requestPage(partitioned, "0000000000000001"); status != 200 {
		t.Fatalf("with a valid lease it answers %d, %v", status, err)
	}
	stopped.Signal(syscall.SIGSTOP)
	for _, q := range f.List {
		if q != partitioned {
			f.BlockLink(partitioned, q, true)
			f.BlockLink(q, partitioned, true)
		}
	}
	var result map[string]uint64
	waitFor(t, "the operation on the box is requested", func() bool {
		return l.Call(`FLEET WORK ASK {"machine":"s-0","box":true,"zone":"edge-1","span_s":60,"urgent":true}`, &result) == nil
	})
	waitFor(t, "the partitioned front refuses requests", func() bool {
		status, retryAfter, _ := requestPage(partitioned, fmt.Sprintf("%016x", time.Now().UnixNano()))
		return status == 503 && retryAfter != ""
	})
	if err := partitioned.Call("PING", nil); err == nil || !strings.Contains(err.Error(), "lease") {
		t.Errorf("its admin endpoint answers %v", err)
	}
	var reason map[string]string
	if err := l.Call("FLEET WORK WHY s-0", &reason); err != nil || operationPhase(l, "s-0") == "out" {
		t.Errorf("the box is out already: %v, %v", reason, err)
	}
	waitFor(t, "the box is out once both leases have expired", func() bool { return operationPhase(l, "s-0") == "out" })
	stopped.Signal(syscall.SIGCONT)
	if status, _, err := requestPage(stopped, "0000000000000002"); err != nil || status != 503 {
		// It may have been reached before the request arrived, and knows of the box then.
		s, _ := stopped.Status()
		if s.LeaseS <= 0 {
			t.Errorf("after it was resumed it answers %d, %v", status, err)
		}
	}
	f.Partition()
	waitFor(t, "both serve again", func() bool {
		a, _, _ := requestPage(partitioned, fmt.Sprintf("%016x", time.Now().UnixNano()))
		b, _, _ := requestPage(stopped, fmt.Sprintf("%016x", time.Now().UnixNano()))
		return a == 200 && b == 200
	})
	h.finishOperation(l, result["work"], "s-0")
	// The lease span is changed while all fronts are connected, and all adopt the new one.
	if err := l.Call(`FLEET RULES {"alone_s":0}`, nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "no front uses leases", func() bool {
		for _, p := range f.List {
			if s, err := p.Status(); err != nil || s.AloneS != 0 {
				return false
			}
		}
		return true
	})
	if err := l.Call(`FLEET RULES {"alone_s":3}`, nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all fronts use leases again", func() bool {
		for _, p := range f.List {
			if s, err := p.Status(); err != nil || s.AloneS != 3 || s.LeaseS <= 0 {
				return false
			}
		}
		return true
	})
	text, _ := json.Marshal(map[string]int{"out": 0})
	if err := l.Call("FLEET RULES "+string(text), nil); err == nil || !strings.Contains(err.Error(), "out") {
		t.Errorf("an invalid rule: %v", err)
	}
}

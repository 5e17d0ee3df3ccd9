package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// page asks a front for a page, and tells its status and when to come back.
func page(p *Process, id string) (status int, away string, err error) {
	return pageOf(p, "page-asset", id)
}

func pageOf(p *Process, class, id string) (status int, away string, err error) {
	return p.RequestPage(class, id, 10*time.Second)
}

// A front that is stopped, and one that is cut off, while a box is taken out: the
// box is not left before their leases are surely over, then it is; the one cut off
// refuses by itself, at once and with a time to come back, and the one that wakes does
// so with its first request. Heard again, both serve.
func TestLeases(t *testing.T) {
	t.Parallel() // after all that plays in virtual time, whose random source is the process's
	f := started(t, Options{Fronts: 5, Zones: 5, Seed: 3, UseProxies: true, Rules: map[string]any{"out": 4, "zone": 4, "percent": 90, "hurt_percent": 90,
		"accept_s": 5, "empty_s": 1, "back_s": 20, "cold_s": 1, "alone_s": 4}})
	h := hard{f, t}
	l := h.leader()
	stopped, cut := h.other(l), h.other(l, h.other(l))
	if status, _, err := page(cut, "0000000000000001"); status != 200 {
		t.Fatalf("with its lease it answers %d, %v", status, err)
	}
	stopped.Signal(syscall.SIGSTOP)
	for _, q := range f.List {
		if q != cut {
			f.BlockLink(cut, q, true)
			f.BlockLink(q, cut, true)
		}
	}
	var word map[string]uint64
	await(t, "the box is asked for", func() bool {
		return l.Call(`FLEET WORK ASK {"machine":"s-0","box":true,"zone":"edge-1","span_s":60,"urgent":true}`, &word) == nil
	})
	await(t, "the one cut off refuses by itself", func() bool {
		status, away, _ := page(cut, fmt.Sprintf("%016x", time.Now().UnixNano()))
		return status == 503 && away != ""
	})
	if err := cut.Call("PING", nil); err == nil || !strings.Contains(err.Error(), "lease") {
		t.Errorf("its door says %v", err)
	}
	var why map[string]string
	if err := l.Call("FLEET WORK WHY s-0", &why); err != nil || phase(l, "s-0") == "out" {
		t.Errorf("left already: %v, %v", why, err)
	}
	await(t, "the box is left once both leases are over", func() bool { return phase(l, "s-0") == "out" })
	stopped.Signal(syscall.SIGCONT)
	if status, _, err := page(stopped, "0000000000000002"); err != nil || status != 503 {
		// It may have been heard again before the request came, and knows of the box then.
		s, _ := stopped.Status()
		if s.LeaseS <= 0 {
			t.Errorf("woken, it answers %d, %v", status, err)
		}
	}
	f.Partition()
	await(t, "both serve again", func() bool {
		a, _, _ := page(cut, fmt.Sprintf("%016x", time.Now().UnixNano()))
		b, _, _ := page(stopped, fmt.Sprintf("%016x", time.Now().UnixNano()))
		return a == 200 && b == 200
	})
	h.finish(l, word["work"], "s-0")
	// The span is changed while all are there, and each lives by the new one.
	if err := l.Call(`FLEET RULES {"alone_s":0}`, nil); err != nil {
		t.Fatal(err)
	}
	await(t, "nobody lives by a lease any more", func() bool {
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
	await(t, "all live by one again", func() bool {
		for _, p := range f.List {
			if s, err := p.Status(); err != nil || s.AloneS != 3 || s.LeaseS <= 0 {
				return false
			}
		}
		return true
	})
	text, _ := json.Marshal(map[string]int{"out": 0})
	if err := l.Call("FLEET RULES "+string(text), nil); err == nil || !strings.Contains(err.Error(), "out") {
		t.Errorf("a rule that can't be: %v", err)
	}
}

package main_test

import (
	"bufio"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"cherryramp/internal/decide/counters"
)

// call makes one call at the operators' door and gives the lines of its answer.
func call(t *testing.T, addr, line string) []string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		t.Fatal(err)
	}
	var out []string
	for r := bufio.NewScanner(c); r.Scan(); {
		out = append(out, r.Text())
	}
	return out
}

// served has a new client ask for an object that the first box serves, and gives
// the client's connection, which stays open.
func (s *site) served(t *testing.T, name string) *client {
	t.Helper()
	c := dial(t, s.addr)
	c.send(get("guide-video", name, 2000))
	x := s.boxes[0].next(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, _ := c.answer("GET"); r.StatusCode != 200 {
		t.Fatalf("%s: got %d", name, r.StatusCode)
	}
	return c
}

// Guards against a door that answers late or wrongly: readiness, figures that
// count what was served, a lame duck that empties the front and says no, and a
// caller that sends half a call and holds on, which must cost nobody else.
func TestOperatorsDoor(t *testing.T) {
	door := freeAddress(t)
	s := newSiteEnv(t, 1, "", "ROUTER_OPS="+door)
	s.log.await(t, "ops="+door)
	half, err := net.Dial("tcp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	_, _ = half.Write([]byte("PI"))
	for got := call(t, door, "PING"); len(got) != 1 || got[0] != "ok ready"; got = call(t, door, "PING") {
		if len(got) != 1 || got[0] != "fail starting" {
			t.Fatalf("PING: %q; %s", got, s.log)
		}
	}
	c := s.served(t, "9f3a")
	info := call(t, door, "INFO")
	if len(info) != 2 || !strings.HasPrefix(info[0], "{") || info[1] != "eof" {
		t.Fatalf("INFO: %q", info)
	}
	var figs struct {
		Handled map[string]counters.ClassCounts `json:"handled"`
		Known   int                             `json:"known_cache_nodes"`
	}
	if err := json.Unmarshal([]byte(info[0]), &figs); err != nil {
		t.Fatal(err)
	}
	if v := figs.Handled["guide-video"]; v.Passed != 1 || v.Attempts != 1 || figs.Known != 3 {
		t.Errorf("figures: %s", info[0])
	}
	if got := call(t, door, "LAMEDUCK"); len(got) != 1 || got[0] != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	if got := call(t, door, "PING"); got[0] != "fail lame duck" {
		t.Errorf("PING of a lame duck: %q", got)
	}
	if !c.closed() {
		t.Error("an idle connection stays open in a lame duck")
	}
	late := dial(t, s.addr) // whoever routes clients may hear of the drain later than it does
	late.send(get("guide-video", "9f3c", 2000))
	x := s.boxes[0].next(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, _ := late.answer("GET"); r.StatusCode != 200 || !r.Close || !late.closed() {
		t.Errorf("a client that comes with the drain: %d, close %v", r.StatusCode, r.Close)
	}
	if !eventually(drainedBy, func() bool { return !accepts(s.addr) }) {
		t.Error("a draining front goes on taking new clients")
	}
	s.log.await(t, "drain: over")
	if got := call(t, door, "REJOIN"); got[0] != "ok rejoined" || call(t, door, "PING")[0] != "ok ready" {
		t.Errorf("REJOIN: %q", got)
	}
	s.served(t, "9f3b")
	if call(t, door, "LAMEDUCK"); call(t, door, "REJOIN")[0] != "ok rejoined" {
		t.Error("a drain is not taken back while it accepts")
	}
	time.Sleep(drainedBy) // past the moment at which its listener would have closed
	s.served(t, "9f3d")
	if got := call(t, door, "WHAT"); !strings.HasPrefix(got[0], `fail unknown call "WHAT"`) {
		t.Errorf("an unknown call: %q", got)
	}
}

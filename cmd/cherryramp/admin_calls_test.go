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

// adminCall makes one call at the admin endpoint and returns the lines of its reply.
func adminCall(t *testing.T, addr, line string) []string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		t.Fatal(err)
	}
	var out []string
	for r := bufio.NewScanner(c); r.Scan(); {
		out = append(out, r.Text())
	}
	return out
}

// fetchFromBox requests an object, which the first box serves, over a new connection and
// returns that connection, which stays open.
func (s *site) fetchFromBox(t *testing.T, name string) *client {
	t.Helper()
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", name, 2000))
	cmd := s.boxes[0].nextCommand(t)
	cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
	if r, _ := c.readResponse("GET"); r.StatusCode != 200 {
		t.Fatalf("%s: got %d", name, r.StatusCode)
	}
	return c
}

// Guards against an admin endpoint that replies late or wrongly: readiness, counters of served
// requests, LAMEDUCK, which drains the front and reports not ready, and a caller that sends
// half a call and keeps its connection, which must not affect other callers.
func TestAdminEndpoint(t *testing.T) {
	adminAddr := freeAddress(t)
	s := newSiteWithEnv(t, 1, "", "ROUTER_OPS="+adminAddr)
	s.log.await(t, "ops="+adminAddr)
	partial, err := net.Dial("tcp", adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer partial.Close()
	_, _ = partial.Write([]byte("PI"))
	for got := adminCall(t, adminAddr, "PING"); len(got) != 1 || got[0] != "ok ready"; got = adminCall(t, adminAddr, "PING") {
		if len(got) != 1 || got[0] != "fail starting" {
			t.Fatalf("PING: %q; %s", got, s.log)
		}
	}
	c := s.fetchFromBox(t, "9f3a")
	info := adminCall(t, adminAddr, "INFO")
	if len(info) != 2 || !strings.HasPrefix(info[0], "{") || info[1] != "eof" {
		t.Fatalf("INFO: %q", info)
	}
	var counts struct {
		Handled map[string]counters.ClassCounts `json:"handled"`
		Known   int                             `json:"known_cache_nodes"`
	}
	if err := json.Unmarshal([]byte(info[0]), &counts); err != nil {
		t.Fatal(err)
	}
	if v := counts.Handled["guide-video"]; v.Passed != 1 || v.Attempts != 1 || counts.Known != 3 {
		t.Errorf("counters: %s", info[0])
	}
	if got := adminCall(t, adminAddr, "LAMEDUCK"); len(got) != 1 || got[0] != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	if got := adminCall(t, adminAddr, "PING"); got[0] != "fail lame duck" {
		t.Errorf("PING while draining: %q", got)
	}
	if !c.waitClosed() {
		t.Error("an idle connection stays open while draining")
	}
	late := dial(t, s.addr) // what routes clients may learn of the drain later than the front
	late.send(getRequest("guide-video", "9f3c", 2000))
	x := s.boxes[0].nextCommand(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", objectBody(x))
	if r, _ := late.readResponse("GET"); r.StatusCode != 200 || !r.Close || !late.waitClosed() {
		t.Errorf("a client that connects as the drain starts: %d, close %v", r.StatusCode, r.Close)
	}
	if !eventually(drainTimeout, func() bool { return !accepts(s.addr) }) {
		t.Error("a draining front still accepts new clients")
	}
	s.log.await(t, "drain: over")
	if got := adminCall(t, adminAddr, "REJOIN"); got[0] != "ok rejoined" || adminCall(t, adminAddr, "PING")[0] != "ok ready" {
		t.Errorf("REJOIN: %q", got)
	}
	s.fetchFromBox(t, "9f3b")
	if adminCall(t, adminAddr, "LAMEDUCK"); adminCall(t, adminAddr, "REJOIN")[0] != "ok rejoined" {
		t.Error("a drain can't be reverted while the front still accepts")
	}
	time.Sleep(drainTimeout) // past the time at which its listener would have closed
	s.fetchFromBox(t, "9f3d")
	if got := adminCall(t, adminAddr, "WHAT"); !strings.HasPrefix(got[0], `fail unknown call "WHAT"`) {
		t.Errorf("an unknown call: %q", got)
	}
}

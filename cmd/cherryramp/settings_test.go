package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// reloadPlatform has the front read another file of the platform, and waits for what the log says of it.
func (s *site) reloadPlatform(text, until string) {
	s.t.Helper()
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	s.log.await(s.t, until)
}

// SIGHUP adds a class, changes another's effect and drops a third. What is open
// keeps the class under which it came, also where that has gone or means
// something else by now; what comes is under the new ones. Then the old file again.
func TestSettingsByGeneration(t *testing.T) {
	s := newSite(t, 1, "")
	first, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	video, asset := dial(t, s.addr), dial(t, s.addr)
	video.send(get("guide-video", "9f3a", 5000))
	open := s.boxes[0].next(t)
	asset.send(get("page-asset", "9f3b", 2000))
	dropped := s.boxes[0].next(t)

	second := strings.NewReplacer(
		`{"name":"page-asset","effect":"read_like","give-up-us":2000000`,
		`{"name":"rate-sheet","effect":"read_like","give-up-us":2000000`,
		`{"name":"guide-video","effect":"read_like"`, `{"name":"guide-video","effect":"non_idempotent"`,
		`"max-attempts":6`, `"max-attempts":2`).Replace(string(first))
	s.reloadPlatform(second, "generation=2")

	// The open read may still be tried again: its class was harmless when it came.
	open.reply("error", "why=broken", "")
	again := s.boxes[0].next(t)
	if again.id != open.id || again.fields["lane"] != open.fields["lane"] {
		t.Errorf("got %+v after %+v", again, open)
	}
	again.reply("ok", "sum=t1,t0=1,why=warm", object(again))
	if r, body := video.answer("GET"); r.StatusCode != 200 || body != object(again) {
		t.Errorf("the open read got %d", r.StatusCode)
	}
	dropped.reply("ok", "sum=t1,t0=1,why=warm", object(dropped))
	if r, body := asset.answer("GET"); r.StatusCode != 200 || body != object(dropped) {
		t.Errorf("the open read of the dropped class got %d", r.StatusCode)
	}
	// A new one of the same name must not: it may have run.
	video.send(get("guide-video", "9f3c", 5000))
	s.boxes[0].next(t).reply("error", "why=broken", "")
	if r, _ := video.answer("GET"); r.StatusCode != 502 {
		t.Errorf("a failed attempt of what must not run twice got %d", r.StatusCode)
	}
	asset.send(get("rate-sheet", "9f3d", 2000))
	x := s.boxes[0].next(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
	if r, _ := asset.answer("GET"); r.StatusCode != 200 || x.fields["lane"] == dropped.fields["lane"] {
		t.Errorf("the new class got %d as %s", r.StatusCode, x.fields["lane"])
	}
	asset.send(get("page-asset", "9f3e", 2000))
	if r, _ := asset.answer("GET"); r.StatusCode != 400 {
		t.Errorf("the dropped class got %d", r.StatusCode)
	}

	s.reloadPlatform(strings.Replace(second, `"zones":["hub","edge-1"]`, `"zones":["hub","edge-2"]`, 1), "settings.zones")
	s.reloadPlatform(string(first), "generation=4")
	back := dial(t, s.addr)
	back.send(get("page-asset", "9f3f", 2000))
	y := s.boxes[0].next(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
	if r, _ := back.answer("GET"); r.StatusCode != 200 {
		t.Errorf("the class that came back got %d", r.StatusCode)
	}
}

package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// reloadPlatform replaces the platform's file, sends SIGHUP, and waits until the log contains a text.
func (s *site) reloadPlatform(text, until string) {
	s.t.Helper()
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	s.log.await(s.t, until)
}

// Guards against a reload that changes open requests: SIGHUP adds a class, changes the effect of
// another and drops a third. An open request keeps the class that it came with, even if that is
// dropped or changed; new requests use the new classes. Then the first file is loaded again.
func TestSettingsByGeneration(t *testing.T) {
	s := newSite(t, 1, "")
	first, err := os.ReadFile(s.configPath)
	if err != nil {
		t.Fatal(err)
	}
	video, asset := dial(t, s.addr), dial(t, s.addr)
	video.send(getRequest("guide-video", "9f3a", 5000))
	open := s.boxes[0].nextCommand(t)
	asset.send(getRequest("page-asset", "9f3b", 2000))
	dropped := s.boxes[0].nextCommand(t)

	second := strings.NewReplacer(
		`{"name":"page-asset","effect":"read_like","give-up-us":2000000`,
		`{"name":"rate-sheet","effect":"read_like","give-up-us":2000000`,
		`{"name":"guide-video","effect":"read_like"`, `{"name":"guide-video","effect":"non_idempotent"`,
		`"max-attempts":6`, `"max-attempts":2`).Replace(string(first))
	s.reloadPlatform(second, "generation=2")

	// The open request may still be retried: its class was read_like when it came.
	open.reply("error", "why=broken", "")
	again := s.boxes[0].nextCommand(t)
	if again.id != open.id || again.fields["lane"] != open.fields["lane"] {
		t.Errorf("got %+v after %+v", again, open)
	}
	again.reply("ok", "sum=t1,t0=1,why=warm", objectBody(again))
	if r, body := video.readResponse("GET"); r.StatusCode != 200 || body != objectBody(again) {
		t.Errorf("the open request got %d", r.StatusCode)
	}
	dropped.reply("ok", "sum=t1,t0=1,why=warm", objectBody(dropped))
	if r, body := asset.readResponse("GET"); r.StatusCode != 200 || body != objectBody(dropped) {
		t.Errorf("the open request of the dropped class got %d", r.StatusCode)
	}
	// A new request of the same class must not be retried: it may have run.
	video.send(getRequest("guide-video", "9f3c", 5000))
	s.boxes[0].nextCommand(t).reply("error", "why=broken", "")
	if r, _ := video.readResponse("GET"); r.StatusCode != 502 {
		t.Errorf("a failed attempt of a non-idempotent request got %d", r.StatusCode)
	}
	asset.send(getRequest("rate-sheet", "9f3d", 2000))
	x := s.boxes[0].nextCommand(t)
	x.reply("ok", "sum=t1,t0=1,why=warm", objectBody(x))
	if r, _ := asset.readResponse("GET"); r.StatusCode != 200 || x.fields["lane"] == dropped.fields["lane"] {
		t.Errorf("the new class got %d as %s", r.StatusCode, x.fields["lane"])
	}
	asset.send(getRequest("page-asset", "9f3e", 2000))
	if r, _ := asset.readResponse("GET"); r.StatusCode != 400 {
		t.Errorf("the dropped class got %d", r.StatusCode)
	}

	s.reloadPlatform(strings.Replace(second, `"zones":["hub","edge-1"]`, `"zones":["hub","edge-2"]`, 1), "settings.zones")
	s.reloadPlatform(string(first), "generation=4")
	back := dial(t, s.addr)
	back.send(getRequest("page-asset", "9f3f", 2000))
	y := s.boxes[0].nextCommand(t)
	y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
	if r, _ := back.readResponse("GET"); r.StatusCode != 200 {
		t.Errorf("the restored class got %d", r.StatusCode)
	}
}

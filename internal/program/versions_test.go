package program

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cherryramp/internal/config"
	"cherryramp/internal/loopbacktest"
	"cherryramp/internal/transport"
	"cherryramp/lab/site"
	"cherryramp/rules"
)

// payoutClass is the index of the only class of the settings that may not run twice.
const payoutClass = 2

// writeFiles writes a platform's file in which payouts have an effect.
func writeFiles(t *testing.T, path, address, effect string) *config.Files {
	t.Helper()
	settings := strings.ReplaceAll(site.Settings(), "non_idempotent", effect)
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"settings":%s}`, address, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", path)
	files, err := config.ReadFiles(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against payouts that run twice after SIGHUP: a version of the fleet that was checked
// before it, or is rolled back after it, must not bring back the files of that time.
func TestVersionIsAppliedToFilesInForce(t *testing.T) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	if err := transport.Setup(quiet); err != nil {
		t.Fatal(err)
	}
	address, err := loopbacktest.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	files := writeFiles(t, path, address, "read_like")
	cfg, operator, err := files.Load(nil)
	if err != nil {
		t.Fatal(err)
	}
	p, err := build(cfg, operator, quiet)
	if err != nil {
		t.Fatal(err)
	}
	p.files = files
	ended := make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	t.Cleanup(func() { p.loop.Post(p.loop.Quit); <-ended })
	onLoop := func(f func() error) {
		t.Helper()
		done := make(chan error)
		p.loop.Post(func() { done <- f() })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	wantEffect := func(when string, want rules.Effect) {
		t.Helper()
		onLoop(func() error {
			if got := p.table.Classes()[p.table.InForce()[payoutClass]].Effect; got != want {
				return fmt.Errorf("%s payouts have the effect %d, want %d", when, got, want)
			}
			return nil
		})
	}

	host, version := fleetHost{p}, []byte(`{"settings":{"goal":{"whole":0.5}}}`)
	checked := make(chan error, 1)
	onLoop(func() error { host.CheckVersion(version, func(err error) { checked <- err }); return nil })
	if err := <-checked; err != nil {
		t.Fatal(err)
	}
	wantEffect("at first", rules.Safe)
	files = writeFiles(t, path, address, "non_idempotent")
	next := &checkedVersion{}
	err = next.combine(files)
	onLoop(func() error { p.reload(next, err); return nil })
	wantEffect("after SIGHUP", rules.Unsafe)
	onLoop(func() error { return host.ActivateVersion(1, version) })
	wantEffect("under the version", rules.Unsafe)
	writeFiles(t, path, address, "read_like") // without SIGHUP
	onLoop(func() error { return host.ActivateVersion(0, nil) })
	wantEffect("without the version", rules.Unsafe)
}

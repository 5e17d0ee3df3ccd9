package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against operator's files in deploy that no longer load.
func TestDeployedFilesLoad(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/*.json")
	if err != nil || len(paths) < 2 {
		t.Fatalf("found %v, %v", paths, err)
	}
	for _, path := range paths {
		if name := filepath.Base(path); name == "operator-fleet.json" || name == "operator-exchange.json" {
			continue // their key files are the installation's own; see TestFleetSection and TestExchangeSection
		}
		if _, err := LoadOperator(func(string) string { return path }); err != nil {
			t.Error(err)
		}
	}
}

// Guards against faults that are not reported, or reported without the key, and
// against an error that contains a secret.
func TestOperatorErrorsNameTheKey(t *testing.T) {
	good, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ key, from, to string }{
		{"signed.listen", "127.0.0.1:8443", "localhost"},
		{"signed.branch", `"edge-1"`, `""`},
		{"signed.skew_ms", "2000", "60000"},
		{"signed.skew_ms", "2000", `"2 s"`},
		{"signed.url_base", "https://files.padma.example", "files.padma.example"},
		{"signed.token_name", `"hdnts"`, `"a&b"`},
		{"signed.url_keys[1].name", "receipts-2026-12", "receipts-2026-11"},
		{"signed.url_keys[0].secret", "cmVwbGFjZS1tZS0yMDExIQ==", "c2VjcmV0"},
		{"signed.token_keys[1].secret", "7265706c6163652d6d652d746f6b656e2d32303132", "c2VjcmV0"},
		{"ephemeral.path", `"signed"`, `"ephemeral":{"servers":["127.0.0.1:1"],"path":"x"},"signed"`},
		{"ephemeral.servers[0]", `"signed"`, `"ephemeral":{"servers":["x"],"path":"/x"},"signed"`},
	} {
		text := strings.Replace(string(good), x.from, x.to, 1)
		if _, err := ParseOperator([]byte(text), "../../deploy"); err == nil || !strings.Contains(err.Error(), x.key) ||
			strings.Contains(err.Error(), "c2VjcmV0") {
			t.Errorf("%s: got %v", x.key, err)
		}
	}
}

package config

import (
	"os"
	"strings"
	"testing"
)

// Guards against faults of the full form that are not reported, or reported without
// the key.
func TestSignedErrorsNameTheKey(t *testing.T) {
	good, err := os.ReadFile("../../deploy/operator-signed.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ key, from, to string }{
		{"signed.rings[0].keys[0].state", `"retiring"`, `"resting"`},
		{"signed.rings[0].keys[0].until", "2026-12-08T00:00:00Z", "tomorrow"},
		{"signed.rings[0].keys[2].from: belongs", `"state": "next"`, `"state": "active"`},
		{"signed.rings[0].keys[1].secret: 2 of", `{"name": "app-2026-12", `, `{"name": "app-2026-12", "secret_hex": "00", `},
		{"signed.rings[0].keys[1].pem_file", `{"name": "app-2026-12", "secret": "replace-me-2026-12-0123456789abcdef"`, `{"name": "app-2026-12", "pem_file": "absent.pem"`},
		{"signed.rings[0].jwk_file", `{"name": "app", "keys"`, `{"name": "app", "jwk_file": "operator.json", "keys"`},
		{"signed.rings[1].keys[0].pem", "BEGIN PUBLIC KEY", "BEGIN CERTIFICATE"},
		{"signed.rings[1].keys[0].skew_ms", `"skew_ms": 5000`, `"skew_ms": 50000`},
		{"signed.rings[1].name", `"name": "partner", "keys"`, `"name": "app", "keys"`},
		{"signed.tenants[0].paths[0]", `"/files/guide-video/"`, `"files"`},
		{"signed.tenants[1].rate", `"rate": 500`, `"rate": -1`},
		{"signed.tenants[1].name", `{"name": "partner", "rate"`, `{"name": "members", "rate"`},
		{"signed.profiles[0].format", `"cdni"`, `"jwt"`},
		{"signed.profiles[0].tenant", `"tenant": "members", "format": "cdni"`, `"tenant": "nobody", "format": "cdni"`},
		{"signed.profiles[1].ring", `"ring": "partner"`, `"ring": "nothing"`},
		{"signed.profiles[1].ring: key", `"format": "cloudfront", "ring": "partner"`, `"format": "cloudfront", "ring": "links"`},
		{"signed.profiles[1].base", `"ring": "partner", "base": "https://files.padma.example"`, `"ring": "partner"`},
		{"signed.profiles[2].describe.message", `{path}{ip}`, `{ip}`},
		{"signed.profiles[2].describe.token", `"{mac}"`, `"{mac}{expires}"`},
		{"signed.profiles[2].describe.digest", `"md5", "encoding"`, `"crc", "encoding"`},
		{"signed.profiles[2].uses", `"uses": 1`, `"uses": -1`},
		{"signed.pool.workers", `"workers": 2`, `"workers": 99`},
		{"signed.cors.origins[0]", `"https://app.padma.example"`, `"app.padma.example"`},
		{"signed.cors.credentials", `"origins": ["https://app.padma.example"]`, `"credentials": true, "origins": ["*"]`},
		{"signed.classes.guide-video.type", `"video/mp4"`, `"video"`},
		{"signed.revoked.paths[0]", `"paths": []`, `"paths": ["x"]`},
	} {
		text := strings.Replace(string(good), x.from, x.to, 1)
		if text == string(good) {
			t.Fatalf("%s: the replacement changed nothing", x.key)
		}
		if _, err := ParseOperator([]byte(text), "../../deploy"); err == nil || !strings.Contains(err.Error(), x.key) ||
			strings.Contains(err.Error(), "replace-me") {
			t.Errorf("%s: got %v", x.key, err)
		}
	}
	// Several faults are reported in one error, one per line.
	text := strings.NewReplacer(`"video/mp4"`, `"video"`, `"workers": 2`, `"workers": 99`, `"retiring"`, `"resting"`).Replace(string(good))
	if _, err := ParseOperator([]byte(text), "../../deploy"); err == nil || strings.Count(err.Error(), "\n") < 2 {
		t.Errorf("got %v", err)
	}
}

// Guards against values of the clients section that are out of bounds and accepted, or
// rejected without the key.
func TestClientsErrorsNameTheKey(t *testing.T) {
	for key, text := range map[string]string{"clients.idle_ms": `{"idle_ms":5}`, "clients.request_ms": `{"request_ms":-1}`,
		"clients.held": `{"held":-1}`, "clients.each_prefix": `{"each_prefix":99999999}`, "clients.admission": `{"admission":"all"}`, "seldom": `{"seldom":1}`} {
		if _, err := ParseOperator([]byte(`{"clients":`+text+`}`), "."); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got %v", key, err)
		}
	}
}

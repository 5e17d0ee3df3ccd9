package discovery

import (
	"testing"

	"pgregory.net/rapid"

	"cherryramp/rules"
)

const updateText = `{"rev":43,"notices":[{"rev":41,"pool":{"revision":7,"complete":false,"members":[
	{"id":"s-1","host_port":"127.0.0.9:8080","locality":"east","flavor":"std","cell":2,"phase":"DRAINING",
	"size":4,"up_since_ms":5}]}},
	{"rev":42,"flush":{"asset":"7f3a","ms":1764576000123}},{"rev":43,"flush":{"collection":17,"ms":9}}]}`

func TestParseUpdate(t *testing.T) {
	n, err := ParseUpdate([]byte(updateText))
	if err != nil || n.Last != 43 || len(n.Events) != 3 {
		t.Fatalf("got %+v, %v", n, err)
	}
	m := n.Events[0].List.Members[0]
	if n.Events[0].List.Full || m.State != rules.Draining || m.StartedAt != 5000 || m.Addr != "127.0.0.9:8080" {
		t.Errorf("member: %+v", m)
	}
	if p := n.Events[1].Purge; p.Object != "7f3a" || p.At != 1764576000123000 {
		t.Errorf("purge of an object: %+v", p)
	}
	if p := n.Events[2].Purge; p.Object != "" || p.Group != 17 {
		t.Errorf("purge of a group: %+v", p)
	}
	for _, bad := range []string{"", "[]", `{"notices":[]}`, `{"rev":"x"}`,
		`{"rev":1,"notices":[{"rev":1,"pool":{"members":[{"id":"s","phase":"ODD"}]}}]}`} {
		if _, err := ParseUpdate([]byte(bad)); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}

// Guards against a panic on an update that is cut off or altered.
func TestParseUpdateOfGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(updateText)[:rapid.IntRange(0, len(updateText)-1).Draw(t, "cut")]
		if _, err := ParseUpdate(b); err == nil {
			t.Fatalf("a cut update was accepted: %s", b)
		}
		b = []byte(updateText)
		b[rapid.IntRange(0, len(b)-1).Draw(t, "place")] = rapid.Byte().Draw(t, "byte")
		_, _ = ParseUpdate(b) // an error or not, but no panic
	})
}

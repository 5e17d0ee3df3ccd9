package world

import (
	"encoding/json"
	"reflect"
	"testing"

	"cherryramp/internal/config"
)

// Built fronts are told what those in this process are.
func TestDocumentSaysTheSame(t *testing.T) {
	spec := Default()
	zone := len(spec.Hubs) + 1
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:1", "limits": map[string]any{"sockets": descriptors}, "settings": spec.document(zone)})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := spec.settings(zone); !reflect.DeepEqual(cfg.Settings, want) {
		t.Errorf("read as\n%+v\nfor\n%+v", cfg.Settings, want)
	}
	if cfg.StreamsPerConn != streams || cfg.ConnIdleTimeout != connIdle || !reflect.DeepEqual(cfg.Zones, spec.zones()) || !reflect.DeepEqual(cfg.Kinds, kinds) {
		t.Errorf("%+v", cfg)
	}
}

package keyring

import (
	"encoding/json"
	"errors"

	"github.com/go-jose/go-jose/v4"
)

// unmarshal reads a set strictly enough that a lone key is no empty set.
func unmarshal(text []byte, set *jose.JSONWebKeySet) error {
	var raw struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if json.Unmarshal(text, &raw) != nil || len(raw.Keys) == 0 {
		return errors.New("not a JWK set with keys")
	}
	if json.Unmarshal(text, set) != nil { // the cause could show a secret
		return errors.New("a key of the JWK set can't be read")
	}
	return nil
}

package keyring

import (
	"encoding/json"
	"errors"

	"github.com/go-jose/go-jose/v4"
)

// unmarshalSet reads a JWK set and rejects a single key, which jose would read as an
// empty set.
func unmarshalSet(text []byte, set *jose.JSONWebKeySet) error {
	var raw struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if json.Unmarshal(text, &raw) != nil || len(raw.Keys) == 0 {
		return errors.New("not a JWK set with keys")
	}
	if json.Unmarshal(text, set) != nil { // the cause could contain a secret
		return errors.New("a key of the JWK set can't be read")
	}
	return nil
}

// Package keyring holds the rings of keys that links are checked against: which keys
// there are, the state of each, and which one signs. A ring is built from the
// operator's configuration and never modified; a reload replaces it.
//
// The package reads no file and no clock: the caller passes in the bytes of secrets,
// PEM blocks and JWK sets, and the time for which a key's state is evaluated.
package keyring

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/go-jose/go-jose/v4"
)

// Micros is a Unix time or a duration in microseconds.
type Micros = int64

// Bounds of a ring and of a key.
const (
	MaxKeys        = 32 // in a ring; a token that names no key is checked against all of them
	MaxNameBytes   = 63 // of a key's name
	MinRSABits     = 2048
	MaxRSABits     = 4096 // the cost of a check grows with the square
	MinSecretBytes = 16
)

// State is the configured state of a key, which limits its use.
type State uint8

// The states, in the order in which a key passes through them.
const (
	Next     State = iota // checks links from TransitionAt on; does not sign yet
	Active                // checks and signs
	Retiring              // checks links until TransitionAt; does not sign any more
	Revoked               // no link of this key is accepted
)

var stateNames = [...]string{"next", "active", "retiring", "revoked"}

func (s State) String() string { return stateNames[s] }

// ParseState parses a state's name; an empty one means Active.
func ParseState(name string) (State, error) {
	if name == "" {
		return Active, nil
	}
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("%q is not next, active, retiring or revoked", name)
}

// Kind is the type of a key, which determines what it can check.
type Kind uint8

// The kinds.
const (
	Secret  Kind = iota // keyed digests with a shared secret
	RSA                 // PKCS #1 v1.5 signatures
	P256                // ECDSA signatures on the curve P-256
	Ed25519             // signatures of RFC 8032
)

func (k Kind) String() string { return [...]string{"secret", "RSA", "P-256", "Ed25519"}[k] }

// Costly reports whether one check takes tens of microseconds and must therefore not
// run on the event loop.
func (k Kind) Costly() bool { return k != Secret }

// Key is one key of a ring.
type Key struct {
	Name         string
	State        State
	TransitionAt Micros // of Next: when the key becomes valid; of Retiring: when it stops being valid; 0: unset
	Kind         Kind
	Bytes        []byte           // the secret, of kind Secret
	Public       crypto.PublicKey // the public key, of the other kinds
	Signer       crypto.Signer    // nil without a private key
	Alg          string           // its only JWS algorithm, such as HS256
	Skew         Micros           // tolerated difference of its signer's clock; -1: the profile's
}

// Validity is whether a key may be used at a given time, and why not.
type Validity uint8

// The validities.
const (
	Valid       Validity = iota
	NotYetValid          // of state Next, before TransitionAt
	Retired              // of state Retiring, from TransitionAt on
	Withdrawn            // of state Revoked
)

// ValidityAt reports whether the key's links may be accepted at a time.
func (k *Key) ValidityAt(now Micros) Validity {
	switch {
	case k.State == Revoked:
		return Withdrawn
	case k.State == Next && k.TransitionAt > now:
		return NotYetValid
	case k.State == Retiring && k.TransitionAt > 0 && k.TransitionAt <= now:
		return Retired
	}
	return Valid
}

// Ring is the keys of one profile.
type Ring struct {
	Name   string
	Keys   []*Key
	byName map[string]*Key
}

// New makes a ring of 1 to MaxKeys keys. The error names the key that can't be used;
// the ring keeps keys, and sets a missing Alg in them.
func New(name string, keys []*Key) (*Ring, error) {
	r := &Ring{Name: name, Keys: keys, byName: make(map[string]*Key, len(keys))}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("keys: %d keys, 1 to %d are allowed", len(keys), MaxKeys)
	}
	for i, k := range keys {
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("keys[%d].%w", i, err)
		}
		if r.byName[k.Name] != nil {
			return nil, fmt.Errorf("keys[%d].name: %q occurs twice", i, k.Name)
		}
		r.byName[k.Name] = k
	}
	return r, nil
}

func (k *Key) check() error {
	if k.Name == "" || len(k.Name) > MaxNameBytes || strings.ContainsAny(k.Name, "&=?#%+ ~:/;,\"") {
		return fmt.Errorf("name: %q is empty, too long or has one of the characters &=?#%%+ ~:/;,\"", k.Name)
	}
	if k.State == Retiring && k.TransitionAt == 0 {
		return errors.New("until: missing, a retiring key needs a time of retirement")
	}
	if k.Kind == Secret && len(k.Bytes) < MinSecretBytes {
		return fmt.Errorf("secret: %d bytes, at least %d are needed", len(k.Bytes), MinSecretBytes)
	}
	if key, ok := k.Public.(*rsa.PublicKey); ok {
		if bits := key.N.BitLen(); bits < MinRSABits || bits > MaxRSABits || key.E != 65537 {
			return fmt.Errorf("public: RSA of %d bits, exponent %d; %d to %d bits and 65537 are allowed",
				bits, key.E, MinRSABits, MaxRSABits)
		}
	}
	if k.Alg == "" {
		k.Alg = algorithms[k.Kind]
	}
	if algorithms[k.Kind] != k.Alg {
		return fmt.Errorf("alg: %q does not match a key of kind %s", k.Alg, k.Kind)
	}
	return nil
}

// algorithms are the JWS names (RFC 7518, RFC 8037). There is one per kind, so that the
// algorithm that a token claims can never choose the kind of key.
var algorithms = [...]string{Secret: "HS256", RSA: "RS256", P256: "ES256", Ed25519: "EdDSA"}

// Find gives the key with a name, or nil.
func (r *Ring) Find(name string) *Key { return r.byName[name] }

// SigningKey gives the key that signs: the last active one with a secret or private
// key; nil: there is none.
func (r *Ring) SigningKey() *Key {
	for _, k := range slices.Backward(r.Keys) {
		if k.State == Active && (k.Kind == Secret || k.Signer != nil) {
			return k
		}
	}
	return nil
}

// FromPEM parses the single key of a PEM text: a public key (PKIX, PKCS #1), but not a
// certificate's, or a private key (PKCS #8, PKCS #1, SEC 1), whose public key is used
// for checks.
func FromPEM(name string, text []byte) (*Key, error) {
	block, rest := pem.Decode(text)
	if block == nil {
		return nil, errors.New("no PEM block")
	}
	if strings.TrimSpace(string(rest)) != "" {
		return nil, errors.New("more than one PEM block")
	}
	var key any
	var err error
	switch block.Type {
	case "PUBLIC KEY":
		key, err = x509.ParsePKIXPublicKey(block.Bytes)
	case "RSA PUBLIC KEY":
		key, err = x509.ParsePKCS1PublicKey(block.Bytes)
	case "PRIVATE KEY":
		key, err = x509.ParsePKCS8PrivateKey(block.Bytes)
	case "RSA PRIVATE KEY":
		key, err = x509.ParsePKCS1PrivateKey(block.Bytes)
	case "EC PRIVATE KEY":
		key, err = x509.ParseECPrivateKey(block.Bytes)
	default:
		return nil, fmt.Errorf("PEM block %q is not a key", block.Type)
	}
	if err != nil {
		return nil, fmt.Errorf("PEM block %q can't be read", block.Type) // the cause could contain a secret
	}
	return newKey(name, key)
}

// FromJWK parses the keys of a JWK set (RFC 7517) that are meant for signatures; it
// skips the others.
func FromJWK(text []byte) ([]*Key, error) {
	var set jose.JSONWebKeySet
	if err := unmarshalSet(text, &set); err != nil {
		return nil, err
	}
	var keys []*Key
	for i, j := range set.Keys {
		if j.Use != "" && j.Use != "sig" {
			continue
		}
		k, err := newKey(j.KeyID, j.Key)
		if err != nil {
			return nil, fmt.Errorf("keys[%d]: %w", i, err)
		}
		k.Alg = j.Algorithm
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, errors.New("no key for signatures")
	}
	return keys, nil
}

func newKey(name string, key any) (*Key, error) {
	k := &Key{Name: name, State: Active, Skew: -1}
	if signer, ok := key.(crypto.Signer); ok {
		k.Signer, key = signer, signer.Public()
	}
	switch x := key.(type) {
	case []byte:
		k.Kind, k.Bytes = Secret, x
		return k, nil
	case *rsa.PublicKey:
		k.Kind = RSA
	case *ecdsa.PublicKey:
		if x.Curve != elliptic.P256() {
			return nil, fmt.Errorf("curve %s is not P-256", x.Curve.Params().Name)
		}
		k.Kind = P256
	case ed25519.PublicKey:
		k.Kind = Ed25519
	default:
		return nil, fmt.Errorf("a key of type %T is not supported", key)
	}
	k.Public = key
	return k, nil
}

// Package keyring holds rings of keys that links are checked against: which
// keys there are, in what state each is, and which one signs. A ring is made
// whole from the operator's words and never changed; a new one takes its place.
//
// It reads no file and knows no clock: whoever reads the configuration hands in
// the bytes of secrets, PEM blocks and JWK sets, and every question about a
// state comes with the moment it is asked for.
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

// Micros is a moment or a span in microseconds of the Unix clock.
type Micros = int64

// Bounds of a ring and of a key.
const (
	MaxKeys        = 32   // in a ring; a token without a key's name is tried against all of them
	MaxNameBytes   = 63   // bytes of a key's name
	MinRSABits     = 2048 // bits
	MaxRSABits     = 4096 // bits; a check's cost grows with the square
	MinSecretBytes = 16   // bytes
)

// State is what a key may be used for.
type State uint8

// The states, in the order of a key's life.
const (
	Next     State = iota // checks links from its moment on, and signs none yet
	Active                // checks and signs
	Retiring              // checks until its moment, and signs no more
	Revoked               // lets nothing in, whatever the link says
)

var stateNames = [...]string{"next", "active", "retiring", "revoked"}

func (s State) String() string { return stateNames[s] }

// ParseState reads a state's name; the empty one is Active.
func ParseState(name string) (State, error) {
	if name == "" {
		return Active, nil
	}
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("%q is not next, active, retiring or revoked", name)
}

// Kind is what a key can check.
type Kind uint8

// The kinds.
const (
	Secret  Kind = iota // a digest keyed by a shared secret
	RSA                 // PKCS #1 v1.5 signatures
	P256                // ECDSA on the curve P-256
	Ed25519             // RFC 8032
)

func (k Kind) String() string { return [...]string{"secret", "RSA", "P-256", "Ed25519"}[k] }

// Costly tells whether one check takes tens of microseconds, so that it must
// not run on the event loop.
func (k Kind) Costly() bool { return k != Secret }

// Key is one key of a ring.
type Key struct {
	Name         string
	State        State
	TransitionAt Micros // of Next: when it begins to count; of Retiring: when it stops; 0: unset
	Kind         Kind
	Bytes        []byte           // of Secret
	Public       crypto.PublicKey // of the other kinds
	Signer       crypto.Signer    // with a private half, else nil
	Alg          string           // the one JWS algorithm it is for, as HS256
	Skew         Micros           // that its signer's clock may differ by; -1: as the profile has it
}

// Standing is what a key's state means at a moment.
type Validity uint8

// The standings.
const (
	Valid Validity = iota
	NotYetValid
	Retired
	Withdrawn
)

// At tells whether the key may let anything in at a moment.
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

// New makes a ring, or names the key that can't be in it.
func New(name string, keys []*Key) (*Ring, error) {
	r := &Ring{Name: name, Keys: keys, byName: make(map[string]*Key, len(keys))}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("keys: %d of them, 1 to %d can be held", len(keys), MaxKeys)
	}
	for i, k := range keys {
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("keys[%d].%w", i, err)
		}
		if r.byName[k.Name] != nil {
			return nil, fmt.Errorf("keys[%d].name: %q is taken twice", i, k.Name)
		}
		r.byName[k.Name] = k
	}
	return r, nil
}

func (k *Key) check() error {
	if k.Name == "" || len(k.Name) > MaxNameBytes || strings.ContainsAny(k.Name, "&=?#%+ ~:/;,\"") {
		return fmt.Errorf("name: %q is empty, too long or holds odd signs", k.Name)
	}
	if k.State == Retiring && k.TransitionAt == 0 {
		return errors.New("until: missing, a retiring key needs its last moment")
	}
	if k.Kind == Secret && len(k.Bytes) < MinSecretBytes {
		return fmt.Errorf("secret: %d bytes are too short, %d at least", len(k.Bytes), MinSecretBytes)
	}
	if key, ok := k.Public.(*rsa.PublicKey); ok {
		if bits := key.N.BitLen(); bits < MinRSABits || bits > MaxRSABits || key.E != 65537 {
			return fmt.Errorf("public: RSA of %d bits, exponent %d; %d to %d bits and 65537 are taken",
				bits, key.E, MinRSABits, MaxRSABits)
		}
	}
	if k.Alg == "" {
		k.Alg = algorithms[k.Kind]
	}
	if algorithms[k.Kind] != k.Alg {
		return fmt.Errorf("alg: %q does not fit a key of kind %s", k.Alg, k.Kind)
	}
	return nil
}

// algorithms are the JWS names (RFC 7518, RFC 8037), one a kind, so that what a
// token says of its algorithm can never choose the kind of key.
var algorithms = [...]string{Secret: "HS256", RSA: "RS256", P256: "ES256", Ed25519: "EdDSA"}

// Find gives the key of a name, or nil.
func (r *Ring) Find(name string) *Key { return r.byName[name] }

// Signing gives the key that signs at a moment: the last active one that can.
func (r *Ring) SigningKey() *Key {
	for _, k := range slices.Backward(r.Keys) {
		if k.State == Active && (k.Kind == Secret || k.Signer != nil) {
			return k
		}
	}
	return nil
}

// FromPEM takes the one key in a PEM text: a public key (PKIX), a certificate's
// is not taken, or a private one (PKCS #8, PKCS #1, SEC 1), whose public half is used.
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
		return nil, fmt.Errorf("PEM block %q holds no key", block.Type)
	}
	if err != nil {
		return nil, fmt.Errorf("PEM block %q can't be read", block.Type) // the cause could show a secret
	}
	return from(name, key)
}

// FromJWK takes the keys of a JWK set (RFC 7517) that are meant for signatures.
func FromJWK(text []byte) ([]*Key, error) {
	var set jose.JSONWebKeySet
	if err := unmarshal(text, &set); err != nil {
		return nil, err
	}
	var keys []*Key
	for i, j := range set.Keys {
		if j.Use != "" && j.Use != "sig" {
			continue
		}
		k, err := from(j.KeyID, j.Key)
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

func from(name string, key any) (*Key, error) {
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
		return nil, fmt.Errorf("a %T can't be used", key)
	}
	k.Public = key
	return k, nil
}

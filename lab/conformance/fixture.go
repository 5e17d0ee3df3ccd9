// Package conformance is the project's own suite of the signed front: what each
// format of link has to say and what becomes of it, good, stale, altered, cut,
// doubled, misplaced or forged, and what clients use of HTTP beside it.
//
// A case is the bytes of one request and what must come of it. The same cases
// run against the pure verdict, against the started program and, by address,
// against any server that the world's operator's file has been given to. The
// links are made here, by the formats' published recipes and another library of
// JWTs than the one that the front verifies with; nothing of internal/decide
// signs them.
package conformance

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"time"
)

// The world's own facts.
const (
	BaseURL = "https://files.example"
	Branch  = "edge-1"
	Path    = "/files/guide-video/17/9f3a"
	Target  = Path + "?seg=3"
	// Tag and Size are of the object that Target names, which the stand-ins
	// behind the front must hold.
	ObjectTag  = "t1"
	ObjectSize = 14_000

	secret      = "0123456789abcdef0123456789abcdef"
	otherSecret = "fedcba9876543210fedcba9876543210"
)

// World is the keys and the moment that cases are made for.
type Fixture struct {
	Now      time.Time
	rsa      *rsa.PrivateKey
	ec       *ecdsa.PrivateKey
	ed       ed25519.PrivateKey
	unlisted struct { // of the same kinds, and known to nobody
		rsa *rsa.PrivateKey
		ec  *ecdsa.PrivateKey
		ed  ed25519.PrivateKey
	}
}

// New makes a world with keys of its own, whose links begin and end round a moment.
func New(now time.Time) (*Fixture, error) {
	fixture := &Fixture{Now: now}
	var err error
	for _, x := range []struct {
		rsa **rsa.PrivateKey
		ec  **ecdsa.PrivateKey
		ed  *ed25519.PrivateKey
	}{{&fixture.rsa, &fixture.ec, &fixture.ed}, {&fixture.unlisted.rsa, &fixture.unlisted.ec, &fixture.unlisted.ed}} {
		if *x.rsa, err = rsa.GenerateKey(rand.Reader, 2048); err == nil {
			*x.ec, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		}
		if err == nil {
			_, *x.ed, err = ed25519.GenerateKey(rand.Reader)
		}
		if err != nil {
			return nil, fmt.Errorf("conformance: %w", err)
		}
	}
	return fixture, nil
}

// Keys is the world's private keys, for Load.
func (fixture *Fixture) Keys() ([]byte, error) {
	var out []byte
	for _, k := range []any{fixture.rsa, fixture.ec, fixture.ed} {
		der, err := x509.MarshalPKCS8PrivateKey(k)
		if err != nil {
			return nil, fmt.Errorf("conformance: %w", err)
		}
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})...)
	}
	return out, nil
}

// Load takes the keys of another world, whose operator's file a server was given.
func (fixture *Fixture) LoadKeys(keys []byte) error {
	n := 0
	for block, rest := pem.Decode(keys); block != nil; block, rest = pem.Decode(rest) {
		key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
		if err != nil {
			return fmt.Errorf("conformance: keys: %w", err)
		}
		n++
		switch k := key.(type) {
		case *rsa.PrivateKey:
			fixture.rsa = k
		case *ecdsa.PrivateKey:
			fixture.ec = k
		case ed25519.PrivateKey:
			fixture.ed = k
		}
	}
	if n != 3 {
		return fmt.Errorf("conformance: keys: %d of them, 3 wanted", n)
	}
	return nil
}

func publicPEM(k crypto.Signer) string {
	der, err := x509.MarshalPKIXPublicKey(k.Public())
	if err != nil {
		panic(err) // the keys are ours
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der}))
}

type object = map[string]any

// Operator is the operator's file of the world, for a front at an address.
func (fixture *Fixture) OperatorFile(listen string) []byte {
	at := func(d time.Duration) string { return fixture.Now.Add(d).UTC().Format(time.RFC3339) }
	// Each ring has a key in every state, named after it.
	states := func(prefix string, key object) []object {
		var out []object
		for _, s := range []object{{"name": "active"}, {"name": "next", "state": "next"},
			{"name": "later", "state": "next", "from": at(time.Hour)},
			{"name": "retiring", "state": "retiring", "until": at(time.Hour)},
			{"name": "retired", "state": "retiring", "until": at(-time.Hour)}, {"name": "revoked", "state": "revoked"},
			{"name": "strict", "skew_ms": 0}} {
			k := object{}
			for name, v := range key {
				k[name] = v
			}
			for name, v := range s {
				k[name] = v
			}
			k["name"] = prefix + k["name"].(string)
			out = append(out, k)
		}
		return out
	}
	hmacs := states("", object{"secret": secret})
	ring := func(name string, lists ...[]object) object {
		var keys []object
		for _, l := range lists {
			keys = append(keys, l...)
		}
		return object{"name": name, "keys": keys}
	}
	rs, es, ed := object{"pem": publicPEM(fixture.rsa)}, object{"pem": publicPEM(fixture.ec)}, object{"pem": publicPEM(fixture.ed)}
	file := object{"signed": object{
		"listen": listen, "branch": Branch, "skew_ms": 10000,
		"rings": []object{ring("macs", hmacs), ring("rs", states("rs-", rs), states("es-", es)), ring("ed", states("m-", ed)),
			ring("jwt", states("hs-", object{"secret": secret}), states("rs-", rs), states("es-", es), states("ed-", ed)),
			// Of nameless tokens, each key has a secret of its own.
			ring("edge", []object{{"name": "a", "secret": secret}, {"name": "b", "secret": otherSecret},
				{"name": "retired", "state": "retiring", "until": at(-time.Hour), "secret": "retired" + secret},
				{"name": "revoked", "state": "revoked", "secret": "revoked" + secret}})},
		"profiles": []object{
			{"name": "edge", "tenant": "padma", "format": "edgeauth", "ring": "edge", "query": "hdnts", "cookie": "hdnts",
				"header": "X-Edge-Token", "bound": true},
			{"name": "salted", "tenant": "padma", "format": "edgeauth", "ring": "edge", "query": "salted", "salt": "pinch", "digest": "sha1"},
			{"name": "cloud", "tenant": "padma", "format": "cloudcdn", "ring": "macs", "base": BaseURL},
			{"name": "media", "tenant": "padma", "format": "mediacdn", "ring": "ed", "base": BaseURL},
			{"name": "front", "tenant": "padma", "format": "cloudfront", "ring": "rs", "base": BaseURL},
			{"name": "cdni", "tenant": "padma", "format": "cdni", "ring": "jwt", "base": BaseURL, "issuers": []string{"uCDN"}, "audience": "dCDN"},
			{"name": "verify", "tenant": "guest", "format": "timed", "ring": "edge", "query": "verify", "describe": object{
				"message": "{path}{expires}", "token": "{expires}-{mac}", "digest": "hmac-sha256", "encoding": "base64"}},
			{"name": "secure", "tenant": "padma", "format": "timed", "ring": "edge", "query": "md5", "describe": object{
				"message": "{expires}{path}{ip} {secret}", "token": "{mac}", "separate": "expires", "digest": "md5", "encoding": "base64url-nopad"}},
			{"name": "issued", "tenant": "padma", "format": "timed", "ring": "edge", "query": "auth", "describe": object{
				"message": "{path}-{expires}-{nonce}", "token": "{expires}_{nonce}_{mac}", "digest": "hmac-sha1", "encoding": "hex", "base": 16, "life_s": 60}},
		},
		"tenants": []object{{"name": "padma"}, {"name": "guest", "paths": []string{"/files/guide-video/17/"}}},
		"revoked": object{"tokens": []string{"taken-back"}, "subjects": []string{"member 13"}, "paths": []string{"/files/guide-video/99/"}},
		"cors":    object{"origins": []string{"https://app.example"}, "headers": []string{"X-Edge-Token", "Range"}},
		"classes": object{"guide-video": object{"type": "video/mp4"}, "page-asset": object{"type": "text/css", "compress": true}},
	}}
	text, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		panic(err) // maps and strings alone
	}
	return text
}

// Case is one request and what must come of it.
type Case struct {
	Name       string
	Method     string
	Target     string
	Header     []string // fields, as "Name: value"
	Status     int
	Reason     string            // of a refusal: its body's line; where more than one will do, parted by |
	Size       int               // of the body; -1: any
	WantHeader map[string]string // that the answer must have; an empty value: that it must not
	GrantOnly  bool              // the verdict on the grant alone decides it
}

// Bytes is the request as it is sent.
func (c *Case) Bytes() string {
	text := c.Method + " " + c.Target + " HTTP/1.1\r\nHost: files.example\r\n"
	for _, f := range c.Header {
		text += f + "\r\n"
	}
	return text + "\r\n"
}

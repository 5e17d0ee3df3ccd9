package peers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cherryramp/internal/loopbacktest"
)

var begin = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// authority signs certificates.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
	next int64
}

func write(t *testing.T, path, kind string, der []byte) string {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), next: 100}
	a.key, a.cert, a.file = a.sign(name, nil, true, 365*24*time.Hour)
	return a
}

func (a *authority) sign(name string, names []string, ca bool, span time.Duration) (*ecdsa.PrivateKey, *x509.Certificate, string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.next++
	c := &x509.Certificate{SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name}, DNSNames: names, NotBefore: begin.Add(-time.Hour),
		NotAfter: begin.Add(span), IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := a.cert, a.key
	if ca {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		a.t.Fatal(err)
	}
	return key, c, write(a.t, filepath.Join(a.dir, name+".pem"), "CERTIFICATE", der)
}

// files creates the files of a peer with a name.
func (a *authority) files(name string, span time.Duration, lets ...string) Files {
	a.t.Helper()
	key, _, cert := a.sign(name, []string{name}, false, span)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{Certificate: cert, Key: write(a.t, filepath.Join(a.dir, name+".key"), "PRIVATE KEY", der), Authorities: a.file, Names: lets}
}

// connect completes a handshake, after which each side sends a byte.
func connect(server, client *Keys) (s, c *tls.Conn, err error) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		return nil, nil, err
	}
	y, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	x, err := ln.Accept()
	if err = errors.Join(err, ln.Close()); err != nil {
		return nil, nil, err
	}
	s, c = tls.Server(x, server.ServerConfig()), tls.Client(y, client.ClientConfig())
	errs := make(chan error, 1)
	go func() {
		_, err := s.Write([]byte("s"))
		if err == nil {
			_, err = io.ReadFull(s, make([]byte, 1))
		}
		if err != nil {
			_ = x.Close()
		}
		errs <- err
	}()
	_, err = io.ReadFull(c, make([]byte, 1))
	if err == nil {
		_, err = c.Write([]byte("c"))
	}
	if err != nil {
		_ = y.Close()
	}
	return s, c, errors.Join(<-errs, err)
}

const day = 24 * time.Hour

// Peers must be accepted or rejected by name, authority, validity and revocation, for new
// connections and, by Check, for open ones after the files have changed.
func TestPeerAuthentication(t *testing.T) {
	var now atomic.Pointer[time.Time]
	set := func(x time.Time) { now.Store(&x) }
	set(begin)
	clock := func() time.Time { return *now.Load() }
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	load := func(f Files) *Keys {
		k, err := Load(f, clock)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	northFiles := ours.files("north", 30*day, "south")
	north, south := load(northFiles), load(ours.files("south", 30*day, "north"))
	s, c, err := connect(north, south)
	if err != nil || north.Name(s.ConnectionState()) != "south" || south.Name(c.ConnectionState()) != "north" ||
		s.ConnectionState().Version != tls.VersionTLS13 {
		t.Fatal(err, north.Name(s.ConnectionState()))
	}
	foreign := theirs.files("south", 30*day, "north")
	foreign.Authorities = ours.file
	for name, f := range map[string]Files{"another name": ours.files("west", 30*day, "north"), "another authority": foreign} {
		if _, _, err := connect(north, load(f)); err == nil {
			t.Errorf("%s was accepted", name)
		}
		if _, _, err := connect(load(f), north); err == nil {
			t.Errorf("%s was accepted as server", name)
		}
	}
	short := load(ours.files("south", day, "north"))
	if _, _, err := connect(north, short); err != nil {
		t.Fatal(err)
	}
	set(begin.Add(2 * day))
	if _, _, err := connect(north, short); err == nil {
		t.Error("an expired peer was accepted")
	}
	if err := north.Check(s.ConnectionState()); err != nil { // the first certificate is valid for longer
		t.Error(err)
	}
	// After a reload the open connection must keep working, and a new one must use the new keys.
	southFiles := ours.files("south", 60*day, "north")
	before := c.ConnectionState().PeerCertificates[0].SerialNumber
	newNorth := ours.files("north", 60*day, "south")
	if err := errors.Join(north.Reload(newNorth), south.Reload(southFiles)); err != nil {
		t.Fatal(err)
	}
	on := make([]byte, 2)
	if _, err := s.Write([]byte("on")); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(c, on); err != nil || string(on) != "on" || north.Check(s.ConnectionState()) != nil {
		t.Error(err)
	}
	s2, c2, err := connect(north, south)
	if err != nil || c2.ConnectionState().PeerCertificates[0].SerialNumber.Cmp(before) == 0 {
		t.Fatal(err)
	}
	// A revoked certificate must be rejected, and Check must find its open connections.
	newNorth.Revoked = []string{s2.ConnectionState().PeerCertificates[0].SerialNumber.Text(16)}
	if err := north.Reload(newNorth); err != nil {
		t.Fatal(err)
	}
	if _, _, err := connect(north, south); err == nil {
		t.Error("a revoked peer was accepted")
	}
	if err := north.Check(s2.ConnectionState()); !errors.Is(err, ErrRevoked) || north.Name(s2.ConnectionState()) != "" {
		t.Error(err)
	}
	if err := north.Check(s.ConnectionState()); err != nil {
		t.Error(err)
	}
	if err := north.Check(tls.ConnectionState{}); !errors.Is(err, ErrNoCertificate) {
		t.Error(err)
	}
}

// All errors in the files must be reported together, and the previous keys must stay in use.
func TestInvalidFiles(t *testing.T) {
	a := newAuthority(t, "ours")
	clock := func() time.Time { return begin }
	good := a.files("north", 30*day, "south")
	k, err := Load(good, clock)
	if err != nil {
		t.Fatal(err)
	}
	bad := Files{Certificate: good.Authorities, Key: good.Key, Authorities: good.Key, Names: []string{"*.south", ""}, Revoked: []string{"xyz", "0a:ff"}}
	err = k.Reload(bad)
	for _, want := range []string{"certificate, key", "authorities", "names.0", "names.1", "revoked.0"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v lacks %q", err, want)
		}
	}
	if k.current.Load().names[0] != "south" {
		t.Error("the previous keys are gone")
	}
	if _, err := Load(Files{}, clock); err == nil {
		t.Error("empty files were accepted")
	}
	if _, err := Load(a.files("old", -2*time.Hour/4, "south"), clock); err == nil || !strings.Contains(err.Error(), "valid only from") {
		t.Error(err)
	}
}

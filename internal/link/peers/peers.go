// Package peers lets the other site's fronts in: mutual TLS 1.3, with certificates
// read from files that may be changed while connections are up.
//
// A peer is let in by a name of its certificate, which an authority of ours must
// have signed, and which is neither expired nor taken back. New files hold for new
// handshakes; connections that are up keep their keys, and Check says which of them
// may no longer be.
package peers

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Files are where the keys are, and whom they let in.
type Files struct {
	Certificate string   // PEM, our own with what stands between it and the authority
	Key         string   // PEM
	Authorities string   // PEM, those that sign peers' certificates
	Names       []string // of peers, as DNS names of their certificates
	Revoked     []string // serial numbers in hex
}

// Reasons for which a peer is not let in.
var (
	ErrNameNotAllowed = errors.New("peers: a name that is not let in")
	ErrRevoked        = errors.New("peers: its certificate was taken back")
	ErrNoCertificate  = errors.New("peers: it showed no certificate")
)

// material is what was read together.
type material struct {
	own     tls.Certificate
	roots   *x509.CertPool
	names   []string
	revoked map[string]bool
}

// Keys are the ones in use. They may be used from anywhere.
type Keys struct {
	now func() time.Time
	in  atomic.Pointer[material]
}

// Load reads keys. Its error tells all that is wrong with the files, a line each.
func Load(f Files, now func() time.Time) (*Keys, error) {
	k := &Keys{now: now}
	return k, k.Reload(f)
}

// Reload reads them anew; where anything is wrong, what was read before stays.
func (k *Keys) Reload(f Files) error {
	m := &material{roots: x509.NewCertPool(), names: f.Names, revoked: map[string]bool{}}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	var err error
	if m.own, err = tls.LoadX509KeyPair(f.Certificate, f.Key); err != nil {
		fault("certificate, key: %w", err)
	} else if leaf := m.own.Leaf; k.now().After(leaf.NotAfter) || k.now().Before(leaf.NotBefore) {
		fault("certificate: %s: good from %s to %s", f.Certificate, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if text, err := os.ReadFile(f.Authorities); err != nil {
		fault("authorities: %w", err)
	} else if !m.roots.AppendCertsFromPEM(text) {
		fault("authorities: %s: no certificate in it", f.Authorities)
	}
	if len(f.Names) == 0 {
		fault("names: nobody would be let in")
	}
	for i, n := range f.Names {
		if n == "" || strings.ContainsAny(n, " *") {
			fault("names.%d: %q is no name of one peer", i, n)
		}
	}
	for i, r := range f.Revoked {
		serial, ok := new(big.Int).SetString(strings.ReplaceAll(r, ":", ""), 16)
		if !ok {
			fault("revoked.%d: %q is no serial number in hex", i, r)
			continue
		}
		m.revoked[serial.Text(16)] = true
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	k.in.Store(m)
	return nil
}

// Check tells whether a connection's peer may be there now, by the keys of now.
func (k *Keys) Check(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	m, leaf := k.in.Load(), s.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: m.roots, Intermediates: between, CurrentTime: k.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	// One chain without anything that was taken back will do.
	if !slices.ContainsFunc(chains, func(chain []*x509.Certificate) bool {
		return !slices.ContainsFunc(chain, func(c *x509.Certificate) bool { return m.revoked[c.SerialNumber.Text(16)] })
	}) {
		return ErrRevoked
	}
	for _, n := range m.names {
		if slices.ContainsFunc(leaf.DNSNames, func(d string) bool { return strings.EqualFold(d, n) }) {
			return nil
		}
	}
	return fmt.Errorf("%w: %q", ErrNameNotAllowed, leaf.DNSNames)
}

// Name is the first of a peer's names that is let in; empty: none is.
func (k *Keys) Name(s tls.ConnectionState) string {
	if k.Check(s) == nil {
		for _, n := range k.in.Load().names {
			if slices.ContainsFunc(s.PeerCertificates[0].DNSNames, func(d string) bool { return strings.EqualFold(d, n) }) {
				return n
			}
		}
	}
	return ""
}

// Server is for the side that is connected to, Client for the one that connects.
// Both sides show a certificate, and both check the other's by Check alone; sessions
// are never resumed, so that each connection is checked whole.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.in.Load().own, nil },
		VerifyConnection: k.Check, Time: k.now}
}

// Client is as Server.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		InsecureSkipVerify:   true, // Check takes its place: peers go by their own list of names, not by the address dialled
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.in.Load().own, nil },
		VerifyConnection:     k.Check, Time: k.now}
}

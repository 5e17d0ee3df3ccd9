// Package peers authenticates other fronts by mutual TLS 1.3, with certificates from files
// that may change while connections are up.
//
// A peer is accepted by a DNS name in its certificate, which must be signed by a configured
// authority and neither expired nor revoked. Reloaded files hold for new handshakes.
// Connections that are up keep their keys, and Check tells which of them are no longer
// allowed.
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

// Files are the files with the keys and the names of the allowed peers.
type Files struct {
	Certificate string   // PEM, this front's own with its intermediate certificates
	Key         string   // PEM
	Authorities string   // PEM, that sign peers' certificates
	Names       []string // of allowed peers, as DNS names in their certificates
	Revoked     []string // serial numbers in hex
}

// Reasons for rejecting a peer.
var (
	ErrNameNotAllowed = errors.New("peers: name is not allowed")
	ErrRevoked        = errors.New("peers: certificate is revoked")
	ErrNoCertificate  = errors.New("peers: no certificate")
)

// credentials is the contents of Files, read together.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	names       []string
	revoked     map[string]bool
}

// Keys holds the credentials in use. It may be used from any goroutine.
type Keys struct {
	now     func() time.Time
	current atomic.Pointer[credentials]
}

// Load reads keys. Its error lists everything that is wrong with the files, one per line.
func Load(f Files, now func() time.Time) (*Keys, error) {
	k := &Keys{now: now}
	return k, k.Reload(f)
}

// Reload reads the keys again. On an error, which is like that of Load, the previous keys
// stay in use.
func (k *Keys) Reload(f Files) error {
	creds := &credentials{roots: x509.NewCertPool(), names: f.Names, revoked: map[string]bool{}}
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	var err error
	if creds.certificate, err = tls.LoadX509KeyPair(f.Certificate, f.Key); err != nil {
		addError("certificate, key: %w", err)
	} else if leaf := creds.certificate.Leaf; k.now().After(leaf.NotAfter) || k.now().Before(leaf.NotBefore) {
		addError("certificate: %s: valid only from %s to %s", f.Certificate, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if text, err := os.ReadFile(f.Authorities); err != nil {
		addError("authorities: %w", err)
	} else if !creds.roots.AppendCertsFromPEM(text) {
		addError("authorities: %s: no certificate in it", f.Authorities)
	}
	if len(f.Names) == 0 {
		addError("names: no peer is allowed")
	}
	for i, n := range f.Names {
		if n == "" || strings.ContainsAny(n, " *") {
			addError("names.%d: %q is not the name of one peer", i, n)
		}
	}
	for i, r := range f.Revoked {
		serial, ok := new(big.Int).SetString(strings.ReplaceAll(r, ":", ""), 16)
		if !ok {
			addError("revoked.%d: %q is not a serial number in hex", i, r)
			continue
		}
		creds.revoked[serial.Text(16)] = true
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	k.current.Store(creds)
	return nil
}

// Check returns an error if the peer of a connection is not allowed by the current keys.
func (k *Keys) Check(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	creds, leaf := k.current.Load(), s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: creds.roots, Intermediates: intermediates, CurrentTime: k.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	// One chain without a revoked certificate is enough.
	if !slices.ContainsFunc(chains, func(chain []*x509.Certificate) bool {
		return !slices.ContainsFunc(chain, func(c *x509.Certificate) bool { return creds.revoked[c.SerialNumber.Text(16)] })
	}) {
		return ErrRevoked
	}
	for _, n := range creds.names {
		if slices.ContainsFunc(leaf.DNSNames, func(d string) bool { return strings.EqualFold(d, n) }) {
			return nil
		}
	}
	return fmt.Errorf("%w: %q", ErrNameNotAllowed, leaf.DNSNames)
}

// Name returns the first allowed name of a peer, or "" if the peer is not allowed.
func (k *Keys) Name(s tls.ConnectionState) string {
	if k.Check(s) == nil {
		for _, n := range k.current.Load().names {
			if slices.ContainsFunc(s.PeerCertificates[0].DNSNames, func(d string) bool { return strings.EqualFold(d, n) }) {
				return n
			}
		}
	}
	return ""
}

// ServerConfig returns the TLS configuration of the accepting side. Both sides show a
// certificate, and both verify the other's by Check alone. Sessions are never resumed, so
// that every connection is fully verified.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current.Load().certificate, nil },
		VerifyConnection: k.Check, Time: k.now}
}

// ClientConfig returns the TLS configuration of the connecting side; see ServerConfig.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		InsecureSkipVerify:   true, // Check verifies instead: peers are allowed by name, not by the dialled address
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.current.Load().certificate, nil },
		VerifyConnection:     k.Check, Time: k.now}
}

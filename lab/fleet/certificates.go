package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// AllowedName is the certificate name that the laboratory's fleets accept.
const AllowedName = "fleet.lab"

// authority is the CA that signs the fronts' certificates; next is its next serial number.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
	next int64
}

func newAuthority(dir string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "the laboratory's authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(240 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &authority{key: key, path: filepath.Join(dir, "authority.pem"), next: 2}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, writePEM(a.path, "CERTIFICATE", der)
}

// sign creates a front's certificate and key, writes them to dir, and returns their paths.
func (a *authority) sign(name, dir string) (certificate, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name, AllowedName},
		NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", "", err
	}
	certificate, key = filepath.Join(dir, "front.pem"), filepath.Join(dir, "front.key")
	return certificate, key, errors.Join(writePEM(certificate, "CERTIFICATE", der), writePEM(key, "PRIVATE KEY", raw))
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

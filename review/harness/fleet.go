package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"maps"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// fleetName is the certificate name that lets a front into the fleet.
const fleetName = "fleet.example"

// WriteFleetOperators writes an operator's file with a section fleet for each front, with
// certificates of an authority made on the spot, and returns their paths. The rules are those
// of deploy/operator-fleet.json.
// Further sections are added to each file.
func (r *Run) WriteFleetOperators(fronts []*Front, zone string, sections map[string]any) (paths []string, err error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour)}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	authorities := filepath.Join(r.Dir, "authorities.pem")
	if err := writePEM(authorities, "CERTIFICATE", caDER); err != nil {
		return nil, err
	}
	addresses := make([]string, len(fronts))
	var first []map[string]string
	for i, f := range fronts {
		if addresses[i], err = FreeAddress(); err != nil {
			return nil, err
		}
		first = append(first, map[string]string{"name": f.Name, "address": addresses[i]})
	}
	for i, f := range fronts {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		template := &x509.Certificate{SerialNumber: big.NewInt(int64(i) + 2), Subject: pkix.Name{CommonName: f.Name}, DNSNames: []string{f.Name, fleetName},
			NotBefore: ca.NotBefore, NotAfter: ca.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
		der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
		if err != nil {
			return nil, err
		}
		keyDER, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			return nil, err
		}
		at := func(name string) string { return filepath.Join(r.Dir, f.Name+name) }
		if err := writePEM(at(".pem"), "CERTIFICATE", der); err != nil {
			return nil, err
		}
		if err := writePEM(at(".key"), "PRIVATE KEY", keyDER); err != nil {
			return nil, err
		}
		all := maps.Clone(sections)
		if all == nil {
			all = map[string]any{}
		}
		all["fleet"] = map[string]any{"name": "padma", "front": f.Name, "zone": zone, "machine": "machine-" + f.Name,
			"listen": addresses[i], "address": addresses[i], "first": first, "folder": at(".folder"),
			"keys": map[string]any{"certificate": at(".pem"), "key": at(".key"), "authorities": authorities, "names": []string{fleetName}},
			"rules": map[string]any{"out": 1, "zone": 1, "percent": 34, "hurt_percent": 20, "accept_s": 20, "empty_s": 90, "back_s": 120,
				"cold_s": 15, "age_step_s": 60, "patience_s": 600}}
		text, err := json.Marshal(all)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(at(".operator.json"), text, 0o600); err != nil {
			return nil, err
		}
		paths = append(paths, at(".operator.json"))
	}
	return paths, nil
}

// StartFleet starts three fronts that act together, each with a notice board of its own that
// lists the members, and waits until the fleet has come together.
func (r *Run) StartFleet(members []Member, settings any, sections map[string]any) (fronts []*Front, boards []*Board, err error) {
	for i := range 3 {
		f, err := r.NewFront(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		b, err := r.NewBoard(Pool(1, true, members...))
		if err != nil {
			return nil, nil, err
		}
		if err := f.WriteConfig(BaseConfig(f, b.Addr, b.Known(), settings)); err != nil {
			return nil, nil, err
		}
		fronts, boards = append(fronts, f), append(boards, b)
	}
	operators, err := r.WriteFleetOperators(fronts, "edge-1", sections)
	if err != nil {
		return nil, nil, err
	}
	errs := make(chan error, len(fronts))
	for i, f := range fronts {
		go func() { errs <- f.Start("CHERRYRAMP_OPERATOR=" + operators[i]) }()
	}
	for range fronts {
		if err := <-errs; err != nil {
			return nil, nil, err
		}
	}
	err = Await(30*time.Second, "the fleet has come together", func() bool {
		for _, f := range fronts {
			if _, whole := f.FleetStatus(); !whole {
				return false
			}
		}
		return true
	})
	r.Log("the fleet of three fronts has come together: %v", err == nil)
	return fronts, boards, err
}

// FleetStatus returns the version that a front acts on, and whether it knows a leader, all fronts
// and all voters of a fleet of three.
func (f *Front) FleetStatus() (version uint64, whole bool) {
	var s struct {
		ID     string   `json:"id"`
		Leader string   `json:"leader"`
		Fronts int      `json:"fronts"`
		Voters []string `json:"voters"`
		ActsOn uint64   `json:"acts_on"`
	}
	line, err := f.Call("FLEET STATUS")
	if err != nil || json.Unmarshal([]byte(strings.TrimPrefix(line, "ok")), &s) != nil {
		return 0, false
	}
	return s.ActsOn, s.ID != "" && s.Leader != "" && s.Fronts == 3 && len(s.Voters) == 3
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

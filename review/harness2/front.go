package main

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// front is a front as the platform runs it.
type front struct {
	name, listen, ops, peer string // peer: its address for the other fronts
	dir                     string
	rec                     *record
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// runCommand returns the command `run` of the deploy file.
func runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run *= *"(.*)"`).FindSubmatch(text)
	if found == nil {
		cannotRun("deploy/balancer.toml has no run")
	}
	return string(found[1])
}

// newFront writes a front's files; operator has the sections of the operator's file, nil: none.
func newFront(rec *record, dir, name, host string, s *servers, set map[string]any, operator func(f *front) map[string]any) *front {
	f := &front{name: name, listen: freeAddress(host), ops: freeAddress(host), peer: freeAddress(host), dir: filepath.Join(dir, name), rec: rec}
	if err := os.MkdirAll(filepath.Join(f.dir, "tmp"), 0o700); err != nil {
		cannotRun("%v", err)
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":%q,"limits":{"cores":1,"memory_mb":96,"sockets":512},"board":%q,`+
		`"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":%s,"settings":%s}`, name, f.listen, newID(), s.board.Addr(), s.known(), settings(set))
	f.write("config.json", config)
	if operator != nil {
		text, _ := json.MarshalIndent(operator(f), "", " ")
		f.write("operator.json", string(text))
	}
	return f
}

func (f *front) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the front with the command of the deploy file.
func (f *front) start() {
	log, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	f.cmd = exec.Command("/bin/sh", "-c", runCommand())
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(f.dir, "tmp"), "ROUTER_NAME=" + f.name, "ROUTER_LISTEN=" + f.listen,
		"ROUTER_CONFIG=" + filepath.Join(f.dir, "config.json"), "ROUTER_OPS=" + f.ops}
	if _, err := os.Stat(filepath.Join(f.dir, "operator.json")); err == nil {
		f.cmd.Env = append(f.cmd.Env, "CHERRYRAMP_OPERATOR="+filepath.Join(f.dir, "operator.json"))
	}
	if err := f.cmd.Start(); err != nil {
		cannotRun("start %s: %v", f.name, err)
	}
	f.rec.line("front   %s started", f.name)
	cmd, ended := f.cmd, make(chan struct{})
	f.ended = ended
	go func() {
		_ = cmd.Wait()
		f.rec.line("front   %s ended: %v", f.name, cmd.ProcessState)
		close(ended)
	}()
}

// kill kills the front outright.
func (f *front) kill() {
	if f.cmd == nil {
		return
	}
	_ = f.cmd.Process.Signal(syscall.SIGKILL)
	<-f.ended
	f.cmd = nil
}

// up reports whether the front's process runs.
func (f *front) up() bool {
	select {
	case <-f.ended:
		return false
	default:
		return f.cmd != nil
	}
}

// call makes a call at the operators' address; a fail is an error.
func (f *front) call(line string, into any) error {
	text, err := f.callText(line)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal([]byte(text), into)
}

func (f *front) callText(line string) (string, error) {
	c, err := net.DialTimeout("tcp", f.ops, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(c, "%s\n", line); err != nil {
		return "", err
	}
	text, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "", err
	}
	text = strings.TrimSpace(text)
	rest, ok := strings.CutPrefix(text, "ok")
	if !ok {
		return "", errors.New(strings.TrimPrefix(text, "fail "))
	}
	return strings.TrimSpace(rest), nil
}

// tell makes a call and records it.
func (f *front) tell(line string, into any) error {
	f.rec.line("ops     %s <- %.300s", f.name, line)
	err := f.call(line, into)
	result := "ok"
	if err != nil {
		result = "fail " + err.Error()
	}
	f.rec.line("ops     %s -> %.300s", f.name, result)
	return err
}

// ping asks a front whether it takes clients.
func (f *front) ping() bool {
	c, err := net.DialTimeout("tcp", f.listen, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := io.WriteString(c, "GET /ping HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == 200
}

// await polls until a condition holds; a case whose stage can't be set can't run.
func await(what string, within time.Duration, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("%s: not within %v", what, within)
		}
	}
}

// authority signs the certificates of a fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	path string
	next int64
}

func newAuthority(dir string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		cannotRun("%v", err)
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "review"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		cannotRun("%v", err)
	}
	a := &authority{key: key, path: filepath.Join(dir, "authority.pem"), next: 2}
	a.cert, _ = x509.ParseCertificate(der)
	writePEM(a.path, "CERTIFICATE", der)
	return a
}

const peerName = "fleet.review"

func (a *authority) sign(f *front) (certificate, key string) {
	private, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	t := &x509.Certificate{SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: f.name}, DNSNames: []string{f.name, peerName},
		NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &private.PublicKey, a.key)
	if err != nil {
		cannotRun("%v", err)
	}
	raw, _ := x509.MarshalPKCS8PrivateKey(private)
	certificate, key = filepath.Join(f.dir, "front.pem"), filepath.Join(f.dir, "front.key")
	writePEM(certificate, "CERTIFICATE", der)
	writePEM(key, "PRIVATE KEY", raw)
	return certificate, key
}

func writePEM(path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// newFleet makes three fronts in three zones that act together. exchange is that section of the
// operator's file, nil: none.
func newFleet(rec *record, dir string, s *servers, set map[string]any, rules, exchange map[string]any) []*front {
	ca := newAuthority(dir)
	var list []*front
	for i := range 3 {
		list = append(list, newFront(rec, dir, fmt.Sprintf("n%d", i+1), fmt.Sprintf("127.0.0.%d", i+2), s, set, nil))
	}
	var first []map[string]string
	for _, f := range list {
		first = append(first, map[string]string{"name": f.name, "address": f.peer})
	}
	for i, f := range list {
		certificate, key := ca.sign(f)
		sections := map[string]any{"fleet": map[string]any{"name": "review", "front": f.name, "zone": fmt.Sprintf("z%d", i), "listen": f.peer, "first": first,
			"folder": filepath.Join(f.dir, "folder"), "rules": rules,
			"keys": map[string]any{"certificate": certificate, "key": key, "authorities": ca.path, "names": []string{peerName}}}}
		if exchange != nil {
			sections["exchange"] = exchange
		}
		text, _ := json.MarshalIndent(sections, "", " ")
		f.write("operator.json", string(text))
	}
	for _, f := range list {
		f.start()
	}
	cleanUps = append(cleanUps, func() {
		for _, f := range list {
			f.kill()
		}
	})
	await("the fleet to settle", 40*time.Second, func() bool {
		for _, f := range list {
			var st struct {
				ID     string   `json:"id"`
				Leader string   `json:"leader"`
				Fronts int      `json:"fronts"`
				Voters []string `json:"voters"`
				Wanted int      `json:"wanted"`
				Waits  string   `json:"waits"`
				May    bool     `json:"may"`
			}
			if f.call("FLEET STATUS", &st) != nil || st.ID == "" || st.Leader == "" || st.Fronts < 3 || len(st.Voters) != st.Wanted || st.Waits != "" || !st.May || f.call("PING", nil) != nil {
				return false
			}
		}
		return true
	})
	rec.line("fleet   has settled")
	return list
}

// propose proposes a version at a front and waits until all fronts act on it.
func propose(list []*front, file string, urgent bool) {
	f := list[0]
	if err := f.tell("FLEET VERSIONS STAGE up "+base64.StdEncoding.EncodeToString([]byte(file)), nil); err != nil {
		cannotRun("stage: %v", err)
	}
	f.rec.line("version %s", file)
	var number struct {
		Version uint64 `json:"version"`
	}
	if err := f.tell(fmt.Sprintf(`FLEET VERSIONS PROPOSE {"upload":"up","why":"review","urgent":%v}`, urgent), &number); err != nil {
		cannotRun("propose: %v", err)
	}
	await("all fronts to act on the version", 30*time.Second, func() bool {
		for _, f := range list {
			var st struct {
				ActsOn uint64 `json:"acts_on"`
			}
			if f.call("FLEET STATUS", &st) != nil || st.ActsOn != number.Version {
				return false
			}
		}
		return true
	})
	f.rec.line("version %d: all fronts act on it", number.Version)
}

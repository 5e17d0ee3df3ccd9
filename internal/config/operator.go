package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
)

// Bounds and defaults of the operator's file.
const (
	defaultSessionMS = 4000
	minSessionMS     = 1000
)

// Operator is the operator's file, which complements the platform's configuration.
// A nil section is switched off.
type Operator struct {
	Signed    *Signed    `json:"signed"`
	Clients   *Clients   `json:"clients"`
	Ephemeral *Ephemeral `json:"ephemeral"`
	Fleet     *Fleet     `json:"fleet"`
	Exchange  *Exchange  `json:"exchange"`
}

// Ephemeral takes the list of servers from ephemeral nodes of a ZooKeeper ensemble.
type Ephemeral struct {
	Servers   []string `json:"servers"`
	Path      string   `json:"path"`
	SessionMS int      `json:"session_ms"`
}

// Clients bounds the client connections of both fronts. Comments end with the
// default; without this section the platform's limits apply.
type Clients struct {
	IdleTimeoutMS    int    `json:"idle_ms"`       // time without an open request; 4500
	RequestTimeoutMS int    `json:"request_ms"`    // time to receive a whole request; 2300
	MaxConns         int    `json:"held"`          // connections of the platform's front; 55% of the descriptors
	Admission        string `json:"admission"`     // aimd or gradient; empty: no limit besides the rules'
	MaxPerPrefix     int    `json:"each_prefix"`   // connections of one /24 or /56; unlimited
	MinBytesPerS     int    `json:"least_bytes_s"` // least rate of a request or answer under way; any
	CreditMS         int    `json:"credit_ms"`     // time for which a transfer may stall; 5000
	MemoryMB         int    `json:"memory_mb"`     // memory of all clients and copies; 45% of the front's limit
}

// Bounds of the clients section.
const (
	minIdleMS    = 100
	maxIdleMS    = 24 * 3600 * 1000
	minRequestMS = 100
	maxRequestMS = 600_000
	maxConns     = 1 << 20
	maxBytesPerS = 1 << 30
	minCreditMS  = 1000 // transfers are checked once per second
	minMemoryMB  = 4
)

func (c *Clients) check(f *faults) {
	if !slices.Contains([]string{"", "aimd", "gradient"}, c.Admission) {
		f.addf("admission", "%q is not aimd or gradient", c.Admission)
	}
	for _, x := range []struct {
		key    string
		n      int
		lo, hi int
	}{{"idle_ms", c.IdleTimeoutMS, minIdleMS, maxIdleMS}, {"request_ms", c.RequestTimeoutMS, minRequestMS, maxRequestMS},
		{"held", c.MaxConns, 1, maxConns}, {"each_prefix", c.MaxPerPrefix, 1, maxConns},
		{"least_bytes_s", c.MinBytesPerS, 1, maxBytesPerS}, {"credit_ms", c.CreditMS, minCreditMS, maxRequestMS},
		{"memory_mb", c.MemoryMB, minMemoryMB, 1 << 20}} {
		if x.n != 0 && (x.n < x.lo || x.n > x.hi) {
			f.addf(x.key, "%d is not %d to %d", x.n, x.lo, x.hi)
		}
	}
}

// LoadOperator reads the operator's file that CHERRYRAMP_OPERATOR names; where it is
// not set, all sections are off.
func LoadOperator(getenv func(string) string) (*Operator, error) {
	f := &Files{operatorPath: getenv(operatorVariable)}
	if f.operatorPath != "" {
		var err error
		if f.operator, err = os.ReadFile(f.operatorPath); err != nil {
			return nil, fmt.Errorf("config: %s: %w", operatorVariable, err)
		}
	}
	return f.loadOperator(&Version{})
}

// ParseOperator reads and checks an operator's file; relative paths in it are
// relative to dir. The error names the key of every fault found, one per line.
func ParseOperator(data []byte, dir string) (*Operator, error) {
	var o Operator
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a JSON %s is not allowed", wrong.Field, wrong.Value)
		}
		return nil, err
	}
	if rest := bytes.TrimSpace(data[d.InputOffset():]); len(rest) > 0 {
		return nil, errors.New("unexpected data after the file's JSON object")
	}
	f := &faults{}
	if o.Signed != nil {
		o.Signed.check(f.under("signed"), dir)
	}
	if o.Clients != nil {
		o.Clients.check(f.under("clients"))
	}
	if o.Ephemeral != nil {
		if err := o.Ephemeral.check(); err != nil {
			f.under("ephemeral").add("", err)
		}
	}
	if o.Fleet != nil {
		o.Fleet.check(f.under("fleet"), dir)
	}
	if o.Exchange != nil {
		o.Exchange.check(f.under("exchange"), dir, o.Fleet != nil)
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return &o, nil
}

func (e *Ephemeral) check() error {
	if len(e.Servers) == 0 {
		return errors.New("servers: none")
	}
	for i, address := range e.Servers {
		if err := checkAddress(address); err != nil {
			return fmt.Errorf("servers[%d]: %w", i, err)
		}
	}
	if !strings.HasPrefix(e.Path, "/") || strings.HasSuffix(e.Path, "/") || strings.Contains(e.Path, "//") {
		return fmt.Errorf("path: %q is not a path like /name/name", e.Path)
	}
	e.SessionMS = cmp.Or(e.SessionMS, defaultSessionMS)
	if e.SessionMS < minSessionMS {
		return fmt.Errorf("session_ms: %d is below the minimum of %d", e.SessionMS, minSessionMS)
	}
	return nil
}

// faults collects the faults of a file, each with the path of its key.
type faults struct {
	path string
	list *[]error
}

// under gives a collector for the keys below key; it adds to the same list.
func (f *faults) under(key string) *faults {
	if f.list == nil {
		f.list = &[]error{}
	}
	if f.path != "" {
		key = f.path + "." + key
	}
	return &faults{path: key, list: f.list}
}

// add adds a fault of a key; with an empty key the error itself begins with the key.
// A nil error is ignored.
func (f *faults) add(key string, err error) {
	if err == nil {
		return
	}
	if key != "" {
		key += ": "
	}
	*f.list = append(*f.list, fmt.Errorf("%s.%s%w", f.path, key, err))
}

func (f *faults) addf(key, format string, args ...any) { f.add(key, fmt.Errorf(format, args...)) }

// err joins all faults; nil: there are none.
func (f *faults) err() error {
	if f.list == nil {
		return nil
	}
	return errors.Join(*f.list...)
}

// RestartKeys names the keys that loaded changes and that take effect only at a start.
func (o *Operator) RestartKeys(loaded *Operator) (keys []string) {
	if !reflect.DeepEqual(o.Ephemeral, loaded.Ephemeral) {
		keys = append(keys, "ephemeral")
	}
	if !reflect.DeepEqual(o.Fleet, loaded.Fleet) {
		keys = append(keys, "fleet")
	}
	if !o.Exchange.sameExceptLimits(loaded.Exchange) {
		keys = append(keys, "exchange")
	}
	if old, updated := o.Clients, loaded.Clients; old == nil || updated == nil {
		if old != updated {
			keys = append(keys, "clients")
		}
	} else {
		for _, x := range []struct {
			key     string
			changed bool
		}{{"clients.admission", old.Admission != updated.Admission}, {"clients.least_bytes_s", old.MinBytesPerS != updated.MinBytesPerS},
			{"clients.credit_ms", old.CreditMS != updated.CreditMS}, {"clients.memory_mb", old.MemoryMB != updated.MemoryMB}} {
			if x.changed {
				keys = append(keys, x.key)
			}
		}
	}
	a, b := o.Signed, loaded.Signed
	if a == nil || b == nil {
		if a != b {
			keys = append(keys, "signed")
		}
		return keys
	}
	for _, x := range []struct {
		key     string
		changed bool
	}{{"signed.listen", a.Listen != b.Listen}, {"signed.pool", a.Pool != b.Pool}, {"signed.tables", a.Tables != b.Tables},
		{"signed.encoded_mb", *a.EncodedMB != *b.EncodedMB}} {
		if x.changed {
			keys = append(keys, x.key)
		}
	}
	return keys
}

// FileBounds gives the lines of Exchange.Bounds for an operator's file; none where it
// has no exchange section or has faults.
func FileBounds(path string) []string {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	o, err := ParseOperator(data, filepath.Dir(path))
	if err != nil || o.Exchange == nil {
		return nil
	}
	return o.Exchange.Bounds()
}

// CheckFile gives all faults of a platform's or an operator's file. A file with one of
// the keys settings, board and limits is the platform's.
func CheckFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if keys["settings"] != nil || keys["board"] != nil || keys["limits"] != nil {
		_, err = Parse(data, "", "")
	} else {
		_, err = ParseOperator(data, filepath.Dir(path))
	}
	return err
}

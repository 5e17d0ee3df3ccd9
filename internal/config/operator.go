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
	leastSessionMS   = 1000
)

// Operator is what an operator sets up beside the platform's configuration.
// Nil parts are off.
type Operator struct {
	Signed    *Signed    `json:"signed"`
	Clients   *Clients   `json:"clients"`
	Ephemeral *Ephemeral `json:"ephemeral"`
	Fleet     *Fleet     `json:"fleet"`
	Exchange  *Exchange  `json:"exchange"`
}

// Ephemeral takes the list of servers from ephemeral nodes.
type Ephemeral struct {
	Servers   []string `json:"servers"`
	Path      string   `json:"path"`
	SessionMS int      `json:"session_ms"`
}

// Clients bounds the clients' connections of both fronts. Where it is left out,
// the platform's limits hold.
type Clients struct {
	IdleTimeoutMS    int    `json:"idle_ms"`       // without an open request; 4500
	RequestTimeoutMS int    `json:"request_ms"`    // that a whole request may take to come; 2300
	MaxConns         int    `json:"held"`          // connections of the platform's front; 55% of the descriptors
	Admission        string `json:"admission"`     // aimd, gradient; empty: as much as the module takes
	MaxPerPrefix     int    `json:"each_prefix"`   // connections of one /24 or /56; any number
	MinBytesPerS     int    `json:"least_bytes_s"` // pace of a request that comes or an answer that goes; any
	CreditMS         int    `json:"credit_ms"`     // for which nothing may move; 5000
	MemoryMB         int    `json:"memory_mb"`     // of all that clients and copies hold; 45% of the front's limit
}

// Bounds of the clients section.
const (
	leastIdleMS    = 100
	mostIdleMS     = 24 * 3600 * 1000
	leastRequestMS = 100
	mostRequestMS  = 600_000
	mostHeld       = 1 << 20
	mostPace       = 1 << 30
	leastCreditMS  = 1000 // a transfer is looked at once a second
	leastMemoryMB  = 4
)

func (c *Clients) check(f *faults) {
	if !slices.Contains([]string{"", "aimd", "gradient"}, c.Admission) {
		f.addf("admission", "%q is not aimd or gradient", c.Admission)
	}
	for _, x := range []struct {
		key         string
		n           int
		least, most int
	}{{"idle_ms", c.IdleTimeoutMS, leastIdleMS, mostIdleMS}, {"request_ms", c.RequestTimeoutMS, leastRequestMS, mostRequestMS},
		{"held", c.MaxConns, 1, mostHeld}, {"each_prefix", c.MaxPerPrefix, 1, mostHeld},
		{"least_bytes_s", c.MinBytesPerS, 1, mostPace}, {"credit_ms", c.CreditMS, leastCreditMS, mostRequestMS},
		{"memory_mb", c.MemoryMB, leastMemoryMB, 1 << 20}} {
		if x.n != 0 && (x.n < x.least || x.n > x.most) {
			f.addf(x.key, "%d is not %d to %d", x.n, x.least, x.most)
		}
	}
}

// LoadOperator reads the operator's file that the environment names; without
// one everything in it is off.
func LoadOperator(getenv func(string) string) (*Operator, error) {
	const key = "CHERRYRAMP_OPERATOR"
	path := getenv(key)
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", key, err)
	}
	o, err := ParseOperator(data, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads and checks an operator's file; the files that it names
// lie in dir. The error names every fault that was found, a line each.
func ParseOperator(data []byte, dir string) (*Operator, error) {
	var o Operator
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a %s can't be used", wrong.Field, wrong.Value)
		}
		return nil, err
	}
	if rest := bytes.TrimSpace(data[d.InputOffset():]); len(rest) > 0 {
		return nil, errors.New("something stands behind the file's object")
	}
	f := &faults{}
	if o.Signed != nil {
		o.Signed.check(f.at("signed"), dir)
	}
	if o.Clients != nil {
		o.Clients.check(f.at("clients"))
	}
	if o.Ephemeral != nil {
		if err := o.Ephemeral.check(); err != nil {
			f.at("ephemeral").add("", err)
		}
	}
	if o.Fleet != nil {
		o.Fleet.check(f.at("fleet"), dir)
	}
	if o.Exchange != nil {
		o.Exchange.check(f.at("exchange"), dir, o.Fleet != nil)
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
		return fmt.Errorf("path: %q is not /name/name", e.Path)
	}
	e.SessionMS = cmp.Or(e.SessionMS, defaultSessionMS)
	if e.SessionMS < leastSessionMS {
		return fmt.Errorf("session_ms: %d is under %d", e.SessionMS, leastSessionMS)
	}
	return nil
}

// faults collects what is wrong with a file, each under the path of its key.
type faults struct {
	path string
	list *[]error
}

// at gives the faults of what stands under a key.
func (f *faults) at(key string) *faults {
	if f.list == nil {
		f.list = &[]error{}
	}
	if f.path != "" {
		key = f.path + "." + key
	}
	return &faults{path: key, list: f.list}
}

// add takes a fault of a key; empty: the error names it.
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

func (f *faults) err() error {
	if f.list == nil {
		return nil
	}
	return errors.Join(*f.list...)
}

// Fixed names the keys that another file sets otherwise, and that take effect
// at a start only.
func (o *Operator) RestartKeys(n *Operator) (keys []string) {
	if !reflect.DeepEqual(o.Ephemeral, n.Ephemeral) {
		keys = append(keys, "ephemeral")
	}
	if !reflect.DeepEqual(o.Fleet, n.Fleet) {
		keys = append(keys, "fleet")
	}
	if !o.Exchange.same(n.Exchange) {
		keys = append(keys, "exchange")
	}
	if c, m := o.Clients, n.Clients; c == nil || m == nil {
		if c != m {
			keys = append(keys, "clients")
		}
	} else {
		for _, x := range []struct {
			key     string
			changed bool
		}{{"clients.admission", c.Admission != m.Admission}, {"clients.least_bytes_s", c.MinBytesPerS != m.MinBytesPerS},
			{"clients.credit_ms", c.CreditMS != m.CreditMS}, {"clients.memory_mb", c.MemoryMB != m.MemoryMB}} {
			if x.changed {
				keys = append(keys, x.key)
			}
		}
	}
	a, b := o.Signed, n.Signed
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

// FileBounds gives the bounds that follow from an operator's file for what a fleet
// shares, a line each; none where it shares nothing, or has faults.
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

// CheckFile tells all faults of a file, the platform's or an operator's; which
// it is, its keys tell.
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

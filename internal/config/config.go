package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"cherryramp/internal/discovery"
	"cherryramp/rules"
)

// Defaults for what the platform's file may leave out.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	defaultStreams  = 32
	defaultIdle     = 15_000_000
	defaultConnect  = 400_000
	clientPart      = 3
)

// Config is all that the program is told.
type Config struct {
	Name         string
	Listen       string
	AdminAddress string // the operators' door; empty: none
	Seed         uint64
	MemoryMB     int
	Sockets      int

	Settings rules.Settings
	Digest   string // names the settings: 16 hex digits of SHA-256 over their JSON, without its spaces
	Zones    []string
	Kinds    []string

	StreamsPerConn  int          // attempts that a connection to a node carries together
	ConnectTimeout  rules.Micros // a connection not up by then has failed
	ConnIdleTimeout rules.Micros // nodes close connections that idle for so long

	Flow, Link float64 // bytes a second of one transfer of our own copies, and of all; 0: none

	Board         string // address of the notice board; empty: none
	InitialUpdate *discovery.Update
}

// file is the platform's configuration file.
type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Ops    string `json:"ops"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Board    string          `json:"board"`
	Flow     float64         `json:"flow_bytes_per_s"`
	Link     float64         `json:"link_bytes_per_s"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration that the environment names.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("config: ROUTER_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: ROUTER_CONFIG: %w", err)
	}
	ops := getenv("ROUTER_OPS")
	if ops != "" {
		if err := checkAddress(ops); err != nil {
			return nil, fmt.Errorf("config: ROUTER_OPS: %w", err)
		}
	}
	c, err := Parse(data, getenv("ROUTER_NAME"), getenv("ROUTER_LISTEN"))
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	c.AdminAddress = cmp.Or(ops, c.AdminAddress)
	return c, nil
}

// Parse reads the platform's file. A name and an address from the environment
// go before those in it; so does ROUTER_OPS before `ops`, in Load. The error names every fault that was found, a line each.
func Parse(data []byte, name, listen string) (*Config, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a %s can't be used", wrong.Field, wrong.Value)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c := &Config{Name: cmp.Or(name, f.Name, "front"), Listen: cmp.Or(listen, f.Listen), AdminAddress: f.Ops, Board: f.Board,
		Flow: f.Flow, Link: f.Link,
		MemoryMB: cmp.Or(int(f.Limits.MemoryMB), defaultMemoryMB),
		Sockets:  cmp.Or(f.Limits.Sockets, defaultSockets)}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for _, x := range []struct{ key, address string }{{"listen", c.Listen}, {"board", c.Board}, {"ops", c.AdminAddress}} {
		if x.key != "listen" && x.address == "" {
			continue
		}
		if err := checkAddress(x.address); err != nil {
			fault("%s: %w", x.key, err)
		}
	}
	if c.Flow < 0 || c.Link < 0 {
		fault("flow_bytes_per_s, link_bytes_per_s: %v, %v: negative", c.Flow, c.Link)
	}
	if c.MemoryMB < 16 {
		fault("limits.memory_mb: %d is too little", c.MemoryMB)
	}
	if c.Sockets < 32 {
		fault("limits.sockets: %d is too few", c.Sockets)
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			fault("seed: %q is not 16 hex digits", f.Seed)
		}
	}
	if len(f.Known) > 0 {
		if c.InitialUpdate, err = discovery.ParseUpdate(f.Known); err != nil {
			fault("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		fault("settings: missing")
	} else if err := c.settings(f.Settings); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return c, nil
}

// Next is the configuration in force once another was taken while the program
// runs: the other one, but for what takes effect at a start only. Of that it
// names the keys that the other sets otherwise.
func (c *Config) Reload(o *Config) (next *Config, fixed []string) {
	n := *o
	keep := func(key string, differs bool, back func()) {
		if differs {
			fixed = append(fixed, key)
			back()
		}
	}
	keep("name", n.Name != c.Name, func() { n.Name = c.Name })
	keep("listen", n.Listen != c.Listen, func() { n.Listen = c.Listen })
	keep("ops", n.AdminAddress != c.AdminAddress, func() { n.AdminAddress = c.AdminAddress })
	keep("limits", n.MemoryMB != c.MemoryMB || n.Sockets != c.Sockets, func() {
		n.MemoryMB, n.Sockets = c.MemoryMB, c.Sockets
		n.Settings.MaxHeld = min(n.Settings.MaxHeld, c.Sockets/clientPart)
	})
	keep("board", (n.Board == "") != (c.Board == ""), func() { n.Board = c.Board })
	s, was := &n.Settings, &c.Settings
	keep("settings.zones", !slices.Equal(n.Zones, c.Zones), func() { n.Zones = c.Zones })
	keep("settings.zone", s.Zone != was.Zone, func() { s.Zone = was.Zone })
	keep("settings.machine-types", !slices.Equal(n.Kinds, c.Kinds), func() { n.Kinds = c.Kinds })
	keep("settings.extra.upper-kind", s.ParentKind != was.ParentKind, func() { s.ParentKind = was.ParentKind })
	keep("settings.extra.store-kind", s.OriginKind != was.OriginKind, func() { s.OriginKind = was.OriginKind })
	keep("settings.discovery", s.ListOnRequest != was.ListOnRequest, func() { s.ListOnRequest = was.ListOnRequest })
	n.Seed, n.InitialUpdate = c.Seed, c.InitialUpdate // only a start asks for them
	return &n, fixed
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port", address)
	}
	return nil
}

// settings reads the nested settings through the same lines as the simulator's.
func (c *Config) settings(raw json.RawMessage) error {
	var tree any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if _, ok := tree.(map[string]any); !ok {
		return errors.New("settings: not an object")
	}
	var plain bytes.Buffer
	if err := json.Compact(&plain, raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	sum := sha256.Sum256(plain.Bytes())
	c.Digest = hex.EncodeToString(sum[:8])
	f := &facts{values: make(map[string]string)}
	flatten(f.values, "", tree)
	if c.Settings = f.settings(); f.err != nil {
		return f.err
	}
	if len(c.Settings.Classes) == 0 {
		return errors.New("settings: grades: no classes")
	}
	for i, class := range c.Settings.Classes {
		if class.Name == "" || strings.ContainsAny(class.Name, " ,=/?%\r\n") {
			return fmt.Errorf("settings: grades.%d.name=%s: can't be used", i, class.Name)
		}
		if slices.ContainsFunc(c.Settings.Classes[:i], func(o rules.Class) bool { return o.Name == class.Name }) {
			return fmt.Errorf("settings: grades.%d.name=%s: a second class of that name", i, class.Name)
		}
	}
	if err := f.needed(len(c.Settings.Classes)); err != nil {
		return err
	}
	// Clients hold a third of the descriptors at most, one request on each.
	if places := c.Sockets / clientPart; c.Settings.MaxHeld == 0 || c.Settings.MaxHeld > places {
		c.Settings.MaxHeld = places
	}
	c.Zones, c.Kinds = f.list("zones"), f.list("machine-types")
	c.StreamsPerConn = f.int("limits.streams-per-conn", defaultStreams)
	c.ConnectTimeout = f.micros("limits.connect-timeout-us", defaultConnect)
	c.ConnIdleTimeout = f.micros("limits.conn-idle-us", defaultIdle)
	return f.err
}

// flatten turns nested values into the path=value lines of the simulator.
func flatten(out map[string]string, path string, v any) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(out, join(k), x)
		}
	case []any:
		var words []string
		for i, x := range v {
			if m, ok := x.(map[string]any); ok {
				flatten(out, join(strconv.Itoa(i)), m)
				continue
			}
			words = append(words, scalar(x))
		}
		if len(words) < len(v) {
			out[join("count")] = strconv.Itoa(len(v))
			return
		}
		out[path] = strings.Join(words, ",")
	default:
		out[path] = scalar(v)
	}
}

// scalar writes a simple value as the simulator does.
func scalar(v any) string {
	if v == nil {
		return ""
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}

// LogLevel reads the level of the log from the environment.
func LogLevel(getenv func(string) string) (level slog.Level, err error) {
	const key = "CHERRYRAMP_LOG"
	if text := getenv(key); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return level, fmt.Errorf("config: %s: %w", key, err)
		}
	}
	return level, nil
}

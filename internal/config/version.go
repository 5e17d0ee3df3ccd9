package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Version is what a fleet's version holds: what takes the place of parts of the files
// that each front has of its own, and what it is told beside.
type Version struct {
	Settings json.RawMessage `json:"settings,omitempty"` // laid over `settings` of the platform's file
	Clients  json.RawMessage `json:"clients,omitempty"`  // laid over that section of the operator's file
	Signed   json.RawMessage `json:"signed,omitempty"`   // and this
	Drain    []string        `json:"drain,omitempty"`    // servers that nothing new goes to
	Purge    *VersionPurge   `json:"purge,omitempty"`
}

// VersionPurge is what has no copy from before a version was taken up.
type VersionPurge struct {
	Objects []string `json:"objects,omitempty"`
	Groups  []int    `json:"groups,omitempty"`
}

const mostListed = 1000 // servers or objects of a version

// ParseVersion reads a version's file. The error names every fault.
func ParseVersion(data []byte) (*Version, error) {
	var v Version
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a %s can't be used", cmp.Or(wrong.Field, "the file, which is to be an object"), wrong.Value)
		}
		return nil, fmt.Errorf("not a version's file: %w", err)
	}
	if rest := bytes.TrimSpace(data[d.InputOffset():]); len(rest) > 0 {
		return nil, errors.New("something stands behind the file's object")
	}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for _, x := range []struct {
		key string
		raw json.RawMessage
	}{{"settings", v.Settings}, {"clients", v.Clients}, {"signed", v.Signed}} {
		if len(x.raw) > 0 && x.raw[0] != '{' {
			fault("%s: not an object", x.key)
		}
	}
	names := func(key string, list []string) {
		if len(list) > mostListed {
			fault("%s: %d names, %d at most", key, len(list), mostListed)
		}
		for _, n := range list {
			if n == "" || len(n) > 128 || strings.ContainsAny(n, " \t\r\n\"") {
				fault("%s: %q is not a name", key, n)
			}
		}
	}
	names("drain", v.Drain)
	if v.Purge != nil {
		names("purge.objects", v.Purge.Objects)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return &v, nil
}

// LoadVersion reads the files that the environment names, with a version laid over
// them; nil: as they are. Both are checked whole.
func LoadVersion(getenv func(string) string, v *Version) (*Config, *Operator, error) {
	if v == nil {
		c, err := Load(getenv)
		o, err2 := LoadOperator(getenv)
		return c, o, errors.Join(err, err2)
	}
	data, err := os.ReadFile(getenv("ROUTER_CONFIG"))
	if err != nil {
		return nil, nil, fmt.Errorf("config: ROUTER_CONFIG: %w", err)
	}
	if data, err = lay(data, map[string]json.RawMessage{"settings": v.Settings}); err != nil {
		return nil, nil, err
	}
	c, err := Parse(data, getenv("ROUTER_NAME"), getenv("ROUTER_LISTEN"))
	if err != nil {
		return nil, nil, err
	}
	if ops := getenv("ROUTER_OPS"); ops != "" {
		c.AdminAddress = ops
	}
	path := getenv("CHERRYRAMP_OPERATOR")
	if data, err = os.ReadFile(path); err != nil {
		return nil, nil, fmt.Errorf("config: CHERRYRAMP_OPERATOR: %w", err)
	}
	if data, err = lay(data, map[string]json.RawMessage{"clients": v.Clients, "signed": v.Signed}); err != nil {
		return nil, nil, err
	}
	o, err := ParseOperator(data, filepath.Dir(path))
	return c, o, err
}

// lay puts parts over a file's keys: objects are laid over objects, key by key; null
// takes a key away; all else takes the place of what was there (RFC 7396).
func lay(data []byte, parts map[string]json.RawMessage) ([]byte, error) {
	var file map[string]any
	read := func(b []byte, to any) error {
		d := json.NewDecoder(bytes.NewReader(b))
		d.UseNumber()
		return d.Decode(to)
	}
	if err := read(data, &file); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	for key, raw := range parts {
		if len(raw) == 0 {
			continue
		}
		var patch any
		if err := read(raw, &patch); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		file[key] = merged(file[key], patch)
	}
	return json.Marshal(file)
}

func merged(was, patch any) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out, ok := was.(map[string]any)
	if !ok {
		out = map[string]any{}
	}
	for key, x := range p {
		if x == nil {
			delete(out, key)
		} else {
			out[key] = merged(out[key], x)
		}
	}
	return out
}

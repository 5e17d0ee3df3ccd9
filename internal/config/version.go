package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
)

// Version is a configuration version of a fleet: patches for parts of each front's
// own files, servers to drain and objects to purge.
type Version struct {
	Settings json.RawMessage `json:"settings,omitempty"` // merge patch for `settings` of the platform's file
	Clients  json.RawMessage `json:"clients,omitempty"`  // merge patch for that section of the operator's file
	Signed   json.RawMessage `json:"signed,omitempty"`   // likewise
	Drain    []string        `json:"drain,omitempty"`    // servers that get no new requests
	Purge    *VersionPurge   `json:"purge,omitempty"`
}

// VersionPurge names objects and groups whose copies from before a version was
// applied are purged.
type VersionPurge struct {
	Objects []string `json:"objects,omitempty"`
	Groups  []int    `json:"groups,omitempty"`
}

const maxListed = 1000 // servers, or objects, in one version

// ParseVersion reads and checks a version's file. The error names every fault, one
// per line.
func ParseVersion(data []byte) (*Version, error) {
	var v Version
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a JSON %s is not allowed", cmp.Or(wrong.Field, "the file, which must be an object"), wrong.Value)
		}
		return nil, fmt.Errorf("not a version file: %w", err)
	}
	if rest := bytes.TrimSpace(data[d.InputOffset():]); len(rest) > 0 {
		return nil, errors.New("unexpected data after the file's JSON object")
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
		if len(list) > maxListed {
			fault("%s: %d names, at most %d are allowed", key, len(list), maxListed)
		}
		for _, n := range list {
			if n == "" || len(n) > 128 || strings.ContainsAny(n, " \t\r\n\"") {
				fault("%s: %q is not a name of 1 to 128 bytes without spaces and quotes", key, n)
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

// applyPatches applies a JSON merge patch (RFC 7396) to each named top-level key of
// a file. Empty patches change nothing.
func applyPatches(data []byte, patches map[string]json.RawMessage) ([]byte, error) {
	maps.DeleteFunc(patches, func(_ string, raw json.RawMessage) bool { return len(raw) == 0 })
	if len(patches) == 0 {
		return data, nil
	}
	var file map[string]any
	read := func(b []byte, to any) error {
		d := json.NewDecoder(bytes.NewReader(b))
		d.UseNumber()
		return d.Decode(to)
	}
	if err := read(data, &file); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	for key, raw := range patches {
		var patch any
		if err := read(raw, &patch); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		file[key] = mergePatch(file[key], patch)
	}
	return json.Marshal(file)
}

// mergePatch gives current with a merge patch applied: objects are merged by key,
// null removes a key, and any other value replaces the current one.
func mergePatch(current, patch any) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out, ok := current.(map[string]any)
	if !ok {
		out = map[string]any{}
	}
	for key, x := range p {
		if x == nil {
			delete(out, key)
		} else {
			out[key] = mergePatch(out[key], x)
		}
	}
	return out
}

package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Names of environment variables.
const (
	platformVariable = "ROUTER_CONFIG"
	operatorVariable = "CHERRYRAMP_OPERATOR"
	adminVariable    = "ROUTER_OPS"
	sharedVariable   = "TMPDIR"
)

// Files are a front's own files as they were read at one time: the platform's and the
// operator's. A version of the fleet is applied to them, not to what is on disk by then.
type Files struct {
	platformPath string
	platform     []byte
	operatorPath string // "": there is no operator's file
	operator     []byte
	name, listen string // from the environment, in place of the platform's file
	admin        string // likewise
	sharedDir    string // folder that the processes of a front share
}

// ReadFiles reads the files that ROUTER_CONFIG and CHERRYRAMP_OPERATOR name. The error may
// join one for each file.
func ReadFiles(getenv func(string) string) (*Files, error) {
	f, err := readPlatformFile(getenv)
	if f.operatorPath = getenv(operatorVariable); f.operatorPath != "" {
		var operatorErr error
		if f.operator, operatorErr = os.ReadFile(f.operatorPath); operatorErr != nil {
			err = errors.Join(err, fmt.Errorf("config: %s: %w", operatorVariable, operatorErr))
		}
	}
	return f, err
}

func readPlatformFile(getenv func(string) string) (*Files, error) {
	f := &Files{platformPath: getenv(platformVariable), name: getenv("ROUTER_NAME"), listen: getenv("ROUTER_LISTEN"), admin: getenv(adminVariable),
		sharedDir: getenv(sharedVariable)}
	if f.platformPath == "" {
		return f, fmt.Errorf("config: %s is not set", platformVariable)
	}
	var err error
	if f.platform, err = os.ReadFile(f.platformPath); err != nil {
		return f, fmt.Errorf("config: %s: %w", platformVariable, err)
	}
	if f.admin != "" {
		if err := checkAddress(f.admin); err != nil {
			return f, fmt.Errorf("config: %s: %w", adminVariable, err)
		}
	}
	return f, nil
}

// Load applies a version's patches to the files and checks both in full; nil: no patches.
// The error may join one for each file.
func (f *Files) Load(v *Version) (*Config, *Operator, error) {
	if v == nil {
		v = &Version{}
	}
	c, platformErr := f.loadPlatform(v)
	o, operatorErr := f.loadOperator(v)
	return c, o, errors.Join(platformErr, operatorErr)
}

func (f *Files) loadPlatform(v *Version) (*Config, error) {
	c, err := f.parsePlatform(v)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", f.platformPath, err)
	}
	c.AdminAddress = cmp.Or(f.admin, c.AdminAddress)
	c.SharedDir = f.sharedDir
	return c, nil
}

// parsePlatform parses the platform's file with a version's patches, which must not
// remove a key that the file has.
func (f *Files) parsePlatform(v *Version) (*Config, error) {
	own, err := Parse(f.platform, f.name, f.listen)
	if err != nil || len(v.Settings) == 0 {
		return own, err
	}
	data, err := applyPatches(f.platform, map[string]json.RawMessage{"settings": v.Settings})
	if err != nil {
		return nil, err
	}
	patched, err := Parse(data, f.name, f.listen)
	if err != nil {
		return nil, err
	}
	return patched, patched.keys.checkReplaces(own.keys)
}

// CheckReplaces returns an error that names the keys of current's platform file that f's
// lacks, or nil. The keys seed and known, which are used only at a start, a class that is
// gone, and keys that a class may always lack don't count.
func (f *Files) CheckReplaces(current *Files) error {
	next, err := f.loadPlatform(&Version{})
	if err != nil {
		return err
	}
	inForce, err := current.loadPlatform(&Version{})
	if err != nil {
		return err
	}
	if err := next.keys.checkReplaces(inForce.keys); err != nil {
		return fmt.Errorf("config: %s: %w", f.platformPath, err)
	}
	return nil
}

func (f *Files) loadOperator(v *Version) (*Operator, error) {
	if f.operatorPath == "" {
		return &Operator{}, nil
	}
	data, err := applyPatches(f.operator, map[string]json.RawMessage{"clients": v.Clients, "signed": v.Signed})
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", f.operatorPath, err)
	}
	o, err := ParseOperator(data, filepath.Dir(f.operatorPath))
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", f.operatorPath, err)
	}
	return o, nil
}

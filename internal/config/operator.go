package config

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
)

// Bounds and defaults of the operator's file.
const (
	defaultSkewMS      = 2000
	mostSkewMS         = 10_000
	defaultTokenName   = "hdnts"
	defaultTokenHeader = "X-Edge-Token"
	leastTokenSecret   = 16
	urlSecret          = 16
	defaultSessionMS   = 4000
	leastSessionMS     = 1000
)

// Operator is what an operator sets up beside the platform's configuration.
// Nil parts are off.
type Operator struct {
	Signed    *Signed    `json:"signed"`
	Ephemeral *Ephemeral `json:"ephemeral"`
}

// Ephemeral takes the list of servers from ephemeral nodes.
type Ephemeral struct {
	Servers   []string `json:"servers"`
	Path      string   `json:"path"`
	SessionMS int      `json:"session_ms"`
}

// Signed sets up the front for signed URLs and tokens.
type Signed struct {
	Listen       string `json:"listen"`
	Branch       string `json:"branch"`
	SkewMS       *int   `json:"skew_ms"`
	URLBase      string `json:"url_base"`
	TokenName    string `json:"token_name"`
	TokenHeader  string `json:"token_header"`
	AllowUnbound bool   `json:"allow_unbound"`
	URLKeys      []Key  `json:"url_keys"`
	TokenKeys    []Key  `json:"token_keys"`
}

// Key is a named secret: base64url in url_keys, hex in token_keys.
type Key struct {
	Name   string `json:"name"`
	Text   string `json:"secret"`
	Secret []byte `json:"-"`
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
	o, err := ParseOperator(data)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads and checks an operator's file.
func ParseOperator(data []byte) (*Operator, error) {
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
	if o.Signed != nil {
		if err := o.Signed.check(); err != nil {
			return nil, fmt.Errorf("signed.%w", err)
		}
	}
	if o.Ephemeral != nil {
		if err := o.Ephemeral.check(); err != nil {
			return nil, fmt.Errorf("ephemeral.%w", err)
		}
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

func (s *Signed) check() error {
	if err := checkAddress(s.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if s.Branch == "" {
		return errors.New("branch: missing")
	}
	if s.SkewMS == nil {
		skew := defaultSkewMS
		s.SkewMS = &skew
	}
	if *s.SkewMS < 0 || *s.SkewMS > mostSkewMS {
		return fmt.Errorf("skew_ms: %d is not 0 to %d", *s.SkewMS, mostSkewMS)
	}
	s.TokenName = cmp.Or(s.TokenName, defaultTokenName)
	s.TokenHeader = cmp.Or(s.TokenHeader, defaultTokenHeader)
	for _, x := range []struct{ key, word string }{{"token_name", s.TokenName}, {"token_header", s.TokenHeader}} {
		if strings.Trim(x.word, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" {
			return fmt.Errorf("%s: %q is not letters, digits, '-' and '_'", x.key, x.word)
		}
	}
	if len(s.URLKeys)+len(s.TokenKeys) == 0 {
		return errors.New("url_keys: no key here or in token_keys")
	}
	if base, err := url.Parse(s.URLBase); len(s.URLKeys) > 0 &&
		(err != nil || base.Host == "" || base.Scheme+"://"+base.Host != s.URLBase) {
		return fmt.Errorf("url_base: %q is not scheme://host", s.URLBase)
	}
	err := checkKeys("url_keys", s.URLKeys, func(text string) ([]byte, error) {
		secret, err := base64.URLEncoding.DecodeString(text)
		if err != nil || len(secret) != urlSecret {
			return nil, fmt.Errorf("not base64url of %d bytes", urlSecret)
		}
		return secret, nil
	})
	if err != nil {
		return err
	}
	return checkKeys("token_keys", s.TokenKeys, func(text string) ([]byte, error) {
		secret, err := hex.DecodeString(text)
		if err != nil || len(secret) < leastTokenSecret {
			return nil, fmt.Errorf("not hex of %d bytes at least", leastTokenSecret)
		}
		return secret, nil
	})
}

// checkKeys decodes the secrets. Its errors name a key by its place and never
// show a secret.
func checkKeys(list string, keys []Key, decode func(string) ([]byte, error)) error {
	seen := map[string]bool{}
	for i := range keys {
		k := &keys[i]
		if k.Name == "" || len(k.Name) > 63 || strings.ContainsAny(k.Name, "&=?#%+ ~") || seen[k.Name] {
			return fmt.Errorf("%s[%d].name: %q is empty, taken twice or holds odd signs", list, i, k.Name)
		}
		seen[k.Name] = true
		var err error
		if k.Secret, err = decode(k.Text); err != nil {
			return fmt.Errorf("%s[%d].secret: %w", list, i, err)
		}
	}
	return nil
}

package config

import (
	"cmp"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cherryramp/internal/decide/grants"
	"cherryramp/internal/decide/keyring"
	"cherryramp/internal/decide/ratelimit"
	"cherryramp/internal/decide/revoked"
)

// Bounds and defaults of the signed section.
const (
	defaultSkewMS       = 2000
	maxSkewMS           = 10_000
	defaultTokenName    = "hdnts"
	defaultTokenHeader  = "X-Edge-Token"
	minTokenSecretBytes = 16
	urlSecretBytes      = 16
	defaultVerdicts     = 8192
	defaultWorkers      = 2
	maxWorkers          = 8
	defaultQueue        = 512
	defaultRates        = 65_536
	defaultUses         = 65_536
	maxTableEntries     = 4 << 20
	defaultRetryMS      = 5000
	defaultEncodedMB    = 8
	defaultPreflightS   = 600
	ownTenant           = "own" // tenant of url_keys, token_keys and profiles that name none
	maxKeyFileBytes     = 1 << 20
	maxProfiles         = 64
)

// Signed sets up the front for signed URLs and tokens. Its keys are given in a short
// form, for two formats, or as rings and profiles.
type Signed struct {
	Listen string `json:"listen"`
	Branch string `json:"branch"`
	SkewMS *int   `json:"skew_ms"`

	// Short form: keys of two formats.
	URLBase            string     `json:"url_base"`
	TokenName          string     `json:"token_name"`
	TokenHeader        string     `json:"token_header"`
	AllowMissingBranch bool       `json:"allow_unbound"`
	URLKeys            []ShortKey `json:"url_keys"`
	TokenKeys          []ShortKey `json:"token_keys"`

	// Full form.
	Rings             []Ring                  `json:"rings"`
	Profiles          []Profile               `json:"profiles"`
	Tenants           []Tenant                `json:"tenants"`
	Revoked           Revoked                 `json:"revoked"`
	MaxCachedVerdicts int                     `json:"verdicts"`
	Pool              Pool                    `json:"pool"`
	Tables            Tables                  `json:"tables"`
	CORS              *CORS                   `json:"cors"`
	Classes           map[string]ClassAnswers `json:"classes"`

	EncodedMB *int `json:"encoded_mb"`

	ProfileSet     *grants.ProfileSet       `json:"-"` // grants of all profiles
	RevokedList    *revoked.List            `json:"-"`
	ProfilesByName map[string]*Profile      `json:"-"`
	TenantsByName  map[string]*Tenant       `json:"-"`
	RingsByName    map[string]*keyring.Ring `json:"-"`
}

// ShortKey is a named secret of the short form: base64url in url_keys, hex in
// token_keys.
type ShortKey struct {
	Name   string `json:"name"`
	Secret string `json:"secret"`
}

// Ring is a named set of keys.
type Ring struct {
	Name    string `json:"name"`
	Keys    []Key  `json:"keys"`
	JWKFile string `json:"jwk_file"` // JWK set whose keys are active, in addition to Keys
}

// Key is one key of a ring. Exactly one form of its secret or public key is given.
type Key struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	From   string `json:"from"`  // RFC 3339, for state next
	Until  string `json:"until"` // RFC 3339, for state retiring
	SkewMS *int   `json:"skew_ms"`
	Alg    string `json:"alg"`

	Secret    string `json:"secret"`     // literal bytes
	SecretHex string `json:"secret_hex"` // hex
	SecretB64 string `json:"secret_b64"` // base64url, with or without padding
	PEM       string `json:"pem"`
	PEMFile   string `json:"pem_file"`
}

// Profile describes one way of signing links.
type Profile struct {
	Name               string      `json:"name"`
	Tenant             string      `json:"tenant"`
	Format             string      `json:"format"`
	Ring               string      `json:"ring"`
	BaseURL            string      `json:"base"`
	SkewMS             *int        `json:"skew_ms"`
	Query              string      `json:"query"`
	Cookie             string      `json:"cookie"`
	Header             string      `json:"header"`
	RequireBranch      bool        `json:"bound"`
	AllowMissingBranch bool        `json:"allow_unbound"`
	Digest             string      `json:"digest"`
	Salt               string      `json:"salt"`
	AllowNoExpiry      bool        `json:"allow_endless"`
	Issuers            []string    `json:"issuers"`
	Audience           string      `json:"audience"`
	TimedFormat        TimedFormat `json:"describe"`
	Uses               int         `json:"uses"`     // uses of one token; 0: unlimited
	RetryMS            *int        `json:"retry_ms"` // window in which a repeated request counts as one use

	Grants    *grants.Profile `json:"-"`
	shortForm bool            // made from the short form
}

// TimedFormat is how a profile of format timed forms its digest and token.
type TimedFormat struct {
	Message   string `json:"message"`
	Token     string `json:"token"`
	TimeParam string `json:"separate"`
	Digest    string `json:"digest"`
	Encoding  string `json:"encoding"`
	TimeBase  int    `json:"base"`
	LifetimeS int    `json:"life_s"`
}

// Limit bounds the rate and the number of open requests; a zero field is unlimited.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
	Open  int     `json:"open"`
}

// RateLimit gives the limit as package ratelimit has it.
func (l Limit) RateLimit() ratelimit.Limit {
	return ratelimit.Limit{Rate: l.Rate, Burst: l.Burst, Open: l.Open}
}

// Tenant is the owner of links, with its paths and limits.
type Tenant struct {
	Name  string   `json:"name"`
	Paths []string `json:"paths"` // prefixes that its links may grant; none: every path
	Limit
	Key     Limit `json:"each_key"`
	Subject Limit `json:"each_subject"`
}

// Revoked lists revoked tokens, subjects, keys and path prefixes.
type Revoked struct {
	Tokens   []string `json:"tokens"`
	Subjects []string `json:"subjects"`
	Keys     []string `json:"keys"`
	Paths    []string `json:"paths"`
}

// Pool sets up the workers that check costly signatures and encode answers.
type Pool struct {
	Workers int `json:"workers"`
	Queue   int `json:"queue"`
}

// Tables bounds the entries of the tables that requests are counted in.
type Tables struct {
	Rates int `json:"rates"`
	Uses  int `json:"uses"`
}

// CORS sets which origins' scripts may read answers (the Fetch standard).
type CORS struct {
	Origins     []string `json:"origins"` // scheme://host, or "*" alone
	Headers     []string `json:"headers"` // request headers that are allowed
	Credentials bool     `json:"credentials"`
	MaxAgeS     *int     `json:"max_age_s"` // of a preflight's answer; 600
}

// ClassAnswers sets the headers and the encoding of a class's answers.
type ClassAnswers struct {
	Type     string `json:"type"` // Content-Type
	Compress bool   `json:"compress"`
	MaxAgeS  int    `json:"max_age_s"` // time that clients may cache an answer; 0: they revalidate each time
}

// check sets defaults, adds every fault to f, and makes the rings, profiles, tenants
// and revocation list that the section describes.
func (s *Signed) check(f *faults, dir string) {
	if err := checkAddress(s.Listen); err != nil {
		f.add("listen", err)
	}
	if s.Branch == "" {
		f.addf("branch", "missing")
	}
	skew := checkSkew(f, "skew_ms", s.SkewMS, defaultSkewMS)
	s.SkewMS = &skew
	s.TokenName = cmp.Or(s.TokenName, defaultTokenName)
	s.TokenHeader = cmp.Or(s.TokenHeader, defaultTokenHeader)
	checkToken(f, "token_name", s.TokenName)
	checkToken(f, "token_header", s.TokenHeader)
	s.RingsByName = map[string]*keyring.Ring{}
	s.addShortKeys(f)
	for i := range s.Rings {
		s.Rings[i].check(f.under(fmt.Sprintf("rings[%d]", i)), dir, s.RingsByName)
	}
	s.TenantsByName = map[string]*Tenant{ownTenant: {Name: ownTenant}}
	for i := range s.Tenants {
		s.Tenants[i].check(f.under(fmt.Sprintf("tenants[%d]", i)), s.TenantsByName)
	}
	if len(s.Profiles) == 0 || len(s.Profiles) > maxProfiles {
		f.addf("url_keys", "no key here, in token_keys or in profiles (%d profiles, at most %d are allowed)", len(s.Profiles), maxProfiles)
	}
	s.ProfilesByName = map[string]*Profile{}
	var list []*grants.Profile
	for i := range s.Profiles {
		p := &s.Profiles[i]
		p.check(f.under(fmt.Sprintf("profiles[%d]", i)), s)
		if p.Grants != nil {
			list = append(list, p.Grants)
		}
	}
	var err error
	if s.RevokedList, err = revoked.New(revoked.Entries{Tokens: s.Revoked.Tokens, Subjects: s.Revoked.Subjects,
		Keys: s.Revoked.Keys, Paths: s.Revoked.Paths}); err != nil {
		f.under("revoked").add("", err)
	}
	checkBound(f, "verdicts", &s.MaxCachedVerdicts, defaultVerdicts, maxTableEntries)
	checkBound(f, "pool.workers", &s.Pool.Workers, defaultWorkers, maxWorkers)
	checkBound(f, "pool.queue", &s.Pool.Queue, defaultQueue, 1<<16)
	checkBound(f, "tables.rates", &s.Tables.Rates, defaultRates, maxTableEntries)
	checkBound(f, "tables.uses", &s.Tables.Uses, defaultUses, maxTableEntries)
	if s.EncodedMB == nil {
		mb := defaultEncodedMB
		s.EncodedMB = &mb
	}
	if *s.EncodedMB < 0 || *s.EncodedMB > 1024 {
		f.addf("encoded_mb", "%d is not 0 to 1024", *s.EncodedMB)
	}
	if s.CORS != nil {
		s.CORS.check(f.under("cors"))
	}
	for name, c := range s.Classes {
		f := f.under("classes." + name)
		if strings.ContainsAny(c.Type, "\r\n\x00") || c.Type != "" && !strings.Contains(c.Type, "/") {
			f.addf("type", "%q is not a media type", c.Type)
		}
		if c.MaxAgeS < 0 {
			f.addf("max_age_s", "%d is negative", c.MaxAgeS)
		}
	}
	if f.err() != nil {
		return
	}
	if s.ProfileSet, err = grants.New(grants.Config{Profiles: list, Branch: s.Branch, MaxCachedVerdicts: s.MaxCachedVerdicts}); err != nil {
		f.add("profiles", err)
	}
}

// addShortKeys makes rings and profiles of the short form's keys.
func (s *Signed) addShortKeys(f *faults) {
	for _, x := range []struct {
		key    string
		list   []ShortKey
		decode func(string) ([]byte, error)
		p      Profile
	}{
		{"url_keys", s.URLKeys, func(text string) ([]byte, error) {
			secret, err := base64.URLEncoding.DecodeString(text)
			if err != nil || len(secret) != urlSecretBytes {
				return nil, fmt.Errorf("not base64url of %d bytes", urlSecretBytes)
			}
			return secret, nil
		}, Profile{Format: grants.CloudCDN, BaseURL: s.URLBase}},
		{"token_keys", s.TokenKeys, func(text string) ([]byte, error) {
			secret, err := hex.DecodeString(text)
			if err != nil || len(secret) < minTokenSecretBytes {
				return nil, fmt.Errorf("not hex of at least %d bytes", minTokenSecretBytes)
			}
			return secret, nil
		}, Profile{Format: grants.EdgeAuth, Query: s.TokenName, Cookie: s.TokenName, Header: s.TokenHeader,
			RequireBranch: true, AllowMissingBranch: s.AllowMissingBranch}},
	} {
		if len(x.list) == 0 {
			continue
		}
		var keys []*keyring.Key
		for i, k := range x.list {
			secret, err := x.decode(k.Secret)
			if err != nil {
				f.add(fmt.Sprintf("%s[%d].secret", x.key, i), err)
				return
			}
			keys = append(keys, &keyring.Key{Name: k.Name, State: keyring.Active, Bytes: secret, Skew: -1})
		}
		ring, err := keyring.New(x.key, keys)
		if err != nil {
			f.add("", errors.New(strings.Replace(err.Error(), "keys", x.key, 1)))
			return
		}
		s.RingsByName[x.key] = ring
		x.p.Name, x.p.Ring, x.p.Tenant, x.p.shortForm = x.key, x.key, ownTenant, true
		s.Profiles = append(s.Profiles, x.p)
	}
}

// check makes the ring and adds it to rings, or adds its faults to f.
func (r *Ring) check(f *faults, dir string, rings map[string]*keyring.Ring) {
	if r.Name == "" || rings[r.Name] != nil {
		f.addf("name", "%q is empty or occurs twice", r.Name)
	}
	var keys []*keyring.Key
	if r.JWKFile != "" {
		text, err := readKeyFile(dir, r.JWKFile)
		if err == nil {
			keys, err = keyring.FromJWK(text)
		}
		f.add("jwk_file", err)
	}
	for i := range r.Keys {
		if k := r.Keys[i].build(f.under(fmt.Sprintf("keys[%d]", i)), dir); k != nil {
			keys = append(keys, k)
		}
	}
	if len(keys) < len(r.Keys) {
		return // the fault has been added
	}
	ring, err := keyring.New(r.Name, keys)
	if err != nil {
		f.add("", err)
		return
	}
	rings[r.Name] = ring
}

// build reads a key; nil: it can't be read. Its faults never contain a secret.
func (k *Key) build(f *faults, dir string) (key *keyring.Key) {
	forms := 0
	readForm := func(field, text string, read func() (*keyring.Key, error)) {
		if text == "" {
			return
		}
		var err error
		if key, err = read(); err != nil {
			f.add(field, err)
		}
		forms++
	}
	secret := func(b []byte, err error, what string) (*keyring.Key, error) {
		if err != nil {
			return nil, errors.New("not " + what)
		}
		return &keyring.Key{Name: k.Name, Kind: keyring.Secret, Bytes: b}, nil
	}
	readForm("secret", k.Secret, func() (*keyring.Key, error) { return secret([]byte(k.Secret), nil, "") })
	readForm("secret_hex", k.SecretHex, func() (*keyring.Key, error) {
		b, err := hex.DecodeString(k.SecretHex)
		return secret(b, err, "hex")
	})
	readForm("secret_b64", k.SecretB64, func() (*keyring.Key, error) {
		b, err := base64.RawURLEncoding.DecodeString(strings.TrimRight(k.SecretB64, "="))
		return secret(b, err, "base64url")
	})
	readForm("pem", k.PEM, func() (*keyring.Key, error) { return keyring.FromPEM(k.Name, []byte(k.PEM)) })
	readForm("pem_file", k.PEMFile, func() (*keyring.Key, error) {
		text, err := readKeyFile(dir, k.PEMFile)
		if err != nil {
			return nil, err
		}
		return keyring.FromPEM(k.Name, text)
	})
	if forms != 1 {
		f.addf("secret", "%d of secret, secret_hex, secret_b64, pem and pem_file are given, exactly one is needed", forms)
		return nil
	}
	if key == nil {
		return nil
	}
	state, err := keyring.ParseState(k.State)
	f.add("state", err)
	key.State, key.Alg, key.Skew = state, cmp.Or(k.Alg, key.Alg), -1
	if k.SkewMS != nil {
		key.Skew = int64(checkSkew(f, "skew_ms", k.SkewMS, 0)) * 1000
	}
	for _, x := range []struct {
		key, text string
		state     keyring.State
	}{{"from", k.From, keyring.Next}, {"until", k.Until, keyring.Retiring}} {
		if x.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, x.text)
		switch {
		case err != nil:
			f.addf(x.key, "%q is not like 2026-12-01T00:00:00Z", x.text)
		case state != x.state:
			f.addf(x.key, "belongs to a key that is %s", x.state)
		default:
			key.TransitionAt = at.UnixMicro()
		}
	}
	return key
}

// readKeyFile reads a file that the operator's file names; a relative name is
// relative to dir.
func readKeyFile(dir, name string) ([]byte, error) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(dir, name)
	}
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxKeyFileBytes {
		return nil, fmt.Errorf("%s is not a regular file of at most %d bytes", name, maxKeyFileBytes)
	}
	return os.ReadFile(name)
}

func (t *Tenant) check(f *faults, all map[string]*Tenant) {
	if t.Name == "" || all[t.Name] != nil && t.Name != ownTenant {
		f.addf("name", "%q is empty or occurs twice", t.Name)
	}
	all[t.Name] = t
	for i, p := range t.Paths {
		if !strings.HasPrefix(p, "/") {
			f.addf(fmt.Sprintf("paths[%d]", i), "%q does not begin with /", p)
		}
	}
	for _, x := range []struct {
		key string
		l   Limit
	}{{"", t.Limit}, {"each_key.", t.Key}, {"each_subject.", t.Subject}} {
		if x.l.Rate < 0 || x.l.Rate > 1e6 {
			f.addf(x.key+"rate", "%v is not 0 to 1000000 a second", x.l.Rate)
		}
		if x.l.Burst < 0 || x.l.Burst > 1e6 {
			f.addf(x.key+"burst", "%d is not 0 to 1000000", x.l.Burst)
		}
		if x.l.Open < 0 {
			f.addf(x.key+"open", "%d is negative", x.l.Open)
		}
	}
}

func (p *Profile) check(f *faults, s *Signed) {
	if p.Name == "" || s.ProfilesByName[p.Name] != nil {
		f.addf("name", "%q is empty or occurs twice", p.Name)
	}
	s.ProfilesByName[p.Name] = p
	p.Tenant = cmp.Or(p.Tenant, ownTenant)
	if s.TenantsByName[p.Tenant] == nil {
		f.addf("tenant", "%q is not among the tenants", p.Tenant)
	}
	if !slices.Contains(grants.Formats, p.Format) {
		f.addf("format", "%q is not one of %s", p.Format, strings.Join(grants.Formats, ", "))
		return
	}
	if p.Format == grants.CDNI {
		p.Query, p.Cookie = cmp.Or(p.Query, grants.DefaultCDNITokenName), cmp.Or(p.Cookie, grants.DefaultCDNITokenName)
	}
	if p.Format == grants.EdgeAuth && p.Query+p.Cookie+p.Header == "" {
		p.Query, p.Cookie = defaultTokenName, defaultTokenName
	}
	if p.Format == grants.Timed && p.Query+p.Cookie+p.Header == "" {
		f.addf("query", "missing, as are cookie and header: nothing carries the token")
	}
	for _, x := range []struct{ key, text string }{{"query", p.Query}, {"cookie", p.Cookie}, {"header", p.Header},
		{"describe.separate", p.TimedFormat.TimeParam}} {
		checkToken(f, x.key, x.text)
	}
	skew := checkSkew(f, "skew_ms", p.SkewMS, *s.SkewMS)
	if p.Uses < 0 {
		f.addf("uses", "%d is negative", p.Uses)
	}
	if p.RetryMS == nil {
		ms := defaultRetryMS
		p.RetryMS = &ms
	}
	if *p.RetryMS < 0 {
		f.addf("retry_ms", "%d is negative", *p.RetryMS)
	}
	ring := s.RingsByName[p.Ring]
	if ring == nil {
		f.addf("ring", "%q is not a usable ring", p.Ring)
		return
	}
	g := &grants.Profile{Name: p.Name, Tenant: p.Tenant, Format: p.Format, Ring: ring, BaseURL: p.BaseURL,
		Skew: int64(skew) * 1000, Query: p.Query, Cookie: p.Cookie, Header: p.Header, RequireBranch: p.RequireBranch,
		AllowMissingBranch: p.AllowMissingBranch, Digest: p.Digest, Salt: p.Salt, AllowNoExpiry: p.AllowNoExpiry,
		Issuers: p.Issuers, Audience: p.Audience, TimedFormat: grants.TimedFormat{Message: p.TimedFormat.Message,
			Token: p.TimedFormat.Token, TimeParam: p.TimedFormat.TimeParam, Digest: p.TimedFormat.Digest,
			Encoding: p.TimedFormat.Encoding, TimeBase: p.TimedFormat.TimeBase, Lifetime: int64(p.TimedFormat.LifetimeS) * 1_000_000}}
	if err := g.Check(); err != nil {
		if p.shortForm {
			err = errors.New(strings.Replace(err.Error(), "base:", "url_base:", 1))
			f.path = strings.SplitN(f.path, ".", 2)[0]
		}
		f.add("", err)
		return
	}
	p.Grants = g
}

func (c *CORS) check(f *faults) {
	if len(c.Origins) == 0 {
		f.addf("origins", "none")
	}
	for i, o := range c.Origins {
		scheme, host, ok := strings.Cut(o, "://")
		if o != "*" && (!ok || scheme == "" || host == "" || strings.ContainsAny(host, "/ \r\n*")) {
			f.addf(fmt.Sprintf("origins[%d]", i), "%q is not scheme://host or *", o)
		}
	}
	if c.Credentials && slices.Contains(c.Origins, "*") {
		f.addf("credentials", "not allowed with the origin *")
	}
	for i, h := range c.Headers {
		checkToken(f, fmt.Sprintf("headers[%d]", i), cmp.Or(h, " "))
	}
	if c.MaxAgeS == nil {
		s := defaultPreflightS
		c.MaxAgeS = &s
	}
	if *c.MaxAgeS < 0 || *c.MaxAgeS > 86_400 {
		f.addf("max_age_s", "%d is not 0 to 86400", *c.MaxAgeS)
	}
}

func checkSkew(f *faults, key string, ms *int, fallback int) int {
	if ms == nil {
		return fallback
	}
	if *ms < 0 || *ms > maxSkewMS {
		f.addf(key, "%d is not 0 to %d", *ms, maxSkewMS)
	}
	return *ms
}

func checkToken(f *faults, key, token string) {
	if strings.Trim(token, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" {
		f.addf(key, "%q has characters other than letters, digits, '-' and '_'", token)
	}
}

func checkBound(f *faults, key string, n *int, fallback, hi int) {
	if *n = cmp.Or(*n, fallback); *n < 1 || *n > hi {
		f.addf(key, "%d is not 1 to %d", *n, hi)
	}
}

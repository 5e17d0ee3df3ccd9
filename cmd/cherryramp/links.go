package main

import (
	"cmp"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/grants"
	"cherryramp/internal/decide/keyring"
	"cherryramp/internal/decide/revoked"
	"cherryramp/internal/httpwire"
)

// checkCommand tells what is wrong with files.
func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check [FILE...]", Short: "Tell all faults of configuration files",
		Long: "Tell all faults of platform's and operator's files, a line each, with the key. Without files, of those that the " +
			"environment names.",
		RunE: func(_ *cobra.Command, files []string) error { return check(files) }}
}

func check(files []string) error {
	bad := false
	tell := func(name string, err error) {
		if err == nil {
			fmt.Printf("%s: good\n", name)
			return
		}
		bad = true
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Printf("%s: %s\n", name, line)
		}
	}
	if len(files) == 0 {
		_, err := config.Load(os.Getenv)
		tell("ROUTER_CONFIG", err)
		_, err = config.LoadOperator(os.Getenv)
		tell("CHERRYRAMP_OPERATOR", err)
	}
	for _, name := range files {
		tell(name, config.CheckFile(name))
		for _, line := range config.FileBounds(name) {
			fmt.Printf("%s: %s\n", name, line)
		}
	}
	if bad {
		return atFault
	}
	return nil
}

// operatorFlag adds the flag of the file that has the keys.
func operatorFlag(c *cobra.Command) *string {
	return c.Flags().String("operator", "", "the operator's file (CHERRYRAMP_OPERATOR)")
}

// signedOf reads the section of a file, or of the one that the environment names.
func signedOf(path string) (*config.Signed, error) {
	x, err := config.LoadOperator(func(name string) string { return cmp.Or(path, os.Getenv(name)) })
	if err != nil {
		return nil, err
	}
	if x.Signed == nil {
		return nil, errors.New("there is no operator's file with a section signed: see --operator")
	}
	return x.Signed, nil
}

// moment reads a time as RFC 3339 has it.
func moment(flag, text string, otherwise time.Time) (time.Time, error) {
	if text == "" {
		return otherwise, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("--%s: %q is not like 2026-12-01T00:00:00Z", flag, text)
	}
	return t, nil
}

// signFlags is what a link is to be.
type signFlags struct {
	wish                       grants.LinkSpec
	operator                   *string
	profile, until, from, data string
	last, renew                time.Duration
}

func signCommand() *cobra.Command {
	var f signFlags
	c := &cobra.Command{Use: "sign TARGET", Short: "Sign a link by a key of the operator's file", Args: cobra.ExactArgs(1),
		Long: "Sign a link, as /files/guide-video/17/9f3a?seg=3, and print it in each form that it may be carried in."}
	c.RunE = func(_ *cobra.Command, args []string) error {
		f.wish.Target = args[0]
		return f.run(c.Flags().Changed("data"))
	}
	f.operator = operatorFlag(c)
	l := c.Flags()
	l.StringVar(&f.profile, "profile", "", "a profile of the operator's file; url_keys and token_keys are profiles too")
	l.StringVar(&f.wish.KeyName, "key", "", "the key; by default the one that signs")
	l.DurationVar(&f.last, "for", 10*time.Minute, "how long the link lasts")
	l.StringVar(&f.until, "until", "", "when it ends, in place of --for")
	l.StringVar(&f.from, "from", "", "when it begins")
	l.StringVar(&f.wish.Scope, "covers", "", "what it lets in, as the format has it: patterns, a prefix, a resource, a container; by default the target alone")
	l.StringVar(&f.wish.Address, "address", "", "the address or prefix that may use it")
	l.StringVar(&f.wish.Subject, "subject", "", "whom it is for")
	l.StringVar(&f.wish.ID, "id", "", "the token's own id, or the nonce of a timed digest")
	l.StringVar(&f.data, "data", "", "the branch, of edgeauth; by default the file's")
	l.BoolVar(&f.wish.SHA256, "sha256", false, "of cloudfront: sign SHA-256 in place of SHA-1")
	l.DurationVar(&f.renew, "renew", 0, "of cdni: how long renewed tokens last")
	l.IntVar(&f.wish.Depth, "depth", 0, "of cdni: the path segments that a renewed cookie is for")
	l.StringVar(&f.wish.Issuer, "issuer", "", "of cdni: the issuer; by default the profile's first")
	_ = c.MarkFlagRequired("profile")
	return c
}

func (f *signFlags) run(branch bool) error {
	s, err := signedOf(*f.operator)
	if err != nil {
		return err
	}
	p := s.ProfilesByName[f.profile]
	if p == nil {
		return fmt.Errorf("profile %q is not in the file", f.profile)
	}
	w := &f.wish
	until, err := moment("until", f.until, time.Now().Add(f.last))
	if err != nil {
		return err
	}
	from, err := moment("from", f.from, time.UnixMicro(0))
	if err != nil {
		return err
	}
	w.Expires, w.NotBefore, w.RenewSeconds = until.UnixMicro(), from.UnixMicro(), int64(f.renew/time.Second)
	if p.RequireBranch {
		w.Data = s.Branch
	}
	if branch {
		w.Data = f.data
	}
	if w.Issuer == "" && len(p.Issuers) > 0 {
		w.Issuer = p.Issuers[0]
	}
	m, err := p.Grants.SignLink(*w, rand.Reader)
	if err != nil {
		return err
	}
	for _, x := range []struct{ form, text string }{{"query", m.Target}, {"path", m.InPath}, {"cookie", m.Cookie}, {"header", m.Header}} {
		if x.text != "" {
			fmt.Printf("%s\t%s\n", x.form, x.text)
		}
	}
	return nil
}

func verifyCommand() *cobra.Command {
	c := &cobra.Command{Use: "verify TARGET", Short: "Tell whether a link is let in, and why not", Args: cobra.ExactArgs(1),
		Long: "Tell whether a request for a target, with its grant there or in header fields, is let in. What only a running front " +
			"knows, rates and uses, is not asked. The exit code is 3 where it is not let in."}
	operator := operatorFlag(c)
	header := c.Flags().StringArrayP("header", "H", nil, "a header field, as 'Cookie: a=b'")
	at := c.Flags().String("at", "", "the moment, as 2026-12-01T00:00:00Z; by default now")
	from := c.Flags().String("address", "127.0.0.1", "the client's address")
	c.RunE = func(_ *cobra.Command, args []string) error { return verify(args[0], *operator, *at, *from, *header) }
	return c
}

func verify(target, operator, at, address string, header []string) error {
	s, err := signedOf(operator)
	if err != nil {
		return err
	}
	now, err := moment("at", at, time.Now())
	if err != nil {
		return err
	}
	peer, err := netip.ParseAddr(address)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	r := &grants.Request{Target: target, Peer: peer, ReceivedAt: now.UnixMicro()}
	for _, line := range header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("header %q is not 'Name: value'", line)
		}
		r.Header = append(r.Header, httpwire.Field{Name: name, Value: strings.TrimSpace(value)})
	}
	v := s.ProfileSet.Authorize(r)
	if v.Pending != nil {
		s.ProfileSet.Resolve(v.Pending, v.Pending.Verify(), r.ReceivedAt)
		v = s.ProfileSet.Authorize(r)
	}
	reason := string(v.Refusal)
	if reason == "" {
		if what := s.RevokedList.Match(revoked.Grant{ID: v.ID, Subject: v.Subject, Key: v.Key.Name, Path: v.Path, Digest: v.Digest}); what != "" {
			reason = what + " is revoked"
		}
		if t := s.TenantsByName[v.Profile.Tenant]; len(t.Paths) > 0 && !slices.ContainsFunc(t.Paths, func(p string) bool { return strings.HasPrefix(v.Path, p) }) {
			reason = string(grants.PathNotCovered)
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, "%s\t%s\n", name, value)
		}
	}
	if reason == "" {
		line("verdict", "let in")
	} else {
		line("verdict", "refused: "+reason)
	}
	if v.Profile != nil {
		line("profile", v.Profile.Name)
		line("tenant", v.Profile.Tenant)
	}
	if v.Key != nil {
		line("key", v.Key.Name+" ("+v.Key.State.String()+")")
	}
	if v.Refusal == "" {
		line("object", v.Path+map[bool]string{true: "?" + v.Query}[v.Query != ""])
		line("subject", v.Subject)
		line("id", v.ID)
		digest := v.Digest()
		line("digest", fmt.Sprintf("%x", digest))
		if v.Expires > 0 {
			line("expires", time.UnixMicro(v.Expires).UTC().Format(time.RFC3339))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if reason != "" {
		return notLetIn
	}
	return nil
}

func keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "List the keys of all rings and their states", Args: cobra.NoArgs}
	operator := operatorFlag(c)
	at := c.Flags().String("at", "", "the moment, as 2026-12-01T00:00:00Z; by default now")
	c.RunE = func(*cobra.Command, []string) error { return keys(*operator, *at) }
	return c
}

// keys lists the rings in the order of their names.
func keys(operator, at string) error {
	s, err := signedOf(operator)
	if err != nil {
		return err
	}
	when, err := moment("at", at, time.Now())
	if err != nil {
		return err
	}
	now := when.UnixMicro()
	var names []string
	for name := range s.RingsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RING\tKEY\tKIND\tSTATE\tMOMENT\tNOW\tSIGNS")
	for _, name := range names {
		ring := s.RingsByName[name]
		for _, k := range ring.Keys {
			moment, signs := "", ""
			if k.TransitionAt > 0 {
				moment = time.UnixMicro(k.TransitionAt).UTC().Format(time.RFC3339)
			}
			if ring.SigningKey() == k {
				signs = "yes"
			}
			standing := [...]string{keyring.Valid: "checks", keyring.NotYetValid: "not yet", keyring.Retired: "no more",
				keyring.Withdrawn: "never"}[k.ValidityAt(now)]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name, k.Name, k.Kind, k.State, moment, standing, signs)
		}
	}
	return w.Flush()
}

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

// checkCommand reports the errors of configuration files.
func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check [FILE...]", Short: "Report all errors of configuration files",
		Long: "Report all errors of platform and operator files, one per line, with the key. Without arguments, checks the files that " +
			"the environment names.",
		RunE: func(_ *cobra.Command, files []string) error { return check(files) }}
}

func check(files []string) error {
	faulty := false
	report := func(name string, err error) {
		if err == nil {
			fmt.Printf("%s: good\n", name)
			return
		}
		faulty = true
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Printf("%s: %s\n", name, line)
		}
	}
	if len(files) == 0 {
		_, err := config.Load(os.Getenv)
		report("ROUTER_CONFIG", err)
		_, err = config.LoadOperator(os.Getenv)
		report("CHERRYRAMP_OPERATOR", err)
	}
	for _, name := range files {
		report(name, config.CheckFile(name))
		for _, line := range config.FileBounds(name) {
			fmt.Printf("%s: %s\n", name, line)
		}
	}
	if faulty {
		return exitFailed
	}
	return nil
}

// operatorFlag adds the flag for the path of the operator's file, which holds the keys.
func operatorFlag(c *cobra.Command) *string {
	return c.Flags().String("operator", "", "path of the operator's file; default: CHERRYRAMP_OPERATOR")
}

// loadSigned reads section signed of the operator's file at path, or at the path that the environment
// gives if path is empty.
func loadSigned(path string) (*config.Signed, error) {
	operator, err := config.LoadOperator(func(name string) string { return cmp.Or(path, os.Getenv(name)) })
	if err != nil {
		return nil, err
	}
	if operator.Signed == nil {
		return nil, errors.New("no operator's file with a section signed: see --operator")
	}
	return operator.Signed, nil
}

// parseTime parses the RFC 3339 time of a flag; fallback is the result if text is empty.
func parseTime(flag, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("--%s: %q is not an RFC 3339 time such as 2026-12-01T00:00:00Z", flag, text)
	}
	return t, nil
}

// signFlags holds the flags of the sign command.
type signFlags struct {
	link                       grants.LinkSpec
	operator                   *string
	profile, until, from, data string
	lifetime, renew            time.Duration
}

func signCommand() *cobra.Command {
	var flags signFlags
	command := &cobra.Command{Use: "sign TARGET", Short: "Sign a link with a key of the operator's file", Args: cobra.ExactArgs(1),
		Long: "Sign a link, such as /files/guide-video/17/9f3a?seg=3, and print it in each form in which a request may carry it."}
	command.RunE = func(_ *cobra.Command, args []string) error {
		flags.link.Target = args[0]
		return flags.run(command.Flags().Changed("data"))
	}
	flags.operator = operatorFlag(command)
	set := command.Flags()
	set.StringVar(&flags.profile, "profile", "", "a profile of the operator's file; url_keys and token_keys are profiles too")
	set.StringVar(&flags.link.KeyName, "key", "", "the key; default: the signing key of the ring")
	set.DurationVar(&flags.lifetime, "for", 10*time.Minute, "how long the link lasts")
	set.StringVar(&flags.until, "until", "", "when it expires, in place of --for")
	set.StringVar(&flags.from, "from", "", "when it becomes valid")
	set.StringVar(&flags.link.Scope, "covers", "", "what it grants, in the terms of the format: patterns, a prefix, a resource, a container; default: the target only")
	set.StringVar(&flags.link.Address, "address", "", "the address or prefix that may use it")
	set.StringVar(&flags.link.Subject, "subject", "", "the subject it is issued to")
	set.StringVar(&flags.link.ID, "id", "", "the token's own id, or the nonce of a timed digest")
	set.StringVar(&flags.data, "data", "", "edgeauth: the branch; default: the one in the file")
	set.BoolVar(&flags.link.SHA256, "sha256", false, "cloudfront: sign with SHA-256 instead of SHA-1")
	set.DurationVar(&flags.renew, "renew", 0, "cdni: how long renewed tokens last")
	set.IntVar(&flags.link.Depth, "depth", 0, "cdni: how many path segments a renewed cookie covers")
	set.StringVar(&flags.link.Issuer, "issuer", "", "cdni: the issuer; default: the first one of the profile")
	_ = command.MarkFlagRequired("profile")
	return command
}

func (flags *signFlags) run(dataGiven bool) error {
	signed, err := loadSigned(*flags.operator)
	if err != nil {
		return err
	}
	profile := signed.ProfilesByName[flags.profile]
	if profile == nil {
		return fmt.Errorf("profile %q is not in the file", flags.profile)
	}
	link := &flags.link
	until, err := parseTime("until", flags.until, time.Now().Add(flags.lifetime))
	if err != nil {
		return err
	}
	from, err := parseTime("from", flags.from, time.UnixMicro(0))
	if err != nil {
		return err
	}
	link.Expires, link.NotBefore, link.RenewSeconds = until.UnixMicro(), from.UnixMicro(), int64(flags.renew/time.Second)
	if profile.RequireBranch {
		link.Data = signed.Branch
	}
	if dataGiven {
		link.Data = flags.data
	}
	if link.Issuer == "" && len(profile.Issuers) > 0 {
		link.Issuer = profile.Issuers[0]
	}
	minted, err := profile.Grants.SignLink(*link, rand.Reader)
	if err != nil {
		return err
	}
	for _, form := range []struct{ form, text string }{{"query", minted.Target}, {"path", minted.InPath}, {"cookie", minted.Cookie}, {"header", minted.Header}} {
		if form.text != "" {
			fmt.Printf("%s\t%s\n", form.form, form.text)
		}
	}
	return nil
}

func verifyCommand() *cobra.Command {
	command := &cobra.Command{Use: "verify TARGET", Short: "Report whether a link is accepted, and why not", Args: cobra.ExactArgs(1),
		Long: "Report whether a request for a target, with its grant there or in header fields, is accepted. Rates and uses, which only " +
			"a running front knows, are not checked. The exit code is 3 if it is refused."}
	operator := operatorFlag(command)
	header := command.Flags().StringArrayP("header", "H", nil, "a header field, such as 'Cookie: a=b'")
	at := command.Flags().String("at", "", "the time, such as 2026-12-01T00:00:00Z; default: now")
	from := command.Flags().String("address", "127.0.0.1", "the client's address")
	command.RunE = func(_ *cobra.Command, args []string) error { return verify(args[0], *operator, *at, *from, *header) }
	return command
}

func verify(target, operator, at, address string, header []string) error {
	signed, err := loadSigned(operator)
	if err != nil {
		return err
	}
	now, err := parseTime("at", at, time.Now())
	if err != nil {
		return err
	}
	peer, err := netip.ParseAddr(address)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	request := &grants.Request{Target: target, Peer: peer, ReceivedAt: now.UnixMicro()}
	for _, line := range header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("header %q is not 'Name: value'", line)
		}
		request.Header = append(request.Header, httpwire.Field{Name: name, Value: strings.TrimSpace(value)})
	}
	verdict := signed.ProfileSet.Authorize(request)
	if verdict.Pending != nil {
		signed.ProfileSet.Resolve(verdict.Pending, verdict.Pending.Verify(), request.ReceivedAt)
		verdict = signed.ProfileSet.Authorize(request)
	}
	reason := string(verdict.Refusal)
	if reason == "" {
		if revokedPart := signed.RevokedList.Match(revoked.Grant{ID: verdict.ID, Subject: verdict.Subject, Key: verdict.Key.Name, Path: verdict.Path, Digest: verdict.Digest}); revokedPart != "" {
			reason = revokedPart + " is revoked"
		}
		if t := signed.TenantsByName[verdict.Profile.Tenant]; len(t.Paths) > 0 && !slices.ContainsFunc(t.Paths, func(p string) bool { return strings.HasPrefix(verdict.Path, p) }) {
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
	if verdict.Profile != nil {
		line("profile", verdict.Profile.Name)
		line("tenant", verdict.Profile.Tenant)
	}
	if verdict.Key != nil {
		line("key", verdict.Key.Name+" ("+verdict.Key.State.String()+")")
	}
	if verdict.Refusal == "" {
		line("object", verdict.Path+map[bool]string{true: "?" + verdict.Query}[verdict.Query != ""])
		line("subject", verdict.Subject)
		line("id", verdict.ID)
		digest := verdict.Digest()
		line("digest", fmt.Sprintf("%x", digest))
		if verdict.Expires > 0 {
			line("expires", time.UnixMicro(verdict.Expires).UTC().Format(time.RFC3339))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if reason != "" {
		return exitRefused
	}
	return nil
}

func keysCommand() *cobra.Command {
	command := &cobra.Command{Use: "keys", Short: "List the keys of all rings and their states", Args: cobra.NoArgs}
	operator := operatorFlag(command)
	at := command.Flags().String("at", "", "the time, such as 2026-12-01T00:00:00Z; default: now")
	command.RunE = func(*cobra.Command, []string) error { return keys(*operator, *at) }
	return command
}

// keys prints the keys of all rings, ordered by ring name.
func keys(operator, at string) error {
	signed, err := loadSigned(operator)
	if err != nil {
		return err
	}
	when, err := parseTime("at", at, time.Now())
	if err != nil {
		return err
	}
	now := when.UnixMicro()
	var names []string
	for name := range signed.RingsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RING\tKEY\tKIND\tSTATE\tMOMENT\tNOW\tSIGNS")
	for _, name := range names {
		ring := signed.RingsByName[name]
		for _, key := range ring.Keys {
			transition, signs := "", ""
			if key.TransitionAt > 0 {
				transition = time.UnixMicro(key.TransitionAt).UTC().Format(time.RFC3339)
			}
			if ring.SigningKey() == key {
				signs = "yes"
			}
			validity := [...]string{keyring.Valid: "checks", keyring.NotYetValid: "not yet", keyring.Retired: "no more",
				keyring.Withdrawn: "never"}[key.ValidityAt(now)]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name, key.Name, key.Kind, key.State, transition, validity, signs)
		}
	}
	return w.Flush()
}

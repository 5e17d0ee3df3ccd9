package conformance

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/grants"
	"cherryramp/internal/httpwire"
)

// Checks the verdict on every case that the grant alone decides, computed and from the
// cache. It does so at several times: the bytes of the signatures depend on the time, and
// the verdicts must not.
func TestVerdicts(t *testing.T) {
	fixture, err := New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		fixture.Now = time.Unix(1_796_137_000+int64(i), 0)
		checkVerdicts(t, fixture)
	}
}

func checkVerdicts(t *testing.T, fixture *Fixture) {
	o, err := config.ParseOperator(fixture.OperatorFile("127.0.0.1:1"), ".")
	if err != nil {
		t.Fatal(err)
	}
	set, grantOnly, names := o.Signed.ProfileSet, 0, map[string]bool{}
	for _, c := range fixture.Cases() {
		if names[c.Name] {
			t.Errorf("two cases have the name %s", c.Name)
		}
		names[c.Name] = true
		if !c.GrantOnly {
			continue
		}
		grantOnly++
		r := grants.Request{Target: c.Target, Peer: netip.MustParseAddr("127.0.0.1"), ReceivedAt: fixture.Now.UnixMicro()}
		for _, f := range c.Header {
			name, value, _ := strings.Cut(f, ": ")
			r.Header = append(r.Header, httpwire.Field{Name: name, Value: value})
		}
		for range 2 {
			v := set.Authorize(&r)
			if v.Pending != nil {
				set.Resolve(v.Pending, v.Pending.Verify(), r.ReceivedAt)
				v = set.Authorize(&r)
			}
			if !c.AcceptsReason(string(v.Refusal)) {
				t.Errorf("%s: %q, want %q\n%s", c.Name, v.Refusal, c.Reason, c.Bytes())
			}
		}
	}
	if len(names) < 400 || grantOnly < 400 {
		t.Errorf("%d cases, %d of them decided by the grant alone", len(names), grantOnly)
	}
	t.Logf("%d cases, %d of them decided by the grant alone", len(names), grantOnly)
}

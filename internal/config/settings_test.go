package config

import (
	"testing"

	"cherryramp/rules"
)

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings("grades.count=1\n" +
		"grades.0.effect=idempotency_key\n" +
		"grades.0.dedup-scope=cell\n" +
		"extra.max-age-us=12000000\nnew.key=?\n" +
		"limits.cancel=true\nextra.lateral=any\nextra.hub-by-zone=0,1,0\n")
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.Effect != rules.Keyed || c.Scope != rules.ScopeCell || c.Fresh != 12000000 {
		t.Errorf("class: got %+v", c)
	}
	if !s.Cancel || s.Siblings != rules.SiblingsAny || s.ParentKind != -1 || len(s.ZoneHub) != 3 {
		t.Errorf("got %+v", s)
	}
	for _, bad := range []string{"no equals sign", "balancers=many", "limits.cancel=maybe",
		"grades.count=1\ngrades.0.effect=odd", "extra.hub-by-zone=a,b"} {
		if _, err := ParseSettings(bad); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}

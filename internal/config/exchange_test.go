package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Checks that deploy/operator-exchange.json loads, that each fault of the section is
// reported with its key, and that Bounds describes the limits.
func TestExchangeSection(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator-exchange.json")
	require.NoError(t, err)
	dir := t.TempDir()
	for _, name := range []string{"fleet-front-1.pem", "fleet-front-1.key", "fleet-authorities.pem"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), nil, 0o600))
	}
	o, err := ParseOperator(text, dir)
	require.NoError(t, err)
	bounds := strings.Join(o.Exchange.Bounds(), "\n")
	require.Contains(t, bounds, "limit members-rate: hard, 1000 a second; over: 0 a second at most; up to 200 fronts")
	require.Contains(t, bounds, "limit each-member: soft, 6 at once; over: 3 at once at most")
	for _, x := range []struct{ from, to, key string }{
		{`"for": "tenant"`, `"for": "fills"`, "exchange.limits[0].for"},
		{`"of": "members"`, `"of": ""`, "exchange.limits[0].of"},
		{`"kind": "rate"`, `"kind": "often"`, "exchange.limits[0].kind"},
		{`"amount": 1000`, `"amount": -1`, "exchange.limits[0].amount"},
		{`"burst": 200`, `"burst": 0.5`, "exchange.limits[0].burst"},
		{`"alone_percent": 50`, `"alone_percent": 150`, "exchange.limits[1].alone_percent"},
		{`"name": "each-member"`, `"name": "members-rate"`, "exchange.limits[1].name"},
		{`"keep_s": 86400`, `"keep_s": -1`, "exchange.purges.keep_s"},
		{`"witnesses": 2`, `"witnesses": -2`, "exchange.verdicts.witnesses"},
		{`"127.1.0.0/16"`, `"127.1"`, "exchange.paths.regions.127.1"},
		{`"zone": "west/hub-a"`, `"zone": "west//hub-a"`, "fleet.zone"},
		{`"limits"`, `"round_ms": 1, "limits"`, "exchange.round_ms"},
	} {
		require.Contains(t, string(text), x.from)
		_, err := ParseOperator([]byte(strings.Replace(string(text), x.from, x.to, 1)), dir)
		require.ErrorContains(t, err, x.key)
	}
	_, err = ParseOperator([]byte(`{"exchange":{}}`), dir)
	require.ErrorContains(t, err, "section fleet")
}

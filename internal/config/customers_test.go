package config

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

// whole is a platform file with every key that is read.
const customer = `{"name":"n0","listen":"127.0.0.1:9000","seed":"8c1f30d27a5be964","flow_bytes_per_s":310000,
 "link_bytes_per_s":1240000,"limits":{"memory_mb":64,"sockets":512},"board":"127.0.0.1:9002",
 "settings":{"balancers":3,"discovery":"pushed","extra":{"class-write":[false,false,true],"direct":true,
 "flow-kb-per-s":5600.0,"hub-by-zone":[0,0],"in-parts":[true,false,false],"inlet-kb-per-s":[0.0,0.0],"lateral":"any",
 "max-age-us":[0,8000000,0],"note-level":"all","obey-after-us":300000,"old-copy-worth":[0.7,0.7,0.7],
 "origin-limit-factor":2.5,"parent-cold-from":0.067,"parent-limit-factor":2.0,"price-of-link":0.02,
 "purge-settles-us":6000000,"root-fall-us":3000000,"shares-fills":false,"store-kind":2,"upper-cold-us":20000000,
 "upper-kind":1,"usable-after-us":[0,10000000,0],"zone-balancers":[0,3]},
 "grades":[{"name":"video","effect":"read_like","dedup-scope":"all","give-up-us":5000000,"goal-time-us":600000,
 "importance":2.0,"late-value":0.15,"aim-stretch":2.0,"memory-span-us":5000000,"stream":false},
 {"name":"note","effect":"idempotency_key","dedup-scope":"zone","give-up-us":2000000,"goal-time-us":300000,
 "importance":1.0,"late-value":0.2,"memory-span-us":700000},
 {"name":"pay","effect":"non_idempotent","give-up-us":3000000,"goal-time-us":600000,"importance":3.0}],
 "limits":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":400000,"max-attempts":6,
 "max-retry-after-us":500000,"most-held":20000,"probes":false,"retry-after":true,"second-copies":true,
 "streams-per-conn":32},
 "machine-types":["box","parent","origin"],
 "penalties":{"cross-zone":0.01,"late-fail":0.03,"origin":0.25,"probe":0.0,"waste":0.22},
 "report":{"fields":["util","x0"],"source":"inline"},
 "rules":{"cold-from":0.28,"drain-grace-us":500000,"fall-multiple":2.0,"fall-us":1000000,
 "grace-to-answer-us":8000,"warm-up-us":15000000},"tick-us":2000,"weights":"rough","zone":1,"zones":["hub","edge"]}}`

// leaves gives the paths to all that a file holds, lists as a whole and by their parts.
func leaves(at []any, v any, visit func(path []any)) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			leaves(append(slices.Clone(at), k), v[k], visit)
		}
	case []any:
		for i, x := range v {
			leaves(append(slices.Clone(at), i), x, visit)
		}
	}
	if len(at) > 0 {
		visit(at)
	}
}

// put sets what stands at a path; nil takes a key out.
func put(v any, path []any, to any) {
	for _, step := range path[:len(path)-1] {
		switch step := step.(type) {
		case string:
			v = v.(map[string]any)[step]
		case int:
			v = v.([]any)[step]
		}
	}
	switch last := path[len(path)-1].(type) {
	case string:
		if to == nil {
			delete(v.(map[string]any), last)
			return
		}
		v.(map[string]any)[last] = to
	case int:
		v.([]any)[last] = to
	}
}

// drive has a gateway under a configuration serve calls of every class, of which some fail, some
// leave and some run out, on a clock that only stands still or goes on.
func drive(c *Config) error {
	clock := loop.NewVirtual(1_000_000_000_000)
	l := loop.NewOn(clock, func() {})
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	g, err := gateway.New(gateway.Config{Settings: c.Settings, Zones: c.Zones, Kinds: c.Kinds, Seed: c.Seed,
		LocalCache: gateway.LocalCacheLimits{Bytes: 1 << 20, Flow: c.Flow, Link: c.Link}}, l, quiet)
	if err != nil {
		return err
	}
	n := &ends{g: g}
	g.SetUpstream(n)
	born := l.Now() - 1_000_000
	var list []gateway.Member
	for i, kind := range c.Kinds {
		for k := range 3 {
			for _, zone := range c.Zones {
				list = append(list, gateway.Member{Name: fmt.Sprint("s-", i, k, zone), Addr: "127.0.0.1:1", Zone: zone, Kind: kind,
					State: rules.Ready, Weight: float64(k) * 8, StartedAt: born * int64(k%2)})
			}
		}
	}
	g.Members(true, list)
	g.Purge(gateway.Purge{Group: 3, At: l.Now()})
	var open []*answers
	for i := range 200 {
		class := i % len(c.Settings.Classes)
		a := &answers{}
		call := &gateway.Call{ID: fmt.Sprintf("%016x", i), Class: class, Object: fmt.Sprint("o", i%7), Group: i % 5, Size: float64(i % 400),
			Deadline: l.Now() + min(c.Settings.Classes[class].GiveUp, 60_000_000), Caller: a}
		g.Submit(call)
		g.ProcessEvents()
		if i%11 == 0 {
			g.Leave(call)
		} else {
			open = append(open, a)
		}
		n.end(i)
		g.ProcessEvents()
	}
	for range 100 { // whatever is started ends
		n.end(0)
		g.ProcessEvents()
	}
	for i, a := range open {
		if a.got != 1 {
			return fmt.Errorf("call %d has %d answers", i, a.got)
		}
	}
	return nil
}

// answers counts them.
type answers struct{ got int }

func (a *answers) Answer(gateway.Answer) { a.got++ }

// ends are nodes that end what was started in one way or another.
type ends struct {
	g    *gateway.Gateway
	open []*gateway.Attempt
}

func (n *ends) Start(a *gateway.Attempt)      { n.open = append(n.open, a) }
func (n *ends) Stop(*gateway.Attempt) bool    { return true }
func (n *ends) ServerChanged(*gateway.Server) {}
func (n *ends) end(i int) {
	open := n.open
	n.open = nil
	for _, a := range open {
		if _, ok := n.g.PrepareSend(a); !ok {
			n.g.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
			continue
		}
		code := []rules.Code{rules.OK, rules.Miss, rules.Full, rules.Reset, rules.ServerError, rules.OK}[i%6]
		n.g.EndAttempt(a, gateway.AttemptResult{Code: code, Note: rules.Note(i % 11), SourceWait: int64(i)})
	}
}

// Guards against settings of another customer that end the program, or that it takes and then
// serves nobody: whatever one or two keys hold, the file is turned down with a key of it named, or
// every call gets its one answer.
func TestAnySettingsWorkOrAreNamed(t *testing.T) {
	c, err := Parse([]byte(customer), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if err := drive(c); err != nil {
		t.Fatal(err)
	}
	var whole any
	if err := json.Unmarshal([]byte(customer), &whole); err != nil {
		t.Fatal(err)
	}
	var paths [][]any
	leaves(nil, whole, func(path []any) { paths = append(paths, path) })
	wrong := []any{nil, 0.0, 1.0, -1.0, 0.5, 1e9, 1e18, "", "odd", true, []any{}, []any{1.0, "x"}, map[string]any{}}
	try := func(t interface{ Errorf(string, ...any) }, tree any, what string, keys ...any) {
		data, err := json.Marshal(tree)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		c, err := Parse(data, "", "")
		if err == nil {
			if err := drive(c); err != nil {
				t.Errorf("%s: taken, but %v", what, err)
			}
			return
		}
		for _, k := range keys {
			if strings.Contains(err.Error(), fmt.Sprint(k)) {
				return
			}
		}
		t.Errorf("%s: the message names no key of it: %v", what, err)
	}
	fresh := func() (tree any) {
		_ = json.Unmarshal([]byte(customer), &tree)
		return tree
	}
	for _, path := range paths {
		for _, x := range wrong {
			if _, part := path[len(path)-1].(int); part && x == nil {
				continue
			}
			tree := fresh()
			put(tree, path, x)
			try(t, tree, fmt.Sprintf("%v = %v", path, x), path...)
		}
	}
	rapid.Check(t, func(t *rapid.T) { // two at a time
		tree, keys, what := fresh(), []any{}, ""
		for range 2 {
			path := rapid.SampledFrom(paths).Draw(t, "path")
			x := rapid.SampledFrom(wrong[1:]).Draw(t, "value")
			func() {
				defer func() { _ = recover() }() // the first may have taken the second's place away
				put(tree, path, x)
			}()
			keys, what = append(keys, path...), what+fmt.Sprintf("%v = %v; ", path, x)
		}
		try(t, tree, what, keys...)
	})
}

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

// fullConfig is a platform file with every key that is read.
const fullConfig = `{"name":"n0","listen":"127.0.0.1:9000","seed":"8c1f30d27a5be964","flow_bytes_per_s":310000,
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

// visitPaths calls visit with the path of every value of a file, lists and objects
// included.
func visitPaths(prefix []any, v any, visit func(path []any)) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			visitPaths(append(slices.Clone(prefix), k), v[k], visit)
		}
	case []any:
		for i, x := range v {
			visitPaths(append(slices.Clone(prefix), i), x, visit)
		}
	}
	if len(prefix) > 0 {
		visit(prefix)
	}
}

// setPath sets the value at a path; nil removes a key.
func setPath(v any, path []any, value any) {
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
		if value == nil {
			delete(v.(map[string]any), last)
			return
		}
		v.(map[string]any)[last] = value
	case int:
		v.([]any)[last] = value
	}
}

// serveCalls has a gateway with a configuration serve calls of every class on a virtual
// clock. Some attempts fail, and some clients leave. Every other call must get exactly
// one answer.
func serveCalls(c *Config) error {
	clock := loop.NewVirtual(1_000_000_000_000)
	l := loop.NewOn(clock, func() {})
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	gw, err := gateway.New(gateway.Config{Settings: c.Settings, Zones: c.Zones, Kinds: c.Kinds, Seed: c.Seed,
		LocalCache: gateway.LocalCacheLimits{Bytes: 1 << 20, Flow: c.Flow, Link: c.Link}}, l, quiet)
	if err != nil {
		return err
	}
	nodes := &fakeNodes{gateway: gw}
	gw.SetUpstream(nodes)
	startedAt := l.Now() - 1_000_000
	var list []gateway.Member
	for i, kind := range c.Kinds {
		for k := range 3 {
			for _, zone := range c.Zones {
				list = append(list, gateway.Member{Name: fmt.Sprint("s-", i, k, zone), Addr: "127.0.0.1:1", Zone: zone, Kind: kind,
					State: rules.Ready, Weight: float64(k) * 8, StartedAt: startedAt * int64(k%2)})
			}
		}
	}
	gw.Members(true, list)
	gw.Purge(gateway.Purge{Group: 3, At: l.Now()})
	var open []*answerCounter
	for i := range 200 {
		class := i % len(c.Settings.Classes)
		a := &answerCounter{}
		call := &gateway.Call{ID: fmt.Sprintf("%016x", i), Class: class, Object: fmt.Sprint("o", i%7), Group: i % 5, Size: float64(i % 400),
			Deadline: l.Now() + min(c.Settings.Classes[class].GiveUp, 60_000_000), Caller: a}
		gw.Submit(call)
		gw.ProcessEvents()
		if i%11 == 0 {
			gw.Leave(call)
		} else {
			open = append(open, a)
		}
		nodes.endAll(i)
		gw.ProcessEvents()
	}
	for range 100 { // end all attempts, also those started meanwhile
		nodes.endAll(0)
		gw.ProcessEvents()
	}
	for i, a := range open {
		if a.count != 1 {
			return fmt.Errorf("call %d has %d answers", i, a.count)
		}
	}
	return nil
}

// answerCounter counts the answers to one call.
type answerCounter struct{ count int }

func (a *answerCounter) Answer(gateway.Answer) { a.count++ }

// fakeNodes is an upstream whose attempts end with results that take turns.
type fakeNodes struct {
	gateway *gateway.Gateway
	open    []*gateway.Attempt
}

func (nodes *fakeNodes) Start(a *gateway.Attempt)      { nodes.open = append(nodes.open, a) }
func (nodes *fakeNodes) Stop(*gateway.Attempt) bool    { return true }
func (nodes *fakeNodes) ServerChanged(*gateway.Server) {}
func (nodes *fakeNodes) endAll(i int) {
	open := nodes.open
	nodes.open = nil
	for _, a := range open {
		if _, ok := nodes.gateway.PrepareSend(a); !ok {
			nodes.gateway.EndAttempt(a, gateway.AttemptResult{Code: rules.NotSent})
			continue
		}
		code := []rules.Code{rules.OK, rules.Miss, rules.Full, rules.Reset, rules.ServerError, rules.OK}[i%6]
		nodes.gateway.EndAttempt(a, gateway.AttemptResult{Code: code, Note: rules.Note(i % 11), SourceWait: int64(i)})
	}
}

// Guards against settings that crash the program, or that it accepts and then leaves calls
// without an answer: with any odd value for one or two keys, the file is rejected with an
// error that names one of them, or every call gets exactly one answer.
func TestAnySettingsServeOrNameTheKey(t *testing.T) {
	c, err := Parse([]byte(fullConfig), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if err := serveCalls(c); err != nil {
		t.Fatal(err)
	}
	var config any
	if err := json.Unmarshal([]byte(fullConfig), &config); err != nil {
		t.Fatal(err)
	}
	var paths [][]any
	visitPaths(nil, config, func(path []any) { paths = append(paths, path) })
	values := []any{nil, 0.0, 1.0, -1.0, 0.5, 1e9, 1e18, "", "odd", true, []any{}, []any{1.0, "x"}, map[string]any{}}
	try := func(t interface{ Errorf(string, ...any) }, tree any, what string, keys ...any) {
		data, err := json.Marshal(tree)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		c, err := Parse(data, "", "")
		if err == nil {
			if err := serveCalls(c); err != nil {
				t.Errorf("%s: accepted, but %v", what, err)
			}
			return
		}
		for _, k := range keys {
			if strings.Contains(err.Error(), fmt.Sprint(k)) {
				return
			}
		}
		t.Errorf("%s: the error names none of the keys: %v", what, err)
	}
	fresh := func() (tree any) {
		_ = json.Unmarshal([]byte(fullConfig), &tree)
		return tree
	}
	for _, path := range paths {
		for _, x := range values {
			if _, part := path[len(path)-1].(int); part && x == nil {
				continue
			}
			tree := fresh()
			setPath(tree, path, x)
			try(t, tree, fmt.Sprintf("%v = %v", path, x), path...)
		}
	}
	rapid.Check(t, func(t *rapid.T) { // two keys at a time
		tree, keys, what := fresh(), []any{}, ""
		for range 2 {
			path := rapid.SampledFrom(paths).Draw(t, "path")
			x := rapid.SampledFrom(values[1:]).Draw(t, "value")
			func() {
				defer func() { _ = recover() }() // the first value may have replaced the second's parent
				setPath(tree, path, x)
			}()
			keys, what = append(keys, path...), what+fmt.Sprintf("%v = %v; ", path, x)
		}
		try(t, tree, what, keys...)
	})
}

package invalidation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherryramp/internal/decide/topology"
)

const second Micros = 1_000_000

// testFront is one simulated process: its purge log, and the acknowledgements that it
// collects for the sites that it owns.
type testFront struct {
	topology.Front
	log            *PurgeLog
	collectors     map[string]*AckCollector
	disk           []Purge // purges stored on disk
	paused         bool
	tracker        CompletionTracker
	peerWatermarks map[string]Watermarks
}

// simulate requests purges while messages are lost, duplicated and late and fronts crash,
// pause and join. It returns a description of a purge reported complete too early, if any,
// and the number of purges reported complete.
func simulate(seed uint64, mutation Mutation) (tooEarly string, complete int) {
	r := rand.New(rand.NewPCG(seed, 3))
	now, index := Micros(0), uint64(1)
	sites := []string{"a", "b"}
	owners := map[string]string{"": "f0", "a": "f0", "b": "f1"}
	var list []*testFront
	var wire []struct {
		at Micros
		do func()
	}
	later := func(do func()) {
		for range 1 + r.IntN(10)/9 {
			if r.IntN(5) > 0 {
				wire = append(wire, struct {
					at Micros
					do func()
				}{now + Micros(r.IntN(400_000)), do})
			}
		}
	}
	join := func() {
		i := len(list)
		f := &testFront{Front: topology.Front{Name: fmt.Sprintf("f%d", i), Site: sites[i%2], ID: uint64(i + 1), Start: 1, OwnerLease: second}, log: NewPurgeLog(Config{MaxPurges: 1000, Retention: 1e12}),
			collectors: map[string]*AckCollector{}, peerWatermarks: map[string]Watermarks{}}
		// A new front receives all purges before it serves.
		if i > 0 {
			missing, _ := list[0].log.MissingFrom(nil, now)
			f.log.Receive(missing, now)
		}
		list = append(list, f)
		index++
	}
	for range 4 {
		join()
	}
	view := func(f *testFront) *topology.View {
		v := &topology.View{Index: index, Self: f.Front, Registered: true}
		for _, x := range list {
			v.Fronts = append(v.Fronts, x.Front)
		}
		return v
	}
	find := func(name string) *testFront {
		for _, f := range list {
			if f.Name == name {
				return f
			}
		}
		return nil
	}
	reported := map[string]bool{}
	seq, requested := uint64(0), 0
	for ; now < 60*second; now += 50_000 {
		for i := 0; i < len(wire); {
			if wire[i].at <= now {
				do := wire[i].do
				wire = append(wire[:i], wire[i+1:]...)
				do()
			} else {
				i++
			}
		}
		switch f := list[r.IntN(len(list))]; r.IntN(60) {
		case 0:
			k := find(owners[f.Site])
			if !k.paused && requested < 20 {
				requested++
				k.log.Submit(Origin{f.Site, 1}, Scope{Object, fmt.Sprintf("o%d", requested)}, fmt.Sprint(requested), "", now)
			}
		case 1:
			f.paused = !f.paused && r.IntN(4) == 0
		case 2: // crash: purges not stored and acknowledgements are lost; owners do not crash here, since that would need new owner numbers
			if f.Name != "f0" && f.Name != "f1" {
				f.log, f.collectors, f.peerWatermarks = NewPurgeLog(Config{MaxPurges: 1000, Retention: 1e12}), map[string]*AckCollector{}, map[string]Watermarks{}
				for _, p := range f.disk {
					f.log.Recover(p, now)
				}
				f.Start++
				index++
			}
		case 3:
			if len(list) < 8 && r.IntN(4) == 0 {
				join()
			}
		}
		for _, f := range list {
			if f.paused {
				continue
			}
			for _, p := range f.log.TakePending() {
				if r.IntN(3) == 0 { // delayed write
					later(func() { f.disk = append(f.disk, p); f.log.MarkStored(p.Origin, p.Number) })
				} else {
					f.disk = append(f.disk, p)
					f.log.MarkStored(p.Origin, p.Number)
				}
			}
			seq++
			n, s := seq, Summary{Index: index, Stored: f.log.Stored(), FrontCount: 1}
			role, k := topology.Role{Front: f.Name, Start: f.Start, Site: f.Site}, find(owners[f.Site])
			exchange := func(role topology.Role, k *testFront, site string, s Summary) {
				missing, _ := f.log.MissingFrom(f.peerWatermarks[k.Name], now)
				received := f.log.Received()
				start := f.Start
				later(func() {
					if k.paused {
						return
					}
					k.log.Receive(missing, now)
					if k.collectors[site] == nil {
						k.collectors[site] = NewAckCollector(site)
						k.collectors[site].Disable(mutation)
					}
					k.collectors[site].Record(role, n, s, now)
					back, _ := k.log.MissingFrom(received, now)
					has := k.log.Received()
					later(func() {
						if !f.paused && f.Start == start {
							f.log.Receive(back, now)
							f.peerWatermarks[k.Name] = has
						}
					})
				})
			}
			exchange(role, k, f.Site, s)
			for _, site := range []string{"a", "b", ""} {
				g := f.collectors[site]
				if g == nil || owners[site] != f.Name {
					continue
				}
				sum := g.Summarize(view(f), index, f.log.Received(), 2*second, now)
				if site != "" {
					exchange(topology.Role{Site: site, Owner: 1}, find(owners[""]), "", sum)
					continue
				}
				for _, m := range f.tracker.Step(sum.Stored, now-1, now) {
					for i := uint64(1); i <= m.Number; i++ {
						p := Purge{Origin: m.Origin, Number: i}
						if reported[p.ID()] {
							continue
						}
						reported[p.ID()] = true
						for _, x := range list {
							if x.log.Stored().Of(m.Origin) < i {
								return fmt.Sprintf("seed %d: %s is reported complete, but %s has not stored it", seed, p.ID(), x.Name), len(reported)
							}
						}
					}
				}
			}
		}
	}
	return "", len(reported)
}

// Checks that a purge is never reported complete before all fronts have stored it, and that
// purges do complete.
func TestCompletionIsNeverEarly(t *testing.T) {
	total := 0
	for seed := range uint64(150) {
		early, n := simulate(seed, "")
		require.Empty(t, early)
		total += n
	}
	require.Greater(t, total, 150*3, "completed purges")
}

// Checks that TestCompletionIsNeverEarly detects completion without late fronts.
func TestCompletionCheckDetectsMutation(t *testing.T) {
	for seed := range uint64(150) {
		if early, _ := simulate(seed, DisableAcks); early != "" {
			return
		}
	}
	t.Fatal("completion without late fronts was not detected")
}

// Checks the mutation itself: it ignores late fronts and sites even if an acknowledgement
// of theirs from before the purge is known, while the unmodified rule waits for them.
func TestMutationIgnoresStaleAcks(t *testing.T) {
	origin := Origin{Site: "west", Owner: 3}
	here := Watermarks{{Origin: origin, Number: 1}}
	v := &topology.View{Index: 9, Fronts: []topology.Front{
		{Name: "a", Site: "west", Start: 1, OwnerLease: 1}, {Name: "b", Site: "east/hub", Start: 1, OwnerLease: 1, Lost: true}, {Name: "c", Site: "west", Start: 1, OwnerLease: 1, Lost: true}}}
	for mutation, want := range map[Mutation]uint64{"": 0, DisableAcks: 1} {
		for _, late := range []topology.Role{{Site: "east", Owner: 5}, {Site: "east/hub", Front: "b", Start: 1}, {Site: "west", Front: "c", Start: 1}} {
			g := NewAckCollector("")
			g.Disable(mutation)
			g.Record(late, 1, Summary{Index: 9, FrontCount: 1}, 0)
			g.Record(topology.Role{Site: "west", Front: "a", Start: 1}, 1, Summary{Index: 9, Stored: here, FrontCount: 1}, 100)
			if got := g.Summarize(v, 9, here, 50, 100).Stored.Of(origin); got != want {
				t.Errorf("without %q, %+v late: acknowledged up to %d, want %d", mutation, late, got, want)
			}
		}
	}
}

// referenceIndex stores all purges and scans them on each lookup.
type referenceIndex []struct {
	s  Scope
	at Micros
}

func (p referenceIndex) validAfter(object string, number int) (at Micros, ok bool) {
	group := strconv.Itoa(number)
	for _, x := range p {
		hit := x.s.Kind == All || x.s.Kind == Object && x.s.Name == object || x.s.Kind == Prefix && strings.HasPrefix(object, x.s.Name) ||
			x.s.Kind == Group && x.s.Name == group
		if hit && (!ok || x.at > at) {
			at, ok = x.at, true
		}
	}
	return at, ok
}

// Checks that an Index agrees with referenceIndex, and that compaction only makes more
// copies invalid, never fewer.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, p := NewIndex(rapid.SampledFrom([]int{16, 40, 100_000}).Draw(t, "most")), referenceIndex{}
		for i := range rapid.IntRange(0, 120).Draw(t, "n") {
			kind := rapid.SampledFrom([]Kind{Object, Object, Object, Group, Prefix}).Draw(t, "kind")
			name := fmt.Sprintf("o%d", rapid.IntRange(0, 400).Draw(t, "name"))
			if kind == Group {
				name = name[1:]
			} else if kind == Prefix {
				name = name[:min(len(name), 3)]
			}
			s := Scope{kind, name}
			x.Add(s, Micros(i+1))
			p = append(p, struct {
				s  Scope
				at Micros
			}{s, Micros(i + 1)})
		}
		if x.Len() > x.maxScopes {
			t.Fatalf("%d scopes held, at most %d allowed", x.Len(), x.maxScopes)
		}
		for i := range 50 {
			object, group := fmt.Sprintf("o%d", i*9), i*7
			got, some := x.ValidAfter(object, group)
			want, must := p.validAfter(object, group)
			if must && (!some || got < want) || x.Compactions == 0 && (some != must || must && got != want) {
				t.Fatalf("%s: got %d %t, want %d %t", object, got, some, want, must)
			}
		}
	})
}

// Cost of a lookup with 10,000 purges: go test -bench ValidAfter ./internal/decide/invalidation
func BenchmarkValidAfter(b *testing.B) {
	x, p := NewIndex(20_000), referenceIndex{}
	for i := range 10_000 {
		s := Scope{Object, fmt.Sprintf("o%d", i)}
		if i%20 == 0 {
			s = Scope{Prefix, fmt.Sprintf("p%d", i)}
		}
		x.Add(s, Micros(i+1))
		p = append(p, struct {
			s  Scope
			at Micros
		}{s, Micros(i + 1)})
	}
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x.ValidAfter("o7777", 17)
		}
	})
	b.Run("plain", func(b *testing.B) {
		for b.Loop() {
			p.validAfter("o7777", 17)
		}
	})
}

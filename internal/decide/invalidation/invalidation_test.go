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

// front is one process in a day of purges: its book, and what it gathers for its sites.
type testFront struct {
	topology.Front
	book    *PurgeLog
	gathers map[string]*AckCollector
	disk    []Purge // kept
	paused  bool
	closing CompletionTracker
	has     map[string]Watermarks
}

// play plays a day in which purges are asked for while messages are lost, doubled and
// come late and fronts crash, sleep and join; it gives what was said too early.
func simulate(seed uint64, rule Mutation) (early string, complete int) {
	r := rand.New(rand.NewPCG(seed, 3))
	now, index := Micros(0), uint64(1)
	sites := []string{"a", "b"}
	keepers := map[string]string{"": "f0", "a": "f0", "b": "f1"}
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
		f := &testFront{Front: topology.Front{Name: fmt.Sprintf("f%d", i), Site: sites[i%2], ID: uint64(i + 1), Start: 1, OwnerLease: second}, book: NewPurgeLog(Config{MaxPurges: 1000, Retention: 1e12}),
			gathers: map[string]*AckCollector{}, has: map[string]Watermarks{}}
		// What serves already told it all before it serves itself.
		if i > 0 {
			news, _ := list[0].book.MissingFrom(nil, now)
			f.book.Receive(news, now)
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
	said := map[string]bool{}
	seq, asked := uint64(0), 0
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
			k := find(keepers[f.Site])
			if !k.paused && asked < 20 {
				asked++
				k.book.Submit(Origin{f.Site, 1}, Scope{Object, fmt.Sprintf("o%d", asked)}, fmt.Sprint(asked), "", now)
			}
		case 1:
			f.paused = !f.paused && r.IntN(4) == 0
		case 2: // a crash: what was not kept is gone, and so is what was gathered; keepers' numbers are drawn anew in earnest
			if f.Name != "f0" && f.Name != "f1" {
				f.book, f.gathers, f.has = NewPurgeLog(Config{MaxPurges: 1000, Retention: 1e12}), map[string]*AckCollector{}, map[string]Watermarks{}
				for _, p := range f.disk {
					f.book.Recover(p, now)
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
			for _, p := range f.book.TakePending() {
				if r.IntN(3) == 0 { // the disk takes its time
					later(func() { f.disk = append(f.disk, p); f.book.MarkStored(p.Origin, p.Number) })
				} else {
					f.disk = append(f.disk, p)
					f.book.MarkStored(p.Origin, p.Number)
				}
			}
			seq++
			n, s := seq, Summary{Index: index, Stored: f.book.Stored(), FrontCount: 1}
			role, k := topology.Role{Front: f.Name, Start: f.Start, Site: f.Site}, find(keepers[f.Site])
			exchange := func(role topology.Role, k *testFront, site string, s Summary) {
				news, _ := f.book.MissingFrom(f.has[k.Name], now)
				marks := f.book.Received()
				start := f.Start
				later(func() {
					if k.paused {
						return
					}
					k.book.Receive(news, now)
					if k.gathers[site] == nil {
						k.gathers[site] = NewAckCollector(site)
						k.gathers[site].Disable(rule)
					}
					k.gathers[site].Record(role, n, s, now)
					back, _ := k.book.MissingFrom(marks, now)
					has := k.book.Received()
					later(func() {
						if !f.paused && f.Start == start {
							f.book.Receive(back, now)
							f.has[k.Name] = has
						}
					})
				})
			}
			exchange(role, k, f.Site, s)
			for _, site := range []string{"a", "b", ""} {
				g := f.gathers[site]
				if g == nil || keepers[site] != f.Name {
					continue
				}
				sum := g.Summarize(view(f), index, f.book.Received(), 2*second, now)
				if site != "" {
					exchange(topology.Role{Site: site, Owner: 1}, find(keepers[""]), "", sum)
					continue
				}
				for _, m := range f.closing.Step(sum.Stored, now-1, now) {
					for i := uint64(1); i <= m.Number; i++ {
						p := Purge{Origin: m.Origin, Number: i}
						if said[p.ID()] {
							continue
						}
						said[p.ID()] = true
						for _, x := range list {
							if x.book.Stored().Of(m.Origin) < i {
								return fmt.Sprintf("seed %d: %s is complete, and %s has not kept it", seed, p.ID(), x.Name), len(said)
							}
						}
					}
				}
			}
		}
	}
	return "", len(said)
}

// Guards that a purge is never said to be complete too early, and is by and by.
func TestCompletionIsNeverEarly(t *testing.T) {
	total := 0
	for seed := range uint64(150) {
		early, n := simulate(seed, "")
		require.Empty(t, early)
		total += n
	}
	require.Greater(t, total, 150*3, "of use")
}

// Guards the check above.
func TestCompletionCheckDetectsMutation(t *testing.T) {
	for seed := range uint64(150) {
		if early, _ := simulate(seed, DisableAcks); early != "" {
			return
		}
	}
	t.Fatal("complete by those heard alone was not found")
}

// Guards the mutation: it leaves out who is late whether or not a word of it from before the
// purge is known, of a front or of a site, and the rule as built waits for both.
func TestMutationIgnoresStaleAcks(t *testing.T) {
	origin := Origin{Site: "west", Owner: 3}
	here := Watermarks{{Origin: origin, Number: 1}}
	v := &topology.View{Index: 9, Fronts: []topology.Front{
		{Name: "a", Site: "west", Start: 1, OwnerLease: 1}, {Name: "b", Site: "east/hub", Start: 1, OwnerLease: 1, Lost: true}, {Name: "c", Site: "west", Start: 1, OwnerLease: 1, Lost: true}}}
	for rule, want := range map[Mutation]uint64{"": 0, DisableAcks: 1} {
		for _, late := range []topology.Role{{Site: "east", Owner: 5}, {Site: "east/hub", Front: "b", Start: 1}, {Site: "west", Front: "c", Start: 1}} {
			g := NewAckCollector("")
			g.Disable(rule)
			g.Record(late, 1, Summary{Index: 9, FrontCount: 1}, 0)
			g.Record(topology.Role{Site: "west", Front: "a", Start: 1}, 1, Summary{Index: 9, Stored: here, FrontCount: 1}, 100)
			if got := g.Summarize(v, 9, here, 50, 100).Stored.Of(origin); got != want {
				t.Errorf("without %q, %+v late: acknowledged up to %d, want %d", rule, late, got, want)
			}
		}
	}
}

// plain is an index that only remembers.
type referenceIndex []struct {
	s  Scope
	at Micros
}

func (p referenceIndex) since(object string, number int) (at Micros, ok bool) {
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

// Guards that an index says the same as one that only remembers, and where it folds
// never less.
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
			t.Fatalf("%d scopes held, %d may be", x.Len(), x.maxScopes)
		}
		for i := range 50 {
			object, group := fmt.Sprintf("o%d", i*9), i*7
			got, some := x.ValidAfter(object, group)
			want, must := p.since(object, group)
			if must && (!some || got < want) || x.Compactions == 0 && (some != must || must && got != want) {
				t.Fatalf("%s: %d %t, %d %t wanted", object, got, some, want, must)
			}
		}
	})
}

// The cost of a look at 10,000 purges: go test -bench Since ./internal/decide/invalidation
func BenchmarkSince(b *testing.B) {
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
			p.since("o7777", 17)
		}
	})
}

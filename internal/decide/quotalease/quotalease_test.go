package quotalease

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second Micros = 1_000_000

var testRules = Rules{AllocationLease: 4 * second, OwnerLease: 2 * second, MaxOpenTime: 3 * second, ChildTimeout: second}

// Checks max-min fairness: the sum does not exceed the amount, and each demand gets at
// least its fair share or all it asked for, however much others ask for.
func TestFair(t *testing.T) {
	require.Equal(t, []float64{10, 45, 45}, MaxMinFair(100, []float64{10, 1e9, 1e9}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		amount := rapid.Float64Range(0, 1000).Draw(t, "amount")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), n, n).Draw(t, "demands")
		got, sum := MaxMinFair(amount, demands), 0.0
		for i, x := range got {
			sum += x
			if x < min(demands[i], amount/float64(n))-1e-6 {
				t.Fatalf("demands %v of %v: index %d got %v", demands, amount, i, x)
			}
		}
		if sum > amount+1e-6 {
			t.Fatalf("allocated %v of %v", sum, amount)
		}
		sum = 0
		for _, x := range raiseToMinimum(amount, 20, got, 0) {
			sum += x
			if x > 0 && x < 20-1e-6 {
				t.Fatalf("share of %v is below the minimum", x)
			}
		}
		if sum > amount+1e-6 {
			t.Fatalf("allocated %v of %v after raising shares to the minimum", sum, amount)
		}
	})
}

// world simulates a root, two sites and their fronts over a network that loses, duplicates
// and delays messages, with processes that restart and pause.
type world struct {
	r          *rand.Rand
	now        Micros
	limit      Limit
	rules      Rules
	nodes      []*node
	wire       []packet
	number     uint64
	admittedAt []Micros
	uses       map[uint64]int
	open       int
	maxOpen    int
	mutation   Mutation
}

type packet struct {
	at Micros
	do func()
}

// node is a front with the allocators of the sites that it owns.
type node struct {
	w           *world
	name        string
	site        string
	start       int
	limiter     *Limiter
	allocators  map[string]*Allocator
	newestOwner map[string]uint64 // highest owner number known of each site
	paused      Micros
	demand      float64
	clockRate   float64 // relative to simulated time
	clockOffset Micros
	calls       []Micros
}

func (n *node) clock() Micros { return n.clockOffset + Micros(float64(n.w.now)*n.clockRate) }
func (n *node) role() string  { return fmt.Sprintf("%s/%d", n.name, n.start) }

// send schedules do after a random delay; it may be lost or run twice.
func (w *world) send(do func()) {
	for range 1 + w.r.IntN(12)/11 {
		if w.r.IntN(10) > 0 {
			d := Micros(w.r.IntN(30_000))
			if w.r.IntN(40) == 0 {
				d = Micros(w.r.IntN(5_000_000))
			}
			w.wire = append(w.wire, packet{w.now + d, do})
		}
	}
}

type ownerNode struct {
	node   *node
	number uint64
}

func (w *world) nameOwner(owners map[string]ownerNode, site string, n *node, wait Micros) {
	w.number++
	owners[site] = ownerNode{n, w.number}
	d := NewAllocator(w.rules, []Limit{w.limit}, site, w.number, wait, n.clock())
	d.Disable(w.mutation)
	n.allocators[site] = d
	for _, x := range w.nodes { // the nodes learn of it after a random delay
		w.wire = append(w.wire, packet{w.now + Micros(w.r.IntN(2_000_000)), func() { x.newestOwner[site] = max(x.newestOwner[site], w.number) }})
	}
}

// simulate runs a simulation and returns the world with the requests admitted.
func simulate(seed uint64, limit Limit, mutation Mutation, span Micros) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), limit: limit, rules: testRules, mutation: mutation, uses: map[uint64]int{}}
	w.rules.ClockDrift = 0.1
	sites := []string{"a", "b"}
	for i := range 6 {
		n := &node{w: w, name: fmt.Sprintf("f%d", i), site: sites[i%2], allocators: map[string]*Allocator{}, newestOwner: map[string]uint64{}, clockRate: 0.9 + 0.2*w.r.Float64(),
			clockOffset: Micros(w.r.IntN(1e9)), demand: float64(w.r.IntN(60))}
		n.limiter = NewLimiter(w.rules, []Limit{limit}, n.clock())
		w.nodes = append(w.nodes, n)
	}
	owners := map[string]ownerNode{}
	w.nameOwner(owners, "", w.nodes[0], 0)
	w.nameOwner(owners, "a", w.nodes[2], 0)
	w.nameOwner(owners, "b", w.nodes[1], 0)
	// A replaced owner stops at once if its process restarted, the earliest end that a lease
	// allows; otherwise it allocates until its lease ends. A new root owner waits for that.
	type later struct {
		at   Micros
		site string
		n    *node
	}
	var ends []later
	for ; w.now < span; w.now += 5_000 {
		for i := 0; i < len(w.wire); {
			if p := w.wire[i]; p.at <= w.now {
				w.wire[i] = w.wire[len(w.wire)-1]
				w.wire = w.wire[:len(w.wire)-1]
				p.do()
			} else {
				i++
			}
		}
		for i := 0; i < len(ends); {
			if ends[i].at <= w.now {
				if d := ends[i].n.allocators[ends[i].site]; d != nil && owners[ends[i].site].node != ends[i].n {
					delete(ends[i].n.allocators, ends[i].site)
				}
				ends = append(ends[:i], ends[i+1:]...)
			} else {
				i++
			}
		}
		if w.r.IntN(300) == 0 {
			n := w.nodes[w.r.IntN(6)]
			switch w.r.IntN(4) {
			case 0: // restart: the new process may not spend what the old one held
				n.start++
				n.limiter = NewLimiter(w.rules, []Limit{limit}, n.clock())
				for _, site := range slices.Sorted(maps.Keys(n.allocators)) {
					if owners[site].node == n {
						w.nameOwner(owners, site, w.nodes[w.r.IntN(6)], w.rules.OwnerLease)
						if owners[site].node != n {
							delete(n.allocators, site)
						}
					}
				}
			case 1:
				n.paused = w.now + Micros(w.r.IntN(9_000_000))
			case 2:
				n.demand = float64(w.r.IntN(120))
			case 3:
				site := []string{"", "a", "b"}[w.r.IntN(3)]
				old := owners[site].node
				next := w.nodes[w.r.IntN(6)]
				if next != old {
					w.nameOwner(owners, site, next, w.rules.OwnerLease)
					ends = append(ends, later{w.now + w.rules.OwnerLease, site, old})
				}
			}
		}
		for _, n := range w.nodes {
			if n.paused > w.now {
				continue
			}
			n.step(owners)
		}
	}
	return w
}

func (n *node) step(owners map[string]ownerNode) {
	w := n.w
	now := n.clock()
	for range 1 + w.r.IntN(2) {
		if w.r.Float64() < n.demand*0.005/1.5 {
			for _, b := range n.limiter.Find("tenant", "t", now) {
				if _, ok := b.Take(now); ok {
					w.admittedAt = append(w.admittedAt, w.now)
					if w.limit.Kind == Open {
						w.open++
						w.maxOpen = max(w.maxOpen, w.open)
						start := n.start
						w.wire = append(w.wire, packet{w.now + Micros(w.r.IntN(int(w.rules.MaxOpenTime))), func() {
							w.open--
							if n.start == start {
								b.Release()
							}
						}})
					}
				}
			}
		}
	}
	if w.now/5_000%20 != 0 {
		return
	}
	site := n.site
	if w.r.IntN(5) == 0 {
		site = "" // the site's owner is passed over
	}
	k := owners[site]
	ask := Request{Stamp: now}
	for _, s := range n.limiter.Report(now) {
		want := LimitRequest{Key: s.Key, Demand: float64(s.Requests) * 10, Epoch: s.Epoch}
		for _, p := range s.Allocations {
			if p.From == (Source{site, k.number}) {
				want.Number, want.Held = p.Number, p.Held
			} else if p.From.Site == site {
				want.HeldBefore += p.Held
			}
		}
		ask.Limits = append(ask.Limits, want)
	}
	n.newestOwner[site] = max(n.newestOwner[site], k.number)
	role := n.role()
	w.send(func() {
		if d := k.node.allocators[site]; d != nil && d.Number() == k.number && k.node.paused <= w.now {
			d.HandleRequest(role, ask, k.node.clock())
		}
	})
	for _, site := range slices.Sorted(maps.Keys(n.allocators)) {
		d := n.allocators[site]
		up := Source{"", owners[""].number}
		if site != "" {
			ask, root := Request{Stamp: now, Limits: d.LimitRequests(up, now)}, owners[""]
			role := fmt.Sprintf("site %s %d", site, d.Number())
			n.newestOwner[""] = max(n.newestOwner[""], root.number)
			w.send(func() {
				if r := root.node.allocators[""]; r != nil && r.Number() == root.number && root.node.paused <= w.now {
					r.HandleRequest(role, ask, root.node.clock())
				}
			})
		}
		grants := d.Allocate(up, now)
		for _, role := range slices.Sorted(maps.Keys(grants)) {
			w.send(func() { w.deliver(role, grants[role]) })
		}
		if w.r.IntN(50) > 0 {
			continue
		}
		back := NewAllocator(d.rules, []Limit{w.limit}, d.Site(), d.Number(), 0, now)
		var l Ledger
		b, err := cbor.Marshal(d.Ledger())
		if err == nil {
			err = cbor.Unmarshal(b, &l)
		}
		back.Restore(l)
		back.Ledger()
		if err != nil || cmp.Diff(back.ledger.List, d.ledger.List) != "" || len(back.ledger.Limits) != len(d.ledger.Limits) {
			panic(fmt.Sprint("restored ledger differs: ", err))
		}
	}
}

func (w *world) deliver(role string, g Grant) {
	for _, n := range w.nodes {
		if n.paused > w.now {
			continue
		}
		if n.role() == role {
			n.limiter.ApplyGrant(g, n.newestOwner[g.Site], n.clock())
		}
		for site, d := range n.allocators {
			if fmt.Sprintf("site %s %d", site, d.Number()) == role {
				d.ApplyGrant(g, n.newestOwner[g.Site], n.clock())
			}
		}
	}
}

// maxExcess returns the most that was admitted above a rate's bound in any window.
func (w *world) maxExcess() float64 {
	worst := math.Inf(-1)
	// Max over i<j of (j-i+1) - burst - rate*(t_j-t_i), in one pass.
	least := math.Inf(1)
	for i, at := range w.admittedAt {
		x := float64(i) - w.limit.Amount*float64(at)/1e6
		least = min(least, x)
		worst = max(worst, x-least+1-w.limit.Burst)
	}
	return worst
}

// Checks that a hard rate is never exceeded in any window and a hard number of open
// requests never at all, while messages are lost, duplicated and up to 5 s late, processes
// pause and restart, owners change, and clocks run up to 10% off; and that a useful part
// of the limits is used.
func TestNeverOver(t *testing.T) {
	passed, most := 0, 0
	for seed := range uint64(40) {
		w := simulate(seed, Limit{Name: "l", Dimension: "tenant", Who: "t", Kind: Rate, Amount: 100, Burst: 40, Hard: true}, "", 60*second)
		require.LessOrEqual(t, w.maxExcess(), 0.0, "seed %d", seed)
		passed += len(w.admittedAt)
		w = simulate(seed, Limit{Name: "l", Dimension: "tenant", Who: "t", Kind: Open, Amount: 30, Hard: true}, "", 40*second)
		require.LessOrEqual(t, w.maxOpen, 30, "seed %d", seed)
		most += w.maxOpen
	}
	require.Greater(t, passed, 40*1000, "admitted requests")
	require.Greater(t, most, 40*8, "open requests")
}

// Checks that TestNeverOver detects an allocator that frees allocations before they have
// certainly expired.
func TestNeverOverFires(t *testing.T) {
	for seed := range uint64(40) {
		if simulate(seed, Limit{Name: "l", Dimension: "tenant", Who: "t", Kind: Rate, Amount: 100, Burst: 40, Hard: true}, DisableExpiry, 60*second).maxExcess() > 0 {
			return
		}
	}
	t.Fatal("freeing allocations before they have certainly expired was not detected")
}

// Cost of a limit check per request: go test -bench Take ./internal/decide/quotalease
func BenchmarkTake(b *testing.B) {
	now := second
	p := NewLimiter(testRules, []Limit{{Name: "l", Dimension: "tenant", Who: "padma", Kind: Rate, Amount: 1e8, Burst: 1e8, Hard: true}}, now)
	p.ApplyGrant(Grant{Owner: 1, Stamp: now, Allocations: []Allocation{{Key: Key{"l", "padma"}, Number: 1, Amount: 1e8, Span: 1e9}}}, 0, now)
	b.ReportAllocs()
	for b.Loop() {
		now++
		for _, x := range p.Find("tenant", "padma", now) {
			x.Take(now)
		}
	}
}

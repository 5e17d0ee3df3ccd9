package loop

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/google/btree"
	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// The wheel must behave like a sorted list: each deadline fires once, in order, not before
// its time and not after the wheel has advanced past it, and never if it was stopped. due
// must not be later than the first deadline.
func TestWheelMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &wheel{now: 1_800_000_000_000_000}
		want := map[*Deadline]Micros{}
		var last Micros
		all := make([]*Deadline, 30)
		for i := range all {
			d := &Deadline{}
			d.Init(func() {
				at, set := want[d]
				if !set || at > w.now || at < last {
					t.Fatalf("came at %d, set %v for %d, after one for %d", w.now, set, at, last)
				}
				last = at
				delete(want, d)
			})
			all[i] = d
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d := rapid.SampledFrom(all).Draw(t, "deadline")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				shift := rapid.IntRange(0, 40).Draw(t, "shift")
				at := w.now + 1 + rapid.Int64Range(0, 1<<shift).Draw(t, "span")
				w.set(d, at)
				want[d] = at
			case 2:
				if d.Pending() {
					w.stop(d)
				}
				delete(want, d)
			case 3:
				to := w.now + rapid.Int64Range(0, 1<<rapid.IntRange(0, 40).Draw(t, "shift")).Draw(t, "span")
				last = 0
				w.advance(to)
				for d, at := range want {
					if at <= to {
						t.Fatalf("%v for %d did not come by %d", d.Pending(), at, to)
					}
				}
			}
			first := forever
			for _, at := range want {
				first = min(first, at)
			}
			if at, ok := w.due(); ok != (len(want) > 0) || ok && (at > first || at < w.now) {
				t.Fatalf("due at %d, %v; the first is at %d", at, ok, first)
			}
			if w.count != len(want) {
				t.Fatalf("%d set, want %d", w.count, len(want))
			}
		}
	})
}

// Guards against deadlines that are lost, late or fire twice when the clock is set back by a
// minute and then forward by two. Deadlines set after the step must fire by the new time.
func TestClockSteps(t *testing.T) {
	const minute = 60_000_000
	w := &wheel{now: 1_800_000_000_000_000}
	start, fired := w.now, map[string]int{}
	set := func(name string, at Micros) {
		d := &Deadline{do: func() { fired[name]++ }}
		w.set(d, at)
	}
	set("before", start+minute/2)
	w.advance(start + 1000)
	w.advance(start - minute)
	set("after", start-minute+1000)
	w.advance(start - minute + 1000)
	if fired["after"] != 1 || fired["before"] != 0 {
		t.Errorf("set back: %v", fired)
	}
	w.advance(start + minute)
	if fired["after"] != 1 || fired["before"] != 1 || w.count != 0 {
		t.Errorf("set forward: %v", fired)
	}
}

// A loop on a virtual clock must run through a day without waiting, and wake up only when a
// deadline is due or when a distant one moves to a lower level of the wheel.
func TestVirtualClockDay(t *testing.T) {
	const day = 24 * 3600 * 1_000_000
	v := NewVirtual(1_800_000_000_000_000)
	batches := 0
	l := NewOn(v, func() { batches++ })
	start, ticks := v.Now(), 0
	var tick func()
	tick = func() {
		ticks++
		if v.Now() >= start+day {
			l.Quit()
			return
		}
		l.At(v.Now()+60_000_000, tick)
	}
	l.Post(tick)
	l.Run()
	if ticks != 1441 || v.Now() != start+day || batches > 3*ticks {
		t.Errorf("%d ticks in %d batches, %d us", ticks, batches, v.Now()-start)
	}
}

// Coarse deadlines must be late by at most a 32nd and share a few times.
func TestCoarseDeadlines(t *testing.T) {
	now, moments := Micros(1_800_000_000_000_000), map[Micros]bool{}
	for i := range Micros(10_000) {
		at := now + i*10 + 4_500_000
		c := coarse(now+i*10, at)
		if c < at || c-at > 4_500_000/32 {
			t.Fatalf("%d later", c-at)
		}
		moments[c] = true
	}
	if len(moments) > 3 {
		t.Errorf("%d moments", len(moments))
	}
}

// heapDeadline is an entry of the binary heap that the benchmark compares the wheel with.
type heapDeadline struct {
	at    Micros
	index int
}
type heapDeadlines []*heapDeadline

func (h heapDeadlines) Len() int           { return len(h) }
func (h heapDeadlines) Less(i, j int) bool { return h[i].at < h[j].at }
func (h heapDeadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *heapDeadlines) Push(x any) {
	d := x.(*heapDeadline)
	d.index = len(*h)
	*h = append(*h, d)
}
func (h *heapDeadlines) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}

type treeItem struct {
	at Micros
	id int
}

// BenchmarkTimers compares the wheel with a heap and a B-tree, with n deadlines 0 to 5 s
// ahead. Run it with -bench Timers. move resets a deadline, as a connection does on activity;
// fire advances to the next deadline, which sets itself again.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		r := rand.New(rand.NewPCG(7, 7))
		spans := make([]Micros, 1<<16)
		for i := range spans {
			spans[i] = r.Int64N(5_000_000) + 1
		}
		which := make([]int, 1<<16)
		for i := range which {
			which[i] = r.IntN(n)
		}
		size := func(build func()) float64 {
			var a, z runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&a)
			build()
			runtime.GC()
			runtime.ReadMemStats(&z)
			return float64(z.HeapAlloc-a.HeapAlloc) / float64(n)
		}
		b.Run(fmt.Sprint("wheel/", n), func(b *testing.B) {
			var w *wheel
			var all []Deadline
			bytes := size(func() {
				w, all = &wheel{now: 1_800_000_000_000_000}, make([]Deadline, n)
				for i := range all {
					d := &all[i]
					d.Init(func() { w.set(d, w.now+spans[int(w.now)&0xffff]) })
					w.set(d, w.now+spans[i&0xffff])
				}
			})
			b.Run("move", func(b *testing.B) {
				for i := range b.N {
					w.set(&all[which[i&0xffff]], w.now+spans[i&0xffff])
				}
				b.ReportMetric(bytes, "B/entry")
			})
			b.Run("fire", func(b *testing.B) {
				for range b.N {
					at, _ := w.due()
					w.advance(at)
				}
			})
		})
		b.Run(fmt.Sprint("heap/", n), func(b *testing.B) {
			var h heapDeadlines
			all := make([]heapDeadline, n)
			bytes := size(func() {
				for i := range all {
					all[i].at = spans[i&0xffff]
					heap.Push(&h, &all[i])
				}
			}) + 16
			now := Micros(0)
			b.Run("move", func(b *testing.B) {
				for i := range b.N {
					d := &all[which[i&0xffff]]
					d.at = now + spans[i&0xffff]
					heap.Fix(&h, d.index)
				}
				b.ReportMetric(bytes, "B/entry")
			})
			b.Run("fire", func(b *testing.B) {
				for range b.N {
					now = h[0].at
					h[0].at = now + spans[int(now)&0xffff]
					heap.Fix(&h, 0)
				}
			})
		})
		b.Run(fmt.Sprint("btree/", n), func(b *testing.B) {
			var t *btree.BTreeG[treeItem]
			all := make([]treeItem, n)
			bytes := size(func() {
				t = btree.NewG(32, func(a, b treeItem) bool { return a.at < b.at || a.at == b.at && a.id < b.id })
				for i := range all {
					all[i] = treeItem{spans[i&0xffff], i}
					t.ReplaceOrInsert(all[i])
				}
			}) + 16
			now := Micros(0)
			b.Run("move", func(b *testing.B) {
				for i := range b.N {
					d := &all[which[i&0xffff]]
					t.Delete(*d)
					d.at = now + spans[i&0xffff]
					t.ReplaceOrInsert(*d)
				}
				b.ReportMetric(bytes, "B/entry")
			})
			b.Run("fire", func(b *testing.B) {
				for range b.N {
					d, _ := t.DeleteMin()
					now = d.at
					d.at += spans[int(now)&0xffff]
					all[d.id] = d
					t.ReplaceOrInsert(d)
				}
			})
		})
	}
}

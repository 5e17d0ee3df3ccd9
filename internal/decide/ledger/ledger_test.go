package ledger

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

var small = Config{MaxIDs: 20, MaxBodyBytes: 50, Retention: 1000, MaxDelay: 100}

// Far beyond the model's bounds: many ids, tries and late copies. No id runs a
// second time under one epoch unless its earlier try surely did not, memory stays in
// its bounds, and a ledger built from its records or its snapshot is the same.
func TestFarWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kept []Record
		f := NewReceiver(small, 7, func(r Record) { kept = append(kept, r) })
		ran, done := map[ID]int{}, map[ID]bool{}
		never := map[string]bool{}
		now := Micros(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 40).Draw(t, "pause"))
			id, try := ID(rapid.IntRange(1, 40).Draw(t, "id")), uint32(rapid.IntRange(1, 3).Draw(t, "try"))
			copyOf := fmt.Sprint(id, "/", try)
			f.expire(now)
			for id := range ID(41) { // what is forgotten: no copy of it comes any more
				if f.by[id] == nil {
					delete(ran, id)
					for try := range uint32(4) {
						delete(never, fmt.Sprint(id, "/", try))
					}
				}
			}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				a, _ := f.Arrive(now, id, try, uint64(rapid.IntRange(6, 7).Draw(t, "epoch")), int64(rapid.IntRange(0, 150).Draw(t, "held")))
				if a == Run {
					// What was told never to run may do so only once nobody remembers that, which
					// is later than any copy of it may come.
					if never[copyOf] || ran[id] > 0 && !done[id] {
						t.Fatalf("%s runs, and must not", copyOf)
					}
					ran[id], done[id] = 1, false
				}
				if a.NeverRuns() {
					never[copyOf] = true
				}
			case 1:
				end := rapid.SampledFrom([]Outcome{Served, Failed, NotRun}).Draw(t, "end")
				e := f.by[id]
				if e != nil && e.state == running {
					f.Done(now, id, end, make([]byte, rapid.IntRange(0, 60).Draw(t, "bytes")))
					done[id] = true
				}
			case 2:
				tell := f.Query(now, id, try, 7, int64(rapid.IntRange(0, 900).Draw(t, "age")), int64(rapid.IntRange(0, 150).Draw(t, "held")))
				if tell.Kind == NeverArrived {
					never[copyOf] = true
				}
			}
			if f.Len() > small.MaxIDs+small.MaxIDs/barsEach+1 || f.bytes > small.MaxBodyBytes {
				t.Fatalf("%d ids, %d bytes", f.Len(), f.bytes)
			}
		}
		for name, records := range map[string][]Record{"records": kept, "snapshot": f.Snapshot()} {
			again := NewReceiver(small, 7, func(Record) {})
			for _, r := range records {
				again.Apply(r)
			}
			if !reflect.DeepEqual(states(again.by), states(f.by)) {
				t.Fatalf("from its %s:\n%v\nfor\n%v", name, states(again.by), states(f.by))
			}
			again.FinishRestore(now)
			for _, e := range again.by {
				if e.state == running {
					t.Fatal("it is said to run after a restart")
				}
			}
		}
	})
}

func states(by map[ID]*entry) map[ID]string {
	out := map[ID]string{}
	for id, e := range by {
		out[id] = fmt.Sprint(e.state, e.try, e.end, e.at, e.epoch, e.sent, e.until, e.once, len(e.body), e.newer != nil)
	}
	return out
}

// The near side sends what must not run twice again only by proof, fails what it
// can't know, refuses what surely did not run, and believes nothing that it did not
// ask for.
func TestNearVerdicts(t *testing.T) {
	out := func() *Sender {
		n := NewSender(small, func(Record) {})
		if s := n.Open(0, 1, true, 500); s.Action != Send {
			t.Fatal(s)
		}
		if try, ok := n.Dispatch(0, 1, 7); try != 1 || !ok {
			t.Fatal(try, ok)
		}
		return n
	}
	for name, x := range map[string]struct {
		do   func(n *Sender) Step
		want Action
	}{
		"an answer":                       {func(n *Sender) Step { return n.Answer(1, 1, 1, Served, nil) }, Pass},
		"a failure":                       {func(n *Sender) Step { return n.Answer(1, 1, 1, Failed, nil) }, Fail},
		"proof":                           {func(n *Sender) Step { return n.Answer(1, 1, 1, NotRun, nil) }, Send},
		"proof, too late":                 {func(n *Sender) Step { return n.Answer(600, 1, 1, NotRun, nil) }, Refuse},
		"no answer":                       {func(n *Sender) Step { return n.AttemptLost(1, 1, 1) }, QueryReceiver},
		"an end that can't be told":       {func(n *Sender) Step { return n.Answer(1, 1, 1, NoOutcome, nil) }, QueryReceiver},
		"it never came":                   {func(n *Sender) Step { return n.ReceiverStatus(1, 1, 1, Status{Kind: NeverArrived, Epoch: 7}) }, Send},
		"it never came, says another one": {func(n *Sender) Step { return n.ReceiverStatus(1, 1, 1, Status{Kind: NeverArrived, Epoch: 8}) }, Fail},
		"it runs":                         {func(n *Sender) Step { return n.ReceiverStatus(1, 1, 1, Status{Kind: Running, Epoch: 7}) }, Nothing},
		"it has ended, bytes kept": {func(n *Sender) Step {
			return n.ReceiverStatus(1, 1, 1, Status{Kind: Answered, Outcome: Served, BodyKept: true, Epoch: 7})
		}, Pass},
		"it has ended, bytes gone": {func(n *Sender) Step {
			return n.ReceiverStatus(1, 1, 1, Status{Kind: Answered, Outcome: Served, Epoch: 7})
		}, Fail},
		"nothing is known":     {func(n *Sender) Step { return n.ReceiverStatus(1, 1, 1, Status{Epoch: 8}) }, Fail},
		"another try's answer": {func(n *Sender) Step { return n.Answer(1, 1, 2, Served, nil) }, Nothing},
		"another id's answer":  {func(n *Sender) Step { return n.Answer(1, 2, 1, Served, nil) }, Nothing},
		"a second answer":      {func(n *Sender) Step { n.Answer(1, 1, 1, Served, nil); return n.Answer(1, 1, 1, Served, nil) }, Nothing},
		"the same id again":    {func(n *Sender) Step { return n.Open(1, 1, true, 500) }, Duplicate},
		"no time, open":        {func(n *Sender) Step { return n.GiveUp(500, 1) }, Fail},
		"no time, not sent":    {func(n *Sender) Step { n.Open(1, 2, true, 500); return n.GiveUp(500, 2) }, Refuse},
		"no room": {func(n *Sender) Step {
			for id := range ID(small.MaxIDs) {
				n.Open(1, id+10, true, 500)
			}
			return n.Open(1, 99, true, 500)
		}, Refuse},
		"a read is lost": {func(n *Sender) Step { n.Open(1, 2, false, 500); n.Dispatch(1, 2, 7); return n.AttemptLost(2, 2, 1) }, Send},
	} {
		if s := x.do(out()); s.Action != x.want {
			t.Errorf("%s: got %+v, want %d", name, s, x.want)
		}
	}
	var kept []Record
	n := NewSender(small, func(r Record) { kept = append(kept, r) })
	n.Open(0, 1, true, 500)
	n.Dispatch(0, 1, 7)
	n.Open(0, 2, true, 500)
	again := NewSender(small, func(Record) {})
	for _, r := range kept {
		again.Apply(r)
	}
	if unclear := again.FinishRestore(1); unclear != 1 || again.Open(2, 1, true, 500).Action != Duplicate {
		t.Errorf("%d may have run", unclear)
	}
	if err := small.Check(); err != nil {
		t.Error(err)
	}
	for _, c := range []Config{{}, {MaxIDs: 1, Retention: 300, MaxDelay: 100}, {MaxIDs: 1, MaxBodyBytes: -1, Retention: 1000, MaxDelay: 1}} {
		if c.Check() == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// BenchmarkFar is what an id costs at a far side that remembers a million.
func BenchmarkFar(b *testing.B) {
	const ids = 1_000_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := NewReceiver(Config{MaxIDs: ids, Retention: 1 << 40, MaxDelay: 1}, 1, func(Record) {})
	for id := range ID(ids) {
		f.Arrive(Micros(id), id, 1, 1, 0)
		f.Done(Micros(id), id, Served, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		f.Query(ids, ID(i%ids), 1, 1, 1, 0)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/ids, "bytes/id")
}

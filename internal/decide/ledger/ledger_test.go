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

var testConfig = Config{MaxIDs: 20, MaxBodyBytes: 50, Retention: 1000, MaxDelay: 100}

// Random operations with many ids, attempts and late copies, beyond the bounds of the model: no
// id runs a second time under one epoch unless its earlier attempt certainly did not, memory
// stays within its limits, and a ledger rebuilt from its records or its snapshot equals the
// original.
func TestReceiverRandomWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		receiver := NewReceiver(testConfig, 7, func(r Record) { records = append(records, r) })
		ran, done := map[ID]int{}, map[ID]bool{}
		neverRuns := map[string]bool{}
		now := Micros(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 40).Draw(t, "pause"))
			id, attempt := ID(rapid.IntRange(1, 40).Draw(t, "id")), uint32(rapid.IntRange(1, 3).Draw(t, "try"))
			key := fmt.Sprint(id, "/", attempt)
			receiver.expire(now)
			for id := range ID(41) { // ids that were forgotten: no copy of them arrives any more
				if receiver.byID[id] == nil {
					delete(ran, id)
					for attempt := range uint32(4) {
						delete(neverRuns, fmt.Sprint(id, "/", attempt))
					}
				}
			}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				a, _ := receiver.Arrive(now, id, attempt, uint64(rapid.IntRange(6, 7).Draw(t, "epoch")), int64(rapid.IntRange(0, 150).Draw(t, "held")))
				if a == Run {
					// An attempt that was reported never to run may run only once that is
					// forgotten, which is later than any copy of it can arrive.
					if neverRuns[key] || ran[id] > 0 && !done[id] {
						t.Fatalf("%s runs and must not", key)
					}
					ran[id], done[id] = 1, false
				}
				if a.NeverRuns() {
					neverRuns[key] = true
				}
			case 1:
				end := rapid.SampledFrom([]Outcome{Served, Failed, NotRun}).Draw(t, "end")
				e := receiver.byID[id]
				if e != nil && e.state == running {
					receiver.Done(now, id, end, make([]byte, rapid.IntRange(0, 60).Draw(t, "bytes")))
					done[id] = true
				}
			case 2:
				status := receiver.Query(now, id, attempt, 7, int64(rapid.IntRange(0, 900).Draw(t, "age")), int64(rapid.IntRange(0, 150).Draw(t, "held")))
				if status.Kind == NeverArrived {
					neverRuns[key] = true
				}
			}
			if receiver.Len() > testConfig.MaxIDs+testConfig.MaxIDs/blockedDivisor+1 || receiver.bodyBytes > testConfig.MaxBodyBytes {
				t.Fatalf("%d ids, %d bytes", receiver.Len(), receiver.bodyBytes)
			}
		}
		for name, records := range map[string][]Record{"records": records, "snapshot": receiver.Snapshot()} {
			rebuilt := NewReceiver(testConfig, 7, func(Record) {})
			for _, r := range records {
				rebuilt.Apply(r)
			}
			if !reflect.DeepEqual(states(rebuilt.byID), states(receiver.byID)) {
				t.Fatalf("rebuilt from its %s:\n%v\nfor\n%v", name, states(rebuilt.byID), states(receiver.byID))
			}
			rebuilt.FinishRestore(now)
			for _, e := range rebuilt.byID {
				if e.state == running {
					t.Fatal("still running after a restart")
				}
			}
		}
	})
}

func states(by map[ID]*entry) map[ID]string {
	out := map[ID]string{}
	for id, e := range by {
		out[id] = fmt.Sprint(e.state, e.attempt, e.outcome, e.changedAt, e.epoch, e.sentAt, e.deadline, e.once, len(e.body), e.newer != nil)
	}
	return out
}

// The sender resends a request that must not run twice only with proof, fails it if its outcome
// can't be known, refuses it if it certainly did not run, and ignores replies that it did not
// ask for.
func TestSenderDecisions(t *testing.T) {
	newSender := func() *Sender {
		sender := NewSender(testConfig, func(Record) {})
		if s := sender.Open(0, 1, true, 500); s.Action != Send {
			t.Fatal(s)
		}
		if attempt, ok := sender.Dispatch(0, 1, 7); attempt != 1 || !ok {
			t.Fatal(attempt, ok)
		}
		return sender
	}
	for name, x := range map[string]struct {
		do   func(sender *Sender) Step
		want Action
	}{
		"an answer":                          {func(sender *Sender) Step { return sender.Answer(1, 1, 1, Served, nil) }, Pass},
		"a failure":                          {func(sender *Sender) Step { return sender.Answer(1, 1, 1, Failed, nil) }, Fail},
		"did not run":                        {func(sender *Sender) Step { return sender.Answer(1, 1, 1, NotRun, nil) }, Send},
		"did not run, too late":              {func(sender *Sender) Step { return sender.Answer(600, 1, 1, NotRun, nil) }, Refuse},
		"connection lost":                    {func(sender *Sender) Step { return sender.AttemptLost(1, 1, 1) }, QueryReceiver},
		"outcome unknown":                    {func(sender *Sender) Step { return sender.Answer(1, 1, 1, NoOutcome, nil) }, QueryReceiver},
		"never arrived":                      {func(sender *Sender) Step { return sender.ReceiverStatus(1, 1, 1, Status{Kind: NeverArrived, Epoch: 7}) }, Send},
		"never arrived, under another epoch": {func(sender *Sender) Step { return sender.ReceiverStatus(1, 1, 1, Status{Kind: NeverArrived, Epoch: 8}) }, Fail},
		"running":                            {func(sender *Sender) Step { return sender.ReceiverStatus(1, 1, 1, Status{Kind: Running, Epoch: 7}) }, Nothing},
		"answered, body kept": {func(sender *Sender) Step {
			return sender.ReceiverStatus(1, 1, 1, Status{Kind: Answered, Outcome: Served, BodyKept: true, Epoch: 7})
		}, Pass},
		"answered, body dropped": {func(sender *Sender) Step {
			return sender.ReceiverStatus(1, 1, 1, Status{Kind: Answered, Outcome: Served, Epoch: 7})
		}, Fail},
		"unknown":                   {func(sender *Sender) Step { return sender.ReceiverStatus(1, 1, 1, Status{Epoch: 8}) }, Fail},
		"answer to another attempt": {func(sender *Sender) Step { return sender.Answer(1, 1, 2, Served, nil) }, Nothing},
		"answer to another id":      {func(sender *Sender) Step { return sender.Answer(1, 2, 1, Served, nil) }, Nothing},
		"a second answer": {func(sender *Sender) Step {
			sender.Answer(1, 1, 1, Served, nil)
			return sender.Answer(1, 1, 1, Served, nil)
		}, Nothing},
		"duplicate id":       {func(sender *Sender) Step { return sender.Open(1, 1, true, 500) }, Duplicate},
		"given up, sent":     {func(sender *Sender) Step { return sender.GiveUp(500, 1) }, Fail},
		"given up, not sent": {func(sender *Sender) Step { sender.Open(1, 2, true, 500); return sender.GiveUp(500, 2) }, Refuse},
		"no room": {func(sender *Sender) Step {
			for id := range ID(testConfig.MaxIDs) {
				sender.Open(1, id+10, true, 500)
			}
			return sender.Open(1, 99, true, 500)
		}, Refuse},
		"connection lost, may run twice": {func(sender *Sender) Step {
			sender.Open(1, 2, false, 500)
			sender.Dispatch(1, 2, 7)
			return sender.AttemptLost(2, 2, 1)
		}, Send},
	} {
		if s := x.do(newSender()); s.Action != x.want {
			t.Errorf("%s: got %+v, want %d", name, s, x.want)
		}
	}
	var records []Record
	sender := NewSender(testConfig, func(r Record) { records = append(records, r) })
	sender.Open(0, 1, true, 500)
	sender.Dispatch(0, 1, 7)
	sender.Open(0, 2, true, 500)
	rebuilt := NewSender(testConfig, func(Record) {})
	for _, r := range records {
		rebuilt.Apply(r)
	}
	if unclear := rebuilt.FinishRestore(1); unclear != 1 || rebuilt.Open(2, 1, true, 500).Action != Duplicate {
		t.Errorf("%d may have run", unclear)
	}
	if err := testConfig.Check(); err != nil {
		t.Error(err)
	}
	for _, c := range []Config{{}, {MaxIDs: 1, Retention: 300, MaxDelay: 100}, {MaxIDs: 1, MaxBodyBytes: -1, Retention: 1000, MaxDelay: 1}} {
		if c.Check() == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// BenchmarkReceiver measures the cost of an id at a receiver that remembers a million.
func BenchmarkReceiver(b *testing.B) {
	const ids = 1_000_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	receiver := NewReceiver(Config{MaxIDs: ids, Retention: 1 << 40, MaxDelay: 1}, 1, func(Record) {})
	for id := range ID(ids) {
		receiver.Arrive(Micros(id), id, 1, 1, 0)
		receiver.Done(Micros(id), id, Served, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		receiver.Query(ids, ID(i%ids), 1, 1, 1, 0)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/ids, "bytes/id")
}

package audit

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// story is a chain of what happened, as records on a disk, and under which version
// each request was decided.
func story(t *rapid.T) (records [][]byte, under map[string]uint64, c *Chain) {
	c, under = &Chain{}, map[string]uint64{}
	c.SetClasses([]string{"a", "b"})
	index, version := uint64(1), uint64(0)
	keep := func(r *Record) { records = append(records, r.Encode()) }
	now := func() Timestamp { return Timestamp{At: int64(len(records)), Fleet: int64(index), Index: index} }
	keep(c.Append(Record{Kind: KindStarted, ID: 7, Start: 1}, now()))
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		index++
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			for _, r := range c.Flush(now()) {
				keep(r)
			}
			version++
			keep(c.Append(Record{Kind: KindActivated, Version: version}, now()))
		case 1:
			for _, r := range c.Flush(now()) {
				keep(r)
			}
		case 2:
			keep(c.Append(Record{Kind: KindAnchor, Seen: c.Seq(), Entry: index}, now()))
		default:
			id := fmt.Sprintf("request-%d", i)
			v := version - uint64(rapid.IntRange(0, 1).Draw(t, "older"))&min(1, version)
			c.Count(v, i%2, Outcome(i%3), id, index)
			under[id] = v
		}
	}
	for _, r := range c.Flush(now()) {
		keep(r)
	}
	return records, under, c
}

func ask(records [][]byte, q Question) Answer {
	d := NewReader(q)
	for _, b := range records {
		d.Add(b)
	}
	return d.Answer("x")
}

// Every request is found under exactly the version that it was decided under, and the
// counts of all versions are the requests.
func TestEveryRequestIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, under, c := story(t)
		for id, v := range under {
			a := ask(records, Question{Request: id})
			if len(a.Spans) != 1 || a.Spans[0].Version != v || a.Broken != "" {
				t.Fatalf("%s was decided under %d: %+v", id, v, a)
			}
		}
		if a := ask(records, Question{Request: "never"}); len(a.Spans) > 0 {
			t.Fatalf("%+v", a)
		}
		a, n := ask(records, Question{All: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}), uint64(0)
		for _, s := range a.Spans {
			for _, x := range s.Counts {
				n += x.Served + x.Refused + x.Failed
			}
		}
		if n != uint64(len(under)) || a.Proven == "" || a.Broken != "" {
			t.Fatalf("%d of %d: %+v", n, len(under), a)
		}
	})
}

// A chain that was changed, cut, doubled or put in another order is noticed by whoever
// has its head.
func TestChangesAreNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, _, c := story(t)
		if len(records) < 4 {
			return
		}
		q := Question{Verify: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}
		if a := ask(records, q); a.Broken != "" || a.Proven == "" {
			t.Fatalf("%+v", a)
		}
		i := rapid.IntRange(1, len(records)-2).Draw(t, "which")
		var other [][]byte
		switch what := rapid.IntRange(0, 4).Draw(t, "what"); what {
		case 0: // cut out
			other = append(append(other, records[:i]...), records[i+1:]...)
		case 1: // doubled
			other = append(append(append(other, records[:i+1]...), records[i]), records[i+1:]...)
		case 2: // its end is gone
			other = records[:i]
		case 3: // two change places
			other = append(other, records...)
			other[i], other[i+1] = other[i+1], other[i]
		case 4: // one says another version
			r, err := Decode(records[i])
			if err != nil {
				t.Fatal(err)
			}
			r.Version += 5
			other = append(other, records...)
			other[i] = r.Encode()
		}
		if a := ask(other, q); a.Broken == "" {
			t.Fatalf("not noticed: %+v", a)
		}
	})
}

// A chain that was made smaller still follows, and keeps every count.
func TestShrunkChainFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, under, c := story(t)
		for range rapid.IntRange(1, 4).Draw(t, "times") {
			var list []Record
			for _, b := range records {
				r, err := Decode(b)
				if err != nil {
					t.Fatal(err)
				}
				list = append(list, r)
			}
			before := bytes.Join(records, nil)
			records = nil
			for _, r := range Compact(list) {
				records = append(records, r.Encode())
			}
			if after := bytes.Join(records, nil); len(after) > len(before)+64*len(records) {
				t.Fatalf("%d bytes became %d", len(before), len(after))
			}
		}
		a, n := ask(records, Question{All: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}), uint64(0)
		for _, s := range a.Spans {
			for _, x := range s.Counts {
				n += x.Served + x.Refused + x.Failed
			}
		}
		if n != uint64(len(under)) || a.Broken != "" || a.Proven == "" {
			t.Fatalf("%d of %d: %+v", n, len(under), a)
		}
		if a.Records != c.Seq() {
			t.Fatalf("%d records of %d", a.Records, c.Seq())
		}
	})
}

// What a request costs.
func BenchmarkCount(b *testing.B) {
	c := &Chain{}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c.Count(3, 1, Served, "0123456789abcdef", 9)
		if n++; n%200 == 0 { // as often as a record is closed at 200 requests a second
			c.buckets[0].ids, c.buckets[0].number = c.buckets[0].ids[:0], 0
		}
	}
}

// Verifying a chain of a front with 200 requests a second.
func BenchmarkVerify(b *testing.B) {
	c := &Chain{}
	var records [][]byte
	size := 0
	for i := range 3600 {
		for j := range 200 {
			c.Count(1, j%3, Served, fmt.Sprintf("%016x", i*200+j), uint64(i))
		}
		for _, r := range c.Flush(Timestamp{At: int64(i) * 1_000_000, Index: uint64(i)}) {
			records = append(records, r.Encode())
			size += len(records[len(records)-1])
		}
	}
	q := Question{Verify: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}
	b.SetBytes(int64(size))
	b.ReportMetric(float64(size)*24, "B/day")
	for b.Loop() {
		if a := ask(records, q); a.Broken != "" {
			b.Fatal(a.Broken)
		}
	}
}

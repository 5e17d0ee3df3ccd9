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

// randomChain returns the encoded records of a random chain, the version under which each
// request was decided, and the chain.
func randomChain(t *rapid.T) (records [][]byte, versions map[string]uint64, c *Chain) {
	c, versions = &Chain{}, map[string]uint64{}
	c.SetClasses([]string{"a", "b"})
	index, version := uint64(1), uint64(0)
	add := func(r *Record) { records = append(records, r.Encode()) }
	now := func() Timestamp { return Timestamp{At: int64(len(records)), Fleet: int64(index), Index: index} }
	add(c.Append(Record{Kind: KindStarted, ID: 7, Start: 1}, now()))
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		index++
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			for _, r := range c.Flush(now()) {
				add(r)
			}
			version++
			add(c.Append(Record{Kind: KindActivated, Version: version}, now()))
		case 1:
			for _, r := range c.Flush(now()) {
				add(r)
			}
		case 2:
			add(c.Append(Record{Kind: KindAnchor, Seen: c.Seq(), Entry: index}, now()))
		default:
			id := fmt.Sprintf("request-%d", i)
			v := version - uint64(rapid.IntRange(0, 1).Draw(t, "older"))&min(1, version)
			c.Count(v, i%2, Outcome(i%3), id, index)
			versions[id] = v
		}
	}
	for _, r := range c.Flush(now()) {
		add(r)
	}
	return records, versions, c
}

func query(records [][]byte, question Question) Answer {
	reader := NewReader(question)
	for _, b := range records {
		reader.Add(b)
	}
	return reader.Answer("x")
}

// Every request is found under exactly the version that it was decided under, and the counts of
// all versions add up to the number of requests.
func TestRequestsAreFoundUnderTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, versions, c := randomChain(t)
		for id, v := range versions {
			a := query(records, Question{Request: id})
			if len(a.Spans) != 1 || a.Spans[0].Version != v || a.Broken != "" {
				t.Fatalf("%s was decided under %d: %+v", id, v, a)
			}
		}
		if a := query(records, Question{Request: "never"}); len(a.Spans) > 0 {
			t.Fatalf("%+v", a)
		}
		a, n := query(records, Question{All: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}), uint64(0)
		for _, s := range a.Spans {
			for _, x := range s.Counts {
				n += x.Served + x.Refused + x.Failed
			}
		}
		if n != uint64(len(versions)) || a.Proven == "" || a.Broken != "" {
			t.Fatalf("%d of %d: %+v", n, len(versions), a)
		}
	})
}

// A chain that was changed, cut, duplicated or reordered is detected by a reader that has its
// head.
func TestTamperingIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, _, c := randomChain(t)
		if len(records) < 4 {
			return
		}
		q := Question{Verify: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}
		if a := query(records, q); a.Broken != "" || a.Proven == "" {
			t.Fatalf("%+v", a)
		}
		i := rapid.IntRange(1, len(records)-2).Draw(t, "which")
		var altered [][]byte
		switch what := rapid.IntRange(0, 4).Draw(t, "what"); what {
		case 0: // one is removed
			altered = append(append(altered, records[:i]...), records[i+1:]...)
		case 1: // one is duplicated
			altered = append(append(append(altered, records[:i+1]...), records[i]), records[i+1:]...)
		case 2: // the end is missing
			altered = records[:i]
		case 3: // two are swapped
			altered = append(altered, records...)
			altered[i], altered[i+1] = altered[i+1], altered[i]
		case 4: // one has another version
			r, err := Decode(records[i])
			if err != nil {
				t.Fatal(err)
			}
			r.Version += 5
			altered = append(altered, records...)
			altered[i] = r.Encode()
		}
		if a := query(altered, q); a.Broken == "" {
			t.Fatalf("not noticed: %+v", a)
		}
	})
}

// A compacted chain still verifies and keeps every count.
func TestCompactedChainVerifies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, versions, c := randomChain(t)
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
		a, n := query(records, Question{All: true, Seq: c.Seq(), Head: hex.EncodeToString(c.Head())}), uint64(0)
		for _, s := range a.Spans {
			for _, x := range s.Counts {
				n += x.Served + x.Refused + x.Failed
			}
		}
		if n != uint64(len(versions)) || a.Broken != "" || a.Proven == "" {
			t.Fatalf("%d of %d: %+v", n, len(versions), a)
		}
		if a.Records != c.Seq() {
			t.Fatalf("%d records of %d", a.Records, c.Seq())
		}
	})
}

// BenchmarkCount measures the cost of counting a request.
func BenchmarkCount(b *testing.B) {
	c := &Chain{}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c.Count(3, 1, Served, "0123456789abcdef", 9)
		if n++; n%200 == 0 { // as often as a record is closed at 200 requests a second
			c.buckets[0].ids, c.buckets[0].requests = c.buckets[0].ids[:0], 0
		}
	}
}

// BenchmarkVerify verifies the chain of a front with 200 requests a second.
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
		if a := query(records, q); a.Broken != "" {
			b.Fatal(a.Broken)
		}
	}
}

package consensus

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A write that fails may keep a later entry of its batch and not an earlier one; what
// is written once more behind it counts. What is committed and not there does not start.
func TestBatchThatFailedInPart(t *testing.T) {
	entry := func(i uint64) []byte { return record(recEntry, &raftpb.Entry{Index: new(i), Term: new(uint64(1))}) }
	take := func(commit uint64, entries ...uint64) (*Recovered, error) {
		r := &Recovered{}
		list := [][]byte{IdentityRecord(Identity{Name: "a", ID: 7})}
		for _, i := range entries {
			list = append(list, entry(i))
		}
		for _, x := range append(list, record(recHard, &raftpb.HardState{Term: new(uint64(1)), Commit: new(commit)})) {
			if err := r.Add(x); err != nil {
				return r, err
			}
		}
		_, err := New(Config{Name: "a", Tick: 1}, r, 0)
		return r, err
	}
	if r, err := take(0, 1, 2, 4, 3, 4); err != nil || len(r.entries) != 4 || r.entries[3].GetIndex() != 4 {
		t.Errorf("%v, %d entries", err, len(r.entries))
	}
	if r, err := take(0, 1, 2, 4); err != nil || len(r.entries) != 2 {
		t.Errorf("%v, %d entries", err, len(r.entries))
	}
	if _, err := take(4, 1, 2, 4); !errors.Is(err, ErrMissingEntries) {
		t.Errorf("entry 3 is committed and missing: %v", err)
	}
}

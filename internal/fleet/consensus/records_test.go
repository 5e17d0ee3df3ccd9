package consensus

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A write that fails in part may keep a later entry of its batch without an earlier one; the
// entries that are written again after it count. A journal in which a committed entry is
// missing does not start.
func TestRecoveryOfPartlyFailedBatch(t *testing.T) {
	entry := func(i uint64) []byte { return record(recEntry, &raftpb.Entry{Index: new(i), Term: new(uint64(1))}) }
	recoverEntries := func(commit uint64, entries ...uint64) (*Recovered, error) {
		recovered := &Recovered{}
		list := [][]byte{IdentityRecord(Identity{Name: "a", ID: 7})}
		for _, i := range entries {
			list = append(list, entry(i))
		}
		for _, x := range append(list, record(recHard, &raftpb.HardState{Term: new(uint64(1)), Commit: new(commit)})) {
			if err := recovered.Add(x); err != nil {
				return recovered, err
			}
		}
		_, err := New(Config{Name: "a", Tick: 1}, recovered, 0)
		return recovered, err
	}
	if recovered, err := recoverEntries(0, 1, 2, 4, 3, 4); err != nil || len(recovered.entries) != 4 || recovered.entries[3].GetIndex() != 4 {
		t.Errorf("%v, %d entries", err, len(recovered.entries))
	}
	if recovered, err := recoverEntries(0, 1, 2, 4); err != nil || len(recovered.entries) != 2 {
		t.Errorf("%v, %d entries", err, len(recovered.entries))
	}
	if _, err := recoverEntries(4, 1, 2, 4); !errors.Is(err, ErrMissingEntries) {
		t.Errorf("committed entry 3 is missing: %v", err)
	}
}

package exchange

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/journal"
)

// purgeStore is the file of purges and what it held when it was read.
type purgeStore struct {
	journal        *journal.Journal
	purges         []invalidation.Purge
	forgotten      invalidation.Watermarks
	rewrittenBytes int64
}

// The kinds of records, in their first byte.
const (
	recordPurge byte = iota + 1
	recordForgotten
)

func openPurgeStore(ex *Exchange, path string) (*purgeStore, error) {
	if ex.cfg.Section.Purges == nil {
		return nil, nil
	}
	store := &purgeStore{}
	var torn int64
	var err error
	store.journal, torn, err = journal.Open(path, 1<<16, func(do func()) { ex.purges.put(callback{do}) }, func(rec []byte) error {
		if len(rec) < 2 {
			return errors.New("an empty record")
		}
		switch rec[0] {
		case recordPurge:
			var p invalidation.Purge
			if err := decoder.Unmarshal(rec[1:], &p); err != nil {
				return err
			}
			store.purges = append(store.purges, p)
		case recordForgotten:
			return decoder.Unmarshal(rec[1:], &store.forgotten)
		default:
			return fmt.Errorf("a record of kind %d", rec[0])
		}
		return nil
	})
	if torn > 0 {
		ex.log.Warn("exchange: the purges' file had a torn end, which is cut off", "bytes", torn)
	}
	return store, err
}

func encodeRecord(kind byte, v any) []byte { return append([]byte{kind}, encode(v)...) }

// rewrite replaces the file with a snapshot of the purges still held.
func (t *purgeTask) rewrite(now Micros) {
	purges, forgotten := t.purges.Snapshot(now)
	records := [][]byte{encodeRecord(recordForgotten, forgotten)}
	for _, p := range purges {
		if t.pendingAcks[p.ID()] == 0 {
			records = append(records, encodeRecord(recordPurge, p))
		}
	}
	for _, r := range records {
		t.store.rewrittenBytes += int64(len(r))
	}
	t.store.journal.Rewrite(records, func(err error) {
		if err != nil {
			t.ex.log.Error("exchange: the purges' file is not made smaller", "error", err)
		}
	})
	for _, p := range purges { // those not yet stored are appended after the snapshot
		if t.pendingAcks[p.ID()] > 0 {
			t.store.journal.Append(encodeRecord(recordPurge, p), func(error) {})
		}
	}
}

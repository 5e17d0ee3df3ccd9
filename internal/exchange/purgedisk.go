package exchange

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/journal"
)

// disk is the purges' file, and what it held at the start.
type disk struct {
	j       *journal.Journal
	purges  []invalidation.Purge
	gone    invalidation.Watermarks
	rewrote int64
}

// What a record is, by its first byte.
const (
	recPurge byte = iota + 1
	recGone
)

func openDisk(x *Exchange, path string) (*disk, error) {
	if x.cfg.Section.Purges == nil {
		return nil, nil
	}
	d := &disk{}
	var torn int64
	var err error
	d.j, torn, err = journal.Open(path, 1<<16, func(do func()) { x.purges.put(posted{do}) }, func(rec []byte) error {
		if len(rec) < 2 {
			return errors.New("an empty record")
		}
		switch rec[0] {
		case recPurge:
			var p invalidation.Purge
			if err := decoder.Unmarshal(rec[1:], &p); err != nil {
				return err
			}
			d.purges = append(d.purges, p)
		case recGone:
			return decoder.Unmarshal(rec[1:], &d.gone)
		default:
			return fmt.Errorf("a record of kind %d", rec[0])
		}
		return nil
	})
	if torn > 0 {
		x.log.Warn("exchange: the purges' file had a torn end, which is cut off", "bytes", torn)
	}
	return d, err
}

func record(kind byte, v any) []byte { return append([]byte{kind}, encode(v)...) }

// rewrite begins the disk's file anew with what is still held.
func (t *purgeTask) rewrite(now Micros) {
	list, gone := t.book.Snapshot(now)
	recs := [][]byte{record(recGone, gone)}
	for _, p := range list {
		if t.waits[p.ID()] == 0 {
			recs = append(recs, record(recPurge, p))
		}
	}
	for _, r := range recs {
		t.disk.rewrote += int64(len(r))
	}
	t.disk.j.Rewrite(recs, func(err error) {
		if err != nil {
			t.x.log.Error("exchange: the purges' file is not made smaller", "error", err)
		}
	})
	for _, p := range list { // those on their way to the disk stand behind it
		if t.waits[p.ID()] > 0 {
			t.disk.j.Append(record(recPurge, p), func(error) {})
		}
	}
}

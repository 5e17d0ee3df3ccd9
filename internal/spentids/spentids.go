// Package spentids keeps the ids of requests that must not run twice in a file that the processes
// of a front share while one replaces the other, so that an id that comes again at the other process
// is not sent again.
//
// The file is a hash table of fixed size: 512 buckets of 8 entries, 64 KB. An entry counts for a
// minute; a full bucket loses its oldest one. Each call reads or writes one bucket, which the system
// holds in memory, and never waits for a disk. Two processes that claim one id in the same moment
// may both succeed.
package spentids

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"

	"golang.org/x/sys/unix"
)

// Dimensions of the table.
const (
	buckets       = 512
	bucketEntries = 8
	entryBytes    = 16 // the id, and when it was claimed
	bucketBytes   = bucketEntries * entryBytes
)

// span is how long an id counts, in us; longer than any client goes on with a request.
const span = 60_000_000

// entry is an id with the time of its claim by the system's monotonic clock, in us; 0: free.
type entry struct {
	id uint64
	at int64
}

// bucket holds the entries of the ids that fall into it.
type bucket [bucketEntries]entry

// Table is a table of ids. It must be used by one goroutine only. Where the file can't be read or
// written, ids count as not claimed, and the first failure is logged.
type Table struct {
	file   *os.File
	log    *slog.Logger
	now    func() int64
	failed bool
}

// Open opens or creates the table at a path, and reserves its space.
func Open(path string, log *slog.Logger) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("spentids: %w", err)
	}
	t := &Table{file: file, log: log, now: monotonic}
	if err := t.reserve(); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("spentids: %s: %w", path, err)
	}
	return t, nil
}

// reserve extends a file that is too short with free entries.
func (t *Table) reserve() error {
	info, err := t.file.Stat()
	if err != nil {
		return err
	}
	if missing := buckets*bucketBytes - info.Size(); missing > 0 {
		_, err = t.file.WriteAt(make([]byte, missing), info.Size())
	}
	return err
}

// monotonic returns the time of the system's monotonic clock, which all processes share, in us.
func monotonic() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return now.Nano() / 1000
}

// Claimed reports whether an id was claimed in the last minute, by any process.
func (t *Table) Claimed(id uint64) bool {
	b, err := t.read(id)
	if err != nil {
		return false
	}
	now := t.now()
	for _, e := range b {
		if e.id == id && e.counts(now) {
			return true
		}
	}
	return false
}

// Claim claims an id, and reports false where it was claimed already.
func (t *Table) Claim(id uint64) bool {
	b, err := t.read(id)
	if err != nil {
		return true
	}
	now, oldest := t.now(), 0
	for i, e := range b {
		if e.id == id && e.counts(now) {
			return false
		}
		if e.age(now) > b[oldest].age(now) {
			oldest = i
		}
	}
	t.write(id, oldest, entry{id, now})
	return true
}

// Release takes the claim of an id back: it was not sent.
func (t *Table) Release(id uint64) {
	b, err := t.read(id)
	if err != nil {
		return
	}
	for i, e := range b {
		if e.id == id {
			t.write(id, i, entry{})
		}
	}
}

// Close closes the file.
func (t *Table) Close() error { return t.file.Close() }

// age returns the age of an entry; a free one, and one of another run of the system's clock, counts as
// older than any.
func (e entry) age(now int64) int64 {
	if e.at == 0 || e.at > now {
		return now + 1
	}
	return now - e.at
}

func (e entry) counts(now int64) bool { return e.age(now) < span && e.at > 0 && e.at <= now }

func offset(id uint64) int64 { return int64(id%buckets) * bucketBytes }

func (t *Table) read(id uint64) (b bucket, err error) {
	var raw [bucketBytes]byte
	if _, err = t.file.ReadAt(raw[:], offset(id)); err != nil {
		t.report(err)
		return b, err
	}
	for i := range b {
		at := raw[i*entryBytes:]
		b[i] = entry{id: binary.LittleEndian.Uint64(at), at: int64(binary.LittleEndian.Uint64(at[8:]))}
	}
	return b, nil
}

// write writes an entry of the bucket of an id.
func (t *Table) write(id uint64, index int, e entry) {
	var raw [entryBytes]byte
	binary.LittleEndian.PutUint64(raw[:], e.id)
	binary.LittleEndian.PutUint64(raw[8:], uint64(e.at))
	if _, err := t.file.WriteAt(raw[:], offset(id)+int64(index*entryBytes)); err != nil {
		t.report(err)
	}
}

// report logs the first failure.
func (t *Table) report(err error) {
	if !t.failed {
		t.failed = true
		t.log.Warn("ids that must not run twice are not shared with another process", "error", err)
	}
}

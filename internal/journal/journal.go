// Package journal keeps records on disk before what they tell of happens: a
// write-ahead log in one file, with a checksum a record, that is begun anew from a
// snapshot when it has grown. Many records that come together are made durable
// together (group commit).
//
// A record is whatever bytes its owner makes of it. What was made durable together
// is one frame, which is there whole or not at all, in whatever order the disk had
// its pages. A file ends where its last whole frame does: what a crash tore off there
// is cut away. Damage before that is an error and is never passed over.
package journal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// The file is a header and frames. A frame is its length and the CRC-32C (Castagnoli)
// of length and bytes, then records, each after its length; all figures are of 4
// bytes, little-endian.
const (
	magic      = "cherryramp journal 1\n"
	frameHead  = 8
	recordHead = 4
	// MostRecord bounds a record's bytes.
	MaxRecord = 1 << 20
	// mostBatch is how many bytes of records a frame has at most, before its last one.
	mostBatch = 4 << 20
	mostFrame = mostBatch + MaxRecord + 2*recordHead
)

var (
	// ErrFull tells that more waits to be written than may.
	ErrFull = errors.New("journal: too much waits to be written")
	// ErrClosed tells that the journal was closed, or could not be repaired after a
	// failed write.
	ErrClosed = errors.New("journal: closed")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// file is what the journal needs of one; tests have files that fill up and fail.
type file interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// Journal is an open journal. One goroutine of its own writes and waits for the
// disk; Append and Rewrite never do.
type Journal struct {
	path string
	jobs chan job
	done chan error // of the writer's end
	post func(func())

	told int64 // of size; its owner's

	// The writer's.
	f    file
	size int64 // of whole records that are durable
	lost error // after which nothing is written any more
	make func(path string) (file, error)
}

// job is a record, or a snapshot to begin anew from.
type job struct {
	record   []byte
	snapshot [][]byte
	kept     func(error)
}

// Open opens a journal, or makes one, and hands over each of its records in order;
// they may be kept. A torn end is cut off and told in bytes. Up to most records may
// wait to be written. What is to be told later is posted, as to a loop.
func Open(path string, most int, post func(func()), each func(record []byte) error) (j *Journal, torn int64, err error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, 0, fmt.Errorf("journal: %w", err)
	}
	size, torn, err := read(f, each)
	if err == nil && size == 0 {
		if _, err = f.WriteAt([]byte(magic), 0); err == nil {
			size = int64(len(magic))
			err = errors.Join(f.Sync(), syncDir(path))
		}
	}
	if err == nil && torn > 0 {
		err = errors.Join(f.Truncate(size), f.Sync())
	}
	if err == nil {
		_, err = f.Seek(size, io.SeekStart)
	}
	if err != nil {
		return nil, 0, errors.Join(fmt.Errorf("journal: %s: %w", path, err), f.Close())
	}
	j = &Journal{path: path, jobs: make(chan job, most), done: make(chan error, 1), post: post, f: f, size: size, told: size,
		make: func(path string) (file, error) { return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600) }}
	go j.write()
	return j, torn, nil
}

// Scan hands over the records of a journal that may be open and being written: what
// is not whole at its end yet is left out.
func Scan(path string, each func(record []byte) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer func() { _ = f.Close() }()
	if _, _, err := read(f, each); err != nil {
		return fmt.Errorf("journal: %s: %w", path, err)
	}
	return nil
}

// read goes through a file's records, and tells where the whole ones end and how
// much stands behind them.
func read(f *os.File, each func([]byte) error) (size, torn int64, err error) {
	info, err := f.Stat()
	if err != nil {
		return 0, 0, err
	}
	all := info.Size()
	head := make([]byte, min(all, int64(len(magic))))
	if _, err := io.ReadFull(f, head); err != nil {
		return 0, 0, err
	}
	if string(head) != magic[:len(head)] {
		return 0, 0, errors.New("this is no journal of this version")
	}
	if len(head) < len(magic) { // a crash at its making
		return 0, all, nil
	}
	size = int64(len(magic))
	r := bufio.NewReaderSize(io.LimitReader(f, all-size), 1<<20) // it may be growing meanwhile
	var b [frameHead]byte
	var buf []byte
	for {
		n, err := io.ReadFull(r, b[:])
		if err == io.EOF {
			return size, 0, nil
		}
		if err != nil && err != io.ErrUnexpectedEOF {
			return 0, 0, err
		}
		if n < frameHead {
			return size, all - size, nil
		}
		length, whole := int64(binary.LittleEndian.Uint32(b[:])), false
		if length <= mostFrame && size+frameHead+length <= all {
			buf = slices.Grow(buf[:0], int(length))[:length]
			if _, err := io.ReadFull(r, buf); err != nil {
				return 0, 0, err
			}
			whole = sum(buf) == binary.LittleEndian.Uint32(b[4:])
		}
		if !whole {
			next, err := wholeAfter(f, size+1, all)
			if err != nil {
				return 0, 0, err
			}
			if next > 0 {
				return 0, 0, fmt.Errorf("the frame at byte %d is damaged, and a whole one stands behind it, at byte %d", size, next)
			}
			return size, all - size, nil
		}
		if err := records(buf, each); err != nil {
			return 0, 0, fmt.Errorf("the frame at byte %d: %w", size, err)
		}
		size += frameHead + length
	}
}

// records hands over a frame's records, each in memory of its own.
func records(b []byte, each func([]byte) error) error {
	for len(b) > 0 {
		if len(b) < recordHead || int(binary.LittleEndian.Uint32(b)) > len(b)-recordHead {
			return errors.New("its checksum is right, and its records are not whole")
		}
		n := recordHead + int(binary.LittleEndian.Uint32(b))
		if err := each(bytes.Clone(b[recordHead:n])); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// leastWhole is how long a frame must be for its checksum to be no chance, where one
// is looked for at every byte.
const leastWhole = recordHead

// wholeAfter finds a whole frame that begins at a byte or later, which a torn end
// does not have; 0: there is none. It looks as far as one write may have torn, and
// a frame more.
func wholeAfter(f *os.File, from, all int64) (int64, error) {
	if from >= all {
		return 0, nil
	}
	b := make([]byte, min(all-from, 2*mostFrame))
	if _, err := f.ReadAt(b, from); err != nil && err != io.EOF {
		return 0, err
	}
	for i := 0; i+frameHead <= len(b); i++ {
		length := int(binary.LittleEndian.Uint32(b[i:]))
		if length < leastWhole || length > mostFrame || i+frameHead+length > len(b) {
			continue
		}
		if sum(b[i+frameHead:i+frameHead+length]) == binary.LittleEndian.Uint32(b[i+4:]) {
			return from + int64(i), nil
		}
	}
	return 0, nil
}

// sum is the checksum of a frame's length and bytes.
func sum(b []byte) uint32 {
	var head [4]byte
	binary.LittleEndian.PutUint32(head[:], uint32(len(b)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, b)
}

// begin and seal make a frame behind what stands in dst: begin leaves room for its
// head, which seal fills in once the records are there.
func begin(dst []byte) []byte { return append(dst, make([]byte, frameHead)...) }

func add(dst, record []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(dst, uint32(len(record))), record...)
}

func seal(dst []byte, at int) []byte {
	binary.LittleEndian.PutUint32(dst[at:], uint32(len(dst)-at-frameHead))
	binary.LittleEndian.PutUint32(dst[at+4:], sum(dst[at+frameHead:]))
	return dst
}

// Size is the bytes of the file as far as the owner of post knows: it is told with
// what was kept.
func (j *Journal) Size() int64 { return j.told }

// Append has a record written; kept is posted once it is durable, or is not. The
// bytes must stay as they are until then. A record that is told not to be kept does
// not come back at the next start.
func (j *Journal) Append(record []byte, kept func(error)) {
	if len(record) > MaxRecord {
		j.post(func() { kept(fmt.Errorf("journal: a record of %d bytes, %d at most", len(record), MaxRecord)) })
		return
	}
	j.put(job{record: record, kept: kept})
}

// Rewrite begins the file anew with a snapshot's records; those appended before are
// dropped, those after stand behind it. Until it is durable the old file stays.
func (j *Journal) Rewrite(snapshot [][]byte, kept func(error)) {
	if snapshot == nil {
		snapshot = [][]byte{}
	}
	j.put(job{snapshot: snapshot, kept: kept})
}

func (j *Journal) put(x job) {
	select {
	case j.jobs <- x:
	default:
		j.post(func() { x.kept(ErrFull) })
	}
}

// Close writes what waits and closes the file. Nothing may be appended any more.
func (j *Journal) Close() error {
	close(j.jobs)
	return <-j.done
}

// write is the writer: it takes all that waits, writes it at once and waits for the
// disk once.
func (j *Journal) write() {
	var buf []byte
	for x := range j.jobs {
		if x.snapshot != nil {
			j.tell([]job{x}, j.rewrite(x.snapshot))
			continue
		}
		batch, next := []job{x}, (*job)(nil)
		buf = add(begin(buf[:0]), x.record)
	more:
		for len(buf) < mostBatch {
			select {
			case y, ok := <-j.jobs:
				if !ok {
					break more
				}
				if y.snapshot != nil {
					next = &y
					break more
				}
				batch, buf = append(batch, y), add(buf, y.record)
			default:
				break more
			}
		}
		j.tell(batch, j.commit(seal(buf, 0)))
		if next != nil {
			j.tell([]job{*next}, j.rewrite(next.snapshot))
		}
	}
	j.done <- j.f.Close()
}

func (j *Journal) tell(batch []job, err error) {
	size := j.size
	j.post(func() {
		j.told = size
		for _, x := range batch {
			x.kept(err)
		}
	})
}

// commit makes bytes durable, or has the file be as it was before. Where not even
// that succeeds, or the disk's own word can't be trusted any more (a failed sync may
// have dropped what it did not write), nothing more is taken.
func (j *Journal) commit(b []byte) error {
	if j.lost != nil {
		return j.lost
	}
	if _, err := j.f.Write(b); err != nil {
		_, seek := j.f.Seek(j.size, io.SeekStart)
		if undo := errors.Join(j.f.Truncate(j.size), seek); undo != nil {
			j.lost = errors.Join(ErrClosed, undo)
		}
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.f.Sync(); err != nil {
		j.lost = errors.Join(ErrClosed, err)
		return j.lost
	}
	j.size += int64(len(b))
	return nil
}

// rewrite puts a new file in the old one's place.
func (j *Journal) rewrite(snapshot [][]byte) (err error) {
	if j.lost != nil {
		return j.lost
	}
	path := j.path + ".new"
	f, err := j.make(path)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	placed := false
	defer func() {
		if err != nil && !placed {
			err = errors.Join(fmt.Errorf("journal: %w", err), f.Close(), os.Remove(path))
		}
	}()
	size := int64(0)
	write := func(b []byte) error {
		n, err := f.Write(b)
		size += int64(n)
		return err
	}
	buf := begin([]byte(nil))
	flush := func() error {
		defer func() { buf = begin(buf[:0]) }()
		return write(seal(buf, 0))
	}
	if err := write([]byte(magic)); err != nil {
		return err
	}
	for _, r := range snapshot {
		if len(r) > MaxRecord {
			return fmt.Errorf("a record of %d bytes, %d at most", len(r), MaxRecord)
		}
		if buf = add(buf, r); len(buf) > mostBatch {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	if err := errors.Join(flush(), f.Sync()); err != nil {
		return err
	}
	if err := os.Rename(path, j.path); err != nil {
		return err
	}
	placed = true
	old := j.f
	j.f, j.size = f, size
	_ = old.Close() // the snapshot stands for all that was in it
	// The new file holds from here on; without the directory's word it may be the old
	// one again after a crash, so nothing more is promised.
	if err := syncDir(j.path); err != nil {
		j.lost = errors.Join(ErrClosed, err)
		return j.lost
	}
	return nil
}

func syncDir(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

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
	magic        = "cherryramp journal 1\n"
	frameHeader  = 8
	recordHeader = 4
	// MostRecord bounds a record's bytes.
	MaxRecord = 1 << 20
	// mostBatch is how many bytes of records a frame has at most, before its last one.
	maxBatch = 4 << 20
	maxFrame = maxBatch + MaxRecord + 2*recordHeader
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
	path   string
	jobs   chan job
	closed chan error // of the writer's end
	post   func(func())

	reportedSize int64 // of size; its owner's

	// The writer's.
	f      file
	size   int64 // of whole records that are durable
	failed error // after which nothing is written any more
	create func(path string) (file, error)
}

// job is a record, or a snapshot to begin anew from.
type job struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// Open opens a journal, or makes one, and hands over each of its records in order;
// they may be kept. A torn end is cut off and told in bytes. Up to most records may
// wait to be written. What is to be told later is posted, as to a loop.
func Open(path string, maxWaiting int, post func(func()), each func(record []byte) error) (j *Journal, torn int64, err error) {
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
	j = &Journal{path: path, jobs: make(chan job, maxWaiting), closed: make(chan error, 1), post: post, f: f, size: size, reportedSize: size,
		create: func(path string) (file, error) { return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600) }}
	go j.run()
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
	fileSize := info.Size()
	header := make([]byte, min(fileSize, int64(len(magic))))
	if _, err := io.ReadFull(f, header); err != nil {
		return 0, 0, err
	}
	if string(header) != magic[:len(header)] {
		return 0, 0, errors.New("this is no journal of this version")
	}
	if len(header) < len(magic) { // a crash at its making
		return 0, fileSize, nil
	}
	size = int64(len(magic))
	reader := bufio.NewReaderSize(io.LimitReader(f, fileSize-size), 1<<20) // it may be growing meanwhile
	var frameStart [frameHeader]byte
	var buf []byte
	for {
		n, err := io.ReadFull(reader, frameStart[:])
		if err == io.EOF {
			return size, 0, nil
		}
		if err != nil && err != io.ErrUnexpectedEOF {
			return 0, 0, err
		}
		if n < frameHeader {
			return size, fileSize - size, nil
		}
		length, intact := int64(binary.LittleEndian.Uint32(frameStart[:])), false
		if length <= maxFrame && size+frameHeader+length <= fileSize {
			buf = slices.Grow(buf[:0], int(length))[:length]
			if _, err := io.ReadFull(reader, buf); err != nil {
				return 0, 0, err
			}
			intact = checksum(buf) == binary.LittleEndian.Uint32(frameStart[4:])
		}
		if !intact {
			next, err := findFrame(f, size+1, fileSize)
			if err != nil {
				return 0, 0, err
			}
			if next > 0 {
				return 0, 0, fmt.Errorf("the frame at byte %d is damaged, and a whole one stands behind it, at byte %d", size, next)
			}
			return size, fileSize - size, nil
		}
		if err := eachRecord(buf, each); err != nil {
			return 0, 0, fmt.Errorf("the frame at byte %d: %w", size, err)
		}
		size += frameHeader + length
	}
}

// records hands over a frame's records, each in memory of its own.
func eachRecord(body []byte, each func([]byte) error) error {
	for len(body) > 0 {
		if len(body) < recordHeader || int(binary.LittleEndian.Uint32(body)) > len(body)-recordHeader {
			return errors.New("its checksum is right, and its records are not whole")
		}
		n := recordHeader + int(binary.LittleEndian.Uint32(body))
		if err := each(bytes.Clone(body[recordHeader:n])); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// leastWhole is how long a frame must be for its checksum to be no chance, where one
// is looked for at every byte.
const minFoundFrame = recordHeader

// wholeAfter finds a whole frame that begins at a byte or later, which a torn end
// does not have; 0: there is none. It looks as far as one write may have torn, and
// a frame more.
func findFrame(f *os.File, from, fileSize int64) (int64, error) {
	if from >= fileSize {
		return 0, nil
	}
	data := make([]byte, min(fileSize-from, 2*maxFrame))
	if _, err := f.ReadAt(data, from); err != nil && err != io.EOF {
		return 0, err
	}
	for i := 0; i+frameHeader <= len(data); i++ {
		length := int(binary.LittleEndian.Uint32(data[i:]))
		if length < minFoundFrame || length > maxFrame || i+frameHeader+length > len(data) {
			continue
		}
		if checksum(data[i+frameHeader:i+frameHeader+length]) == binary.LittleEndian.Uint32(data[i+4:]) {
			return from + int64(i), nil
		}
	}
	return 0, nil
}

// sum is the checksum of a frame's length and bytes.
func checksum(body []byte) uint32 {
	var header [4]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(header[:], castagnoli), castagnoli, body)
}

// begin and seal make a frame behind what stands in dst: begin leaves room for its
// head, which seal fills in once the records are there.
func beginFrame(dst []byte) []byte { return append(dst, make([]byte, frameHeader)...) }

func appendRecord(dst, record []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(dst, uint32(len(record))), record...)
}

func sealFrame(dst []byte, start int) []byte {
	binary.LittleEndian.PutUint32(dst[start:], uint32(len(dst)-start-frameHeader))
	binary.LittleEndian.PutUint32(dst[start+4:], checksum(dst[start+frameHeader:]))
	return dst
}

// Size is the bytes of the file as far as the owner of post knows: it is told with
// what was kept.
func (j *Journal) Size() int64 { return j.reportedSize }

// Append has a record written; kept is posted once it is durable, or is not. The
// bytes must stay as they are until then. A record that is told not to be kept does
// not come back at the next start.
func (j *Journal) Append(record []byte, done func(error)) {
	if len(record) > MaxRecord {
		j.post(func() { done(fmt.Errorf("journal: a record of %d bytes, %d at most", len(record), MaxRecord)) })
		return
	}
	j.enqueue(job{record: record, done: done})
}

// Rewrite begins the file anew with a snapshot's records; those appended before are
// dropped, those after stand behind it. Until it is durable the old file stays.
func (j *Journal) Rewrite(snapshot [][]byte, done func(error)) {
	if snapshot == nil {
		snapshot = [][]byte{}
	}
	j.enqueue(job{snapshot: snapshot, done: done})
}

func (j *Journal) enqueue(queued job) {
	select {
	case j.jobs <- queued:
	default:
		j.post(func() { queued.done(ErrFull) })
	}
}

// Close writes what waits and closes the file. Nothing may be appended any more.
func (j *Journal) Close() error {
	close(j.jobs)
	return <-j.closed
}

// write is the writer: it takes all that waits, writes it at once and waits for the
// disk once.
func (j *Journal) run() {
	var buf []byte
	for current := range j.jobs {
		if current.snapshot != nil {
			j.report([]job{current}, j.rewrite(current.snapshot))
			continue
		}
		batch, rewriteJob := []job{current}, (*job)(nil)
		buf = appendRecord(beginFrame(buf[:0]), current.record)
	more:
		for len(buf) < maxBatch {
			select {
			case following, ok := <-j.jobs:
				if !ok {
					break more
				}
				if following.snapshot != nil {
					rewriteJob = &following
					break more
				}
				batch, buf = append(batch, following), appendRecord(buf, following.record)
			default:
				break more
			}
		}
		j.report(batch, j.commit(sealFrame(buf, 0)))
		if rewriteJob != nil {
			j.report([]job{*rewriteJob}, j.rewrite(rewriteJob.snapshot))
		}
	}
	j.closed <- j.f.Close()
}

func (j *Journal) report(batch []job, err error) {
	size := j.size
	j.post(func() {
		j.reportedSize = size
		for _, written := range batch {
			written.done(err)
		}
	})
}

// commit makes bytes durable, or has the file be as it was before. Where not even
// that succeeds, or the disk's own word can't be trusted any more (a failed sync may
// have dropped what it did not write), nothing more is taken.
func (j *Journal) commit(frame []byte) error {
	if j.failed != nil {
		return j.failed
	}
	if _, err := j.f.Write(frame); err != nil {
		_, seekErr := j.f.Seek(j.size, io.SeekStart)
		if undoErr := errors.Join(j.f.Truncate(j.size), seekErr); undoErr != nil {
			j.failed = errors.Join(ErrClosed, undoErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.f.Sync(); err != nil {
		j.failed = errors.Join(ErrClosed, err)
		return j.failed
	}
	j.size += int64(len(frame))
	return nil
}

// rewrite puts a new file in the old one's place.
func (j *Journal) rewrite(snapshot [][]byte) (err error) {
	if j.failed != nil {
		return j.failed
	}
	path := j.path + ".new"
	f, err := j.create(path)
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
	buf := beginFrame([]byte(nil))
	flush := func() error {
		defer func() { buf = beginFrame(buf[:0]) }()
		return write(sealFrame(buf, 0))
	}
	if err := write([]byte(magic)); err != nil {
		return err
	}
	for _, r := range snapshot {
		if len(r) > MaxRecord {
			return fmt.Errorf("a record of %d bytes, %d at most", len(r), MaxRecord)
		}
		if buf = appendRecord(buf, r); len(buf) > maxBatch {
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
		j.failed = errors.Join(ErrClosed, err)
		return j.failed
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

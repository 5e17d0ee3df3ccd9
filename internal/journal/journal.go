// Package journal is a write-ahead log in one file, with checksums, that its owner
// replaces by a snapshot when it has grown. Records that arrive together are made durable
// together (group commit).
//
// Records are arbitrary bytes. Those made durable together form one frame, which is
// recovered whole or not at all, in whatever order the disk wrote its pages. The file ends
// with its last whole frame: a torn end left by a crash is cut off. Damage before that is
// an error and is never skipped.
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

// The file is a header followed by frames. A frame is the length of its body, the CRC-32C
// (Castagnoli) of length and body, and the body: records, each after its length. All
// numbers are 4 bytes, little-endian.
const (
	magic        = "cherryramp journal 1\n"
	frameHeader  = 8
	recordHeader = 4
	// MaxRecord is the maximum length of a record in bytes.
	MaxRecord = 1 << 20
	// maxBatch is the length from which a frame takes no further record.
	maxBatch = 4 << 20
	maxFrame = maxBatch + MaxRecord + 2*recordHeader
)

var (
	// ErrFull means that too many records are waiting to be written.
	ErrFull = errors.New("journal: too many records wait to be written")
	// ErrClosed means that the journal takes no more records: a sync failed, or the file
	// could not be restored after a failed write.
	ErrClosed = errors.New("journal: closed")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// file is the part of os.File that the journal needs, so that tests can inject faults.
type file interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// Journal is an open journal. Its own goroutine writes and waits for the disk; Append and
// Rewrite don't block.
type Journal struct {
	path   string
	jobs   chan job
	closed chan error // receives the error of closing the file
	post   func(func())

	reportedSize int64 // size as last reported; used by the owner only

	// Used by the writer only.
	f      file
	size   int64 // of the durable frames and the header
	failed error // if set, nothing more is written
	create func(path string) (file, error)
}

// job is a record to append, or a snapshot to replace the file with.
type job struct {
	record   []byte
	snapshot [][]byte
	done     func(error)
}

// Open opens or creates a journal and calls each with its records in order; each may keep
// them. It cuts off a torn end and returns its length in bytes. Up to maxWaiting records
// may wait to be written. Results are passed to post, which runs them, as on a loop.
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

// Scan calls each with the records of a journal, which may be open and being written: an
// incomplete frame at the end is left out.
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

// read calls each with a file's records and returns the length up to the last whole frame
// and the number of bytes after it.
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
		return 0, 0, errors.New("no journal of this version")
	}
	if len(header) < len(magic) { // a crash while the file was created
		return 0, fileSize, nil
	}
	size = int64(len(magic))
	reader := bufio.NewReaderSize(io.LimitReader(f, fileSize-size), 1<<20) // the file may grow meanwhile
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
				return 0, 0, fmt.Errorf("the frame at byte %d is damaged, and a whole one follows at byte %d", size, next)
			}
			return size, fileSize - size, nil
		}
		if err := eachRecord(buf, each); err != nil {
			return 0, 0, fmt.Errorf("the frame at byte %d: %w", size, err)
		}
		size += frameHeader + length
	}
}

// eachRecord calls each with a copy of every record of a frame.
func eachRecord(body []byte, each func([]byte) error) error {
	for len(body) > 0 {
		if len(body) < recordHeader || int(binary.LittleEndian.Uint32(body)) > len(body)-recordHeader {
			return errors.New("the checksum matches, but the records are incomplete")
		}
		n := recordHeader + int(binary.LittleEndian.Uint32(body))
		if err := each(bytes.Clone(body[recordHeader:n])); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// minFoundFrame is the minimum length of a frame found by searching at every byte; a
// shorter one could match its checksum by chance.
const minFoundFrame = recordHeader

// findFrame returns the offset of a whole frame that starts at from or later, or 0 if
// there is none. A torn end contains no such frame. It searches as far as one torn write
// may reach, and one frame more.
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

// checksum returns the checksum of a frame's length and body.
func checksum(body []byte) uint32 {
	var header [4]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(header[:], castagnoli), castagnoli, body)
}

// beginFrame and sealFrame append a frame to dst: beginFrame reserves its header, which
// sealFrame fills in once the records are appended.
func beginFrame(dst []byte) []byte { return append(dst, make([]byte, frameHeader)...) }

func appendRecord(dst, record []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(dst, uint32(len(record))), record...)
}

func sealFrame(dst []byte, start int) []byte {
	binary.LittleEndian.PutUint32(dst[start:], uint32(len(dst)-start-frameHeader))
	binary.LittleEndian.PutUint32(dst[start+4:], checksum(dst[start+frameHeader:]))
	return dst
}

// Size returns the length of the file in bytes as of the last result posted. It must be
// called where post runs.
func (j *Journal) Size() int64 { return j.reportedSize }

// Append queues a record; done is posted once it is durable, or with an error. The bytes
// must not change until then. A record with an error is not recovered at the next start.
func (j *Journal) Append(record []byte, done func(error)) {
	if len(record) > MaxRecord {
		j.post(func() { done(fmt.Errorf("journal: a record of %d bytes, %d at most", len(record), MaxRecord)) })
		return
	}
	j.enqueue(job{record: record, done: done})
}

// Rewrite replaces the file by a snapshot's records: those appended before are dropped,
// those appended later follow it. Until the snapshot is durable the old file stays. done
// is posted as with Append.
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

// Close writes the waiting records and closes the file. Append and Rewrite must not be
// called afterwards.
func (j *Journal) Close() error {
	close(j.jobs)
	return <-j.closed
}

// run is the writer: it writes all waiting records as one frame, up to maxBatch, and syncs
// once.
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

// commit makes a frame durable or restores the file to its length before. If that fails
// too, or after a failed sync, which may have dropped pages that it did not write, the
// journal takes nothing more.
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

// rewrite replaces the file by a new one with a snapshot.
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
	_ = old.Close() // the snapshot replaces all that was in it
	// The new file is in use from here on. If the directory was not synced, the old file
	// may be back after a crash, so no further record may be reported as durable.
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

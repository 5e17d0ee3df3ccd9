package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"cherryramp/internal/decide/ledger"
	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func runNow(f func()) { f() }

func open(path string) (*Journal, []string, int64, error) {
	var got []string
	j, torn, err := Open(path, 1000, runNow, func(r []byte) error { got = append(got, string(r)); return nil })
	return j, got, torn, err
}

// appendAll appends records one by one and returns those reported as durable.
func appendAll(t testing.TB, j *Journal, list []string) (kept []string) {
	t.Helper()
	for _, r := range list {
		done := make(chan error, 1)
		j.Append([]byte(r), func(err error) { done <- err })
		if <-done == nil {
			kept = append(kept, r)
		}
	}
	return kept
}

// Guards against records lost or reordered when the file is torn at any byte: all records
// of whole frames before it are recovered, and new ones are appended after them.
func TestTornEnds(t *testing.T) {
	dir := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		path := filepath.Join(dir, fmt.Sprint(n))
		list := rapid.SliceOfN(rapid.StringN(0, 30, 60), 1, 12).Draw(t, "records")
		j, _, _, err := open(path)
		if err != nil {
			t.Fatal(err)
		}
		// One by one, each record is a frame; together, frames hold any number of them.
		if oneByOne := rapid.Bool().Draw(t, "alone"); oneByOne {
			for _, r := range list {
				done := make(chan error, 1)
				j.Append([]byte(r), func(err error) { done <- err })
				if err := <-done; err != nil {
					t.Fatal(err)
				}
			}
		} else {
			for _, r := range list {
				j.Append([]byte(r), func(error) {})
			}
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		intact, at := 0, len(magic)
		for at < len(text) {
			size := frameHeader + int(binary.LittleEndian.Uint32(text[at:]))
			if at+size > cut {
				break
			}
			if err := eachRecord(text[at+frameHeader:at+size], func([]byte) error { intact++; return nil }); err != nil {
				t.Fatal(err)
			}
			at += size
		}
		j, got, _, err := open(path)
		if err != nil || !slices.Equal(got, list[:intact]) {
			t.Fatalf("cut at %d: %v, got %q, want %q", cut, err, got, list[:intact])
		}
		j.Append([]byte("again"), func(error) {})
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, got, torn, err := open(path)
		if err != nil || torn != 0 || !slices.Equal(got, append(slices.Clone(list[:intact]), "again")) {
			t.Fatalf("after that: %v, %q", err, got)
		}
		_ = j.Close()
	})
}

// Guards against damage before the end that is skipped or cut off: opening fails with an
// error that names the byte, and the file stays as it is.
func TestDamageIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, []string{"first record", "second record", "third record"})
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	second := len(magic) + frameHeader + recordHeader + len("first record")
	for at := len(magic); at < second+frameHeader+recordHeader+len("second record"); at++ {
		bad := bytes.Clone(text)
		bad[at] ^= 0x40
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := open(path); err == nil || !strings.Contains(err.Error(), "is damaged") {
			t.Errorf("byte %d: %v", at, err)
		}
		if is, _ := os.ReadFile(path); !bytes.Equal(is, bad) {
			t.Fatal("the file was changed")
		}
	}
	if err := os.WriteFile(path, []byte("something else that is long enough"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := open(path); err == nil || !strings.Contains(err.Error(), "no journal") {
		t.Error(err)
	}
}

// Guards against records from before a snapshot that come back, records after it that are
// lost, and an unfinished snapshot that is read.
func TestRewrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, []string{"a", "b"})
	done := make(chan error, 1)
	j.Rewrite([][]byte{[]byte("ab")}, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, []string{"c"})
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+".new", []byte(magic+"torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	j, got, torn, err := open(path)
	if err != nil || torn != 0 || !slices.Equal(got, []string{"ab", "c"}) {
		t.Fatal(got, torn, err)
	}
	_ = j.Close()
}

// Guards against a durable snapshot reported as failed because closing the old file, which
// nothing needs any more, fails; later records must be durable too.
func TestRewriteWhenTheOldFileFailsToClose(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	j.f = &faultyFile{File: j.f.(*os.File), room: 1000, closeErr: syscall.EIO}
	done := make(chan error, 1)
	j.Rewrite([][]byte{[]byte("ab")}, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Errorf("snapshot: %v", err)
	}
	if kept := appendAll(t, j, []string{"c"}); !slices.Equal(kept, []string{"c"}) {
		t.Errorf("durable after it: %q", kept)
	}
	_ = j.Close()
	if _, got, _, err := open(path); err != nil || !slices.Equal(got, []string{"ab", "c"}) {
		t.Errorf("%q, %v", got, err)
	}
}

// faultyFile is a file on a disk that fills up, or whose sync or close fails.
type faultyFile struct {
	*os.File
	room              int
	syncErr, closeErr error
}

func (f *faultyFile) Close() error { return errors.Join(f.closeErr, f.File.Close()) }

func (f *faultyFile) Write(p []byte) (int, error) {
	n := min(len(p), f.room)
	f.room -= n
	if n, err := f.File.Write(p[:n]); err != nil {
		return n, err
	}
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *faultyFile) Sync() error { return errors.Join(f.syncErr, f.File.Sync()) }

// Guards against a record that was reported as failed on a full disk and is recovered,
// against a journal that stays failed once there is room, and against records reported as
// durable after a failed sync.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &faultyFile{File: j.f.(*os.File), room: 65}
	j.f = s // the writer is idle
	list := []string{strings.Repeat("a", 30), strings.Repeat("b", 30), "c"}
	kept := appendAll(t, j, list)
	if !slices.Equal(kept, []string{list[0]}) && !slices.Equal(kept, []string{list[0], "c"}) {
		t.Fatal(kept)
	}
	s.room = 1000
	kept = append(kept, appendAll(t, j, []string{"later"})...)
	s.syncErr = syscall.EIO
	if got := appendAll(t, j, []string{"unsure", "after that"}); got != nil {
		t.Error(got)
	}
	_ = j.Close()
	_, got, _, err := open(path)
	if err != nil || !slices.Equal(got[:len(kept)], kept) || slices.Contains(got, list[1]) || slices.Contains(got, "after that") {
		t.Errorf("recovered %q, durable were %q: %v", got, kept, err)
	}
}

// Guards against an unbounded queue and unbounded records: both fail at once.
func TestQueueBound(t *testing.T) {
	j := &Journal{jobs: make(chan job, 1), post: runNow}
	var errs []error
	for range 2 {
		j.Append([]byte("x"), func(err error) { errs = append(errs, err) })
	}
	j.Append(make([]byte, MaxRecord+1), func(err error) { errs = append(errs, err) })
	if len(errs) != 2 || !errors.Is(errs[0], ErrFull) || errs[1] == nil {
		t.Error(errs)
	}
}

// FuzzOpen guards against panics on arbitrary files and against records that differ when
// the file is opened again.
func FuzzOpen(f *testing.F) {
	f.Add([]byte(magic))
	f.Add(sealFrame(appendRecord(beginFrame([]byte(magic)), []byte("record")), len(magic)))
	f.Add(binary.LittleEndian.AppendUint32([]byte(magic), 1<<31))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "j")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		j, got, _, err := open(path)
		if err != nil {
			return
		}
		_ = j.Close()
		if j, again, torn, err := open(path); err != nil || torn != 0 || !slices.Equal(got, again) {
			t.Fatal(got, again, torn, err)
		} else {
			_ = j.Close()
		}
	})
}

// BenchmarkAppend measures records made durable per second, one by one and in groups.
func BenchmarkAppend(b *testing.B) {
	record, _ := cbor.Marshal(ledger.Record{Op: ledger.OpRun, ID: 1 << 60, Attempt: 1, Epoch: 1 << 60, At: 1 << 50})
	for _, together := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint(together, " together"), func(b *testing.B) {
			j, _, _, err := open(filepath.Join(b.TempDir(), "j"))
			if err != nil {
				b.Fatal(err)
			}
			done, n := make(chan error, together), 0
			for b.Loop() {
				for range together {
					j.Append(record, func(err error) { done <- err })
				}
				for range together {
					if err := <-done; err == nil {
						n++
					}
				}
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
			_ = j.Close()
		})
	}
}

// BenchmarkRecover measures the time to recover a million records.
func BenchmarkRecover(b *testing.B) {
	path := filepath.Join(b.TempDir(), "j")
	text := []byte(magic)
	for id := range ledger.ID(1_000_000) {
		r, err := cbor.Marshal(ledger.Record{Op: ledger.OpRun, ID: id, Attempt: 1, Epoch: 1, At: int64(id)})
		if err != nil {
			b.Fatal(err)
		}
		at := len(text)
		text = sealFrame(appendRecord(beginFrame(text), r), at)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		receiver := ledger.NewReceiver(ledger.Config{MaxIDs: 2_000_000, Retention: 1 << 40, MaxDelay: 1}, 1, func(ledger.Record) {})
		j, _, err := Open(path, 1, runNow, func(p []byte) error {
			var r ledger.Record
			if err := cbor.Unmarshal(p, &r); err != nil {
				return err
			}
			receiver.Apply(r)
			return nil
		})
		if err != nil || receiver.Len() != 1_000_000 {
			b.Fatal(err)
		}
		_ = j.Close()
	}
}

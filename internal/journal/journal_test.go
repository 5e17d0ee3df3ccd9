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

func now(f func()) { f() }

func open(path string) (*Journal, []string, int64, error) {
	var got []string
	j, torn, err := Open(path, 1000, now, func(r []byte) error { got = append(got, string(r)); return nil })
	return j, got, torn, err
}

// write puts records into a journal and gives those that were kept.
func write(t testing.TB, j *Journal, list []string) (kept []string) {
	t.Helper()
	for _, r := range list {
		told := make(chan error, 1)
		j.Append([]byte(r), func(err error) { told <- err })
		if <-told == nil {
			kept = append(kept, r)
		}
	}
	return kept
}

// What was kept comes back in order, wherever the file was torn: all whole records
// before that, and new ones behind them.
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
		// One by one each is a frame; together they are frames as it comes.
		if alone := rapid.Bool().Draw(t, "alone"); alone {
			for _, r := range list {
				told := make(chan error, 1)
				j.Append([]byte(r), func(err error) { told <- err })
				if err := <-told; err != nil {
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
		whole, at := 0, len(magic)
		for at < len(text) {
			size := frameHead + int(binary.LittleEndian.Uint32(text[at:]))
			if at+size > cut {
				break
			}
			if err := records(text[at+frameHead:at+size], func([]byte) error { whole++; return nil }); err != nil {
				t.Fatal(err)
			}
			at += size
		}
		j, got, _, err := open(path)
		if err != nil || !slices.Equal(got, list[:whole]) {
			t.Fatalf("cut at %d: %v, got %q, want %q", cut, err, got, list[:whole])
		}
		j.Append([]byte("again"), func(error) {})
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, got, torn, err := open(path)
		if err != nil || torn != 0 || !slices.Equal(got, append(slices.Clone(list[:whole]), "again")) {
			t.Fatalf("after that: %v, %q", err, got)
		}
		_ = j.Close()
	})
}

// Damage before the end is an error that names the byte, and nothing is changed.
func TestDamageIsNotPassedOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	write(t, j, []string{"first record", "second record", "third record"})
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	second := len(magic) + frameHead + recordHead + len("first record")
	for at := len(magic); at < second+frameHead+recordHead+len("second record"); at++ {
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

// A snapshot takes the place of what was before it, what comes after stands behind
// it, and one that was not finished is not seen.
func TestRewrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	write(t, j, []string{"a", "b"})
	told := make(chan error, 1)
	j.Rewrite([][]byte{[]byte("ab")}, func(err error) { told <- err })
	if err := <-told; err != nil {
		t.Fatal(err)
	}
	write(t, j, []string{"c"})
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

// A snapshot that is durable is told as kept, and what comes after it is kept too, whatever the
// old file's close says: nobody needs that any more.
func TestRewriteWhereTheOldFileFailsToClose(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	j.f = &shaky{File: j.f.(*os.File), room: 1000, close: syscall.EIO}
	told := make(chan error, 1)
	j.Rewrite([][]byte{[]byte("ab")}, func(err error) { told <- err })
	if err := <-told; err != nil {
		t.Errorf("the snapshot: %v", err)
	}
	if kept := write(t, j, []string{"c"}); !slices.Equal(kept, []string{"c"}) {
		t.Errorf("kept after it: %q", kept)
	}
	_ = j.Close()
	if _, got, _, err := open(path); err != nil || !slices.Equal(got, []string{"ab", "c"}) {
		t.Errorf("%q, %v", got, err)
	}
}

// shaky is a file on a disk that fills up, or whose sync or close fails.
type shaky struct {
	*os.File
	room        int
	sync, close error
}

func (s *shaky) Close() error { return errors.Join(s.close, s.File.Close()) }

func (s *shaky) Write(p []byte) (int, error) {
	n := min(len(p), s.room)
	s.room -= n
	if n, err := s.File.Write(p[:n]); err != nil {
		return n, err
	}
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (s *shaky) Sync() error { return errors.Join(s.sync, s.File.Sync()) }

// On a full disk what does not fit is told not to be kept and does not come back;
// once there is room, records are kept again. After a sync that failed none is.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _, err := open(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &shaky{File: j.f.(*os.File), room: 65}
	j.f = s // the writer has nothing to do yet
	list := []string{strings.Repeat("a", 30), strings.Repeat("b", 30), "c"}
	kept := write(t, j, list)
	if !slices.Equal(kept, []string{list[0]}) && !slices.Equal(kept, []string{list[0], "c"}) {
		t.Fatal(kept)
	}
	s.room = 1000
	kept = append(kept, write(t, j, []string{"later"})...)
	s.sync = syscall.EIO
	if got := write(t, j, []string{"unsure", "after that"}); got != nil {
		t.Error(got)
	}
	_ = j.Close()
	_, got, _, err := open(path)
	if err != nil || !slices.Equal(got[:len(kept)], kept) || slices.Contains(got, list[1]) || slices.Contains(got, "after that") {
		t.Errorf("%q, kept were %q: %v", got, kept, err)
	}
}

// More than may wait is told at once.
func TestBound(t *testing.T) {
	j := &Journal{jobs: make(chan job, 1), post: now}
	var told []error
	for range 2 {
		j.Append([]byte("x"), func(err error) { told = append(told, err) })
	}
	j.Append(make([]byte, MaxRecord+1), func(err error) { told = append(told, err) })
	if len(told) != 2 || !errors.Is(told[0], ErrFull) || told[1] == nil {
		t.Error(told)
	}
}

// FuzzOpen reads anything without falling over, and reads the same again.
func FuzzOpen(f *testing.F) {
	f.Add([]byte(magic))
	f.Add(seal(add(begin([]byte(magic)), []byte("record")), len(magic)))
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

// BenchmarkAppend is records made durable a second, one by one and by groups.
func BenchmarkAppend(b *testing.B) {
	record, _ := cbor.Marshal(ledger.Record{Op: ledger.OpRun, ID: 1 << 60, Attempt: 1, Epoch: 1 << 60, At: 1 << 50})
	for _, together := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint(together, " together"), func(b *testing.B) {
			j, _, _, err := open(filepath.Join(b.TempDir(), "j"))
			if err != nil {
				b.Fatal(err)
			}
			told, n := make(chan error, together), 0
			for b.Loop() {
				for range together {
					j.Append(record, func(err error) { told <- err })
				}
				for range together {
					if err := <-told; err == nil {
						n++
					}
				}
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
			_ = j.Close()
		})
	}
}

// BenchmarkRecover is the time to take in a million records.
func BenchmarkRecover(b *testing.B) {
	path := filepath.Join(b.TempDir(), "j")
	text := []byte(magic)
	for id := range ledger.ID(1_000_000) {
		r, err := cbor.Marshal(ledger.Record{Op: ledger.OpRun, ID: id, Attempt: 1, Epoch: 1, At: int64(id)})
		if err != nil {
			b.Fatal(err)
		}
		at := len(text)
		text = seal(add(begin(text), r), at)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		far := ledger.NewReceiver(ledger.Config{MaxIDs: 2_000_000, Retention: 1 << 40, MaxDelay: 1}, 1, func(ledger.Record) {})
		j, _, err := Open(path, 1, now, func(p []byte) error {
			var r ledger.Record
			if err := cbor.Unmarshal(p, &r); err != nil {
				return err
			}
			far.Apply(r)
			return nil
		})
		if err != nil || far.Len() != 1_000_000 {
			b.Fatal(err)
		}
		_ = j.Close()
	}
}

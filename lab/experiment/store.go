package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"

	"cherryramp/lab/world"
)

// Arm is one build or setting, as its days were played.
type Arm struct {
	Name    string
	Build   string // digest of the programs
	Sockets bool
	With    string // lines added to every scenario
	Began   time.Time
}

// same tells whether days of two arms may stand together.
func (a Arm) same(b Arm) bool {
	return a.Build == b.Build && a.Sockets == b.Sockets && a.With == b.With
}

// Mark is a trouble of a day, for pictures of it.
type Mark struct {
	Text    string
	At, For world.Micros
}

// Day is one day that was played.
type Day struct {
	File    string // of its scenario, without directories
	Name    string
	Seed    uint64
	Classes []string
	Marks   []Mark
	Took    time.Duration
	Result  *world.Result
}

// Store keeps days in one file, so that experiments can be stopped and gone on
// with. One process may have it open.
type Store struct {
	db  *bbolt.DB
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// The buckets. Days are in one bucket an arm, inside dayBucket.
var (
	armBucket = []byte("arms")
	dayBucket = []byte("days")
)

// lockWait is how long another process may still have the store open.
const lockWait = 2 * time.Second

// OpenStore opens a store, or makes one.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockWait})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("experiment: %s is open in another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	s := &Store{db: db}
	s.enc, err = zstd.NewWriter(nil)
	if err == nil {
		s.dec, err = zstd.NewReader(nil)
	}
	if err == nil {
		err = db.Update(func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{armBucket, dayBucket} {
				if _, err := tx.CreateBucketIfNotExists(b); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("experiment: %s: %w", path, err), db.Close())
	}
	return s, nil
}

// Close closes the store.
func (s *Store) Close() error {
	s.dec.Close()
	return errors.Join(s.enc.Close(), s.db.Close())
}

// Begin begins an arm, or goes on with one that is the same but for when it began.
func (s *Store) BeginArm(a Arm) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(armBucket)
		if old := b.Get([]byte(a.Name)); old != nil {
			var x Arm
			if err := json.Unmarshal(old, &x); err != nil {
				return fmt.Errorf("experiment: arm %q: %w", a.Name, err)
			}
			if !x.same(a) {
				return fmt.Errorf("experiment: arm %q was played with another build or settings; give this one another name, or drop that", a.Name)
			}
			return nil
		}
		text, err := json.Marshal(a)
		if err != nil {
			return err
		}
		if err := b.Put([]byte(a.Name), text); err != nil {
			return err
		}
		_, err = tx.Bucket(dayBucket).CreateBucketIfNotExists([]byte(a.Name))
		return err
	})
}

// Drop forgets an arm and its days.
func (s *Store) DeleteArm(arm string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Bucket(armBucket).Get([]byte(arm)) == nil {
			return fmt.Errorf("experiment: there is no arm %q", arm)
		}
		return errors.Join(tx.Bucket(armBucket).Delete([]byte(arm)), tx.Bucket(dayBucket).DeleteBucket([]byte(arm)))
	})
}

// Arms are all, by name.
func (s *Store) Arms() (list []Arm, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(armBucket).ForEach(func(k, v []byte) error {
			var a Arm
			if err := json.Unmarshal(v, &a); err != nil {
				return fmt.Errorf("experiment: arm %q: %w", k, err)
			}
			list = append(list, a)
			return nil
		})
	})
	return list, err
}

// record is a day as it is kept.
type record struct {
	Text uint64 // digest of the scenario that was played
	Day  Day
}

func dayKey(file string, seed uint64) []byte { return fmt.Appendf(nil, "%s %020d", file, seed) }

// Has tells whether an arm has a day, played from this very text.
func (s *Store) Has(arm string, j Job) (has bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: there is no arm %q", arm)
		}
		v := b.Get(dayKey(j.File, j.Seed))
		if v == nil {
			return nil
		}
		r, err := s.read(v)
		has = err == nil && r.Text == xxhash.Sum64String(j.Text)
		return err
	})
	return has, err
}

// Put keeps a day that was played from a text.
func (s *Store) Put(arm, text string, d Day) error {
	v, err := json.Marshal(record{xxhash.Sum64String(text), d})
	if err != nil {
		return fmt.Errorf("experiment: %s, seed %d: %w", d.File, d.Seed, err)
	}
	return s.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: there is no arm %q", arm)
		}
		return b.Put(dayKey(d.File, d.Seed), s.enc.EncodeAll(v, nil))
	})
}

func (s *Store) read(v []byte) (r record, err error) {
	text, err := s.dec.DecodeAll(v, nil)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	return r, err
}

// Days are an arm's, by scenario and seed.
func (s *Store) Days(arm string) (days []Day, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: there is no arm %q", arm)
		}
		return b.ForEach(func(k, v []byte) error {
			r, err := s.read(v)
			if err != nil {
				return fmt.Errorf("experiment: arm %q, day %q: %w", arm, k, err)
			}
			days = append(days, r.Day)
			return nil
		})
	})
	return days, err
}

// Files are the scenarios of days, in order.
func Files(days []Day) (files []string) {
	for _, d := range days {
		if !slices.Contains(files, d.File) {
			files = append(files, d.File)
		}
	}
	slices.Sort(files)
	return files
}

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

// Arm is one build or setting whose days are played.
type Arm struct {
	Name    string
	Build   string // digest of the binaries
	Sockets bool
	With    string // lines added to every scenario
	Began   time.Time
}

// compatible reports whether days of two arms may be stored under one name.
func (a Arm) compatible(b Arm) bool {
	return a.Build == b.Build && a.Sockets == b.Sockets && a.With == b.With
}

// Mark is a fault injected during a day, shown in plots.
type Mark struct {
	Text    string
	At, For world.Micros
}

// Day is a played day.
type Day struct {
	File    string // base name of the scenario file
	Name    string
	Seed    uint64
	Classes []string
	Marks   []Mark
	Took    time.Duration
	Result  *world.Result
}

// Store keeps days in one file, so that experiments can be stopped and resumed. Only
// one process may have it open.
type Store struct {
	db      *bbolt.DB
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// Buckets of the database. Days are in one bucket per arm, inside dayBucket.
var (
	armBucket = []byte("arms")
	dayBucket = []byte("days")
)

// lockTimeout is how long OpenStore waits for another process to close the store.
const lockTimeout = 2 * time.Second

// OpenStore opens a store and creates it if needed.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("experiment: %s is open in another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	s := &Store{db: db}
	s.encoder, err = zstd.NewWriter(nil)
	if err == nil {
		s.decoder, err = zstd.NewReader(nil)
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
	s.decoder.Close()
	return errors.Join(s.encoder.Close(), s.db.Close())
}

// BeginArm creates an arm, or resumes an existing one with the same build and settings.
func (s *Store) BeginArm(a Arm) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(armBucket)
		if old := b.Get([]byte(a.Name)); old != nil {
			var x Arm
			if err := json.Unmarshal(old, &x); err != nil {
				return fmt.Errorf("experiment: arm %q: %w", a.Name, err)
			}
			if !x.compatible(a) {
				return fmt.Errorf("experiment: arm %q was played with another build or settings; use another name or drop the stored arm", a.Name)
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

// DeleteArm deletes an arm and its days.
func (s *Store) DeleteArm(arm string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Bucket(armBucket).Get([]byte(arm)) == nil {
			return fmt.Errorf("experiment: arm %q does not exist", arm)
		}
		return errors.Join(tx.Bucket(armBucket).Delete([]byte(arm)), tx.Bucket(dayBucket).DeleteBucket([]byte(arm)))
	})
}

// Arms returns all arms, ordered by name.
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

// record is a stored day.
type record struct {
	Text uint64 // digest of the scenario's text
	Day  Day
}

func dayKey(file string, seed uint64) []byte { return fmt.Appendf(nil, "%s %020d", file, seed) }

// Has reports whether an arm has a day that was played from the same text.
func (s *Store) Has(arm string, j Job) (has bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: arm %q does not exist", arm)
		}
		v := b.Get(dayKey(j.File, j.Seed))
		if v == nil {
			return nil
		}
		r, err := s.decode(v)
		has = err == nil && r.Text == xxhash.Sum64String(j.Text)
		return err
	})
	return has, err
}

// Put stores a day that was played from a text.
func (s *Store) Put(arm, text string, d Day) error {
	v, err := json.Marshal(record{xxhash.Sum64String(text), d})
	if err != nil {
		return fmt.Errorf("experiment: %s, seed %d: %w", d.File, d.Seed, err)
	}
	return s.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: arm %q does not exist", arm)
		}
		return b.Put(dayKey(d.File, d.Seed), s.encoder.EncodeAll(v, nil))
	})
}

func (s *Store) decode(v []byte) (r record, err error) {
	text, err := s.decoder.DecodeAll(v, nil)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	return r, err
}

// Days returns an arm's days, ordered by scenario and seed.
func (s *Store) Days(arm string) (days []Day, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(dayBucket).Bucket([]byte(arm))
		if b == nil {
			return fmt.Errorf("experiment: arm %q does not exist", arm)
		}
		return b.ForEach(func(k, v []byte) error {
			r, err := s.decode(v)
			if err != nil {
				return fmt.Errorf("experiment: arm %q, day %q: %w", arm, k, err)
			}
			days = append(days, r.Day)
			return nil
		})
	})
	return days, err
}

// Files returns the sorted scenario files of days.
func Files(days []Day) (files []string) {
	for _, d := range days {
		if !slices.Contains(files, d.File) {
			files = append(files, d.File)
		}
	}
	slices.Sort(files)
	return files
}

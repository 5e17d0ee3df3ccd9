package generations

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

type class struct {
	Name   string
	Effect int
}

// Whatever settings come, a place keeps its class, those in force are the ones
// last taken in their order, what is turned down changes nothing, and a table
// that was written out and read back goes on alike.
func TestPlacesKeepTheirClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) class {
			return class{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.IntRange(0, 2).Draw(t, "effect")}
		}), 1, 3, func(c class) string { return c.Name })
		first := draw.Draw(t, "first")
		const most = 6
		table, err := New(most, "0", first)
		if err != nil {
			t.Fatal(err)
		}
		want := first
		seen := map[int]class{}
		for range rapid.IntRange(1, 12).Draw(t, "files") {
			before := table.State()
			file, digest := draw.Draw(t, "file"), rapid.SampledFrom([]string{"0", "1"}).Draw(t, "digest")
			changed, err := table.Update(digest, file)
			switch {
			case err != nil:
				if changed || !reflect.DeepEqual(before, table.State()) {
					t.Fatalf("turned down, and yet %v became %v", before, table.State())
				}
			default:
				same := digest == before.Digest && slices.Equal(file, want)
				if changed == same || table.Number() != before.Number+map[bool]uint64{true: 1}[changed] {
					t.Fatalf("changed %v, number %d after %d, same %v", changed, table.Number(), before.Number, same)
				}
				want = file
			}
			var got []class
			for _, place := range table.InForce() {
				got = append(got, table.Classes()[place])
			}
			if !slices.Equal(got, want) || len(table.Classes()) > most {
				t.Fatalf("in force %v, want %v", got, want)
			}
			for place, c := range table.Classes() {
				if old, ok := seen[place]; ok && old != c {
					t.Fatalf("place %d was %v and is %v", place, old, c)
				}
				seen[place] = c
			}
			text, err := json.Marshal(table.State())
			if err != nil {
				t.Fatal(err)
			}
			var s State[class]
			if err := json.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			if table, err = Restore(most, s); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// What was written out is checked before it is used.
func TestRestoreChecks(t *testing.T) {
	for _, s := range []State[class]{{Classes: make([]class, 3)}, {Classes: make([]class, 1), InForce: []int{1}},
		{InForce: []int{-1}}} {
		if _, err := Restore(2, s); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
}

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

// For any sequence of settings, an index keeps its class, the classes in force are
// those last applied in their order, rejected settings change nothing, and a table
// that was stored and restored continues unchanged.
func TestIndexesKeepTheirClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) class {
			return class{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.IntRange(0, 2).Draw(t, "effect")}
		}), 1, 3, func(c class) string { return c.Name })
		first := generator.Draw(t, "first")
		const maxClasses = 6
		table, err := New(maxClasses, "0", first)
		if err != nil {
			t.Fatal(err)
		}
		want := first
		seen := map[int]class{}
		for range rapid.IntRange(1, 12).Draw(t, "files") {
			before := table.State()
			settings, digest := generator.Draw(t, "file"), rapid.SampledFrom([]string{"0", "1"}).Draw(t, "digest")
			changed, err := table.Update(digest, settings)
			switch {
			case err != nil:
				if changed || !reflect.DeepEqual(before, table.State()) {
					t.Fatalf("rejected settings changed %v to %v", before, table.State())
				}
			default:
				same := digest == before.Digest && slices.Equal(settings, want)
				if changed == same || table.Number() != before.Number+map[bool]uint64{true: 1}[changed] {
					t.Fatalf("changed %v, number %d after %d, same %v", changed, table.Number(), before.Number, same)
				}
				want = settings
			}
			var got []class
			for _, index := range table.InForce() {
				got = append(got, table.Classes()[index])
			}
			if !slices.Equal(got, want) || len(table.Classes()) > maxClasses {
				t.Fatalf("in force %v, want %v", got, want)
			}
			for index, c := range table.Classes() {
				if old, ok := seen[index]; ok && old != c {
					t.Fatalf("index %d was %v and is %v", index, old, c)
				}
				seen[index] = c
			}
			text, err := json.Marshal(table.State())
			if err != nil {
				t.Fatal(err)
			}
			var s State[class]
			if err := json.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			if table, err = Restore(maxClasses, s); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// A stored state is checked before it is used.
func TestRestoreChecks(t *testing.T) {
	for _, s := range []State[class]{{Classes: make([]class, 3)}, {Classes: make([]class, 1), InForce: []int{1}},
		{InForce: []int{-1}}} {
		if _, err := Restore(2, s); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}

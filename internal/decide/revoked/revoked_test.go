package revoked

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Checks that the trie covers the same paths as a plain list of prefixes.
func TestTrieMatchesPrefixList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringOfN(rapid.RuneFrom([]rune("ab/")), 0, 8, -1)
		var list []string
		var x trie
		for _, p := range rapid.SliceOfN(word, 0, 20).Draw(t, "prefixes") {
			list = append(list, "/"+p)
			x.add("/" + p)
		}
		for _, path := range rapid.SliceOfN(word, 1, 20).Draw(t, "paths") {
			want := false
			for _, p := range list {
				want = want || strings.HasPrefix("/"+path, p)
			}
			if x.covers("/"+path) != want {
				t.Fatalf("%q under %q: want %v", path, list, want)
			}
		}
	})
}

func TestListNamesWhatIsRevoked(t *testing.T) {
	l, err := New(Entries{Tokens: []string{"jti-1", "00112233445566778899aabbccddeeff"}, Subjects: []string{"member 7"},
		Keys: []string{"k1"}, Paths: []string{"/files/guide-video/17/"}})
	if err != nil {
		t.Fatal(err)
	}
	none := func() [16]byte { return [16]byte{} }
	for _, x := range []struct {
		g    Grant
		want string
	}{
		{Grant{ID: "jti-1", Digest: none}, "token"}, {Grant{Subject: "member 7", Digest: none}, "subject"},
		{Grant{Key: "k1", Digest: none}, "key"}, {Grant{Path: "/files/guide-video/17/9f", Digest: none}, "path"},
		{Grant{Path: "/files/guide-video/170/9f", Digest: none}, ""},
		{Grant{Digest: func() [16]byte {
			return [16]byte{0, 0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77, 0x88, 0x99, 0xaa, 0xbb, 0xcc, 0xdd, 0xee, 0xff}
		}}, "token"},
	} {
		if got := l.Match(x.g); got != x.want {
			t.Errorf("%+v: %q, want %q", x.g, got, x.want)
		}
	}
	for _, w := range []Entries{{Paths: []string{"files"}}, {Keys: []string{""}}} {
		if _, err := New(w); err == nil {
			t.Errorf("%+v was accepted", w)
		}
	}
}

// Compares lookups in the trie and in a plain list, by the number of prefixes.
func BenchmarkPrefixes(b *testing.B) {
	for _, n := range []int{10, 1000, 1_000_000} {
		var list []string
		for i := range n {
			list = append(list, fmt.Sprintf("/files/guide-video/%d/%x/", i%256, i*2654435761))
		}
		path := "/files/guide-video/300/9f3a"
		b.Run(fmt.Sprint("list/", n), func(b *testing.B) {
			for range b.N {
				for _, p := range list {
					if strings.HasPrefix(path, p) {
						b.Fatal("covered")
					}
				}
			}
		})
		b.Run(fmt.Sprint("trie/", n), func(b *testing.B) {
			var m1, m2 runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m1)
			var x trie
			for _, p := range list {
				x.add(p)
			}
			runtime.GC()
			runtime.ReadMemStats(&m2)
			b.ResetTimer()
			for range b.N {
				if x.covers(path) {
					b.Fatal("covered")
				}
			}
			b.ReportMetric(float64(m2.HeapAlloc-m1.HeapAlloc)/float64(n), "B/entry")
		})
	}
}

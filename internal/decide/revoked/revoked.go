// Package revoked holds what an operator has taken back: tokens, subjects, keys
// and all links under a prefix of paths. A list is made whole and never changed.
//
// Prefixes stand in a radix trie: a look-up costs the length of the path, however
// many prefixes there are. See the benchmark for what a plain list costs.
package revoked

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Most entries that a list holds in all.
const MaxEntries = 200_000

// Words is a list as an operator writes it.
type Entries struct {
	Tokens   []string // ids, as jti, or digests of 32 hex digits
	Subjects []string
	Keys     []string
	Paths    []string // prefixes
}

// List answers whether something is revoked.
type List struct {
	tokens   map[string]struct{}
	digests  map[[16]byte]struct{}
	subjects map[string]struct{}
	keys     map[string]struct{}
	paths    trie
}

// New makes a list, or names the word that can't be used.
func New(w Entries) (*List, error) {
	if n := len(w.Tokens) + len(w.Subjects) + len(w.Keys) + len(w.Paths); n > MaxEntries {
		return nil, fmt.Errorf("%d entries, %d at most", n, MaxEntries)
	}
	l := &List{digests: map[[16]byte]struct{}{}}
	for _, x := range []struct {
		key  string
		list []string
		into *map[string]struct{}
	}{{"tokens", w.Tokens, &l.tokens}, {"subjects", w.Subjects, &l.subjects}, {"keys", w.Keys, &l.keys}} {
		*x.into = make(map[string]struct{}, len(x.list))
		for i, word := range x.list {
			if word == "" {
				return nil, fmt.Errorf("%s[%d]: empty", x.key, i)
			}
			(*x.into)[word] = struct{}{}
		}
	}
	for _, word := range w.Tokens {
		if b, err := hex.DecodeString(word); err == nil && len(b) == 16 {
			l.digests[[16]byte(b)] = struct{}{}
		}
	}
	for i, p := range w.Paths {
		if !strings.HasPrefix(p, "/") {
			return nil, fmt.Errorf("paths[%d]: %q does not begin with /", i, p)
		}
		l.paths.add(p)
	}
	return l, nil
}

// Grant is what is known of a granted request.
type Grant struct {
	ID, Subject, Key, Path string
	Digest                 func() [16]byte // asked for only where digests are listed
}

// Has tells what of a grant is revoked: token, subject, key or path; empty: nothing.
func (l *List) Match(g Grant) string {
	if l == nil {
		return ""
	}
	if _, ok := l.keys[g.Key]; ok {
		return "key"
	}
	if _, ok := l.subjects[g.Subject]; ok && g.Subject != "" {
		return "subject"
	}
	if _, ok := l.tokens[g.ID]; ok && g.ID != "" {
		return "token"
	}
	if len(l.digests) > 0 {
		if _, ok := l.digests[g.Digest()]; ok {
			return "token"
		}
	}
	if l.paths.covers(g.Path) {
		return "path"
	}
	return ""
}

// trie is a radix trie of prefixes; the children of a node differ in their
// first bytes.
type trie struct{ root node }

type node struct {
	text  string
	ends  bool
	first []byte // of the children's texts, in order
	nodes []*node
}

func (t *trie) add(prefix string) {
	n := &t.root
	for {
		if n.ends {
			return // a shorter one covers it
		}
		if prefix == "" {
			*n = node{text: n.text, ends: true} // it covers what is below
			return
		}
		i := strings.IndexByte(string(n.first), prefix[0])
		if i < 0 {
			n.first = append(n.first, prefix[0])
			n.nodes = append(n.nodes, &node{text: prefix, ends: true})
			return
		}
		child := n.nodes[i]
		same := 0
		for same < len(prefix) && same < len(child.text) && prefix[same] == child.text[same] {
			same++
		}
		if same < len(child.text) {
			rest := *child
			rest.text = child.text[same:]
			*child = node{text: child.text[:same], first: []byte{rest.text[0]}, nodes: []*node{&rest}}
		}
		n, prefix = child, prefix[same:]
	}
}

func (t *trie) covers(path string) bool {
	n := &t.root
	for {
		if n.ends {
			return true
		}
		if path == "" {
			return false
		}
		var next *node
		for i, b := range n.first {
			if b == path[0] {
				next = n.nodes[i]
				break
			}
		}
		if next == nil || !strings.HasPrefix(path, next.text) {
			return false
		}
		n, path = next, path[len(next.text):]
	}
}

// Package revoked holds what an operator has revoked: tokens, subjects, keys and all
// links under a path prefix. A list is never modified; a reload replaces it.
//
// Prefixes are kept in a radix trie: a lookup costs the length of the path, however
// many prefixes there are. BenchmarkPrefixes compares it with a plain list.
package revoked

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// MaxEntries bounds the entries of a list, of all kinds together.
const MaxEntries = 200_000

// Entries is a revocation list as an operator writes it.
type Entries struct {
	Tokens   []string // ids, such as jti, or digests of 32 hex digits
	Subjects []string
	Keys     []string
	Paths    []string // path prefixes
}

// List is a revocation list; a nil one revokes nothing.
type List struct {
	tokens   map[string]struct{}
	digests  map[[16]byte]struct{}
	subjects map[string]struct{}
	keys     map[string]struct{}
	paths    trie
}

// New makes a list. The error names the entry that can't be used.
func New(entries Entries) (*List, error) {
	if n := len(entries.Tokens) + len(entries.Subjects) + len(entries.Keys) + len(entries.Paths); n > MaxEntries {
		return nil, fmt.Errorf("%d entries, at most %d are allowed", n, MaxEntries)
	}
	l := &List{digests: map[[16]byte]struct{}{}}
	for _, x := range []struct {
		key  string
		list []string
		into *map[string]struct{}
	}{{"tokens", entries.Tokens, &l.tokens}, {"subjects", entries.Subjects, &l.subjects}, {"keys", entries.Keys, &l.keys}} {
		*x.into = make(map[string]struct{}, len(x.list))
		for i, entry := range x.list {
			if entry == "" {
				return nil, fmt.Errorf("%s[%d]: empty", x.key, i)
			}
			(*x.into)[entry] = struct{}{}
		}
	}
	for _, entry := range entries.Tokens {
		if b, err := hex.DecodeString(entry); err == nil && len(b) == 16 {
			l.digests[[16]byte(b)] = struct{}{}
		}
	}
	for i, p := range entries.Paths {
		if !strings.HasPrefix(p, "/") {
			return nil, fmt.Errorf("paths[%d]: %q does not begin with /", i, p)
		}
		l.paths.add(p)
	}
	return l, nil
}

// Grant has the fields of a granted request that are looked up in a list.
type Grant struct {
	ID, Subject, Key, Path string
	Digest                 func() [16]byte // called only where digests are listed
}

// Match tells which field of a grant is revoked: token, subject, key or path; empty: none.
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

// trie is a radix trie of prefixes; the labels of a node's children differ in their
// first bytes.
type trie struct{ root node }

type node struct {
	label      string
	terminal   bool
	firstBytes []byte // of the children's labels, in the order of children
	children   []*node
}

func (t *trie) add(prefix string) {
	n := &t.root
	for {
		if n.terminal {
			return // a shorter prefix covers it
		}
		if prefix == "" {
			*n = node{label: n.label, terminal: true} // it covers all longer prefixes below
			return
		}
		i := strings.IndexByte(string(n.firstBytes), prefix[0])
		if i < 0 {
			n.firstBytes = append(n.firstBytes, prefix[0])
			n.children = append(n.children, &node{label: prefix, terminal: true})
			return
		}
		child := n.children[i]
		common := 0
		for common < len(prefix) && common < len(child.label) && prefix[common] == child.label[common] {
			common++
		}
		if common < len(child.label) {
			rest := *child
			rest.label = child.label[common:]
			*child = node{label: child.label[:common], firstBytes: []byte{rest.label[0]}, children: []*node{&rest}}
		}
		n, prefix = child, prefix[common:]
	}
}

// covers reports whether a prefix of path is in the trie.
func (t *trie) covers(path string) bool {
	n := &t.root
	for {
		if n.terminal {
			return true
		}
		if path == "" {
			return false
		}
		var next *node
		for i, b := range n.firstBytes {
			if b == path[0] {
				next = n.children[i]
				break
			}
		}
		if next == nil || !strings.HasPrefix(path, next.label) {
			return false
		}
		n, path = next, path[len(next.label):]
	}
}

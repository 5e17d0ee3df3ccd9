package ephemeral

import (
	"strings"
	"sync"

	"github.com/go-zookeeper/zk"
)

// changes collects what has to be read again. Events add to it on the client library's
// goroutines, the follower takes from it. It holds at most one name for each node read.
type changes struct {
	root string        // path of the parent node
	wake chan struct{} // of capacity 1: signals that something is pending

	mu      sync.Mutex
	pending changeSet
}

// changeSet says what has changed.
type changeSet struct {
	all   bool // the list and every node
	list  bool // the list of children
	nodes map[string]struct{}
}

func newChanges(root string) *changes {
	return &changes{root: root, wake: make(chan struct{}, 1)}
}

// markAll marks everything as changed: watches of earlier connections are not relied on.
func (c *changes) markAll() {
	c.mark(func(m *changeSet) { m.all = true })
}

// add marks what a watch event is about.
func (c *changes) add(e zk.Event) {
	child, isNode := strings.CutPrefix(e.Path, c.root+"/")
	switch {
	case e.Path == c.root:
		c.mark(func(m *changeSet) { m.list = true })
	case isNode:
		c.mark(func(m *changeSet) {
			if m.nodes == nil {
				m.nodes = map[string]struct{}{}
			}
			m.nodes[child] = struct{}{}
		})
	}
}

func (c *changes) mark(set func(m *changeSet)) {
	c.mu.Lock()
	set(&c.pending)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take returns and clears what was marked since the last call.
func (c *changes) take() changeSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.pending
	c.pending = changeSet{}
	return taken
}

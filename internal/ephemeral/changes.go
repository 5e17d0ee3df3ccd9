package ephemeral

import (
	"strings"
	"sync"

	"github.com/go-zookeeper/zk"
)

// changes collects what has to be read again: events add to it on the client library's
// goroutines, the follower takes from it. It holds a name for each node that was read at most.
type changes struct {
	root string        // path whose children are the nodes
	wake chan struct{} // holds one: there is something to take

	mu      sync.Mutex
	pending changeSet
}

// marks say what has changed.
type changeSet struct {
	all   bool // the list and every node
	list  bool // which nodes there are
	nodes map[string]struct{}
}

func newChanges(root string) *changes {
	return &changes{root: root, wake: make(chan struct{}, 1)}
}

// everything marks all as changed: no watch of an earlier connection counts any more.
func (c *changes) markAll() {
	c.mark(func(m *changeSet) { m.all = true })
}

// add marks what the event of a watch is about.
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

// take gives what was marked since the last time.
func (c *changes) take() changeSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.pending
	c.pending = changeSet{}
	return taken
}

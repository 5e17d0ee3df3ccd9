// Package ephemeral follows a list of servers kept as ZooKeeper ephemeral nodes: each
// child of a configured path is a member, named by the child and described by its data in
// the notice board's format. It takes the place of the board's list.
//
// While the connection is lost the last list stays. A member whose node is deleted is
// gone. Whenever a session is established, everything is read again, which sets every
// watch again: no watch of an earlier connection is relied on.
package ephemeral

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"cherryramp/internal/discovery"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
)

const (
	retryInterval = time.Second // between reads after an error
	maxPacket     = 1 << 20
	maxReaders    = 16 // nodes read concurrently
)

// Config is the address and path of the nodes.
type Config struct {
	Servers []string
	Path    string
	Session time.Duration // session timeout: a node outlives its owner's silence by this
}

// Sink receives the whole list on the loop whenever it has changed.
type Sink interface {
	Members(full bool, list []gateway.Member)
}

// Follower keeps a list up to date. It runs in a goroutine, since the client library's
// calls block, and reads nodes in a few more.
type Follower struct {
	cfg       Config
	loop      *loop.Loop
	sink      Sink
	log       *slog.Logger
	conn      *zk.Conn
	changes   *changes
	staleList bool             // the list of children has to be read again
	nodes     map[string]*node // by child
	lastList  []gateway.Member
}

// node is a child and the last usable data read of it.
type node struct {
	member gateway.Member
	usable bool
	stale  bool // has to be read again
}

// Start starts following the nodes. Connection errors are logged and retried; only an
// error of the configuration is returned.
func Start(cfg Config, l *loop.Loop, sink Sink, log *slog.Logger) error {
	f := &Follower{cfg: cfg, loop: l, sink: sink, log: log.With("path", cfg.Path),
		changes: newChanges(cfg.Path), staleList: true, nodes: map[string]*node{}}
	conn, _, err := zk.Connect(cfg.Servers, cfg.Session, zk.WithLogger(zkLogger{f.log}), zk.WithLogInfo(false),
		zk.WithMaxBufferSize(maxPacket), zk.WithEventCallback(f.event), zk.WithDialer(newDialer().dial))
	if err != nil {
		return fmt.Errorf("ephemeral: %w", err)
	}
	f.conn = conn
	go f.run()
	return nil
}

// zkLogger passes the client library's messages to the log.
type zkLogger struct{ log *slog.Logger }

func (p zkLogger) Printf(format string, args ...any) {
	p.log.Info("zookeeper client", "text", fmt.Sprintf(format, args...))
}

// event is the client library's event callback and must not block.
func (f *Follower) event(e zk.Event) {
	if e.Type != zk.EventSession {
		f.changes.add(e)
		return
	}
	switch e.State {
	case zk.StateHasSession:
		f.log.Info("member nodes: session", "server", e.Server)
		f.changes.markAll()
	case zk.StateDisconnected:
		f.log.Warn("member nodes: connection lost, the last list stays", "server", e.Server)
	case zk.StateExpired:
		f.log.Warn("member nodes: session expired, all is read again")
	}
}

// run reads, publishes and waits for the lifetime of the process. It starts once a
// session is up, or after retryInterval, to log that there is none.
func (f *Follower) run() {
	f.wait(true)
	for {
		f.markStale(f.changes.take())
		err := f.read()
		if err == nil {
			f.publish()
		} else {
			f.log.Warn("member nodes can't be read, the last list stays", "error", err)
		}
		f.wait(err != nil)
	}
}

// markStale marks what has to be read again.
func (f *Follower) markStale(changed changeSet) {
	f.staleList = f.staleList || changed.all || changed.list
	for child, n := range f.nodes {
		if _, nodeChanged := changed.nodes[child]; nodeChanged || changed.all {
			n.stale = true
		}
	}
}

// read reads the list of children if it is stale, and the data of each stale node.
func (f *Follower) read() error {
	if f.staleList {
		children, _, err := f.conn.Children(f.cfg.Path)
		if err != nil {
			return fmt.Errorf("%s: %w", f.cfg.Path, err)
		}
		f.staleList = false
		f.setChildren(children)
	}
	return f.readNodes()
}

// setChildren replaces the set of nodes, keeping what is known of those that remain.
func (f *Follower) setChildren(children []string) {
	nodes := make(map[string]*node, len(children))
	for _, child := range children {
		if nodes[child] = f.nodes[child]; nodes[child] == nil {
			nodes[child] = &node{stale: true}
		}
	}
	f.nodes = nodes
}

// readNodes reads every stale node, several concurrently, and returns the first error.
func (f *Follower) readNodes() error {
	type result struct {
		child string
		data  []byte
		err   error
	}
	var stale []string
	for child, n := range f.nodes {
		if n.stale {
			stale = append(stale, child)
		}
	}
	children, results := make(chan string), make(chan result)
	var workers sync.WaitGroup
	for range min(maxReaders, len(stale)) {
		workers.Go(func() {
			for child := range children {
				data, _, err := f.conn.Get(f.cfg.Path + "/" + child)
				results <- result{child, data, err}
			}
		})
	}
	go func() {
		for _, child := range stale {
			children <- child
		}
		close(children)
		workers.Wait()
		close(results)
	}()
	var firstErr error
	for r := range results {
		if err := f.update(r.child, r.data, r.err); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// update takes over the result of reading a node. A node that does not exist is removed.
func (f *Follower) update(child string, data []byte, err error) error {
	if errors.Is(err, zk.ErrNoNode) {
		delete(f.nodes, child)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s/%s: %w", f.cfg.Path, child, err)
	}
	n := f.nodes[child]
	n.stale = false
	member, err := discovery.ParseMember(data, child)
	if err != nil { // the data read before stays in use
		f.log.Warn("member node can't be used", "node", child, "error", err)
		return nil
	}
	n.member, n.usable = member, true
	return nil
}

// publish passes the list to the sink unless it is the same as the last one.
func (f *Follower) publish() {
	var list []gateway.Member
	for _, n := range f.nodes {
		if n.usable {
			list = append(list, n.member)
		}
	}
	slices.SortFunc(list, func(a, b gateway.Member) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(list, f.lastList) {
		return
	}
	f.lastList = list
	f.loop.Post(func() {
		f.sink.Members(true, list)
		f.log.Info("member nodes read", "members", len(list)) // logged once the list is in use
	})
}

// wait returns when something has changed or, with retry, after retryInterval.
func (f *Follower) wait(retry bool) {
	var retryAfter <-chan time.Time
	if retry {
		timer := time.NewTimer(retryInterval)
		defer timer.Stop()
		retryAfter = timer.C
	}
	select {
	case <-f.changes.wake:
	case <-retryAfter:
	}
}

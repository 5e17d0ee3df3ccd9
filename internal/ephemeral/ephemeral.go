// Package ephemeral follows the list of servers where it is kept as ZooKeeper
// ephemeral nodes: each child of a configured path is a member, named by the
// child and described by its data, in the notice board's words. It stands in
// for the board's list.
//
// A lost connection keeps the last list. A node that vanishes is gone. A new
// session reads everything again and sets its watches anew.
package ephemeral

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"time"

	"github.com/go-zookeeper/zk"

	"cherryramp/internal/board"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
)

const (
	retryEvery = time.Second // between reads while something is wrong
	maxPacket  = 1 << 20
)

// Config says where the nodes are.
type Config struct {
	Servers []string
	Path    string
	Session time.Duration // a node outlives its owner's silence by this
}

// Sink is told the whole list whenever it has changed, on the loop.
type Sink interface {
	Members(full bool, list []gateway.Member)
}

// Follower keeps a list up to date. It has one goroutine, since the client
// library's calls block.
type Follower struct {
	cfg     Config
	loop    *loop.Loop
	sink    Sink
	log     *slog.Logger
	conn    *zk.Conn
	session chan struct{} // a session has come up
	list    <-chan zk.Event
	nodes   map[string]*node // by child
	told    []gateway.Member
}

// node is a child and what was last read of it.
type node struct {
	member gateway.Member
	usable bool
	watch  <-chan zk.Event // nil: to be read again
}

// Start begins to follow the nodes. Errors of the connection are logged and
// tried again; only a configuration that can't work is returned.
func Start(cfg Config, l *loop.Loop, sink Sink, log *slog.Logger) error {
	f := &Follower{cfg: cfg, loop: l, sink: sink, log: log.With("path", cfg.Path),
		session: make(chan struct{}, 1), nodes: map[string]*node{}}
	conn, _, err := zk.Connect(cfg.Servers, cfg.Session, zk.WithLogger(printer{f.log}), zk.WithLogInfo(false),
		zk.WithMaxBufferSize(maxPacket), zk.WithEventCallback(f.event))
	if err != nil {
		return fmt.Errorf("ephemeral: %w", err)
	}
	f.conn = conn
	go f.run()
	return nil
}

// printer passes the library's lines to the log.
type printer struct{ log *slog.Logger }

func (p printer) Printf(format string, args ...any) {
	p.log.Info("zookeeper client", "text", fmt.Sprintf(format, args...))
}

// event is called by the library and must not block.
func (f *Follower) event(e zk.Event) {
	if e.Type != zk.EventSession {
		return
	}
	switch e.State {
	case zk.StateHasSession:
		f.log.Info("member nodes: session", "server", e.Server)
		select {
		case f.session <- struct{}{}:
		default:
		}
	case zk.StateDisconnected:
		f.log.Warn("member nodes: connection lost, the last list stays", "server", e.Server)
	case zk.StateExpired:
		f.log.Warn("member nodes: session expired, all is read again")
	}
}

// run reads, tells and waits, for as long as the program lives.
func (f *Follower) run() {
	for {
		err := f.read()
		if err == nil {
			f.tell()
		} else {
			f.log.Warn("member nodes can't be read, the last list stays", "error", err)
		}
		f.wait(err != nil)
	}
}

// read brings in what changed: all children where the list's watch is spent, and
// each child whose own watch is.
func (f *Follower) read() error {
	if f.list == nil {
		children, _, watch, err := f.conn.ChildrenW(f.cfg.Path)
		if err != nil {
			return fmt.Errorf("%s: %w", f.cfg.Path, err)
		}
		f.list = watch
		for _, child := range children {
			if f.nodes[child] == nil {
				f.nodes[child] = &node{}
			}
		}
		for child := range f.nodes {
			if !slices.Contains(children, child) {
				delete(f.nodes, child)
			}
		}
	}
	for child, n := range f.nodes {
		if n.watch != nil {
			continue
		}
		path := f.cfg.Path + "/" + child
		data, _, watch, err := f.conn.GetW(path)
		if errors.Is(err, zk.ErrNoNode) {
			delete(f.nodes, child)
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		n.watch = watch
		m, err := board.ParseMember(data, child)
		if err != nil { // what was read of it before stays
			f.log.Warn("member node can't be used", "node", child, "error", err)
			continue
		}
		n.member, n.usable = m, true
	}
	return nil
}

// tell passes on the list, if it is not the one told last.
func (f *Follower) tell() {
	var list []gateway.Member
	for _, n := range f.nodes {
		if n.usable {
			list = append(list, n.member)
		}
	}
	slices.SortFunc(list, func(a, b gateway.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if slices.Equal(list, f.told) {
		return
	}
	f.told = list
	f.loop.Post(func() {
		f.sink.Members(true, list)
		f.log.Info("member nodes read", "members", len(list)) // whoever reads it finds them in use
	})
}

// wait returns when a watch was spent or a session came up, and after a while
// where the last read failed. The library ends every watch with its session.
func (f *Follower) wait(failed bool) {
	cases := []reflect.SelectCase{{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(f.session)}}
	if failed {
		retry := time.NewTimer(retryEvery)
		defer retry.Stop()
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(retry.C)})
	}
	spent := make([]func(), len(cases))
	watch := func(c <-chan zk.Event, done func()) {
		if c != nil {
			cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c)})
			spent = append(spent, done)
		}
	}
	watch(f.list, func() { f.list = nil })
	for _, n := range f.nodes {
		watch(n.watch, func() { n.watch = nil })
	}
	if i, _, _ := reflect.Select(cases); spent[i] != nil {
		spent[i]()
	}
}

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the notice board's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Event is a numbered event of the notice board.
type Event map[string]any

// Pool returns an event with the whole list, or with changes of it.
func Pool(rev int, complete bool, members ...Member) Event {
	return Event{"rev": rev, "pool": map[string]any{"revision": rev, "complete": complete, "members": members}}
}

// Flush returns the purge of an object at a time.
func Flush(rev int, asset string, at time.Time) Event {
	return Event{"rev": rev, "flush": map[string]any{"asset": asset, "ms": at.UnixMilli()}}
}

// Poll is a poll that came.
type Poll struct {
	At    time.Time
	Watch int
}

// Board is a stand-in of the notice board.
type Board struct {
	Addr string

	r      *Run
	mu     sync.Mutex
	events []Event
	change chan struct{}
	delay  time.Duration // by which each answer is later than it is due
	down   bool
	polls  []Poll
	conns  map[net.Conn]bool
}

// NewBoard starts a notice board with the events that the front is given as known.
func (r *Run) NewBoard(known ...Event) (*Board, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Board{Addr: l.Addr().String(), r: r, events: known, change: make(chan struct{}), conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: b, ConnState: func(c net.Conn, s http.ConnState) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if s == http.StateNew {
			if b.down {
				_ = c.Close()
				return
			}
			b.conns[c] = true
		} else if s == http.StateClosed {
			delete(b.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	r.OnEnd(func() { _ = server.Close() })
	return b, nil
}

// Known returns the events so far in the form of the configuration's key known.
func (b *Board) Known() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{"rev": len(b.events), "notices": append([]Event{}, b.events...)}
}

// Add adds an event, which has to have the next number, and returns when the board held it.
func (b *Board) Add(e Event) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, e)
	at := time.Now()
	close(b.change)
	b.change = make(chan struct{})
	text, _ := json.Marshal(e)
	b.r.LogAt(at, "board: holds event %s", text)
	return at
}

// SetDelay makes each answer later than it is due.
func (b *Board) SetDelay(d time.Duration) {
	b.mu.Lock()
	b.delay = d
	b.mu.Unlock()
	b.r.Log("board: answers are %v late from now on", d)
}

// SetDown ends all connections and refuses new ones (they are closed at once), or takes them again.
func (b *Board) SetDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
	if down {
		for c := range b.conns {
			_ = c.Close()
		}
	}
	b.r.Log("board: down=%v", down)
}

// Polls returns the polls that came so far.
func (b *Board) Polls() []Poll {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Poll{}, b.polls...)
}

// ServeHTTP answers GET /board/poll?watch=N&linger=MS.
func (b *Board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch, err1 := strconv.Atoi(r.FormValue("watch"))
	linger, err2 := strconv.Atoi(r.FormValue("linger"))
	if r.URL.Path != "/board/poll" || err1 != nil || err2 != nil {
		http.Error(w, "bad", 400)
		return
	}
	until := time.NewTimer(time.Duration(min(linger, 5000)) * time.Millisecond)
	defer until.Stop()
	b.mu.Lock()
	b.polls = append(b.polls, Poll{time.Now(), watch})
	for len(b.events) <= watch {
		change := b.change
		b.mu.Unlock()
		select {
		case <-change:
			b.mu.Lock()
			continue
		case <-until.C:
		case <-r.Context().Done():
			return
		}
		b.mu.Lock()
		break
	}
	last := len(b.events)
	notices := append([]Event{}, b.events[min(watch, last):]...)
	delay := b.delay
	b.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	body, _ := json.Marshal(map[string]any{"rev": last, "notices": notices})
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

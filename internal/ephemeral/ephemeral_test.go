package ephemeral

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"cherryramp/internal/ephemeral/zookeepertest"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/lab/faultproxy"
	"cherryramp/rules"
)

const maxWait = 10 * time.Second

func box(phase string) string {
	return fmt.Sprintf(`{"host_port":"127.0.0.1:9","locality":"edge-1","flavor":"box","phase":"%s","size":4}`, phase)
}

// sink sends each list to a channel as text: whether it is full, then each member's name
// with + if ready and - if draining.
type sink struct{ lists chan string }

func (s *sink) Members(full bool, list []gateway.Member) {
	parts := []string{fmt.Sprint(full)}
	for _, m := range list {
		parts = append(parts, m.Name+map[rules.MemberState]string{rules.Ready: "+", rules.Draining: "-"}[m.State])
	}
	s.lists <- strings.Join(parts, " ")
}

func (s *sink) await(t *testing.T, want string) {
	t.Helper()
	var seen []string
	end := time.After(maxWait)
	for !slices.Contains(seen, want) {
		select {
		case got := <-s.lists:
			seen = append(seen, got)
		case <-end:
			t.Fatalf("got %q, want %q", seen, want)
		}
	}
}

// awaitSuffix waits for a list whose text ends with want.
func (s *sink) awaitSuffix(t *testing.T, want string) {
	t.Helper()
	end := time.After(maxWait)
	for {
		select {
		case got := <-s.lists:
			if strings.HasSuffix(got, want) {
				return
			}
		case <-end:
			t.Fatalf("no list ends with %q", want)
		}
	}
}

// logSink sends "logged" to the sink's channel when the log reports a list as read.
type logSink struct{ *sink }

func (s logSink) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "member nodes read") {
		s.lists <- "logged"
	}
	return len(line), nil
}

func start(t *testing.T, server *zookeepertest.Server) *sink {
	t.Helper()
	s := &sink{lists: make(chan string, 100)}
	startWith(t, server, s, io.Discard)
	return s
}

func startWith(t *testing.T, server *zookeepertest.Server, s *sink, log io.Writer) {
	t.Helper()
	startAt(t, server.Addr(), 2*time.Second, s, log)
}

func startAt(t *testing.T, address string, session time.Duration, s *sink, log io.Writer) {
	t.Helper()
	l := loop.New(func() {})
	done := make(chan struct{})
	go func() { l.Run(); close(done) }()
	t.Cleanup(func() { l.Post(l.Quit); <-done })
	err := Start(Config{Servers: []string{address}, Path: zookeepertest.Root, Session: session}, l, s,
		slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a list that is logged as read before it is in use.
func TestLogsListOnceInUse(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	s := &sink{lists: make(chan string, 100)}
	startWith(t, server, s, logSink{s})
	for _, want := range []string{"true s-1+", "logged"} {
		select {
		case got := <-s.lists:
			if got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		case <-time.After(maxWait):
			t.Fatalf("%q did not come", want)
		}
	}
}

// Guards against a sound ensemble that is never heard because its answers are later than two
// thirds of the session: the client library then ends each connection before the first.
func TestSlowEnsembleIsHeard(t *testing.T) {
	t.Parallel()
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	proxy, err := faultproxy.Open("", server.Addr(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	proxy.Set(faultproxy.Backward, faultproxy.Settings{Delay: 900 * time.Millisecond})
	s := &sink{lists: make(chan string, 100)}
	startAt(t, proxy.Addr(), time.Second, s, io.Discard)
	s.await(t, "true s-1+")
	server.Set("s-1", box("DRAINING"))
	s.await(t, "true s-1-")
}

func TestFollowsNodes(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	s := start(t, server)
	s.await(t, "true s-1+")
	server.Set("s-2", box("SERVING"))
	s.await(t, "true s-1+ s-2+")
	server.Set("s-1", box("DRAINING"))
	s.await(t, "true s-1- s-2+")
	server.Set("s-1", "")
	s.await(t, "true s-2+")
	// Unusable data leaves the last usable data of the node in force.
	server.Set("s-2", "garbage")
	server.Set("s-3", box("SERVING"))
	s.await(t, "true s-2+ s-3+")
}

// Guards against a lost connection that empties the list, and against changes made
// meanwhile that are never read.
func TestLostConnectionKeepsTheList(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	s := start(t, server)
	s.await(t, "true s-1+")
	server.Disconnect(false)
	server.Set("s-2", box("SERVING"))
	s.await(t, "true s-1+ s-2+")
	select {
	case got := <-s.lists:
		t.Errorf("got %q after that", got)
	default:
	}
}

// Guards against a front that keeps sending requests to a draining server because the
// drain was set while the connection was lost. The client library then sets its old
// watches again with the last zxid it has seen, and the follower waited for them to fire.
// If that zxid is too new, as when another reply overtakes it, or if the server fires no
// watch, nothing is read again. In the log, "member nodes: session" after the disconnect
// is not followed by "member nodes read".
func TestDrainDuringALostConnectionIsRead(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	server.Set("s-2", box("SERVING"))
	s := start(t, server)
	s.await(t, "true s-1+ s-2+")
	server.Disconnect(false)
	server.Set("s-1", box("DRAINING"))
	s.await(t, "true s-1- s-2+")
	server.Set("s-1", box("SERVING"))
	s.await(t, "true s-1+ s-2+")
}

// Guards against a data race inside the client library (conn.go:614 reads what conn.go:849
// writes), which puts a too new zxid into the request that sets old watches again. At each
// connection the library's main goroutine looks for watches to set again after it started
// the receiver, which may have added some by then and goes on counting. Under the race
// detector, 64,000 first connections to an in-memory server with four reads that set
// watches each showed it in 6 of 6 runs, with four reads without watches in 0 of 6. So the
// library must know of no watches; then it sets none again.
func TestLibraryHasNoWatchesToSetAgain(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	s := start(t, server)
	s.await(t, "true s-1+")
	for i := range 3 {
		server.Disconnect(false)
		name := fmt.Sprintf("s-%d", i+2)
		server.Set(name, box("SERVING"))
		s.awaitSuffix(t, name+"+")
	}
	if n := server.SetWatchesCalls(); n > 0 {
		t.Errorf("old watches were set again %d times", n)
	}
}

// Guards against watches that are lost with an expired session: after the new session
// everything must be read again, and later changes too.
func TestNewSessionReadsAllAgain(t *testing.T) {
	server := zookeepertest.New(t)
	server.Set("s-1", box("SERVING"))
	server.Set("s-2", box("SERVING"))
	s := start(t, server)
	s.await(t, "true s-1+ s-2+")
	server.Disconnect(true)
	server.Set("s-1", "")
	server.Set("s-2", box("DRAINING"))
	s.await(t, "true s-2-")
	server.Set("s-2", box("SERVING"))
	s.await(t, "true s-2+")
	server.Set("s-3", box("SERVING"))
	s.await(t, "true s-2+ s-3+")
}

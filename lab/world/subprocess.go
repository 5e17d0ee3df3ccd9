package world

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherryramp/internal/ephemeral/zookeepertest"
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/lab/process"
	"cherryramp/rules"
)

// SocketOptions configures a world whose fronts are the built program as it is
// shipped. The world's servers speak their protocol on loopback, with separate
// addresses for each front; each front has a notice board of its own as the register;
// clients speak HTTP through the standard library. Time is the system's.
type SocketOptions struct {
	Front    string    // path of the built program
	Log      io.Writer // output of the fronts; nil: discarded
	MemoryMB int       // memory limit of a front; 0: 32

	// Ephemeral announces members by ephemeral nodes, as in ZooKeeper, and not by the
	// notice board.
	Ephemeral bool

	// Operator returns the first front's operator file, given the address of the signed
	// front; nil: no file.
	Operator func(signed string) []byte
}

// Limits of the machine in the fronts' configuration.
const (
	memoryMB    = 32
	descriptors = 1400
)

// ownShare is the divisor of its memory that gives the size of a front's own cache
// (cmd/cherryramp).
const ownShare = 4

// NewOnSockets returns a world whose fronts are processes of the built program.
func NewOnSockets(spec Spec, o SocketOptions) (*World, error) {
	w, err := New(spec)
	if err != nil {
		return nil, err
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = memoryMB
	}
	if spec.MaxHeld > descriptors/3 {
		return nil, fmt.Errorf("world: %d calls held, the maximum on sockets is %d", spec.MaxHeld, descriptors/3)
	}
	if len(w.fronts) > 250 {
		return nil, fmt.Errorf("world: %d fronts, the maximum on sockets is 250", len(w.fronts))
	}
	if o.Log != nil {
		o.Log = &sharedWriter{to: o.Log}
	}
	w.loop = loop.New(w.processEvents)
	w.sockets = &o
	// Bodies are longer than in virtual time by the same factor as the front's own cache
	// is larger, so that fronts keep as many.
	w.bodyRepeats = o.MemoryMB << 20 / ownShare / localCacheBytes
	block := uint32(os.Getpid())<<4 + blocks.Add(1)
	for i, f := range w.fronts {
		f.ip = net.IPv4(127, byte(64+block>>8&127), byte(block), byte(i+1)).String()
		f.newProgram = newSubprocess
	}
	return w, nil
}

// sharedWriter serializes the writes of several fronts.
type sharedWriter struct {
	mu sync.Mutex
	to io.Writer
}

func (w *sharedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(p)
}

// blocks counts the worlds on sockets in this process: each uses a block of loopback
// addresses of its own.
var blocks atomic.Uint32

// startFronts starts all fronts before the warm-up.
func (w *World) startFronts() error {
	if w.sockets == nil {
		w.eachFront((*Front).start)
		return nil
	}
	w.eachFront(func(f *Front) {
		f.listeners = map[*server]*listener{}
		for _, s := range w.servers {
			f.listeners[s] = newListener(f, s)
		}
	})
	var errs []error
	w.eachFront(func(f *Front) {
		for _, s := range w.servers {
			errs = append(errs, f.listeners[s].apply(listenerAccepting))
		}
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	w.eachFront((*Front).start)
	for _, f := range w.fronts {
		x := f.program.(*subprocess)
		if x.startErr != nil {
			return x.startErr
		}
		if err := x.process.AwaitServing(); err != nil {
			return err
		}
	}
	return nil
}

// shutDown ends the day's loop. On sockets it first stops the fronts, so that they
// still have a notice board and servers while they drain.
func (w *World) shutDown() {
	if w.sockets == nil || w.shuttingDown {
		w.loop.Quit()
		return
	}
	w.shuttingDown = true
	var running []*subprocess
	for _, f := range w.fronts {
		if x, ok := f.program.(*subprocess); ok && !f.stopped && x.process != nil {
			f.serving, x.killed = false, true // answers during shutdown are not counted
			for t := range f.tries {
				t.done = true
			}
			running = append(running, x)
		}
	}
	go func() {
		errs := make([]error, len(running))
		var wg sync.WaitGroup
		for i, x := range running {
			wg.Go(func() { errs[i] = x.process.Stop() })
		}
		wg.Wait()
		w.loop.Post(func() {
			w.shutdownErr = errors.Join(errs...)
			w.loop.Quit()
		})
	}()
}

// cleanUp releases what a day on sockets holds, and kills fronts that still run.
func (w *World) cleanUp() error {
	if w.sockets == nil {
		return nil
	}
	errs := []error{w.shutdownErr}
	for _, f := range w.fronts {
		if x, ok := f.program.(*subprocess); ok && !f.stopped {
			x.kill()
		}
		for _, l := range f.listeners {
			errs = append(errs, l.apply(listenerRefusing))
		}
		for c := range f.conns {
			c.far.(*socket).stop()
		}
	}
	return errors.Join(errs...)
}

func (w *World) eachFront(call func(f *Front)) {
	for _, f := range w.fronts {
		call(f)
	}
}

// updateListeners makes a server's listeners match its state.
func (w *World) updateListeners(s *server) {
	if w.sockets == nil {
		return
	}
	state := listenerAccepting
	switch {
	case s.unreachable || w.isCut(s):
		state = listenerSilent
	case !s.up:
		state = listenerRefusing
	}
	for _, f := range w.fronts {
		f.listeners[s].set(state)
	}
}

// updateZoneListeners does so for all servers of a zone.
func (w *World) updateZoneListeners(zone int) {
	for _, s := range w.servers {
		if s.zone == zone {
			w.updateListeners(s)
		}
	}
}

// subprocess is a front's program in a process of its own, with its notice board and
// its clients' connections.
type subprocess struct {
	front     *Front
	process   *process.Process
	startErr  error
	dir       string
	listen    string
	signed    string
	zookeeper *zookeepertest.Server // with ephemeral nodes
	board     *http.Server
	client    *http.Client
	revision  int64
	notices   []json.RawMessage // from revision 2 on; the first is in the configuration
	polls     []*poll
	killed    bool   // later events are ignored
	onExit    func() // called when the process has exited after stop
}

// poll is one of the front's long polls, held until there is a notice to send.
type poll struct {
	after int64
	reply chan []byte
}

func newSubprocess(f *Front) program { return &subprocess{front: f} }

// boardMember is a member as the notice board announces it.
type boardMember struct {
	ID       string  `json:"id,omitempty"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type boardPool struct {
	Revision int64         `json:"revision"`
	Complete bool          `json:"complete"`
	Members  []boardMember `json:"members"`
}

type boardFlush struct {
	Asset      string `json:"asset,omitempty"`
	Collection *int   `json:"collection,omitempty"`
	MS         int64  `json:"ms"`
}

type boardNotice struct {
	Rev   int64       `json:"rev"`
	Pool  *boardPool  `json:"pool,omitempty"`
	Flush *boardFlush `json:"flush,omitempty"`
}

var phases = [...]string{"DELETED", "SERVING", "DRAINING"}

func (prog *subprocess) boardMember(m gateway.Member) boardMember {
	s := prog.front.w.serverByName[m.Name]
	return boardMember{ID: m.Name, HostPort: prog.front.listeners[s].address, Locality: m.Zone, Flavor: m.Kind, Phase: phases[m.State], Size: m.Weight,
		UpSince: m.StartedAt / milli}
}

func (prog *subprocess) newNotice(n boardNotice) json.RawMessage {
	prog.revision++
	n.Rev = prog.revision
	text, err := json.Marshal(n)
	if err != nil {
		panic(err) // all its values can be encoded
	}
	return text
}

func boardFlushOf(p gateway.Purge) *boardFlush {
	if p.Object != "" {
		return &boardFlush{Asset: p.Object, MS: p.At / milli}
	}
	return &boardFlush{Collection: &p.Group, MS: p.At / milli}
}

func (prog *subprocess) start(known []gateway.Member, purges []gateway.Purge, serving func()) {
	if prog.startErr = prog.launch(known, purges); prog.startErr != nil {
		prog.front.w.reportViolation(AnswerInTime, prog.front, fmt.Sprintf("the program does not start: %v", prog.startErr))
		return
	}
	go func() {
		err := prog.process.AwaitServing()
		prog.front.w.loop.Post(func() {
			if err == nil && !prog.killed {
				serving()
			} else if !prog.killed {
				prog.front.w.reportViolation(AnswerInTime, prog.front, err.Error())
			}
		})
		<-prog.process.Ended()
		prog.front.w.loop.Post(func() {
			err := prog.process.Err()
			if !prog.killed && (prog.onExit == nil || err != nil) {
				prog.front.w.reportViolation(AnswerInTime, prog.front, fmt.Sprintf("the program exited unexpectedly: %v", err))
			}
			switch {
			case prog.killed:
			case prog.onExit != nil:
				prog.onExit()
			default:
				prog.front.kill()
			}
		})
	}()
}

func (prog *subprocess) launch(known []gateway.Member, purges []gateway.Purge) (err error) {
	w, f := prog.front.w, prog.front
	if prog.dir, err = os.MkdirTemp("", "ramplab"); err != nil {
		return err
	}
	pool := &boardPool{Complete: true}
	for _, m := range known {
		pool.Members = append(pool.Members, prog.boardMember(m))
	}
	notices := []json.RawMessage{prog.newNotice(boardNotice{Pool: pool})}
	for _, p := range purges {
		notices = append(notices, prog.newNotice(boardNotice{Flush: boardFlushOf(p)}))
	}
	board, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		return err
	}
	if prog.listen, err = f.freeAddress(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board/poll", prog.serveBoard)
	prog.board = &http.Server{Handler: mux, ReadHeaderTimeout: process.Timeout}
	go func() { _ = prog.board.Serve(board) }()
	prog.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: 4 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	flow := w.spec.Flow * float64(w.bodyRepeats)
	text, err := json.Marshal(map[string]any{"name": f.name, "listen": prog.listen, "seed": strconv.FormatUint(f.seed(), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": w.sockets.MemoryMB, "sockets": descriptors}, "board": board.Addr().String(),
		"flow_bytes_per_s": flow, "link_bytes_per_s": flow * 4,
		"known": map[string]any{"rev": prog.revision, "notices": notices}, "settings": w.spec.configSettings(f.zone)})
	if err != nil {
		return err
	}
	path := filepath.Join(prog.dir, "config.json")
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	env := []string{"ROUTER_CONFIG=" + path}
	operator, err := prog.operatorFile(known)
	if err != nil {
		return err
	}
	if len(operator) > 0 {
		if text, err = json.Marshal(operator); err != nil {
			return err
		}
		path := filepath.Join(prog.dir, "operator.json")
		if err = os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		env = append(env, "CHERRYRAMP_OPERATOR="+path)
	}
	prog.process, err = process.Start(process.Options{Path: w.sockets.Front, Env: env, Log: w.sockets.Log})
	return err
}

// operatorFile returns the contents of the operator file; an empty map means no file.
func (prog *subprocess) operatorFile(known []gateway.Member) (file map[string]json.RawMessage, err error) {
	f, o := prog.front, prog.front.w.sockets
	file = map[string]json.RawMessage{}
	if o.Operator != nil && f == f.w.fronts[0] {
		if prog.signed, err = f.freeAddress(); err != nil {
			return nil, err
		}
		if err := json.Unmarshal(o.Operator(prog.signed), &file); err != nil {
			return nil, err
		}
	}
	if o.Ephemeral {
		if prog.zookeeper, err = zookeepertest.Open(f.ip + ":0"); err != nil {
			return nil, err
		}
		for _, m := range known {
			prog.setNode(m)
		}
		file["ephemeral"] = fmt.Appendf(nil, `{"servers":[%q],"path":%q}`, prog.zookeeper.Addr(), zookeepertest.Root)
	}
	return file, nil
}

// setNode announces a member by an ephemeral node.
func (prog *subprocess) setNode(m gateway.Member) {
	data := []byte(nil) // the node is removed
	if m.State != rules.Gone {
		n := prog.boardMember(m)
		n.ID = ""
		data, _ = json.Marshal(n) // all its values can be encoded
	}
	prog.zookeeper.Set(m.Name, string(data))
}

// freeAddress returns an address that nothing listens on. It stays free, since nothing
// else uses the front's IP address.
func (f *Front) freeAddress() (string, error) {
	ln, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// serveBoard answers the front's long polls.
func (prog *subprocess) serveBoard(rw http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("watch"), 10, 64)
	linger, err2 := strconv.ParseInt(r.FormValue("linger"), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	p := &poll{after: after, reply: make(chan []byte, 1)}
	w := prog.front.w
	w.loop.Post(func() {
		prog.polls = append(prog.polls, p)
		w.after(min(linger, 5000)*milli, func() { prog.answerPoll(p, true) })
		prog.answerPoll(p, false)
	})
	select {
	case text := <-p.reply:
		_, _ = rw.Write(text)
	case <-r.Context().Done():
		w.loop.Post(func() { prog.removePoll(p) })
	}
}

// answerPoll answers a poll if there are new notices or its time is up. A register
// that is unreachable does not answer.
func (prog *subprocess) answerPoll(p *poll, expired bool) {
	if !slices.Contains(prog.polls, p) || prog.front.registerDown || !expired && prog.revision <= p.after {
		return
	}
	prog.removePoll(p)
	first := prog.revision - int64(len(prog.notices)) // the last revision in the configuration
	p.reply <- fmt.Appendf(nil, `{"rev":%d,"notices":[%s]}`, prog.revision, bytes.Join(rawBytes(prog.notices[max(0, min(p.after, prog.revision)-first):]), []byte(",")))
}

func rawBytes(list []json.RawMessage) (out [][]byte) {
	for _, x := range list {
		out = append(out, x)
	}
	return out
}

func (prog *subprocess) removePoll(p *poll) {
	prog.polls = slices.DeleteFunc(prog.polls, func(o *poll) bool { return o == p })
}

func (prog *subprocess) publish(n boardNotice) {
	prog.notices = append(prog.notices, prog.newNotice(n))
	for _, p := range slices.Clone(prog.polls) {
		prog.answerPoll(p, false)
	}
}

func (prog *subprocess) updateMember(m gateway.Member) {
	if prog.zookeeper != nil {
		prog.setNode(m)
		return
	}
	prog.publish(boardNotice{Pool: &boardPool{Revision: prog.revision, Members: []boardMember{prog.boardMember(m)}}})
}

func (prog *subprocess) purge(p gateway.Purge) { prog.publish(boardNotice{Flush: boardFlushOf(p)}) }

// registerAnswered does nothing: the front polls the notice board itself.
func (prog *subprocess) registerAnswered() {}

// setRegisterDown blocks the ephemeral nodes for a while; the notice board checks
// Front.registerDown.
func (prog *subprocess) setRegisterDown(down bool) {
	if prog.zookeeper != nil {
		prog.zookeeper.Freeze(down)
	}
}

func (prog *subprocess) processEvents() {}

func (prog *subprocess) resources() (calls, kb, open int) {
	return len(prog.front.tries), process.ResidentKB(prog.process.Pid()), process.OpenDescriptors(prog.process.Pid())
}

// reload tells the front to re-read its files.
func (prog *subprocess) reload() { prog.process.Signal(syscall.SIGHUP) }

// stop ends the front as an operator does. Clients still connect until a load balancer
// would have noticed, and then use other fronts.
func (prog *subprocess) stop(ended func()) {
	prog.onExit = ended
	prog.process.Signal(syscall.SIGTERM)
	prog.front.w.after(lingerTime, func() {
		if !prog.killed {
			prog.front.serving = false
		}
	})
}

func (prog *subprocess) kill() {
	prog.killed = true
	if prog.process != nil {
		go prog.process.Kill() // if it has not exited
	}
	prog.cleanUp()
}

func (prog *subprocess) cleanUp() {
	if prog.zookeeper != nil {
		prog.zookeeper.Close()
	}
	if prog.board != nil {
		_ = prog.board.Close()
		prog.client.CloseIdleConnections()
	}
	_ = os.RemoveAll(prog.dir)
}

// submit sends a try as a client does.
func (prog *subprocess) submit(t *try) {
	w, req := prog.front.w, t.request
	object, spec := &w.catalog.objects[req.object], &w.spec.Classes[req.class]
	target := fmt.Sprintf("http://%s/call/%s/%s", prog.listen, spec.Name, objectName(req.object))
	if object.parts > 1 {
		target += fmt.Sprintf("?seg=%d", req.part)
	}
	method, body := http.MethodGet, io.Reader(nil)
	if spec.Write {
		method, body = http.MethodPut, strings.NewReader(writeBody)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	r, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		panic(err) // its parts are all valid
	}
	r.Header["Req-Id"] = []string{t.id}
	r.Header["Req-Wait-Ms"] = []string{strconv.FormatInt(max(1, (t.deadline-w.loop.Now())/milli), 10)}
	r.Header["X-Bucket"] = []string{strconv.Itoa(int(object.group))}
	if req.key != "" {
		r.Header["Req-Token"] = []string{req.key}
	}
	if size := w.declaredKB(object); size > 0 {
		r.Header["Req-Kb"] = []string{strconv.FormatFloat(size, 'f', 3, 64)}
	}
	if req.tries > 1 {
		r.Header["Req-Retry"] = []string{"1"}
	}
	go func() {
		answer, err := prog.roundTrip(r)
		cancel()
		w.loop.Post(func() {
			switch {
			case prog.killed || errors.Is(err, context.Canceled): // already accounted for
			case err != nil:
				t.lost(err)
			default:
				answer.Body, answer.CreatedAt = w.originalBody(answer.Body)
				t.Answer(answer)
			}
		})
	}()
}

func (prog *subprocess) roundTrip(r *http.Request) (a gateway.Answer, err error) {
	resp, err := prog.client.Do(r)
	if err != nil {
		return a, err
	}
	body, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return a, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return gateway.Answer{Kind: gateway.Served, Body: body}, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		retryAfterMs, _ := strconv.ParseInt(resp.Header.Get("Srv-Wait-Ms"), 10, 64)
		return gateway.Answer{Kind: gateway.Refused, RetryAfter: retryAfterMs * milli}, nil
	}
	return gateway.Answer{Kind: gateway.Failed, TimedOut: resp.StatusCode == http.StatusGatewayTimeout}, nil
}

func (prog *subprocess) leave(t *try) { t.cancel() }

// repeatBody repeats a body as often as the world on sockets requires.
func (w *World) repeatBody(body string) string { return strings.Repeat(body, max(1, w.bodyRepeats)) }

// originalBody undoes repeatBody and reads when the store created the copy. An
// incomplete body is returned as it is.
func (w *World) originalBody(body []byte) ([]byte, Micros) {
	once := body
	if n := len(body) / w.bodyRepeats; n > 0 && len(body)%w.bodyRepeats == 0 && bytes.Equal(body, bytes.Repeat(body[:n], w.bodyRepeats)) {
		once = body[:n]
	}
	_, at, _ := bytes.Cut(once, []byte("@"))
	createdAt, _ := strconv.ParseInt(string(at), 10, 64)
	return once, createdAt * milli
}

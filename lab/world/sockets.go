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

// Sockets has the fronts of a world be the built program, as it is shipped. The
// world's servers then speak their protocol on loopback, to each front at addresses
// of its own; the register is a notice board a front; clients speak HTTP by the
// standard library. Time is the system's.
type SocketOptions struct {
	Front    string    // path of the built program
	Log      io.Writer // of the fronts; nil: nowhere
	MemoryMB int       // the fronts' limit; 0: 32

	// Ephemeral has members told by ephemeral nodes, as ZooKeeper has them, and not by
	// the notice board.
	Ephemeral bool

	// Operator gives the first front's operator's file, for an address of the signed
	// front; nil: there is none.
	Operator func(signed string) []byte
}

// What the fronts are told of their machine.
const (
	memoryMB    = 32
	descriptors = 1400
)

// ownShare is the part of its memory in which the front keeps copies of its own
// (cmd/cherryramp).
const ownShare = 4

// NewOnSockets makes a world whose fronts are the built program.
func NewOnSockets(spec Spec, o SocketOptions) (*World, error) {
	w, err := New(spec)
	if err != nil {
		return nil, err
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = memoryMB
	}
	if spec.MaxHeld > descriptors/3 {
		return nil, fmt.Errorf("world: %d calls held, on sockets %d at most", spec.MaxHeld, descriptors/3)
	}
	if len(w.fronts) > 250 {
		return nil, fmt.Errorf("world: %d fronts, on sockets 250 at most", len(w.fronts))
	}
	if o.Log != nil {
		o.Log = &sharedWriter{to: o.Log}
	}
	w.loop = loop.New(w.settle)
	w.sockets = &o
	// Bodies are as much longer than in virtual time as the memory for copies is, so
	// that fronts keep as many.
	w.stretch = o.MemoryMB << 20 / ownShare / ownCopies
	block := uint32(os.Getpid())<<4 + blocks.Add(1)
	for i, f := range w.fronts {
		f.ip = net.IPv4(127, byte(64+block>>8&127), byte(block), byte(i+1)).String()
		f.make = newOutside
	}
	return w, nil
}

// sharedWriter hands on what several fronts write, one piece at a time.
type sharedWriter struct {
	mu sync.Mutex
	to io.Writer
}

func (w *sharedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(p)
}

// blocks counts the worlds on sockets that this process has had: each has a block
// of loopback addresses.
var blocks atomic.Uint32

// startFronts brings up all fronts before the first moment of a day on sockets.
func (w *World) startFronts() error {
	if w.sockets == nil {
		w.eachFront((*Front).start)
		return nil
	}
	w.eachFront(func(f *Front) {
		f.doors = map[*server]*door{}
		for _, s := range w.servers {
			f.doors[s] = newDoor(f, s)
		}
	})
	var errs []error
	w.eachFront(func(f *Front) {
		for _, s := range w.servers {
			errs = append(errs, f.doors[s].apply(doorOpen))
		}
	})
	if err := errors.Join(errs...); err != nil {
		return err
	}
	w.eachFront((*Front).start)
	for _, f := range w.fronts {
		x := f.prog.(*outside)
		if x.failed != nil {
			return x.failed
		}
		if err := x.process.AwaitServing(); err != nil {
			return err
		}
	}
	return nil
}

// quit ends the day's loop; on sockets once the fronts, told to end, have ended,
// so that they still have a notice board and servers meanwhile.
func (w *World) quit() {
	if w.sockets == nil || w.quitting {
		w.loop.Quit()
		return
	}
	w.quitting = true
	var running []*outside
	for _, f := range w.fronts {
		if x, ok := f.prog.(*outside); ok && !f.dead && x.process != nil {
			f.serves, x.over = false, true // what becomes of clients now does not count
			for a := range f.open {
				a.over = true
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
			w.ended = errors.Join(errs...)
			w.loop.Quit()
		})
	}()
}

// release gives back what a day on sockets holds, and ends fronts that still run.
func (w *World) release() error {
	if w.sockets == nil {
		return nil
	}
	errs := []error{w.ended}
	for _, f := range w.fronts {
		if x, ok := f.prog.(*outside); ok && !f.dead {
			x.end()
		}
		for _, d := range f.doors {
			errs = append(errs, d.apply(doorShut))
		}
		for c := range f.wires {
			c.far.(*socket).stop()
		}
	}
	return errors.Join(errs...)
}

func (w *World) eachFront(do func(f *Front)) {
	for _, f := range w.fronts {
		do(f)
	}
}

// doorsOf has what a server is now show to those who connect to it.
func (w *World) doorsOf(s *server) {
	if w.sockets == nil {
		return
	}
	state := doorOpen
	switch {
	case s.silent || w.cut(s):
		state = doorMute
	case !s.up:
		state = doorShut
	}
	for _, f := range w.fronts {
		f.doors[s].set(state)
	}
}

// doorsIn does so for all servers of a place.
func (w *World) doorsIn(zone int) {
	for _, s := range w.servers {
		if s.zone == zone {
			w.doorsOf(s)
		}
	}
}

// outside is a front's program in a process of its own, with its notice board and
// its clients' connections.
type outside struct {
	f       *Front
	process *process.Process
	failed  error
	dir     string
	listen  string
	signed  string
	keeper  *zookeepertest.Server // with ephemeral nodes
	board   *http.Server
	client  *http.Client
	rev     int64
	notices []json.RawMessage // from 2 on; the first is in the configuration
	polls   []*poll
	over    bool   // nothing of it counts any more
	retired func() // it was told to end, and this is to be told once it has
}

// poll is one of the front's, held until there is something to tell.
type poll struct {
	after int64
	reply chan []byte
}

func newOutside(f *Front) program { return &outside{f: f} }

// wireMember is a member as the board tells of it.
type wireMember struct {
	ID       string  `json:"id,omitempty"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type wirePool struct {
	Revision int64        `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []wireMember `json:"members"`
}

type wireFlush struct {
	Asset      string `json:"asset,omitempty"`
	Collection *int   `json:"collection,omitempty"`
	MS         int64  `json:"ms"`
}

type wireNotice struct {
	Rev   int64      `json:"rev"`
	Pool  *wirePool  `json:"pool,omitempty"`
	Flush *wireFlush `json:"flush,omitempty"`
}

var phases = [...]string{"DELETED", "SERVING", "DRAINING"}

func (x *outside) wireMember(m gateway.Member) wireMember {
	s := x.f.w.by[m.Name]
	return wireMember{ID: m.Name, HostPort: x.f.doors[s].address, Locality: m.Zone, Flavor: m.Kind, Phase: phases[m.State], Size: m.Weight,
		UpSince: m.StartedAt / milli}
}

func (x *outside) notice(n wireNotice) json.RawMessage {
	x.rev++
	n.Rev = x.rev
	text, err := json.Marshal(n)
	if err != nil {
		panic(err) // it has no values that JSON does not
	}
	return text
}

func flush(p gateway.Purge) *wireFlush {
	if p.Object != "" {
		return &wireFlush{Asset: p.Object, MS: p.At / milli}
	}
	return &wireFlush{Collection: &p.Group, MS: p.At / milli}
}

func (x *outside) begin(known []gateway.Member, purges []gateway.Purge, serving func()) {
	if x.failed = x.launch(known, purges); x.failed != nil {
		x.f.w.broken(AnswerInTime, x.f, fmt.Sprintf("it does not start: %v", x.failed))
		return
	}
	go func() {
		err := x.process.AwaitServing()
		x.f.w.loop.Post(func() {
			if err == nil && !x.over {
				serving()
			} else if !x.over {
				x.f.w.broken(AnswerInTime, x.f, err.Error())
			}
		})
		<-x.process.Ended()
		x.f.w.loop.Post(func() {
			err := x.process.Err()
			if !x.over && (x.retired == nil || err != nil) {
				x.f.w.broken(AnswerInTime, x.f, fmt.Sprintf("the program ended by itself: %v", err))
			}
			switch {
			case x.over:
			case x.retired != nil:
				x.retired()
			default:
				x.f.kill()
			}
		})
	}()
}

func (x *outside) launch(known []gateway.Member, purges []gateway.Purge) (err error) {
	w, f := x.f.w, x.f
	if x.dir, err = os.MkdirTemp("", "ramplab"); err != nil {
		return err
	}
	pool := &wirePool{Complete: true}
	for _, m := range known {
		pool.Members = append(pool.Members, x.wireMember(m))
	}
	notices := []json.RawMessage{x.notice(wireNotice{Pool: pool})}
	for _, p := range purges {
		notices = append(notices, x.notice(wireNotice{Flush: flush(p)}))
	}
	board, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		return err
	}
	if x.listen, err = f.free(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board/poll", x.serveBoard)
	x.board = &http.Server{Handler: mux, ReadHeaderTimeout: process.Timeout}
	go func() { _ = x.board.Serve(board) }()
	x.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: 4 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	flow := w.spec.Flow * float64(w.stretch)
	text, err := json.Marshal(map[string]any{"name": f.name, "listen": x.listen, "seed": strconv.FormatUint(f.seed(), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": w.sockets.MemoryMB, "sockets": descriptors}, "board": board.Addr().String(),
		"flow_bytes_per_s": flow, "link_bytes_per_s": flow * 4,
		"known": map[string]any{"rev": x.rev, "notices": notices}, "settings": w.spec.document(f.zone)})
	if err != nil {
		return err
	}
	path := filepath.Join(x.dir, "config.json")
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	env := []string{"ROUTER_CONFIG=" + path}
	operator, err := x.operator(known)
	if err != nil {
		return err
	}
	if len(operator) > 0 {
		if text, err = json.Marshal(operator); err != nil {
			return err
		}
		path := filepath.Join(x.dir, "operator.json")
		if err = os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		env = append(env, "CHERRYRAMP_OPERATOR="+path)
	}
	x.process, err = process.Start(process.Options{Path: w.sockets.Front, Env: env, Log: w.sockets.Log})
	return err
}

// operator makes the operator's file; empty: there is none.
func (x *outside) operator(known []gateway.Member) (file map[string]json.RawMessage, err error) {
	f, o := x.f, x.f.w.sockets
	file = map[string]json.RawMessage{}
	if o.Operator != nil && f == f.w.fronts[0] {
		if x.signed, err = f.free(); err != nil {
			return nil, err
		}
		if err := json.Unmarshal(o.Operator(x.signed), &file); err != nil {
			return nil, err
		}
	}
	if o.Ephemeral {
		if x.keeper, err = zookeepertest.Open(f.ip + ":0"); err != nil {
			return nil, err
		}
		for _, m := range known {
			x.node(m)
		}
		file["ephemeral"] = fmt.Appendf(nil, `{"servers":[%q],"path":%q}`, x.keeper.Addr(), zookeepertest.Root)
	}
	return file, nil
}

// node tells of a member by an ephemeral node.
func (x *outside) node(m gateway.Member) {
	data := []byte(nil) // it vanishes
	if m.State != rules.Gone {
		n := x.wireMember(m)
		n.ID = ""
		data, _ = json.Marshal(n) // it has no values that JSON does not
	}
	x.keeper.Set(m.Name, string(data))
}

// free gives an address at which nobody listens. Nothing else uses the front's IP
// address, so it stays so.
func (f *Front) free() (string, error) {
	ln, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// serveBoard answers the front's long poll.
func (x *outside) serveBoard(rw http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("watch"), 10, 64)
	linger, err2 := strconv.ParseInt(r.FormValue("linger"), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	p := &poll{after: after, reply: make(chan []byte, 1)}
	w := x.f.w
	w.loop.Post(func() {
		x.polls = append(x.polls, p)
		w.after(min(linger, 5000)*milli, func() { x.tell(p, true) })
		x.tell(p, false)
	})
	select {
	case text := <-p.reply:
		_, _ = rw.Write(text)
	case <-r.Context().Done():
		w.loop.Post(func() { x.drop(p) })
	}
}

// tell answers a poll, if there is something to tell or its time has come. A
// register that can't be reached says nothing.
func (x *outside) tell(p *poll, late bool) {
	if !slices.Contains(x.polls, p) || x.f.mute || !late && x.rev <= p.after {
		return
	}
	x.drop(p)
	first := x.rev - int64(len(x.notices)) // the last that the configuration has
	p.reply <- fmt.Appendf(nil, `{"rev":%d,"notices":[%s]}`, x.rev, bytes.Join(raw(x.notices[max(0, min(p.after, x.rev)-first):]), []byte(",")))
}

func raw(list []json.RawMessage) (out [][]byte) {
	for _, x := range list {
		out = append(out, x)
	}
	return out
}

func (x *outside) drop(p *poll) {
	x.polls = slices.DeleteFunc(x.polls, func(o *poll) bool { return o == p })
}

func (x *outside) publish(n wireNotice) {
	x.notices = append(x.notices, x.notice(n))
	for _, p := range slices.Clone(x.polls) {
		x.tell(p, false)
	}
}

func (x *outside) member(m gateway.Member) {
	if x.keeper != nil {
		x.node(m)
		return
	}
	x.publish(wireNotice{Pool: &wirePool{Revision: x.rev, Members: []wireMember{x.wireMember(m)}}})
}

func (x *outside) purge(p gateway.Purge) { x.publish(wireNotice{Flush: flush(p)}) }

// heard has nothing to do: the front hears by its own polls.
func (x *outside) heard() {}

// mute has the register say nothing for a while.
func (x *outside) mute(mute bool) {
	if x.keeper != nil {
		x.keeper.Freeze(mute)
	}
}

func (x *outside) settle() {}

func (x *outside) held() (calls, kb, open int) {
	return len(x.f.open), process.ResidentKB(x.process.Pid()), process.OpenDescriptors(x.process.Pid())
}

// reload tells the front to read its files anew.
func (x *outside) reload() { x.process.Signal(syscall.SIGHUP) }

// retire ends the front as an operator does. For a moment clients still come, as
// they do until a balancer has noticed; after that they go elsewhere.
func (x *outside) retire(ended func()) {
	x.retired = ended
	x.process.Signal(syscall.SIGTERM)
	x.f.w.after(lingering, func() {
		if !x.over {
			x.f.serves = false
		}
	})
}

func (x *outside) end() {
	x.over = true
	if x.process != nil {
		go x.process.Kill() // where it has not ended
	}
	x.clear()
}

func (x *outside) clear() {
	if x.keeper != nil {
		x.keeper.Close()
	}
	if x.board != nil {
		_ = x.board.Close()
		x.client.CloseIdleConnections()
	}
	_ = os.RemoveAll(x.dir)
}

// submit sends a try as a client does.
func (x *outside) submit(a *ask) {
	w, o := x.f.w, a.op
	object, spec := &w.catalog.objects[o.object], &w.spec.Classes[o.class]
	target := fmt.Sprintf("http://%s/call/%s/%s", x.listen, spec.Name, name(o.object))
	if object.parts > 1 {
		target += fmt.Sprintf("?seg=%d", o.part)
	}
	method, body := http.MethodGet, io.Reader(nil)
	if spec.Write {
		method, body = http.MethodPut, strings.NewReader(payment)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	r, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		panic(err) // it is made of good words only
	}
	r.Header["Req-Id"] = []string{a.id}
	r.Header["Req-Wait-Ms"] = []string{strconv.FormatInt(max(1, (a.until-w.loop.Now())/milli), 10)}
	r.Header["X-Bucket"] = []string{strconv.Itoa(int(object.group))}
	if o.key != "" {
		r.Header["Req-Token"] = []string{o.key}
	}
	if size := w.told(object); size > 0 {
		r.Header["Req-Kb"] = []string{strconv.FormatFloat(size, 'f', 3, 64)}
	}
	if o.tries > 1 {
		r.Header["Req-Retry"] = []string{"1"}
	}
	go func() {
		answer, err := x.ask(r)
		cancel()
		w.loop.Post(func() {
			switch {
			case x.over || errors.Is(err, context.Canceled): // it is known already
			case err != nil:
				a.lost(err)
			default:
				answer.Body, answer.CreatedAt = w.shrink(answer.Body)
				a.Answer(answer)
			}
		})
	}()
}

func (x *outside) ask(r *http.Request) (a gateway.Answer, err error) {
	resp, err := x.client.Do(r)
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
		away, _ := strconv.ParseInt(resp.Header.Get("Srv-Wait-Ms"), 10, 64)
		return gateway.Answer{Kind: gateway.Refused, RetryAfter: away * milli}, nil
	}
	return gateway.Answer{Kind: gateway.Failed, TimedOut: resp.StatusCode == http.StatusGatewayTimeout}, nil
}

func (x *outside) leave(a *ask) { a.cancel() }

// stretchBody writes a body as often as the world on sockets has it.
func (w *World) stretchBody(body string) string { return strings.Repeat(body, max(1, w.stretch)) }

// shrink takes a body back to what it was before it was stretched, and reads when
// the store gave it out. One that is not whole stays as it is.
func (w *World) shrink(body []byte) ([]byte, Micros) {
	once := body
	if n := len(body) / w.stretch; n > 0 && len(body)%w.stretch == 0 && bytes.Equal(body, bytes.Repeat(body[:n], w.stretch)) {
		once = body[:n]
	}
	_, at, _ := bytes.Cut(once, []byte("@"))
	born, _ := strconv.ParseInt(string(at), 10, 64)
	return once, born * milli
}

// Package admin is the admin endpoint of a front: one more address, apart from the
// clients', where a connection carries one call on one line and gets one answer, a line
// that starts with "ok" or "fail".
//
//	PING       ok ready | fail lame duck | fail ending | fail starting
//	INFO       the figures as JSON on one line, then a line eof
//	LAMEDUCK   ok lame duck: the front drains and says no to PING
//	REJOIN     ok rejoined: it takes clients again
//	FLEET ...  what the fleet is asked, where the front is of one; else an unknown call
//
// Inputs are the calls, output what the Handler makes of them on the event loop; this
// package decides nothing. Every caller that has sent a whole line is answered, also one
// that has shut its sending side. What is not a whole line is never carried out.
//
// A session is a goroutine for as long as its connection lasts; sessionsMost bounds them.
// Where more wait for their callers the oldest of these is ended. The address belongs to
// one process: it is not shared, so that no call reaches another process than the one
// that answered before.
package admin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	callMost      = 256                    // bytes of a call with its line end
	fleetCallMost = 4096                   // and where the front is of a fleet
	callTime      = 5 * time.Second        // that a caller may take to send its whole call
	answerTime    = time.Second            // that it may take to take its answer
	writeTry      = 50 * time.Millisecond  // for one try to write it
	writePause    = 5 * time.Millisecond   // between two tries
	linger        = 500 * time.Millisecond // for the caller to end its side behind the answer
	sessionsMost  = 64                     // at once; where more come the oldest that waits for its caller makes room
	openRetry     = 200 * time.Millisecond // until an address that can't be had yet is tried again
	acceptRetry   = 20 * time.Millisecond  // until accepting is tried again after a failure
)

// Handler carries out the calls, on the loop.
type Handler interface {
	// Ready tells whether the front takes clients, and if not, why, in a few words.
	Ready() (ok bool, why string)
	// Info appends the figures, one line of JSON without its line end.
	Info(b []byte) []byte
	// Drain has the front empty itself and say no to Ready.
	Drain()
	// Rejoin has it take clients again; the error tells why it can't.
	Rejoin() error
	// Fleet carries out a call to the fleet, whose answer is told now or later, once;
	// false: the front is of none.
	Fleet(call string, answer func(line string)) bool
}

// Server answers calls at one address.
type Server struct {
	loop    *loop.Loop
	handler Handler
	log     *slog.Logger
	most    int // bytes of a call

	mu       sync.Mutex
	sessions []*session // those that wait for their callers, oldest first
}

// session is one caller's connection.
type session struct {
	server *Server
	conn   *net.TCPConn
}

// New makes a server whose calls the handler carries out; fleet tells that those to the
// fleet are among them, which are longer.
func New(l *loop.Loop, handler Handler, fleet bool, log *slog.Logger) *Server {
	s := &Server{loop: l, handler: handler, log: log.With("part", "admin"), most: callMost}
	if fleet {
		s.most = fleetCallMost
	}
	return s
}

// Listen serves an address for as long as the process lives. Where it is still another
// process's, or the machine lacks room for a listener, it is opened later; any other error
// is the address's.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		go s.accept(listener)
	case errors.Is(err, syscall.EADDRINUSE), transport.IsResourceShortage(err):
		s.log.Warn("the operators' address can't be opened yet", "address", address, "error", err)
		go s.listenLater(address)
	default:
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// listenLater opens an address as soon as it can be had.
func (s *Server) listenLater(address string) {
	for {
		time.Sleep(openRetry)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		s.log.Info("the operators' address is open", "address", address)
		s.accept(listener)
		return
	}
}

// accept starts a session for each caller.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.log.Warn("a caller can't be accepted", "error", err)
			time.Sleep(acceptRetry)
			continue
		}
		x := &session{server: s, conn: conn.(*net.TCPConn)}
		s.enter(x)
		go x.serve()
	}
}

// enter counts a session in, and has the oldest that waits make room where there are too many.
func (s *Server) enter(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= sessionsMost {
		_ = s.sessions[0].conn.Close()
		s.sessions = slices.Delete(s.sessions, 0, 1)
	}
	s.sessions = append(s.sessions, x)
}

// leave counts out a session whose caller has sent its call, or never will.
func (s *Server) leave(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions = slices.DeleteFunc(s.sessions, func(y *session) bool { return y == x })
}

// serve reads one call and answers it.
func (x *session) serve() {
	defer x.conn.Close()
	_ = x.conn.SetReadDeadline(time.Now().Add(callTime)) // it fails for a connection that has ended
	line, err := bufio.NewReaderSize(x.conn, x.server.most).ReadSlice('\n')
	x.server.leave(x)
	var answer []byte
	switch {
	case err == nil:
		answer = x.server.carryOut(bytes.TrimSpace(line))
	case errors.Is(err, bufio.ErrBufferFull):
		answer = []byte("fail call too long\n")
	case errors.Is(err, io.EOF) && len(line) > 0:
		answer = []byte("fail the call is cut short: its line end is missing\n")
	default: // it said nothing, took too long, or made room
		return
	}
	x.reply(answer)
}

// reply writes an answer and waits for the caller to end its side, so that no reset for what
// it may still have sent overtakes the answer.
func (x *session) reply(answer []byte) {
	if err := x.write(answer); err != nil {
		x.server.log.Info("a caller has not taken its answer", "peer", x.conn.RemoteAddr().String(), "error", err)
		return
	}
	if err := x.conn.CloseWrite(); err != nil {
		return
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(linger))
	_, _ = io.Copy(io.Discard, io.LimitReader(x.conn, 1<<20))
}

// write writes a whole answer within answerTime, also where the machine lacks room for a
// while, or does not tell that there is room again.
func (x *session) write(answer []byte) error {
	end := time.Now().Add(answerTime)
	for {
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTry)) // it fails for a connection that has ended
		n, err := x.conn.Write(answer)
		answer = answer[n:]
		again := transport.IsResourceShortage(err) || errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil || !again || time.Now().After(end) {
			return err
		}
		time.Sleep(writePause)
	}
}

// carryOut has the loop carry out a call and gives its answer.
func (s *Server) carryOut(call []byte) []byte {
	answer := make(chan []byte, 1)
	s.loop.Post(func() {
		if fleetCall, ok := bytes.CutPrefix(call, []byte("FLEET")); ok && (len(fleetCall) == 0 || fleetCall[0] == ' ') &&
			s.handler.Fleet(string(bytes.TrimSpace(fleetCall)), func(line string) { answer <- []byte(line + "\n") }) {
			return
		}
		answer <- s.answer(call)
	})
	return <-answer
}

// answer is the answer to a call that is not the fleet's.
func (s *Server) answer(call []byte) []byte {
	switch string(call) {
	case "PING":
		if ok, why := s.handler.Ready(); !ok {
			return []byte("fail " + why + "\n")
		}
		return []byte("ok ready\n")
	case "INFO":
		return append(s.handler.Info(nil), "\neof\n"...)
	case "LAMEDUCK":
		s.handler.Drain()
		return []byte("ok lame duck\n")
	case "REJOIN":
		if err := s.handler.Rejoin(); err != nil {
			return []byte("fail " + err.Error() + "\n")
		}
		return []byte("ok rejoined\n")
	case "":
		return []byte("fail no call\n")
	}
	return fmt.Appendf(nil, "fail unknown call %q; calls are PING, INFO, LAMEDUCK, REJOIN\n", call)
}

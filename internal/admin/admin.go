// Package admin is the admin endpoint of a front. It listens at an address of its own, where
// a connection carries one call on one line and gets one reply, a line that starts with "ok"
// or "fail".
//
//	PING       ok ready | fail lame duck | fail ending | fail starting
//	INFO       the counters as JSON on one line, then a line eof
//	LAMEDUCK   ok lame duck: the front drains and answers PING with fail
//	REJOIN     ok rejoined: it accepts clients again
//	FLEET ...  a call to the fleet, if the front belongs to one; else an unknown call
//
// The Handler carries out the calls on the event loop; this package makes no decisions.
// Every caller that has sent a whole line gets a reply, even if it has closed its sending
// side. An incomplete line is never carried out.
//
// Each connection has a session with a goroutine of its own. maxSessions bounds the sessions
// that wait for a call: when there are more, the oldest is closed. The address is not shared
// between processes (no SO_REUSEPORT), so that no call reaches another process than the one
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
	maxCallBytes        = 256                    // bytes of a call with its line ending
	maxFleetCallBytes   = 4096                   // the same for a front that belongs to a fleet
	callTimeout         = 5 * time.Second        // for a caller to send its whole call
	answerTimeout       = time.Second            // for a caller to receive its reply
	writeAttemptTimeout = 50 * time.Millisecond  // for one attempt to write the reply
	writePause          = 5 * time.Millisecond   // between two attempts
	lingerTimeout       = 500 * time.Millisecond // for the caller to close its side after the reply
	maxSessions         = 64                     // sessions that wait for a call; beyond that the oldest is closed
	listenRetry         = 200 * time.Millisecond // until another try to listen at an address that is not available
	acceptRetry         = 20 * time.Millisecond  // until another try to accept after a failure
)

// Handler carries out the calls, on the loop.
type Handler interface {
	// Ready reports whether the front accepts clients and, if not, gives a short reason.
	Ready() (ok bool, reason string)
	// Info appends the counters as one line of JSON without its line ending.
	Info(b []byte) []byte
	// Drain drains the front, which is not ready from then on.
	Drain()
	// Rejoin makes the front accept clients again, or returns why it can't.
	Rejoin() error
	// Fleet carries out a call to the fleet and calls answer once, now or later. It returns
	// false, and doesn't call answer, if the front belongs to no fleet.
	Fleet(call string, answer func(line string)) bool
}

// Server answers admin calls at one address.
type Server struct {
	loop    *loop.Loop
	handler Handler
	log     *slog.Logger
	maxCall int // maximum bytes of a call

	mu       sync.Mutex
	sessions []*session // sessions that wait for a call, oldest first
}

// session is one caller's connection.
type session struct {
	server *Server
	conn   *net.TCPConn
}

// New returns a server whose calls the handler carries out. fleet tells that the front
// belongs to a fleet, whose calls are longer.
func New(l *loop.Loop, handler Handler, fleet bool, log *slog.Logger) *Server {
	s := &Server{loop: l, handler: handler, log: log.With("part", "admin"), maxCall: maxCallBytes}
	if fleet {
		s.maxCall = maxFleetCallBytes
	}
	return s
}

// Listen serves an address for the lifetime of the process. If another process still holds
// the address, or resources for a listener are lacking, it is opened later. Any other error
// is returned.
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

// listenLater tries until an address can be opened, and serves it.
func (s *Server) listenLater(address string) {
	for {
		time.Sleep(listenRetry)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		s.log.Info("the operators' address is open", "address", address)
		s.accept(listener)
		return
	}
}

// accept starts a session for each connection.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.log.Warn("a caller can't be accepted", "error", err)
			time.Sleep(acceptRetry)
			continue
		}
		sess := &session{server: s, conn: conn.(*net.TCPConn)}
		s.register(sess)
		go sess.serve()
	}
}

// register adds a session to those that wait for a call. At maxSessions it closes the oldest.
func (s *Server) register(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= maxSessions {
		_ = s.sessions[0].conn.Close()
		s.sessions = slices.Delete(s.sessions, 0, 1)
	}
	s.sessions = append(s.sessions, sess)
}

// unregister removes a session that no longer waits for a call.
func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions = slices.DeleteFunc(s.sessions, func(other *session) bool { return other == sess })
}

// serve reads one call and answers it.
func (sess *session) serve() {
	defer sess.conn.Close()
	_ = sess.conn.SetReadDeadline(time.Now().Add(callTimeout)) // fails only if the connection is closed
	line, err := bufio.NewReaderSize(sess.conn, sess.server.maxCall).ReadSlice('\n')
	sess.server.unregister(sess)
	var answer []byte
	switch {
	case err == nil:
		answer = sess.server.execute(bytes.TrimSpace(line))
	case errors.Is(err, bufio.ErrBufferFull):
		answer = []byte("fail call too long\n")
	case errors.Is(err, io.EOF) && len(line) > 0:
		answer = []byte("fail the call is cut short: its line end is missing\n")
	default: // nothing was sent, the call timed out, or the session was closed as the oldest
		return
	}
	sess.reply(answer)
}

// reply writes an answer and waits for the caller to close its side. Closing at once could
// cause a reset, if the caller has sent more data, that overtakes the answer.
func (sess *session) reply(answer []byte) {
	if err := sess.write(answer); err != nil {
		sess.server.log.Info("a caller has not taken its answer", "peer", sess.conn.RemoteAddr().String(), "error", err)
		return
	}
	if err := sess.conn.CloseWrite(); err != nil {
		return
	}
	_ = sess.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(sess.conn, 1<<20))
}

// write writes a whole answer within answerTimeout. Attempts are short and repeated, because
// the kernel may lack memory for a while, or fail to signal that the socket is writable.
func (sess *session) write(answer []byte) error {
	deadline := time.Now().Add(answerTimeout)
	for {
		_ = sess.conn.SetWriteDeadline(time.Now().Add(writeAttemptTimeout)) // fails only if the connection is closed
		n, err := sess.conn.Write(answer)
		answer = answer[n:]
		retry := transport.IsResourceShortage(err) || errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil || !retry || time.Now().After(deadline) {
			return err
		}
		time.Sleep(writePause)
	}
}

// execute carries out a call on the loop and returns its answer.
func (s *Server) execute(call []byte) []byte {
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

// answer carries out a call that is not for the fleet and returns its answer.
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

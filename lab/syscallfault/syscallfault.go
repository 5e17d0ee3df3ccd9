// Package syscallfault starts a program whose system calls can be made to fail, and
// whose wall clock can be stepped. It tests the built program as it is: the program is
// not changed and needs no hook.
//
// The kernel notifies the injector of each system call that a Match selects (seccomp
// user notification). This needs no privileges: the filter applies to the started process
// and its children only. To control the clock, the process is started without its vDSO,
// so that it reads the time by a system call, which the injector answers.
//
// Inputs are the command, the matches, and a function that decides about each call. The
// function runs on one goroutine, and the calling thread is blocked while it runs. The
// package supports Linux on amd64 and arm64.
package syscallfault

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// AnyArg as Match.Arg selects a call regardless of its arguments.
const AnyArg = -1

// Match selects system calls by number and by the low 32 bits of one argument.
type Match struct {
	Number int
	Arg    int // 0 to 5, or AnyArg
	Value  uint32
}

// Call is a system call that a thread of the process is about to make.
type Call struct {
	Process int
	Number  int
	Args    [6]uint64
}

// Descriptor returns what the call's first argument refers to as a file descriptor, such
// as "socket:[4711]", or "" if it is not an open descriptor.
func (c Call) Descriptor() string {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.Process, int32(c.Args[0])))
	if err != nil {
		return ""
	}
	return target
}

// IsSocket reports whether the call's first argument is a socket.
func (c Call) IsSocket() bool { return strings.HasPrefix(c.Descriptor(), "socket:") }

// ReadUint32 reads the 32-bit value that an argument points to; false if it can't be read.
func (c Call) ReadUint32(arg int) (uint32, bool) {
	var b [4]byte
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[arg]), Len: len(b)}}
	_, err := unix.ProcessVMReadv(c.Process, local, remote, 0)
	return binary.NativeEndian.Uint32(b[:]), err == nil
}

// Decide returns the error that a call fails with; 0 lets the call proceed. ShortWrite is not
// an error: it makes a write(2) or pwrite(2) write half of its bytes.
type Decide func(Call) syscall.Errno

// ShortWrite makes a write write half of its bytes, as a full socket or a full disk does. Its
// value is not used by any system error.
const ShortWrite syscall.Errno = 1 << 12

// Injector answers the notified system calls of one started process.
type Injector struct {
	process   int
	listener  int
	decide    Decide
	clockStep atomic.Int64 // offset of the wall clock, in ns
	failures  sync.Map     // errno -> *atomic.Int64
	done      chan struct{}
}

// Start starts a command under an injector. TestMain must call RunLauncher. StepClock
// works only if clock is set. The injector ends with the process.
func Start(cmd *exec.Cmd, matches []Match, clock bool, decide Decide) (*Injector, error) {
	if clock {
		matches = append(matches, Match{Number: unix.SYS_CLOCK_GETTIME, Arg: 0, Value: unix.CLOCK_REALTIME})
	}
	control, err := prepare(cmd, launchOrder{Path: cmd.Path, Matches: matches, WithoutVD: clock})
	if err != nil {
		return nil, fmt.Errorf("syscallfault: %w", err)
	}
	defer unix.Close(control)
	runtime.LockOSThread() // ptrace requests must come from the thread that started the process
	defer runtime.UnlockOSThread()
	err = cmd.Start()
	for _, f := range cmd.ExtraFiles {
		_ = f.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("syscallfault: %w", err)
	}
	injector := &Injector{process: cmd.Process.Pid, decide: decide, done: make(chan struct{})}
	if injector.listener, err = receiveDescriptor(control); err != nil {
		return nil, fmt.Errorf("syscallfault: launcher: %w", err)
	}
	if clock {
		if err := removeVDSO(cmd.Process.Pid); err != nil {
			return nil, fmt.Errorf("syscallfault: vDSO: %w", err)
		}
	}
	go injector.serve()
	return injector, nil
}

// prepare changes a command to start the launcher and returns the injector's end of the control
// socket.
func prepare(cmd *exec.Cmd, order launchOrder) (control int, err error) {
	text, err := json.Marshal(order)
	if err != nil {
		return 0, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd.Path, cmd.Args = self, []string{self}
	cmd.Env = append(cmd.Env, launchVariable+"="+string(text))
	cmd.ExtraFiles = []*os.File{os.NewFile(uintptr(pair[1]), "control")}
	return pair[0], nil
}

func receiveDescriptor(control int) (int, error) {
	var data [1]byte
	rights := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(control, data[:], rights, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) != 1 {
		return 0, errors.Join(errors.New("it ended before it sent a listener"), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}

// StepClock steps the process's wall clock by a duration, relative to its current value.
// The monotonic clock is not affected.
func (injector *Injector) StepClock(by time.Duration) { injector.clockStep.Add(int64(by)) }

// FailureCount returns the number of calls that the injector made fail with errno.
func (injector *Injector) FailureCount(errno syscall.Errno) int64 {
	if n, ok := injector.failures.Load(errno); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Done returns a channel that is closed once the process has ended.
func (injector *Injector) Done() <-chan struct{} { return injector.done }

// notification mirrors struct seccomp_notif, response struct seccomp_notif_resp.
type (
	notification struct {
		ID     uint64
		PID    uint32
		Flags  uint32
		Number int32
		Arch   uint32
		IP     uint64
		Args   [6]uint64
	}
	response struct {
		ID    uint64
		Value int64
		Error int32
		Flags uint32
	}
)

// serve answers notifications until the process has ended.
func (injector *Injector) serve() {
	defer close(injector.done)
	defer unix.Close(injector.listener)
	for {
		poll := []unix.PollFd{{Fd: int32(injector.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err != nil {
			continue // interrupted by a signal
		}
		if poll[0].Revents&unix.POLLIN == 0 {
			return // no process is left under the filter
		}
		var n notification
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(injector.listener), unix.SECCOMP_IOCTL_NOTIF_RECV,
			uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the calling thread has ended meanwhile
		}
		r := injector.respond(n)
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, uintptr(injector.listener), unix.SECCOMP_IOCTL_NOTIF_SEND,
			uintptr(unsafe.Pointer(&r)))
	}
}

func (injector *Injector) respond(n notification) response {
	r := response{ID: n.ID, Flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if n.Number == unix.SYS_CLOCK_GETTIME {
		if injector.writeClock(int(n.PID), uintptr(n.Args[1])) == nil {
			r.Flags = 0
		}
		return r
	}
	errno := injector.decide(Call{Process: int(n.PID), Number: int(n.Number), Args: n.Args})
	if errno == ShortWrite {
		short, err := injector.writeHalf(n)
		if err != nil {
			return r // let the call proceed
		}
		r.Value, r.Error, r.Flags = short.Value, short.Error, 0
	}
	if errno != 0 {
		count, _ := injector.failures.LoadOrStore(errno, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		if errno != ShortWrite {
			r.Error, r.Flags = -int32(errno), 0
		}
	}
	return r
}

// writeHalf writes the first half of the bytes on behalf of the process and returns the result as
// the response to its call.
func (injector *Injector) writeHalf(n notification) (r response, err error) {
	size := int(n.Args[2]) / 2
	if size == 0 {
		return r, errors.New("less than two bytes to write")
	}
	process, err := unix.PidfdOpen(injector.process, 0)
	if err != nil {
		return r, err
	}
	defer unix.Close(process)
	descriptor, err := unix.PidfdGetfd(process, int(int32(n.Args[0])), 0)
	if err != nil {
		return r, err
	}
	defer unix.Close(descriptor)
	half := make([]byte, size)
	local := []unix.Iovec{{Base: &half[0], Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.Args[1]), Len: size}}
	if _, err := unix.ProcessVMReadv(int(n.PID), local, remote, 0); err != nil {
		return r, err
	}
	var wrote int
	if n.Number == unix.SYS_PWRITE64 {
		wrote, err = unix.Pwrite(descriptor, half, int64(n.Args[3]))
	} else {
		wrote, err = unix.Write(descriptor, half)
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		r.Error = -int32(errno)
		return r, nil
	}
	r.Value = int64(wrote)
	return r, nil
}

// writeClock writes the stepped time to an address in the process's memory.
func (injector *Injector) writeClock(process int, address uintptr) error {
	now := unix.NsecToTimespec(time.Now().UnixNano() + injector.clockStep.Load())
	var b [16]byte
	binary.NativeEndian.PutUint64(b[:], uint64(now.Sec))
	binary.NativeEndian.PutUint64(b[8:], uint64(now.Nsec))
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: address, Len: len(b)}}
	_, err := unix.ProcessVMWritev(process, local, remote, 0)
	return err
}

const (
	auxIgnore = 1  // AT_IGNORE
	auxVDSO   = 33 // AT_SYSINFO_EHDR
	wordSize  = 8
)

// removeVDSO waits for a traced process to execute its program, removes the vDSO from the
// auxiliary vector on its stack, and detaches from it.
func removeVDSO(process int) error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process, &status, syscall.WALL, nil); err != nil {
		return err
	}
	if !status.Stopped() || status.StopSignal() != syscall.SIGTRAP {
		return fmt.Errorf("unexpected wait status %#x", status)
	}
	address, err := stackPointer(process)
	if err != nil {
		return err
	}
	readWord := func() (uint64, error) {
		var b [wordSize]byte
		_, err := syscall.PtracePeekData(process, address, b[:])
		address += wordSize
		return binary.NativeEndian.Uint64(b[:]), err
	}
	address += wordSize // skip argc
	for range 2 {
		for { // argv, then envp; each ends with a null pointer
			if v, err := readWord(); err != nil {
				return err
			} else if v == 0 {
				break
			}
		}
	}
	for {
		key, err := readWord()
		if err != nil {
			return err
		}
		if key == 0 {
			return errors.New("no entry in the auxiliary vector")
		}
		if key == auxVDSO {
			var b [wordSize]byte
			binary.NativeEndian.PutUint64(b[:], auxIgnore)
			if _, err := syscall.PtracePokeData(process, address-wordSize, b[:]); err != nil {
				return err
			}
			return syscall.PtraceDetach(process)
		}
		address += wordSize
	}
}

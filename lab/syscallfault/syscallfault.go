// Package syscallfault starts a program whose system calls can be made to fail, and
// whose wall clock can be made to step. It is for tests of the built program: the
// program itself is not changed and needs no hook.
//
// The kernel asks the injector about each system call that a Match picks out (seccomp
// user notification), without special rights: the filter holds for the started process
// alone. For the clock, the process is started without its vDSO, so that the time is
// asked of the kernel and the call can be answered.
//
// Inputs: the command, the matches, and a function that decides about each call. The
// function runs on one goroutine; while it runs the caller waits. It works on Linux on
// amd64 alone.
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

// AnyArg in a Match picks a call out whatever its arguments are.
const AnyArg = -1

// Match picks system calls out, by number and by the low 32 bits of one argument.
type Match struct {
	Number int
	Arg    int // 0 to 5, or AnyArg
	Value  uint32
}

// Call is a system call that the process is about to make.
type Call struct {
	Process int
	Number  int
	Args    [6]uint64
}

// Descriptor is what the call's first argument is as a descriptor, such as
// "socket:[4711]"; empty if it is none.
func (c Call) Descriptor() string {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.Process, int32(c.Args[0])))
	if err != nil {
		return ""
	}
	return target
}

// IsSocket tells whether the call's first argument is a socket.
func (c Call) IsSocket() bool { return strings.HasPrefix(c.Descriptor(), "socket:") }

// ReadUint32 reads the 32 bits that an argument points to; false: it can't be read.
func (c Call) ReadUint32(arg int) (uint32, bool) {
	var b [4]byte
	local := []unix.Iovec{{Base: &b[0], Len: uint64(len(b))}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[arg]), Len: len(b)}}
	_, err := unix.ProcessVMReadv(c.Process, local, remote, 0)
	return binary.NativeEndian.Uint32(b[:]), err == nil
}

// Decide gives the error that a call fails with; 0: the call is made as usual. ShortWrite is no
// error: it has a write(2) or pwrite(2) take half of its bytes.
type Decide func(Call) syscall.Errno

// ShortWrite has a write take half of its bytes, as a full socket or a full disk does. It is a number that
// no error of the system has.
const ShortWrite syscall.Errno = 1 << 12

// Injector answers for the system calls of one started process.
type Injector struct {
	process  int
	listener int
	decide   Decide
	step     atomic.Int64 // of the wall clock, in ns
	made     sync.Map     // errno -> *atomic.Int64
	done     chan struct{}
}

// Start starts a command under an injector. The test's TestMain must call RunLauncher.
// With clock set, StepClock works. The injector ends with the process.
func Start(cmd *exec.Cmd, matches []Match, clock bool, decide Decide) (*Injector, error) {
	if clock {
		matches = append(matches, Match{Number: unix.SYS_CLOCK_GETTIME, Arg: 0, Value: unix.CLOCK_REALTIME})
	}
	control, err := prepare(cmd, launchOrder{Path: cmd.Path, Matches: matches, WithoutVD: clock})
	if err != nil {
		return nil, fmt.Errorf("syscallfault: %w", err)
	}
	defer unix.Close(control)
	runtime.LockOSThread() // the thread that starts a traced process is its tracer
	defer runtime.UnlockOSThread()
	err = cmd.Start()
	for _, f := range cmd.ExtraFiles {
		_ = f.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("syscallfault: %w", err)
	}
	x := &Injector{process: cmd.Process.Pid, decide: decide, done: make(chan struct{})}
	if x.listener, err = receiveDescriptor(control); err != nil {
		return nil, fmt.Errorf("syscallfault: launcher: %w", err)
	}
	if clock {
		if err := removeVDSO(cmd.Process.Pid); err != nil {
			return nil, fmt.Errorf("syscallfault: vDSO: %w", err)
		}
	}
	go x.serve()
	return x, nil
}

// prepare turns a command into its launcher and gives our end of the control socket.
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
		return 0, errors.Join(errors.New("it ended before it handed a listener over"), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}

// StepClock moves the process's wall clock by a span, from what it shows now. Its
// monotonic clock goes on as before.
func (x *Injector) StepClock(by time.Duration) { x.step.Add(int64(by)) }

// FailureCount counts the calls that were made to fail with an error.
func (x *Injector) FailureCount(errno syscall.Errno) int64 {
	if n, ok := x.made.Load(errno); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Done is closed once the process has ended.
func (x *Injector) Done() <-chan struct{} { return x.done }

// notification is struct seccomp_notif, response is struct seccomp_notif_resp.
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

// serve answers the kernel until the process has ended.
func (x *Injector) serve() {
	defer close(x.done)
	defer unix.Close(x.listener)
	for {
		poll := []unix.PollFd{{Fd: int32(x.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err != nil {
			continue // a signal
		}
		if poll[0].Revents&unix.POLLIN == 0 {
			return // nobody is left under the filter
		}
		var n notification
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(x.listener), unix.SECCOMP_IOCTL_NOTIF_RECV,
			uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the caller has ended meanwhile
		}
		r := x.answer(n)
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, uintptr(x.listener), unix.SECCOMP_IOCTL_NOTIF_SEND,
			uintptr(unsafe.Pointer(&r)))
	}
}

func (x *Injector) answer(n notification) response {
	r := response{ID: n.ID, Flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if n.Number == unix.SYS_CLOCK_GETTIME {
		if x.tell(int(n.PID), uintptr(n.Args[1])) == nil {
			r.Flags = 0
		}
		return r
	}
	errno := x.decide(Call{Process: int(n.PID), Number: int(n.Number), Args: n.Args})
	if errno == ShortWrite {
		short, err := x.writeHalf(n)
		if err != nil {
			return r // as usual
		}
		r.Value, r.Error, r.Flags = short.Value, short.Error, 0
	}
	if errno != 0 {
		count, _ := x.made.LoadOrStore(errno, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		if errno != ShortWrite {
			r.Error, r.Flags = -int32(errno), 0
		}
	}
	return r
}

// writeHalf makes a write in the process's place, of half its bytes, and gives what came of it.
func (x *Injector) writeHalf(n notification) (r response, err error) {
	size := int(n.Args[2]) / 2
	if size == 0 {
		return r, errors.New("nothing to halve")
	}
	process, err := unix.PidfdOpen(x.process, 0)
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

// tell writes the stepped time to where the process wants it.
func (x *Injector) tell(process int, address uintptr) error {
	now := unix.NsecToTimespec(time.Now().UnixNano() + x.step.Load())
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
	word      = 8
)

// removeVDSO waits for a traced process to execute its program, takes the vDSO out of
// the auxiliary vector on its stack, and lets it go.
func removeVDSO(process int) error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process, &status, syscall.WALL, nil); err != nil {
		return err
	}
	if !status.Stopped() || status.StopSignal() != syscall.SIGTRAP {
		return fmt.Errorf("unexpected wait status %#x", status)
	}
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(process, &registers); err != nil {
		return err
	}
	at := uintptr(registers.Rsp)
	peek := func() (uint64, error) {
		var b [word]byte
		_, err := syscall.PtracePeekData(process, at, b[:])
		at += word
		return binary.NativeEndian.Uint64(b[:]), err
	}
	at += word // the count of arguments
	for range 2 {
		for { // arguments, then the environment; a null ends each
			if v, err := peek(); err != nil {
				return err
			} else if v == 0 {
				break
			}
		}
	}
	for {
		key, err := peek()
		if err != nil {
			return err
		}
		if key == 0 {
			return errors.New("there is none")
		}
		if key == auxVDSO {
			var b [word]byte
			binary.NativeEndian.PutUint64(b[:], auxIgnore)
			if _, err := syscall.PtracePokeData(process, at-word, b[:]); err != nil {
				return err
			}
			return syscall.PtraceDetach(process)
		}
		at += word
	}
}

package syscallfault

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launchVariable is the environment variable that passes a launchOrder to a launcher as JSON.
const launchVariable = "CHERRYRAMP_SYSCALLFAULT"

// controlDescriptor is the launcher's file descriptor of the socket to the injector.
const controlDescriptor = 3

// Offsets of the fields of struct seccomp_data.
const (
	offsetNumber = 0
	offsetArgs   = 16
	argSize      = 8
)

// launchOrder tells a launcher which program to execute and which calls to filter.
type launchOrder struct {
	Path      string // of the program under test
	Matches   []Match
	WithoutVD bool // stop for the injector, which removes the vDSO
}

// RunLauncher replaces this process by the program under test if it was started as a
// launcher; otherwise it returns at once. TestMain must call it first.
func RunLauncher() {
	text, ok := os.LookupEnv(launchVariable)
	if !ok {
		return
	}
	if err := launch(text); err != nil {
		fmt.Fprintln(os.Stderr, "syscallfault:", err)
		os.Exit(1)
	}
}

// launch installs the filter on this thread, sends its listener to the injector, and
// executes the program in place of this process. It returns only on failure.
func launch(text string) error {
	runtime.LockOSThread()
	var order launchOrder
	if err := json.Unmarshal([]byte(text), &order); err != nil {
		return fmt.Errorf("launch order: %w", err)
	}
	if err := os.Unsetenv(launchVariable); err != nil {
		return err
	}
	path, err := syscall.BytePtrFromString(order.Path)
	if err != nil {
		return err
	}
	argv, err := syscall.SlicePtrFromStrings([]string{order.Path})
	if err != nil {
		return err
	}
	environment, err := syscall.SlicePtrFromStrings(os.Environ())
	if err != nil {
		return err
	}
	listener, err := installFilter(order.Matches)
	if err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	if err := unix.Sendmsg(controlDescriptor, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the listener: %w", err)
	}
	unix.CloseOnExec(controlDescriptor)
	if order.WithoutVD {
		if _, _, errno := syscall.RawSyscall(syscall.SYS_PTRACE, syscall.PTRACE_TRACEME, 0, 0); errno != 0 {
			return fmt.Errorf("ptrace: %w", errno)
		}
	}
	_, _, errno := syscall.RawSyscall(syscall.SYS_EXECVE, uintptr(unsafe.Pointer(path)),
		uintptr(unsafe.Pointer(&argv[0])), uintptr(unsafe.Pointer(&environment[0])))
	return fmt.Errorf("execute %s: %w", order.Path, errno)
}

// installFilter installs a seccomp filter on this thread that notifies the injector of each
// matching call. The filter survives execve and is inherited by child threads and processes.
// It returns the listener descriptor, on which the notifications arrive.
func installFilter(matches []Match) (int, error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, err
	}
	program := filterProgram(matches)
	header := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	descriptor, _, errno := syscall.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags,
		uintptr(unsafe.Pointer(&header)))
	if errno != 0 {
		return 0, errno
	}
	return int(descriptor), nil
}

// filterProgram returns the BPF program that notifies on the matches and allows all other calls.
func filterProgram(matches []Match) []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	skipUnless := func(value uint32, skip uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: skip, K: value}
	}
	result := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	var program []unix.SockFilter
	for _, m := range matches {
		program = append(program, load(offsetNumber))
		if m.Arg == AnyArg {
			program = append(program, skipUnless(uint32(m.Number), 1), result(unix.SECCOMP_RET_USER_NOTIF))
			continue
		}
		program = append(program, skipUnless(uint32(m.Number), 3), load(offsetArgs+argSize*uint32(m.Arg)),
			skipUnless(m.Value, 1), result(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(program, result(unix.SECCOMP_RET_ALLOW))
}

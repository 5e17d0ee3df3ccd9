package syscallfault

import "golang.org/x/sys/unix"

// registerSet is NT_PRSTATUS, the set of the general registers. On arm64 the kernel has no
// PTRACE_GETREGS.
const registerSet = 1

// stackPointer returns the stack pointer of a stopped process that this thread traces.
func stackPointer(process int) (uintptr, error) {
	var registers unix.PtraceRegsArm64
	if err := unix.PtraceGetRegSetArm64(process, registerSet, &registers); err != nil {
		return 0, err
	}
	return uintptr(registers.Sp), nil
}

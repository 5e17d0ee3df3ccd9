package syscallfault

import "syscall"

// stackPointer returns the stack pointer of a stopped process that this thread traces.
func stackPointer(process int) (uintptr, error) {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(process, &registers); err != nil {
		return 0, err
	}
	return uintptr(registers.Rsp), nil
}

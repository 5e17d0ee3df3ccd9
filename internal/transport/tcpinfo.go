package transport

import (
	"encoding/binary"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"cherryramp/internal/loop"
)

const (
	tcpInfoSize        = 56         // bytes of struct tcp_info up to and including tcpi_last_data_recv
	offsetLastDataRecv = 52         // offset of tcpi_last_data_recv, in ms
	maxKernelWait      = 60_000_000 // us; longer times are not plausible and ignored
)

// kernelWait returns how long ago, in us, the kernel received the last bytes of a connection. They
// wait there while the poller is delayed or the connection is not accepted yet, and the sender
// waits too. It is 0 if the kernel does not report it.
func kernelWait(fd int) loop.Micros {
	var info [tcpInfoSize]byte
	size := uint32(len(info))
	_, _, errno := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size < tcpInfoSize {
		return 0
	}
	wait := loop.Micros(binary.NativeEndian.Uint32(info[offsetLastDataRecv:])) * 1000
	if wait > maxKernelWait {
		return 0
	}
	return wait
}

package transport

import (
	"encoding/binary"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"cherryramp/internal/loop"
)

const (
	tcpInfoSize        = 56         // bytes of struct tcp_info up to the field and with it
	offsetLastDataRecv = 52         // of tcpi_last_data_recv, in ms
	longestWait        = 60_000_000 // us: what tells of more is not believed
)

// waited is how long ago, in us, the kernel took in the last bytes of a connection. They wait
// there where the poller is held up, or the connection was not accepted yet, and their sender's
// time runs meanwhile. Where the kernel does not tell it is 0.
func waited(fd int) loop.Micros {
	var info [tcpInfoSize]byte
	size := uint32(len(info))
	_, _, errno := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size < tcpInfoSize {
		return 0
	}
	span := loop.Micros(binary.NativeEndian.Uint32(info[offsetLastDataRecv:])) * 1000
	if span > longestWait {
		return 0
	}
	return span
}

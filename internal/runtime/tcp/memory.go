package tcp

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Memory returns the bytes that the kernel holds for the socket of c: received and not read, sent and
// not acknowledged, and reserved for it. Bookkeeping of the kernel is part of it.
func Memory(c syscall.RawConn) (int, error) {
	n := 0
	err := Set(c, func(fd int) error {
		// SO_MEMINFO returns 32-bit words, as this accessor reads eight of them.
		info, err := unix.GetsockoptICMPv6Filter(fd, unix.SOL_SOCKET, unix.SO_MEMINFO)
		if err != nil {
			return errors.Wrap(err, "get SO_MEMINFO")
		}
		const received, reserved, queued, backlog = 0, 4, 5, 7
		for _, i := range []int{received, reserved, queued, backlog} {
			n += int(info.Data[i])
		}
		return nil
	})
	return n, err
}

package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that was reset, or closed at both ends (TCP_CLOSE).
const tcpClose = 7

// Delivery is what the system knows of the data written to a connection.
type Delivery int

// The states of written data. The system of the peer has acknowledged all of it, some is on its way, or some
// was lost with the connection.
const (
	Acknowledged Delivery = iota
	OnItsWay
	Lost
)

// Delivered returns what the system knows of the data written to c. A connection of which it can't tell counts
// as Acknowledged.
func Delivered(c any) Delivery {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Acknowledged
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Acknowledged
	}
	out := Acknowledged
	_ = raw.Control(func(fd uintptr) {
		// The state is read first: data that was on its way before a reset stays unacknowledged.
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacked, uerr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		switch {
		case ierr != nil || uerr != nil || unacked == 0:
		case info.State == tcpClose:
			out = Lost
		default:
			out = OnItsWay
		}
	})
	return out
}

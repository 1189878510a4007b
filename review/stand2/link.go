//go:build review

package main

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstRetransmission is the time after which a TCP sender first sends unacknowledged data
	// again; each further time is twice as long (RFC 6298, with the minimum that Linux uses).
	firstRetransmission = 200 * time.Millisecond
	pollInterval        = 5 * time.Millisecond
	copyBytes           = 32 << 10
)

// link carries connections from a gateway to an address and can be partitioned, as a network is:
// during a partition nothing is carried and no connection is opened. Bytes that a connection from
// before the partition holds are carried at the sender's first retransmission after its end, also
// if the sender has closed the connection by then. They are lost if the sender has reset it.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
	// cutAt and healAt are the begin and the end of the partition; zero for none.
	cutAt, healAt time.Time
	// down is set while every connection is reset.
	down bool
	// onData is called with the first bytes of each connection, before they are carried.
	onData func(first []byte)
	// onLate is called when held bytes are carried or lost.
	onLate func(bytes int, lost bool)
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: map[*net.TCPConn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

// cut begins a partition that lasts for d.
func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt = time.Now()
	l.healAt = l.cutAt.Add(d)
}

// resetAll resets all connections, and with down each further one until the next call.
func (l *link) resetAll(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// partition returns the partition; now reports whether it lasts.
func (l *link) partition() (cutAt, healAt time.Time, now bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutAt, l.healAt, !l.cutAt.IsZero() && time.Now().Before(l.healAt)
}

func (l *link) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		in := c.(*net.TCPConn)
		l.mu.Lock()
		if l.down {
			_ = in.SetLinger(0)
			_ = in.Close()
			l.mu.Unlock()
			continue
		}
		l.conns[in] = true
		l.mu.Unlock()
		go l.serve(in)
	}
}

func (l *link) serve(in *net.TCPConn) {
	defer func() {
		_ = in.Close()
		l.mu.Lock()
		delete(l.conns, in)
		l.mu.Unlock()
	}()
	if _, healAt, now := l.partition(); now {
		// In a partition the opening packet is lost. Nothing that is sent here is carried.
		time.Sleep(time.Until(healAt))
		return
	}
	c, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.carry(in, out, true)
	}()
	go func() {
		defer both.Done()
		l.carry(out, in, false)
	}()
	both.Wait()
}

// carry copies from one end to the other. request is set for the direction to the target.
func (l *link) carry(from, to *net.TCPConn, request bool) {
	buf := make([]byte, copyBytes)
	first := true
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if first && request && l.onData != nil {
				l.onData(buf[:n])
			}
			first = false
			if !l.hold(from, n) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// hold keeps n bytes that have arrived while a partition lasts, and returns false if they are lost.
func (l *link) hold(from *net.TCPConn, n int) bool {
	sent := time.Now()
	_, healAt, now := l.partition()
	if !now {
		return true
	}
	at, wait := sent, firstRetransmission
	for at.Before(healAt) {
		at = at.Add(wait)
		wait *= 2
	}
	for time.Now().Before(at) {
		time.Sleep(pollInterval)
	}
	lost := isReset(from)
	if l.onLate != nil {
		l.onLate(n, lost)
	}
	return !lost
}

// isReset reports whether the peer has reset the connection, as opposed to one that it has closed in order
// or has open.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := true
	err = raw.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
		const tcpClose = 7
		reset = ierr != nil || info.State == tcpClose
	})
	return reset || err != nil
}

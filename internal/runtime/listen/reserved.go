package listen

import (
	"cmp"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// backlog is the length of the queue of connections to accept; the system has a lower bound of its own.
const backlog = 1<<16 - 1

// Reserved keeps the addresses that a process could have in an attempt to start for the next one, so that
// the system gives them to no connection meanwhile. The sockets are bound and don't listen: a
// connection to such an address is refused, as if there were no process. Of an address that connections
// have, the port is kept, so that no others join them. The zero value holds none; a nil *Reserved keeps
// nothing from one attempt to the next.
type Reserved struct {
	sockets []socket
	// ports are sockets that keep the ports of addresses that are taken.
	ports []socket
}

// portHost is the host of the sockets that keep a port. The system chooses no port for a connection from
// any host that a socket has been bound to on some host; this one is of no use for anything else.
var portHost = net.IPv4(127, 255, 255, 254)

// socket is a socket bound to an address.
type socket struct {
	addr Address
	to   *net.TCPAddr
	fd   int
}

// Listen listens on all addresses in their order, or on none and returns an *Error; it then keeps those
// of addrs that it could have, and no others. The listener of an optional address that is taken is nil.
// The address of callers should be the last one, so that no connection is accepted and then closed
// again.
func (h *Reserved) Listen(addrs ...Address) ([]net.Listener, error) {
	if h == nil {
		h = &Reserved{}
		defer h.Release()
	}
	h.releaseOthers(addrs)
	if err := h.bindAll(addrs); err != nil {
		return nil, err
	}
	lns := make([]net.Listener, len(addrs))
	for i, a := range addrs {
		ln, err := h.listen(a)
		if err == nil {
			lns[i] = ln
		} else if !err.dispensable() {
			Close(lns)
			return nil, err
		}
	}
	h.Release()
	return lns, nil
}

// Release gives up all addresses.
func (h *Reserved) Release() { h.releaseOthers(nil) }

// releaseOthers gives up all addresses but those of addrs.
func (h *Reserved) releaseOthers(addrs []Address) {
	release := func(s socket) bool {
		if slices.Contains(addrs, s.addr) {
			return false
		}
		_ = unix.Close(s.fd)
		return true
	}
	h.sockets, h.ports = slices.DeleteFunc(h.sockets, release), slices.DeleteFunc(h.ports, release)
}

// index returns the index of the socket of an address, or -1 if there is none.
func index(sockets []socket, a Address) int {
	return slices.IndexFunc(sockets, func(s socket) bool { return s.addr == a })
}

// bindAll binds a socket to each address that is not held yet, as far as that is possible. It returns
// the first *Error.
func (h *Reserved) bindAll(addrs []Address) error {
	resolved, err := resolve(addrs)
	if err != nil {
		return err
	}
	for i, a := range addrs {
		if index(h.sockets, a) >= 0 {
			continue
		}
		s, bindErr := bind(a, resolved[i])
		switch {
		case bindErr == nil:
			h.sockets = append(h.sockets, s)
			continue
		case bindErr.Taken():
			h.keepPort(a, resolved[i])
		}
		if err == nil && !bindErr.dispensable() {
			err = bindErr
		}
	}
	return err
}

// keepPort keeps the port of an address that is taken, if the system lets it.
func (h *Reserved) keepPort(a Address, to *net.TCPAddr) {
	if index(h.ports, a) >= 0 {
		return
	}
	if s, err := bind(a, &net.TCPAddr{IP: portHost, Port: to.Port}); err == nil {
		h.ports = append(h.ports, s)
	}
}

// dispensable reports whether the process can serve without the address.
func (e *Error) dispensable() bool { return e.Optional && e.Taken() }

// resolve returns the addresses in the form that the system knows, or the first *Error.
func resolve(addrs []Address) ([]*net.TCPAddr, error) {
	out := make([]*net.TCPAddr, len(addrs))
	for i, a := range addrs {
		_, port, err := net.SplitHostPort(a.HostPort)
		if err != nil {
			return nil, &Error{a, err}
		}
		if _, err := net.LookupPort("tcp", port); err != nil {
			return nil, &Error{a, &net.AddrError{Err: err.Error(), Addr: a.HostPort}}
		}
		if out[i], err = net.ResolveTCPAddr("tcp", a.HostPort); err != nil {
			return nil, &Error{a, err}
		}
		for j, other := range out[:i] {
			if conflict(addrPort(out[i]), addrPort(other)) {
				return nil, &Error{a, &ConflictError{a, addrs[j]}}
			}
		}
	}
	return out, nil
}

func addrPort(a *net.TCPAddr) netip.AddrPort {
	if a.IP == nil {
		return netip.AddrPortFrom(netip.IPv6Unspecified(), uint16(a.Port))
	}
	return netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), uint16(a.Port))
}

// bind returns a socket that is bound to an address.
func bind(a Address, to *net.TCPAddr) (socket, *Error) {
	s := socket{addr: a, to: to}
	wildcard := to.IP == nil || to.IP.IsUnspecified()
	var err error
	if s.fd, err = s.open(wildcard || to.IP.To4() == nil); wildcard && errors.Is(err, unix.EAFNOSUPPORT) {
		s.fd, err = s.open(false) // a machine without IPv6
	}
	if err != nil {
		return socket{}, s.failed(err)
	}
	return s, nil
}

// open opens and binds the socket; six says whether it is one of IPv6, on which an unspecified address
// is that of both families.
func (s socket) open(six bool) (fd int, err error) {
	ip := addrPort(s.to).Addr()
	family, addr := unix.AF_INET, unix.Sockaddr(&unix.SockaddrInet4{Port: s.to.Port})
	switch {
	case six && ip.IsUnspecified():
		family, addr = unix.AF_INET6, &unix.SockaddrInet6{Port: s.to.Port}
	case six:
		family, addr = unix.AF_INET6, &unix.SockaddrInet6{Port: s.to.Port, ZoneId: zone(s.to.Zone), Addr: ip.As16()}
	case !ip.IsUnspecified():
		addr = &unix.SockaddrInet4{Port: s.to.Port, Addr: ip.As4()}
	}
	if fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0); err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil && six {
		only := 1
		if ip.IsUnspecified() {
			only = 0
		}
		err = unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_V6ONLY, only)
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, os.NewSyscallError("setsockopt", err)
	}
	_ = tcp.BufferSizes(cmp.Or(s.addr.Buffers, socketbuffer.Fixed()))(fd) // a listener works without them
	if err = unix.Bind(fd, addr); err != nil {
		_ = unix.Close(fd)
		return -1, os.NewSyscallError("bind", err)
	}
	return fd, nil
}

// zone returns the index of an interface, which may be given by its name.
func zone(name string) uint32 {
	if ifi, err := net.InterfaceByName(name); err == nil {
		return uint32(ifi.Index)
	}
	n, _ := strconv.ParseUint(name, 10, 32)
	return uint32(n)
}

// listen returns a listener on an address, which is not held any more then; nil if it was not held.
func (h *Reserved) listen(a Address) (net.Listener, *Error) {
	i := index(h.sockets, a)
	if i < 0 {
		return nil, nil
	}
	s := h.sockets[i]
	if err := unix.Listen(s.fd, backlog); err != nil {
		return nil, s.failed(os.NewSyscallError("listen", err))
	}
	h.sockets = slices.Delete(h.sockets, i, i+1)
	f := os.NewFile(uintptr(s.fd), a.HostPort)
	defer f.Close() // the listener has a descriptor of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, s.failed(err)
	}
	return ln, nil
}

// failed returns the error of the socket's address.
func (s socket) failed(err error) *Error {
	return &Error{s.addr, &net.OpError{Op: "listen", Net: "tcp", Addr: s.to, Err: err}}
}

// Close closes listeners, of which any may be nil.
func Close(lns []net.Listener) {
	for _, ln := range lns {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

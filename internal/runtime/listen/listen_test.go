package listen_test

import (
	"net"
	"strconv"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/runtime/listen"
)

func at(setting, hostPort string) listen.Address {
	return listen.Address{Setting: setting, HostPort: hostPort}
}

// freeAddr returns an address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestHeldAddressIsNotLost has one of two addresses taken. The other one is kept for the next attempt, and
// looks as if nobody had it.
func TestHeldAddressIsNotLost(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var h listen.Reserved
	addrs := []listen.Address{at("a", freeAddr(t)), at("b", taken.Addr().String()), at("c", freeAddr(t))}
	for range 3 {
		var addrErr *listen.Error
		if _, err := h.Listen(addrs...); !errors.As(err, &addrErr) || addrErr.Setting != "b" || !addrErr.Taken() {
			t.Fatalf("error = %v, want that b is taken", err)
		}
	}
	for _, a := range []listen.Address{addrs[0], addrs[2]} {
		to, err := net.ResolveTCPAddr("tcp", a.HostPort)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := net.DialTCP("tcp", to, taken.Addr().(*net.TCPAddr)); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("a connection could take address %s: %v, %v", a.Setting, c, err)
		}
		if _, err := net.Dial("tcp", a.HostPort); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a connection to address %s: %v, want that it is refused", a.Setting, err)
		}
	}
	_ = taken.Close()
	lns, err := h.Listen(addrs...)
	if err != nil {
		t.Fatal(err)
	}
	for i, ln := range lns {
		defer ln.Close()
		c, err := net.Dial("tcp", addrs[i].HostPort)
		if err != nil {
			t.Errorf("no connection to address %s: %v", addrs[i].Setting, err)
			continue
		}
		defer c.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = far.Close()
	}
}

// TestPortOfConnectionsIsKept guards against an address that never gets free, since the system gives its port
// to further connections while a start waits for those that have it.
func TestPortOfConnectionsIsKept(t *testing.T) {
	far := [2]net.Listener{}
	for i := range far {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		far[i] = ln
	}
	for _, host := range []string{"127.0.0.1", "0.0.0.0", ""} {
		holder, err := net.Dial("tcp", far[0].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer holder.Close()
		port := holder.LocalAddr().(*net.TCPAddr).Port
		var h listen.Reserved
		defer h.Release()
		for range 2 {
			var addrErr *listen.Error
			if _, err := h.Listen(at("a", net.JoinHostPort(host, strconv.Itoa(port)))); !errors.As(err, &addrErr) || !addrErr.Taken() {
				t.Fatalf("host %q: error = %v, want that it is taken", host, err)
			}
		}
		onPort := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, port<<16|port)
			})
		}}
		if c, err := onPort.Dial("tcp", far[1].Addr().String()); err == nil {
			t.Errorf("host %q: a connection from %v joined the one that has the port", host, c.LocalAddr())
			_ = c.Close()
		}
	}
}

// TestKeptPortIsListenedOn guards against a kept port that is in the way of its own start.
func TestKeptPortIsListenedOn(t *testing.T) {
	for _, host := range []string{"127.0.0.1", "0.0.0.0", ""} {
		taken, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		var h listen.Reserved
		a := at("a", net.JoinHostPort(host, strconv.Itoa(taken.Addr().(*net.TCPAddr).Port)))
		if _, err := h.Listen(a); err == nil {
			t.Fatalf("host %q: no error", host)
		}
		_ = taken.Close()
		lns, err := h.Listen(a)
		if err != nil {
			t.Errorf("host %q: %v", host, err)
		}
		listen.Close(lns)
	}
}

// TestChangedAddressIsReleased changes the address between two attempts, as an operator may the settings.
func TestChangedAddressIsReleased(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	var h listen.Reserved
	before := at("a", freeAddr(t))
	for _, a := range []listen.Address{before, at("a", freeAddr(t))} {
		if _, err := h.Listen(a, at("b", taken.Addr().String())); err == nil {
			t.Fatal("no error")
		}
	}
	to, err := net.ResolveTCPAddr("tcp", before.HostPort)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTCP("tcp", to, taken.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatalf("the address before is still held: %v", err)
	}
	_ = c.Close()
}

// TestWildcardIsOfBothFamilies compares addresses with those of the standard library.
func TestWildcardIsOfBothFamilies(t *testing.T) {
	for _, host := range []string{"", "0.0.0.0", "::", "127.0.0.1", "::1", "localhost"} {
		std, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Logf("the machine has no %q: %v", host, err)
			continue
		}
		_ = std.Close()
		lns, err := listen.All(at("a", net.JoinHostPort(host, "0")))
		if err != nil {
			t.Errorf("host %q: %v", host, err)
			continue
		}
		defer lns[0].Close()
		got, want := lns[0].Addr().(*net.TCPAddr), std.Addr().(*net.TCPAddr)
		if !got.IP.Equal(want.IP) {
			t.Errorf("host %q: address %s, want %s", host, got.IP, want.IP)
		}
		if want.IP.IsUnspecified() {
			c, err := net.Dial("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(got.Port)))
			if err != nil {
				t.Errorf("host %q: %v", host, err)
				continue
			}
			_ = c.Close()
		}
	}
}

// TestAddressThatNoWaitCanGive has addresses that no process can have.
func TestAddressThatNoWaitCanGive(t *testing.T) {
	addr := freeAddr(t)
	_, port, _ := net.SplitHostPort(addr)
	for name, addrs := range map[string][]listen.Address{
		"same":     {at("a", addr), at("b", addr)},
		"name":     {at("a", addr), at("b", net.JoinHostPort("localhost", port))},
		"wildcard": {at("a", addr), at("b", ":"+port)},
		"no port":  {at("a", "127.0.0.1")},
		"bad port": {at("a", "127.0.0.1:none")},
	} {
		var addrErr *listen.Error
		if _, err := listen.All(addrs...); !errors.As(err, &addrErr) || addrErr.Taken() || addrErr.Missing() {
			t.Errorf("%s: error = %v, want one that lasts", name, err)
		}
	}
	if _, err := listen.All(at("a", "192.0.2.1:1")); err == nil || !err.(*listen.Error).Missing() {
		t.Errorf("error = %v, want that the machine does not have the address", err)
	}
}

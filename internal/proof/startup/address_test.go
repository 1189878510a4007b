package startup_test

import (
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/sockets"
)

// TestConnectionAtAnAddressDoesNotEndStart guards against processes that end because a connection, open or
// in TIME_WAIT, has one of their addresses for longer than the process before could.
func TestConnectionAtAnAddressDoesNotEndStart(t *testing.T) {
	t.Parallel()
	const longest = (graceS + 3) * time.Second // that the process before may have it
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		for _, c := range []struct {
			name   string
			frees  time.Duration // the time until the system frees the address
			linger int           // of its socket, in seconds; 0 leaves no TIME_WAIT
			told   string        // what the log tells of who has the address
		}{
			{"open", 0, 0, `holder=connection holderInode=[1-9][0-9]* holderRemote="127\.[0-9.]+:[0-9]+" holderSockets=1 holderState=established holderUid=[0-9]+ `},
			{"closed", 60 * time.Second, -1, `holder=timeWait holderInode=0 holderRemote="127\.[0-9.]+:[0-9]+" holderSockets=1 holderState=timeWait `},
		} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s := newServer(t, s.role)
				conn := connectFrom(t, s.lastAddr)
				if err := conn.SetLinger(c.linger); err != nil {
					t.Fatal(err)
				}
				if c.frees > 0 {
					_ = conn.Close()
				}
				p := s.start(t)
				for end := time.Now().Add(longest + 2*time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if p.Exited() {
						t.Fatalf("ended with status %d while a connection had its address", p.WaitExit())
					}
				}
				if told := regexp.MustCompile(`event=startWaits .*` + c.told); !told.MatchString(p.Log()) {
					t.Errorf("no line like %s", told)
				}
				_ = conn.Close()
				for end := time.Now().Add(c.frees); !started.MatchString(p.Log()) && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				}
				awaitStart(t, p)
			})
		}
	})
}

// connectFrom returns a connection that has the local address addr.
func connectFrom(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	local, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(local.IP.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conn, err := net.DialTCP("tcp", local, ln.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	go func() { // the end that closes first is left in TIME_WAIT
		_, _ = far.Read(make([]byte, 1))
		_ = far.Close()
	}()
	return conn
}

// TestOutgoingConnectionHoldsNoAddress guards against processes that cannot start because an outgoing
// connection of another one got their address.
func TestOutgoingConnectionHoldsNoAddress(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"gateway", "entry"} {
		ln := listenWhereFewConnect(t)
		s := newServerAt(t, role, ln.Addr().String())
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			s.start(t)
			checked, end := 0, time.Now().Add(startTime)
			for {
				_ = ln.SetDeadline(end)
				c, err := ln.Accept()
				if err != nil {
					break
				}
				defer c.Close()
				addr := c.RemoteAddr().(*net.TCPAddr)
				if sharedPort(t, addr, ln.Addr()) {
					continue
				}
				if checked++; checked == 1 {
					end = time.Now().Add(3 * time.Second)
				}
				taken, err := net.ListenTCP("tcp", addr)
				if err != nil {
					t.Errorf("an open connection of the process holds %s: %v", addr, err)
					continue
				}
				_ = taken.Close()
			}
			if checked == 0 {
				t.Errorf("no connection with a port of its own within %v", startTime)
			}
		})
	}
}

// sharedPort reports whether a socket other than the connection between local and remote has the address
// local: the system gives a port to connections to several addresses at once.
func sharedPort(t *testing.T, local, remote net.Addr) bool {
	t.Helper()
	l, r := local.(*net.TCPAddr).AddrPort(), remote.(*net.TCPAddr).AddrPort()
	found, err := sockets.Find(func(s sockets.Socket) bool { return s.Local == l && s.Remote != r })
	if err != nil {
		t.Fatal(err)
	}
	return len(found) > 0
}

// listenWhereFewConnect listens on a loopback address that has few connections, if the system has one.
func listenWhereFewConnect(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		ln, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.(*net.TCPListener)
}

// TestWaitingStartKeepsItsAddresses guards against processes that lose an address to a connection while they
// wait for another one, and against those that look as if they served meanwhile.
func TestWaitingStartKeepsItsAddresses(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		for taken := range s.addrs {
			if taken == "metricsAddr" {
				continue // the process serves without it
			}
			t.Run(taken, func(t *testing.T) {
				t.Parallel()
				s := newServer(t, s.role)
				ln, err := net.Listen("tcp", s.addrs[taken])
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				p := s.start(t)
				for end := time.Now().Add(startTime); !strings.Contains(p.Log(), "event=startWaits"); time.Sleep(time.Millisecond) {
					if p.Exited() || time.Now().After(end) {
						t.Fatal("the process does not tell that it waits")
					}
				}
				for range 300 {
					for name, addr := range s.addrs {
						if name == taken {
							continue
						}
						local, err := net.ResolveTCPAddr("tcp", addr)
						if err != nil {
							t.Fatal(err)
						}
						if c, err := net.DialTCP("tcp", local, ln.Addr().(*net.TCPAddr)); err == nil {
							_ = c.SetLinger(0)
							_ = c.Close()
							t.Fatalf("a connection took %s", name)
						}
						if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
							_ = c.Close()
							t.Fatalf("%s accepts a connection", name)
						}
					}
					time.Sleep(time.Millisecond)
				}
				_ = ln.Close()
				awaitStart(t, p)
			})
		}
	})
}

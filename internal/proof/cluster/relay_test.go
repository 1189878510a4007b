package cluster_test

import (
	"net"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

// TestRestoreEndsWhatIsGone has callers leave while a relay is silent: the target
// sees their end once the relay works again, also of those that leave then.
func TestRestoreEndsWhatIsGone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r := cluster.NewRelay(t, ln.Addr().String())
	var near, far [2]net.Conn
	for i := range near {
		if near[i], err = net.Dial("tcp", r.Addr()); err != nil {
			t.Fatal(err)
		}
		if far[i], err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		if _, err := near[i].Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		var b [1]byte
		if _, err := far[i].Read(b[:]); err != nil {
			t.Fatal(err)
		}
	}
	ended := func(c net.Conn) bool {
		if err := c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		var b [1]byte
		_, err := c.Read(b[:])
		timeout, ok := err.(net.Error)
		return err != nil && !(ok && timeout.Timeout())
	}
	r.Silence()
	_ = near[0].Close()
	if ended(far[0]) {
		t.Error("the end of a silent connection was passed on")
	}
	r.Restore()
	if !ended(far[0]) {
		t.Error("a connection whose end had gone stays open")
	}
	if ended(far[1]) {
		t.Error("a connection ended by itself")
	}
	_ = near[1].Close()
	if !ended(far[1]) {
		t.Error("a connection whose end goes later stays open")
	}
}

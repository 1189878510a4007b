package tcp_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// TestUnansweredIsResetUntilItsAnswer guards against a call that the system goes on sending after its connection was
// closed, and against a reset of a connection that has no call.
func TestUnansweredIsResetUntilItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		calls, answers int
		reset          bool
	}{
		"unused":              {0, 0, false},
		"unanswered":          {1, 0, true},
		"answered":            {1, 1, false},
		"second unanswered":   {2, 1, true},
		"second one answered": {2, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			near, err := tcp.DialUnanswered(tcp.NewDialer(time.Second, tcp.UnackedTimeout(time.Second)).DialContext)(t.Context(), "tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			far, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			buf := make([]byte, 8)
			for i := range c.calls {
				_, err := near.Write([]byte("call"))
				if err == nil {
					_, err = io.ReadFull(far, buf[:4])
				}
				if err == nil && i < c.answers {
					if _, err = far.Write([]byte("answer")); err == nil {
						_, err = io.ReadFull(near, buf[:6])
					}
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			_ = near.Close()
			_ = far.SetReadDeadline(time.Now().Add(time.Second))
			_, err = far.Read(buf)
			if got := errors.Is(err, syscall.ECONNRESET); got != c.reset || !got && err != io.EOF {
				t.Errorf("the peer read %v, want a reset: %v", err, c.reset)
			}
		})
	}
}

package dispatch_test

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestMessageWithoutEnd has a peer send a message without end, as one in trouble may:
// the link ends, and has not read much.
func TestMessageWithoutEnd(t *testing.T) {
	const most = 16 << 20
	near, far := net.Pipe()
	l := dispatch.NewLink(near, clock.System{}, func(*dispatch.Link, string, json.RawMessage) (any, error) { return nil, nil })
	defer l.Close()
	sent := 0
	if _, err := far.Write([]byte(`{"jsonrpc":"2.0","method":"load","params":"`)); err != nil {
		t.Fatal(err)
	}
	filler := make([]byte, 64<<10)
	for i := range filler {
		filler[i] = 'x'
	}
	for sent < 2*most {
		n, err := far.Write(filler)
		sent += n
		if err != nil {
			break
		}
	}
	if sent > most {
		t.Errorf("%d bytes of a message were read", sent)
	}
	select {
	case <-l.Done():
	case <-time.After(5 * time.Second):
		t.Error("the link goes on")
	}
}

package tcp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// pair returns the two ends of a connection: near is dialed, far is accepted, both by b.
func pair(t *testing.T, b *tcp.Buffers) (near, far net.Conn) {
	t.Helper()
	lns, err := listen.All(listen.Address{HostPort: "127.0.0.1:0", Buffers: socketbuffer.Floor()})
	if err != nil {
		t.Fatal(err)
	}
	ln := lns[0]
	defer ln.Close()
	near, err = b.Dial(t.Context(), tcp.NewDialer(time.Second), socketbuffer.Server, "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = b.Listener(ln, socketbuffer.Caller).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// TestSizesAreReleasedOnce guards against sizes that are lost, or given out twice, by connections closed
// twice or never opened.
func TestSizesAreReleasedOnce(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	b := tcp.NewBuffers(socketbuffer.NewBudget(64<<20, 100), log)
	near, far := pair(t, b)
	if n := b.Budget().Open(); n != 2 {
		t.Errorf("%d connections have sizes, want 2", n)
	}
	var wg sync.WaitGroup
	for _, c := range []net.Conn{near, far, near, far} {
		wg.Go(func() { _ = c.Close() })
	}
	wg.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := b.Dial(ctx, tcp.NewDialer(time.Second), socketbuffer.Store, "tcp", "127.0.0.1:9"); err == nil {
		t.Error("a cancelled dial opened a connection")
	}
	if diff := cmp.Diff([]int{0, 0}, []int{b.Budget().Open(), b.Budget().Given()}); diff != "" {
		t.Errorf("open connections and their bytes (-want +got):\n%s", diff)
	}
}

// TestWritesInPiecesAreWhole guards against bytes that are lost, doubled or without a deadline at the floor,
// where writes are cut into pieces, and against more memory than the sizes allow.
func TestWritesInPiecesAreWhole(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	b := tcp.NewBuffers(socketbuffer.NewBudget(0, 1), log)
	near, far := pair(t, b)
	sent := bytes.Repeat([]byte("0123456789abcdef+"), 20_000)
	go func() {
		_, _ = far.Write(sent)
		_ = far.(interface{ CloseWrite() error }).CloseWrite()
	}()
	got, err := io.ReadAll(near)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d bytes read, error %v; want the %d that were written", len(got), err, len(sent))
	}
	_ = near.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := near.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("writing to a peer that does not read: %v, want a time-out", err)
	}
	held, err := b.Usage()
	if err != nil {
		t.Fatal(err)
	}
	if most := socketbuffer.Floor().Bytes(); held[socketbuffer.Server] > most || held[socketbuffer.Caller] > most {
		t.Errorf("held %v, want at most %d for each", held, most)
	}
	_ = far.Close()
	time.Sleep(10 * time.Millisecond)
	if _, err := near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("writing to a closed connection: %v", err)
	}
}

// TestKernelKeepsToSizes guards against sizes that count for less than the kernel holds, from the floor to the
// largest, for peers with large windows that have read fast and then stop.
func TestKernelKeepsToSizes(t *testing.T) {
	for _, memory := range []int{0, 1 << 20, 16 << 20, 64 << 20, 256 << 20, 1 << 30} {
		t.Run(fmt.Sprintf("memory=%dMB", memory>>20), func(t *testing.T) {
			t.Parallel()
			log, _ := logtest.NewNullLogger()
			b := tcp.NewBuffers(socketbuffer.NewBudget(memory, 2), log)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			near, err := b.Dial(t.Context(), tcp.NewDialer(time.Second), socketbuffer.Server, "tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			far, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			var wg sync.WaitGroup
			for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
				wg.Go(func() { _, _ = io.CopyN(io.Discard, ends[1], 4<<20) })
				wg.Go(func() {
					_ = ends[0].SetWriteDeadline(time.Now().Add(time.Second))
					for p := make([]byte, 32<<10); ; {
						if _, err := ends[0].Write(p); err != nil {
							return
						}
					}
				})
			}
			wg.Wait()
			held, err := b.Usage()
			if err != nil {
				t.Fatal(err)
			}
			if n := held[socketbuffer.Server]; n > b.Budget().Given() || n == 0 {
				t.Errorf("the kernel holds %d bytes, want at most %d", n, b.Budget().Given())
			}
			t.Log(held, b.Budget().Given())
		})
	}
}

package cluster

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptPause is the pause after a failed accept: as net/http pauses first.
const acceptPause = 5 * time.Millisecond

// Relay passes TCP connections on to a target until it is told to fail.
type Relay struct {
	ln net.Listener

	mu sync.Mutex
	// rewrite changes what comes from the target, if set.
	rewrite func(p []byte) []byte
	target  string
	conns   map[*relayed]bool
	down    bool
	// hold are the silent directions of new connections.
	hold  [2]bool
	delay atomic.Int64 // time.Duration
	// trickle is the pause between single bytes from the target; 0 for none.
	trickle atomic.Int64 // time.Duration
	// carried counts the connections that reached the target.
	carried atomic.Int64
	// healed is closed at the end of a partition; nil while there is none.
	healed chan struct{}
	// watch is called with the first bytes of each connection, if set.
	watch func(first []byte)
}

// Direction is one of the two in which a connection carries data.
type Direction int

// Directions of a connection.
const (
	ToTarget Direction = iota
	FromTarget
)

type relayed struct {
	in, out net.Conn
	silent  [2]atomic.Bool // by Direction
	delay   *atomic.Int64
	trickle *atomic.Int64
	rewrite func(p []byte) []byte
	relay   *Relay
	// ended tells that an end has gone, and restored that the ends of a silent
	// connection are passed on again.
	ended, restored atomic.Bool
}

// NewRelay listens on loopback and passes connections on to target, host:port.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{target: target, ln: ln, conns: map[*relayed]bool{}}
	go r.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		r.Cut()
	})
	return r
}

// Addr returns the address to dial, host:port.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Carried returns the number of connections that reached the target so far.
func (r *Relay) Carried() int64 { return r.carried.Load() }

// URL returns the base URL to dial.
func (r *Relay) URL() string { return "http://" + r.Addr() }

// rewriteWith has new connections change what comes from the target.
func (r *Relay) rewriteWith(f func(p []byte) []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewrite = f
}

// Retarget has new connections go to another target.
func (r *Relay) Retarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Cut closes all connections and refuses new ones until Restore.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.conns {
		c.close()
	}
}

// Silence drops all that existing connections carry from now on, without
// closing them. New connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent[ToTarget].Store(true)
		c.silent[FromTarget].Store(true)
	}
}

// OneWay drops all that existing and new connections carry in one direction,
// without closing them, until Restore.
func (r *Relay) OneWay(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold[d] = true
	for c := range r.conns {
		c.silent[d].Store(true)
	}
}

// Delay holds back all that connections carry by d until Restore.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Trickle passes on what comes from the target a byte at a time, with a pause between
// two, until Restore.
func (r *Relay) Trickle(pause time.Duration) { r.trickle.Store(int64(pause)) }

// Blackhole silences existing and new connections until Restore.
func (r *Relay) Blackhole() {
	r.Silence()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold = [2]bool{true, true}
}

// Partition holds back all that connections carry until Restore, as a network does whose systems send it again.
// What a connection carries is then lost if its sender has reset it, and passed on if it is open or was closed in
// order. New connections are not passed on before Restore, and closed then.
func (r *Relay) Partition() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed == nil {
		r.healed = make(chan struct{})
	}
}

// partition returns a channel that is closed at the end of the partition; nil while there is none.
func (r *Relay) partition() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

// Watch calls f with the first bytes of each new connection before they are passed on.
func (r *Relay) Watch(f func(first []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch = f
}

// Restore lets new connections through again. Silent ones of which an end has gone
// are closed.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healed != nil {
		close(r.healed)
		r.healed = nil
	}
	r.down, r.hold = false, [2]bool{}
	r.delay.Store(0)
	r.trickle.Store(0)
	for c := range r.conns {
		c.restored.Store(true)
		if c.ended.Load() {
			c.close()
		}
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The test has too many files open: connections that come stay without
			// an answer until there are fewer.
			fmt.Fprintln(os.Stderr, "relay:", err)
			time.Sleep(acceptPause)
			continue
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	down, hold, target, rewrite := r.down, r.hold, r.target, r.rewrite
	r.mu.Unlock()
	if down {
		return
	}
	if healed := r.partition(); healed != nil {
		<-healed
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	r.carried.Add(1)
	c := &relayed{in: in, out: out, delay: &r.delay, trickle: &r.trickle, rewrite: rewrite, relay: r}
	c.silent[ToTarget].Store(hold[ToTarget])
	c.silent[FromTarget].Store(hold[FromTarget])
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(in, out, ToTarget) })
	wg.Go(func() { c.pass(out, in, FromTarget) })
	wg.Wait()
	c.close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (c *relayed) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// pass copies from one end to the other. The end of a silent connection is
// not passed on.
func (c *relayed) pass(from, to net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for first := true; ; first = false {
		n, err := from.Read(buf)
		if first && d == ToTarget && n > 0 {
			c.relay.first(buf[:n])
		}
		if healed := c.relay.partition(); n > 0 && healed != nil {
			<-healed
			if isReset(from) {
				err = syscall.ECONNRESET
				n = 0
			}
		}
		if wait := time.Duration(c.delay.Load()); wait > 0 {
			time.Sleep(wait)
		}
		silent := c.silent[d].Load()
		if n > 0 && !silent {
			data := buf[:n]
			if d == FromTarget && c.rewrite != nil {
				data = c.rewrite(data)
			}
			if werr := c.write(to, data, d); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		c.ended.Store(true)
		if !silent || c.restored.Load() {
			c.close()
		}
		return
	}
}

// first passes the first bytes of a connection to Watch's function.
func (r *Relay) first(p []byte) {
	r.mu.Lock()
	watch := r.watch
	r.mu.Unlock()
	if watch != nil {
		watch(p)
	}
}

// isReset reports whether the peer of c has reset it, in place of closing it in order.
func isReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	const closed = 7 // TCP_CLOSE
	reset := true
	err = raw.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = ierr != nil || info.State == closed
	})
	return reset || err != nil
}

// write passes data on, byte by byte while what comes from the target trickles.
func (c *relayed) write(to net.Conn, data []byte, d Direction) error {
	for len(data) > 0 {
		n := len(data)
		pause := time.Duration(c.trickle.Load())
		if d == FromTarget && pause > 0 {
			n = 1
			time.Sleep(pause)
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

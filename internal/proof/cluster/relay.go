package cluster

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Relay passes TCP connections on to a target until it is told to fail.
type Relay struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	conns map[*relayed]bool
	down  bool
	hold  bool
}

type relayed struct {
	in, out net.Conn
	silent  atomic.Bool
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

// URL returns the base URL to dial.
func (r *Relay) URL() string { return "http://" + r.Addr() }

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
		c.silent.Store(true)
	}
}

// Blackhole silences existing and new connections until Restore.
func (r *Relay) Blackhole() {
	r.Silence()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold = true
}

// Restore lets new connections through again.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.hold = false, false
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	down, hold := r.down, r.hold
	r.mu.Unlock()
	if down {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	c := &relayed{in: in, out: out}
	c.silent.Store(hold)
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.pass(in, out) })
	wg.Go(func() { c.pass(out, in) })
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
func (c *relayed) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		silent := c.silent.Load()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			c.close()
		}
		return
	}
}

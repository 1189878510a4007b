//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damaskport/damaskport/platform/standin"
)

const (
	host = "shop.example"
	key  = "k1"
	// startTimeout bounds the start of a process.
	startTimeout = 15 * time.Second
	// reportEvery is how often a server reports its entry to the store.
	reportEvery = 1200 * time.Millisecond
)

// world is the platform, the gateways, the backend servers and the callers of a case.
type world struct {
	trouble  bool
	platform *standin.Platform
	dir      string
	began    time.Time
	nextID   atomic.Int64
	gateways []*gateway
	caller   *http.Transport
	stop     chan struct{}

	mu      sync.Mutex
	record  *os.File
	procs   []*exec.Cmd
	servers []*server
	seq     int64
}

// gateway is a gateway process.
type gateway struct {
	name     string
	url      string
	ready    string
	settings string // path of the settings file
	cmd      *exec.Cmd
}

// server is a backend server process.
type server struct {
	id, addr, pool, version string
	// backlog bounds the connections that wait to be accepted; 0 for the system's bound.
	backlog int
	born    int64
	cmd     *exec.Cmd
	// ran is called with the id of each request that the process runs; nil for no call.
	ran func(id string)
	// state is what the server reports; empty while it reports nothing.
	state string
	// runs is the number of requests that the process ran.
	runs atomic.Int64
}

func newWorld(record string) *world {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", platform: standin.NewPlatform(), began: time.Now(), caller: &http.Transport{DisableCompression: true}, stop: make(chan struct{})}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		panic(err)
	}
	if record != "" {
		if w.record, err = os.Create(record); err != nil {
			panic(err)
		}
	}
	w.platform.TellEra("5")
	w.note("trouble: %v", w.trouble)
	go w.report()
	return w
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(line)
	if w.record != nil {
		fmt.Fprintln(w.record, line)
	}
}

// close ends all processes.
func (w *world) close() {
	close(w.stop)
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	w.platform.Close()
	_ = os.RemoveAll(w.dir)
	if w.record != nil {
		_ = w.record.Close()
	}
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// start starts a program that ends with this one, and passes the lines of its output to line.
func (w *world) start(log string, line func(string), program string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		panic(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.procs = append(w.procs, cmd)
	w.mu.Unlock()
	go func() {
		var file io.Writer = io.Discard
		if log != "" {
			f, err := os.Create(log)
			if err == nil {
				defer f.Close()
				file = f
			}
		}
		for s := bufio.NewScanner(out); s.Scan(); {
			fmt.Fprintln(file, s.Text())
			if line != nil {
				line(s.Text())
			}
		}
	}()
	return cmd
}

// logPath returns where the log of a process is kept; empty if REVIEW_LOGS names no directory.
func logPath(name string) string {
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		return filepath.Join(dir, name+".log")
	}
	return ""
}

// startGateways starts n gateways and waits until they are ready.
func (w *world) startGateways(n int) {
	for i := range n {
		name := fmt.Sprintf("edge-%d", i)
		caller, ready := freeAddr(), freeAddr()
		settings, err := json.Marshal(map[string]any{
			"role": "gateway", "name": name, "zone": "a", "callerAddr": caller, "readyAddr": ready, "controlAddr": freeAddr(), "metricsAddr": freeAddr(),
			"memoryMb": 284, "maxFiles": 4100, "linkMbps": 1000.0, "store": map[string]any{"addr": w.platform.Addr()},
			"duties": map[string]any{"addr": w.platform.Addr(), "windowS": 5, "reportWithinS": 10, "leaseMs": 3000},
			"bounds": map[string]any{"retryRatio": 0.2, "retrySlack": 58, "retryWindowS": 10, "drainMs": 2000, "graceS": 8.0, "configMs": 2000},
		})
		if err != nil {
			panic(err)
		}
		path := filepath.Join(w.dir, name+".json")
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			panic(err)
		}
		g := &gateway{name: name, url: "http://" + caller, ready: "http://" + ready + "/readyz", settings: path}
		g.cmd = w.start(logPath(name), nil, "target/damaskport", "gateway", "--settings", path)
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		w.await(g.name+" is ready", func() bool {
			res, err := http.Get(g.ready)
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
	w.note("%d gateways are ready", n)
}

// await waits until a condition holds.
func (w *world) await(what string, ok func() bool) {
	for until := time.Now().Add(startTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic("not within the time: " + what)
		}
	}
}

// startServer starts a server process at an address, and waits until it listens.
func (w *world) startServer(s *server) {
	self, err := os.Executable()
	if err != nil {
		panic(err)
	}
	listening := make(chan struct{})
	s.cmd = w.start("", func(line string) {
		if line == "listening" {
			close(listening)
			return
		}
		s.runs.Add(1)
		if s.ran != nil {
			s.ran(strings.Fields(line)[1])
		}
		w.note("server %s (version %s): %s", s.id, s.version, line)
	}, self, "server", "--id", s.id, "--addr", s.addr, "--version", s.version, "--backlog", fmt.Sprint(s.backlog))
	select {
	case <-listening:
	case <-time.After(startTimeout):
		panic("server does not listen: " + s.id)
	}
	s.born = time.Now().UnixMilli()
}

// addServer starts a server with a new id and registers it.
func (w *world) addServer(pool, id, version string) *server {
	return w.add(&server{id: id, addr: freeAddr(), pool: pool, version: version})
}

// add starts a server and registers it.
func (w *world) add(s *server) *server {
	w.startServer(s)
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.register(s, "ready")
	return s
}

// register writes the entry of a server to the store, and again from now on.
func (w *world) register(s *server, state string) {
	w.mu.Lock()
	s.state = state
	w.mu.Unlock()
	w.putEntry(s)
	w.note("server %s (version %s) is registered as %s", s.id, s.version, state)
}

func (w *world) putEntry(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.state == "" {
		return
	}
	w.seq++
	w.platform.PutJSON("keyed.servers", s.id, map[string]any{
		"Service": s.pool, "Addr": s.addr, "Zone": "a", "Slots": 64, "State": s.state, "Seq": w.seq, "born": s.born, "Version": s.version, "ColdLeftMs": 0,
	})
}

// report writes the entries of all servers again, each reportEvery.
func (w *world) report() {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		w.mu.Lock()
		servers := append([]*server(nil), w.servers...)
		w.mu.Unlock()
		for _, s := range servers {
			w.putEntry(s)
		}
	}
}

// busiest returns the index of the server that ran most requests since the last call.
func busiest(servers []*server) int {
	most, best := int64(-1), 0
	for i, s := range servers {
		if n := s.runs.Swap(0); n > most {
			most, best = n, i
		}
	}
	return best
}

// kill ends the process of a server at once. It reports nothing from then on.
func (w *world) kill(s *server) {
	w.mu.Lock()
	s.state = ""
	w.mu.Unlock()
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	w.note("server %s is killed", s.id)
}

// removeEntry removes the entry of a server, as the store does after three reports are missing.
func (w *world) removeEntry(s *server) { w.platform.Put("keyed.servers", s.id, nil) }

// route returns a route of the manifest.
func route(name, kind, service string, timeoutMs int, more map[string]any) map[string]any {
	r := map[string]any{"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Type": kind, "TimeoutMs": timeoutMs, "SloMs": 1000, "Service": service, "Attempts": 2}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// putManifest writes the manifest.
func (w *world) putManifest(version int, services []map[string]any, routes ...map[string]any) {
	w.platform.PutJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "orchard", "ApiKeys": []string{key}}},
	})
}

// engineService returns a service of model engines.
func engineService(name string) map[string]any {
	return map[string]any{"Name": name, "MaxConns": 370, "Engine": map[string]any{"Slots": 64, "KvCapacity": 475000, "Stride": 6}}
}

// outcome is what a caller saw of one request.
type outcome struct {
	id      string
	status  int
	stamp   string
	body    string
	err     error // why the answer is not complete; nil if it is
	gateway string
}

// complete reports whether the caller saw a complete success.
func (o outcome) complete() bool { return o.err == nil && o.status == http.StatusOK }

// newID returns a new request id.
func (w *world) newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixMicro()&0xffffffff, w.nextID.Add(1))
}

// send sends a request to a gateway and reads the answer to its end.
func (w *world) send(g *gateway, method, target, id string, deadline time.Duration, header map[string]string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	return w.sendUntil(ctx, g, method, target, id, deadline, header)
}

// sendUntil is send for a caller that closes its connection when ctx ends.
func (w *world) sendUntil(ctx context.Context, g *gateway, method, target, id string, deadline time.Duration, header map[string]string) outcome {
	o := outcome{id: id, gateway: g.name}
	r, err := http.NewRequestWithContext(ctx, method, g.url+target, http.NoBody)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w.note("%s sends %s %s to %s", id, method, target, g.name)
	res, err := w.caller.RoundTrip(r)
	if err != nil {
		o.err = err
		return o
	}
	defer res.Body.Close()
	o.status, o.stamp = res.StatusCode, res.Header.Get("Server-Stamp")
	body, err := io.ReadAll(res.Body)
	o.body, o.err = string(body), err
	return o
}

// lastEvent returns the number of events in a stream, counted by their ends.
func lastEvent(body string) int { return strings.Count(body, "\n\n") }

//go:build review

// Command stand3 plays the cases of the third review: it starts gateways as the deploy file does, on loopback,
// and is their platform, their backend servers and their callers.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damaskport/damaskport/platform/standin"
)

// Bounds of the deployment, those of the sheet of bounceline-core.
const (
	budgetRatio   = 0.2
	budgetSlack   = 58
	budgetWindow  = 10 * time.Second
	graceS        = 8
	drainMs       = 2000
	configMs      = 2000
	stableWindow  = 3 * time.Second
	readyDeadline = 15 * time.Second
)

const (
	site   = "shop.example"
	apiKey = "k-review-3"
	tenant = "tenant-a"
)

// world is one deployment: a platform, backend servers and gateways.
type world struct {
	dir      string
	record   *recorder
	platform *standin.Platform
	gateways []*gatewayProc
	trouble  bool
	ports    map[int]bool // that gateways have
	tmp      string       // folder of the gateways' settings and logs
	// engines describes the model engines of services whose routes are sticky; nil without any.
	engines map[string]any
}

// newWorld returns a world without servers and gateways.
func newWorld(dir string, trouble bool) (*world, error) {
	r, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, record: r, platform: standin.NewPlatform(), trouble: trouble, ports: map[int]bool{}}, nil
}

// close ends all processes of the world.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.platform.Close()
	w.record.close()
	if w.tmp != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.tmp)
	}
}

// recorder writes the record of a case. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{f: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// gatewayProc is a gateway process.
type gatewayProc struct {
	w                               *world
	name                            string
	caller, ready, control, metrics string
	settings, log                   string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Ports of the gateways lie below those that the system gives to outgoing connections.
const firstPort, lastPort = 12000, 30000

// freeAddr returns a loopback address that is free now, another one with each call.
func (w *world) freeAddr() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || w.ports[port] {
			continue
		}
		_ = ln.Close()
		w.ports[port] = true
		return ln.Addr().String()
	}
}

// addGateway writes the settings of a gateway, without starting it.
func (w *world) addGateway(change func(settings map[string]any)) *gatewayProc {
	n := len(w.gateways) + 1
	g := &gatewayProc{w: w, name: fmt.Sprintf("edge-%d", n), caller: w.freeAddr(), ready: w.freeAddr(), control: w.freeAddr(), metrics: w.freeAddr()}
	if w.tmp == "" {
		var err error
		if w.tmp, err = os.MkdirTemp("", "review3"); err != nil {
			panic(err)
		}
	}
	g.settings, g.log = filepath.Join(w.tmp, g.name+".json"), filepath.Join(w.tmp, g.name+".log")
	s := map[string]any{
		"role": "gateway", "name": g.name, "zone": "zone-a", "callerAddr": g.caller, "readyAddr": g.ready, "controlAddr": g.control,
		"metricsAddr": g.metrics, "memoryMb": 284, "maxFiles": 4100, "linkMbps": 1000,
		"zones":  []any{map[string]any{"name": "zone-a", "region": "region-a"}},
		"store":  map[string]any{"addr": w.platform.Addr()},
		"duties": map[string]any{"addr": w.platform.Addr(), "windowS": 5, "reportWithinS": 10, "leaseMs": 3000},
		"bounds": map[string]any{
			"retryRatio": budgetRatio, "retrySlack": budgetSlack, "retryWindowS": budgetWindow.Seconds(), "drainMs": drainMs, "graceS": graceS, "configMs": configMs,
		},
	}
	if change != nil {
		change(s)
	}
	data, err := json.Marshal(s)
	if err == nil {
		err = os.WriteFile(g.settings, data, 0o600)
	}
	if err != nil {
		panic(err)
	}
	w.gateways = append(w.gateways, g)
	return g
}

// program returns the path of the program that the deploy file builds.
func program() string { return filepath.Join("target", "damaskport") }

// start starts the process with the command of the deploy file.
func (g *gatewayProc) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program(), "gateway", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd = cmd
	g.mu.Unlock()
	g.w.record.logf("%s started, process %d", g.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (g *gatewayProc) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
		g.w.record.logf("%s gets signal %v", g.name, s)
	}
}

// kill ends the process and waits for its end.
func (g *gatewayProc) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	g.cmd = nil
	g.w.record.logf("%s killed", g.name)
}

// awaitReady waits until the gateway says that it is ready.
func (g *gatewayProc) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyDeadline); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// startAll starts all gateways and waits until they are ready.
func (w *world) startAll() error {
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// route is a route of the manifest.
type route struct {
	name, prefix, kind, service string
	attempts                    int
	timeoutMs, sloMs            int
	canResume, sticky           bool
	priority, itlTargetMs       int
}

// publish writes a manifest with these routes and one tenant.
func (w *world) publish(version int, routes ...route) {
	w.publishFor(version, []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}}}, routes...)
}

// publishFor writes a manifest with these tenants and routes.
func (w *world) publishFor(version int, tenants []any, routes ...route) {
	var rs, ss []any
	var seen []string
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"Name": r.name, "Host": site, "PathPrefix": r.prefix, "Type": r.kind, "TimeoutMs": r.timeoutMs, "SloMs": r.sloMs, "Priority": r.priority,
			"Service": r.service, "Attempts": r.attempts, "CanResume": r.canResume, "Sticky": r.sticky, "ItlTargetMs": r.itlTargetMs,
		})
		if !slices.Contains(seen, r.service) {
			seen = append(seen, r.service)
			s := map[string]any{"Name": r.service, "HealthPath": "/healthz", "MaxConns": 370}
			if r.sticky {
				s["Engine"] = w.engines
			}
			ss = append(ss, s)
		}
	}
	w.platform.PutJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": rs, "Services": ss,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants": tenants,
	})
	w.record.logf("manifest %d acknowledged", version)
}

// arrival is a request that reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
	ran    bool
}

// server is a backend server.
type server struct {
	w       *world
	id      string
	service string
	born    int64
	seq     atomic.Int64
	ln      net.Listener
	srv     *http.Server
	// answer answers a request that is meant for this server.
	answer func(s *server, rw http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	arrivals []arrival
	version  int
	down     bool
	removed  bool
}

// addServer starts a server and registers it.
func (w *world) addServer(id, service string, answer func(s *server, rw http.ResponseWriter, r *http.Request)) *server {
	return w.addServerOf(id, service, 1, answer)
}

// addServerOf is addServer for a version of the server's software.
func (w *world) addServerOf(id, service string, version int, answer func(s *server, rw http.ResponseWriter, r *http.Request)) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{w: w, id: id, service: service, born: time.Now().UnixMilli(), ln: ln, answer: answer, version: version}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	s.register("ready")
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.register("ready")
		}
	}()
	return s
}

// versionNow returns the version of the server's software.
func (s *server) versionNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// crash ends the server without a word: its listener and its channels are gone.
func (s *server) crash() {
	s.mu.Lock()
	s.down = true
	srv := s.srv
	s.mu.Unlock()
	_ = srv.Close()
	s.w.record.logf("%s crashed", s.id)
}

// startAgain starts a crashed server under its id, at its address, with the next version of its software.
func (s *server) startAgain() error {
	ln, err := net.Listen("tcp", s.ln.Addr().String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.down, s.born = ln, false, time.Now().UnixMilli()
	s.version++
	s.seq.Store(0)
	s.srv = &http.Server{Handler: s}
	srv := s.srv
	s.mu.Unlock()
	s.register("ready")
	go func() { _ = srv.Serve(ln) }()
	s.w.record.logf("%s started again and registered, version %d", s.id, s.versionNow())
	return nil
}

// remove deletes the entry of the server, which serves on.
func (s *server) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	s.w.platform.Put("keyed.servers", s.id, nil)
	s.w.record.logf("the entry of %s was removed", s.id)
}

// register writes the entry of the server, unless it is down or was removed.
func (s *server) register(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.removed {
		return
	}
	s.w.platform.PutJSON("keyed.servers", s.id, map[string]any{
		"Service": s.service, "Addr": s.ln.Addr().String(), "Zone": "zone-a", "Version": s.version, "Slots": 6, "State": state, "ColdLeftMs": 0, "Seq": s.seq.Add(1), "born": s.born,
	})
}

// ServeHTTP checks whom a request is for, and answers it.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		h.Set("Instance", s.id)
		return
	}
	s.answer(s, rw, r)
}

// note records an arrival.
func (s *server) note(r *http.Request, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{r.Header.Get("Request-Id"), s.id, time.Now(), ran})
}

// stamp sets what shows that the server has answered.
func (s *server) stamp(rw http.ResponseWriter) { rw.Header().Set("Server-Stamp", "stamp."+s.id) }

// allArrivals returns the arrivals at servers in order of time.
func allArrivals(servers []*server) []arrival {
	var out []arrival
	for _, s := range servers {
		s.mu.Lock()
		out = append(out, s.arrivals...)
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

// nextID is the number of the last request.
var nextID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x3e00000000000000+nextID.Add(1)) }

// call sends one request on a new connection and returns the status; 0 without an answer.
func call(addr, method, path, id string, deadline time.Duration) (int, http.Header) {
	return callWithKey(addr, method, path, id, apiKey, deadline)
}

// callWithKey is call with another key.
func callWithKey(addr, method, path, id, key string, deadline time.Duration) (int, http.Header) {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = site
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := (&http.Client{Transport: t, Timeout: deadline}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	return res.StatusCode, res.Header
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/damaskport/damaskport/platform/standin"
)

const (
	host = "shop.example"
	key  = "k1"
	// program is the gateway as the deploy file builds and starts it.
	program = "target/damaskport"
	// readyTimeout is how long gateways may take to become ready.
	readyTimeout = 15 * time.Second
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

// printf adds a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns t as seconds since the start of the case.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// world is a small deployment: the platform's stand-in, its servers and gateways as processes.
type world struct {
	rec      *record
	dir      string
	platform *standin.Platform
	servers  []*standin.Server
	gateways []*gatewayProcess
	seq      int64
	born     int64
	stopBeat chan struct{}
	beats    sync.WaitGroup

	mu       sync.Mutex      // guards seq and answered
	answered map[string]bool // whether the answer was whole, by request
}

// gatewayProcess is a gateway with its links to the platform.
type gatewayProcess struct {
	name                            string
	caller, ready, control, metrics string
	store, duties                   *link
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

// newWorld starts the platform and n servers of the service "app".
func newWorld(rec *record, n int) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, platform: standin.NewPlatform(), born: time.Now().UnixMilli(), stopBeat: make(chan struct{}), answered: map[string]bool{}}
	w.platform.PutJSON("keyed.op", "config", manifest(1))
	for i := range n {
		s := standin.NewServer(fmt.Sprintf("i-%d", i))
		s.Echo()
		w.servers = append(w.servers, s)
		w.report(s, "ready")
	}
	w.beats.Add(1)
	go w.beat()
	return w, nil
}

// manifest returns a manifest of the operator.
func manifest(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "read", "Host": host, "PathPrefix": "/read/", "Type": "safe", "TimeoutMs": 1500, "SloMs": 300, "Service": "app", "Attempts": 2},
			{"Name": "pay", "Host": host, "PathPrefix": "/pay/", "Type": "unsafe", "TimeoutMs": 1500, "SloMs": 300, "Service": "app", "Attempts": 2},
		},
		"Services": []map[string]any{{"Name": "app"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "orchard", "ApiKeys": []string{key}, "Priority": 1}},
	}
}

// report writes the entry of a server to the store.
func (w *world) report(s *standin.Server, state string) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	w.platform.PutJSON("keyed.servers", s.ID, map[string]any{
		"Service": "app", "Addr": s.Addr(), "Zone": "a", "Version": "1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": seq, "born": w.born,
	})
}

// beat renews the entries of the servers, as HeartbeatMs asks.
func (w *world) beat() {
	defer w.beats.Done()
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-w.stopBeat:
			return
		case <-tick.C:
			for _, s := range w.servers {
				w.report(s, "ready")
			}
		}
	}
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// machineAddr returns the loopback address of machine i: its ports are those of the deploy file, and no
// connection of another process takes them.
func machineAddr(i int) string {
	const low, byteBits, byteMask = 64, 8, 255
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", low+pid>>(byteBits*2-2)&(low-1), pid>>byteBits&byteMask^pid&byteMask, pid&(low-1)<<1+i+1)
}

// startGateways starts n gateways and waits until all are ready.
func (w *world) startGateways(n int) error {
	for i := range n {
		ip := machineAddr(i)
		g := &gatewayProcess{
			name: fmt.Sprintf("edge-a-%d", i+1), caller: ip + ":8227", ready: ip + ":8220", control: ip + ":7340", metrics: ip + ":9464",
		}
		var err error
		if g.store, err = newLink(w.platform.Addr()); err != nil {
			return err
		}
		if g.duties, err = newLink(w.platform.Addr()); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := w.start(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !g.awaitReady() {
			return fmt.Errorf("gateway %s is not ready", g.name)
		}
	}
	return nil
}

// start writes the settings of a gateway, as deploy/gateway.tmpl gives them, and starts it.
func (w *world) start(g *gatewayProcess) error {
	data, err := json.Marshal(map[string]any{
		"role": "gateway", "name": g.name, "zone": "a",
		"callerAddr": g.caller, "readyAddr": g.ready, "controlAddr": g.control, "metricsAddr": g.metrics,
		"memoryMb": 284, "maxFiles": 4100, "zones": []map[string]any{{"name": "a", "region": "r"}},
		"store":  map[string]any{"addr": g.store.addr()},
		"duties": map[string]any{"addr": g.duties.addr(), "windowS": 5, "reportWithinS": 10, "leaseMs": 3000},
		"bounds": map[string]any{"retryRatio": 0.2, "retrySlack": 58, "retryWindowS": 10, "drainMs": 2000, "graceS": 8, "configMs": 2000},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, g.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command(program, "gateway", "--settings", path)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return nil
}

// awaitReady waits until the gateway answers its readiness check with 200.
func (g *gatewayProcess) awaitReady() bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil && g.exited != nil {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	close(w.stopBeat)
	w.beats.Wait()
	for _, g := range w.gateways {
		for _, l := range []*link{g.store, g.duties} {
			if l != nil {
				l.close()
			}
		}
	}
	for _, s := range w.servers {
		s.Close()
	}
	w.platform.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

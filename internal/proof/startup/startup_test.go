package startup_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
)

const (
	// startTime is the longest time from the start of a process, or from the end of what holds it
	// up, until it serves.
	startTime = 10 * time.Second
	graceS    = 4
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// hosts counts the processes of the test, each of which has addresses of its own.
var hosts atomic.Int64

// server is a process that serves, of any role.
type server struct {
	role string
	path string // of the settings file
	// addrs are the fixed addresses by setting.
	addrs    map[string]string
	platform string // the address of the platform
	lastAddr string // that the role listens on
	text     []byte // of the settings file
}

var started = regexp.MustCompile(`event=start `)

// newServer writes the settings of a role. Its platform is at an address where nothing listens.
func newServer(t *testing.T, role string) *server {
	t.Helper()
	return newServerAt(t, role, cluster.FixedAddr(0, 0))
}

// newServerAt writes the settings of a role with the platform at an address.
func newServerAt(t *testing.T, role, platform string) *server {
	t.Helper()
	s := &server{role: role, path: filepath.Join(t.TempDir(), "settings.json"), addrs: map[string]string{}, platform: platform}
	names := map[string][]string{
		"gateway": {"metricsAddr", "readyAddr", "controlAddr", "callerAddr"},
		"entry":   {"callerAddr", "adminAddr"},
		"sidecar": {"controlAddr", "dataAddr", "adminAddr"},
		"solo":    {"callerAddr", "adminAddr"},
	}[role]
	host := int(hosts.Add(1))
	for i, name := range names {
		s.lastAddr = cluster.FixedAddr(host, i)
		s.addrs[name] = s.lastAddr
	}
	s.text = s.settings(t)
	s.write(t, s.text)
	return s
}

func (s *server) settings(t *testing.T) []byte {
	t.Helper()
	var v any
	switch s.role {
	case "gateway":
		v = map[string]any{
			"role": "gateway", "name": "g0", "zone": "a",
			"callerAddr": s.addrs["callerAddr"], "readyAddr": s.addrs["readyAddr"], "controlAddr": s.addrs["controlAddr"], "metricsAddr": s.addrs["metricsAddr"],
			"store": map[string]any{"addr": s.platform}, "duties": map[string]any{"addr": s.platform}, "bounds": map[string]any{"graceS": graceS},
		}
	case "entry", "sidecar":
		f := settings.Defaults(settings.Role(s.role))
		f.Name, f.Zone = "p0", "a"
		f.Platform.LogURL, f.Platform.CapacityURL = "http://"+s.platform, "http://"+s.platform
		f.Platform.UsageURL, f.Platform.InstancesURL = "http://"+s.platform, "http://"+s.platform
		if f.Entry != nil {
			f.Entry.CallerAddr, f.Entry.AdminAddr, f.Entry.DrainMs = s.addrs["callerAddr"], s.addrs["adminAddr"], graceS*1000
		}
		if f.Sidecar != nil {
			f.Sidecar.ControlAddr, f.Sidecar.DataAddr, f.Sidecar.AdminAddr = s.addrs["controlAddr"], s.addrs["dataAddr"], s.addrs["adminAddr"]
			f.Sidecar.Pool, f.Sidecar.ServerURL, f.Sidecar.Slots, f.Sidecar.DrainMs = "booking", "http://"+s.platform, 4, graceS*1000
		}
		v = f
	default:
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (s *server) write(t *testing.T, text []byte) {
	t.Helper()
	if err := os.WriteFile(s.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *server) start(t *testing.T) *cluster.Proc {
	t.Helper()
	return cluster.StartLogged(t, s.role, "", s.args()...)
}

// args returns the arguments of the process.
func (s *server) args() []string {
	if s.role == "solo" {
		return []string{s.role, "--caller-addr", s.addrs["callerAddr"], "--admin-addr", s.addrs["adminAddr"]}
	}
	return []string{s.role, "--settings", s.path}
}

// awaitStart waits until the process serves, and fails the test if it ends before.
func awaitStart(t *testing.T, p *cluster.Proc) {
	t.Helper()
	for end := time.Now().Add(startTime); !started.MatchString(p.Log()); time.Sleep(time.Millisecond) {
		if p.Exited() {
			t.Fatalf("the process ended before it served: status %d, -1 for a signal", p.WaitExit())
		}
		if time.Now().After(end) {
			t.Fatalf("the process does not serve after %v", startTime)
		}
	}
}

// eachRole runs f for each role that runs as a server.
func eachRole(t *testing.T, roles []string, f func(t *testing.T, s *server)) {
	for _, role := range roles {
		s := newServer(t, role)
		t.Run(role, func(t *testing.T) { f(t, s) })
	}
}

var (
	allRoles      = []string{"gateway", "entry", "sidecar", "solo"}
	settingsRoles = []string{"gateway", "entry", "sidecar"}
)

// TestReloadSignalDoesNotEndStart guards against processes that a reload signal ends before they
// serve. The signals begin once the runtime runs a second thread: the loader cannot handle any.
func TestReloadSignalDoesNotEndStart(t *testing.T) {
	t.Parallel()
	const starts = 10
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		for range starts {
			p := s.start(t)
			for !p.Exited() && p.Threads() < 2 {
			}
			for end := time.Now().Add(startTime); !p.Exited() && !started.MatchString(p.Log()) && time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
				p.Signal(syscall.SIGHUP)
			}
			awaitStart(t, p)
			p.Signal(syscall.SIGHUP)
			time.Sleep(20 * time.Millisecond)
			if p.Exited() {
				t.Fatalf("SIGHUP ended a process that served: status %d", p.WaitExit())
			}
			p.Kill()
		}
	})
}

// TestIncompleteSettingsDoNotEndStart guards against processes that end because their settings file
// is being written as they start.
func TestIncompleteSettingsDoNotEndStart(t *testing.T) {
	t.Parallel()
	eachRole(t, settingsRoles, func(t *testing.T, s *server) {
		for name, prepare := range map[string]func() error{
			"absent": func() error { return os.Remove(s.path) },
			"empty":  func() error { return os.WriteFile(s.path, nil, 0o600) },
			"cut":    func() error { return os.WriteFile(s.path, s.text[:len(s.text)/2], 0o600) },
		} {
			t.Run(name, func(t *testing.T) {
				if err := prepare(); err != nil {
					t.Fatal(err)
				}
				p := s.start(t)
				time.Sleep(300 * time.Millisecond)
				s.write(t, s.text)
				awaitStart(t, p)
				p.Kill()
			})
		}
	})
}

// TestHeldAddressDoesNotEndStart guards against processes that end because another process, such as
// the one before, still has one of their addresses.
func TestHeldAddressDoesNotEndStart(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		for name, addr := range s.addrs {
			t.Run(name, func(t *testing.T) {
				ln, err := net.Listen("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				p := s.start(t)
				time.Sleep(time.Second)
				_ = ln.Close()
				awaitStart(t, p)
				p.Kill()
			})
		}
	})
}

// TestStartTellsOfAnAddressThatStaysTaken guards against starts that end because an address stays taken, that
// don't tell of it, and that notice late that it is free.
func TestStartTellsOfAnAddressThatStaysTaken(t *testing.T) {
	t.Parallel()
	const (
		held       = (2*graceS + 6) * time.Second // longer than the process before may have it
		toldEvery  = 10 * time.Second
		servesSoon = time.Second
	)
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		for name := range s.addrs {
			if name == "metricsAddr" {
				continue // see TestTakenMetricsAddressHoldsUpNoRequests
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newServer(t, s.role)
				ln, err := net.Listen("tcp", s.addrs[name])
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				began := time.Now()
				p := s.start(t)
				for time.Since(began) < held {
					if p.Exited() || started.MatchString(p.Log()) {
						t.Fatalf("ended or served after %v while its address was taken", time.Since(began))
					}
					time.Sleep(10 * time.Millisecond)
				}
				_ = ln.Close()
				freed := time.Now()
				awaitStart(t, p)
				if d := time.Since(freed); d > servesSoon {
					t.Errorf("served %v after its address was free, want at most %v", d, servesSoon)
				}
				if s.role == "gateway" {
					checkStartWait(t, s.addrs["metricsAddr"], held)
				}
				taken := fmt.Sprintf(`(?im)msg="\S*%s: listen tcp %s: [^"]+" .*event=startWaits for=address holder=listener .*waitedMs=([0-9]+)$`, name, regexp.QuoteMeta(s.addrs[name]))
				told := regexp.MustCompile(taken).FindAllStringSubmatch(p.Log(), -1)
				if want := 1 + int(held/toldEvery); len(told) != want {
					t.Fatalf("%d lines like %s, want %d", len(told), taken, want)
				}
				for i, m := range told {
					ms, _ := strconv.Atoi(m[1])
					if want := i * int(toldEvery/time.Millisecond); ms < want || ms > want+2000 {
						t.Errorf("line %d tells of %d ms, want %d", i, ms, want)
					}
				}
			})
		}
	})
}

// checkStartWait checks the time that a gateway says it waited before it listened.
func checkStartWait(t *testing.T, metricsAddr string, want time.Duration) {
	t.Helper()
	text := ""
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		res, err := http.Get("http://" + metricsAddr + "/metrics")
		if err != nil {
			continue
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		text = string(data)
		if m := regexp.MustCompile(`(?m)^damaskport_start_wait_ms ([1-9][0-9.e+]*)$`).FindStringSubmatch(text); m != nil {
			ms, _ := strconv.ParseFloat(m[1], 64)
			if waited := time.Duration(ms) * time.Millisecond; waited < want-time.Second || waited > want+2*time.Second {
				t.Errorf("start_wait_ms is %v, want about %v", waited, want)
			}
			return
		}
	}
	t.Errorf("no start_wait_ms in the metrics:\n%s", text)
}

// TestTakenMetricsAddressHoldsUpNoRequests guards against gateways that don't serve because something else has
// the address for operators.
func TestTakenMetricsAddressHoldsUpNoRequests(t *testing.T) {
	t.Parallel()
	const held, servesSoon = (graceS + 8) * time.Second, time.Second
	s := newServer(t, "gateway")
	ln, err := net.Listen("tcp", s.addrs["metricsAddr"])
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := s.start(t)
	awaitStart(t, p)
	for _, name := range []string{"callerAddr", "readyAddr"} {
		res, err := http.Get("http://" + s.addrs[name])
		if err != nil {
			t.Fatalf("no answer at %s: %v", name, err)
		}
		_ = res.Body.Close()
	}
	time.Sleep(held)
	_ = ln.Close()
	for freed := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		res, err := http.Get("http://" + s.addrs["metricsAddr"] + "/metrics")
		if err == nil && res.StatusCode == http.StatusOK {
			_ = res.Body.Close()
			break
		}
		if time.Since(freed) > servesSoon {
			t.Fatalf("no metrics %v after their address was free: %v", servesSoon, err)
		}
	}
	for what, want := range map[string]int{`event=metricsWait .*holder=listener .*waitedMs=[0-9]+$`: 2, `event=metricsServed`: 1} {
		if got := len(regexp.MustCompile("(?m)"+what).FindAllString(p.Log(), -1)); got != want {
			t.Errorf("%d lines like %s, want %d", got, what, want)
		}
	}
	p.Signal(syscall.SIGTERM)
	if code := p.WaitExit(); code != 0 {
		t.Errorf("status %d after a planned stop, want 0", code)
	}
}

// TestStopEndsAStartThatWaitsLong stops processes that have waited for an address for longer than the one
// before could have it.
func TestStopEndsAStartThatWaitsLong(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		ln, err := net.Listen("tcp", s.lastAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		p := s.start(t)
		time.Sleep((graceS + 4) * time.Second)
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d, want 0", code)
		}
	})
}

// TestStartWaitsForTheProcessBefore guards against processes that end because the one before is
// still in its grace period.
func TestStartWaitsForTheProcessBefore(t *testing.T) {
	t.Parallel()
	eachRole(t, settingsRoles, func(t *testing.T, s *server) {
		before := s.start(t)
		awaitStart(t, before)
		before.Signal(syscall.SIGTERM)
		p := s.start(t)
		if code := before.WaitExit(); code != 0 {
			t.Errorf("the process before ended with status %d, want 0", code)
		}
		awaitStart(t, p)
	})
}

// TestStopSignalEndsStartWithSuccess stops processes that wait for an address.
func TestStopSignalEndsStartWithSuccess(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		ln, err := net.Listen("tcp", s.lastAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		p := s.start(t)
		time.Sleep(500 * time.Millisecond)
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d, want 0", code)
		}
	})
}

// TestWrongSettingsEndStart checks that a settings file that is complete and wrong, or an address
// that cannot be had, ends the process with a message.
func TestWrongSettingsEndStart(t *testing.T) {
	t.Parallel()
	eachRole(t, settingsRoles, func(t *testing.T, s *server) {
		for name, wrong := range map[string]struct{ from, to, message string }{
			"value":   {`"zone":"a"`, `"zone":7`, "zone: 7: must be a string"},
			"field":   {`"zone":"a"`, `"zone":"a","colour":1`, "colour: is no known field"},
			"address": {`"127.`, `"192.0.2.1:1`, "Addr"},
		} {
			t.Run(name, func(t *testing.T) {
				s.write(t, []byte(strings.Replace(string(s.text), wrong.from, wrong.to, 1)))
				p := s.start(t)
				if code := p.WaitExit(); code != 1 || !strings.Contains(p.Log(), wrong.message) {
					t.Errorf("status %d, want 1 with %q", code, wrong.message)
				}
			})
		}
	})
}

// TestFurtherStopSignalsKeepTheStatus guards against processes that a second stop signal ends at
// the very end of a planned stop.
func TestFurtherStopSignalsKeepTheStatus(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		p := s.start(t)
		awaitStart(t, p)
		for !p.Exited() {
			p.Signal(syscall.SIGTERM)
			time.Sleep(100 * time.Microsecond)
		}
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d, -1 for a signal, want 0", code)
		}
	})
}

// TestClosedLogDoesNotEndProcess guards against processes that end because the reader of their log
// has gone.
func TestClosedLogDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		p := s.start(t)
		awaitStart(t, p)
		p.CloseLog()
		for range 50 {
			p.Signal(syscall.SIGHUP)
			time.Sleep(10 * time.Millisecond)
		}
		if p.Exited() {
			t.Fatalf("the process ended: status %d, -1 for a signal", p.WaitExit())
		}
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d after a planned stop, want 0", code)
		}
	})
}

// TestStalledLogDoesNotHoldUpStop guards against processes that do not end within their grace period
// because nobody reads their log.
func TestStalledLogDoesNotHoldUpStop(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		p := s.start(t)
		awaitStart(t, p)
		p.StallLog()
		for range 200 {
			p.Signal(syscall.SIGHUP)
			time.Sleep(2 * time.Millisecond)
		}
		p.Signal(syscall.SIGTERM)
		for end := time.Now().Add(graceS * time.Second); !p.Exited() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if !p.Exited() {
			t.Fatalf("the process still runs %d s after its stop signal", graceS)
		}
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d, want 0", code)
		}
	})
}

// TestUnreadLogDoesNotHoldUpStart guards against processes that never serve because the pipe of their log is full,
// as that of the process before was, and nobody reads it. They have something to log: an address is taken.
func TestUnreadLogDoesNotHoldUpStart(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		ln, err := net.Listen("tcp", s.lastAddr)
		if err != nil {
			t.Fatal(err)
		}
		p := cluster.StartUnread(t, s.role, s.args()...)
		time.Sleep(500 * time.Millisecond)
		_ = ln.Close()
		addr := s.addrs["callerAddr"]
		if addr == "" {
			addr = s.addrs["adminAddr"]
		}
		client := http.Client{Timeout: time.Second}
		for end := time.Now().Add(startTime); ; time.Sleep(10 * time.Millisecond) {
			res, err := client.Get("http://" + addr + "/healthz")
			if err == nil {
				_ = res.Body.Close()
				break
			}
			if p.Exited() || time.Now().After(end) {
				t.Fatalf("no answer within %v: %v", startTime, err)
			}
		}
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d after a planned stop, want 0", code)
		}
	})
}

// TestStopSignalEndsStartThatHangs stops processes whose settings file nobody has written yet, a named
// pipe.
func TestStopSignalEndsStartThatHangs(t *testing.T) {
	t.Parallel()
	eachRole(t, settingsRoles, func(t *testing.T, s *server) {
		if err := os.Remove(s.path); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Mkfifo(s.path, 0o600); err != nil {
			t.Fatal(err)
		}
		p := s.start(t)
		time.Sleep(500 * time.Millisecond)
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d, want 0", code)
		}
	})
}

// TestEarlyStopSignalIsNoError stops processes soon after their start. They end with status 0, or by the
// signal if they did not handle it yet.
func TestEarlyStopSignalIsNoError(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		for ms := 2; ms < 80; ms += 19 {
			p := s.start(t)
			time.Sleep(time.Duration(ms) * time.Millisecond)
			p.Signal(syscall.SIGTERM)
			if code := p.WaitExit(); code > 0 {
				t.Errorf("status %d after a stop signal %d ms after the start, want 0", code, ms)
			}
		}
	})
}

// TestHangupEndsOtherCommands checks that commands that run for a person end when their terminal is
// closed.
func TestHangupEndsOtherCommands(t *testing.T) {
	t.Parallel()
	log := filepath.Join(t.TempDir(), "log")
	if err := syscall.Mkfifo(log, 0o600); err != nil {
		t.Fatal(err)
	}
	p := cluster.StartLogged(t, "explain", "", "explain", "9c41d07be2a35f68", log)
	time.Sleep(500 * time.Millisecond)
	p.Signal(syscall.SIGHUP)
	if code := p.WaitExit(); code != 129 {
		t.Errorf("status %d, want 129", code)
	}
}

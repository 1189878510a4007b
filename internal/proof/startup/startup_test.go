package startup_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
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
		"gateway": {"callerAddr", "readyAddr", "controlAddr", "metricsAddr"},
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

// TestStartTellsOfAnAddressThatStaysTaken guards against logs without how long a start waits and that it gave up.
func TestStartTellsOfAnAddressThatStaysTaken(t *testing.T) {
	t.Parallel()
	const wait = (graceS + 3) * time.Second
	eachRole(t, settingsRoles, func(t *testing.T, s *server) {
		t.Parallel()
		for name := range s.addrs {
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
				code, waited := p.WaitExit(), time.Since(began)
				if code != 1 || waited < wait || waited > wait+startTime {
					t.Errorf("ended with status %d after %v, want 1 after %v", code, waited, wait)
				}
				taken := fmt.Sprintf(`(?im)msg="\S*%s: listen tcp %s: [^"]+" `, name, regexp.QuoteMeta(s.addrs[name]))
				for _, line := range []string{
					taken + fmt.Sprintf("event=startWaits for=address leftMs=%d$", wait.Milliseconds()),
					taken + "event=startFailed for=address waitedMs=[1-9][0-9]{3,4}$",
				} {
					if got := len(regexp.MustCompile(line).FindAllString(p.Log(), -1)); got != 1 {
						t.Errorf("%d lines like %s, want 1", got, line)
					}
				}
			})
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

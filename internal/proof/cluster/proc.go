package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	endTimeout   = 20 * time.Second
	shownLogSize = 6 << 10
	// logsVariable names a directory that gets the whole logs of a failed test.
	logsVariable = "PROOF_LOGS"
)

var binaries struct {
	dir string
	// damaskport and standin are the paths of the two programs.
	damaskport, standin string
	plainOnce           sync.Once
	plainErr            error
}

// plainBinary returns the path of a damaskport that is built as for production, and builds it when it is
// first asked for.
func plainBinary(t testing.TB) string {
	t.Helper()
	path := filepath.Join(binaries.dir, "damaskport-plain")
	binaries.plainOnce.Do(func() { binaries.plainErr = build(path, ".", "-ldflags=-linkmode=external") })
	if binaries.plainErr != nil {
		t.Fatal(binaries.plainErr)
	}
	return path
}

// build builds the package pkg of this module.
func build(path, pkg string, flags ...string) error {
	cmd := exec.Command("go", append(append([]string{"build"}, flags...), "-o", path, pkg)...)
	cmd.Dir = moduleRoot()
	text, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build %s: %s", pkg, text)
}

// Main builds the programs once, runs the tests of m and returns the exit code.
func Main(m *testing.M) int {
	// The test links the package signals, which ignores SIGHUP. Processes would inherit that, but not
	// a handler.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries.dir = dir
	binaries.damaskport = filepath.Join(dir, "damaskport")
	binaries.standin = filepath.Join(dir, "damaskport-standin")
	// The time of day of programs under test can be put wrong.
	args := []string{"-tags", "clockskew"}
	if raceEnabled {
		args = append(args, "-race")
	}
	for out, pkg := range map[string]string{binaries.damaskport: ".", binaries.standin: "./cmd/damaskport-standin"} {
		if err := build(out, pkg, args...); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}

func moduleRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..", "..")
}

// Proc is a process that the test started.
type Proc struct {
	t     testing.TB
	name  string
	cmd   *exec.Cmd
	lines chan string
	log   logBuffer
	// logPipe is the read end of the pipe of a process that StartLogged has started.
	logPipe  *os.File
	logStall stall
	ended    chan struct{}
	err      error
	// stopAsked is set once the test has sent a signal that ends the process; byItself is set if the
	// process ended before.
	stopAsked, byItself atomic.Bool
}

// logBuffer collects a process's standard error.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func startProc(t testing.TB, name, program string, args ...string) *Proc {
	t.Helper()
	p := &Proc{t: t, name: name, cmd: exec.Command(program, args...), lines: make(chan string, 64), ended: make(chan struct{})}
	p.cmd.Stderr = &p.log
	prepare(p.cmd)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.watch(out)
	t.Cleanup(p.end)
	return p
}

// prepare gives a process its environment and a group of its own: when a
// shell leaves, the system hangs up on the stopped processes of its group.
func prepare(cmd *exec.Cmd) {
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=0")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
}

// StartLogged starts the program damaskport, whose log is its standard output.
// Its time of day is off by the milliseconds in the file skewPath, if there is
// one.
func StartLogged(t testing.TB, name, skewPath string, args ...string) *Proc {
	t.Helper()
	return startLogged(t, name, skewPath, false, exec.Command(binaries.damaskport, args...))
}

// StartUnread is like StartLogged, but the pipe of the log is full from the start, and nobody reads it.
func StartUnread(t testing.TB, name string, args ...string) *Proc {
	t.Helper()
	return startLogged(t, name, "", true, exec.Command(binaries.damaskport, args...))
}

// Limits are what the system lets a process have; 0 for no limit of the test's.
type Limits struct {
	DataMb int // private memory that can be written to, reserved or resident
	Files  int // open at a time
}

// StartLimited starts a damaskport that is built as for production, whose log is its standard output,
// under limits.
func StartLimited(t testing.TB, name string, l Limits, args ...string) *Proc {
	t.Helper()
	script := "exec \"$@\""
	if l.DataMb > 0 {
		script = fmt.Sprintf("ulimit -d %d && ", l.DataMb<<10) + script
	}
	if l.Files > 0 {
		script = fmt.Sprintf("ulimit -n %d && ", l.Files) + script
	}
	return startLogged(t, name, "", false, exec.Command("/bin/sh", append([]string{"-c", script, name, plainBinary(t)}, args...)...))
}

func startLogged(t testing.TB, name, skewPath string, unread bool, cmd *exec.Cmd) *Proc {
	t.Helper()
	p := &Proc{t: t, name: name, cmd: cmd, ended: make(chan struct{})}
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.logPipe = out
	if unread {
		p.logStall.on.Store(true)
		p.shrinkLogPipe()
		if _, err := in.Write(make([]byte, os.Getpagesize())); err != nil {
			t.Fatal(err)
		}
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	prepare(p.cmd)
	p.cmd.Env = append(p.cmd.Env, "DAMASKPORT_CLOCK_SKEW="+skewPath)
	err = p.cmd.Start()
	_ = in.Close()
	if err != nil {
		t.Fatal(err)
	}
	copied := make(chan struct{})
	if !unread {
		go func() {
			_, _ = io.Copy(&p.log, &stallableReader{out, &p.logStall})
			_ = out.Close()
			close(copied)
		}()
	}
	go func() {
		p.err = p.cmd.Wait()
		p.byItself.Store(!p.stopAsked.Load())
		if !p.logStall.on.Load() {
			<-copied
		}
		close(p.ended)
	}()
	t.Cleanup(p.end)
	return p
}

func (p *Proc) watch(out io.Reader) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		select {
		case p.lines <- scanner.Text():
		default:
		}
	}
	p.err = p.cmd.Wait()
	close(p.ended)
}

// end kills the process and shows its log if the test failed.
func (p *Proc) end() {
	p.Kill()
	text := p.log.String()
	if strings.Contains(text, "DATA RACE") || strings.Contains(text, "invariantViolated") {
		p.t.Errorf("%s reported a data race or a broken invariant", p.name)
	}
	if !p.t.Failed() {
		return
	}
	if dir := os.Getenv(logsVariable); dir != "" {
		path := filepath.Join(dir, fmt.Sprintf("%s-%d.log", p.name, p.cmd.Process.Pid))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			p.t.Logf("log of %s: %v", p.name, err)
		}
	}
	p.t.Logf("log of %s:\n%s", p.name, text[max(len(text)-shownLogSize, 0):])
}

// Log returns what the process wrote to standard error so far.
func (p *Proc) Log() string { return p.log.String() }

// CloseLog closes the read end of the log of a process that StartLogged has started, as a log
// collector does that ends.
func (p *Proc) CloseLog() { _ = p.logPipe.Close() }

// StallLog stops reading the log of a process that StartLogged has started, in a pipe of one page.
func (p *Proc) StallLog() {
	p.t.Helper()
	p.shrinkLogPipe()
	p.logStall.on.Store(true)
}

// shrinkLogPipe makes the pipe of the log hold one page.
func (p *Proc) shrinkLogPipe() {
	p.t.Helper()
	if _, err := unix.FcntlInt(p.logPipe.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
		p.t.Fatal(err)
	}
}

// stall holds up the reader of a log.
type stall struct{ on atomic.Bool }

// stallableReader reads nothing more once stall is on.
type stallableReader struct {
	io.Reader
	stall *stall
}

// Read implements io.Reader.
func (r *stallableReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if r.stall.on.Load() {
		select {}
	}
	return n, err
}

// Pid returns the id of the process.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// Signal sends sig to the process.
func (p *Proc) Signal(sig syscall.Signal) {
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.stopAsked.Store(true)
	}
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process at once.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process until Thaw.
func (p *Proc) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Proc) Thaw() { p.Signal(syscall.SIGCONT) }

// WaitExit waits for the process to end and returns its exit code.
func (p *Proc) WaitExit() int {
	p.t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(endTimeout):
		p.t.Fatalf("%s did not end within %v", p.name, endTimeout)
		return -1
	}
}

// Exited reports whether the process has ended.
func (p *Proc) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// EndedByItself reports whether a process that StartLogged has started ended without having been
// sent a signal that ends it, and its state.
func (p *Proc) EndedByItself() (state string, ended bool) {
	if !p.Exited() || !p.byItself.Load() {
		return "", false
	}
	return p.cmd.ProcessState.String(), true
}

// Threads returns the number of threads of the process: one until its runtime starts, 0 once it has
// ended.
func (p *Proc) Threads() int { return p.status("Threads") }

// DataMb returns the private memory of the process that can be written to, reserved or resident, in MB;
// 0 once it has ended.
func (p *Proc) DataMb() int { return p.status("VmData") >> 10 }

// PeakMb returns the most memory that the process has had resident so far, in MB; 0 once it has ended.
func (p *Proc) PeakMb() int { return p.status("VmHWM") >> 10 }

// Files returns the number of files that the process has open; 0 once it has ended.
func (p *Proc) Files() int {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	return len(fds)
}

// status returns a number of the process's status; 0 once it has ended.
func (p *Proc) status(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "\n"+name+":")
	n := 0
	_, _ = fmt.Sscan(rest, &n)
	return n
}

// value returns what the process prints after name= on its next line.
func (p *Proc) value(name string) string {
	p.t.Helper()
	select {
	case line := <-p.lines:
		value, ok := strings.CutPrefix(line, name+"=")
		if !ok {
			p.t.Fatalf("%s printed %q in place of %s", p.name, line, name)
		}
		return value
	case <-p.ended:
		p.t.Fatalf("%s ended at its start: %v\n%s", p.name, p.err, p.Log())
	case <-time.After(endTimeout):
		p.t.Fatalf("%s printed no address", p.name)
	}
	return ""
}

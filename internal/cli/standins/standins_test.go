package standins_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/damaskport/damaskport/internal/cli/standins"
)

func TestCommandsServeUntilInterrupted(t *testing.T) {
	for _, name := range []string{"platform", "engine", "service"} {
		t.Run(name, func(t *testing.T) {
			r, w := io.Pipe()
			code := make(chan int, 1)
			go func() { code <- standins.Execute([]string{name, "--addr", "127.0.0.1:0"}, w, io.Discard) }()
			line, err := bufio.NewReader(r).ReadString('\n')
			url, ok := strings.CutPrefix(strings.TrimSpace(line), "url=")
			if err != nil || !ok {
				t.Fatalf("first line %q, %v", line, err)
			}
			res, err := http.Get(url + "/admin/faults")
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if err := syscall.Kill(syscall.Getpid(), syscall.SIGINT); err != nil {
				t.Fatal(err)
			}
			if got := <-code; got != 0 {
				t.Errorf("exit code %d, want 0", got)
			}
		})
	}
	if got := standins.Execute([]string{"engine", "--no-such"}, io.Discard, io.Discard); got != 2 {
		t.Errorf("exit code of a wrong flag %d, want 2", got)
	}
}

package process_test

import (
	"context"
	"io/fs"
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/runtime/signals"
)

// TestStartOutlastsWhatOthersCause has two attempts fail in each way that something else on the machine, or
// on its way, can cause, and in some that only a change of the settings ends.
func TestStartOutlastsWhatOthersCause(t *testing.T) {
	listening := func(err error) error {
		return &listen.Error{Address: listen.Address{Setting: "callerAddr"}, Err: &net.OpError{Op: "listen", Err: err}}
	}
	for name, c := range map[string]struct {
		err      error
		outlasts bool
	}{
		"address taken":            {listening(syscall.EADDRINUSE), true},
		"address missing":          {listening(syscall.EADDRNOTAVAIL), true},
		"name not known":           {listening(&net.DNSError{IsNotFound: true}), true},
		"no descriptor left":       {listening(syscall.ENFILE), true},
		"no buffer left":           {listening(syscall.ENOBUFS), true},
		"no memory left":           {listening(syscall.ENOMEM), true},
		"file, no descriptor left": {errors.Wrap(&fs.PathError{Op: "open", Err: syscall.ENFILE}, "read settings"), true},
		"file absent":              {errors.Wrap(&fs.PathError{Op: "open", Err: syscall.ENOENT}, "read settings"), true},
		"port not allowed":         {listening(syscall.EACCES), false},
		"limit of its own":         {listening(syscall.EMFILE), false},
		"conflict":                 {&listen.Error{Err: &listen.ConflictError{}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			attempts := 0
			s := process.Starter{
				Signals: signals.Caught{Stopped: ctx}, Log: logging.Discard(), Clock: clock.System{}, Grace: func() clock.Millis { return 0 },
				Open: func() error {
					if attempts++; attempts > 2 {
						return nil
					}
					return c.err
				},
			}
			if started, err := s.Run(); started != c.outlasts || (err == nil) != c.outlasts {
				t.Errorf("started = %v, %v, want %v", started, err, c.outlasts)
			}
		})
	}
}

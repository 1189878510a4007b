//go:build !cgo || !unix

package signals

import (
	"os/signal"
	"syscall"
)

var inherited = ignoreHangup()

// ignoreHangup ignores SIGHUP as early as a program without C code can, and reports whether the
// parent process has it ignored.
func ignoreHangup() bool {
	before := signal.Ignored(syscall.SIGHUP)
	signal.Ignore(syscall.SIGHUP)
	return before
}

func inheritedIgnore() bool { return inherited }

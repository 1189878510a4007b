// Package signals handles the signals of a process from its start to its end.
//
// SIGHUP is ignored from before the Go runtime starts until Catch or EndOnHangup: a signal that
// asks for a reload must not end a process that is still starting.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitHangup is the exit status of a process that SIGHUP ends, as shells report it.
const exitHangup = 128 + int(syscall.SIGHUP)

// Caught are the signals of a process that runs as a server.
type Caught struct {
	// Stopped ends on SIGTERM or Ctrl-C.
	Stopped context.Context
	// Reload receives SIGHUP; signals that come before the last one was received are merged.
	Reload <-chan os.Signal
}

// Catch catches SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE until the process has ended: a
// second stop signal changes nothing about its exit status, and it outlives the reader of its log.
func Catch() Caught {
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	stopped, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return Caught{Stopped: stopped, Reload: reload}
}

// EndOnHangup makes SIGHUP end the process, as in a command whose terminal is closed. It changes
// nothing if the parent process has SIGHUP ignored.
func EndOnHangup() {
	if inheritedIgnore() {
		return
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		<-hup
		os.Exit(exitHangup)
	}()
}

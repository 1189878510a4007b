package process

import (
	"io/fs"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/policy/startup"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/signals"
)

// Starter starts a process that runs as a server.
type Starter struct {
	Signals signals.Caught
	Log     logrus.FieldLogger
	Clock   clock.Clock
	// Open makes one attempt to start: it reads the settings and opens the listeners.
	Open func() error
	// Grace returns the longest time for which a process with the settings read last goes on after
	// its stop signal.
	Grace func() clock.Millis
}

// Run calls Open until it succeeds, as startup decides. It returns false if the process was stopped
// before, and the error of Open if trying again is of no use.
func (s Starter) Run() (started bool, err error) {
	var state startup.State
	var told startup.Told
	for s.Signals.Stopped.Err() == nil {
		done, err := s.attempt()
		if !done {
			break
		}
		if err == nil {
			return true, nil
		}
		obstacle := obstacleOf(err)
		var d startup.Decision
		if state, d = state.WithFailure(s.Clock.Now(), obstacle, s.Grace()); d.GiveUp {
			s.Log.WithFields(logrus.Fields{"event": "startFailed", "for": obstacle, "waitedMs": d.WaitedMs}).Error(err)
			return false, err
		}
		var due bool
		if told, due = told.WithFailure(s.Clock.Now(), err.Error()); due {
			s.Log.WithFields(waitFields(obstacle, d)).WithFields(listen.HolderFields(err)).Warn(err)
		}
		_ = s.Clock.Sleep(s.Signals.Stopped, d.RetryMs)
	}
	s.Log.WithField("event", "stop").Info("stopped before the process served")
	return false, nil
}

// waitFields returns the fields of a line about a start that waits.
func waitFields(o startup.Obstacle, d startup.Decision) logrus.Fields {
	f := logrus.Fields{"event": "startWaits", "for": o, "waitedMs": d.WaitedMs}
	if !d.Endless {
		f["leftMs"] = d.LeftMs
	}
	return f
}

// attempt calls Open and returns its error. done is false if the process was stopped before Open
// returned, which a settings file may hold up that cannot be read.
func (s Starter) attempt() (done bool, err error) {
	result := make(chan error, 1)
	go func() { result <- s.Open() }()
	select {
	case err := <-result:
		return true, err
	case <-s.Signals.Stopped.Done():
		return false, nil
	}
}

// obstacleOf classifies the error of an attempt to start.
func obstacleOf(err error) startup.Obstacle {
	var problems *settings.Errors
	var path *fs.PathError
	var addr *listen.Error
	switch {
	case errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
		return startup.Shortage
	case errors.As(err, &addr):
		if addr.Taken() {
			return startup.TakenAddress
		}
		if addr.Missing() {
			return startup.MissingAddress
		}
	case errors.As(err, &problems):
		if problems.Syntax {
			return startup.IncompleteSettings
		}
	case errors.As(err, &path):
		return startup.IncompleteSettings
	}
	return startup.Permanent
}

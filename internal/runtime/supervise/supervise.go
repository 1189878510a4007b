// Package supervise runs tasks in a tree and restarts those that fail.
package supervise

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	firstBackoff = 50 * clock.Millisecond
	lastBackoff  = 5 * clock.Second
	// steadyAfter is the run time past which a failure starts from firstBackoff again.
	steadyAfter = 30 * clock.Second
)

// Task is one unit of supervised work. Run returns nil when the task is done,
// or an error when it must be restarted.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// PanicError reports a task that panicked.
type PanicError struct {
	Task  string
	Value any
	Stack string
}

// Error returns the task and the value of the panic.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Task, e.Value)
}

// InvariantError reports state that must never occur. It ends the process's
// tree instead of a restart, so that broken state is not carried on.
type InvariantError struct {
	Invariant string
	Detail    string
}

// Error returns the invariant and what was seen.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.Detail)
}

// Tree supervises a set of tasks.
type Tree struct {
	name  string
	log   logrus.FieldLogger
	clock clock.Clock
}

// New returns a Tree that logs failures to log.
func New(name string, log logrus.FieldLogger, c clock.Clock) *Tree {
	return &Tree{name: name, log: log, clock: c}
}

// Run runs the tasks until all are done, ctx ends, or one breaks an
// invariant. It returns nil when ctx ended.
func (t *Tree) Run(ctx context.Context, duties ...Task) error {
	g, gctx := errgroup.WithContext(ctx)
	for _, d := range duties {
		g.Go(func() error { return t.keep(gctx, d) })
	}
	err := g.Wait()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (t *Tree) keep(ctx context.Context, d Task) error {
	backoff := firstBackoff
	for {
		start := t.clock.Now()
		err := runOnce(ctx, d)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		var broken *InvariantError
		if errors.As(err, &broken) {
			t.log.WithFields(logrus.Fields{"event": "invariantViolated", "tree": t.name, "duty": d.Name}).Error(err)
			return err
		}
		if t.clock.Now()-start > steadyAfter {
			backoff = firstBackoff
		}
		t.log.WithFields(logrus.Fields{"event": "dutyRestart", "tree": t.name, "duty": d.Name, "backoffMs": int64(backoff)}).Warn(err)
		if t.clock.Sleep(ctx, backoff) != nil {
			return nil
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

func runOnce(ctx context.Context, d Task) (err error) {
	defer func() {
		if v := recover(); v != nil {
			if broken, ok := v.(*InvariantError); ok {
				err = broken
				return
			}
			err = &PanicError{Task: d.Name, Value: v, Stack: string(debug.Stack())}
		}
	}()
	return d.Run(ctx)
}

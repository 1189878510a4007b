// Package supervise runs the long-lived tasks of a process and restarts those that fail,
// with exponential backoff.
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
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 5 * clock.Second
	// backoffResetAfter is the run time after which a failure counts as the first one: the
	// task is restarted after minBackoff again.
	backoffResetAfter = 30 * clock.Second
)

// Task is a function that a Tree runs in its own goroutine. Run returns nil when the
// task is complete, or an error if it must be restarted.
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

// Error returns the name of the task and the value of the panic, without the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("task %s panicked: %v", e.Task, e.Value)
}

// InvariantError reports an inconsistent state that correct code never reaches. A Tree does
// not restart the task that returns it or panics with it, but stops all its tasks, so
// that the process does not keep working on corrupt state.
type InvariantError struct {
	Invariant string
	Detail    string
}

// Error returns the name of the invariant and the details of its violation.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.Detail)
}

// Tree supervises a set of tasks. Its name tells trees apart in the log.
type Tree struct {
	name  string
	log   logrus.FieldLogger
	clock clock.Clock
}

// New returns a Tree that logs restarts and invariant violations to log.
func New(name string, log logrus.FieldLogger, c clock.Clock) *Tree {
	return &Tree{name: name, log: log, clock: c}
}

// Run runs the tasks until all of them are complete, ctx ends or one of them fails with an
// *InvariantError, which Run returns. It returns nil if ctx ends or all tasks are complete.
func (t *Tree) Run(ctx context.Context, tasks ...Task) error {
	g, gctx := errgroup.WithContext(ctx)
	for _, task := range tasks {
		g.Go(func() error { return t.runWithRestarts(gctx, task) })
	}
	err := g.Wait()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// runWithRestarts runs a task until it is complete, ctx ends or it violates an invariant.
func (t *Tree) runWithRestarts(ctx context.Context, task Task) error {
	backoff := minBackoff
	for {
		start := t.clock.Now()
		err := runOnce(ctx, task)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		var violation *InvariantError
		if errors.As(err, &violation) {
			t.log.WithFields(logrus.Fields{"event": "invariantViolated", "tree": t.name, "duty": task.Name}).Error(err)
			return err
		}
		if t.clock.Now()-start > backoffResetAfter {
			backoff = minBackoff
		}
		t.log.WithFields(logrus.Fields{"event": "dutyRestart", "tree": t.name, "duty": task.Name, "backoffMs": int64(backoff)}).Warn(err)
		if t.clock.Sleep(ctx, backoff) != nil {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// runOnce runs a task once and returns a panic of it as an error.
func runOnce(ctx context.Context, task Task) (err error) {
	defer func() {
		if v := recover(); v != nil {
			if violation, ok := v.(*InvariantError); ok {
				err = violation
				return
			}
			err = &PanicError{Task: task.Name, Value: v, Stack: string(debug.Stack())}
		}
	}()
	return task.Run(ctx)
}

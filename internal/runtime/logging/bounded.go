package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/ring"
)

const (
	// sinkLines bounds the lines that wait for the writer.
	sinkLines = 2048
	// routinePart is the part of the bound that lines below the level of a
	// warning may use, so that those of failed requests find room.
	routinePart = 0.7
	// second is the span of the bounds.
	second = time.Second
)

// Bound limits what a process logs.
type Bound struct {
	LinesPerS int
	BytesPerS int
}

// Sink writes the lines of a logger without ever blocking it: lines beyond the
// bound, or that a slow reader leaves no room for, are dropped and counted.
type Sink struct {
	w       io.Writer
	bound   Bound
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64 // since they were told last
	total   atomic.Int64 // dropped since the start
	// taken and bytes count what was taken in the second that began at since.
	since, taken, bytes atomic.Int64
}

// NewBounded returns a logger and its Sink, whose Run writes to w.
func NewBounded(w io.Writer, level string, bound Bound) (*logrus.Logger, *Sink, error) {
	log, err := New(io.Discard, level)
	if err != nil {
		return nil, nil, err
	}
	s := &Sink{w: w, bound: bound, lines: ring.New[[]byte](sinkLines)}
	log.SetFormatter(sinkFormatter{log.Formatter, s})
	return log, s, nil
}

// sinkFormatter hands lines to the sink and leaves nothing for the logger to write.
type sinkFormatter struct {
	logrus.Formatter
	s *Sink
}

// Format formats one line.
func (f sinkFormatter) Format(e *logrus.Entry) ([]byte, error) {
	// The logger's buffer is used again after this call.
	e.Buffer = nil
	line, err := f.Formatter.Format(e)
	if err != nil {
		return nil, err
	}
	f.s.put(line, e.Level <= logrus.WarnLevel)
	return nil, nil
}

func (s *Sink) put(line []byte, urgent bool) {
	if !s.admit(time.Now(), len(line), urgent) || !s.lines.TryPut(line) {
		s.dropped.Add(1)
		s.total.Add(1)
	}
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// admit counts a line against the bound. Callers that meet at the turn of a
// second may let a few lines more pass.
func (s *Sink) admit(now time.Time, n int, urgent bool) bool {
	if since := s.since.Load(); now.UnixNano()-since >= int64(second) && s.since.CompareAndSwap(since, now.UnixNano()) {
		s.taken.Store(0)
		s.bytes.Store(0)
	}
	part := 1.0
	if !urgent {
		part = routinePart
	}
	if float64(s.taken.Load()) >= part*float64(s.bound.LinesPerS) || float64(s.bytes.Load()+int64(n)) > part*float64(s.bound.BytesPerS) {
		return false
	}
	s.taken.Add(1)
	s.bytes.Add(int64(n))
	return true
}

// Run writes lines until ctx ends, and then those that wait. It tells once a
// second how many were dropped.
func (s *Sink) Run(ctx context.Context) error {
	tick := time.NewTicker(second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.flush()
		case <-tick.C:
			if err := s.tell(); err != nil {
				return err
			}
		case line := <-s.lines.C():
			if _, err := s.w.Write(line); err != nil {
				return err
			}
		}
	}
}

func (s *Sink) tell() error {
	n := s.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(s.w, "time=%q level=warning event=logDropped lines=%d\n", time.Now().UTC().Format(timeFormat), n)
	return err
}

func (s *Sink) flush() error {
	for {
		select {
		case line := <-s.lines.C():
			if _, err := s.w.Write(line); err != nil {
				return err
			}
		default:
			return s.tell()
		}
	}
}

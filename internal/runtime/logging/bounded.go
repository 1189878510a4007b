package logging

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/ring"
)

const (
	// maxQueuedLines is the largest number of lines queued for the writer.
	maxQueuedLines = 2048
	// routineFraction is the fraction of the limits that lines of level info and below may
	// use. The rest is reserved for warnings and errors, such as those of failed requests.
	routineFraction = 0.7
	// lastLinesWait is the longest time for which the end of a process waits for its last lines.
	lastLinesWait = 100 * time.Millisecond
	// limitInterval is the interval over which lines and bytes are counted against the limits.
	limitInterval = time.Second
)

// Bound limits how many lines and bytes a process logs per second.
type Bound struct {
	LinesPerS int
	BytesPerS int
}

// Unlimited is a Bound that drops lines only while the queue to a slow writer is full.
var Unlimited = Bound{LinesPerS: math.MaxInt, BytesPerS: math.MaxInt}

// Sink writes the lines of a logger in the background, so that logging never blocks. Lines
// that exceed the limits, or arrive while the queue to a slow writer is full, are dropped and
// counted. It is safe for concurrent use.
type Sink struct {
	w               io.Writer
	limits          Bound
	queue           *ring.Ring[[]byte]
	unreportedDrops atomic.Int64 // lines dropped since the last logDropped line
	totalDrops      atomic.Int64 // lines dropped since the start
	// Start of the current interval in ns since the Unix epoch, and the number of lines and
	// bytes accepted since then.
	intervalStart, intervalLines, intervalBytes atomic.Int64
}

// NewBounded returns a logger of the named level, such as "info", and the Sink of its lines.
// Nothing is written to w until the Sink's Run is called.
func NewBounded(w io.Writer, level string, limits Bound) (*logrus.Logger, *Sink, error) {
	log, err := New(io.Discard, level)
	if err != nil {
		return nil, nil, err
	}
	s := &Sink{w: w, limits: limits, queue: ring.New[[]byte](maxQueuedLines)}
	log.SetFormatter(sinkFormatter{log.Formatter, s})
	return log, s, nil
}

// sinkFormatter formats lines and queues them in a Sink. The logger itself gets empty lines
// and writes nothing.
type sinkFormatter struct {
	logrus.Formatter
	sink *Sink
}

// Format implements logrus.Formatter. It queues the line of e in the sink and returns no
// bytes.
func (f sinkFormatter) Format(e *logrus.Entry) ([]byte, error) {
	// Without a buffer in the entry the formatter allocates one for each line. The logger
	// reuses its own buffer after this call, while the line is still queued.
	e.Buffer = nil
	line, err := f.Formatter.Format(e)
	if err != nil {
		return nil, err
	}
	f.sink.enqueue(line, e.Level <= logrus.WarnLevel)
	return nil, nil
}

func (s *Sink) enqueue(line []byte, urgent bool) {
	if !s.withinLimits(time.Now(), len(line), urgent) || !s.queue.TryPut(line) {
		s.unreportedDrops.Add(1)
		s.totalDrops.Add(1)
	}
}

// Dropped returns the number of lines dropped since the Sink was created.
func (s *Sink) Dropped() int64 { return s.totalDrops.Load() }

// withinLimits reports whether a line of size bytes fits within the limits of the current
// interval, and counts it if so. Urgent lines, warnings and above, may use the limits in full;
// other lines may use the fraction routineFraction of them. Concurrent callers at the start of an interval may exceed the limits by
// a few lines.
func (s *Sink) withinLimits(now time.Time, size int, urgent bool) bool {
	if intervalStart := s.intervalStart.Load(); now.UnixNano()-intervalStart >= int64(limitInterval) && s.intervalStart.CompareAndSwap(intervalStart, now.UnixNano()) {
		s.intervalLines.Store(0)
		s.intervalBytes.Store(0)
	}
	fraction := 1.0
	if !urgent {
		fraction = routineFraction
	}
	if float64(s.intervalLines.Load()) >= fraction*float64(s.limits.LinesPerS) || float64(s.intervalBytes.Load()+int64(size)) > fraction*float64(s.limits.BytesPerS) {
		return false
	}
	s.intervalLines.Add(1)
	s.intervalBytes.Add(int64(size))
	return true
}

// Start writes queued lines in the background until stop is called, which waits for the last lines
// for at most lastLinesWait: nobody may read the log any more.
func (s *Sink) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.Run(ctx)
	}()
	return func() {
		cancel()
		select {
		case <-written:
		case <-time.After(lastLinesWait):
		}
	}
}

// Run writes queued lines until ctx ends, and then the lines left in the queue. If lines were
// dropped, it also writes a logDropped line with their number, at most once a second
// and once more at the end. Lines that the writer fails to write count as dropped.
func (s *Sink) Run(ctx context.Context) {
	tick := time.NewTicker(limitInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.writeQueued()
			return
		case <-tick.C:
			s.reportDrops()
		case line := <-s.queue.C():
			s.write(line)
		}
	}
}

// write writes a line, or counts it as dropped. The reader of the log may be back for the next one.
func (s *Sink) write(line []byte) {
	if _, err := s.w.Write(line); err != nil {
		s.unreportedDrops.Add(1)
		s.totalDrops.Add(1)
	}
}

func (s *Sink) reportDrops() {
	n := s.unreportedDrops.Swap(0)
	if n == 0 {
		return
	}
	if _, err := fmt.Fprintf(s.w, "time=%q level=warning event=logDropped lines=%d\n", time.Now().UTC().Format(timeFormat), n); err != nil {
		s.unreportedDrops.Add(n)
	}
}

func (s *Sink) writeQueued() {
	for {
		select {
		case line := <-s.queue.C():
			s.write(line)
		default:
			s.reportDrops()
			return
		}
	}
}

package logging_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// TestStalledWriterDoesNotBlockLogging logs to a pipe that is never read. Logging must not wait
// for it: a stalled log reader would otherwise stall every request that logs.
func TestStalledWriterDoesNotBlockLogging(t *testing.T) {
	r, w := io.Pipe()
	log, sink, err := logging.NewBounded(w, "info", logging.Bound{LinesPerS: 1 << 20, BytesPerS: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		sink.Run(ctx)
		close(done)
	}()
	start := time.Now()
	for range 20000 {
		log.WithField("event", "answered").Info()
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("logging 20,000 lines to a stalled writer took %v, want at most 5 s", elapsed)
	}
	cancel()
	_ = r.Close()
	<-done
}

// TestLimitReservesRoomForWarnings logs more lines than the limit within a second. Excess
// routine lines must be dropped and counted; warnings logged after them must still be written.
func TestLimitReservesRoomForWarnings(t *testing.T) {
	var out bytes.Buffer
	log, sink, err := logging.NewBounded(&out, "info", logging.Bound{LinesPerS: 100, BytesPerS: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		log.WithField("event", "answered").Info()
	}
	for range 20 {
		log.WithField("event", "refused").Warn()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sink.Run(ctx)
	text := out.String()
	if n := strings.Count(text, "event=answered"); n != 70 {
		t.Errorf("%d info lines written, want 70, the part of the limit of 100 open to them", n)
	}
	if n := strings.Count(text, "event=refused"); n != 20 {
		t.Errorf("%d warnings written, want all 20", n)
	}
	if !strings.Contains(text, "event=logDropped lines=430\n") {
		t.Errorf("no logDropped line with 430 lines at the end of the log:\n%s", text[max(0, len(text)-200):])
	}
}

// brokenPipe is a writer that fails while its reader is away.
type brokenPipe struct {
	bytes.Buffer
	away bool
}

func (p *brokenPipe) Write(b []byte) (int, error) {
	if p.away {
		return 0, syscall.EPIPE
	}
	return p.Buffer.Write(b)
}

// TestLogGoesOnAfterItsReaderWasAway checks that lines lost to a broken pipe are counted, and that
// later ones are written once the reader is back.
func TestLogGoesOnAfterItsReaderWasAway(t *testing.T) {
	pipe := &brokenPipe{away: true}
	log, sink, err := logging.NewBounded(pipe, "info", logging.Bound{LinesPerS: 1000, BytesPerS: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 {
		log.WithField("event", "lost").Info()
	}
	sink.Run(ended)
	pipe.away = false
	log.WithField("event", "kept").Info()
	sink.Run(ended)
	if n := sink.Dropped(); n != 3 {
		t.Errorf("%d lines dropped, want 3", n)
	}
	for _, want := range []string{"event=kept", "event=logDropped lines=3"} {
		if !strings.Contains(pipe.String(), want) {
			t.Errorf("log lacks %q:\n%s", want, pipe.String())
		}
	}
}

func BenchmarkLogLine(b *testing.B) {
	log, sink, err := logging.NewBounded(io.Discard, "info", logging.Bound{LinesPerS: 1 << 30, BytesPerS: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		sink.Run(ctx)
		close(done)
	}()
	for b.Loop() {
		log.WithField("request", "9c41d07be2a35f68").WithField("event", "placed").Info()
	}
	cancel()
	<-done
}

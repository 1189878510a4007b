package logging_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// TestStoppedReaderBlocksNothing logs into a pipe that nobody reads.
func TestStoppedReaderBlocksNothing(t *testing.T) {
	r, w := io.Pipe()
	log, sink, err := logging.NewBounded(w, "info", logging.Bound{LinesPerS: 1 << 20, BytesPerS: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- sink.Run(ctx) }()
	start := time.Now()
	for range 20000 {
		log.WithField("event", "answered").Info()
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("20,000 lines took %v with a reader that stopped", took)
	}
	cancel()
	_ = r.Close()
	<-done
}

// TestBoundKeepsRoomForFailures logs more than the bound within a second: lines
// are dropped and counted, and those of failures still pass.
func TestBoundKeepsRoomForFailures(t *testing.T) {
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
	if err := sink.Run(ctx); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "event=answered"); n != 70 {
		t.Errorf("%d routine lines, want 70 of a bound of 100", n)
	}
	if n := strings.Count(text, "event=refused"); n != 20 {
		t.Errorf("%d lines of failures, want all 20", n)
	}
	if !strings.Contains(text, "event=logDropped lines=430\n") {
		t.Errorf("no line tells of 430 dropped ones:\n%s", text[max(0, len(text)-200):])
	}
}

func BenchmarkLine(b *testing.B) {
	log, sink, err := logging.NewBounded(io.Discard, "info", logging.Bound{LinesPerS: 1 << 30, BytesPerS: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- sink.Run(ctx) }()
	for b.Loop() {
		log.WithField("request", "9c41d07be2a35f68").WithField("event", "placed").Info()
	}
	cancel()
	<-done
}

package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// testTimeout bounds each test of this file.
const testTimeout = 20 * time.Second

// startReader runs a Reader that keeps s current with log, in g, until ctx ends.
func startReader(ctx context.Context, g *errgroup.Group, log config.Log, s *config.Store) {
	r := &config.Reader{Log: log, Store: s, Clock: clock.System{}, Logger: logging.Discard(), WaitMs: clock.Second}
	g.Go(func() error {
		_ = r.Run(ctx)
		return nil
	})
}

// TestConcurrentOperatorsLoseNoAcceptedChange has operators raise the same share by 1
// concurrently, at several processes. Each change is based on a version, so that of
// two changes based on the same one only the first is accepted: the final share
// counts exactly the accepted changes.
func TestConcurrentOperatorsLoseNoAcceptedChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := filledLog(t, clock.System{}, 0)
	var readers, operators errgroup.Group
	stores := []*config.Store{config.New(0), config.New(0), config.New(0)}
	for _, s := range stores {
		startReader(ctx, &readers, log, s)
	}
	const operatorCount, changes = 6, 20
	accepted := make([]int, operatorCount)
	for i := range operatorCount {
		s := stores[i%len(stores)]
		operators.Go(func() error {
			for n := range changes {
				ok, err := raiseShare(ctx, log, s, fmt.Sprintf("%d-%d", i, n))
				if err != nil {
					return err
				}
				if ok {
					accepted[i]++
				}
			}
			return nil
		})
	}
	if err := operators.Wait(); err != nil {
		t.Fatal(err)
	}
	want := 1
	for _, n := range accepted {
		want += n
	}
	for _, s := range stores {
		if err := s.Wait(ctx, 1+operatorCount*changes); err != nil {
			t.Fatal(err)
		}
		if a, _ := s.Current().Account("a"); a.Share != want || want == 1 {
			t.Errorf("share = %d, want 1 plus the number of accepted changes = %d", a.Share, want)
		}
		if s.Version() != stores[0].Version() {
			t.Errorf("processes have different versions: %v and %v", s.Version(), stores[0].Version())
		}
	}
	cancel()
	_ = readers.Wait()
}

// raiseShare appends a change that raises the share in s by 1, waits until s has
// folded it, and reports whether it was accepted.
func raiseShare(ctx context.Context, log *memoryLog, s *config.Store, id string) (bool, error) {
	if err := s.Wait(ctx, 1); err != nil {
		return false, err
	}
	d := s.Current()
	a, _ := d.Account("a")
	c := shareChange(id, d.Version(), a.Share+1)
	data, err := json.Marshal(c)
	if err != nil {
		return false, err
	}
	offset, err := log.Append(ctx, logservice.StreamConfig, data)
	if err != nil {
		return false, err
	}
	if err := s.Wait(ctx, offset); err != nil {
		return false, err
	}
	got, ok := s.FindChange(id, offset)
	if !ok || got.Offset != offset {
		return false, fmt.Errorf("change %s not found at offset %d: %+v", id, offset, got)
	}
	return got.Verdict.Accepted, nil
}

// TestNewProcessCatchesUpFromSnapshotAfterRetention checks that snapshots are written when they
// are due by age, although the log's clock is wrong, and that a process that starts
// after retention has dropped the older records catches up from the last snapshot.
func TestNewProcessCatchesUpFromSnapshotAfterRetention(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	manual := clock.NewManual(0, 1000)
	// The log's clock is an hour ahead and does not advance.
	log := filledLog(t, clock.NewManual(0, clock.Hour), 10)
	writer := config.New(0)
	var g errgroup.Group
	startReader(ctx, &g, log, writer)
	if err := writer.Wait(ctx, 11); err != nil {
		t.Fatal(err)
	}
	waitReady(ctx, t, writer)
	snapshotter := &config.Snapshotter{Log: log, Store: writer, Clock: manual, Logger: logging.Discard(), Author: "e1",
		MaxAgeMs: 10 * clock.Second, MaxRecords: 1000, CheckMs: clock.Second}
	g.Go(func() error {
		_ = snapshotter.Run(ctx)
		return nil
	})
	// The first snapshot is due at once, since there is none in the log. The second
	// one is due when the first one is MaxAgeMs old.
	for _, want := range []int64{12, 14} {
		for writer.LastSnapshot().Offset < want {
			if ctx.Err() != nil || manual.Now() > 10*clock.Minute {
				t.Fatalf("last snapshot = %+v after %d ms, want one at offset %d", writer.LastSnapshot(), manual.Now(), want)
			}
			manual.Advance(clock.Second)
			soon, done := context.WithTimeout(ctx, 5*time.Millisecond)
			_ = writer.Wait(soon, want)
			done()
		}
		appendChange(t, log, shareChange(fmt.Sprint("after", want), want, 40))
	}
	if err := writer.Wait(ctx, 15); err != nil {
		t.Fatal(err)
	}
	log.retain(14)
	fresh := config.New(0)
	startReader(ctx, &g, log, fresh)
	if err := fresh.Wait(ctx, 15); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(writer.Current().ToSnapshot(), fresh.Current().ToSnapshot()); diff != "" {
		t.Errorf("state (-writer +fresh):\n%s", diff)
	}
	cancel()
	_ = g.Wait()
}

// unresponsiveLog leaves the first reads unanswered until they time out, as a broken
// connection does. It records the timeout of every read.
type unresponsiveLog struct {
	*memoryLog
	unanswered int
	timeouts   []time.Duration
}

func (l *unresponsiveLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	deadline, _ := ctx.Deadline()
	l.timeouts = append(l.timeouts, time.Until(deadline).Round(time.Second))
	if len(l.timeouts) <= l.unanswered {
		<-ctx.Done()
		return logservice.Page{}, ctx.Err()
	}
	return l.memoryLog.Read(ctx, stream, from, limit, wait)
}

// TestReaderRetriesTimeoutsWithLongerTimeout checks that reads without an
// answer time out and are retried, each with twice the timeout of the one before, so
// that a log that takes longer than the first timeout can still be read.
func TestReaderRetriesTimeoutsWithLongerTimeout(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := &unresponsiveLog{memoryLog: filledLog(t, clock.System{}, 3), unanswered: 2}
	s := config.New(0)
	r := &config.Reader{Log: log, Store: s, Clock: clock.System{}, Logger: logging.Discard(), WaitMs: 20}
	var g errgroup.Group
	g.Go(func() error {
		_ = r.Run(ctx)
		return nil
	})
	if err := s.Wait(ctx, 4); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = g.Wait()
	if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}, log.timeouts[:3]); diff != "" {
		t.Errorf("timeouts of the reads (-want +got):\n%s", diff)
	}
}

// TestReaderReportsMissingRecordsAndIsNotReady checks that a Reader logs which records
// it lacks if the log has dropped them and holds no snapshot, and that the Store then
// does not become ready.
func TestReaderReportsMissingRecordsAndIsNotReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := filledLog(t, clock.System{}, 9)
	log.retain(6)
	events := make(chan string, 100)
	logger := logging.Discard()
	logger.AddHook(messageHook(events))
	s := config.New(0)
	r := &config.Reader{Log: log, Store: s, Clock: clock.System{}, Logger: logger, WaitMs: 20}
	var g errgroup.Group
	g.Go(func() error {
		_ = r.Run(ctx)
		return nil
	})
	select {
	case got := <-events:
		if want := "config records 1 to 5 are past retention and no snapshot is in the log"; got != want || s.Ready() {
			t.Errorf("event = %q, ready = %v; want %q and not ready", got, s.Ready(), want)
		}
	case <-ctx.Done():
		t.Error("no event about the missing records was logged")
	}
	cancel()
	_ = g.Wait()
}

// messageHook is a logrus hook that sends the logged messages to a channel.
type messageHook chan string

func (messageHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h messageHook) Fire(e *logrus.Entry) error {
	h <- e.Message
	return nil
}

// waitReady waits until s is ready.
func waitReady(ctx context.Context, t *testing.T, s *config.Store) {
	t.Helper()
	for !s.Ready() {
		if ctx.Err() != nil {
			t.Fatal("store not ready before the test timeout")
		}
		time.Sleep(time.Millisecond)
	}
}

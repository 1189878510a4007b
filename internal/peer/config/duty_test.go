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

const testTimeout = 20 * time.Second

// read runs a Reader of log into s until the test's context ends.
func read(ctx context.Context, g *errgroup.Group, log config.Log, s *config.Store) {
	r := &config.Reader{Log: log, Store: s, Clock: clock.System{}, Logger: logging.Discard(), WaitMs: clock.Second}
	g.Go(func() error {
		_ = r.Run(ctx)
		return nil
	})
}

func TestRacingOperatorsLoseNoAcceptedChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := filledLog(t, clock.System{}, 0)
	var readers, operators errgroup.Group
	stores := []*config.Store{config.New(0), config.New(0), config.New(0)}
	for _, s := range stores {
		read(ctx, &readers, log, s)
	}
	const racers, changes = 6, 20
	accepted := make([]int, racers)
	for i := range racers {
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
		if err := s.Wait(ctx, 1+racers*changes); err != nil {
			t.Fatal(err)
		}
		if a, _ := s.Current().Account("a"); a.Share != want || want == 1 {
			t.Errorf("share = %d, want 1 and one for each accepted change = %d", a.Share, want)
		}
		if s.Version() != stores[0].Version() {
			t.Errorf("versions differ: %v and %v", s.Version(), stores[0].Version())
		}
	}
	cancel()
	_ = readers.Wait()
}

// raiseShare adds 1 to the share as an operator who sees s, and tells whether
// the change was accepted.
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

func TestSnapshotterKeepsTheStreamReadable(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	manual := clock.NewManual(0, 1000)
	// The log's clock is an hour ahead and stands still.
	log := filledLog(t, clock.NewManual(0, clock.Hour), 10)
	holder := config.New(0)
	var g errgroup.Group
	read(ctx, &g, log, holder)
	if err := holder.Wait(ctx, 11); err != nil {
		t.Fatal(err)
	}
	waitReady(ctx, t, holder)
	snapshotter := &config.Snapshotter{Log: log, Store: holder, Clock: manual, Logger: logging.Discard(), Author: "e1",
		MaxAgeMs: 10 * clock.Second, MaxRecords: 1000, CheckMs: clock.Second}
	g.Go(func() error {
		_ = snapshotter.Run(ctx)
		return nil
	})
	// The first snapshot is due at once, the next one by its age.
	for _, want := range []int64{12, 14} {
		for holder.LastSnapshot().Offset < want {
			if ctx.Err() != nil || manual.Now() > 10*clock.Minute {
				t.Fatalf("last snapshot = %+v after %d ms, want one at %d", holder.LastSnapshot(), manual.Now(), want)
			}
			manual.Advance(clock.Second)
			soon, done := context.WithTimeout(ctx, 5*time.Millisecond)
			_ = holder.Wait(soon, want)
			done()
		}
		appendChange(t, log, shareChange(fmt.Sprint("after", want), want, 40))
	}
	if err := holder.Wait(ctx, 15); err != nil {
		t.Fatal(err)
	}
	log.retain(14)
	fresh := config.New(0)
	read(ctx, &g, log, fresh)
	if err := fresh.Wait(ctx, 15); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(holder.Current().ToSnapshot(), fresh.Current().ToSnapshot()); diff != "" {
		t.Errorf("state (-holder +fresh):\n%s", diff)
	}
	cancel()
	_ = g.Wait()
}

// silentLog does not answer its first reads, as over a silent connection.
type silentLog struct {
	*memoryLog
	silent    int
	deadlines []time.Duration
}

func (l *silentLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	deadline, _ := ctx.Deadline()
	l.deadlines = append(l.deadlines, time.Until(deadline).Round(time.Second))
	if len(l.deadlines) <= l.silent {
		<-ctx.Done()
		return logservice.Page{}, ctx.Err()
	}
	return l.memoryLog.Read(ctx, stream, from, limit, wait)
}

func TestReaderReplacesSilentConnectionAndBearsWithSlowLog(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := &silentLog{memoryLog: filledLog(t, clock.System{}, 3), silent: 2}
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
	if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}, log.deadlines[:3]); diff != "" {
		t.Errorf("deadlines of the reads (-want +got):\n%s", diff)
	}
}

func TestReaderTellsMissingRecordsAndIsNotReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	log := filledLog(t, clock.System{}, 9)
	log.retain(6)
	events := make(chan string, 100)
	logger := logging.Discard()
	logger.AddHook(hook(events))
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
		t.Error("nothing was told about the missing records")
	}
	cancel()
	_ = g.Wait()
}

// hook passes the messages of a logger on.
type hook chan string

func (hook) Levels() []logrus.Level { return logrus.AllLevels }

func (h hook) Fire(e *logrus.Entry) error {
	h <- e.Message
	return nil
}

func waitReady(ctx context.Context, t *testing.T, s *config.Store) {
	t.Helper()
	for !s.Ready() {
		if ctx.Err() != nil {
			t.Fatal("the store did not become ready")
		}
		time.Sleep(time.Millisecond)
	}
}

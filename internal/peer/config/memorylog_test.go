package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// memoryLog is a config stream in memory. It implements config.Log and
// config.Appender; records are dropped by retain only.
type memoryLog struct {
	mu      sync.Mutex
	clock   clock.Clock // of the records' timestamps
	records []logservice.Record
	first   int64         // offset of the first record
	next    int64         // offset of the next append
	changed chan struct{} // closed and replaced on each append
}

func newMemoryLog(c clock.Clock) *memoryLog {
	return &memoryLog{clock: c, first: 1, next: 1, changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next
	l.next++
	l.records = append(l.records, logservice.Record{Offset: offset, AtMs: l.clock.Wall(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

// retain drops all records below offset.
func (l *memoryLog) retain(offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[offset-l.first:]
	l.first = offset
}

func (l *memoryLog) Read(ctx context.Context, _ string, from int64, limit int, _ clock.Millis) (logservice.Page, error) {
	for {
		l.mu.Lock()
		start := max(from, l.first)
		page := logservice.Page{FirstOffset: l.first, NextOffset: l.next}
		if start < l.next {
			rest := l.records[start-l.first:]
			page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
		}
		changed := l.changed
		l.mu.Unlock()
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, ctx.Err()
		case <-changed:
		}
	}
}

func (l *memoryLog) all() []logservice.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]logservice.Record(nil), l.records...)
}

// shareChange returns a change, based on version basedOn, that sets the share of the
// account "a".
func shareChange(id string, basedOn int64, share int) directory.Change {
	return directory.Change{ID: id, BasedOn: basedOn, Ops: []directory.Op{
		{SetAccount: &directory.Account{Name: "a", Share: share, Classes: []string{"chat"}}},
	}}
}

// firstChange returns a change that creates a pool, a class and the account "a" with
// share 1.
func firstChange() directory.Change {
	c := shareChange("first", 0, 1)
	c.Ops = append([]directory.Op{
		{SetPool: &directory.Pool{Name: "p", Kind: directory.PoolService, Slots: 1}},
		{SetClass: &directory.Class{Name: "chat", Pools: []string{"p"}}},
	}, c.Ops...)
	return c
}

func encoded(t rapid.TB, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// filledLog returns a log with firstChange and n further changes of the share.
func filledLog(t testing.TB, c clock.Clock, n int) *memoryLog {
	t.Helper()
	log := newMemoryLog(c)
	appendChange(t, log, firstChange())
	for i := range n {
		appendChange(t, log, shareChange(fmt.Sprint(i), int64(i+1), i+2))
	}
	return log
}

func appendChange(t testing.TB, log *memoryLog, c directory.Change) int64 {
	t.Helper()
	offset, err := log.Append(t.Context(), logservice.StreamConfig, encoded(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

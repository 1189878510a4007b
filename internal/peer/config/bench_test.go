package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// shareChanges is the number of records after the first one, which creates the
// accounts.
const shareChanges = 100

// accountsLog returns a log whose first record creates n client accounts with one key
// each, and whose further shareChanges records each change the share of one account.
func accountsLog(b *testing.B, n int) *memoryLog {
	b.Helper()
	log := newMemoryLog(clock.NewManual(0, 0))
	ops := []directory.Op{
		{SetPool: &directory.Pool{Name: "assistant", Kind: directory.PoolModel, Model: "m", Slots: 8}},
		{SetClass: &directory.Class{Name: "chat", Tier: 1, Pools: []string{"assistant"}}},
	}
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		ops = append(ops, directory.Op{SetAccount: &directory.Account{Name: name, Share: 1, Classes: []string{"chat"}}},
			directory.Op{IssueKey: &directory.Key{ID: fmt.Sprintf("k%04d", i), Account: name, Digest: directory.DigestSecret(name)}})
	}
	appendChange(b, log, directory.Change{ID: "fill", Ops: ops})
	for i := range shareChanges {
		account := directory.Account{Name: fmt.Sprintf("account-%04d", i%n), Share: i + 2, Classes: []string{"chat"}}
		appendChange(b, log, directory.Change{
			ID: fmt.Sprint("change-", i), Author: "operator", BasedOn: int64(i + 1), Ops: []directory.Op{{SetAccount: &account}},
		})
	}
	return log
}

// BenchmarkStore measures, by the number of client accounts: the update for a process
// that is one change behind, the folding of changes, and the snapshot for a new
// process.
func BenchmarkStore(b *testing.B) {
	for _, n := range []int{10, 1000, 6300} {
		records := accountsLog(b, n).all()
		last := len(records) - 1
		s := config.New(0)
		offer(b, s, records)
		if got := s.Version().Number; got != int64(len(records)) {
			b.Fatalf("version %d after %d records", got, len(records))
		}
		b.Run(fmt.Sprintf("recordsSince/accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				got, _ := s.RecordsSince(int64(last))
				size = encodedSize(b, got)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprintf("offer/accounts=%d", n), func(b *testing.B) {
			benchmarkOffer(b, records)
		})
		b.Run(fmt.Sprintf("snapshot/accounts=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				snap := s.Current().ToSnapshot()
				size = encodedSize(b, snap)
				if err := config.New(0).OfferSnapshot(snap); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// benchmarkOffer measures the folding of single changes after the first record.
func benchmarkOffer(b *testing.B, records []logservice.Record) {
	changes := records[1:]
	for b.Loop() {
		b.StopTimer()
		s := config.New(0)
		offer(b, s, records[:1])
		b.StartTimer()
		for _, r := range changes {
			offer(b, s, []logservice.Record{r})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(changes)), "ns/change")
}

// encodedSize returns the length of v as JSON, in bytes.
func encodedSize(b *testing.B, v any) int {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

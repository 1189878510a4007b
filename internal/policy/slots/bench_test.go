package slots_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// fullServer returns a scheduler whose 8 slots are taken, with the given number of
// waiting reservations from the given number of accounts, and those reservations.
func fullServer(waiting, accounts int) (*slots.Scheduler, []slots.Reservation) {
	s := slots.New(slots.Config{Slots: 8})
	for i := range 8 {
		s.TryStart(0, slots.Reservation{ID: fmt.Sprint("run", i), Account: "x", Class: "c0"})
	}
	rs := make([]slots.Reservation, waiting)
	for i := range rs {
		rs[i] = reservation(i, accounts)
		s.Reserve(0, rs[i])
	}
	return s, rs
}

// reservation returns a reservation numbered i of one of the given number of accounts,
// with a deadline that does not pass.
func reservation(i, accounts int) slots.Reservation {
	return slots.Reservation{
		ID: fmt.Sprint("w", i), Entry: fmt.Sprint("e", i%20), Class: fmt.Sprint("c", i%3), Tier: i % 3, FloorPercent: 5 * (i % 3),
		Account: fmt.Sprint("account", i*7919%accounts), ArrivedMs: clock.Millis(i), DeadlineMs: clock.Hour*1000 + clock.Millis(i), EstOutputTokens: 100 + i%50,
	}
}

var sizes = []struct{ waiting, accounts int }{
	{10, 10}, {100, 10}, {1000, 10}, {10000, 10}, {10000, 1000}, {10000, 6300},
}

// BenchmarkReserveCancel adds and removes one reservation in a filled queue.
func BenchmarkReserveCancel(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n.waiting, n.accounts), func(b *testing.B) {
			s, rs := fullServer(n.waiting, n.accounts)
			r := rs[len(rs)/2]
			r.ID = "one"
			for b.Loop() {
				s.Reserve(1, r)
				s.Cancel(1, r.ID)
			}
		})
	}
}

// BenchmarkFinishAcceptReserve ends a running request, accepts the next offer and
// refills the queue.
func BenchmarkFinishAcceptReserve(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n.waiting, n.accounts), func(b *testing.B) {
			s, rs := fullServer(n.waiting, n.accounts)
			last := "run0"
			for i := 0; b.Loop(); i++ {
				s.Finish(1, last, 100)
				for _, a := range s.Actions() {
					last = a.ID
					s.Accept(1, a.ID)
				}
				r := rs[i%len(rs)]
				r.ID = fmt.Sprint("t", i)
				s.Reserve(1, r)
			}
		})
	}
}

// BenchmarkTick calls Tick, which re-estimates up to 64 waiting reservations each time.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n.waiting, n.accounts), func(b *testing.B) {
			s, _ := fullServer(n.waiting, n.accounts)
			for now := clock.Millis(1); b.Loop(); now += clock.Second {
				s.Tick(now)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per waiting reservation, strings included.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n.waiting, n.accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, _ := fullServer(n.waiting, n.accounts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n.waiting), "B/reservation")
		})
	}
}

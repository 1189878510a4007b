package startup_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/startup"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestWaitIsBoundedByTheObstacle lets attempts to start fail every 100 ms.
func TestWaitIsBoundedByTheObstacle(t *testing.T) {
	const grace = 8 * clock.Second
	var (
		settings = startup.IncompleteSettings
		address  = startup.MissingAddress
		taken    = startup.TakenAddress
	)
	for _, c := range []struct {
		name     string
		obstacle func(now clock.Millis) startup.Obstacle
		endsMs   clock.Millis
	}{
		{"wrong setting", func(clock.Millis) startup.Obstacle { return startup.Permanent }, 0},
		{"settings", func(clock.Millis) startup.Obstacle { return settings }, 5 * clock.Second},
		{"address", func(clock.Millis) startup.Obstacle { return address }, grace + 3*clock.Second},
		{"settings, then address", func(now clock.Millis) startup.Obstacle {
			if now < 2*clock.Second {
				return settings
			}
			return address
		}, 2*clock.Second + grace + 3*clock.Second},
		{"settings and address by turns", func(now clock.Millis) startup.Obstacle {
			return []startup.Obstacle{settings, address}[now/1000%2]
		}, 5*clock.Second + grace + 3*clock.Second},
		{"settings, then a wrong one", func(now clock.Millis) startup.Obstacle {
			if now < 2*clock.Second {
				return settings
			}
			return startup.Permanent
		}, 2 * clock.Second},
		{"taken for an hour, then settings", func(now clock.Millis) startup.Obstacle {
			if now < clock.Hour {
				return taken
			}
			return settings
		}, clock.Hour + 5*clock.Second},
		{"taken for an hour, then a wrong setting", func(now clock.Millis) startup.Obstacle {
			if now < clock.Hour {
				return taken
			}
			return startup.Permanent
		}, clock.Hour},
		{"taken and settings by turns", func(now clock.Millis) startup.Obstacle {
			return []startup.Obstacle{taken, settings}[now/1000%2]
		}, 2*(5*clock.Second+grace+3*clock.Second) + clock.Second}, // by then it is taken again for a second
	} {
		t.Run(c.name, func(t *testing.T) {
			var s startup.State
			var d startup.Decision
			now := clock.Millis(0)
			for ; ; now += 100 {
				if s, d = s.WithFailure(now, c.obstacle(now), grace); d.GiveUp {
					break
				}
				if d.RetryMs <= 0 {
					t.Fatalf("no pause before the next attempt at %d ms", now)
				}
			}
			if diff := cmp.Diff(c.endsMs, now); diff != "" {
				t.Errorf("time at which the process gives up (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(startup.Decision{GiveUp: true, RetryMs: d.RetryMs, WaitedMs: now}, d); diff != "" {
				t.Errorf("decision at the end (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTakenAddressIsWaitedForWithoutEnd guards against starts that end, or hardly try, because an
// address stays taken or the machine short.
func TestTakenAddressIsWaitedForWithoutEnd(t *testing.T) {
	const grace, attempts = 8 * clock.Second, 100_000
	var s startup.State
	var d startup.Decision
	now := clock.Millis(0)
	for i := range attempts {
		o := []startup.Obstacle{startup.TakenAddress, startup.Shortage}[i%2]
		if s, d = s.WithFailure(now, o, grace); d.GiveUp || !d.Endless {
			t.Fatalf("decision at %d ms: %+v", now, d)
		}
		want := clock.Millis(50)
		if now >= grace+3*clock.Second {
			want = 500
		}
		if diff := cmp.Diff(startup.Decision{RetryMs: want, WaitedMs: now, Endless: true}, d); diff != "" {
			t.Fatalf("decision at %d ms (-want +got):\n%s", now, diff)
		}
		now += d.RetryMs
	}
}

// TestFailuresAreToldAtBoundedIntervals has attempts each 50 ms fail for the reasons of a period each.
func TestFailuresAreToldAtBoundedIntervals(t *testing.T) {
	for name, c := range map[string]struct {
		reason func(now clock.Millis) string
		want   []clock.Millis
	}{
		"same":    {func(clock.Millis) string { return "a" }, []clock.Millis{0, 10_000, 20_000, 30_000}},
		"another": {func(now clock.Millis) string { return string("ab"[min(now/2500, 1)]) }, []clock.Millis{0, 2500, 12_500, 22_500, 32_500}},
		"by turns": {func(now clock.Millis) string { return string("ab"[now/50%2]) }, []clock.Millis{
			0, 1050, 2100, 3150, 4200, 5250, 6300, 7350, 8400, 9450, 10_500, 11_550, 12_600, 13_650, 14_700, 15_750, 16_800, 17_850,
			18_900, 19_950, 21_000, 22_050, 23_100, 24_150, 25_200, 26_250, 27_300, 28_350, 29_400, 30_450, 31_500, 32_550, 33_600, 34_650,
		}},
	} {
		var told startup.Told
		var got []clock.Millis
		for now := clock.Millis(0); now < 35_000; now += 50 {
			var due bool
			if told, due = told.WithFailure(now, c.reason(now)); due {
				got = append(got, now)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: told at (-want +got):\n%s", name, diff)
		}
	}
}

//go:build review

package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	budgetGateways = 4
	budgetServers  = 4
	// budgetRate is the requests a second of the callers together.
	budgetRate = 60
	// greyShare and greyTime are the dose of srv_grey "errors all" in the site file of bounceline-core.
	greyShare = 0.45
	greyTime  = 4 * time.Second
	// restartDelay is the time from the kill of a process to its new start.
	restartDelay = 300 * time.Millisecond
)

// budget has workers fail a part of the requests, twice, and all gateways killed between.
func budget(w *world) (bool, error) {
	var grey atomic.Bool
	var servers []*server
	for i := range budgetServers {
		servers = append(servers, w.addServer("i-app"+string(rune('a'+i)), "app", func(s *server, rw http.ResponseWriter, r *http.Request) {
			s.note(r, true)
			time.Sleep(15 * time.Millisecond)
			s.stamp(rw)
			if grey.Load() && rand.Float64() < greyShare {
				rw.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = rw.Write([]byte("answer of " + s.id))
		}))
	}
	w.publish(1, route{name: "lookup", prefix: "/lookup/", kind: "safe", service: "app", attempts: 2, timeoutMs: 1000, sloMs: 300})
	for range budgetGateways {
		w.addGateway(nil)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)

	var mu sync.Mutex
	var sent []time.Time
	statuses := map[int]int{}
	done := make(chan struct{})
	var calls, loops sync.WaitGroup
	loops.Add(1)
	go func() {
		defer loops.Done()
		tick := time.NewTicker(time.Second / budgetRate)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			g := w.gateways[n%len(w.gateways)]
			calls.Add(1)
			go func() {
				defer calls.Done()
				id := newID()
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				status, _ := call(g.caller, http.MethodGet, "/lookup/1", id, time.Second)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(10 * time.Second)

	w.record.logf("the workers fail %.0f %% of the requests", greyShare*100)
	grey.Store(true)
	time.Sleep(greyTime)
	grey.Store(false)
	w.record.logf("the workers are sound again")
	if w.trouble {
		for _, g := range w.gateways {
			g.kill()
		}
		time.Sleep(restartDelay)
		if err := w.startAll(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(restartDelay)
	}
	w.record.logf("the workers fail %.0f %% of the requests", greyShare*100)
	grey.Store(true)
	time.Sleep(greyTime)
	grey.Store(false)
	w.record.logf("the workers are sound again")
	time.Sleep(3 * time.Second)
	close(done)
	loops.Wait()
	calls.Wait()
	w.record.logf("answers by status (0: none): %v", statuses)
	return w.overBudget(servers, sent), nil
}

// overBudget checks the rule BUDGET in all windows, of which the arrivals beyond the first of each request count.
func (w *world) overBudget(servers []*server, sent []time.Time) bool {
	first := map[string]bool{}
	var again []time.Time
	for _, a := range allArrivals(servers) {
		if first[a.id] {
			again = append(again, a.at)
		}
		first[a.id] = true
	}
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	w.record.logf("%d requests sent, %d arrivals beyond the first of a request", len(sent), len(again))
	broken, worst := false, 0.0
	for _, from := range again {
		n := count(again, from)
		base := max(count(sent, from), count(sent, from.Add(-budgetWindow)), count(sent, from.Add(-budgetWindow/2)))
		most := budgetRatio*float64(base) + budgetSlack
		if over := float64(n) - most; over > worst {
			worst, broken = over, true
			w.record.logf("window of 10 s from %.3f s: %d arrivals beyond the first, at most %.1f allowed for %d requests", from.Sub(w.record.began).Seconds(), n, most, base)
		}
	}
	return broken
}

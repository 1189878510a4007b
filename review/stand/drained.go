//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drained-stream"] = drainedStream }

const (
	streamRounds  = 4
	streamServers = 6
	streamEvents  = 40
	streamGap     = 100 * time.Millisecond
	// spotNotice is how long after its notice a server is gone.
	spotNotice = 2 * time.Second
)

// drainedStream has servers end their streams with the connection, and takes the busiest of six
// away two seconds after it reported that it drains. Each stream that its caller sees as complete must
// have all events.
func drainedStream(w *world) bool {
	w.putManifest(1, []map[string]any{engineService("mind")},
		route("draft", "stream", "mind", 15000, map[string]any{"Sticky": true, "CanResume": true, "ItlTargetMs": 1200}))
	var servers []*server
	for i := range streamServers {
		servers = append(servers, w.addServer("mind", fmt.Sprintf("mind-%d", i), "1"))
	}
	w.startGateways(2)
	short := map[string]int{}
	for n := range streamRounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 24 {
			framing, g := []string{"close", "chunked"}[i%2], w.gateways[(i/2)%len(w.gateways)]
			wg.Go(func() {
				id := w.newID()
				target := fmt.Sprintf("/draft/1?n=%d&gap=%d&framing=%s", streamEvents, streamGap.Milliseconds(), framing)
				o := w.send(g, "POST", target, id, 15*time.Second, map[string]string{
					"Model": "m", "Token-Count": "400,240", "Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%s:200", id),
				})
				events, result := lastEvent(o.body), "complete"
				switch {
				case !o.complete():
					result = fmt.Sprintf("not complete (%v)", o.err)
				case events != streamEvents:
					result = "ENDED AS COMPLETE BEFORE ITS LAST EVENT"
					mu.Lock()
					short[framing]++
					mu.Unlock()
				}
				w.note("%s gets %d, stamp %q, %d of %d events (framing %s): %s", id, o.status, o.stamp, events, streamEvents, framing, result)
			})
		}
		time.Sleep(800 * time.Millisecond)
		k := busiest(servers)
		s := servers[k]
		if w.trouble {
			w.register(s, "draining")
			time.Sleep(spotNotice)
			w.kill(s)
		}
		wg.Wait()
		if w.trouble {
			w.removeEntry(s)
			servers[k] = w.addServer("mind", fmt.Sprintf("mind-%d-%d", k, n), "1")
		}
		time.Sleep(2 * time.Second)
		busiest(servers)
	}
	w.note("streams that ended as complete before their last event: %v", short)
	return len(short) > 0
}

//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["large-answer"] = largeAnswer }

const (
	plainRounds  = 6
	plainServers = 4
	// plainOver is the time in which a server sends an answer; it is killed halfway.
	plainOver = 900 * time.Millisecond
)

// largeAnswer has servers end their answers with the connection, and kills the busiest of four while
// it answers. Each answer that its caller sees as complete must be whole.
func largeAnswer(w *world) bool {
	w.putManifest(1, []map[string]any{{"Name": "desk", "MaxConns": 110}}, route("read", "safe", "desk", 4000, nil))
	var servers []*server
	for i := range plainServers {
		servers = append(servers, w.addServer("desk", fmt.Sprintf("desk-%d", i), "1"))
	}
	w.startGateways(2)
	kinds := []struct {
		framing string
		size    int
	}{{"close", 32 << 10}, {"close", 256 << 10}, {"length", 256 << 10}, {"chunked", 256 << 10}}
	torn := map[string]int{}
	for n := range plainRounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 6 * len(kinds) {
			k, g := kinds[i%len(kinds)], w.gateways[(i/len(kinds))%len(w.gateways)]
			wg.Go(func() {
				id := w.newID()
				target := fmt.Sprintf("/read/1?size=%d&ms=%d&framing=%s", k.size, plainOver.Milliseconds(), k.framing)
				o := w.send(g, "GET", target, id, 4*time.Second, nil)
				result := "complete"
				switch {
				case !o.complete():
					result = fmt.Sprintf("not complete (%v)", o.err)
				case o.body != wholeBody(id, k.size):
					result = "COMPLETE BUT TORN"
					mu.Lock()
					torn[fmt.Sprintf("%s, %d KiB", k.framing, k.size>>10)]++
					mu.Unlock()
				}
				w.note("%s gets %d, stamp %q, %d of %d bytes (framing %s): %s", id, o.status, o.stamp, len(o.body), k.size, k.framing, result)
			})
		}
		time.Sleep(plainOver / 2)
		k := busiest(servers)
		s := servers[k]
		if w.trouble {
			w.kill(s)
		}
		wg.Wait()
		if w.trouble {
			w.removeEntry(s)
			servers[k] = w.addServer("desk", fmt.Sprintf("desk-%d-%d", k, n), "1")
		}
		time.Sleep(2 * time.Second)
		busiest(servers)
	}
	w.note("answers that were complete but torn: %v", torn)
	return len(torn) > 0
}

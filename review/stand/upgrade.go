//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade-in-place"] = upgradeInPlace }

const (
	upgradePools   = 16
	upgradeServers = 4
	// upgraded is the number of servers of a pool that are replaced.
	upgraded       = 2
	upgradeStreams = 16
	upgradeEvents  = 40
	// bootTime is how long a server is away while it is replaced, and upgradeGap the time from
	// the end of one server to that of the next one.
	bootTime   = 900 * time.Millisecond
	upgradeGap = time.Second
	// mayBeMixed is the number of streams that may hold events of two versions.
	mayBeMixed = 2
)

// upgradeInPlace replaces two of four servers, one after the other, by a new version, which starts
// under the id and at the address of the old one. No more than two streams may hold events of two
// versions.
func upgradeInPlace(w *world) bool {
	var services, routes []map[string]any
	pools := make([][]*server, upgradePools)
	for p := range pools {
		name := fmt.Sprintf("mind%d", p)
		services = append(services, engineService(name))
		routes = append(routes, route("draft"+fmt.Sprint(p), "stream", name, 15000, map[string]any{"Sticky": true, "CanResume": true, "ItlTargetMs": 1200, "Attempts": 3}))
	}
	w.putManifest(1, services, routes...)
	for p := range pools {
		for i := range upgradeServers {
			pools[p] = append(pools[p], w.addServer(fmt.Sprintf("mind%d", p), fmt.Sprintf("mind%d-%d", p, i), "1"))
		}
	}
	w.startGateways(8)
	mixed := 0
	for p, servers := range pools {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range upgradeStreams {
			wg.Go(func() {
				id := w.newID()
				target := fmt.Sprintf("/draft%d/1?n=%d&gap=100&framing=chunked", p, upgradeEvents)
				o := w.send(w.gateways[i%len(w.gateways)], "POST", target, id, 15*time.Second, map[string]string{
					"Model": "m", "Token-Count": "400,240", "Prefix-Hash": fmt.Sprintf("5c1e07a2:200,%s:200", id),
				})
				one, two := strings.Count(o.body, "by version 1\n"), strings.Count(o.body, "by version 2\n")
				result := "one version"
				if one > 0 && two > 0 {
					result = "EVENTS OF TWO VERSIONS"
					mu.Lock()
					mixed++
					mu.Unlock()
				}
				w.note("%s gets %d, stamp %q, %d events of version 1 and %d of version 2 (%v): %s", id, o.status, o.stamp, one, two, o.err, result)
			})
		}
		time.Sleep(1200 * time.Millisecond)
		if w.trouble {
			var replaced sync.WaitGroup
			for _, s := range servers[:upgraded] {
				w.kill(s)
				replaced.Go(func() {
					time.Sleep(bootTime)
					s.version = "2"
					w.startServer(s)
					w.register(s, "ready")
				})
				time.Sleep(upgradeGap)
			}
			replaced.Wait()
		}
		wg.Wait()
	}
	w.note("streams that hold events of two versions: %d", mixed)
	return mixed > mayBeMixed
}

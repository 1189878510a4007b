package gateway

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/homes"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/evacuation"
)

// evacuatedRetryAfter is the Retry-After when all servers that could take a request are in
// evacuated zones. When a zone is given back is not known: an operator takes seconds at least, and
// the other gateways know no more.
const evacuatedRetryAfter = 2 * clock.Second

// evacuatedZones holds the zones that an operator has evacuated. It is safe for concurrent use.
type evacuatedZones struct {
	// returned is called with each zone that is given back, before requests are placed there again: its
	// servers may have become cold. It is called with mu held.
	returned func(now clock.Millis, zone string)

	mu    sync.Mutex
	state *evacuation.State
}

func newEvacuatedZones() *evacuatedZones {
	return &evacuatedZones{state: evacuation.New(), returned: func(clock.Millis, string) {}}
}

// evacuated reports whether no request may be sent to the servers of a zone.
func (z *evacuatedZones) evacuated(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.Evacuated(zone)
}

// count returns the number of evacuated zones.
func (z *evacuatedZones) count() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return len(z.state.Zones())
}

// view returns what is known, for other gateways; nil as long as the operator's records are not known.
func (z *evacuatedZones) view() *evacuation.View {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.state.Known() {
		return nil
	}
	v := z.state.View()
	return &v
}

// known reports whether the operator's records are known.
func (z *evacuatedZones) known() bool { return z.view() != nil }

// changeZones applies a change of the evacuated zones: placements and requests that wait follow at
// once. source is "store" or the name of the gateway that told.
func (g *Gateway) changeZones(source string, f func(now clock.Millis, s *evacuation.State) []evacuation.Change) bool {
	now := g.clock.Now()
	g.zones.mu.Lock()
	changes := f(now, g.zones.state)
	for _, c := range changes {
		if !c.Began {
			g.zones.returned(now, c.Zone)
		}
	}
	g.zones.mu.Unlock()
	if len(changes) == 0 {
		return false
	}
	g.fleet.refresh()
	for _, c := range changes {
		f := logrus.Fields{"zone": c.Zone, "by": source, "offset": c.At.Offset(), "era": c.At.Epoch().String(), "configAgeMs": int64(g.fleet.configAge())}
		if !c.Began {
			g.log.WithFields(f).WithFields(logrus.Fields{"event": "evacuationEnded", "unconfirmed": c.Unconfirmed}).Info()
			continue
		}
		ids := g.fleet.idsInZone(c.Zone)
		for _, id := range ids {
			g.peers.dropWaiting(id)
		}
		g.log.WithFields(f).WithFields(logrus.Fields{"event": "evacuationBegan", "servers": len(ids)}).Info()
	}
	return true
}

// readZones applies the records of a read of TopicConfig. whole is set if they are all that the topic
// holds. A store reader tells the other gateways at once.
func (g *Gateway) readZones(snap Snapshot, whole bool) {
	var zones []evacuation.Zone
	for _, r := range snap.Records {
		if zone, ok := g.decoder.evacuatedZone(r.Key); ok {
			zones = append(zones, evacuation.Zone{Name: zone, At: r.At, Ended: len(r.Value) == 0})
		}
	}
	changed := g.changeZones("store", func(now clock.Millis, s *evacuation.State) []evacuation.Change {
		if whole {
			return s.Merge(now, evacuation.View{AsOf: snap.Next, Zones: zones})
		}
		return s.Apply(now, zones, snap.Next)
	})
	if v := g.zones.view(); changed && v != nil && g.peers.ranksAmong(subjectReaders, storeReaders) {
		g.peers.broadcastZones(*v)
	}
}

// mergeZones applies what another gateway knows of the evacuated zones; nil if it does not say.
func (g *Gateway) mergeZones(source string, v *evacuation.View) {
	if v == nil || !v.AsOf.Known() {
		return
	}
	g.changeZones(source, func(now clock.Millis, s *evacuation.State) []evacuation.Change { return s.Merge(now, *v) })
}

// receiveZones handles a view that a store reader sent when it changed.
func (g *Gateway) receiveZones(from string, data json.RawMessage) error {
	var v evacuation.View
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	g.mergeZones(from, &v)
	return nil
}

// sweepZones ends the evacuations that a restored store no longer has.
func (g *Gateway) sweepZones() {
	g.changeZones("expiry", func(now clock.Millis, s *evacuation.State) []evacuation.Change { return s.Expire(now) })
}

// evacuatedZone returns the zone that an operator's record with the given key evacuates; ok is false
// if the record is about something else, or names no zone.
func (d Decoder) evacuatedZone(key string) (zone string, ok bool) {
	if d.EvacuatePrefix == "" {
		return "", false
	}
	zone, ok = strings.CutPrefix(key, d.EvacuatePrefix)
	return zone, ok && zone != ""
}

// idsInZone returns the listed servers of a zone.
func (v *fleetView) idsInZone(zone string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, s := range v.list {
		if s.Zone == zone {
			out = append(out, s.ID)
		}
	}
	return out
}

// emptied reports whether a pool has servers, and all of them are in evacuated zones or draining.
func (v *fleetView) emptied(pool string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := false
	for _, s := range v.list {
		if s.Pool != pool || v.draining(s.Key()) {
			continue
		}
		if !v.evacuated(s.Zone) {
			return false
		}
		found = true
	}
	return found
}

// homeZones returns the zones whose servers may run a request of a route and an account with homes; nil for
// all.
func (g *Gateway) homeZones(route, account []string) map[string]bool {
	if len(route) == 0 && len(account) == 0 {
		return nil
	}
	return homes.Zones(g.Settings().Regions(), route, account)
}

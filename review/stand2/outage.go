package main

import (
	"slices"
	"time"
)

// The course of the case outage-versions, from when the gateways are ready.
const (
	outStreamsAt = 2 * time.Second
	// leaveAt is when a worker reports that it drains, downAt when the store goes down, and upAt when it is
	// back.
	leaveAt = 4 * time.Second
	downAt  = leaveAt + 300*time.Millisecond
	upAt    = downAt + 8*time.Second
	// newVersionAt is from when on other workers are started again in place with a new version, and exitAt when the
	// one that drains exits, more than DrainMs after its report.
	newVersionAt = leaveAt + 800*time.Millisecond
	exitAt       = leaveAt + 6500*time.Millisecond
	outEnd       = 24 * time.Second
	outWorkers   = 7
	// outRenewed is how many workers are started again, one after the other with renewGap between them.
	outRenewed = 3
	renewGap   = 740 * time.Millisecond
	outStreams = 120
	// outGap is the time between the begins of two streams.
	outGap = 40 * time.Millisecond
	// outEventGap makes a stream last 9 s.
	outEventGap = 180 * time.Millisecond
)

// outageVersions has workers start again in place with another version while the store is down, and a
// worker that drains exit. It counts the streams that hold events of two versions.
func outageVersions(rec *record, trouble bool) (bool, error) {
	l, err := newLLM(rec, outWorkers, outEventGap)
	defer l.end()
	if err != nil {
		return false, err
	}
	l.until(outStreamsAt)
	streams := l.beginStreams(outStreams, outGap)
	l.until(leaveAt)
	slices.SortStableFunc(l.workers, func(a, b *worker) int { return b.load() - a.load() })
	leaving, renewed := l.workers[0], l.workers[1:1+outRenewed]
	leaving.drain()
	l.register(leaving)
	rec.printf("worker %s reports that it drains, with %d streams", leaving.id, leaving.load())
	l.until(downAt)
	if trouble {
		l.beats.pause()
		l.storeDown(true)
		rec.printf("the store is down: it resets all connections")
	}
	l.until(newVersionAt)
	for _, wk := range renewed {
		if err := l.renew(wk); err != nil {
			return false, err
		}
		if !trouble {
			l.register(wk)
		}
		time.Sleep(renewGap)
	}
	l.until(exitAt)
	rec.printf("worker %s exits, with %d streams", leaving.id, leaving.load())
	leaving.close()
	l.beats.drop(leaving)
	if trouble {
		l.until(upAt)
		l.storeDown(false)
		rec.printf("the store is back")
		l.beats.resume()
	}
	l.platform.Put("keyed.servers", leaving.id, nil)
	for _, wk := range l.workers {
		if wk != leaving {
			l.register(wk)
		}
	}
	streams.wait(time.Until(l.ready.Add(outEnd)))
	return streams.check(rec)
}

// storeDown makes the store reset all connections of gateways, or serve them again.
func (w *world) storeDown(down bool) {
	for _, g := range w.gateways {
		g.store.resetAll(down)
	}
}

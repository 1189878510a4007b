//go:build review

package main

import (
	"slices"
	"time"
)

// The course of the case unlisted-start, from when the gateways are ready.
const (
	outStreamsAt = 2 * time.Second
	// downAt is when the store goes down, and upAt when it is back.
	downAt = 4 * time.Second
	upAt   = downAt + 8*time.Second
	// newVersionAt is when a worker is started again in place with another version, which other workers of
	// the service have had from the begin.
	newVersionAt = downAt + 500*time.Millisecond
	// reportAt is when it reaches the store again and reports that it drains, and leftAt when it exits, more
	// than DrainMs after that.
	reportAt   = upAt + 300*time.Millisecond
	leftAt     = reportAt + 2800*time.Millisecond
	outEnd     = 26 * time.Second
	outWorkers = 7
	// outNewer is the number of workers that have the newer version from the begin.
	outNewer = 2
	// The first streams begin before the restart, the later ones from laterAt on: by then the list is read again,
	// unless the store is down.
	outStreams   = 50
	laterAt      = newVersionAt + 1200*time.Millisecond
	laterStreams = 140
	// outGap is the time between the begins of two streams.
	outGap = 40 * time.Millisecond
	// outEventGap makes a stream last 11 s.
	outEventGap = 220 * time.Millisecond
)

// unlistedStart has a worker start again in place with another version while the store is down, and drain
// once the store is back. It counts the streams that hold events of two versions.
func unlistedStart(rec *record, trouble bool) (bool, error) {
	l, err := newLLM(rec, outWorkers, outNewer, outEventGap)
	defer l.end()
	if err != nil {
		return false, err
	}
	l.until(outStreamsAt)
	before := l.beginStreams(0, outStreams, outGap)
	l.until(downAt)
	if trouble {
		l.beats.pause()
		l.storeDown(true)
		rec.printf("the store is down: it resets all connections")
	}
	l.until(newVersionAt)
	// The busiest worker of the older version.
	wk := slices.MaxFunc(l.workers[outNewer:], func(a, b *worker) int { return a.load() - b.load() })
	if err := l.renew(wk); err != nil {
		return false, err
	}
	if !trouble {
		l.register(wk)
	}
	l.until(laterAt)
	later := l.beginStreams(outStreams, laterStreams, outGap)
	l.until(upAt)
	if trouble {
		l.storeDown(false)
		rec.printf("the store is back")
	}
	l.until(reportAt)
	wk.drain()
	l.register(wk)
	rec.printf("worker %s reports that it drains, as version 8, with %d streams", wk.id, wk.load())
	for _, other := range l.workers {
		l.register(other)
	}
	l.beats.resume()
	l.until(leftAt)
	rec.printf("worker %s exits, with %d streams", wk.id, wk.load())
	wk.close()
	l.beats.drop(wk)
	l.platform.Put("keyed.servers", wk.id, nil)
	before.wait(time.Until(l.ready.Add(outEnd)))
	later.wait(time.Until(l.ready.Add(outEnd)))
	return (&streams{all: append(before.all, later.all...)}).check(rec)
}

// storeDown makes the store reset all connections of gateways, or serve them again.
func (w *world) storeDown(down bool) {
	for _, g := range w.gateways {
		g.store.resetAll(down)
	}
}

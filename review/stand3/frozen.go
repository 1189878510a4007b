//go:build review

package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/damaskport/damaskport/internal/standin/fault"
)

const (
	// frozenStreams streams are sent to the frozen gateway, three times.
	frozenStreams = 48
	// storeAnswerMs is the time of an answer of the store on the sheet.
	storeAnswerMs = 4
	// freezeTime is for_s of node_freeze on one machine of the core in the site file of bounceline-core.
	freezeTime = 4 * time.Second
	// Times from the begin of the freeze: when the worker starts anew, when its entry is removed, when callers send, and
	// when the worker exits, DrainMs and some seconds after its removal.
	frozenRestart = 200 * time.Millisecond
	frozenRemoval = 1200 * time.Millisecond
	frozenSend    = 3400 * time.Millisecond
	frozenExit    = 7200 * time.Millisecond
)

// frozen has a worker start again as another version and leave while a gateway is frozen.
func frozen(w *world) (bool, error) {
	var workers []*server
	// The first three are those that gateways choose first: they rank servers by a hash of the id.
	for _, id := range []string{"i-llmb", "i-llmi", "i-llme", "i-llmh", "i-llma", "i-llmd"} {
		workers = append(workers, w.addServer(id, "llm", versionedStream))
	}
	w.addServerOf("i-llmc", "llm", 2, versionedStream)
	w.addServerOf("i-llmf", "llm", 2, versionedStream)
	w.platform.Faults().Add(fault.Fault{Path: "/log-", Kind: fault.KindDelay, DelayMs: storeAnswerMs})
	w.engines = map[string]any{"Slots": 64, "KvCapacity": 475153, "Stride": 6, "Models": []any{map[string]any{"Name": "m"}}}
	w.publish(1,
		route{name: "query", prefix: "/query/", kind: "stream", service: "llm", attempts: 2, timeoutMs: 15000, sloMs: 800, sticky: true, canResume: true, itlTargetMs: 300},
		route{name: "plan", prefix: "/plan/", kind: "stream", service: "llm", attempts: 2, timeoutMs: 15000, sloMs: 2500, sticky: true, canResume: true, priority: 2, itlTargetMs: 1200},
	)
	for range 3 {
		w.addGateway(nil)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	joined := 0
	for _, leaving := range workers[:3] {
		got, err := w.freezeOnce(w.gateways[0], leaving)
		if err != nil {
			return false, err
		}
		joined += got
		time.Sleep(stableWindow)
	}
	w.record.logf("%d of %d streams hold events of two versions", joined, 3*frozenStreams)
	return joined > 2, nil
}

// freezeOnce has a worker start again as another version and leave while a gateway is frozen. It returns how many streams
// hold events of two versions.
func (w *world) freezeOnce(g *gatewayProc, leaving *server) (joined int, err error) {
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if w.trouble {
		g.signal(syscall.SIGSTOP)
	}
	at(frozenRestart)
	leaving.crash()
	if err := leaving.startAgain(); err != nil {
		return 0, err
	}
	at(frozenRemoval)
	leaving.remove()
	at(frozenSend)
	var mu sync.Mutex
	var streams sync.WaitGroup
	for range frozenStreams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			id := newID()
			seen, events := readVersions(g.caller, id)
			mu.Lock()
			defer mu.Unlock()
			w.record.logf("stream %s got %d events, of versions %v", id, events, seen)
			if len(seen) > 1 {
				joined++
			}
		}()
	}
	at(freezeTime)
	if w.trouble {
		g.signal(syscall.SIGCONT)
	}
	at(frozenExit)
	leaving.crash()
	streams.Wait()
	return joined, nil
}

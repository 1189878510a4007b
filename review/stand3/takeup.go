//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	takeUpStreams = 24
	// takeUpTries is how often a caller takes its stream up again; it waits as Retry-After says.
	takeUpTries = 4
	// killAfter is the time from the registration of the first worker of a new version to the kill of the gateway.
	killAfter = 300 * time.Millisecond
)

// taken is a stream as its caller sees it.
type taken struct {
	first  string // Request-Id of the attempt that brought the first event
	lastID string
	events int
	whole  bool
}

// read sends one attempt and reads events into t. It returns the status, 0 without one, and how long to wait.
func (t *taken) read(addr string) (status int, wait time.Duration) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	id, more := newID(), ""
	if t.lastID != "" {
		more = "Last-Event-Id: " + t.lastID + "\r\nResumes: " + t.first + "\r\n"
	}
	fmt.Fprintf(c, "POST /query/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer %s\r\n%sModel: m\r\nToken-Count: 600,240\r\nPrefix-Hash: 5c1e07a2:200,%s:400\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
		site, id, apiKey, more, id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		s, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return res.StatusCode, time.Duration(s * float64(time.Second))
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if t.first == "" {
				t.first = id
			}
			t.lastID = v
			t.events++
		}
	}
	t.whole = lines.Err() == nil && t.events == versionEvents
	return res.StatusCode, 0
}

// takeUp kills a gateway just after the first worker of a new version has registered.
func takeUp(w *world) (bool, error) {
	for _, id := range []string{"i-llma", "i-llmb", "i-llmc"} {
		w.addServer(id, "llm", versionedStream)
	}
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
	var callers sync.WaitGroup
	var takenUp, wentOn, newBegun, newSent atomic.Int64
	for n := range takeUpStreams {
		callers.Add(1)
		go func() {
			defer callers.Done()
			var t taken
			status, _ := t.read(w.gateways[0].caller)
			w.record.logf("stream %s: status %d, %d events, whole: %t", t.first, status, t.events, t.whole)
			if t.whole || t.events == 0 {
				return
			}
			takenUp.Add(1)
			had := t.events
			for try := 1; try <= takeUpTries && t.events == had; try++ {
				g := w.gateways[1+(n+try)%2]
				status, wait := t.read(g.caller)
				w.record.logf("stream %s is taken up after event %d at %s: status %d, %d further events", t.first, had, g.name, status, t.events-had)
				time.Sleep(wait)
			}
			if t.events > had {
				wentOn.Add(1)
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	next := w.addServerOf("i-llmd", "llm", 2, versionedStream)
	w.record.logf("%s registered with version %d", next.id, 2)
	time.Sleep(killAfter)
	if w.trouble {
		w.gateways[0].kill()
	}
	for n := range takeUpStreams {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			var t taken
			newSent.Add(1)
			if status, _ := t.read(w.gateways[1+n%2].caller); t.events > 0 {
				newBegun.Add(1)
			} else {
				w.record.logf("new stream: status %d", status)
			}
		}()
	}
	callers.Wait()
	w.record.logf("%d of %d streams that were taken up went on; %d of %d new streams began", wentOn.Load(), takenUp.Load(), newBegun.Load(), newSent.Load())
	if takenUp.Load() < 12 {
		return false, nil
	}
	share := float64(wentOn.Load()) / float64(takenUp.Load())
	return share < float64(newBegun.Load())/float64(newSent.Load())/2, nil
}

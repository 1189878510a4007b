//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"sync"
	"time"
)

const (
	// versionStreams streams of versionEvents events begin, an event each versionGap.
	versionStreams = 80
	versionEvents  = 60
	versionGap     = 100 * time.Millisecond
	// crashTime is how long a crashed worker is down: for_s of srv_crash in the site file of bounceline-core.
	crashTime = 2 * time.Second
	// betweenCrashes is the time from the new start of one worker to the crash of the other.
	betweenCrashes = 20 * time.Millisecond
)

// versionOfEvent finds the version that an event names.
var versionOfEvent = regexp.MustCompile(`of version (\d+) by (\S+)`)

// versionedStream answers with a stream whose events name the worker's version.
func versionedStream(s *server, rw http.ResponseWriter, r *http.Request) {
	from := 0
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
	version := s.versionNow()
	s.note(r, true)
	s.w.record.logf("%s (version %d) runs %s from event %d", s.id, version, r.Header.Get("Request-Id"), from+1)
	s.stamp(rw)
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	for i := from + 1; i <= versionEvents; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of version %d by %s\n\n", i, i, version, s.id); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		time.Sleep(versionGap)
	}
}

// readVersions sends one streamed request and returns the versions of its events, in order without repeats.
func readVersions(addr, id string) (out []string, events int) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "POST /query/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nModel: m\r\nToken-Count: 600,240\r\nPrefix-Hash: 5c1e07a2:200,%s:400\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
		site, id, apiKey, id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, 0
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		m := versionOfEvent.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		events++
		if len(out) == 0 || out[len(out)-1] != m[1] {
			out = append(out, m[1])
		}
	}
	return out, events
}

// busiest returns the worker that began most streams, except one.
func busiest(workers []*server, except *server) *server {
	var best *server
	for _, s := range workers {
		if s != except && (best == nil || s.count() > best.count()) {
			best = s
		}
	}
	return best
}

// versions has two workers crash one after the other and come back with another version of their software.
func versions(w *world) (bool, error) {
	var workers []*server
	for _, name := range []string{"a", "b", "c", "d"} {
		workers = append(workers, w.addServer("i-llm"+name, "llm", versionedStream))
	}
	b := workers[1]
	w.engines = map[string]any{"Slots": 64, "KvCapacity": 475153, "Stride": 6, "Models": []any{map[string]any{"Name": "m"}}}
	w.publish(1,
		route{name: "query", prefix: "/query/", kind: "stream", service: "llm", attempts: 2, timeoutMs: 15000, sloMs: 800, sticky: true, canResume: true, itlTargetMs: 300},
		route{name: "plan", prefix: "/plan/", kind: "stream", service: "llm", attempts: 2, timeoutMs: 15000, sloMs: 2500, sticky: true, canResume: true, priority: 2, itlTargetMs: 1200},
	)
	for range 4 {
		w.addGateway(nil)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	joined, whole := 0, 0
	var mu sync.Mutex
	var streams sync.WaitGroup
	if w.trouble {
		b.crash()
	}
	for n := range versionStreams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			id := newID()
			seen, events := readVersions(w.gateways[n%len(w.gateways)].caller, id)
			mu.Lock()
			defer mu.Unlock()
			w.record.logf("stream %s got %d events, of versions %v", id, events, seen)
			if len(seen) > 1 {
				joined++
			}
			if events == versionEvents {
				whole++
			}
		}()
	}
	if w.trouble {
		time.Sleep(crashTime)
		if err := b.startAgain(); err != nil {
			return false, err
		}
		time.Sleep(betweenCrashes)
		a := busiest(workers, b)
		a.crash()
		time.Sleep(crashTime)
		if err := a.startAgain(); err != nil {
			return false, err
		}
	}
	streams.Wait()
	w.record.logf("%d of %d streams hold events of two versions; %d were whole", joined, versionStreams, whole)
	return joined > 2, nil
}

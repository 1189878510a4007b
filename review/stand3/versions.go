//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"time"
)

const (
	// Streams have versionEvents events, one each versionGap.
	versionEvents = 60
	versionGap    = 100 * time.Millisecond
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

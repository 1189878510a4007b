//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partEngines, partSlots and partMemory are the engines of the sheet of kovacic-vrelec.
	partEngines = 18
	partSlots   = 48
	partMemory  = 336463
	// memoryMb is the memory of an edge machine of that sheet.
	memoryMb = 284
	// headBytes is MaxHeaderBytes of the manifest, and headRest what the other fields of a head take.
	headBytes = 16384
	headRest  = 900
	// partCallers callers send partRequests requests together, one after the other each.
	partCallers  = 24
	partRequests = 2400
	// queryEvery is the share of the short queries among the requests, as its inverse.
	queryEvery = 3
)

// longPrefix returns a Prefix-Hash of as many parts as fit into a head, of one token each.
func longPrefix(n int64) (prefix string, tokens int) {
	var b strings.Builder
	for b.Len() < headBytes-headRest {
		if tokens > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:1", n*4096+int64(tokens))
		tokens++
	}
	return b.String(), tokens
}

// usualPrefix returns a Prefix-Hash of three parts, as in the example of the page.
func usualPrefix(n int64) (prefix string, tokens int) {
	return fmt.Sprintf("5c1e07a2:512,91bd3f06:400,%08x:500", n), 1412
}

// residentMb returns the resident memory of the process in MB; 0 if it has ended.
func (g *gatewayProc) residentMb() float64 {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// stream answers a request with an event stream of two events.
func stream(s *server, rw http.ResponseWriter, r *http.Request) {
	s.stamp(rw)
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	for i := 1; i <= 2; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
	}
}

// streamCaller sends streamed requests on one channel.
type streamCaller struct {
	c  net.Conn
	br *bufio.Reader
}

// send sends one request and reads its answer. It returns the status; 0 without an answer.
func (s *streamCaller) send(addr, path, prefix string, tokens int) int {
	if s.c == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return 0
		}
		s.c, s.br = c, bufio.NewReader(c)
	}
	_ = s.c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(s.c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nModel: m\r\nToken-Count: %d,2\r\nPrefix-Hash: %s\r\nContent-Length: 2\r\n\r\n{}",
		path, site, newID(), apiKey, tokens, prefix)
	res, err := http.ReadResponse(s.br, nil)
	if err != nil {
		s.close()
		return 0
	}
	buf := make([]byte, 4096)
	for err == nil {
		_, err = res.Body.Read(buf)
	}
	if err.Error() != "EOF" || res.Close {
		s.close()
	}
	return res.StatusCode
}

func (s *streamCaller) close() {
	if s.c != nil {
		_ = s.c.Close()
	}
	s.c = nil
}

// parts has callers send prompts of very many short parts.
func parts(w *world) (bool, error) {
	for i := range partEngines {
		w.addServer(fmt.Sprintf("i-llm%d", i), "llm", stream)
	}
	w.engines = map[string]any{"Slots": partSlots, "KvCapacity": partMemory, "KvBytes": 18432, "LinkMbps": 740000.0, "Stride": 4, "PinMs": 4000, "HoldMs": 2000, "HandleTtlS": 5, "Models": []any{map[string]any{"Name": "m"}}}
	w.publish(1,
		route{name: "draft", prefix: "/draft/", kind: "stream", service: "llm", attempts: 1, timeoutMs: 6000, sloMs: 600, sticky: true, priority: 1, itlTargetMs: 400},
		route{name: "query", prefix: "/query/", kind: "stream", service: "llm", attempts: 2, timeoutMs: 15000, sloMs: 300, sticky: true, canResume: true, itlTargetMs: 250},
	)
	w.addGateway(nil)
	w.addGateway(nil)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	g := w.gateways[0]
	first := &streamCaller{}
	prefix, tokens := usualPrefix(0)
	if status := first.send(g.caller, "/draft/1", prefix, tokens); status != http.StatusOK {
		return false, fmt.Errorf("ordinary request: status %d", status)
	}
	first.close()
	w.record.logf("resident memory at the start: %.0f MB of %d MB", g.residentMb(), memoryMb)

	prefixOf := usualPrefix
	if w.trouble {
		prefixOf = longPrefix
	}
	var n, ok, headMax atomic.Int64
	var callers sync.WaitGroup
	for range partCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			var c streamCaller
			defer c.close()
			for {
				i := n.Add(1)
				if i > partRequests {
					return
				}
				prefix, tokens := prefixOf(i)
				headMax.Store(max(headMax.Load(), int64(len(prefix))))
				path := "/draft/1"
				if i%queryEvery == 0 {
					path = "/query/1"
				}
				if c.send(g.caller, path, prefix, tokens) == http.StatusOK {
					ok.Add(1)
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	most := 0.0
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	until := time.After(80 * time.Second)
	for sending := true; sending; {
		select {
		case <-done:
			sending = false
		case <-until:
			sending = false
			w.record.logf("the callers have not ended in time")
		case <-tick.C:
		}
		if mb := g.residentMb(); mb > most {
			most = mb
		}
		w.record.logf("%d requests sent, %d answered with 200; resident memory %.0f MB", min(n.Load(), partRequests), ok.Load(), g.residentMb())
	}
	w.record.logf("longest Prefix-Hash %d bytes; most resident memory %.0f MB of %d MB", headMax.Load(), most, memoryMb)
	return most > memoryMb, nil
}

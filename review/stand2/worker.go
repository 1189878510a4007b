//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a model worker that may be started again in place, under its id, with another version
// of its software. It streams numbered events that name the version.
type worker struct {
	id, addr string
	events   int
	gap      time.Duration
	onRun    func(worker, request, version string, from int)

	mu      sync.Mutex
	version string
	born    int64
	seq     int64
	running int
	drains  bool
	srv     *http.Server
}

// startWorker starts a worker on a free loopback port.
func startWorker(id, version string, events int, gap time.Duration) (*worker, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, addr: addr, events: events, gap: gap, onRun: func(string, string, string, int) {}}
	return w, w.startAgain(version)
}

// startAgain ends the process of the worker, if there is one, and starts it anew.
func (w *worker) startAgain(version string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.srv != nil {
		_ = w.srv.Close()
	}
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.version, w.born, w.seq = version, time.Now().UnixMilli(), 0
	w.srv = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(w.srv)
	return nil
}

// drain makes the entries of the worker say that it drains.
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains = true
}

// load returns the number of streams that the worker serves.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *worker) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running += n
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.srv != nil {
		_ = w.srv.Close()
	}
}

// entry returns the entry that the worker writes to the store.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	state := "ready"
	if w.drains {
		state = "draining"
	}
	return map[string]any{
		"Service": "llm", "Addr": w.addr, "Zone": "a", "Version": w.version, "Slots": 64, "State": state, "ColdLeftMs": 0, "Seq": w.seq, "born": w.born,
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	version, drains := w.version, w.drains
	w.mu.Unlock()
	h := rw.Header()
	if drains {
		h.Set("Server-Leaving", "1")
	}
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.id {
		h.Set("Instance", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Server-Stamp", "stamp."+w.id)
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.add(1)
	defer w.add(-1)
	w.onRun(w.id, r.Header.Get("Request-Id"), version, from)
	for i := from + 1; i <= w.events; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of version %s\n\n", i, i, version); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.gap):
		}
	}
}

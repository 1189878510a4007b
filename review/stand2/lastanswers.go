//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lastWorkers is the number of workers, and lastLeaving how many of them are replaced, one after the other
	// with leaveGap between them: release with a share of 0.49.
	lastWorkers = 9
	lastLeaving = 4
	leaveGap    = 740 * time.Millisecond
	// lastStreams is the number of streams of clients at that time.
	lastStreams = 27
	// lastEvents and lastGap give the streams a length beyond DrainMs.
	lastEvents = 40
	lastGap    = 100 * time.Millisecond
	// lostAllowed is the number of channels that a gateway may close without an answer.
	lostAllowed = 3
)

// leavingWorker answers with streams that have no length and end with their channel. When it leaves, it
// serves what it has and exits.
type leavingWorker struct {
	id, addr string
	ln       net.Listener

	mu      sync.Mutex
	born    int64
	seq     int
	running int
	ended   []string // requests whose stream was written whole
	leaving bool
	conns   map[net.Conn]bool
	exited  chan struct{}
}

func startLeavingWorker(id string) (*leavingWorker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &leavingWorker{id: id, addr: ln.Addr().String(), ln: ln, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, exited: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *leavingWorker) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			_ = c.Close()
			return
		}
		body := make([]byte, r.ContentLength)
		for n := 0; n < len(body); {
			k, err := r.Body.Read(body[n:])
			if n += k; err != nil {
				break
			}
		}
		w.mu.Lock()
		leaving := ""
		if w.leaving {
			leaving = "Server-Leaving: 1\r\n"
		}
		w.mu.Unlock()
		id := r.Header.Get("Request-Id")
		head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp." + w.id + "\r\nContent-Type: text/event-stream\r\n" + leaving
		if strings.HasPrefix(r.RequestURI, "/chat/short") {
			event := "id: 1\ndata: piece 1\n\n"
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(event), event)
			continue
		}
		w.stream(c, id, head)
		return
	}
}

// stream writes a stream that ends with its channel. The last one ends the process of a worker that leaves.
func (w *leavingWorker) stream(c net.Conn, id, head string) {
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	_, err := fmt.Fprint(c, head+"Connection: close\r\n\r\n")
	for i := 1; i <= lastEvents && err == nil; i++ {
		_, err = fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", i, i)
		time.Sleep(lastGap)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if err == nil {
		w.ended = append(w.ended, id)
	}
	_ = c.Close()
	delete(w.conns, c)
	if w.running == 0 && w.leaving {
		w.exit()
	}
}

// exit ends the worker as its process does that exits. It must be called with mu held.
func (w *leavingWorker) exit() {
	select {
	case <-w.exited:
		return
	default:
	}
	_ = w.ln.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	close(w.exited)
}

func (w *leavingWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// load returns the number of streams that the worker serves.
func (w *leavingWorker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *leavingWorker) exitNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exit()
}

// entry returns the next entry that the worker writes to the store.
func (w *leavingWorker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	return map[string]any{
		"Service": "llm", "Addr": w.addr, "Zone": "a", "Version": "7", "Slots": 64, "State": state, "ColdLeftMs": 0, "Seq": w.seq, "born": w.born,
	}
}

// lastAnswers has workers leave one after the other as they serve streams, and counts the channels of clients
// that are closed without a whole answer although the worker has given one.
func lastAnswers(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, 0)
	if err != nil {
		return false, err
	}
	defer w.close()
	m := manifest(2)
	m["Routes"] = []map[string]any{{
		"Name": "chat", "Host": host, "PathPrefix": "/chat/", "Type": "stream", "TimeoutMs": 12000, "SloMs": 800, "Service": "llm",
		"Attempts": 1, "Sticky": true, "ItlTargetMs": 300,
	}}
	m["Services"] = []map[string]any{{"Name": "llm", "Engine": map[string]any{"Slots": 64, "KvCapacity": 475153, "Stride": 6}}}
	w.platform.PutJSON("keyed.op", "config", m)
	var workers []*leavingWorker
	for i := range lastWorkers {
		one, err := startLeavingWorker(fmt.Sprintf("i-%d", i))
		if err != nil {
			return false, err
		}
		defer one.exitNow()
		workers = append(workers, one)
		w.platform.PutJSON("keyed.servers", one.id, one.entry())
	}
	if err := w.startGateways(1); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var done sync.WaitGroup
	for i := range lastStreams {
		done.Add(1)
		go func() {
			defer done.Done()
			w.keptStream(w.gateways[0], i)
		}()
	}
	time.Sleep(time.Second)
	slices.SortStableFunc(workers, func(a, b *leavingWorker) int { return b.load() - a.load() })
	if workers[lastLeaving-1].load() == 0 {
		return false, errors.New("the gateway uses too few workers")
	}
	if trouble {
		for _, one := range workers[:lastLeaving] {
			one.leave()
			rec.printf("worker %s leaves with %d streams: its entry says draining", one.id, one.load())
			w.platform.PutJSON("keyed.servers", one.id, one.entry())
			time.Sleep(leaveGap)
		}
	}
	done.Wait()
	return w.checkLast(workers)
}

// checkLast checks the rule LOST.
func (w *world) checkLast(workers []*leavingWorker) (bool, error) {
	whole := map[string]string{}
	for _, one := range workers {
		one.mu.Lock()
		for _, id := range one.ended {
			whole[id] = one.id
		}
		one.mu.Unlock()
	}
	lost := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, ok := range w.answered {
		if worker := whole[id]; worker != "" && !ok {
			lost++
			w.rec.printf("%s: worker %s has given the whole answer, and the channel of the client was closed within it", id, worker)
		}
	}
	w.rec.printf("%d streams; workers gave %d whole answers; %d channels of clients were closed without; %d allowed", lastStreams, len(whole), lost, lostAllowed)
	if len(whole) != lastStreams {
		return false, errors.New("a worker has not given its whole answer")
	}
	return lost > lostAllowed, nil
}

// keptStream sends a short request and then a stream on one channel, and notes whether the answers are whole.
func (w *world) keptStream(g *gatewayProcess, n int) {
	c, err := net.Dial("tcp", g.caller)
	if err != nil {
		w.rec.printf("c%d: %v", n, err)
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for _, path := range []string{"/chat/short", "/chat/long"} {
		id := fmt.Sprintf("c%d%s", n, strings.ReplaceAll(path, "/", "-"))
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nModel: m\r\nToken-Count: 200,300\r\nPrefix-Hash: %08x:100\r\nContent-Length: 2\r\n\r\nhi", path, host, id, key, 7919*n+13)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			w.rec.printf("%s: no answer: %v", id, err)
			w.note(id, false)
			return
		}
		events := 0
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
			}
		}
		w.rec.printf("%s: status %d, %d events, end: %v", id, res.StatusCode, events, lines.Err())
		w.note(id, lines.Err() == nil && res.StatusCode == http.StatusOK)
	}
}

// note records whether the answer to a request was whole.
func (w *world) note(id string, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[id] = whole
}

//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["caller-left"] = callerLeft }

const (
	leftServers = 6
	// leftRequests are sent at once. The callers of three in ten leave after leftAfter, which is
	// half the objective.
	leftRequests = 80
	leftAfter    = 75 * time.Millisecond
	// lateAfter is how long after its caller left no request may reach a server, and mayBeLate
	// how many may.
	lateAfter = 500 * time.Millisecond
	mayBeLate = 3
)

// callerLeft makes one of six servers go dark while requests are sent that may run once. The
// callers of some close their connections early; no more than a few of these requests may reach a
// server half a second later.
func callerLeft(w *world) bool {
	w.putManifest(1, []map[string]any{{"Name": "desk", "MaxConns": 110}}, route("pay", "unsafe", "desk", 1000, map[string]any{"SloMs": 150}))
	var mu sync.Mutex
	left := map[string]time.Time{}
	late := 0
	ran := func(id string) {
		mu.Lock()
		at, ok := left[id]
		since := time.Since(at)
		isLate := ok && since > lateAfter
		if isLate {
			late++
		}
		mu.Unlock()
		if isLate {
			w.note("%s REACHED A SERVER %d ms after its caller had left", id, since.Milliseconds())
		}
	}
	var servers []*server
	for i := range leftServers {
		servers = append(servers, w.add(&server{id: fmt.Sprintf("desk-%d", i), addr: freeAddr(), pool: "desk", version: "1", backlog: 128, ran: ran}))
	}
	w.startGateways(2)
	for range 8 {
		o := w.send(w.gateways[0], "POST", "/pay/1?size=800&ms=30&framing=length", w.newID(), time.Second, nil)
		w.note("%s gets %d", o.id, o.status)
	}
	time.Sleep(1500 * time.Millisecond) // idle connections to the servers are closed
	for n := range 4 {
		s := servers[n]
		if w.trouble {
			w.darken(s)
		}
		var wg sync.WaitGroup
		for i := range leftRequests {
			wg.Go(func() {
				id := w.newID()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				if leaves := i%10 < 3; leaves {
					cancel()
					ctx, cancel = context.WithTimeout(context.Background(), leftAfter)
				}
				defer cancel()
				o := w.sendUntil(ctx, w.gateways[i%len(w.gateways)], "POST", "/pay/1?size=800&ms=30&framing=length", id, time.Second, nil)
				if ctx.Err() != nil {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
				}
				w.note("%s gets %d (%v)", id, o.status, o.err)
			})
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		if w.trouble {
			_ = s.cmd.Process.Signal(syscall.SIGCONT)
			w.note("server %s is back", s.id)
			w.register(s, "ready")
		}
		time.Sleep(5 * time.Second)
	}
	w.note("requests that reached a server over %v after their caller had left: %d", lateAfter, late)
	return late > mayBeLate
}

// darken makes a server silent: its process is stopped, and it takes no new connections.
func (w *world) darken(s *server) {
	w.mu.Lock()
	s.state = ""
	w.mu.Unlock()
	_ = s.cmd.Process.Signal(syscall.SIGSTOP)
	filled := 0
	for {
		c, err := net.DialTimeout("tcp", s.addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		filled++
	}
	w.note("server %s is dark", s.id)
}

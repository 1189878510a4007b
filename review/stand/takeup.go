//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-take-up"] = lateTakeUp }

const (
	takeUpServers = 4
	// takeUpGateways is the number of gateways, of which one loses power.
	takeUpGateways = 7
	takeUpStreams  = 16
	takeUpEvents   = 100
	takeUpGap      = 40 * time.Millisecond
	// takeUpObjective is the latency objective, and takeUpPause the pause between events for which
	// a stream is on time.
	takeUpObjective = 2500 * time.Millisecond
	takeUpPause     = 1200 * time.Millisecond
	takeUpDeadline  = 15 * time.Second
	// abandonAfter is the gap after which a caller abandons a stream: four times the objective,
	// or eight times the pause.
	abandonAfter = 10 * time.Second
	// darkAfter is when the machine loses power, and darkFor for how long.
	darkAfter = 3900 * time.Millisecond
	darkFor   = 3500 * time.Millisecond
	// prefill is how long an engine reads a prompt before the first event.
	prefill = 250 * time.Millisecond
)

// proxy passes connections on to a gateway. While its machine has no power, the connections stay
// open and silent.
type proxy struct {
	ln   net.Listener
	to   string
	dark atomic.Bool
	stop <-chan struct{}
}

func newProxy(to string, stop <-chan struct{}) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{ln: ln, to: to, stop: stop}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	far, err := net.Dial("tcp", p.to)
	if err == nil {
		defer far.Close()
		ended := make(chan struct{}, 2)
		go func() { _, _ = io.Copy(far, c); ended <- struct{}{} }()
		go func() { _, _ = io.Copy(c, far); ended <- struct{}{} }()
		<-ended
	}
	if p.dark.Load() {
		<-p.stop
	}
}

// taken is what a caller saw of a stream.
type taken struct {
	id     string
	status int
	events int
	whole  bool
}

// follow sends a request for a stream and reads its events until it ends, or none came for gap.
func (w *world) follow(url, target, id string, deadline, gap time.Duration, header map[string]string) taken {
	out := taken{id: id}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := time.AfterFunc(min(gap, deadline), cancel)
	defer idle.Stop()
	r, err := http.NewRequestWithContext(ctx, "POST", url+target, http.NoBody)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w.note("%s sends POST %s with %d ms left, Last-Event-Id %q, Resumes %q", id, target, deadline.Milliseconds(), header["Last-Event-Id"], header["Resumes"])
	res, err := w.caller.RoundTrip(r)
	if err != nil {
		return out
	}
	defer res.Body.Close()
	out.status = res.StatusCode
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := res.Body.Read(buf)
		body.Write(buf[:n])
		if n > 0 {
			idle.Reset(gap)
		}
		if err != nil {
			out.whole = err == io.EOF
			break
		}
	}
	if out.status == http.StatusOK {
		out.events = lastEvent(body.String())
	}
	return out
}

// lateTakeUp has a gateway's machine lose power while it passes streams on. Their callers notice it
// by the silence and take the streams up at another gateway, in the time that is left. The share
// that goes on must be half or more of the share of new streams that begin.
func lateTakeUp(w *world) bool {
	w.putManifest(1, []map[string]any{engineService("mind")}, route("draft", "stream", "mind", int(takeUpDeadline.Milliseconds()), map[string]any{
		"Sticky": true, "CanResume": true, "SloMs": takeUpObjective.Milliseconds(), "ItlTargetMs": takeUpPause.Milliseconds(),
	}))
	for i := range takeUpServers {
		w.addServer("mind", fmt.Sprintf("mind-%d", i), "1")
	}
	w.startGateways(takeUpGateways)
	a, b := w.gateways[0], w.gateways[1]
	p := newProxy(strings.TrimPrefix(a.url, "http://"), w.stop)
	defer p.ln.Close()
	target := fmt.Sprintf("/draft/1?n=%d&gap=%d&first=%d&framing=chunked", takeUpEvents, takeUpGap.Milliseconds(), prefill.Milliseconds())
	prompt := func(id string) map[string]string {
		return map[string]string{"Model": "m", "Token-Count": "11992,380", "Prefix-Hash": fmt.Sprintf("5c1e07a2:512,%s:11480", id)}
	}
	var mu sync.Mutex
	var begun, sent, wentOn, takenUp int
	fresh := func(url string) {
		id := w.newID()
		o := w.follow(url, target, id, takeUpDeadline, abandonAfter, prompt(id))
		mu.Lock()
		defer mu.Unlock()
		sent++
		if o.events > 0 {
			begun++
		}
		w.note("%s gets %d and %d events, whole: %v", id, o.status, o.events, o.whole)
	}
	var warm sync.WaitGroup
	for range takeUpServers {
		warm.Go(func() { fresh(b.url) })
	}
	warm.Wait()
	var wg sync.WaitGroup
	for range takeUpStreams {
		wg.Go(func() {
			first, began := w.newID(), time.Now()
			o := w.follow("http://"+p.ln.Addr().String(), target, first, takeUpDeadline, abandonAfter, prompt(first))
			w.note("%s gets %d and %d events, whole: %v", first, o.status, o.events, o.whole)
			left := takeUpDeadline - time.Since(began)
			if o.whole || o.events == 0 || left <= 0 {
				return
			}
			header := prompt(first)
			header["Last-Event-Id"], header["Resumes"] = fmt.Sprint(o.events), first
			again := w.follow(b.url, target, w.newID(), left, abandonAfter, header)
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			result := "NOT TAKEN UP"
			if again.events > 0 {
				wentOn++
				result = "goes on"
			}
			w.note("%s takes %s up after event %d with %d ms left: gets %d and %d more events, whole: %v: %s", again.id, first, o.events, left.Milliseconds(), again.status, again.events, again.whole, result)
		})
	}
	time.Sleep(darkAfter)
	if w.trouble {
		p.dark.Store(true)
		_ = a.cmd.Process.Kill()
		_ = a.cmd.Wait()
		w.note("the machine of %s has no power", a.name)
		time.Sleep(darkFor)
		w.restart(a)
	}
	// New streams, as before, while the callers wait and when they come back.
	for range 13 {
		wg.Go(func() { fresh(b.url) })
		time.Sleep(700 * time.Millisecond)
	}
	wg.Wait()
	w.note("of %d streams that were taken up %d went on; of %d new ones %d began", takenUp, wentOn, sent, begun)
	const enough = 12
	return takenUp >= enough && float64(wentOn)/float64(takenUp) < float64(begun)/float64(sent)/2
}

// restart starts a gateway again, with the settings that it had.
func (w *world) restart(g *gateway) {
	g.cmd = w.start(logPath(g.name+"-again"), nil, "target/damaskport", "gateway", "--settings", g.settings)
	w.note("%s starts again", g.name)
}

//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/platform/standin"
)

// The course of the case restored-versions, from when the gateways are ready.
const (
	// backupAt is as of when the copy of the store is. From releaseAt on workers are started again in place with
	// a new version, one after the other with releaseGap between them, and at streamsAt clients begin streams.
	backupAt   = 3500 * time.Millisecond
	releaseAt  = 4 * time.Second
	releaseGap = 740 * time.Millisecond
	streamsAt  = 7500 * time.Millisecond
	// awayAt is when the store is away in the drill, and backAt when it is back from the copy.
	awayAt = 9 * time.Second
	backAt = awayAt + 800*time.Millisecond
	// killAt is when the gateways are killed. They start again as the store is back.
	killAt = awayAt + 500*time.Millisecond
	// rewriteAfter is the time from the return of the store until workers have written their entries again.
	rewriteAfter = 1800 * time.Millisecond
	caseEnd      = 22 * time.Second
	// released is the number of workers that are started again with a new version: a share of 0.43.
	released        = 3
	restoredWorkers = 7
	streamCount     = 48
	streamEvents    = 50
	eventGap        = 120 * time.Millisecond
	// mixedAllowed is the number of streams with events of two versions that the rule allows.
	mixedAllowed = 2
	// tries is the number of attempts of a client, and tryPause the pause between two.
	tries    = 8
	tryPause = 300 * time.Millisecond
)

// llmManifest returns a manifest with a route of streams that may be resumed.
func llmManifest() map[string]any {
	m := manifest(2)
	m["Routes"] = []map[string]any{{
		"Name": "draft", "Host": host, "PathPrefix": "/draft/", "Type": "stream", "TimeoutMs": 15000, "SloMs": 2500, "Service": "llm",
		"Attempts": 2, "Sticky": true, "CanResume": true, "ItlTargetMs": 1200,
	}}
	m["Services"] = []map[string]any{{"Name": "llm", "Engine": map[string]any{"Slots": 64, "KvCapacity": 475153, "Stride": 6}}}
	return m
}

// llm is a world with workers of a model service and two gateways.
type llm struct {
	*world
	workers []*worker
	beats   *beats
	ready   time.Time
}

// newLLM starts n workers, which leave gap between events, and the gateways. The first newer workers are of version
// 8, the others of version 7. The caller calls end, also after an error.
func newLLM(rec *record, n, newer int, gap time.Duration) (*llm, error) {
	w, err := newWorld(rec, 0)
	if err != nil {
		return nil, err
	}
	l := &llm{world: w}
	w.platform.TellEra("5")
	w.platform.PutJSON("keyed.op", "config", llmManifest())
	for i := range n {
		version := "7"
		if i < newer {
			version = "8"
		}
		wk, err := startWorker(fmt.Sprintf("i-%d", i), version, streamEvents, gap)
		if err != nil {
			return l, err
		}
		wk.onRun = func(id, request, version string, from int) {
			rec.printf("worker %s of version %s runs %s from event %d", id, version, request, from)
		}
		l.workers = append(l.workers, wk)
		l.register(wk)
	}
	l.beats = newBeats(w, l.workers)
	if err := w.startGateways(2); err != nil {
		return l, err
	}
	l.ready = time.Now()
	rec.printf("two gateways are ready")
	return l, nil
}

// end ends all that newLLM has started.
func (l *llm) end() {
	if l == nil {
		return
	}
	if l.beats != nil {
		l.beats.stop()
	}
	for _, wk := range l.workers {
		wk.close()
	}
	l.close()
}

// until waits until d after the gateways were ready.
func (l *llm) until(d time.Duration) { time.Sleep(time.Until(l.ready.Add(d))) }

// register writes the entry of a worker.
func (l *llm) register(wk *worker) { l.platform.PutJSON("keyed.servers", wk.id, wk.entry()) }

// renew starts a worker again in place with version 8.
func (l *llm) renew(wk *worker) error {
	l.rec.printf("worker %s is started again in place with version 8, with %d streams", wk.id, wk.load())
	return wk.startAgain("8")
}

// restoredVersions plays a drill of the store, which comes back from a copy as of before a release of
// workers, and a kill of all gateways meanwhile. It counts the streams that hold events of two
// versions.
func restoredVersions(rec *record, trouble bool) (bool, error) {
	l, err := newLLM(rec, restoredWorkers, 0, eventGap)
	defer l.end()
	if err != nil {
		return false, err
	}
	l.until(backupAt)
	backup := l.platform.Copy()
	rec.printf("the copy of the store is as of now")
	l.until(releaseAt)
	for _, wk := range l.workers[:released] {
		if err := l.renew(wk); err != nil {
			return false, err
		}
		l.register(wk)
		time.Sleep(releaseGap)
	}
	rec.printf("they have registered")
	l.until(streamsAt)
	streams := l.beginStreams(0, streamCount, 0)
	if trouble {
		// With TROUBLE=drill or TROUBLE=kill the other disruption is left out.
		if err := l.restore(backup, os.Getenv("TROUBLE") != "kill", os.Getenv("TROUBLE") != "drill"); err != nil {
			return false, err
		}
	}
	streams.wait(time.Until(l.ready.Add(caseEnd)))
	return streams.check(rec)
}

// restore plays the drill, in which the store comes back from a copy, and the kill of all gateways.
func (l *llm) restore(backup standin.Copy, drill, kill bool) error {
	l.until(awayAt)
	if drill {
		l.beats.pause()
		l.platform.Faults().Add(fault.Fault{Path: "/log-", Kind: fault.KindFail, Status: http.StatusServiceUnavailable})
		l.rec.printf("the store is away")
	}
	l.until(killAt)
	if kill {
		for _, g := range l.gateways {
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.exited
		}
		l.rec.printf("all gateways have been killed")
	}
	l.until(backAt)
	if drill {
		l.platform.Restore(backup)
		l.platform.Faults().Clear()
		l.rec.printf("the store is back from the copy")
	}
	for _, g := range l.gateways {
		if !kill {
			break
		}
		if err := l.start(g); err != nil {
			return err
		}
	}
	l.until(backAt + rewriteAfter)
	for _, wk := range l.workers {
		l.register(wk)
	}
	l.rec.printf("the workers have written their entries again")
	l.beats.resume()
	return nil
}

// beats renews the entries of workers.
type beats struct {
	mu      sync.Mutex
	paused  bool
	dropped *worker
	done    chan struct{}
}

func newBeats(w *world, workers []*worker) *beats {
	b := &beats{done: make(chan struct{})}
	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-b.done:
				return
			case <-tick.C:
			}
			b.mu.Lock()
			for _, wk := range workers {
				if !b.paused && wk != b.dropped {
					w.platform.PutJSON("keyed.servers", wk.id, wk.entry())
				}
			}
			b.mu.Unlock()
		}
	}()
	return b
}

func (b *beats) stop() { close(b.done) }

// drop ends the reports of a worker that has left.
func (b *beats) drop(wk *worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = wk
}

func (b *beats) pause() { b.set(true) }

func (b *beats) resume() { b.set(false) }

func (b *beats) set(paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paused = paused
}

// stream is a stream of a client over all its tries.
type stream struct {
	mu       sync.Mutex
	id       string
	prompt   string
	events   []string // data of the events
	versions map[string]bool
	tries    []string
	whole    bool
}

// streams are the streams of all clients.
type streams struct {
	all    []*stream
	done   sync.WaitGroup
	cancel context.CancelFunc
}

// beginStreams begins n streams, numbered from first on, with a pause of gap between two, through both gateways by turns.
func (w *world) beginStreams(first, n int, gap time.Duration) *streams {
	ctx, cancel := context.WithCancel(context.Background())
	s := &streams{cancel: cancel}
	for k := range n {
		i := first + k
		one := &stream{id: fmt.Sprintf("s%03d", i), prompt: fmt.Sprintf("%08x:100,%08x:100", 0x5c1e07a2+1009*i, 0x91bd3f06+17*i), versions: map[string]bool{}}
		s.all = append(s.all, one)
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			time.Sleep(time.Duration(k) * gap)
			w.follow(ctx, one, i)
		}()
	}
	return s
}

// wait waits for the streams, for at most d.
func (s *streams) wait(d time.Duration) {
	timer := time.AfterFunc(d, s.cancel)
	defer timer.Stop()
	s.done.Wait()
	s.cancel()
}

// follow reads a stream, and takes it up again with Last-Event-Id and Resumes while it breaks off.
func (w *world) follow(ctx context.Context, s *stream, n int) {
	first, last := "", 0
	for try := range tries {
		id := fmt.Sprintf("%s-%d", s.id, try)
		g := w.gateways[(n+try)%len(w.gateways)]
		got, status, whole := w.readStream(ctx, s, g, id, first, last)
		w.rec.printf("client of %s: try %s at %s after event %d: status %d, %d events, whole %v", s.id, id, g.name, last, status, got-last, whole)
		s.tries = append(s.tries, fmt.Sprintf("%s:%d+%d", g.name, status, got-last))
		if got > last && first == "" {
			first = id
		}
		last = got
		if whole || ctx.Err() != nil {
			s.whole = whole
			return
		}
		time.Sleep(tryPause)
	}
}

// readStream makes one try and returns the number of the last event.
func (w *world) readStream(ctx context.Context, s *stream, g *gatewayProcess, id, first string, last int) (got, status int, whole bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller+"/draft/x", strings.NewReader("prompt "+s.id))
	if err != nil {
		return last, 0, false
	}
	req.Host = host
	h := req.Header
	h.Set("Request-Id", id)
	h.Set("Deadline-Ms", "15000")
	h.Set("Authorization", "Bearer "+key)
	h.Set("Model", "m")
	h.Set("Token-Count", "200,300")
	h.Set("Prefix-Hash", s.prompt)
	if last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(last))
		h.Set("Resumes", first)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return last, 0, false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return last, res.StatusCode, false
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.add(v)
		}
	}
	return last, res.StatusCode, lines.Err() == nil && last == streamEvents
}

// add adds the data of an event.
func (s *stream) add(data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	if _, v, ok := strings.Cut(data, " of version "); ok {
		s.versions[v] = true
	}
}

// check checks the rule ORDER.
func (s *streams) check(rec *record) (bool, error) {
	mixed, whole := 0, 0
	for _, one := range s.all {
		verdict := ""
		if len(one.versions) > 1 {
			mixed++
			verdict = "EVENTS OF TWO VERSIONS"
		}
		if one.whole {
			whole++
		}
		rec.printf("%s: %d events, versions %v, tries %v %s", one.id, len(one.events), keys(one.versions), one.tries, verdict)
	}
	rec.printf("%d of %d streams hold events of two versions; %d allowed; %d whole", mixed, len(s.all), mixedAllowed, whole)
	if whole == 0 && os.Getenv("TROUBLE") == "0" {
		return false, errors.New("no stream was whole")
	}
	return mixed > mixedAllowed, nil
}

func keys(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/damaskport/damaskport/platform/standin"
)

const (
	// cutFor is how long the leader's machine has no path to the platform.
	cutFor = 10 * time.Second
	// thaw is ThawMs of the settings.
	thaw = 300 * time.Millisecond
	// reportsBefore is the number of reports before the partition.
	reportsBefore = 1
	// lateAfter is how long after the begin of the partition the case ends: the sender's retransmission
	// after the end of the partition comes after 12.6 s.
	lateAfter = 16 * time.Second
	caseLimit = 90 * time.Second
)

// lateReport cuts the machine that reports usage off from the platform as it sends a report, and
// checks the generation numbers of all reports that the platform gets.
func lateReport(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, 2)
	if err != nil {
		return false, err
	}
	defer w.close()
	var mu sync.Mutex
	var cutAt time.Time
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	rec.printf("three gateways are ready")
	for _, g := range w.gateways {
		g.duties.onData = func(first []byte) {
			mu.Lock()
			defer mu.Unlock()
			if !cutAt.IsZero() || !bytes.HasPrefix(first, []byte("POST /usage")) || len(w.platform.Reports()) < reportsBefore {
				return
			}
			cutAt = time.Now()
			if !trouble {
				return
			}
			g.store.cut(cutFor)
			g.duties.cut(cutFor)
			rec.printf("%s sends a report and loses its path to the platform for %v; fence %s", g.name, cutFor, headerOf(first, "Fence"))
		}
		g.duties.onLate = func(n int, lost bool) {
			rec.printf("%d bytes that %s sent before it lost its path: lost %v", n, g.name, lost)
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		w.callEach(stop)
	}()
	for end := time.Now().Add(caseLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		mu.Lock()
		done := !cutAt.IsZero() && time.Since(cutAt) > lateAfter
		mu.Unlock()
		if done {
			break
		}
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if cutAt.IsZero() {
		return false, errors.New("no gateway reported usage")
	}
	return w.checkReports(cutAt, trouble)
}

// checkReports checks the rule ONE.
func (w *world) checkReports(cutAt time.Time, trouble bool) (wrong bool, err error) {
	reports := w.platform.Reports()
	holders := map[string]bool{}
	highest := int64(0)
	for _, r := range reports {
		verdict := ""
		healed := cutAt.Add(cutFor)
		if r.Fence < highest {
			verdict = fmt.Sprintf("LOWER than %d", highest)
			if trouble && r.At.After(cutAt) && r.At.Before(healed.Add(thaw)) {
				verdict += ", excused: within ThawMs of the end of the partition"
			} else {
				wrong = true
			}
		}
		highest = max(highest, r.Fence)
		holders[r.Holder] = true
		w.rec.printf("report at %.3f: holder %s fence %d window %d counts %v %s", w.rec.since(r.At), r.Holder, r.Fence, r.Window, r.Counts, verdict)
	}
	if len(reports) <= reportsBefore {
		return false, errors.New("too few reports")
	}
	if trouble && len(holders) < 2 {
		return false, errors.New("no other gateway took the duty over")
	}
	return wrong, nil
}

// headerOf returns a header of a request's first bytes.
func headerOf(head []byte, name string) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if v, ok := strings.CutPrefix(line, name+": "); ok {
			return v
		}
	}
	return ""
}

// callEach sends a request to each gateway in turn, ten a second, until stop is closed.
func (w *world) callEach(stop <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	status := map[string]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			w.rec.printf("requests of clients by result: %v; run: %d", status, arrivals(w.servers))
			return
		case <-time.After(100 * time.Millisecond):
		}
		g := w.gateways[i%len(w.gateways)]
		req, err := http.NewRequest(http.MethodGet, "http://"+g.caller+"/read/x", nil)
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", fmt.Sprintf("r-%06d", i))
		req.Header.Set("Deadline-Ms", "1500")
		req.Header.Set("Authorization", "Bearer "+key)
		res, err := client.Do(req)
		if err != nil {
			status["error"]++
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status[res.Status]++
	}
}

// arrivals returns how many requests the servers have received.
func arrivals(all []*standin.Server) int {
	n := 0
	for _, s := range all {
		n += len(s.Arrivals())
	}
	return n
}

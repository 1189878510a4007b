package startup_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/platform/standin"
)

// memoryMb is the memory that a process may use in these tests.
const memoryMb = 284

// TestReservedMemoryAtRest guards against processes that have reserved most of their memory before they serve.
func TestReservedMemoryAtRest(t *testing.T) {
	t.Parallel()
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		p := s.startLimited(t, cluster.Limits{})
		awaitStart(t, p)
		time.Sleep(time.Second)
		got := p.DataMb()
		t.Logf("%d MB reserved, %d threads", got, p.Threads())
		if got == 0 || got > memoryMb/2 {
			t.Errorf("%d MB reserved at rest, want at most %d", got, memoryMb/2)
		}
	})
}

// TestLimitOfTheSystemBoundsMemory guards against processes whose heap grows beyond what the system lets them have.
func TestLimitOfTheSystemBoundsMemory(t *testing.T) {
	t.Parallel()
	const limitMb, heapMb = 150, 90
	line := regexp.MustCompile(`event=memory growthMb=\d+ heapMb=(\d+) heldMb=(\d+) .*limitMb=(\d+) reservedMb=(\d+)`)
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		p := s.startLimited(t, cluster.Limits{DataMb: limitMb})
		awaitStart(t, p)
		var heap, held, limit, reserved int
		for end := time.Now().Add(startTime); limit == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if m := line.FindStringSubmatch(p.Log()); m != nil {
				_, _ = fmt.Sscan(strings.Join(m[1:], " "), &heap, &held, &limit, &reserved)
			}
		}
		if limit != limitMb || heap == 0 || heap > heapMb || held == 0 || held > heap || reserved == 0 || heap+reserved > limit {
			t.Errorf("limit %d MB, heap %d, held %d, reserved %d", limit, heap, held, reserved)
		}
	})
}

// load is what many callers of a gateway send at a time, and how its servers answer.
type load struct {
	callers, body, answer int           // body and answer in bytes
	work                  time.Duration // of a server on a request
	pause                 time.Duration // of a caller between reads of 16 KB
}

// TestDataLimitDoesNotEndGateway guards against gateways that end under load because memory that they have
// reserved, and do not use, counts towards their limit.
func TestDataLimitDoesNotEndGateway(t *testing.T) {
	for name, l := range map[string]load{
		"bodies":  {callers: 80, body: 4 << 20, work: 200 * time.Millisecond},
		"answers": {callers: 200, answer: 300 << 10},
		"slow":    {callers: 400, answer: 300 << 10, pause: 100 * time.Millisecond},
		"crowd":   {callers: 1200, body: 1 << 10, answer: 1 << 10, work: time.Second},
		"files":   {callers: 3500, body: 1 << 10, answer: 1 << 10, work: time.Second}, // as many as the open files allow
		"all":     {callers: 600, body: 300 << 10, answer: 300 << 10, work: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedGateway(t, l)
			p := s.startLimited(t, cluster.Limits{DataMb: memoryMb})
			awaitStart(t, p)
			answered, lost := l.send(p, "http://"+s.addrs["callerAddr"], 6*time.Second)
			if state, ended := p.EndedByItself(); ended {
				t.Errorf("ended by itself: %s", state)
			}
			t.Logf("%d MB reserved, %d threads, answers by status %v, %d lost: %v", p.DataMb(), p.Threads(), answered, lost.n, lost.last)
			if answered[http.StatusOK] == 0 || lost.n > 0 {
				t.Errorf("answers by status %v, %d requests without one: %v", answered, lost.n, lost.last)
			}
		})
	}
}

// startLimited starts the process as built for production.
func (s *server) startLimited(t *testing.T, l cluster.Limits) *cluster.Proc {
	t.Helper()
	return cluster.StartLimited(t, s.role, l, s.args()...)
}

// newLoadedGateway writes the settings of a gateway that has a store and servers for the load l.
func newLoadedGateway(t *testing.T, l load) *server {
	t.Helper()
	const servers = 4
	answer := bytes.Repeat([]byte("a"), l.answer)
	pl := standin.NewPlatform()
	t.Cleanup(pl.Close)
	pl.PutJSON("keyed.op", "config", map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{{"Name": "read", "Host": "shop.example", "PathPrefix": "/read/", "Type": "safe", "TimeoutMs": 8000, "SloMs": 4000, "Service": "app", "Attempts": 2}},
		"Services": []map[string]any{{"Name": "app"}},
		"Limits":   map[string]any{"MaxBodyBytes": 4 << 20, "IdleTimeoutMs": 15000},
	})
	for i := range servers {
		id := fmt.Sprint("app-", i)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(l.work)
			standin.Sign(w.Header(), r, id)
			_, _ = w.Write(answer)
		}))
		t.Cleanup(srv.Close)
		pl.PutJSON("keyed.servers", id, map[string]any{
			"Service": "app", "Addr": strings.TrimPrefix(srv.URL, "http://"), "Zone": "a", "Slots": l.callers, "State": "ready", "Seq": i + 1, "born": 1000, "Version": "1",
		})
	}
	s := newServerAt(t, "gateway", pl.Addr())
	var v map[string]any
	if err := json.Unmarshal(s.text, &v); err != nil {
		t.Fatal(err)
	}
	v["memoryMb"], v["maxFiles"], v["linkMbps"] = memoryMb, 4100, 0
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	s.write(t, data)
	return s
}

// loss counts requests without an answer.
type loss struct {
	n    int
	last error
}

// send sends requests of all callers for a time, or until p ends, and returns the answers by status.
func (l load) send(p *cluster.Proc, url string, most time.Duration) (map[int]int, loss) {
	body := bytes.Repeat([]byte("b"), l.body)
	end := time.Now().Add(most)
	var mu sync.Mutex
	var id atomic.Int64
	var lost loss
	answered := map[int]int{}
	tr := &http.Transport{MaxIdleConnsPerHost: l.callers}
	defer tr.CloseIdleConnections()
	var wg sync.WaitGroup
	for range l.callers {
		wg.Go(func() {
			for time.Now().Before(end) && !p.Exited() {
				status, err := l.request(tr, url, fmt.Sprint("r", id.Add(1)), body)
				mu.Lock()
				if err != nil {
					lost.n++
					lost.last = err
				} else {
					answered[status]++
				}
				mu.Unlock()
				if status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return answered, lost
}

func (l load) request(tr *http.Transport, url, id string, body []byte) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, url+"/read/1", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	res, err := tr.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	for err == nil {
		time.Sleep(l.pause)
		_, err = io.CopyN(io.Discard, res.Body, 16<<10)
	}
	if err == io.EOF {
		err = nil
	}
	return res.StatusCode, err
}

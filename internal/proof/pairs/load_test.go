package pairs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

const (
	chatCallers    = 4
	serviceCallers = 3
	keyCallers     = 2
	chatTokens     = 40
	// callsPerKey bounds how often a protected request is sent in all.
	callsPerKey = 3
	thinkTime   = 15 * time.Millisecond
	stopTime    = 3 * time.Second
	protectPath = cluster.ServicePath + "/deposits"
)

// world is a cluster under load.
type world struct {
	*cluster.Cluster
	t    *testing.T
	stop atomic.Bool
	wg   sync.WaitGroup

	chats, whole, deposits, confirmed, probes, refused atomic.Int64

	mu sync.Mutex
	// replies holds the answers to protected requests, by idempotency key.
	replies map[string][]cluster.Reply
	// withdrawn holds the keys and when their withdrawal was accepted.
	withdrawn []withdrawn
}

type withdrawn struct {
	key string
	at  time.Time
}

// load starts the callers. Each draws from a generator of its own.
func (w *world) load(seed uint64) {
	callers := []struct {
		n    int
		call func(rnd *rand.Rand, id string)
	}{{chatCallers, w.chat}, {serviceCallers, w.deposit}, {keyCallers, w.probe}}
	for kind, c := range callers {
		for i := range c.n {
			rnd := rand.New(rand.NewPCG(seed, uint64(1000*(kind+1)+i)))
			w.wg.Go(func() {
				for n := 0; !w.stop.Load(); n++ {
					c.call(rnd, fmt.Sprintf("c%d.%d.%d", kind, i, n))
					time.Sleep(thinkTime)
				}
			})
		}
	}
}

func (w *world) entry(rnd *rand.Rand) *cluster.Entry { return w.Entries[rnd.IntN(len(w.Entries))] }

// chat checks that an answer is the caller's own, and whole if it says so.
func (w *world) chat(rnd *rand.Rand, id string) {
	stream := rnd.IntN(2) == 0
	r := w.Call(w.entry(rnd), cluster.ChatRequest(id, chatTokens, stream))
	w.chats.Add(1)
	if r.Status != http.StatusOK {
		return
	}
	parse := cluster.ParseWhole
	if stream {
		parse = cluster.ParseStream
	}
	a, err := parse(r.Body)
	if r.Err != nil {
		return
	}
	want := cluster.WantText(id, chatTokens)
	switch {
	case err != nil, !strings.HasPrefix(want, a.Text):
		w.t.Errorf("%s: not its own answer: %v, %v", id, err, r)
	case a.Whole() && a.Text != want:
		w.t.Errorf("%s: a truncated answer looks whole: %v", id, r)
	case !a.Whole() && a.Error == "":
		w.t.Errorf("%s: the answer ended without an end mark or an error: %v", id, r)
	case a.Whole():
		w.whole.Add(1)
	}
}

// deposit sends a protected request until it is answered, at most callsPerKey
// times, each time at any entry.
func (w *world) deposit(rnd *rand.Rand, id string) {
	var replies []cluster.Reply
	for n := range callsPerKey {
		r := w.depositOnce(w.entry(rnd), id, n)
		replies = append(replies, r)
		if r.Err == nil && r.Status == http.StatusOK {
			w.confirmed.Add(1)
			break
		}
		time.Sleep(thinkTime)
	}
	w.deposits.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replies[id] = replies
}

func (w *world) depositOnce(e *cluster.Entry, id string, n int) cluster.Reply {
	return w.Call(e, cluster.Request{Path: protectPath, IdempotencyKey: id, Body: fmt.Sprintf("nonce:%s_%d workMs:5", id, n)})
}

// probe uses a withdrawn key.
func (w *world) probe(rnd *rand.Rand, id string) {
	w.mu.Lock()
	var old []withdrawn
	for _, k := range w.withdrawn {
		if time.Since(k.at) > stopTime {
			old = append(old, k)
		}
	}
	w.mu.Unlock()
	if len(old) == 0 {
		return
	}
	k := old[rnd.IntN(len(old))]
	req := cluster.ChatRequest(id, 1, false)
	req.Key = k.key
	e := w.entry(rnd)
	r := w.Call(e, req)
	w.probes.Add(1)
	switch {
	case r.Status == http.StatusOK:
		w.t.Errorf("%s: %s works %v after its withdrawal was accepted", e.Name, k.key, time.Since(k.at))
	case r.Code == "invalidKey":
		w.refused.Add(1)
	}
}

// watch checks that no process shows a version below one that it showed.
func (w *world) watch(e *cluster.Entry) {
	w.wg.Go(func() {
		last := int64(0)
		for !w.stop.Load() {
			time.Sleep(thinkTime)
			s, err := e.Operator().Status(context.Background())
			if err != nil || !s.Ready {
				last = 0 // the process may have been replaced
				continue
			}
			if s.Config.Number < last {
				w.t.Errorf("%s: version went back from %d to %d", e.Name, last, s.Config.Number)
			}
			last = s.Config.Number
		}
	})
}

// checkDeposits compares the answers to protected requests with what ran.
func (w *world) checkDeposits() {
	ran := map[string][]string{}
	for _, x := range w.Executions() {
		if x.Path == protectPath {
			id, _, _ := strings.Cut(x.Nonce, "_")
			ran[id] = append(ran[id], x.Nonce)
		}
	}
	for id, replies := range w.replies {
		if len(ran[id]) > 1 {
			w.t.Errorf("%s ran %d times: %v, told %v", id, len(ran[id]), ran[id], replies)
		}
		for n, r := range replies {
			for _, nonce := range ran[id] {
				if r.NotRun && nonce == fmt.Sprintf("%s_%d", id, n) {
					w.t.Errorf("%s was told as not run, but ran: %v", nonce, r)
				}
			}
			if r.Err == nil && r.Status == http.StatusOK && (len(ran[id]) == 0 || !strings.Contains(string(r.Body), `"nonce":"`+id+`_`)) {
				w.t.Errorf("%s: a success that is not its own: %v, ran %v", id, r, ran[id])
			}
		}
	}
}

// checkSeen searches the record of every backend server for keys.
func (w *world) checkSeen() {
	for _, s := range w.Sidecars {
		for _, r := range w.Seen(s) {
			text := fmt.Sprint(r.Method, r.URI, r.Header, string(r.Body))
			if strings.Contains(text, "dk_") || strings.Contains(text, "secret") {
				w.t.Errorf("%s saw a key: %.400s", s.Name, text)
			}
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// renewals tells whether servers renew their entries. Reads of the list of servers are sent for it only
// while a watch lasts longer than most do. It is safe for concurrent use.
type renewals struct {
	// due has an element once a watch needs a read; most stop before.
	due chan struct{}

	mu  sync.Mutex
	all *servers.Renewals
}

func newRenewals() *renewals {
	return &renewals{due: make(chan struct{}, 1), all: servers.NewRenewals()}
}

// watch adds w until the function that it returns is called.
func (r *renewals) watch(w *servers.RenewalWatch) (stop func()) {
	r.mu.Lock()
	r.all.Watch(w)
	r.mu.Unlock()
	wake := time.AfterFunc(servers.RenewalSettle.Duration(), func() {
		select {
		case r.due <- struct{}{}:
		default:
		}
	})
	return func() {
		wake.Stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.all.Stop(w)
	}
}

// state returns what is known of w.
func (r *renewals) state(w *servers.RenewalWatch) servers.Renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.State()
}

// dueMs returns when a read is due for a watch; ok is false if none waits.
func (r *renewals) dueMs(readMs clock.Millis) (ms clock.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all.DueMs(readMs)
}

// read records a read of the list of servers.
func (r *renewals) read(sent clock.Millis, entries []servers.Server, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.Read(sent, entries, whole)
}

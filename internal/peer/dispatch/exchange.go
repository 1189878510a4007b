package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	fetchTimeout = time.Second
	// fetchPause is the time between a fetch that brought nothing and the next.
	fetchPause = 200 * clock.Millisecond
)

// Exchange brings processes to the same configuration: whoever learns that a
// peer has a higher version fetches the records that it lacks.
type Exchange struct {
	store *config.Store
	log   logrus.FieldLogger

	mu sync.Mutex
	// ahead holds the version that each peer showed while it was above this
	// process's own.
	ahead    map[*Link]int64
	fetching bool
}

// NewExchange returns an Exchange for the process that holds store.
func NewExchange(store *config.Store, log logrus.FieldLogger) *Exchange {
	return &Exchange{store: store, log: log, ahead: map[*Link]int64{}}
}

// Reply answers a peer that lacks records.
func (x *Exchange) Reply(f FetchConfig) (FetchConfigReply, error) {
	if x.store.Compare(f.Since) == config.Diverged {
		return FetchConfigReply{}, &config.DivergenceError{Version: f.Since.Number, Got: f.Since.Digest}
	}
	records, snapshot := x.store.RecordsSince(f.Since.Number)
	return FetchConfigReply{Records: records, Snapshot: snapshot, Version: x.store.Version(), Ready: x.store.Ready()}, nil
}

// Observe takes in a peer's state and fetches what this process lacks. It
// does not block.
func (x *Exchange) Observe(l *Link, st State) {
	if st.Config.Number <= x.store.Current().Version() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ahead[l] = max(x.ahead[l], st.Config.Number)
	if !x.fetching {
		x.fetching = true
		go x.catchUp()
	}
}

// catchUp fetches from one peer after another until none is ahead.
func (x *Exchange) catchUp() {
	var failed *Link
	for l := x.next(failed); l != nil; l = x.next(failed) {
		failed = nil
		before := x.store.Version()
		if err := x.fetch(l); err != nil {
			x.log.WithField("event", "fetchConfigFailed").Warn(err)
		}
		if x.store.Version() == before {
			failed = l
			_ = l.clock.Sleep(l.ctx, fetchPause)
		}
	}
}

// next returns a link to a peer that is ahead, one other than failed if there
// is any. It returns nil, and catching up has ended, when there is none.
func (x *Exchange) next(failed *Link) *Link {
	x.mu.Lock()
	defer x.mu.Unlock()
	var found *Link
	for l, version := range x.ahead {
		if l.Closed() || version <= x.store.Current().Version() {
			delete(x.ahead, l)
			continue
		}
		if found == nil || found == failed {
			found = l
		}
	}
	x.fetching = found != nil
	return found
}

// fetch asks until the peer has nothing more to give.
func (x *Exchange) fetch(l *Link) error {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	for {
		before := x.store.Version()
		var reply FetchConfigReply
		if err := l.Call(ctx, MethodFetchConfig, FetchConfig{Since: before}, &reply); err != nil {
			return err
		}
		if reply.Snapshot != nil {
			if err := x.store.OfferSnapshot(*reply.Snapshot); err != nil {
				return err
			}
		}
		if err := x.store.Offer(reply.Records); err != nil {
			return err
		}
		now := x.store.Version()
		if reply.Ready && now.Number >= reply.Version.Number {
			x.store.MarkReady()
		}
		if now.Number >= reply.Version.Number || now == before {
			return nil
		}
	}
}

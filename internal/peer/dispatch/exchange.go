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
	// fetchTimeout bounds the calls to one peer that fetch its records.
	fetchTimeout = time.Second
	// fetchRetryDelay is the delay before the next fetch after one that did not raise
	// the version.
	fetchRetryDelay = 200 * clock.Millisecond
)

// Exchange keeps a process's configuration in step with that of its peers: when a
// peer reports a higher version, it fetches the missing records from that peer. It
// is safe for concurrent use.
type Exchange struct {
	store *config.Store
	log   logrus.FieldLogger

	mu sync.Mutex
	// aheadVersions is the highest version that each peer has reported, for those peers
	// whose version is higher than that of store.
	aheadVersions map[*Link]int64
	// fetching is set while a goroutine runs catchUp.
	fetching bool
}

// NewExchange returns an Exchange that keeps store current.
func NewExchange(store *config.Store, log logrus.FieldLogger) *Exchange {
	return &Exchange{store: store, log: log, aheadVersions: map[*Link]int64{}}
}

// Reply answers a FetchConfig call of a peer. The error is a
// *config.DivergenceError if the peer's version has another history than the local
// one.
func (x *Exchange) Reply(f FetchConfig) (FetchConfigReply, error) {
	if x.store.Compare(f.Since) == config.Diverged {
		return FetchConfigReply{}, &config.DivergenceError{Version: f.Since.Number, Got: f.Since.Digest}
	}
	records, snapshot := x.store.RecordsSince(f.Since.Number)
	return FetchConfigReply{Records: records, Snapshot: snapshot, Version: x.store.Version(), Ready: x.store.Ready()}, nil
}

// Observe records the state that a peer has reported on l. If the peer's version is
// higher than the local one, it starts to fetch the missing records. It does not
// block.
func (x *Exchange) Observe(l *Link, st State) {
	if st.Config.Number <= x.store.Current().Version() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aheadVersions[l] = max(x.aheadVersions[l], st.Config.Number)
	if !x.fetching {
		x.fetching = true
		go x.catchUp()
	}
}

// catchUp fetches records from one peer after another until no connected peer has a
// higher version than the local one.
func (x *Exchange) catchUp() {
	var failed *Link
	for l := x.nextPeer(failed); l != nil; l = x.nextPeer(failed) {
		failed = nil
		before := x.store.Version()
		if err := x.fetch(l); err != nil {
			x.log.WithField("event", "fetchConfigFailed").Warn(err)
		}
		if x.store.Version() == before {
			failed = l
			_ = l.clock.Sleep(l.ctx, fetchRetryDelay)
		}
	}
}

// nextPeer returns a link to a peer with a higher version, other than failed if there
// is one. If no such peer is connected, it returns nil and clears fetching.
func (x *Exchange) nextPeer(failed *Link) *Link {
	x.mu.Lock()
	defer x.mu.Unlock()
	var found *Link
	for l, version := range x.aheadVersions {
		if l.Closed() || version <= x.store.Current().Version() {
			delete(x.aheadVersions, l)
			continue
		}
		if found == nil || found == failed {
			found = l
		}
	}
	x.fetching = found != nil
	return found
}

// fetch fetches records from the peer until the local version is at least the
// peer's, or until a reply has not raised it.
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

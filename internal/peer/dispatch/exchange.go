package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
)

const (
	fetchTimeout = time.Second
	firstPause   = 100 * time.Millisecond
	lastPause    = 5 * time.Second
)

// Exchange brings processes to the same configuration: whoever learns that a
// peer has a higher version fetches the records that it lacks.
type Exchange struct {
	store *config.Store
	log   logrus.FieldLogger

	mu       sync.Mutex
	fetching bool
	// ahead holds the versions that peers told and this process lacks.
	ahead map[*Link]int64
	// news is signalled when ahead has grown.
	news chan struct{}
}

// NewExchange returns an Exchange for the process that holds store.
func NewExchange(store *config.Store, log logrus.FieldLogger) *Exchange {
	return &Exchange{store: store, log: log, ahead: map[*Link]int64{}, news: make(chan struct{}, 1)}
}

// Reply answers a peer that lacks records.
func (x *Exchange) Reply(f FetchConfig) (FetchConfigReply, error) {
	if x.store.Compare(f.Since) == config.Diverged {
		return FetchConfigReply{}, &config.DivergenceError{Version: f.Since.Number, Got: f.Since.Digest}
	}
	records, snapshot := x.store.RecordsSince(f.Since.Number)
	return FetchConfigReply{Records: records, Snapshot: snapshot, Version: x.store.Version(), Ready: x.store.Ready()}, nil
}

// Observe takes in a peer's state and fetches what this process lacks, until
// it has it or the peer's link has ended. It does not block.
func (x *Exchange) Observe(l *Link, st State) {
	if st.Config.Number <= x.store.Current().Version() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ahead[l] = st.Config.Number
	select {
	case x.news <- struct{}{}:
	default:
	}
	if !x.fetching {
		x.fetching = true
		go x.catchUp()
	}
}

// catchUp fetches from the peers that are ahead until none is.
func (x *Exchange) catchUp() {
	pause := firstPause
	for {
		l := x.next()
		if l == nil {
			return
		}
		err := x.fetch(l)
		if err == nil {
			pause = firstPause
			continue
		}
		x.log.WithField("event", "fetchConfigFailed").Warn(err)
		x.rest(l, pause)
		pause = min(2*pause, lastPause)
	}
}

// next returns the link of a peer that is ahead. Without one it returns nil,
// and the next peer that is ahead starts catchUp again.
func (x *Exchange) next() *Link {
	x.mu.Lock()
	defer x.mu.Unlock()
	have := x.store.Current().Version()
	var out *Link
	for l, number := range x.ahead {
		if number <= have || l.Closed() {
			delete(x.ahead, l)
			continue
		}
		out = l
	}
	x.fetching = out != nil
	return out
}

// rest waits after a failed fetch until a peer tells a version, the link has
// ended, or the pause is over.
func (x *Exchange) rest(l *Link, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.Done():
	case <-x.news:
	}
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
		if now.Number >= reply.Version.Number {
			return nil
		}
		if now == before {
			return errors.Errorf("the records sent do not follow version %d", now.Number)
		}
	}
}

package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
)

const fetchTimeout = time.Second

// Exchange brings processes to the same configuration: whoever learns that a
// peer has a higher version fetches the records that it lacks.
type Exchange struct {
	store    *config.Store
	log      logrus.FieldLogger
	fetching atomic.Bool
}

// NewExchange returns an Exchange for the process that holds store.
func NewExchange(store *config.Store, log logrus.FieldLogger) *Exchange {
	return &Exchange{store: store, log: log}
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
	if !x.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer x.fetching.Store(false)
		if err := x.fetch(l); err != nil {
			x.log.WithField("event", "fetchConfigFailed").Warn(err)
		}
	}()
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

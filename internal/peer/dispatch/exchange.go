package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const fetchTimeout = time.Second

// ConfigStore holds the configuration of one process.
type ConfigStore interface {
	Current() *directory.Directory
	// RecordsSince returns the records above version, or a snapshot with the
	// records after it when the store no longer holds them all.
	RecordsSince(version int64) ([]logservice.Record, *directory.Snapshot)
	Offer(records []logservice.Record) error
	OfferSnapshot(s directory.Snapshot) error
}

// Exchange brings processes to the same configuration: whoever learns that a
// peer has a higher version fetches the records that it lacks.
type Exchange struct {
	store    ConfigStore
	log      logrus.FieldLogger
	fetching atomic.Bool
}

// NewExchange returns an Exchange for the process that holds store.
func NewExchange(store ConfigStore, log logrus.FieldLogger) *Exchange {
	return &Exchange{store: store, log: log}
}

// Reply answers a peer that lacks records.
func (x *Exchange) Reply(f FetchConfig) FetchConfigReply {
	records, snapshot := x.store.RecordsSince(f.Since)
	return FetchConfigReply{Snapshot: snapshot, Records: records}
}

// Observe takes in a peer's state and fetches what this process lacks. It
// does not block.
func (x *Exchange) Observe(l *Link, st State) {
	if st.ConfigVersion <= x.store.Current().Version() {
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

func (x *Exchange) fetch(l *Link) error {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	var reply FetchConfigReply
	if err := l.Call(ctx, MethodFetchConfig, FetchConfig{Since: x.store.Current().Version()}, &reply); err != nil {
		return err
	}
	if reply.Snapshot != nil {
		if err := x.store.OfferSnapshot(*reply.Snapshot); err != nil {
			return err
		}
	}
	return x.store.Offer(reply.Records)
}

package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// evidenceWriters is the number of gateways that keep the evidence in the store, each
	// under its own name. evidenceInterval is the shortest time between two records of one.
	evidenceWriters  = 2
	evidenceInterval = 250 * clock.Millisecond
	// evidenceRead is the interval at which a gateway that does not reach all others reads
	// the evidence from the store.
	evidenceRead = 5 * clock.Second
)

// QuarantinePath is the path of what is refused at the metrics address.
const QuarantinePath = "/quarantine"

// keepEvidence reads the evidence from the store, and keeps it there as it changes, until
// ctx ends.
func (g *Gateway) keepEvidence(ctx context.Context) error {
	reader := &topicReader{g: g, topic: TopicEvidence}
	var others []string // keys of records that this gateway has merged
	written, failures, ownRecord := 0, 0, false
	readMs := clock.Millis(0)
	e, _ := g.store.epochAndChange()
	for ctx.Err() == nil {
		if now := g.clock.Now(); readMs == 0 || now-readMs >= evidenceRead && !g.peers.allUp() {
			keys, err := g.readEvidence(ctx, reader)
			if err != nil {
				reader.backOffAgain(ctx)
				continue
			}
			others, readMs = append(others, keys...), now
		}
		if now, _ := g.store.epochAndChange(); now != e {
			// The store may have come back from a backup without the record.
			e, written = now, 0
		}
		all, version := g.suspects.snapshot()
		if version == written || all.Empty() && !ownRecord || !g.peers.ranksAmong(subjectEvidence, evidenceWriters) {
			g.suspects.await(ctx, version)
			continue
		}
		if err := g.writeEvidence(ctx, all); err != nil {
			failures++
			g.backOff(ctx, failures, false)
			continue
		}
		written, failures, ownRecord = version, 0, !all.Empty()
		others = g.deleteEvidenceOfGone(ctx, others)
		_ = g.clock.Sleep(ctx, evidenceInterval)
	}
	return nil
}

// readEvidence merges the evidence in the store that was not read before, and returns the keys
// of its records.
func (g *Gateway) readEvidence(ctx context.Context, reader *topicReader) ([]string, error) {
	snap, _, err := reader.read(ctx, 0)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, r := range snap.Records {
		if len(r.Value) == 0 {
			continue
		}
		var e quarantine.Evidence
		if err := json.Unmarshal(r.Value, &e); err != nil {
			g.log.WithFields(logrus.Fields{"event": "evidenceInvalid", "key": r.Key, "offset": r.At.Offset()}).Warn(err)
			continue
		}
		g.suspects.merge(e, false)
		if r.Key != g.name {
			keys = append(keys, r.Key)
		}
	}
	g.suspects.setLoaded()
	return keys, nil
}

// writeEvidence writes the evidence under this gateway's name.
func (g *Gateway) writeEvidence(ctx context.Context, e quarantine.Evidence) error {
	var data []byte
	if !e.Empty() {
		var err error
		if data, err = json.Marshal(e); err != nil {
			return err
		}
	}
	err := g.store.Append(ctx, TopicEvidence, g.name, data)
	g.metrics.storeWrite(TopicEvidence, err)
	return err
}

// deleteEvidenceOfGone deletes the records of gateways that are gone, whose evidence this
// gateway has written with its own. It returns the keys that remain.
func (g *Gateway) deleteEvidenceOfGone(ctx context.Context, keys []string) []string {
	known := g.peers.otherNames()
	return slices.DeleteFunc(keys, func(key string) bool {
		return !slices.Contains(known, key) && g.store.Append(ctx, TopicEvidence, key, nil) == nil
	})
}

// await waits until the evidence is no longer of the given version, for at most a second:
// the gateways that keep it may change without it.
func (s *suspects) await(ctx context.Context, version int) {
	s.mu.Lock()
	changed, same := s.changed, s.version == version
	s.mu.Unlock()
	wait, cancel := context.WithTimeout(ctx, clock.Second.Duration())
	defer cancel()
	for same {
		select {
		case <-changed:
		case <-wait.Done():
			return
		}
		s.mu.Lock()
		changed, same = s.changed, s.version == version
		s.mu.Unlock()
	}
}

// operatorHandler serves the metrics, and at QuarantinePath what is refused: GET lists it, DELETE
// with the id of a prompt part or a request behind the path clears it.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", g.metrics.root.Handler)
	mux.HandleFunc("GET "+QuarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		g.suspects.mu.Lock()
		all := g.suspects.ledger.Quarantined()
		g.suspects.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(all); err != nil {
			g.log.WithField("event", "operatorLeft").Info(err)
		}
	})
	mux.HandleFunc("DELETE "+QuarantinePath+"/{subject}", func(w http.ResponseWriter, r *http.Request) {
		id, err := quarantine.ParseSubject(r.PathValue("subject"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.suspects.lift(id)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// lift clears a subject on behalf of an operator.
func (s *suspects) lift(id string) {
	s.mu.Lock()
	news := s.ledger.Lift(s.wall(), id)
	if !news.Empty() {
		s.changedLocked()
	}
	s.mu.Unlock()
	s.logSubject(id).WithField("event", "subjectLifted").Warn("cleared by an operator")
	s.tell(news)
}

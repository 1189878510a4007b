package servers

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// changeMs is the least time by which an entry must move the end of a server's warm-up to
	// count as news. The times at which entries of the same warm-up are read differ by less.
	changeMs = 300 * clock.Millisecond
	// returnedMs is how long the servers of a zone count as cold after it was given back, unless
	// their entries say more: a running server renews its entry within that time.
	returnedMs = LapsedKeepMs
	// warmUpKeepMs is how long the state of a server is kept after its entry disappeared.
	warmUpKeepMs = 60 * clock.Second
)

// WarmUps holds what one gateway knows of the warm-up of servers. A server warms up for the
// time that its newest entry gives. It may also warm up, without an entry that says so yet,
// after a connection to it has failed: it may have restarted, also under the same id. It is
// suspected until a list shows it as warm that is newer than its next answer.
//
// The current time, by the monotonic clock, is an argument. WarmUps is not safe for concurrent
// use.
type WarmUps struct {
	servers map[string]*warmUp
}

// warmUp is the state of one start of a server.
type warmUp struct {
	start, seq int64
	zone       string
	untilMs    clock.Millis
	// returnedUntilMs is until when the server counts as cold since its zone was given back.
	returnedUntilMs clock.Millis
	// suspectedMs is when the server was last suspected; 0 if it never was. neededMs is the
	// least age of the list that ends the suspicion; 0 if the server has not answered since.
	suspectedMs, neededMs clock.Millis
	seenMs                clock.Millis // when the server was last listed
}

// NewWarmUps returns a WarmUps without servers.
func NewWarmUps() *WarmUps { return &WarmUps{servers: map[string]*warmUp{}} }

// Entry records the entry of a server that was read now, and reports whether the server has
// become cold with it, or is cold for longer or shorter than it was known to be.
func (w *WarmUps) Entry(now clock.Millis, s Server) (changed bool) {
	old := w.servers[s.ID]
	if old == nil {
		old = &warmUp{start: s.Start, seq: -1}
		w.servers[s.ID] = old
	}
	old.seenMs = now
	switch {
	case s.Start < old.start || s.Start == old.start && s.Seq == old.seq:
		return false
	case s.Start == old.start && s.Seq < old.seq && (s.Start != 0 || s.WarmUpMs == 0):
		// Of a server that does not tell its start, a lower number may be that of a restart.
		return false
	}
	before := max(old.untilMs, now)
	if s.Start > old.start {
		*old = warmUp{start: s.Start, seenMs: now}
		before = now
	}
	old.zone, old.seq, old.untilMs = s.Zone, s.Seq, now+s.WarmUpMs
	return old.untilMs > before+changeMs || old.untilMs < before-changeMs
}

// Suspect records that a connection to a server failed, or that it may have become cold for
// another reason, and reports whether it was not suspected before, with a list as of asOf.
func (w *WarmUps) Suspect(now, asOf clock.Millis, k Key) (begins bool) {
	s := w.servers[k.ID]
	if s == nil || s.start != k.Start {
		return false
	}
	begins = !s.suspected(asOf)
	s.suspectedMs, s.neededMs = now, 0
	return begins
}

// ZoneReturned records that an evacuated zone was given back: its servers may have become cold
// meanwhile, and their entries do not say so yet.
func (w *WarmUps) ZoneReturned(now clock.Millis, zone string) {
	for _, s := range w.servers {
		if s.zone == zone {
			s.returnedUntilMs = now + returnedMs
		}
	}
}

// Answered records an answer of a server on a connection that was opened at openedMs. neededMs
// is the age of the list that shows the start to which such a connection leads. An answer on a
// connection from before the suspicion shows that the server has not restarted.
func (w *WarmUps) Answered(k Key, openedMs, neededMs clock.Millis) {
	s := w.servers[k.ID]
	switch {
	case s == nil || s.start != k.Start || s.suspectedMs == 0:
	case openedMs <= s.suspectedMs:
		s.suspectedMs, s.neededMs = 0, 0
	case s.neededMs == 0:
		s.neededMs = neededMs
	}
}

// Cold reports whether a server warms up, or may do so. The list shows the starts of servers as
// of asOf.
func (w *WarmUps) Cold(now, asOf clock.Millis, k Key) bool {
	s := w.servers[k.ID]
	return s != nil && s.start == k.Start && (now < max(s.untilMs, s.returnedUntilMs) || s.suspected(asOf))
}

// suspected reports whether the suspicion holds with a list as of asOf.
func (s *warmUp) suspected(asOf clock.Millis) bool {
	return s.suspectedMs != 0 && (s.neededMs == 0 || asOf < s.neededMs)
}

// Left returns the warm-up time left of a server by its entry; 0 for none.
func (w *WarmUps) Left(now clock.Millis, k Key) clock.Millis {
	s := w.servers[k.ID]
	if s == nil || s.start != k.Start {
		return 0
	}
	return max(s.untilMs-now, 0)
}

// Sweep drops the state of servers that were not listed for warmUpKeepMs.
func (w *WarmUps) Sweep(now clock.Millis, listed func(id string) bool) {
	for id, s := range w.servers {
		switch {
		case listed(id):
			s.seenMs = now
		case now-s.seenMs > warmUpKeepMs:
			delete(w.servers, id)
		}
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const (
	// versionWriters is the number of gateways that keep the versions in the store.
	versionWriters = 2
	// observeInterval is the longest time between two looks at the listed versions, and
	// versionsReread the time after which a gateway that was not told that the store holds
	// one looks there.
	observeInterval = 500 * clock.Millisecond
	versionsReread  = clock.Second
	// minStreamInterval is the shortest time between two records of a gateway with the
	// streams that it began, and streamIntervalPerGateway what each gateway adds to it.
	minStreamInterval        = 200 * clock.Millisecond
	streamIntervalPerGateway = 3 * clock.Millisecond
	// rerecordAfter is the time after which an unchanged record is written again.
	rerecordAfter = versions.StreamLifetime / 2
	// recordLifetime is the age up to which a record may hold a stream that can still be taken up.
	recordLifetime = versions.StreamLifetime + rerecordAfter
	// maxBroken bounds the streams of a gateway that broke off and may be taken up.
	maxBroken = 4096
	// lookupTries is how often the store is asked for a stream: its gateway may not have
	// recorded it yet.
	lookupTries = 5
	// listWait is how long a stream waits for a list of servers that was read since, and
	// listPoll the interval at which it looks. nextListWait is how long it waits where it can do without:
	// for the next read while the store answers.
	listWait     = 1500 * clock.Millisecond
	listPoll     = 20 * clock.Millisecond
	nextListWait = 700 * clock.Millisecond
	// listWaitShare is the part of the time left to a stream that such a wait may take, as a divisor.
	listWaitShare = 4
	// versionRetryAfter is the Retry-After of a stream that cannot go on now.
	versionRetryAfter = 700 * clock.Millisecond
	// unknownVersion is recorded for a stream whose server may have been another start.
	unknownVersion = "\x00"
)

// openStream is a stream that this gateway began.
type openStream struct {
	versions.Begin
	versions.Contact
	// proved is set once a list of servers shows which start of the server began it.
	proved bool
	// brokenMs is when the stream broke off here, in Unix milliseconds; 0 while it runs.
	brokenMs clock.Millis
}

// streams knows the software version at which streams began. It is safe for concurrent use.
type streams struct {
	g *Gateway

	mu        sync.Mutex
	history   *versions.History
	index     *versions.Index
	recorders *versions.Recorders
	// due has an element once the record is to be written at once.
	due chan struct{}
	// waitingMs is when the oldest stream began that the record lacks, and writingMs that of those that are being written; 0
	// if there is none. told is what the other gateways were told last.
	waitingMs, writingMs clock.Millis
	told                 versions.Recorder
	// unnamed is when a stream last began at a version that the record does not name, in Unix ms.
	unnamedMs clock.Millis
	// open are the streams that run here, or broke off here and may be taken up again.
	open   map[versions.ID]*openStream
	broken int // number of open streams that broke off
	// unrecorded is set if the record of the open streams lacks one. recordedMs is when the
	// record was written; 0 if the store has none.
	unrecorded bool
	recordedMs clock.Millis
	// outdated are the keys of records that no stream needs.
	outdated []string
	// switched are the starts in place as another version that the history has.
	switched map[servers.PoolVersion]int64
	// change counts the changes of the history.
	change int

	// reading is held during a read of the records. The reader is used with it held only.
	reading sync.Mutex
	reader  *topicReader
	readMs  clock.Millis
}

func newStreams(g *Gateway) *streams {
	return &streams{
		g: g, history: versions.NewHistory(), index: versions.NewIndex(), recorders: versions.NewRecorders(), switched: map[servers.PoolVersion]int64{}, open: map[versions.ID]*openStream{},
		due:    make(chan struct{}, 1),
		reader: &topicReader{g: g, topic: TopicStreams},
	}
}

// streamVersion is the software version to which a stream is bound.
type streamVersion struct {
	bound   bool
	version string
	// id is the stream's. The contact is that of the last send that brought events; zero before.
	id versions.ID
	versions.Contact
	// whole is set once the caller has the whole stream.
	whole bool
}

// streamOrigin returns the request that brought the first event of j's stream.
func (j *job) streamOrigin() string {
	if j.ResumesAt != "" && j.Origin != "" {
		return j.Origin
	}
	return j.ID
}

// bindVersion binds a stream that has events to the version that began it. The failure says
// that the stream cannot go on: no server of that version is there, or it is not known.
func (g *Gateway) bindVersion(ctx context.Context, j *job) *exchange.Failure {
	v := &j.stream
	proof := "answer"
	switch {
	case v.bound:
		if !g.streams.leadsToStart(ctx, j, v.OpenedMs) || disproved(g.fleet.prove(ctx, v.Contact)) {
			return g.notJoined(j, "streamVersionUnknown")
		}
	case j.ResumesAt == "":
		return nil
	default:
		var ok bool
		if proof, ok = g.streams.find(ctx, j); !ok {
			return g.notJoined(j, "streamVersionUnknown")
		}
	}
	if !slices.Contains(j.pool.versionList(), v.version) {
		return g.notJoined(j, "streamVersionGone")
	}
	g.metrics.streamJoin(proof)
	j.log.WithFields(logrus.Fields{"event": "streamBound", "origin": j.streamOrigin(), "version": v.version, "proof": proof}).Info()
	return nil
}

// disproved reports whether a proof leaves several starts of a server that may have sent the events of a stream.
func disproved(p versions.Proof) bool { return p == versions.Restarted || p == versions.Untraced }

// notJoined returns the failure of a stream that cannot go on.
func (g *Gateway) notJoined(j *job, reason string) *exchange.Failure {
	g.metrics.streamJoin(reason)
	j.log.WithFields(logrus.Fields{"event": "streamNotJoined", "origin": j.streamOrigin(), "version": j.stream.version, "reason": reason}).Warn()
	if j.mayHaveRun {
		return &exchange.Failure{Status: http.StatusBadGateway, Code: reason}
	}
	return notRun(http.StatusServiceUnavailable, reason, versionRetryAfter)
}

// leadsToStart reports whether a connection that was opened at a time leads to the listed
// start of its server. The server may have started anew since the list was read, as another version
// that the pool has not had before, and an address may have changed hands: bound streams wait for a newer
// list, in a pool with one version only those that broke off within their answer. Without one they go on only in a pool that is known to have one version, by a list that has shown the
// starts of all servers.
func (s *streams) leadsToStart(ctx context.Context, j *job, openedMs clock.Millis) bool {
	if !j.stream.bound {
		return true
	}
	s.mu.Lock()
	several := s.recordedLocked(s.g.clock.Wall(), j.pool.name) || s.g.fleet.startsAsOf() == 0
	s.mu.Unlock()
	most := listWait
	if !several {
		if !j.caller.Progress().Begun {
			// The stream was taken up by a list that was read since.
			return true
		}
		most = min(nextListWait, (j.timeoutMs-s.g.clock.Now())/listWaitShare)
	}
	return s.g.fleet.awaitListSince(ctx, versions.ListNeeded(openedMs), most) || !several && ctx.Err() == nil
}

// find finds the version of the stream that j takes up, and how that is proved.
func (s *streams) find(ctx context.Context, j *job) (proof string, ok bool) {
	id := versions.IDOf(j.streamOrigin())
	begin, found := s.own(ctx, id)
	if !found && s.disputed(id) {
		return "", false
	}
	only, one := "", false
	if !found {
		only, one = s.only(ctx, j)
	}
	switch {
	case found:
		proof = "own"
	case one:
		j.stream = streamVersion{bound: true, version: only, id: id}
		return "only", true
	case j.Origin == "":
		return "", false
	default:
		if begin, proof, found = s.lookUp(ctx, j, id); !found {
			return "", false
		}
	}
	if begin.Pool != j.pool.name {
		if !slices.ContainsFunc(j.route.Split, func(p routing.Share) bool { return p.Pool == begin.Pool }) {
			return "", false
		}
		j.pool = s.g.fleet.pool(begin.Pool)
	}
	j.stream = streamVersion{bound: true, version: begin.Version, id: id}
	return proof, true
}

// own returns where a stream began that this gateway knows. If it began here, it waits for its
// proof.
func (s *streams) own(ctx context.Context, id versions.ID) (b versions.Begin, found bool) {
	s.mu.Lock()
	var contact versions.Contact
	o := s.open[id]
	unproved := o != nil && !o.proved
	if unproved {
		contact = o.Contact
	}
	s.mu.Unlock()
	if unproved && s.g.fleet.awaitListSince(ctx, versions.ListNeeded(contact.OpenedMs), listWait) {
		s.g.fleet.prove(ctx, contact)
		s.observe()
	}
	return s.lookIn(id)
}

// disputed reports whether several starts of a server may have begun a stream that this gateway knows.
func (s *streams) disputed(id versions.ID) bool {
	s.mu.Lock()
	o := s.open[id]
	unknown := o != nil && o.Version == unknownVersion
	var c versions.Contact
	if o != nil && !o.proved {
		c = o.Contact
	}
	s.mu.Unlock()
	return unknown || c.Server != "" && disproved(c.Prove(s.g.fleet.startsAsOf(), s.g.fleet.allStarts()))
}

// lookIn returns where a stream began by the index; found is false if it is not known. The list
// of servers may prove what another gateway had not proved yet.
func (s *streams) lookIn(id versions.ID) (b versions.Begin, found bool) {
	s.mu.Lock()
	b, found = s.index.Find(id)
	supposed, ok := s.index.Supposed(id)
	s.mu.Unlock()
	if ok {
		asOf, offset := s.g.fleet.startsAsOf(), s.g.clock.Wall()-s.g.clock.Now()
		b = versions.Begin{Pool: supposed.Pool, Version: supposed.Version}
		proof := supposed.Prove(asOf, s.g.fleet.allStarts(), func(wall clock.Millis) clock.Millis { return wall - offset })
		if found = proof == versions.Proved; proof == versions.Untraced {
			s.g.fleet.askTrace()
		}
	}
	return b, found && b.Version != unknownVersion
}

// only returns the version of the stream that j takes up if all streams of the pool have the
// same. It waits for the records of the store, and for a list of servers that was read after j
// arrived: the version of any stream was listed before the stream began.
func (s *streams) only(ctx context.Context, j *job) (name string, ok bool) {
	for until := s.g.clock.Now() + listWait; ; {
		s.mu.Lock()
		loaded := s.history.Loaded()
		_, ok = s.history.Only(s.g.clock.Wall(), j.pool.name)
		s.mu.Unlock()
		if loaded && (!ok || s.g.fleet.startsAsOf() > j.arrivedMs) {
			break
		}
		if s.g.clock.Now() >= until || s.g.clock.Sleep(ctx, listPoll) != nil {
			return "", false
		}
	}
	s.observe()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Only(s.g.clock.Wall(), j.pool.name)
}

// lookUp looks for a stream in the records of the store, and returns where it began and how that is proved. A stream that
// no record holds began at the base version of its pool if all that began at other versions are recorded.
func (s *streams) lookUp(ctx context.Context, j *job, id versions.ID) (begin versions.Begin, proof string, found bool) {
	for try := range lookupTries {
		if try > 0 && s.g.clock.Sleep(ctx, s.interval()) != nil {
			return versions.Begin{}, "", false
		}
		if err := s.refresh(ctx); err != nil {
			s.g.log.WithField("event", "streamsUnread").Warn(err)
			return versions.Begin{}, "", false
		}
		if begin, found = s.lookIn(id); found {
			return begin, "record", true
		}
		if base, ok := s.base(j, id, try == lookupTries-1); ok {
			return versions.Begin{Pool: j.pool.name, Version: base}, "base", true
		}
	}
	return versions.Begin{}, "", false
}

// refresh reads the records that were added since the last read. Of several calls at a time
// one reads for all that came before it began.
func (s *streams) refresh(ctx context.Context) error {
	came := s.g.clock.Now()
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.readMs > came {
		return nil
	}
	began := s.g.clock.Now()
	snap, _, err := s.reader.read(ctx, 0)
	if err != nil {
		return err
	}
	s.readMs = began
	for _, r := range snap.Records {
		if len(r.Value) == 0 {
			s.recorderGone(r.Key)
			continue
		}
		var b versions.Batch
		if err := json.Unmarshal(r.Value, &b); err != nil {
			s.g.log.WithFields(logrus.Fields{"event": "streamsInvalid", "key": r.Key}).Warn(err)
			continue
		}
		now := s.g.clock.Wall()
		s.mu.Lock()
		if now-b.AtMs > recordLifetime {
			s.outdated = append(s.outdated, r.Key)
		} else {
			s.index.Add(now, b)
			s.recorders.Learn(min(b.AtMs, now), recorderOf(r.Key, b))
		}
		s.mu.Unlock()
	}
	return nil
}

// begin binds a stream to the version of the server that sent its first event.
func (s *streams) begin(j *job, a *send) {
	if !j.route.Resumable {
		return
	}
	now := s.g.clock.Wall()
	v := &j.stream
	isNew := !v.bound
	if isNew {
		*v = streamVersion{bound: true, version: a.version, id: versions.IDOf(j.streamOrigin())}
	}
	v.Contact = versions.Contact{Server: a.engine.ID, Start: a.engine.Start, OpenedMs: a.ans.OpenedMs, BeganMs: now}
	o := &openStream{Begin: versions.Begin{Pool: j.pool.name, Version: v.version}, Contact: v.Contact}
	asOf, starts := s.g.fleet.startsAsOf(), s.g.fleet.allStarts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.open[v.id]; old != nil && old.brokenMs != 0 {
		s.broken--
	}
	s.open[v.id] = o
	if s.recordedLocked(now, o.Pool) {
		s.unrecorded = true
		if s.waitingMs == 0 {
			s.waitingMs = s.g.clock.Now()
		}
	}
	if isNew && s.history.Unnamed(o.Pool, o.Version) {
		s.unnamedMs = now
	}
	s.proveLocked(now, v.id, o, asOf, starts)
}

// proveLocked makes the version of an open stream known, once a list of servers as of a time
// shows which start of its server began it. A stream that two starts may have begun has no version. s.mu is held.
func (s *streams) proveLocked(now clock.Millis, id versions.ID, o *openStream, asOf clock.Millis, starts servers.Starts) {
	switch proof := o.Prove(asOf, starts); {
	case proof == versions.Untraced:
		if !o.proved {
			s.g.fleet.askTrace()
		}
		return
	case o.Version == unknownVersion, proof == versions.Unproved:
		return
	case proof == versions.Restarted:
		o.Version = unknownVersion
	case o.proved:
		return
	}
	o.proved = true
	s.index.Add(now, versions.Batch{AtMs: now, Streams: map[versions.ID]versions.Begin{id: o.Begin}})
	s.unrecorded = s.unrecorded || s.recordedLocked(now, o.Pool)
}

// end records that the stream of j no longer runs here. Its caller may take it up again unless
// it was whole.
func (s *streams) end(j *job) {
	if !j.stream.bound {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.open[j.stream.id]
	switch {
	case o == nil || o.brokenMs != 0:
	case j.stream.whole || s.broken >= maxBroken:
		delete(s.open, j.stream.id)
	default:
		o.brokenMs = s.g.clock.Wall()
		s.broken++
	}
}

// recordedLocked reports whether the streams of a pool are recorded: they may have several
// versions. s.mu is held.
func (s *streams) recordedLocked(now clock.Millis, pool string) bool {
	return !s.history.Loaded() || len(s.history.Possible(now, pool)) > 1
}

// observe applies the versions that are listed now. All open streams of a pool are recorded
// when a second version comes. It does nothing before the records of the store and the list
// are known.
func (s *streams) observe() {
	if !s.isLoaded() || !s.g.fleet.listed.Load() {
		return
	}
	now, asOf := s.g.clock.Wall(), s.g.fleet.startsAsOf()
	listed, starts := s.g.fleet.listedVersions(), s.g.fleet.allStarts()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.history.Observe(now, listed)
	for pv, start := range starts.Switched() {
		if s.switched[pv] != start && s.history.Switched(now, clock.Millis(start), pv.Pool, pv.Version) {
			s.switched[pv], changed = start, true
		}
	}
	if changed {
		s.change++
		s.unrecorded = true
	}
	if s.namesDueLocked(now) {
		s.unrecorded = true
		select {
		case s.due <- struct{}{}:
		default:
		}
	}
	for id, o := range s.open {
		s.proveLocked(now, id, o, asOf, starts)
		if o.brokenMs != 0 && now-o.brokenMs > versions.StreamLifetime {
			delete(s.open, id)
			s.broken--
		}
	}
	s.index.Sweep(now)
	s.recorders.Sweep(now, recordLifetime, s.g.peers.runs)
}

// exclusions returns the servers to which j must not be sent because of their version: if
// its stream is bound, those of other versions, else those of versions at which no stream
// may begin yet.
func (s *streams) exclusions(j *job) []string {
	if j.stream.bound {
		return j.pool.idsOf(func(v string) bool { return v != j.stream.version })
	}
	if !j.route.Resumable {
		return nil
	}
	now := s.g.clock.Wall()
	var early, overdue []string
	listed := j.pool.versionList()
	s.mu.Lock()
	for _, v := range listed {
		switch {
		case s.history.Established(now, j.pool.name, v):
		case s.history.Overdue(now, j.pool.name, v):
			overdue = append(overdue, v)
		default:
			early = append(early, v)
		}
	}
	s.mu.Unlock()
	if len(early)+len(overdue) < len(listed) {
		// Overdue versions are used only where there is no other.
		early = append(early, overdue...)
	}
	if len(early) == 0 {
		return nil
	}
	return j.pool.idsOf(func(v string) bool { return slices.Contains(early, v) })
}

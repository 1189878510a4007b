// Package place chooses the backend server for a request, in an entry that
// reaches servers directly.
//
// It answers three loads. Long prompts beside short ones: a server's batch
// shares its steps, so a long prompt stalls every stream beside it; requests of
// routes with tight pauses gather on the first servers of an order that all
// entries share, on as many as they need, and others on the rest. Prompts with
// shared parts: a part that a server has read is not read again there, and can
// be copied from there; each part has a home, the same in all entries, until a
// holder is known. Servers that fail, hang or turn slow: what a server did to
// real requests raises its cost, and it is tried again after a pause.
//
// Costs are in milliseconds until the request's first event. The host of an
// engine's order tells its load; without it the own requests stand for it. The
// package is a pure state machine: time and randomness are arguments. A Book is
// not safe for concurrent use.
package place

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// tightPerServer is the number of tight requests that a server of their lane
	// is meant to run: under half of the usual batch, so that bursts fit.
	tightPerServer = 20
	// leastLane is the part of the servers, one in so many, that take tight
	// requests at the least: a burst comes before its load is told.
	leastLane = 8
	// sampleAll is the number of servers up to which all are looked at, and
	// sampled that of random ones beyond it.
	sampleAll = 12
	sampled   = 4
	// crossing is the cost, in ms, from which a request looks beyond its lane.
	crossing = 900.0
	// tightRunningMs and runningMs are the costs of one running request to a
	// tight request and to others: it slows each step.
	tightRunningMs = 1.0
	runningMs      = 3.0
	// longMs is the time of reading, in ms, from which a prompt stalls streams for
	// longer than tight ones bear: three chunks within one event.
	longMs = 133.0
	// stallMs is the cost, in ms, of a stalled tight stream, and mixMs that of a
	// short prompt beside one.
	stallMs = 1000.0
	mixMs   = 2.0
	// queuedMs is the cost to a tight request of long prompts that wait there.
	queuedMs = 300.0
	// rereadCost weighs the time of a shared part that is read again: it is
	// lost for all requests of the server.
	rereadCost = 1.5
	// fetchCost weighs a shared part that is copied from another server: links
	// carry it in a small part of the time of reading.
	fetchCost = 0.1
	// failingHome is the rate of failures from which a part's home is not used.
	failingHome = 0.3
	// cachePart is the part of a server's memory that is taken to hold shared parts.
	cachePart = 0.5
	// assumedSpeed and assumedRate are the prompt tokens that a server is taken
	// to read in a ms, while it reads and over time, until it was told.
	assumedSpeed = 45.0
	assumedRate  = 28.0
	// idleMs is the time to the next start at a server that counts as idle, and
	// moveMs the cost up to which a waiting request moves to one.
	idleMs = 20 * clock.Millisecond
	moveMs = 700.0
	// toldAgeMs is how long a host's word counts: it tells changes only.
	toldAgeMs = 10 * clock.Second
	// loadAgeMs is how long a told load counts.
	loadAgeMs = 1500 * clock.Millisecond
	// failWeight and okWeight move the rate of failures.
	failWeight = 0.3
	okWeight   = 0.08
	// failHalf is the time after which the rate counts half: a server that gets
	// no requests must be tried again.
	failHalf = 1500 * clock.Millisecond
	// forgotten is the rate that no longer counts.
	forgotten = 0.03
	// failCost is the factor on the cost of a server that fails always.
	failCost = 40
	// firstPause and lastPause bound the time for which a server that could not
	// be reached is left alone.
	firstPause = 400 * clock.Millisecond
	lastPause  = 4 * clock.Second
	// slowWeight moves the estimate of a server's time per request.
	slowWeight = 0.15
	// zoneCost is the cost of another availability zone, in milliseconds.
	zoneCost = 1.5
	// engineZoneMs and engineZoneTokenMs are the same for model engines, for a
	// request and each token of its prompt: bytes between zones have their price.
	engineZoneMs      = 15.0
	engineZoneTokenMs = 0.008
	// startServiceMs is the assumed time of a plain request at an unknown server.
	startServiceMs = 30
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Engine bool
	// Tight requests are of routes whose streams bear short pauses only.
	Tight bool
	// Urgent requests are ahead of the least urgent ones of the pool.
	Urgent bool
	Prompt int // tokens
	// Parts of the prompt in order; the last is the request's own.
	Parts []Part
}

// Server is a server that may take requests.
type Server struct {
	ID    string
	Start int64
	Zone  string
	Slots int
	// CacheTokens is the memory for prompts.
	CacheTokens int
}

// Outcomes of sends.
const (
	// OutcomeOK is a whole answer.
	OutcomeOK Outcome = iota
	// OutcomeFull is a refusal for lack of room.
	OutcomeFull
	// OutcomeFailed is an answer that reports or shows a failure.
	OutcomeFailed
	// OutcomeUnreached is a server that could not be reached or fell silent.
	OutcomeUnreached
	// OutcomeLeft is a send that the caller gave up.
	OutcomeLeft
)

type state struct {
	Server
	rank     uint32
	inFlight int
	// unread are the prompt tokens sent whose first event has not arrived.
	unread int
	// since are the unread tokens of own requests after the last told load, and
	// tight the own tight requests.
	since   int
	tight   int
	toldMs  clock.Millis
	told    batch.Load
	cache   *cache
	fails   float64
	failsMs clock.Millis
	pause   clock.Millis
	untilMs clock.Millis
	// closedMs is until when the server wants no request.
	closedMs clock.Millis
	timeMs   float64 // per plain request
	loadMs   clock.Millis
	running  int
	waiting  int
	atLoad   int // own requests in flight when the load was told
}

// Book keeps what an entry knows of the servers of one pool.
type Book struct {
	zone string
	all  map[string]*state
	// ranked are the servers in an order that all entries share.
	ranked []*state
}

// NewBook returns a Book without servers, for an entry of the zone.
func NewBook(zone string) *Book {
	return &Book{zone: zone, all: map[string]*state{}}
}

// Close keeps requests from a server until a time by its own word. A server that
// starts anew is open.
func (b *Book) Close(id string, until clock.Millis) {
	if s := b.all[id]; s != nil {
		s.closedMs = max(s.closedMs, until)
	}
}

// Closed reports whether a server wants no request now.
func (b *Book) Closed(now clock.Millis, id string) bool {
	s := b.all[id]
	return s != nil && now < s.closedMs
}

// Opens returns when the first server takes requests again; ok is false while one
// takes them now, or there is none.
func (b *Book) Opens(now clock.Millis) (at clock.Millis, ok bool) {
	for _, s := range b.ranked {
		if now >= s.closedMs {
			return 0, false
		}
		if !ok || s.closedMs < at {
			at, ok = s.closedMs, true
		}
	}
	return at, ok
}

// SetServers sets the servers that may take requests. A server that starts
// anew holds nothing.
func (b *Book) SetServers(list []Server) {
	next := make(map[string]*state, len(list))
	b.ranked = b.ranked[:0]
	for _, s := range list {
		st, ok := b.all[s.ID]
		if !ok || st.Start != s.Start {
			st = &state{rank: hash("", s.ID), timeMs: startServiceMs, cache: newCache(int(float64(s.CacheTokens) * cachePart))}
		}
		st.Server = s
		next[s.ID] = st
		b.ranked = append(b.ranked, st)
	}
	b.all = next
	slices.SortFunc(b.ranked, func(x, y *state) int { return cmp.Compare(x.rank, y.rank) })
}

func hash(a, b string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	// The last bytes hardly reach the high bits without a final mix.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}

// Choice is a chosen server.
type Choice struct {
	ID string
	// Unread are the prompt tokens that the server is expected to read.
	Unread int
	// FetchFrom is the server from whose memory shared parts are to be copied;
	// empty for none.
	FetchFrom string
	// Cost is the estimate that decided, in milliseconds.
	Cost float64
	// LoadAgeMs is the age of the server's load, as its host told it; -1 if
	// nothing was told.
	LoadAgeMs clock.Millis
}

// Choose returns the server with the least cost of those that are looked at; ok
// is false when there is none but the excluded ones. Of many servers a few
// random ones are looked at, since all entries see the same load, some time
// after it was so, and would all choose the same server.
func (b *Book) Choose(now clock.Millis, r Request, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	if !r.Engine {
		return b.least(now, r, b.ranked, exclude, rnd)
	}
	first := b.lane(now)
	lane := b.ranked[first:]
	if r.Tight || len(lane) == 0 {
		lane = b.ranked[:first]
	}
	c, ok = b.least(now, r, b.sample(lane, r, rnd), exclude, rnd)
	if !ok || c.Cost > crossing {
		if other, found := b.least(now, r, b.ranked, exclude, rnd); found && (!ok || other.Cost < c.Cost) {
			return other, true
		}
	}
	return c, ok
}

// lane returns how many servers, from the start of the order, tight requests
// are gathered on: as many as their number needs.
func (b *Book) lane(now clock.Millis) int {
	tight := 0
	for _, s := range b.ranked {
		tight += s.load(now).Tight
	}
	n := len(b.ranked)
	return min(max(tight/tightPerServer+1, (n+leastLane-1)/leastLane), n-n/2)
}

// sample returns the servers to look at: all of a few, else random ones, the
// home of the shared parts and one that holds them.
func (b *Book) sample(lane []*state, r Request, rnd *rand.Rand) []*state {
	if len(lane) <= sampleAll {
		return lane
	}
	out := make([]*state, 0, sampled+2)
	for range sampled {
		out = append(out, lane[rnd.IntN(len(lane))])
	}
	if home := b.home(r); home != nil {
		out = append(out, home)
	}
	if all := shared(r.Parts); all > 0 {
		at := rnd.IntN(len(lane))
		for i := range lane {
			if s := lane[(at+i)%len(lane)]; s.cache.kept(r.Parts) >= all {
				return append(out, s)
			}
		}
	}
	return out
}

// least returns the server of list with the least cost.
func (b *Book) least(now clock.Millis, r Request, list []*state, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	best := math.Inf(1)
	home := b.home(r)
	if home != nil && (now < max(home.untilMs, home.closedMs) || home.failing(now) > failingHome) {
		home = nil
	}
	holder := b.holder(now, r)
	for _, s := range list {
		if now < s.closedMs || slices.Contains(exclude, s.ID) {
			continue
		}
		var cost float64
		unread, fetch := 0, ""
		if r.Engine {
			cost, unread, fetch = b.engineCost(now, s, r, home, holder)
		} else {
			cost = b.plainCost(now, s)
		}
		cost *= 1 + s.failing(now)*failCost
		if now < s.untilMs {
			cost = cost*10 + 1e6
		}
		// Servers that look alike get equal shares.
		cost *= 1 + rnd.Float64()*0.02
		if cost < best {
			best, ok = cost, true
			c = Choice{ID: s.ID, Unread: unread, FetchFrom: fetch, Cost: cost, LoadAgeMs: s.toldAge(now)}
		}
	}
	return c, ok
}

// Idle reports whether another server than that of c, where r waits, could
// start it now at no greater cost than waiting a little longer.
func (b *Book) Idle(now clock.Millis, r Request, c Choice, exclude []string) bool {
	for _, s := range b.ranked {
		if s.ID == c.ID || now < s.untilMs || now < s.closedMs || s.failing(now) > failingHome || slices.Contains(exclude, s.ID) {
			continue
		}
		l := s.load(now)
		if l.Waiting > 0 || l.FreeMs > idleMs {
			continue
		}
		if cost, _, _ := b.engineCost(now, s, r, b.home(r), b.holder(now, r)); cost < moveMs {
			return true
		}
	}
	return false
}

// home returns the server that is to read the last shared part of the prompt
// while no holder is known. Homes of tight requests' parts lie in the first
// third of the order.
func (b *Book) home(r Request) *state {
	if len(r.Parts) < 2 || len(b.ranked) == 0 {
		return nil
	}
	part := r.Parts[len(r.Parts)-2].ID
	third := (len(b.ranked) + 2) / 3
	among := b.ranked[min(third, len(b.ranked)-1):]
	if r.Tight {
		among = b.ranked[:third]
	}
	var best *state
	var top uint32
	for _, s := range among {
		if w := hash(part, s.ID); best == nil || w > top {
			best, top = s, w
		}
	}
	return best
}

// holder returns the server that used the last shared part of the prompt last,
// of those known to hold all of them; nil if there is none. Engines drop the
// parts that were not used for longest.
func (b *Book) holder(now clock.Millis, r Request) *state {
	all := shared(r.Parts)
	if all == 0 {
		return nil
	}
	var best *state
	var latest clock.Millis
	part := r.Parts[len(r.Parts)-2].ID
	for _, s := range b.ranked {
		at, ok := s.cache.usedMs(part)
		if ok && now >= max(s.untilMs, s.closedMs) && s.failing(now) < failingHome && (best == nil || at > latest) {
			best, latest = s, at
		}
	}
	return best
}

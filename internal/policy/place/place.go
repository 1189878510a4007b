// Package place chooses the backend server for a request, in an entry that
// reaches servers directly.
//
// It answers three loads. Long prompts beside short ones: a server's batch
// shares its steps, so a long prompt stalls every stream beside it; requests
// of routes with tight pauses get a lane of servers of their own, which others
// enter only when their own lane is far behind. Prompts with shared parts: a
// part that a server has read is not read again, so each part has a home, the
// same in all entries, that is left once waiting there costs more than reading
// the part elsewhere. Servers that fail, hang or turn slow: what a server did
// to real requests raises its cost, and it is tried again after a pause.
//
// Costs are in prompt tokens to be read before the request's first event. The
// package is a pure state machine: time and randomness are arguments. A Book
// is not safe for concurrent use.
package place

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// laneShare is the part of an engine pool's servers that is kept for routes
	// with tight pauses.
	laneShare = 1.0 / 3
	// laneCrossing is the cost, in tokens, of leaving the own lane: about half a
	// second of reading at 50 tokens a millisecond.
	laneCrossing = 25000
	// runningCost is the cost of one running request: it slows each step.
	runningCost = 150
	// waitingCost is the cost of a request that waits at the server for others.
	waitingCost = 2500
	// rereadCost weighs a shared part that is read again against waiting: the
	// time is lost for all requests of the server.
	rereadCost = 1.5
	// fetchCost weighs a shared part that is copied from another server: links
	// carry it in a small part of the time of reading.
	fetchCost = 0.1
	// failingHome is the rate of failures from which a part's home is not used.
	failingHome = 0.3
	// cachePart is the part of a server's memory that is taken to hold shared parts.
	cachePart = 0.5
	// loadAgeMs is how long a told load counts.
	loadAgeMs = 1500 * clock.Millisecond
	// failWeight and okWeight move the rate of failures.
	failWeight = 0.3
	okWeight   = 0.08
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
	// engineZoneCost is the same in tokens.
	engineZoneCost = 300
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
	Tight  bool
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

// Outcome is how a send ended.
type Outcome int

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
	unread  int
	cache   *cache
	fails   float64
	pause   clock.Millis
	untilMs clock.Millis
	timeMs  float64 // per plain request
	slow    float64 // first events: time against the estimate
	loadMs  clock.Millis
	running int
	waiting int
	atLoad  int // own requests in flight when the load was told
}

// Book keeps what an entry knows of the servers of one pool.
type Book struct {
	zone string
	all  map[string]*state
	// ranked are the servers in an order that all entries share.
	ranked []*state
	lane   int // the first of ranked are the lane for tight requests
}

// NewBook returns a Book without servers, for an entry of the zone.
func NewBook(zone string) *Book {
	return &Book{zone: zone, all: map[string]*state{}}
}

// Len returns the number of servers.
func (b *Book) Len() int { return len(b.ranked) }

// SetServers sets the servers that may take requests; lanes tells whether some
// of them are kept for tight requests. A server that starts anew holds nothing.
func (b *Book) SetServers(list []Server, lanes bool) {
	next := make(map[string]*state, len(list))
	b.ranked = b.ranked[:0]
	for _, s := range list {
		st, ok := b.all[s.ID]
		if !ok || st.Start != s.Start {
			st = &state{rank: hash("", s.ID), timeMs: startServiceMs, slow: 1, cache: newCache(int(float64(s.CacheTokens) * cachePart))}
		}
		st.Server = s
		next[s.ID] = st
		b.ranked = append(b.ranked, st)
	}
	b.all = next
	slices.SortFunc(b.ranked, func(x, y *state) int {
		if x.rank != y.rank {
			if x.rank < y.rank {
				return -1
			}
			return 1
		}
		return 0
	})
	b.lane = 0
	if n := len(b.ranked); lanes && n > 1 {
		b.lane = max(1, int(math.Round(float64(n)*laneShare)))
	}
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
	// Cost is the estimate that decided, in tokens or milliseconds.
	Cost float64
}

// Choose returns the server with the least cost; ok is false when there is
// none but the excluded ones.
func (b *Book) Choose(now clock.Millis, r Request, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	best := math.Inf(1)
	home := b.home(r)
	if home != nil && (now < home.untilMs || home.fails > failingHome) {
		home = nil
	}
	holder := b.holder(now, r)
	for i, s := range b.ranked {
		if slices.Contains(exclude, s.ID) {
			continue
		}
		var cost float64
		unread, fetch := 0, ""
		if r.Engine {
			cost, unread, fetch = b.engineCost(now, s, r, home, holder, i < b.lane)
		} else {
			cost = b.plainCost(now, s)
		}
		cost *= 1 + s.fails*failCost
		if now < s.untilMs {
			cost = cost*10 + 1e6
		}
		// Servers that look alike get equal shares.
		cost *= 1 + rnd.Float64()*0.02
		if cost < best {
			best, ok = cost, true
			c = Choice{ID: s.ID, Unread: unread, FetchFrom: fetch, Cost: cost}
		}
	}
	return c, ok
}

// home returns the server that holds the last shared part of the prompt.
func (b *Book) home(r Request) *state {
	if len(r.Parts) < 2 || len(b.ranked) == 0 {
		return nil
	}
	part := r.Parts[len(r.Parts)-2].ID
	lane := b.ranked[b.lane:]
	if r.Tight && b.lane > 0 {
		lane = b.ranked[:b.lane]
	}
	var best *state
	var top uint32
	for _, s := range lane {
		if w := hash(part, s.ID); best == nil || w > top {
			best, top = s, w
		}
	}
	return best
}

// holder returns a server that this entry knows to hold all shared parts of the
// prompt, the least busy one; nil if there is none.
func (b *Book) holder(now clock.Millis, r Request) *state {
	all := shared(r.Parts)
	if all == 0 {
		return nil
	}
	var best *state
	for _, s := range b.ranked {
		if s.cache.kept(r.Parts) >= all && now >= s.untilMs && s.fails < failingHome && (best == nil || s.unread < best.unread) {
			best = s
		}
	}
	return best
}

func (b *Book) engineCost(now clock.Millis, s *state, r Request, home, holder *state, inLane bool) (cost float64, unread int, fetch string) {
	kept, all := s.cache.kept(r.Parts), shared(r.Parts)
	again := 0.0
	switch {
	case kept >= all:
	case s == home:
		// Another entry's request has read the shared parts, or will soon.
		kept = all
	case holder != nil:
		again = float64(all-kept) * fetchCost
		kept, fetch = all, holder.ID
	case home != nil:
		// The home may hold the parts, or not yet.
		again, fetch = float64(all-kept)*rereadCost, home.ID
	default:
		again = float64(all-kept) * rereadCost
	}
	unread = max(r.Prompt-kept, 0)
	running, waiting := s.inFlight, 0
	if now-s.loadMs < loadAgeMs {
		running = max(s.running+s.inFlight-s.atLoad, s.inFlight)
		waiting = s.waiting
	}
	cost = float64(s.unread) + float64(unread) + again + float64(running)*runningCost + float64(waiting)*waitingCost
	if r.Tight != inLane && b.lane > 0 {
		cost += laneCrossing
	}
	if s.Zone != b.zone {
		cost += engineZoneCost
	}
	return cost * s.slow, unread, fetch
}

// shared returns the tokens of all parts but the request's own.
func shared(parts []Part) int {
	n := 0
	for i := 0; i+1 < len(parts); i++ {
		n += parts[i].Tokens
	}
	return n
}

func (b *Book) plainCost(now clock.Millis, s *state) float64 {
	load := s.inFlight
	if now-s.loadMs < loadAgeMs {
		load = max(load, s.running+s.waiting+s.inFlight-s.atLoad)
	}
	queued := float64(max(load+1-max(s.Slots, 1), 0)) / float64(max(s.Slots, 1))
	// A server that is nearly full may be slower; the load orders the others.
	cost := s.timeMs * (1 + queued + 0.1*float64(load)/float64(max(s.Slots, 1)))
	if s.Zone != b.zone {
		cost += zoneCost
	}
	return cost
}

// Sent tells that a request was sent by choice c.
func (b *Book) Sent(c Choice) {
	if s := b.all[c.ID]; s != nil {
		s.inFlight++
		s.unread += c.Unread
	}
}

// Begun tells that the first event of a send arrived.
func (b *Book) Begun(c Choice, r Request) {
	s := b.all[c.ID]
	if s == nil {
		return
	}
	s.unread = max(s.unread-c.Unread, 0)
	s.cache.add(r.Parts)
}

// Ended tells how a send ended. begun tells that Begun was called for it.
func (b *Book) Ended(now clock.Millis, c Choice, r Request, o Outcome, begun bool, tookMs clock.Millis) {
	s := b.all[c.ID]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if !begun {
		s.unread = max(s.unread-c.Unread, 0)
	}
	switch o {
	case OutcomeOK:
		s.fails -= s.fails * okWeight
		s.pause, s.untilMs = 0, 0
		if !r.Engine {
			s.timeMs += (float64(tookMs) - s.timeMs) * slowWeight
		}
	case OutcomeFull:
		s.untilMs = max(s.untilMs, now+firstPause/2)
	case OutcomeFailed:
		s.fails += (1 - s.fails) * failWeight
	case OutcomeUnreached:
		s.fails += (1 - s.fails) * failWeight
		s.pause = min(max(2*s.pause, firstPause), lastPause)
		s.untilMs = now + s.pause
	}
}

// Load tells the load that a server reported.
func (b *Book) Load(now clock.Millis, id string, running, waiting int) {
	if s := b.all[id]; s != nil {
		s.loadMs, s.running, s.waiting, s.atLoad = now, running, waiting, s.inFlight
	}
}

// Failing returns the rate of failures of a server, from 0 to 1.
func (b *Book) Failing(id string) float64 {
	if s := b.all[id]; s != nil {
		return s.fails
	}
	return 0
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "full", "failed", "unreached", "left"}[o]
}

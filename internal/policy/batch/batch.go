// Package batch decides when requests of all entries start at one model engine
// that runs them in a batch.
//
// It answers the load of long prompts in a burst. An engine reads prompts in
// chunks between the tokens of the running requests: while it reads without a
// pause, each token takes as long as a chunk, and streams that could have ended
// in time do not. So prompts start one after the other, and a request that cannot
// end in time is refused at once, before it costs anything, and told when to come
// back. While tight requests run, whose streams bear short pauses only, the
// engine reads for a small part of the time (the duty).
//
// The most urgent requests go first; among them those that can still meet
// their target, by target, and accounts that had more than their share last.
// The package is a pure state machine with a single owner: time is an argument.
package batch

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// defaultSpeed is the prompt tokens read in a millisecond until it was observed.
	defaultSpeed = 45.0
	leastSpeed   = 2.0
	mostSpeed    = 500.0
	speedWeight  = 0.2
	// observedMs is the least time of reading that tells the speed: the head of an
	// answer is delayed by some steps beside it.
	observedMs = 65 * clock.Millisecond
	// defaultDuty is the part of the time in which the engine reads prompts. In
	// the model of TestBurstOfLongPrompts nine tenths end as many streams in
	// time as any other value.
	defaultDuty = 0.9
	// tightDuty is the same while tight requests run: their streams bear about
	// three chunks within one event.
	tightDuty = 0.3
	// tightPendingMs is the time of reading that may be at hand beside them: an
	// engine with more has no step without a chunk for as long as tight streams
	// bear a pause of a few tenths of a second.
	tightPendingMs = 133 * clock.Millisecond
	// rowPart is the part of the pause that tight streams bear in which prompts may
	// be read in a row: an event then has a step without one. stepMs is the time
	// of a step, after which the next row may begin.
	rowPart = 0.85
	stepMs  = 20 * clock.Millisecond
	// fewTight is the number of tight streams that a prompt may stall which takes
	// longer by itself: it is worth about as much as they are.
	fewTight = 1
	// creditMs of reading may be saved up while nothing is read, so that a few
	// prompts at once do not wait for the duty.
	creditMs = 400 * clock.Millisecond
	// smallMs is the time of reading of prompts that start at once: a step or two.
	smallMs = 29 * clock.Millisecond
	// urgentMs is the same for urgent ones: they are read ahead of less urgent
	// prompts, which the engine itself sees to.
	urgentMs = 178 * clock.Millisecond
	// pendingMs bounds the time of reading of the prompts that were started and are
	// not read yet: one is at hand when another has been read.
	pendingMs = 267 * clock.Millisecond
	// tightSlots of the engine are kept for tight and small requests.
	tightSlots = 8
	// memoryPart of the engine's memory is for the requests' own tokens; the
	// rest holds shared parts. Small requests may use smallMemoryPart.
	memoryPart      = 0.75
	smallMemoryPart = 0.92
	// fairHalf is the time after which what an account was granted counts half.
	fairHalf = 5 * clock.Second
	// overShare is how many times the mean an account may have been granted
	// before the others go first; of two, that is three times the other's.
	overShare = 1.5
	// leastRetry and mostRetry bound the time after which to come back.
	leastRetry = 200 * clock.Millisecond
	mostRetry  = 5 * clock.Second
	// smallPatience is how long a request waits at the least that nothing but a
	// full engine holds up, and smallPart the part of its time that it waits at
	// the most: another engine may have room.
	smallPatience = 300 * clock.Millisecond
	smallPart     = 4
	// unreachedMs is how long an engine that could not be reached counts as far
	// behind, and starts nothing.
	unreachedMs = 700 * clock.Millisecond
	// unreachedSettle is the time in which requests may still begin that an engine
	// answered before it went away.
	unreachedSettle = 60 * clock.Millisecond
	// doubtMs is how long an entry is not believed that was contradicted: the way
	// from it to the engine is cut, not the engine.
	doubtMs = 10 * clock.Second
	// fullMs bounds the time for which an engine that turned a request away starts
	// no further prompt: how full it is shows with its next answers.
	fullMs = 500 * clock.Millisecond
	// farBehind is the load that is told meanwhile.
	farBehind = 5 * clock.Second
	// checkEvery is the time between two checks whether waiting requests can
	// still end in time.
	checkEvery = 50 * clock.Millisecond
	// tickEvery is the time between two looks at the queue.
	tickEvery = 10 * clock.Millisecond
)

// Config describes the engine.
type Config struct {
	// Slots is the number of requests that it runs at a time.
	Slots int
	// MemoryTokens is its memory for prompts and answers.
	MemoryTokens int
	// Duty is the part of the time for reading prompts; 0 is the default.
	Duty float64
}

// Request asks to start. Times are on the scheduler's clock.
type Request struct {
	ID      string
	Entry   string
	Account string
	// Priority is 0 for the most urgent.
	Priority int
	// Tight requests are of routes whose streams bear short pauses only, of
	// PauseMs at the most.
	Tight   bool
	PauseMs clock.Millis
	// Insists tells that no other engine is left to ask: the request is not sent
	// elsewhere for the sake of tight streams.
	Insists bool
	// Unread are the prompt tokens to be read.
	Unread int
	// Tokens is the memory that the request needs for itself.
	Tokens int
	// TargetMs is until when the first event counts in full.
	TargetMs clock.Millis
	// DeadlineMs is until when the answer must have ended.
	DeadlineMs clock.Millis
	// NeedMs is how long the answer lasts from its first event.
	NeedMs clock.Millis
}

// Action tells an entry about one of its requests.
type Action struct {
	Entry string
	ID    string
	// Granted requests are to be sent; the others will not be run.
	Granted bool
	// RetryAfterMs is when a refused request may come back.
	RetryAfterMs clock.Millis
}

// Load is what entries need to know. Its names are short, since it is sent often.
type Load struct {
	// FreeMs is the time until a prompt that came now would be started.
	FreeMs clock.Millis `json:"f,omitempty"`
	// ReadMs is the time that the started prompts still take.
	ReadMs  clock.Millis `json:"r,omitempty"`
	Running int          `json:"n,omitempty"`
	Tight   int          `json:"t,omitempty"`
	Waiting int          `json:"w,omitempty"`
	// Speed is the prompt tokens read in a millisecond while reading, and Rate
	// that over time.
	Speed float64 `json:"s,omitempty"`
	Rate  float64 `json:"v,omitempty"`
}

type run struct {
	Request
	grantedMs clock.Millis
	begun     bool
	// alone tells that nothing else was pending when it was granted.
	alone bool
}

type waiting struct {
	Request
	seq     int
	askedMs clock.Millis
}

// Scheduler is the state machine.
type Scheduler struct {
	cfg     Config
	speed   float64
	running map[string]*run
	queue   []*waiting
	seq     int
	// freeMs is when the duty allows the next prompt.
	freeMs  clock.Millis
	pending int // tokens of granted prompts that are not read yet
	memory  int
	tight   int
	// pauseMs is the pause that the tight streams bear. Prompts are read in a row
	// since rowMs, or were until idleMs.
	pauseMs, rowMs, idleMs clock.Millis
	// lowest is the least urgent priority that asked so far.
	lowest  int
	spent   map[string]float64
	spentMs clock.Millis
	// downMs is until when the engine counts as out of reach, since downAtMs by
	// the word of downBy.
	downMs, downAtMs clock.Millis
	downBy           string
	// doubted are the entries whose word was contradicted, and when.
	doubted map[string]clock.Millis
	// checkedMs is when the waiting requests were last checked.
	checkedMs clock.Millis
	out       []Action
}

// New returns an idle Scheduler.
func New(cfg Config) *Scheduler {
	if cfg.Duty <= 0 {
		cfg.Duty = defaultDuty
	}
	return &Scheduler{cfg: cfg, speed: defaultSpeed, running: map[string]*run{}, spent: map[string]float64{}, doubted: map[string]clock.Millis{}}
}

// rate returns the prompt tokens read in a ms over time.
func (s *Scheduler) rate() float64 {
	if s.tight > 0 {
		return s.speed * min(tightDuty, s.cfg.Duty)
	}
	return s.speed * s.cfg.Duty
}

func (s *Scheduler) readMs(tokens int) clock.Millis {
	return clock.Millis(float64(tokens) / s.speed)
}

// Ask asks for r to start.
func (s *Scheduler) Ask(now clock.Millis, r Request) {
	s.seq++
	w := &waiting{r, s.seq, now}
	s.lowest = max(s.lowest, r.Priority)
	if !s.feasible(now, w) {
		s.refuse(now, w)
		return
	}
	s.queue = append(s.queue, w)
	s.dispatch(now)
}

// Adopt notes a request that runs already, as after a restart of the scheduler.
func (s *Scheduler) Adopt(now clock.Millis, r Request, begun bool) {
	if _, ok := s.running[r.ID]; ok {
		return
	}
	s.start(now, r)
	if begun {
		s.Begun(now, r.ID)
	}
}

// Cancel takes back a request that waits or was granted and not sent.
func (s *Scheduler) Cancel(now clock.Millis, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.ID == id })
	s.Done(now, id)
}

// Begun tells that the first event of a request has arrived.
func (s *Scheduler) Begun(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok || r.begun {
		return
	}
	r.begun = true
	s.read(now, r.Unread)
	s.alive(now, r.Entry)
	if took := now - r.grantedMs; r.alone && s.readMs(r.Unread) >= observedMs && took > 0 {
		seen := min(max(float64(r.Unread)/float64(took), leastSpeed), mostSpeed)
		s.speed += (seen - s.speed) * speedWeight
	}
	s.dispatch(now)
}

// Done tells that a request has ended.
func (s *Scheduler) Done(now clock.Millis, id string) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if !r.begun {
		s.read(now, r.Unread)
	}
	s.memory -= r.Tokens
	if r.Tight {
		s.tight--
	}
	s.dispatch(now)
}

// read notes that so many tokens are no longer to be read.
func (s *Scheduler) read(now clock.Millis, tokens int) {
	if s.pending -= tokens; s.pending <= 0 {
		s.idleMs = now
	}
}

// Unreached tells that an entry could not reach the engine: those that wait are
// refused, so that they go elsewhere instead of finding out one by one. If the
// engine serves others meanwhile, that entry's only.
func (s *Scheduler) Unreached(now clock.Millis, entry string) {
	at, doubted := s.doubted[entry]
	doubted = doubted && now-at < doubtMs
	if !doubted {
		s.downMs, s.downAtMs, s.downBy = now+unreachedMs, now, entry
	}
	queue := s.queue
	s.queue = nil
	for _, w := range queue {
		if doubted && w.Entry != entry {
			s.queue = append(s.queue, w)
			continue
		}
		s.out = append(s.out, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: leastRetry})
	}
}

// Full tells that the engine turned a request away and asked its entry for a
// pause: it has less room than it is taken to have, whoever asks.
func (s *Scheduler) Full(now, pause clock.Millis) {
	s.freeMs = max(s.freeMs, now+min(pause, fullMs))
}

// alive notes that a request of an entry began: an engine that another entry
// could not reach serves.
func (s *Scheduler) alive(now clock.Millis, entry string) {
	if now < s.downMs && entry != s.downBy && now-s.downAtMs > unreachedSettle {
		s.downMs = now
		s.doubted[s.downBy] = now
	}
}

// DropEntry ends all requests of an entry that is gone, and returns them.
func (s *Scheduler) DropEntry(now clock.Millis, entry string) []string {
	var ids []string
	for _, w := range s.queue {
		if w.Entry == entry {
			ids = append(ids, w.ID)
		}
	}
	for id, r := range s.running {
		if r.Entry == entry {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		s.Cancel(now, id)
	}
	return ids
}

// Tick acts on the passing of time: requests that can no longer end in time are
// refused while another entry or a later try may still serve them.
func (s *Scheduler) Tick(now clock.Millis) {
	if now-s.checkedMs >= checkEvery {
		s.checkedMs = now
		for _, w := range slices.Clone(s.queue) {
			if !s.feasible(now, w) || s.misplaced(now, w) {
				s.queue = slices.DeleteFunc(s.queue, func(o *waiting) bool { return o == w })
				s.refuse(now, w)
			}
		}
	}
	s.dispatch(now)
}

// NextTick returns when Tick is needed next; ok is false while nothing waits.
func (s *Scheduler) NextTick(now clock.Millis) (at clock.Millis, ok bool) {
	return now + tickEvery, len(s.queue) > 0
}

// Idle reports whether nothing runs or waits.
func (s *Scheduler) Idle() bool { return len(s.queue) == 0 && len(s.running) == 0 }

// After returns the load as it is expected after d without new requests.
func (l Load) After(d clock.Millis) Load {
	l.FreeMs, l.ReadMs = max(l.FreeMs-d, 0), max(l.ReadMs-d, 0)
	return l
}

// nearPart is the part of a load within which two are alike: a longer queue
// changes a choice less with each request.
const nearPart = 4

// Near reports whether two loads lead to the same choices.
func (l Load) Near(o Load) bool {
	const ms, requests = 30, 1
	return near(l.FreeMs, o.FreeMs, ms) && near(l.ReadMs, o.ReadMs, ms) && near(l.Running, o.Running, requests) &&
		l.Tight == o.Tight && near(l.Waiting, o.Waiting, 0)
}

func near[T ~int | ~int64](a, b, least T) bool {
	return max(a-b, b-a) <= max(least, max(a, b)/nearPart)
}

// Actions returns what entries are to be told since the last call.
func (s *Scheduler) Actions() []Action {
	out := s.out
	s.out = nil
	return out
}

// Load returns the present load.
func (s *Scheduler) Load(now clock.Millis) Load {
	ahead := 0
	for _, w := range s.queue {
		ahead += w.Unread
	}
	down := clock.Millis(0)
	if now < s.downMs {
		down = farBehind
	}
	return Load{
		FreeMs:  down + max(s.freeMs-now, 0) + clock.Millis(float64(ahead)/s.rate()),
		ReadMs:  s.readMs(max(s.pending, 0)),
		Running: len(s.running), Tight: s.tight, Waiting: len(s.queue),
		Speed: math.Round(s.speed*10) / 10, Rate: math.Round(s.rate()*10) / 10,
	}
}

// feasible reports whether w would end in time behind what goes before it.
func (s *Scheduler) feasible(now clock.Millis, w *waiting) bool {
	ahead := 0
	for _, o := range s.queue {
		if s.less(now, o, w) {
			ahead += o.Unread
		}
	}
	wait := clock.Millis(float64(ahead) / s.rate())
	if !s.small(w) {
		wait += max(s.freeMs-now, 0)
	}
	return now+wait+s.readMs(w.Unread)+w.NeedMs <= w.DeadlineMs
}

func (s *Scheduler) refuse(now clock.Millis, w *waiting) {
	after := min(max(s.Load(now).FreeMs/2, leastRetry), mostRetry)
	s.out = append(s.out, Action{Entry: w.Entry, ID: w.ID, RetryAfterMs: after})
}

// AtOnce reports whether a prompt of so many unread tokens does not wait for its
// turn to be read by an engine that reads speed tokens in a ms. Urgent ones are
// ahead of the least urgent requests.
func AtOnce(unread int, urgent bool, speed float64) bool {
	ms := clock.Millis(float64(unread) / speed)
	return ms <= smallMs || urgent && ms <= urgentMs
}

// small reports whether w does not wait for its turn to be read.
func (s *Scheduler) small(w *waiting) bool {
	return w.Tight || AtOnce(w.Unread, w.Priority < s.lowest, s.speed)
}

// less orders the queue.
func (s *Scheduler) less(now clock.Millis, a, b *waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if la, lb := s.late(now, a), s.late(now, b); la != lb {
		return !la
	}
	if oa, ob := s.over(a.Account), s.over(b.Account); oa != ob {
		return !oa
	}
	if c := cmp.Compare(a.TargetMs, b.TargetMs); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

// late reports whether w cannot meet its target any more.
func (s *Scheduler) late(now clock.Millis, w *waiting) bool {
	return now+s.readMs(w.Unread) > w.TargetMs
}

// over reports whether an account was granted far more than the mean.
func (s *Scheduler) over(account string) bool {
	if len(s.spent) < 2 {
		return false
	}
	sum := 0.0
	for _, v := range s.spent {
		sum += v
	}
	return s.spent[account] > overShare*sum/float64(len(s.spent))
}

// dispatch grants what may start now.
func (s *Scheduler) dispatch(now clock.Millis) {
	for len(s.queue) > 0 {
		best := s.queue[0]
		for _, w := range s.queue[1:] {
			if s.less(now, w, best) {
				best = w
			}
		}
		if !s.fits(now, best) {
			return
		}
		s.queue = slices.DeleteFunc(s.queue, func(o *waiting) bool { return o == best })
		s.start(now, best.Request)
		s.out = append(s.out, Action{Entry: best.Entry, ID: best.ID, Granted: true})
	}
}

// misplaced reports whether w has waited for long enough where another engine
// may have room, or may read it without stalling tight streams.
func (s *Scheduler) misplaced(now clock.Millis, w *waiting) bool {
	waited := now - w.askedMs
	return s.small(w) && waited > max(smallPatience, (w.DeadlineMs-w.askedMs)/smallPart) || s.stalls(w) && waited > smallPatience
}

// row returns how long prompts may be read in a row beside tight streams; ok is
// false while there are none.
func (s *Scheduler) row() (ms clock.Millis, ok bool) {
	return clock.Millis(float64(s.pauseMs) * rowPart), s.tight > 0 && s.pauseMs > 0
}

// stalls reports whether w alone would stall tight streams.
func (s *Scheduler) stalls(w *waiting) bool {
	row, ok := s.row()
	return ok && !w.Tight && !w.Insists && s.tight > fewTight && s.readMs(w.Unread) > row
}

// leavesGap reports whether tight streams get their events in time if w is read
// now.
func (s *Scheduler) leavesGap(now clock.Millis, w *waiting) bool {
	row, ok := s.row()
	switch {
	case !ok || w.Tight:
		return true
	case s.stalls(w):
		return false
	case s.pending > 0 || now-s.idleMs < stepMs:
		return now-s.rowMs+s.readMs(s.pending+w.Unread) <= row
	}
	return true
}

// fits reports whether the engine can take w now.
func (s *Scheduler) fits(now clock.Millis, w *waiting) bool {
	if now < s.downMs {
		return false
	}
	slots, part := s.cfg.Slots, smallMemoryPart
	if !s.small(w) {
		slots -= min(tightSlots, slots/4)
		part = memoryPart
	}
	if slots > 0 && len(s.running) >= slots {
		return false
	}
	if mem := int(float64(s.cfg.MemoryTokens) * part); mem > 0 && len(s.running) > 0 && s.memory+w.Tokens > mem {
		return false
	}
	if !s.leavesGap(now, w) {
		return false
	}
	if s.small(w) || len(s.running) == 0 {
		return true
	}
	most := pendingMs
	if s.tight > 0 {
		most = tightPendingMs
	}
	if s.pending > 0 && s.readMs(s.pending+w.Unread) > most {
		return false
	}
	return now >= s.freeMs
}

func (s *Scheduler) start(now clock.Millis, r Request) {
	s.running[r.ID] = &run{Request: r, grantedMs: now, alone: s.pending <= 0}
	for _, o := range s.running {
		if o.ID != r.ID && !o.begun {
			o.alone = false
		}
	}
	if s.pending <= 0 && now-s.idleMs >= stepMs {
		s.rowMs = now
	}
	s.pending += r.Unread
	s.memory += r.Tokens
	if r.Tight {
		s.tight++
		s.pauseMs = r.PauseMs
	}
	s.freeMs = max(s.freeMs, now-creditMs) + clock.Millis(float64(r.Unread)/s.rate())
	s.spend(now, r.Account, float64(r.Unread+r.Tokens))
}

// spend notes what an account was granted; old grants fade.
func (s *Scheduler) spend(now clock.Millis, account string, tokens float64) {
	if dt := now - s.spentMs; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(fairHalf))
		for a, v := range s.spent {
			if s.spent[a] = v * f; v*f < 1 {
				delete(s.spent, a)
			}
		}
		s.spentMs = now
	}
	s.spent[account] += tokens
}

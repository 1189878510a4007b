package claim_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/claim"
)

// fault is an error in the protocol, such as a missing step, that the model can
// simulate to show that its checks detect the error.
type fault int

const (
	noFault fault = iota
	// handOverOnAck runs an attempt when its append is confirmed, without
	// reading the stream up to it.
	handOverOnAck
	// refuseEarly answers notRun when the result of an append is unknown, but
	// still hands the attempt over if its claim is accepted.
	refuseEarly
	// unboundOutcome applies an outcome to any claim that holds the key.
	unboundOutcome
	// assumeComplete has a reader that missed records take the first one that
	// it reads for the first of the stream.
	assumeComplete
)

const (
	modelKeys         = 2                      // number of idempotency keys in use
	modelWindowLength = 12 * clock.Hour        // from modelStart to the end of every key's idempotency window
	modelDeadline     = 30 * clock.Millisecond // from submitting an attempt to its deadline
	modelRetention    = 8 * clock.Hour         // retention period that the authors assume
	modelStart        = 1000 * clock.Hour      // time at which the model starts
)

// openAppend is an append that a member has sent and that may still be recorded.
type openAppend struct {
	author   int // index of the member
	batch    int64
	data     []byte
	attempts []string // of the claimed attempts
}

// member is a sidecar process that writes and reads the log.
type member struct {
	author *claim.Author
	fold   *claim.Fold
	name   string
	hidden int64                    // number of missed records hidden from the fold under assumeComplete
	active map[string]claim.Request // handed over and not finished, by attempt
}

type logRecord struct {
	atMs clock.Millis
	data []byte
}

// model simulates a log and members that submit attempts, read at different
// speeds and crash. err is set once an invariant is broken.
type model struct {
	fault       fault
	now         clock.Millis
	log         []logRecord
	first       int64 // offset of the oldest retained record
	members     []*member
	openAppends []openAppend         // result not yet reported
	unconfirmed []openAppend         // result reported as unknown; may be recorded later
	created     int                  // number of processes and attempts created
	executed    map[claim.Key]string // attempt that was handed over, unless its result is NotRun
	notRun      map[string]bool      // attempts for which notRun was answered
	err         error
}

func newModel(members int, f fault) *model {
	m := &model{fault: f, now: modelStart, first: 1, executed: map[claim.Key]string{}, notRun: map[string]bool{}}
	for i := range members {
		m.members = append(m.members, nil)
		m.startMember(i)
	}
	return m
}

// startMember starts a new process as member i.
func (m *model) startMember(i int) {
	m.created++
	name := fmt.Sprintf("i%d", m.created)
	fold := claim.New()
	cfg := claim.Config{Incarnation: name, MaxRunMs: clock.Minute, RetentionMs: modelRetention}
	m.members[i] = &member{author: claim.NewAuthor(cfg, fold), fold: fold, name: name, active: map[string]claim.Request{}}
}

// step performs an event of a chosen member and returns an error if an invariant is
// broken. choose(n) returns a number in [0, n), at random or from a fixed list.
func (m *model) step(choose func(n int) int) error {
	i := choose(len(m.members))
	events := []func(i int, choose func(int) int){m.submit, m.read, m.completeAppend, m.read, m.completeAppend, m.finish, m.tick, m.recordDelayed}
	if choose(10) == 0 {
		events = []func(i int, choose func(int) int){m.crash, m.truncate, m.maintain, m.maintain, m.advanceHours}
	}
	events[choose(len(events))](i, choose)
	return m.err
}

func keyOf(i int) claim.Key { return claim.KeyOf("a", "/r", fmt.Sprint(i)) }

// submit has member i submit a new attempt with a chosen key.
func (m *model) submit(i int, choose func(int) int) {
	m.created++
	r := claim.Request{
		Key:        keyOf(choose(modelKeys)),
		Attempt:    fmt.Sprintf("t%d", m.created),
		ExpiresMs:  modelStart + modelWindowLength,
		DeadlineMs: m.now + modelDeadline,
	}
	m.perform(i, m.members[i].author.Submit(m.now, r))
}

// perform carries out the actions that the Author of member i returned.
func (m *model) perform(i int, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			m.openAppends = append(m.openAppends, openAppend{i, a.Batch, a.Data, attemptNames(a.Data)})
		case claim.HandOver:
			m.handOver(i, a.Request)
		case claim.Refuse:
			m.refuse(a.Request.Attempt)
		}
	}
}

// attemptNames returns the names of the attempts claimed in an encoded record.
func attemptNames(data []byte) []string {
	var rec claim.Record
	if err := json.Unmarshal(data, &rec); err != nil {
		panic(err)
	}
	var out []string
	for _, c := range rec.Claims {
		out = append(out, c.Attempt)
	}
	return out
}

// handOver runs an attempt, and checks that no other attempt of its key ran and that
// notRun was not answered for it.
func (m *model) handOver(i int, r claim.Request) {
	if earlier, ok := m.executed[r.Key]; ok {
		m.err = fmt.Errorf("key %s: attempt %s handed over after attempt %s", r.Key, r.Attempt, earlier)
	}
	if m.notRun[r.Attempt] {
		m.err = fmt.Errorf("attempt %s handed over after notRun", r.Attempt)
	}
	m.executed[r.Key] = r.Attempt
	m.members[i].active[r.Attempt] = r
}

// refuse answers notRun for an attempt, and checks that it was not handed over.
func (m *model) refuse(attempt string) {
	m.notRun[attempt] = true
	for _, executed := range m.executed {
		if executed == attempt {
			m.err = fmt.Errorf("notRun answered for attempt %s, which was handed over", attempt)
		}
	}
}

// record appends a record to the log.
func (m *model) record(o openAppend) {
	data := o.data
	if m.fault == unboundOutcome {
		data = m.bindToHolder(data)
	}
	m.log = append(m.log, logRecord{m.now, data})
}

// bindToHolder changes each outcome of a record to name the claim that holds its key.
func (m *model) bindToHolder(data []byte) []byte {
	f := claim.New()
	for i, r := range m.log {
		f.Apply(int64(i+1), r.atMs, r.data)
	}
	var rec claim.Record
	_ = json.Unmarshal(data, &rec)
	for i, o := range rec.Outcomes {
		if e, ok := f.Lookup(o.Key); ok {
			rec.Outcomes[i].ClaimOffset, rec.Outcomes[i].Attempt = e.Offset, e.Attempt
		}
	}
	data, _ = json.Marshal(rec)
	return data
}

// completeAppend completes an open append: recorded, failed, recorded with an unknown
// result, or delayed with an unknown result.
func (m *model) completeAppend(_ int, choose func(int) int) {
	if len(m.openAppends) == 0 {
		return
	}
	k := choose(len(m.openAppends))
	o := m.openAppends[k]
	m.openAppends = append(m.openAppends[:k:k], m.openAppends[k+1:]...)
	author := m.members[o.author].author
	switch choose(6) {
	default:
		m.record(o)
		m.appendConfirmed(o)
		m.perform(o.author, author.Appended(m.now, o.batch))
	case 1:
		m.perform(o.author, author.AppendFailed(m.now, o.batch))
	case 2:
		m.record(o)
		m.appendUnknown(o)
	case 3:
		m.unconfirmed = append(m.unconfirmed, o)
		m.appendUnknown(o)
	}
}

// appendConfirmed hands over the attempts of a confirmed append under handOverOnAck.
func (m *model) appendConfirmed(o openAppend) {
	if m.fault != handOverOnAck {
		return
	}
	var rec claim.Record
	_ = json.Unmarshal(o.data, &rec)
	for _, c := range rec.Claims {
		m.handOver(o.author, claim.Request{Key: c.Key, Attempt: c.Attempt})
	}
}

// appendUnknown reports to the author that the result of its append is unknown.
func (m *model) appendUnknown(o openAppend) {
	if m.fault == refuseEarly {
		for _, name := range o.attempts {
			m.refuse(name)
		}
	}
	m.perform(o.author, m.members[o.author].author.AppendUnknown(m.now, o.batch))
}

// recordDelayed records an append whose result was reported as unknown.
func (m *model) recordDelayed(_ int, choose func(int) int) {
	if len(m.unconfirmed) == 0 {
		return
	}
	k := choose(len(m.unconfirmed))
	m.record(m.unconfirmed[k])
	m.unconfirmed = append(m.unconfirmed[:k:k], m.unconfirmed[k+1:]...)
}

// read has member i read the next one to four records of the log.
func (m *model) read(i int, choose func(int) int) {
	proc := m.members[i]
	from := max(proc.fold.Next()+proc.hidden, m.first)
	if m.fault == assumeComplete {
		proc.hidden = from - proc.fold.Next()
	}
	proc.author.SetOldest(from - proc.hidden)
	for range 1 + choose(4) {
		if from > int64(len(m.log)) || m.err != nil {
			return
		}
		r := m.log[from-1]
		m.perform(i, proc.author.ApplyRecord(m.now, from-proc.hidden, r.atMs, r.data))
		from++
	}
}

// finish ends one of the running attempts of member i with a chosen result.
func (m *model) finish(i int, choose func(int) int) {
	proc := m.members[i]
	for name, r := range proc.active {
		if len(proc.active) > 1 && choose(2) == 0 {
			continue
		}
		delete(proc.active, name)
		result := []claim.Result{claim.NotRun, claim.Done, claim.Unknown}[choose(3)]
		if result == claim.NotRun {
			delete(m.executed, r.Key)
		}
		if m.fault != handOverOnAck {
			m.perform(i, proc.author.Finished(m.now, name, result, 200))
		}
		return
	}
}

// tick advances the clock by 1 to 20 ms and ticks all members.
func (m *model) tick(_ int, choose func(int) int) {
	m.now += clock.Millis(1 + choose(20))
	for i, proc := range m.members {
		m.perform(i, proc.author.Tick(m.now))
	}
}

// crash replaces a member by a new process; its open appends may still be
// recorded.
func (m *model) crash(i int, _ func(int) int) {
	var kept []openAppend
	for _, o := range m.openAppends {
		if o.author == i {
			m.unconfirmed = append(m.unconfirmed, o)
			continue
		}
		kept = append(kept, o)
	}
	m.openAppends = kept
	m.startMember(i)
}

// truncate removes the oldest records, as retention does.
func (m *model) truncate(_ int, choose func(int) int) {
	if n := int64(len(m.log)) + 1 - m.first; n > 0 {
		m.first += int64(choose(int(n) + 1))
	}
}

// maintain calls Author.Maintain of member i, which writes a digest if one is due, or
// an empty record if live claims are unknown.
func (m *model) maintain(i int, _ func(int) int) {
	m.perform(i, m.members[i].author.Maintain(m.now, m.now))
}

// advanceHours advances the clock by 1 to 3 hours.
func (m *model) advanceHours(_ int, choose func(int) int) {
	m.now += clock.Millis(1+choose(3)) * clock.Hour
}

// modelSteps is the number of steps in one run of TestModelInvariants.
const modelSteps = 120

// TestModelInvariants runs random interleavings of two or three members and checks
// that a second attempt of a key is handed over only if the first one did not run,
// and that notRun is never answered for an attempt that was handed over.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.IntRange(2, 3).Draw(rt, "members"), noFault)
		for range modelSteps {
			err := m.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") })
			if err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// TestModelSeeds runs long interleavings from fixed seeds. It also checks that
// enough attempts are handed over for the runs to test anything.
func TestModelSeeds(t *testing.T) {
	handedOver := 0
	for seed := range uint64(1000) {
		m, err := runSeed(seed, noFault)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		handedOver += len(m.executed)
	}
	if handedOver < 300 {
		t.Errorf("%d attempts handed over to a backend server and run in 1000 model runs, want at least 300", handedOver)
	}
	t.Logf("%d attempts handed over to a backend server and run", handedOver)
}

// TestModelFindsFaults checks that the model reports a broken invariant for each
// fault.
func TestModelFindsFaults(t *testing.T) {
	for f, name := range map[fault]string{
		handOverOnAck:  "handOverOnAck",
		refuseEarly:    "refuseEarly",
		unboundOutcome: "unboundOutcome",
		assumeComplete: "assumeComplete",
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if _, err := runSeed(seed, f); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation found in 3000 seeds")
		})
	}
}

// runSeed runs 300 random events from a fixed seed.
func runSeed(seed uint64, f fault) (*model, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	m := newModel(2+int(seed%2), f)
	for range 300 {
		if err := m.step(r.IntN); err != nil {
			return m, err
		}
	}
	return m, nil
}

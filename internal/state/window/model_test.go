package window_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/window"
)

// fault is an error in the protocol that the model can simulate to show that its
// checks detect the error.
type fault int

const (
	noFault fault = iota
	// reportUnsealed sends a report before its seal is recorded.
	reportUnsealed
	// deltas records the usage since the last increment instead of a running total.
	deltas
	// noCorrection seals windows without corrections.
	noCorrection
)

const (
	windowLength = clock.Minute           // length of all windows
	sealGrace    = 5 * clock.Second       // from the end of a window to its seal
	modelBase    = 100_000 * clock.Minute // time at which the model starts
)

var accountNames = []string{"harbour", "meadow"}

// report is a report that the platform accepted, and the reporter that sent it.
type report struct {
	window.Seal
	reporter string
}

// model simulates two sidecars that count usage, two reporters that seal and
// report the same windows concurrently, a log and a platform. Any answer of the
// log or the platform may be lost. err is set once an invariant is broken.
type model struct {
	fault       fault
	now         clock.Millis
	first       int64 // offset of the oldest retained record
	log         []window.Record
	times       []clock.Millis  // log times of the records
	unconfirmed []window.Record // may be recorded later
	meters      []*window.Meter
	lastTotals  []map[string]window.Figures // by account and window, for deltas
	reporters   []*window.Fold              // state of each reporter
	created     int                         // number of incarnations and digests created
	counted     map[string]int64            // tokens by account
	reports     map[string]report           // by report ID
	err         error
}

func newModel(f fault) *model {
	m := &model{fault: f, now: modelBase, first: 1, counted: map[string]int64{}, reports: map[string]report{}}
	for i := range 2 {
		m.meters = append(m.meters, window.NewMeter(fmt.Sprint("s", i), windowLength))
		m.lastTotals = append(m.lastTotals, map[string]window.Figures{})
		m.reporters = append(m.reporters, window.New(0, 1))
	}
	return m
}

// step performs a random event and returns an error if it broke an invariant.
// choose(n) returns a number in [0, n).
func (m *model) step(choose func(int) int) error {
	i := choose(2)
	events := []func(int, func(int) int){m.countRequest, m.countRequest, m.countRequest, m.takeIncrements, m.takeIncrements, m.read, m.read, m.writeSeals, m.sendReports, m.advanceTime, m.recordDelayed}
	if choose(20) == 0 {
		events = []func(int, func(int) int){m.restartReporter, m.truncate, m.writeDigest}
	}
	events[choose(len(events))](i, choose)
	return m.err
}

// countRequest counts a request of random size at sidecar i.
func (m *model) countRequest(i int, choose func(int) int) {
	account := accountNames[choose(len(accountNames))]
	f := window.Figures{Requests: 1, PromptTokens: int64(choose(50)), OutputTokens: int64(choose(50))}
	m.meters[i].Add(m.now, account, f)
	m.counted[account] += f.Tokens()
}

// append records rec at once, later or never, and reports whether its author
// gets the answer that it was recorded.
func (m *model) append(rec window.Record, choose func(int) int) bool {
	switch choose(6) {
	default:
		m.record(rec)
		return true
	case 0:
		m.record(rec)
	case 1:
		m.unconfirmed = append(m.unconfirmed, rec)
	case 2:
	}
	return false
}

// record appends a record to the log.
func (m *model) record(rec window.Record) {
	m.log = append(m.log, rec)
	m.times = append(m.times, m.now)
}

// takeIncrements records the increments of sidecar i.
func (m *model) takeIncrements(i int, choose func(int) int) {
	rec, ok := m.meters[i].Take()
	if !ok {
		return
	}
	sent := rec
	if m.fault == deltas {
		sent = m.delta(i, rec)
	}
	if !m.append(sent, choose) {
		m.meters[i].Requeue(rec)
	}
}

// delta replaces running totals by the differences to the previous ones. Each record
// gets a different incarnation, so that the Fold adds up the differences.
func (m *model) delta(i int, rec window.Record) window.Record {
	m.created++
	out := window.Record{Incarnation: fmt.Sprint("delta", m.created)}
	for _, in := range rec.Increments {
		k := fmt.Sprint(in.Account, in.StartMs)
		old := m.lastTotals[i][k]
		m.lastTotals[i][k] = in.Figures
		in.Figures = in.Minus(old)
		out.Increments = append(out.Increments, in)
	}
	return out
}

// recordDelayed records an append whose author got no answer.
func (m *model) recordDelayed(_ int, choose func(int) int) {
	if len(m.unconfirmed) == 0 {
		return
	}
	k := choose(len(m.unconfirmed))
	m.record(m.unconfirmed[k])
	m.unconfirmed = append(m.unconfirmed[:k:k], m.unconfirmed[k+1:]...)
}

// read has reporter i read the next one to five records.
func (m *model) read(i int, choose func(int) int) { m.readUpTo(i, 1+choose(5)) }

// readUpTo has reporter i read up to n records.
func (m *model) readUpTo(i, n int) {
	f := m.reporters[i]
	f.SetOldest(m.first)
	for range n {
		at := f.Next()
		if at > int64(len(m.log)) {
			return
		}
		data, err := json.Marshal(m.log[at-1])
		if err != nil {
			panic(err)
		}
		f.Apply(at, m.times[at-1], data)
	}
}

// writeSeals has reporter i record the seals that are due.
func (m *model) writeSeals(i int, choose func(int) int) {
	rec := window.Record{Incarnation: fmt.Sprint("r", i), Seals: m.reporters[i].DueSeals(m.now, sealGrace, windowLength)}
	if m.fault == noCorrection {
		for k := range rec.Seals {
			rec.Seals[k].CorrectionTokens = 0
		}
	}
	if len(rec.Seals) == 0 {
		return
	}
	if m.fault == reportUnsealed {
		m.send(i, rec.Seals[0])
	}
	m.append(rec, choose)
}

// sendReports has reporter i send the reports of all unconfirmed seals and record the
// platform's confirmations.
func (m *model) sendReports(i int, choose func(int) int) {
	for _, s := range m.reporters[i].UnconfirmedSeals() {
		m.send(i, s)
		if choose(4) == 0 {
			continue // the platform's answer is lost
		}
		m.append(window.Record{
			Incarnation: fmt.Sprint("r", i),
			Confirms:    []window.Confirmation{{Account: s.Account, Window: s.Window}},
		}, choose)
	}
}

// send delivers a report to the platform and checks that it equals any earlier
// one with the same ID.
func (m *model) send(i int, s window.Seal) {
	old, ok := m.reports[s.ReportID()]
	if ok && !cmp.Equal(old.Seal, s) {
		m.err = fmt.Errorf("two different reports %s: %+v sent by %s, %+v sent by r%d", s.ReportID(), old.Seal, old.reporter, s, i)
	}
	m.reports[s.ReportID()] = report{s, fmt.Sprint("r", i)}
}

// advanceTime advances the clock by 10 to 40 s.
func (m *model) advanceTime(_ int, choose func(int) int) {
	m.now += clock.Millis(1+choose(4)) * 10 * clock.Second
}

// restartReporter restarts a reporter, which then reads the log again.
func (m *model) restartReporter(i int, _ func(int) int) { m.reporters[i] = window.New(0, 1) }

// truncate removes records that the latest single-part digest includes, as
// retention does.
func (m *model) truncate(_ int, choose func(int) int) {
	for k := len(m.log) - 1; k >= 0; k-- {
		if d := m.log[k].Digest; d != nil && d.Parts == 1 {
			m.first = max(m.first, 1+int64(choose(int(d.LastOffset)+1)))
			return
		}
	}
}

// writeDigest has reporter i write a digest if its state is complete.
func (m *model) writeDigest(i int, choose func(int) int) {
	m.created++
	recs, err := m.reporters[i].Digest(fmt.Sprint("d", m.created), fmt.Sprint("r", i))
	if err != nil {
		return
	}
	for _, rec := range recs {
		m.append(rec, choose)
	}
}

// finishAll completes all recording, sealing and reporting without losing an answer, and
// checks that the reports of each account add up to the usage counted.
func (m *model) finishAll() error {
	recordAtOnce := func(int) int { return 5 }
	for range 6 {
		for i := range m.meters {
			m.takeIncrements(i, recordAtOnce)
			for len(m.unconfirmed) > 0 {
				m.recordDelayed(i, func(int) int { return 0 })
			}
		}
		m.now += windowLength
		m.readUpTo(0, len(m.log)+1)
		m.writeSeals(0, recordAtOnce)
		m.readUpTo(0, len(m.log)+1)
		m.sendReports(0, recordAtOnce)
		if m.err != nil {
			return m.err
		}
	}
	reported := map[string]int64{}
	for _, r := range m.reports {
		reported[r.Account] += r.Tokens() + r.CorrectionTokens
	}
	for _, name := range accountNames {
		if reported[name] != m.counted[name] {
			return fmt.Errorf("account %s: %d tokens reported, %d counted", name, reported[name], m.counted[name])
		}
	}
	return nil
}

// run performs random events and then calls finishAll.
func (m *model) run(steps int, choose func(int) int) error {
	for range steps {
		if err := m.step(choose); err != nil {
			return err
		}
	}
	return m.finishAll()
}

// TestModelInvariants runs random events and checks that all reports of a window have
// the same figures, and that the reports of an account add up to the usage counted.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(noFault)
		if err := m.run(120, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestModelSeeds runs long interleavings from fixed seeds. It also checks that
// enough windows are reported for the runs to test anything.
func TestModelSeeds(t *testing.T) {
	reports := 0
	for seed := range uint64(300) {
		m := newModel(noFault)
		if err := m.run(300, rand.New(rand.NewPCG(seed, 3)).IntN); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		reports += len(m.reports)
	}
	if reports < 1000 {
		t.Errorf("%d windows reported in 300 runs, want at least 1000", reports)
	}
	t.Logf("%d windows reported", reports)
}

// TestModelFindsFaults checks that the model reports a broken invariant for each fault.
func TestModelFindsFaults(t *testing.T) {
	for f, name := range map[fault]string{reportUnsealed: "reportUnsealed", deltas: "deltas", noCorrection: "noCorrection"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(1000) {
				if err := newModel(f).run(300, rand.New(rand.NewPCG(seed, 3)).IntN); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation found in 1000 seeds")
		})
	}
}

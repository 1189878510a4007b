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

// fault switches one mechanism of the protocol off.
type fault int

const (
	noFault fault = iota
	// reportUnsealed reports the figures at hand without a seal.
	reportUnsealed
	// deltas has increments state only what is new.
	deltas
	// noCorrection leaves the corrections out of the seals.
	noCorrection
)

const (
	length    = clock.Minute
	grace     = 5 * clock.Second
	modelBase = 100_000 * clock.Minute
)

var accountNames = []string{"harbour", "meadow"}

type report struct {
	window.Seal
	by string
}

// model has sidecars that count, reporters that seal and report without a
// lease, a log and a platform, of which any answer may be lost.
type model struct {
	fault     fault
	now       clock.Millis
	first     int64
	log       []window.Record
	times     []clock.Millis
	limbo     []window.Record
	meters    []*window.Meter
	last      []map[string]window.Figures
	reporters []*window.Fold
	made      int
	counted   map[string]int64
	reports   map[string]report
	err       error
}

func newModel(f fault) *model {
	m := &model{fault: f, now: modelBase, first: 1, counted: map[string]int64{}, reports: map[string]report{}}
	for i := range 2 {
		m.meters = append(m.meters, window.NewMeter(fmt.Sprint("s", i), length))
		m.last = append(m.last, map[string]window.Figures{})
		m.reporters = append(m.reporters, window.New(0, 1))
	}
	return m
}

func (m *model) step(choose func(int) int) error {
	i := choose(2)
	events := []func(int, func(int) int){m.add, m.add, m.add, m.take, m.take, m.read, m.read, m.seal, m.report, m.pass, m.land}
	if choose(20) == 0 {
		events = []func(int, func(int) int){m.replace, m.truncate, m.digest}
	}
	events[choose(len(events))](i, choose)
	return m.err
}

func (m *model) add(i int, choose func(int) int) {
	account := accountNames[choose(len(accountNames))]
	f := window.Figures{Requests: 1, PromptTokens: int64(choose(50)), OutputTokens: int64(choose(50))}
	m.meters[i].Add(m.now, account, f)
	m.counted[account] += f.Tokens()
}

// append records rec now, later, or never, and tells whether its author knows
// that it was recorded.
func (m *model) append(rec window.Record, choose func(int) int) bool {
	switch choose(6) {
	default:
		m.record(rec)
		return true
	case 0:
		m.record(rec)
	case 1:
		m.limbo = append(m.limbo, rec)
	case 2:
	}
	return false
}

func (m *model) record(rec window.Record) {
	m.log = append(m.log, rec)
	m.times = append(m.times, m.now)
}

func (m *model) take(i int, choose func(int) int) {
	rec, ok := m.meters[i].Take()
	if !ok {
		return
	}
	sent := rec
	if m.fault == deltas {
		sent = m.delta(i, rec)
	}
	if !m.append(sent, choose) {
		m.meters[i].Failed(rec)
	}
}

// delta states only what is new, in windows of its own so that they add up.
func (m *model) delta(i int, rec window.Record) window.Record {
	m.made++
	out := window.Record{Incarnation: fmt.Sprint("delta", m.made)}
	for _, in := range rec.Increments {
		k := fmt.Sprint(in.Account, in.StartMs)
		old := m.last[i][k]
		m.last[i][k] = in.Figures
		in.Figures = in.Minus(old)
		out.Increments = append(out.Increments, in)
	}
	return out
}

func (m *model) land(_ int, choose func(int) int) {
	if len(m.limbo) == 0 {
		return
	}
	k := choose(len(m.limbo))
	m.record(m.limbo[k])
	m.limbo = append(m.limbo[:k:k], m.limbo[k+1:]...)
}

func (m *model) read(i int, choose func(int) int) { m.readUpTo(i, 1+choose(5)) }

func (m *model) readUpTo(i, n int) {
	f := m.reporters[i]
	f.Begin(m.first)
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

func (m *model) seal(i int, choose func(int) int) {
	rec := window.Record{Incarnation: fmt.Sprint("r", i), Seals: m.reporters[i].Due(m.now, grace, length)}
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

func (m *model) report(i int, choose func(int) int) {
	for _, s := range m.reporters[i].Unconfirmed() {
		m.send(i, s)
		if choose(4) == 0 {
			continue // the answer was lost
		}
		m.append(window.Record{
			Incarnation: fmt.Sprint("r", i),
			Confirms:    []window.Confirm{{Account: s.Account, Window: s.Window}},
		}, choose)
	}
}

// send has the platform take a report and compares it with earlier ones.
func (m *model) send(i int, s window.Seal) {
	old, ok := m.reports[s.ReportID()]
	if ok && !cmp.Equal(old.Seal, s) {
		m.err = fmt.Errorf("%s reported with %+v by %s and with %+v by r%d", s.ReportID(), old.Seal, old.by, s, i)
	}
	m.reports[s.ReportID()] = report{s, fmt.Sprint("r", i)}
}

func (m *model) pass(_ int, choose func(int) int) {
	m.now += clock.Millis(1+choose(4)) * 10 * clock.Second
}

func (m *model) replace(i int, _ func(int) int) { m.reporters[i] = window.New(0, 1) }

// truncate passes retention over records before the latest whole digest.
func (m *model) truncate(_ int, choose func(int) int) {
	for k := len(m.log) - 1; k >= 0; k-- {
		if d := m.log[k].Digest; d != nil && d.Parts == 1 {
			m.first = max(m.first, 1+int64(choose(int(d.UpTo)+1)))
			return
		}
	}
}

func (m *model) digest(i int, choose func(int) int) {
	m.made++
	recs, err := m.reporters[i].Digest(fmt.Sprint("d", m.made), fmt.Sprint("r", i))
	if err != nil {
		return
	}
	for _, rec := range recs {
		m.append(rec, choose)
	}
}

// settle has everything recorded, sealed, reported and confirmed, and compares
// the sum of the reports with what was counted.
func (m *model) settle() error {
	always := func(int) int { return 5 }
	for range 6 {
		for i := range m.meters {
			m.take(i, always)
			for len(m.limbo) > 0 {
				m.land(i, func(int) int { return 0 })
			}
		}
		m.now += length
		m.readUpTo(0, len(m.log)+1)
		m.seal(0, always)
		m.readUpTo(0, len(m.log)+1)
		m.report(0, always)
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
			return fmt.Errorf("%s: reported %d tokens, counted %d", name, reported[name], m.counted[name])
		}
	}
	return nil
}

func (m *model) run(steps int, choose func(int) int) error {
	for range steps {
		if err := m.step(choose); err != nil {
			return err
		}
	}
	return m.settle()
}

// TestModelHolds: each window is reported with the same figures always, and
// the reports add up to what was counted.
func TestModelHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(noFault)
		if err := m.run(120, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }); err != nil {
			rt.Fatal(err)
		}
	})
}

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
		t.Errorf("%d windows reported in 300 runs; the model does nothing", reports)
	}
	t.Logf("%d windows reported", reports)
}

// TestModelFindsFaults shows that the model check fails when one mechanism is off.
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

package election_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/election"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

const leaseMs = 3 * clock.Second // Config.LeaseMs of all candidates

// config returns the parameters of the first process of a candidate.
func config(name string) election.Config {
	return election.Config{
		Leader: name, Process: name + "-1", LeaseMs: leaseMs, ClaimMs: leaseMs + 1200, RenewMs: leaseMs / 3,
		HandoverMs: leaseMs/2 + 300, SpreadMs: 0,
	}
}

// log simulates a topic with conditional appends, in a store that may be restored
// from a backup. It keeps one record for each epoch.
type log struct {
	epoch   int64           // the store's epoch
	end     int64           // offset of the next record
	records map[int64]entry // by the store epoch that their authors knew
	backups []log           // oldest first
}

// entry is a record with its offset.
type entry struct {
	offset int64
	r      election.Record
}

func newLog() *log { return &log{records: map[int64]entry{}} }

// append adds a record if the topic ends at offset asOf, and returns the record's
// offset and whether it was added. The record is stored under by, the epoch that its
// author knows, which may have ended: the store compares only offsets.
func (l *log) append(r election.Record, by epoch.Epoch, asOf int64) (int64, bool) {
	if asOf != l.end {
		return 0, false
	}
	l.records[by.Number()] = entry{l.end, r}
	l.end++
	return l.end - 1, true
}

// backup makes a backup of the topic.
func (l *log) backup() {
	l.backups = append(l.backups, log{end: l.end, records: maps.Clone(l.records)})
	if len(l.backups) > keptBackups {
		l.backups = l.backups[1:]
	}
}

// restore restores the topic from a backup and starts a new epoch. back is the number
// of newer backups to skip, 0 for the latest backup; if there are too few, the oldest
// one is used.
func (l *log) restore(back int) {
	c := l.backups[max(len(l.backups)-1-back, 0)]
	l.epoch, l.end, l.records = l.epoch+1, c.end, maps.Clone(c.records)
	l.backups = nil
	l.backup()
}

const (
	// backupInterval is the time between two backups of the store.
	backupInterval = 500 * clock.Millisecond
	// keptBackups is the number of backups that the store keeps, those of the last
	// 9 s. So a restore can lose records from more than a lease length ago.
	keptBackups = 18
	// stepTime is the time between two steps of a process.
	stepTime = 50 * clock.Millisecond
)

// delayedWrite is a write that reaches the store at time at.
type delayedWrite struct {
	r    election.Record
	by   epoch.Epoch // the store epoch that the author knew when it sent the write
	asOf int64       // offset at which the topic must end for the write to be accepted
	at   clock.Millis
}

// action is one action that a process performed as leader.
type action struct {
	leader string // name of the leader
	term   int64
	at     clock.Millis
}

// simulation simulates processes that share one log.
type simulation struct {
	t              *rapid.T
	log            *log
	names          []string
	starts         int // number of processes started
	processes      map[string]*election.Candidate
	suspendedUntil map[string]clock.Millis // when a suspended or restarting process continues
	delayed        []delayedWrite
	lastTerm       int64    // of the last action
	actions        []action // in the order of time
}

// read has a process read the epoch, the end of the topic and the records.
func (g *simulation) read(now clock.Millis, n string) {
	p, present := g.processes[n], epoch.Of(g.log.epoch)
	p.SetEpoch(now, present)
	p.SetEnd(epoch.At(present, g.log.end))
	if e, ok := g.log.records[g.log.epoch]; ok {
		p.ApplyRecord(now, epoch.At(present, e.offset), e.r)
	} else {
		p.NoRecord(now)
	}
	for number, e := range g.log.records {
		if number != g.log.epoch {
			p.ApplyEarlierEpoch(e.r)
		}
	}
}

// deliverDelayed delivers the delayed writes that are due to the store.
func (g *simulation) deliverDelayed(now clock.Millis) {
	kept := g.delayed[:0]
	for _, d := range g.delayed {
		if d.at <= now {
			g.log.append(d.r, d.by, d.asOf)
			continue
		}
		kept = append(kept, d)
	}
	g.delayed = kept
}

// write sends the next record of a process. The store's answer may be lost, or the
// write may be delayed. The answer includes the store's epoch, so a process notices a
// restore even if its append succeeded because the restored topic ends at the same
// offset.
func (g *simulation) write(now clock.Millis, n string) {
	p := g.processes[n]
	r, asOf := p.NextRecord(now)
	by := p.Epoch()
	switch rapid.IntRange(0, 9).Draw(g.t, "write") {
	case 0:
		g.log.append(r, by, asOf.Offset())
	case 1:
		g.delayed = append(g.delayed, delayedWrite{r, by, asOf.Offset(), now + clock.Millis(rapid.IntRange(100, 6000).Draw(g.t, "late"))})
	default:
		at, ok := g.log.append(r, by, asOf.Offset())
		if ok && by == epoch.Of(g.log.epoch) {
			p.Appended(now, epoch.At(by, at), r)
		} else {
			g.read(now, n)
		}
	}
}

// start starts or restarts the process of a candidate.
func (g *simulation) start(n string) {
	g.starts++
	cfg := config(n)
	cfg.Process = fmt.Sprint(n, "-", g.starts)
	g.processes[n] = election.New(cfg)
}

// step performs a random event of one process, and checks that it is the only leader
// and that terms do not decrease.
func (g *simulation) step(now clock.Millis, n string) {
	p := g.processes[n]
	switch rapid.IntRange(0, 80).Draw(g.t, "event "+n) {
	case 0:
		g.suspendedUntil[n] = now + clock.Millis(rapid.IntRange(100, 6000).Draw(g.t, "sleep"))
		return
	case 1:
		by := p.Epoch()
		if r, asOf, ok := p.StepDown(now); ok {
			g.log.append(r, by, asOf.Offset())
		}
		return
	case 2:
		g.start(n)
		g.suspendedUntil[n] = now + clock.Millis(rapid.IntRange(100, 2000).Draw(g.t, "restart"))
		return
	}
	if rapid.IntRange(0, 3).Draw(g.t, "reads") > 0 {
		g.read(now, n)
	}
	if now >= p.DueMs(now) {
		g.write(now, n)
	}
	term, ok := p.IsLeader(now)
	if !ok {
		return
	}
	for _, o := range g.names {
		if _, also := g.processes[o].IsLeader(now); o != n && also && now >= g.suspendedUntil[o] {
			g.t.Fatalf("%s and %s are both leader at %d ms", n, o, now)
		}
	}
	if term < g.lastTerm {
		g.t.Fatalf("term %d follows term %d", term, g.lastTerm)
	}
	g.lastTerm = term
	g.actions = append(g.actions, action{n, term, now})
}

// TestOneLeader simulates processes that read late, lose answers, are suspended,
// restart, step down and have writes delayed by seconds, on a store that is restored
// from backups. It checks that there is at most one leader at a time, that no two
// processes are leader in the same term, that terms do not decrease from action to
// action, and that a leader that was replaced acts as leader again only a lease length
// after its last action.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &simulation{t: t, log: newLog(), names: []string{"a", "b", "c"}, processes: map[string]*election.Candidate{}, suspendedUntil: map[string]clock.Millis{}}
		for _, n := range g.names {
			g.start(n)
		}
		restores := rapid.SliceOfN(rapid.IntRange(1, 40_000), 0, 4).Draw(t, "restores")
		for now := clock.Millis(1); now < 40*clock.Second; now += stepTime {
			if now%backupInterval == 1 {
				g.log.backup()
			}
			for _, at := range restores {
				if now <= clock.Millis(at) && clock.Millis(at) < now+stepTime {
					g.log.restore(rapid.IntRange(0, keptBackups-1).Draw(t, "copy"))
				}
			}
			if rapid.IntRange(0, 30).Draw(t, "others") == 0 {
				// Another record is appended to the topic; it does not concern the election.
				g.log.end++
			}
			g.deliverDelayed(now)
			for _, n := range g.names {
				if now >= g.suspendedUntil[n] {
					g.step(now, n)
				}
			}
		}
		g.check()
	})
}

// check checks that no two processes acted in the same term, and that each one that was
// replaced waited for a lease length before it acted again.
func (g *simulation) check() {
	last := map[string]clock.Millis{}
	terms := map[int64]string{}
	for i, a := range g.actions {
		before, ok := last[a.leader]
		if ok && g.actions[i-1].leader != a.leader && a.at-before < leaseMs {
			g.t.Fatalf("%s acts as leader again after %d ms, with another leader in between; want at least a lease length", a.leader, a.at-before)
		}
		last[a.leader] = a.at
		if other, ok := terms[a.term]; ok && other != a.leader {
			g.t.Fatalf("%s and %s both act in term %d", other, a.leader, a.term)
		}
		terms[a.term] = a.leader
	}
}

// TestLeaderKeepsTermAfterRestore restores the store from a backup made before the
// leader's first record. The leader writes its record again at once and keeps its
// term, and the challenger waits.
func TestLeaderKeepsTermAfterRestore(t *testing.T) {
	const back = 300 * clock.Millisecond
	g := &simulation{log: newLog(), processes: map[string]*election.Candidate{"a": election.New(config("a")), "b": election.New(config("b"))}}
	a, b := g.processes["a"], g.processes["b"]
	g.log.backup()
	g.read(0, "a")
	r, asOf := a.NextRecord(0)
	at, _ := g.log.append(r, a.Epoch(), asOf.Offset())
	a.Appended(0, epoch.At(a.Epoch(), at), r)
	g.read(10, "b")
	term, _ := a.IsLeader(100)
	g.log.restore(keptBackups)
	g.read(back, "b")
	g.read(back, "a")
	if got, ok := a.IsLeader(back); !ok || got != term {
		t.Errorf("after the restore: leader %t in term %d, want true in term %d", ok, got, term)
	}
	if due := a.DueMs(back); due > back {
		t.Errorf("the leader writes its record again at %d ms, want at once", due)
	}
	if due := b.DueMs(back); due < back+leaseMs {
		t.Errorf("the challenger claims at %d ms, want at least a lease length after the restore", due)
	}
	r, asOf = a.NextRecord(back)
	at, _ = g.log.append(r, a.Epoch(), asOf.Offset())
	a.Appended(back, epoch.At(a.Epoch(), at), r)
	if got, ok := a.IsLeader(back + leaseMs - 1); !ok || got != term {
		t.Errorf("after the renewal: leader %t in term %d, want true in term %d", ok, got, term)
	}
}

// TestSilentLeaderIsReplaced: after the leader stops renewing, its lease ends and a
// challenger becomes leader in a higher term.
func TestSilentLeaderIsReplaced(t *testing.T) {
	g := &simulation{log: newLog(), processes: map[string]*election.Candidate{"a": election.New(config("a")), "b": election.New(config("b"))}}
	a, b := g.processes["a"], g.processes["b"]
	g.read(0, "a")
	r, asOf := a.NextRecord(0)
	at, _ := g.log.append(r, a.Epoch(), asOf.Offset())
	a.Appended(0, epoch.At(a.Epoch(), at), r)
	g.read(10, "b")
	if _, ok := a.IsLeader(leaseMs - 1); !ok {
		t.Error("not leader within its lease")
	}
	if _, ok := a.IsLeader(leaseMs); ok {
		t.Error("still leader after its lease ended")
	}
	due := b.DueMs(10)
	if due < leaseMs+10 || due > 2*leaseMs {
		t.Fatalf("the challenger claims at %d ms, want between one and two lease lengths", due)
	}
	first, _ := a.IsLeader(0)
	r, asOf = b.NextRecord(due)
	if at, ok := g.log.append(r, b.Epoch(), asOf.Offset()); ok {
		b.Appended(due, epoch.At(b.Epoch(), at), r)
	}
	term, ok := b.IsLeader(due)
	if !ok || term <= first {
		t.Errorf("challenger: leader %t in term %d, want true in a term above %d", ok, term, first)
	}
}

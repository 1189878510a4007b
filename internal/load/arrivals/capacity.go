package arrivals

import "github.com/damaskport/damaskport/internal/runtime/clock"

// CapacityAt returns the tokens per second that the engines can generate at a
// point of a run of length d, with the faults of the scenario.
func (s Scenario) CapacityAt(at, d clock.Millis) float64 {
	dep := s.Deployment
	engines := float64(dep.Engines)
	for _, f := range s.Faults {
		begin := clock.Millis(f.AtPercent / 100 * float64(d))
		if at < begin {
			continue
		}
		switch f.Kind {
		case FaultStraggler:
			engines -= 1 - 1/f.Factor
		case FaultCrashedZone:
			engines -= float64(s.enginesIn(f.Zone))
		case FaultColdStart:
			if at < begin+f.DelayMs {
				engines = 0
			}
		case FaultStaleReports: // costs no capacity
		}
	}
	return dep.TokensPerSecond() * engines / float64(dep.Engines)
}

// enginesIn counts the engines of a zone; engines are spread in turn.
func (s Scenario) enginesIn(zone string) int {
	n := 0
	for i := range s.Deployment.Engines {
		if s.Deployment.Zones[i%len(s.Deployment.Zones)] == zone {
			n++
		}
	}
	return n
}

// servableStep is the resolution of ServableTokens.
const servableStep = 100 * clock.Millisecond

// ServableTokens returns how many of the offered tokens a single server with
// the whole capacity could generate within the target of each class, serving
// the earliest deadline first. It bounds the goodput of any policy.
func (sched Schedule) ServableTokens() int64 {
	byDeadline := map[clock.Millis]float64{}
	total, next := 0.0, 0
	last := sched.Duration
	for now := clock.Millis(0); now <= last; now += servableStep {
		for next < len(sched.Requests) && sched.Requests[next].At < now+servableStep {
			q := sched.Requests[next]
			due := now + max(sched.patience(q.Class), servableStep)/servableStep*servableStep
			byDeadline[due] += float64(q.Tokens)
			last = max(last, due)
			next++
		}
		budget := sched.Scenario.CapacityAt(now, sched.Duration) * float64(servableStep) / float64(clock.Second)
		for due := now + servableStep; due <= last && budget > 0; due += servableStep {
			n := min(byDeadline[due], budget)
			byDeadline[due] -= n
			budget -= n
			total += n
		}
		delete(byDeadline, now)
	}
	return int64(total)
}

// patience returns the time until the first target of a class.
func (sched Schedule) patience(class string) clock.Millis {
	c, _ := sched.Scenario.ClassNamed(class)
	if c.Class.FirstTokenMs > 0 {
		return c.Class.FirstTokenMs
	}
	return c.Class.AnswerMs
}

package admission_test

import (
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/admission"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// processor simulates an entry that works on requests in the order of arrival; a
// rejection costs it a tenth of the work of a request.
type processor struct {
	controller *admission.Controller
	rnd        *rand.Rand
	freeMs     float64 // when the processor has done the present work

	// Numbers of requests, by rank. inTime counts those answered within targetMs.
	accepted, inTime, rejected [2]int
}

const (
	requestsPerSecond = 200
	workMs            = 2.0         // processor time of a request at full speed
	rejectMs          = workMs / 10 // processor time of a rejection at full speed
	targetMs          = 300.0       // latency target of a request
)

// simulate runs the processor at a fraction (speed) of its full speed while requests of
// ranks 0 and 1 arrive, from the time from until the time to. If control is unset, all
// requests are accepted.
func (p *processor) simulate(from, to clock.Millis, speed float64, control bool) {
	for now := from; now < to; now++ {
		if now%admission.SampleEvery == 0 {
			p.controller.Observe(now, admission.Sample{Delay: clock.Millis(max(p.freeMs-float64(now), 0))})
		}
		if p.rnd.Float64() >= requestsPerSecond/1000.0 {
			continue
		}
		rank := p.rnd.IntN(2)
		p.freeMs = max(p.freeMs, float64(now))
		if control && !p.controller.Accepts(rank, 1, p.rnd.Float64()) {
			p.freeMs += rejectMs / speed
			p.rejected[rank]++
			continue
		}
		p.freeMs += workMs / speed
		p.accepted[rank]++
		if p.freeMs-float64(now) < targetMs {
			p.inTime[rank]++
		}
	}
}

// TestSlowProcessorAcceptsWhatItCanServe simulates an entry whose processor slows down
// for 8 s to a fifth of its full speed, half of what the arriving requests need. Without
// admission control it answers hardly any request in time; with it, at least 60% of
// those that it has time for, and more of the urgent ones than of the others.
func TestSlowProcessorAcceptsWhatItCanServe(t *testing.T) {
	const seed, slow = 7, 0.2
	run := func(control bool) *processor {
		p := &processor{controller: admission.New(0), rnd: rand.New(rand.NewPCG(seed, seed))}
		p.simulate(0, 4000, 1, control)
		if control && (p.rejected != [2]int{} || p.controller.Diverting()) {
			t.Errorf("rejected %v, diverting %t at full speed", p.rejected, p.controller.Diverting())
		}
		p.accepted, p.inTime = [2]int{}, [2]int{}
		p.simulate(4000, 12000, slow, control)
		if control && !p.controller.Diverting() {
			t.Error("the entry does not advise others to use another entry")
		}
		return p
	}
	uncontrolled, controlled := run(false), run(true)
	t.Logf("in time %v of %v without control; %v of %v with it, rejected %v", uncontrolled.inTime, uncontrolled.accepted, controlled.inTime, controlled.accepted, controlled.rejected)
	capacity := int(8000 * slow / workMs)
	if got := controlled.inTime[0] + controlled.inTime[1]; got < capacity*6/10 {
		t.Errorf("%d requests in time, want at least 60%% of the %d that it could serve", got, capacity)
	}
	if got := uncontrolled.inTime[0] + uncontrolled.inTime[1]; got > capacity/4 {
		t.Errorf("%d requests in time without control: the load is too low for the test", got)
	}
	if controlled.accepted[0] < controlled.accepted[1]*5/4 {
		t.Errorf("%d urgent and %d other requests were accepted", controlled.accepted[0], controlled.accepted[1])
	}
	controlled.simulate(12000, 16000, 1, true)
	if controlled.controller.Diverting() || controlled.controller.AcceptedFraction() != 1 {
		t.Errorf("4 s after full speed returned: accepted fraction %v, diverting %t", controlled.controller.AcceptedFraction(), controlled.controller.Diverting())
	}
}

// TestSuspensionIsNotOverload simulates a machine that is suspended for 6 s, and single
// samples with a long delay: neither counts as overload, so all requests are accepted.
func TestSuspensionIsNotOverload(t *testing.T) {
	c := admission.New(0)
	now := clock.Millis(0)
	for i := range 100 {
		now += admission.SampleEvery
		delay := clock.Millis(0)
		switch {
		case i == 50:
			now += 6000
			delay = 6000
		case i%5 == 0:
			delay = 250
		}
		c.Observe(now, admission.Sample{Delay: delay})
		if c.AcceptedFraction() != 1 {
			t.Fatalf("sample %d: accepted fraction %v", i, c.AcceptedFraction())
		}
	}
}

// TestFullLink simulates a link of 10 Mbit/s with an offered load of 5% above its
// capacity, then of half of its capacity, and then a link of unknown capacity.
func TestFullLink(t *testing.T) {
	c := admission.New(10)
	const capacity = 125000 // bytes in a sample
	now := clock.Millis(1000)
	feed := func(samples int, bytes int64) {
		for range samples {
			now += admission.SampleEvery
			c.Observe(now, admission.Sample{Bytes: bytes})
		}
	}
	feed(30, capacity*105/100)
	if !c.Diverting() || c.LinkUtilisation() < 0.9 {
		t.Errorf("diverting %t, link utilisation %.2f", c.Diverting(), c.LinkUtilisation())
	}
	if c.Accepts(0, 1, 0.9) {
		t.Error("all requests are accepted on a full link")
	}
	feed(40, capacity/2)
	if c.Diverting() || c.AcceptedFraction() != 1 {
		t.Errorf("diverting %t, accepted fraction %v at half of the capacity", c.Diverting(), c.AcceptedFraction())
	}
	c.SetLink(0)
	feed(20, 10*capacity)
	if c.AcceptedFraction() != 1 {
		t.Errorf("accepted fraction %v on a link of unknown capacity", c.AcceptedFraction())
	}
}

// TestManyRanksAreNotStarved simulates overload with requests of twenty ranks: fewer of
// the least urgent ones are accepted, but still at least a tenth, as the fraction does
// not depend on the number of ranks.
func TestManyRanksAreNotStarved(t *testing.T) {
	c := admission.New(0)
	for now := clock.Millis(0); c.AcceptedFraction() > 0.55; now += admission.SampleEvery {
		c.Observe(now, admission.Sample{Delay: 400})
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	accepted := [20]int{}
	const each = 2000
	for rank := range accepted {
		for range each {
			if c.Accepts(rank, len(accepted)-1, rnd.Float64()) {
				accepted[rank]++
			}
		}
	}
	t.Logf("accepted of %d per rank: %v", each, accepted)
	if accepted[0] < 2*accepted[19] || accepted[19] < each/10 {
		t.Errorf("%d of the most and %d of the least urgent are accepted, of %d", accepted[0], accepted[19], each)
	}
}

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
	c      *admission.Controller
	rnd    *rand.Rand
	freeMs float64 // when the accepted work is done

	accepted, inTime, rejected [2]int // by rank
}

const (
	requestsPerSecond = 200
	workMs            = 2.0
	rejectMs          = workMs / 10
	targetMs          = 300.0
)

// simulate sends requests of two ranks from from to to, to a processor that works at
// the given fraction of its speed.
func (p *processor) simulate(from, to clock.Millis, speed float64, control bool) {
	for now := from; now < to; now++ {
		if now%admission.SampleEvery == 0 {
			p.c.Observe(now, admission.Sample{Delay: clock.Millis(max(p.freeMs-float64(now), 0))})
		}
		if p.rnd.Float64() >= requestsPerSecond/1000.0 {
			continue
		}
		rank := p.rnd.IntN(2)
		p.freeMs = max(p.freeMs, float64(now))
		if control && !p.c.Accepts(rank, 1, p.rnd.Float64()) {
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

// TestSlowProcessorAcceptsWhatItCanServe simulates an entry whose processor falls to a
// fifth of its speed, half of what its requests need, for 8 s. Without admission
// control it answers next to nothing in time; with it, most of what it could, and
// more of the urgent requests than of the others.
func TestSlowProcessorAcceptsWhatItCanServe(t *testing.T) {
	const seed, slow = 7, 0.2
	run := func(control bool) *processor {
		p := &processor{c: admission.New(0), rnd: rand.New(rand.NewPCG(seed, seed))}
		p.simulate(0, 4000, 1, control)
		if control && (p.rejected != [2]int{} || p.c.Diverting()) {
			t.Errorf("refused %v, away %t at full speed", p.rejected, p.c.Diverting())
		}
		p.accepted, p.inTime = [2]int{}, [2]int{}
		p.simulate(4000, 12000, slow, control)
		if control && !p.c.Diverting() {
			t.Error("the entry does not advise others to use another entry")
		}
		return p
	}
	uncontrolled, controlled := run(false), run(true)
	t.Logf("in time %v of %v without control; %v of %v with it, refused %v", uncontrolled.inTime, uncontrolled.accepted, controlled.inTime, controlled.accepted, controlled.rejected)
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
	if controlled.c.Diverting() || controlled.c.AcceptedFraction() != 1 {
		t.Errorf("4 s after full speed returned: accepted fraction %v, away %t", controlled.c.AcceptedFraction(), controlled.c.Diverting())
	}
}

// TestSuspensionIsNotOverload simulates a machine that was suspended, and single long
// delays: neither is overload.
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
// capacity, and then of half of it.
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
		t.Errorf("away %t, link utilisation %.2f", c.Diverting(), c.LinkUtilisation())
	}
	if c.Accepts(0, 1, 0.9) {
		t.Error("all requests are accepted on a full link")
	}
	feed(40, capacity/2)
	if c.Diverting() || c.AcceptedFraction() != 1 {
		t.Errorf("away %t, accepted fraction %v at half of the capacity", c.Diverting(), c.AcceptedFraction())
	}
	c.SetLink(0)
	feed(20, 10*capacity)
	if c.AcceptedFraction() != 1 {
		t.Errorf("accepted fraction %v on a link of unknown capacity", c.AcceptedFraction())
	}
}

// TestManyRanksAreNotStarved has requests of twenty ranks: fewer of the least
// urgent ones are accepted, but the fraction does not shrink with the number of
// ranks.
func TestManyRanksAreNotStarved(t *testing.T) {
	c := admission.New(0)
	for now := clock.Millis(0); c.AcceptedFraction() > 0.55; now += admission.SampleEvery {
		c.Observe(now, admission.Sample{Delay: 400})
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	taken := [20]int{}
	const each = 2000
	for rank := range taken {
		for range each {
			if c.Accepts(rank, len(taken)-1, rnd.Float64()) {
				taken[rank]++
			}
		}
	}
	t.Logf("accepted of %d per rank: %v", each, taken)
	if taken[0] < 2*taken[19] || taken[19] < each/10 {
		t.Errorf("%d of the most and %d of the least urgent are accepted, of %d", taken[0], taken[19], each)
	}
}

package admission_test

import (
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/admission"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// processor is an entry that needs work for each request and a tenth of it for
// each refusal, and does it in the order of arrival.
type processor struct {
	c      *admission.Controller
	rnd    *rand.Rand
	freeMs float64 // when what was taken is done

	taken, inTime, refused [2]int // by rank
}

const (
	perSecond = 200
	workMs    = 2.0
	refuseMs  = workMs / 10
	targetMs  = 300.0
)

// play sends requests of two ranks for a time, to a processor that works at a
// part of its speed.
func (p *processor) play(from, to clock.Millis, speed float64, control bool) {
	for now := from; now < to; now++ {
		if now%admission.SampleEvery == 0 {
			p.c.Observe(now, admission.Sample{Delay: clock.Millis(max(p.freeMs-float64(now), 0))})
		}
		if p.rnd.Float64() >= perSecond/1000.0 {
			continue
		}
		rank := p.rnd.IntN(2)
		p.freeMs = max(p.freeMs, float64(now))
		if control && !p.c.Takes(rank, 1, p.rnd.Float64()) {
			p.freeMs += refuseMs / speed
			p.refused[rank]++
			continue
		}
		p.freeMs += workMs / speed
		p.taken[rank]++
		if p.freeMs-float64(now) < targetMs {
			p.inTime[rank]++
		}
	}
}

// TestSlowProcessorTakesWhatItBears plays an entry whose processor falls to a
// fifth of its speed, half of what its requests need, for 8 s. Without control
// it answers next to nothing in time; with it, most of what it could, and the
// urgent requests before the others.
func TestSlowProcessorTakesWhatItBears(t *testing.T) {
	const seed, slow = 7, 0.2
	run := func(control bool) *processor {
		p := &processor{c: admission.New(0), rnd: rand.New(rand.NewPCG(seed, seed))}
		p.play(0, 4000, 1, control)
		if control && (p.refused != [2]int{} || p.c.Away()) {
			t.Errorf("refused %v, away %t at full speed", p.refused, p.c.Away())
		}
		p.taken, p.inTime = [2]int{}, [2]int{}
		p.play(4000, 12000, slow, control)
		if control && !p.c.Away() {
			t.Error("the entry does not say that others had better turn elsewhere")
		}
		return p
	}
	bare, held := run(false), run(true)
	t.Logf("in time %v of %v without control; %v of %v with it, refused %v", bare.inTime, bare.taken, held.inTime, held.taken, held.refused)
	able := int(8000 * slow / workMs)
	if got := held.inTime[0] + held.inTime[1]; got < able*6/10 {
		t.Errorf("%d requests in time, want at least six tenths of the %d that it could do", got, able)
	}
	if got := bare.inTime[0] + bare.inTime[1]; got > able/4 {
		t.Errorf("%d requests in time without control: the load shows nothing", got)
	}
	if held.taken[0] < held.taken[1]*5/4 {
		t.Errorf("%d urgent and %d other requests were taken", held.taken[0], held.taken[1])
	}
	held.play(12000, 16000, 1, true)
	if held.c.Away() || held.c.Part() != 1 {
		t.Errorf("4 s after it is fast again: part %v, away %t", held.c.Part(), held.c.Away())
	}
}

// TestStandStillIsNoQueue plays a machine that was suspended, and single long
// pauses: neither is work that cannot be kept up with.
func TestStandStillIsNoQueue(t *testing.T) {
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
		if c.Part() != 1 {
			t.Fatalf("sample %d: part %v", i, c.Part())
		}
	}
}

// TestFullLink plays a link of 10 Mbit/s that carries a twentieth more than it
// can, and then half of it.
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
	if !c.Away() || c.Link() < 0.9 {
		t.Errorf("away %t, link at %.2f", c.Away(), c.Link())
	}
	if c.Takes(0, 1, 0.9) {
		t.Error("takes everything")
	}
	feed(40, capacity/2)
	if c.Away() || c.Part() != 1 {
		t.Errorf("away %t, part %v at half of the capacity", c.Away(), c.Part())
	}
	c.SetLink(0)
	feed(20, 10*capacity)
	if c.Part() != 1 {
		t.Errorf("part %v of a link of unknown size", c.Part())
	}
}

// TestManyRanksAreNotStarved has requests of twenty ranks: the least urgent ones
// are taken less, and not by the number of ranks above them.
func TestManyRanksAreNotStarved(t *testing.T) {
	c := admission.New(0)
	for now := clock.Millis(0); c.Part() > 0.55; now += admission.SampleEvery {
		c.Observe(now, admission.Sample{Delay: 400})
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	taken := [20]int{}
	const each = 2000
	for rank := range taken {
		for range each {
			if c.Takes(rank, len(taken)-1, rnd.Float64()) {
				taken[rank]++
			}
		}
	}
	t.Logf("of %d a rank: %v", each, taken)
	if taken[0] < 2*taken[19] || taken[19] < each/10 {
		t.Errorf("%d of the most and %d of the least urgent are taken, of %d", taken[0], taken[19], each)
	}
}

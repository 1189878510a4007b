package ratelimit_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

var server = servers.Key{ID: "s", Start: 1}

// fleet plays gateways that ask an issuer for permits at random moments, each not before the
// time that its last answer named.
type fleet struct {
	rnd      *rand.Rand
	issuer   *ratelimit.Issuer
	gateways int
	limit    float64
	share    float64
	urgent   float64 // part of the requests that are urgent
	asks     int
	granted  []clock.Millis
	notUntil map[int]clock.Millis
}

// run plays from one time to another with a demand of perSecond requests a second.
func (f *fleet) run(from, to clock.Millis, perSecond float64) {
	for now := from; now < to; now++ {
		if f.rnd.Float64() >= perSecond/1000 {
			continue
		}
		g := f.rnd.IntN(f.gateways)
		if now < f.notUntil[g] {
			continue
		}
		f.asks++
		a := f.issuer.Ask(now, server, f.limit, f.rnd.Float64() < f.urgent, f.share)
		if a.Permit > 0 {
			f.granted = append(f.granted, now)
		} else {
			f.notUntil[g] = now + a.WaitMs
		}
	}
}

// most returns the largest number of permits within a window of 4 s.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.granted {
		for at-f.granted[first] > 4*clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestPermitsKeepLimitAndUseIt plays limits, fleet sizes and demands, with the issuer moving to
// another gateway on the way: the permits keep the limit, and under demand use it.
func TestPermitsKeepLimitAndUseIt(t *testing.T) {
	const length = 120 * clock.Second
	for _, gateways := range []int{1, 4, 28, 360} {
		for _, limit := range []float64{0, 0.07, 0.9, 1.2, 7.5, 40} {
			for _, urgent := range []float64{0, 0.3, 1} {
				t.Run(fmt.Sprintf("gateways=%d/limit=%v/urgent=%v", gateways, limit, urgent), func(t *testing.T) {
					f := &fleet{rnd: rand.New(rand.NewPCG(1, uint64(gateways))), issuer: ratelimit.NewIssuer(), gateways: gateways, limit: limit, share: 1, urgent: urgent, notUntil: map[int]clock.Millis{}}
					f.run(0, length/2, 200)
					f.issuer = ratelimit.NewIssuer()
					f.run(length/2, length, 200)
					if n, allowed := f.most(), int(1.5*limit*4+5); n > allowed {
						t.Errorf("%d permits in 4 s, want at most %d", n, allowed)
					}
					if n, want := float64(len(f.granted)), 0.9*limit*length.Duration().Seconds()-4; n < want {
						t.Errorf("%v permits in %v under demand, want at least %v", n, length.Duration(), want)
					}
					if len(f.granted) == 0 {
						t.Error("no permit at all: nobody would learn that the need has ended")
					}
				})
			}
		}
	}
}

// TestUrgentRequestsGetPermitsFirst asks for far more permits than there are: what urgent
// requests ask for within the limit they get.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	i := ratelimit.NewIssuer()
	rnd := rand.New(rand.NewPCG(3, 3))
	asked, granted := 0, 0
	for now := clock.Millis(0); now < 100*clock.Second; now += 20 {
		if rnd.Float64() < 0.02 { // 1 a second where 2 are accepted
			asked++
			if i.Ask(now, server, 2, true, 1).Permit > 0 {
				granted++
			}
		}
		i.Ask(now, server, 2, false, 1)
	}
	if granted*10 < asked*8 {
		t.Errorf("%d of %d urgent requests got a permit", granted, asked)
	}
}

// TestAsksAreSpread bounds the messages that a large fleet exchanges about one server.
func TestAsksAreSpread(t *testing.T) {
	f := &fleet{rnd: rand.New(rand.NewPCG(5, 5)), issuer: ratelimit.NewIssuer(), gateways: 360, limit: 10, share: 1, notUntil: map[int]clock.Millis{}}
	f.run(0, 60*clock.Second, 900)
	if f.asks > 60*2*360 {
		t.Errorf("%d asks in 60 s of 360 gateways, want at most two a second of each", f.asks)
	}
}

// TestShareWithoutOtherGateways divides the limit between two halves of a fleet that cannot
// reach each other.
func TestShareWithoutOtherGateways(t *testing.T) {
	var all fleet
	for half := range 2 {
		f := &fleet{rnd: rand.New(rand.NewPCG(7, uint64(half))), issuer: ratelimit.NewIssuer(), gateways: 4, limit: 6, share: 0.5, notUntil: map[int]clock.Millis{}}
		f.run(0, 60*clock.Second, 100)
		all.granted = append(all.granted, f.granted...)
	}
	if n := float64(len(all.granted)); n > 6*60+4 || n < 0.9*6*60-4 {
		t.Errorf("%v permits in 60 s from both halves, want about %d", n, 6*60)
	}
}

// TestLimitEndsWithAnAnswerMadeLater checks which answers without a limit end it.
func TestLimitEndsWithAnAnswerMadeLater(t *testing.T) {
	i := ratelimit.NewIssuer()
	if !i.Name(0, server, 10) || i.Name(1, server, 10) {
		t.Error("a limit begins once, not each time it is named")
	}
	early := i.Ask(1000, server, 10, true, 1).Permit
	i.Name(1100, server, 10)
	late := i.Ask(1300, server, 10, true, 1).Permit
	for _, tt := range []struct {
		name      string
		permit    uint64
		malformed bool
		want      bool
	}{
		{"noPermit", 0, false, false}, {"issuedBeforeNaming", early, false, false}, {"neverIssued", late + 1, false, false},
		{"malformed", late, true, false}, {"issuedAfterNaming", late, false, true}, {"again", late, false, false},
	} {
		if got := i.End(1400, server, tt.permit, tt.malformed); got != tt.want {
			t.Errorf("%s: End = %t, want %t", tt.name, got, tt.want)
		}
	}
	if diff := cmp.Diff(ratelimit.Answer{Unlimited: true}, i.Ask(1500, server, 10, false, 1)); diff != "" {
		t.Errorf("after the end (-want +got):\n%s", diff)
	}
	if !i.Name(1600, server, 10) {
		t.Error("a limit that is named after its end begins again")
	}
}

// TestMalformedLimitsEndALimitInTime lets a server name only malformed limits after a valid
// one: it must not be limited for ever.
func TestMalformedLimitsEndALimitInTime(t *testing.T) {
	i := ratelimit.NewIssuer()
	i.Name(0, server, 1)
	p := i.Ask(9*clock.Second, server, 1, true, 1).Permit
	if i.End(9*clock.Second, server, p, true) {
		t.Error("a malformed limit ended one named 9 s ago")
	}
	if !i.End(11*clock.Second, server, p, true) {
		t.Error("malformed limits keep one that was last named 11 s ago")
	}
}

func TestKnownReportsNewsAndRepeatsSeldom(t *testing.T) {
	k := ratelimit.NewKnown()
	var got []bool
	for _, at := range []clock.Millis{10, 20, 1000, 2100, 2200} {
		got = append(got, k.ReportDue(at, server, k.Name(at, server, 1.5)))
	}
	got = append(got, k.ReportDue(2300, server, k.Name(2300, server, 1.4)))
	if diff := cmp.Diff([]bool{true, false, false, true, false, true}, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	if k.LogDue(2300, server); k.LogDue(2400, server) {
		t.Error("a limit is logged again after 100 ms")
	}
	k.Sweep(70*clock.Second, func(servers.Key) bool { return false })
	if _, ok := k.Limit(server); ok {
		t.Error("the limit of a server that is long gone is kept")
	}
}

func TestLimitRejectsBadFields(t *testing.T) {
	var l ratelimit.Limit
	var field *servers.FieldError
	if err := json.Unmarshal([]byte(`{"server":{"id":"s"},"perSecond":-1}`), &l); !errors.As(err, &field) || field.Field != "perSecond" {
		t.Errorf("a negative rate: %v", err)
	}
}

func ExampleReturns() {
	var r ratelimit.Returns
	for range 3 {
		fmt.Println(r.Next(0, 400, 250))
	}
	// Output:
	// 400
	// 650
	// 900
}

func BenchmarkAsk(b *testing.B) {
	i := ratelimit.NewIssuer()
	b.ReportAllocs()
	for now := clock.Millis(0); b.Loop(); now++ {
		i.Ask(now, server, 100, true, 1)
	}
}

package callerconn_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestPhaseEnds guards against connections that are closed before their time, or never.
func TestPhaseEnds(t *testing.T) {
	short, long := callerconn.Limits{IdleMs: 1000, HeadMs: 100}, callerconn.Limits{IdleMs: 5000, HeadMs: 500}
	type end struct {
		AtMs clock.Millis // 0 if nothing ends the phase
		Over bool         // at AtMs, not after a last look
	}
	for name, tc := range map[string]struct {
		p    callerconn.Phase
		now  callerconn.Limits
		want end
	}{
		"idle":                     {callerconn.Phase{State: callerconn.Idle, SinceMs: 50, Limits: short}, short, end{1050, false}},
		"idle, now longer":         {callerconn.Phase{State: callerconn.Idle, SinceMs: 50, Limits: short}, long, end{5050, false}},
		"idle, now shorter":        {callerconn.Phase{State: callerconn.Idle, SinceMs: 50, Limits: long}, short, end{5050, false}},
		"head":                     {callerconn.Phase{State: callerconn.Idle, Limits: short}.Received(1, 50, short), short, end{150, false}},
		"head, more of it":         {callerconn.Phase{State: callerconn.Head, SinceMs: 50, Limits: short}.Received(1, 90, long), short, end{150, false}},
		"head, now longer":         {callerconn.Phase{State: callerconn.Head, SinceMs: 50, Limits: short}, long, end{550, false}},
		"head, looked":             {callerconn.Phase{State: callerconn.Head, SinceMs: 50, Limits: short, LookUntilMs: 170}, short, end{170, true}},
		"idle, looked, now longer": {callerconn.Phase{State: callerconn.Idle, Limits: short, LookUntilMs: 1010}, long, end{5000, true}},
		"read":                     {callerconn.Phase{State: callerconn.Read}, short, end{0, true}},
		"handled":                  {callerconn.Phase{State: callerconn.Handled}, short, end{0, true}},
	} {
		at, _ := tc.p.Deadline(tc.now)
		_, over := tc.p.Waited(at, tc.now)
		if diff := cmp.Diff(tc.want, end{at, over}); diff != "" {
			t.Errorf("%s: end (-want +got):\n%s", name, diff)
		}
		if at == 0 {
			continue
		}
		if next, over := tc.p.Waited(at-1, tc.now); over || next != tc.p {
			t.Errorf("%s: over before its time", name)
		}
	}
}

func ExampleBoundary() {
	var b callerconn.Boundary
	b = b.Received([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nab"))
	b = b.Framed(-1).Received([]byte("\r\n\r\n0\r\nT: 1\r\n\r"))
	fmt.Println(b.Ended(), b.Behind())
	b = b.Received([]byte("\n\r\nGET / HTTP/1.1\r\n\r\nGET"))
	fmt.Println(b.Ended(), b.Behind())
	b = b.Next()
	fmt.Println(b.HeadArrived(), b.Framed(0).Behind())
	// Output:
	// false 0
	// true 21
	// true 3
}

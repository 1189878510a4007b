package place_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/place"
)

// TestUrgentPromptsAvoidReservedServers simulates a burst of long prompts (drafts):
// the servers for these have queues of seconds, the servers reserved for
// latency-sensitive requests (chats) have none. Short urgent prompts bypass the
// queue at any server; they must not be sent to the servers of the chats, whose
// streams they would stall.
func TestUrgentPromptsAvoidReservedServers(t *testing.T) {
	b, r := newServerTable(10), newRand()
	chats := map[string]bool{}
	for range 60 {
		chats[send(t, b, 1, chat, r)] = true
	}
	for i := range 10 {
		id := fmt.Sprint("s", i)
		l := batch.Load{PrefillRate: 45, MeanPrefillRate: 40, Running: 20, PrefillMs: 100}
		if chats[id] {
			l.LatencySensitive = 20
		} else {
			l.FreeMs, l.Waiting = 3000, 6
		}
		b.ReportLoad(1, id, l)
	}
	beside := 0
	for range 40 {
		if chats[send(t, b, 2, place.Request{Engine: true, Urgent: true, Prompt: 2400}, r)] {
			beside++
		}
	}
	if beside > 0 {
		t.Errorf("%d of 40 urgent prompts were sent beside chats", beside)
	}
	// Long prompts do not bypass the queue, so the wait in it is part of their cost.
	if c, _ := b.Choose(2, draft, nil, r); c.Cost < 3000 {
		t.Errorf("a draft at %s costs %.0f ms, want at least 3000", c.ID, c.Cost)
	}
}

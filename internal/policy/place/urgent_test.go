package place_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/place"
)

// TestUrgentPromptsStayOffTheLaneOfTightStreams plays a burst of drafts: their
// servers have queues of seconds, and those of the chats have none. Short urgent
// prompts, which start at once wherever they are sent, must not gather beside the
// chats, whose streams they stall.
func TestUrgentPromptsStayOffTheLaneOfTightStreams(t *testing.T) {
	b, r := book(10), rnd()
	chats := map[string]bool{}
	for range 60 {
		chats[send(t, b, 1, chat, r)] = true
	}
	for i := range 10 {
		id := fmt.Sprint("s", i)
		l := batch.Load{Speed: 45, Rate: 40, Running: 20, ReadMs: 100}
		if chats[id] {
			l.Tight = 20
		} else {
			l.FreeMs, l.Waiting = 3000, 6
		}
		b.Told(1, id, l)
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
	// Long prompts wait for their turn, and count the queue.
	if c, _ := b.Choose(2, draft, nil, r); c.Cost < 3000 {
		t.Errorf("a draft at %s costs %.0f", c.ID, c.Cost)
	}
}

package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func newServerTable(n int) *place.ServerTable {
	b := place.NewServerTable("a")
	var list []place.Server
	for i := range n {
		list = append(list, place.Server{ID: fmt.Sprintf("s%d", i), Start: 1, Zone: "a", Slots: 64, CacheTokens: 400000})
	}
	b.SetServers(list)
	return b
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// The tests use two kinds of requests to model engines: a chat is latency-sensitive
// and has a short prompt; a draft has a long prompt and is not latency-sensitive.
var (
	chat  = place.Request{Engine: true, LatencySensitive: true, Prompt: 700}
	draft = place.Request{Engine: true, Prompt: 20000}
)

// send chooses a server for r, records r as sent and returns the server's ID. The
// first event of a short prompt arrives at once.
func send(t *testing.T, b *place.ServerTable, now clock.Millis, r place.Request, rnd *rand.Rand) string {
	t.Helper()
	c, ok := b.Choose(now, r, nil, rnd)
	if !ok {
		t.Fatal("no server")
	}
	b.Sent(c, r)
	if r.Prompt <= chat.Prompt {
		b.FirstEvent(now, c, r)
	}
	return c.ID
}

// TestLongPromptsAvoidServersOfLatencySensitiveStreams sends a burst of
// latency-sensitive requests (chats) and long prompts (drafts): no server may get
// both kinds.
func TestLongPromptsAvoidServersOfLatencySensitiveStreams(t *testing.T) {
	b, r := newServerTable(9), newRand()
	chats, drafts := map[string]int{}, map[string]int{}
	for i := range 60 {
		chats[send(t, b, 1, chat, r)]++
		if i%5 == 0 {
			drafts[send(t, b, 1, draft, r)]++
		}
	}
	for id := range chats {
		if drafts[id] > 0 {
			t.Errorf("%s got %d chats and %d drafts", id, chats[id], drafts[id])
		}
	}
	if len(chats) < 2 || len(drafts) < 4 {
		t.Errorf("chats on %d servers, drafts on %d", len(chats), len(drafts))
	}
}

// TestEntriesReserveTheSameServers sends latency-sensitive requests (chats) through
// one entry and long prompts (drafts) through another; neither entry has seen the
// other's requests. No server may get both kinds.
func TestEntriesReserveTheSameServers(t *testing.T) {
	b1, b2, r := newServerTable(9), newServerTable(9), newRand()
	chats := map[string]bool{}
	for range 20 {
		chats[send(t, b1, 1, chat, r)] = true
	}
	for range 4 {
		if id := send(t, b2, 1, draft, r); chats[id] {
			t.Errorf("the second entry's draft went to %s, which has chats", id)
		}
	}
}

// TestEntriesWithTheSameStaleLoadSpread has 28 entries choose a server at the same
// time and by the same load reports: they must not all choose the same server.
func TestEntriesWithTheSameStaleLoadSpread(t *testing.T) {
	r := newRand()
	got := map[string]int{}
	for range 28 {
		b := newServerTable(50)
		for i := range 50 {
			b.ReportLoad(1, fmt.Sprintf("s%d", i), batch.Load{FreeMs: clock.Millis(i), PrefillRate: 48, MeanPrefillRate: 30})
		}
		got[send(t, b, 2, draft, r)]++
	}
	for id, n := range got {
		if n > 6 {
			t.Errorf("%d of 28 entries chose %s", n, id)
		}
	}
}

// TestReportedBacklogIsAvoided has the queue owner report that a server grants a new
// prompt only after 4 s: the server is avoided until that time has passed.
func TestReportedBacklogIsAvoided(t *testing.T) {
	b, r := newServerTable(3), newRand()
	c, _ := b.Choose(1, draft, nil, r)
	b.ReportLoad(1, c.ID, batch.Load{FreeMs: 4000, Waiting: 3, PrefillRate: 48, MeanPrefillRate: 30})
	if again, _ := b.Choose(2, draft, nil, r); again.ID == c.ID {
		t.Errorf("%s was chosen again despite its reported backlog of 4 s", c.ID)
	}
	if again, _ := b.Choose(5000, draft, nil, r); again.ID != c.ID {
		t.Errorf("%s was chosen after the reported backlog had passed, want %s", again.ID, c.ID)
	}
}

// promptBlocks returns a prompt of three blocks: one of 500 tokens shared by all
// prompts, one shared by the prompts with the same subject, together shared tokens
// long, and one of own tokens that is not shared.
func promptBlocks(subject string, shared, own int) []place.Block {
	return []place.Block{{ID: "common", Tokens: 500}, {ID: subject, Tokens: shared - 500}, {ID: "own", Tokens: own}}
}

// TestCachedPrefixIsNotPrefilledAgain sends two prompts with a shared prefix: the
// second goes to the server that has it cached, or copies it from there.
func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	b, r := newServerTable(6), newRand()
	req := place.Request{Engine: true, Prompt: 7000, Blocks: promptBlocks("subject", 5000, 2000)}
	c, _ := b.Choose(1, req, nil, r)
	b.Sent(c, req)
	b.FirstEvent(1, c, req)
	req.Blocks = promptBlocks("subject", 5000, 2000)
	req.Blocks[2].ID = "another own"
	same, _ := b.Choose(2, req, nil, r)
	if same.ID != c.ID || same.UncachedTokens != 2000 {
		t.Errorf("the second prompt goes to %s with %d tokens to prefill, want %s with 2000", same.ID, same.UncachedTokens, c.ID)
	}
	other, _ := b.Choose(2, req, []string{c.ID}, r)
	if other.CopyFrom != c.ID || other.UncachedTokens != 2000 {
		t.Errorf("on another server it copies from %q with %d tokens to prefill, want %s with 2000", other.CopyFrom, other.UncachedTokens, c.ID)
	}
}

// TestCachedBlocksAreKnownFromReports has a queue owner report that server s3 has used
// a shared block for another entry's request: a request with that block goes to
// s3, or copies the block from there.
func TestCachedBlocksAreKnownFromReports(t *testing.T) {
	b, r := newServerTable(6), newRand()
	b.ReportCached(1, "s3", []string{"subject"})
	req := place.Request{Engine: true, Prompt: 7000, Blocks: promptBlocks("subject", 5000, 2000)}
	if c, _ := b.Choose(1, req, nil, r); c.ID != "s3" && c.CopyFrom != "s3" {
		t.Errorf("choice %+v neither goes to s3 nor copies from it", c)
	}
}

// TestRestartedServerHasEmptyCache restarts a server while a request is in flight: the
// server table must not count prompt blocks from before the restart as cached.
func TestRestartedServerHasEmptyCache(t *testing.T) {
	b, r := newServerTable(1), newRand()
	req := place.Request{Engine: true, Prompt: 7000, Blocks: promptBlocks("subject", 5000, 2000)}
	c, _ := b.Choose(1, req, nil, r)
	b.Sent(c, req)
	b.FirstEvent(1, c, req)
	b.SetServers([]place.Server{{ID: "s0", Start: 2, Zone: "a", Slots: 64, CacheTokens: 400000}})
	b.Ended(2, c, req, place.OutcomeOK, true, 10)
	if c, _ := b.Choose(2, req, nil, r); c.UncachedTokens != 2000 && c.UncachedTokens != 7000 || c.CopyFrom != "" {
		t.Errorf("choice after a restart: %+v", c)
	}
}

// TestFailingServerGetsFewRequests has one of three servers fail 45% of its requests:
// it must get at most a tenth of all requests.
func TestFailingServerGetsFewRequests(t *testing.T) {
	b, r := newServerTable(3), newRand()
	req := place.Request{}
	bad, chance := 0, newRand()
	for now := clock.Millis(1); now < 20000; now += 20 {
		c, _ := b.Choose(now, req, nil, r)
		b.Sent(c, req)
		o := place.OutcomeOK
		if c.ID == "s1" {
			bad++
			if chance.Float64() < 0.45 {
				o = place.OutcomeFailed
			}
		}
		b.Ended(now+15, c, req, o, false, 30)
	}
	if bad > 1000/10 {
		t.Errorf("the failing server got %d of 1000 requests, want at most 100", bad)
	}
}

// TestUnreachableServerIsRetried has a server unreachable for 5 s: it must get
// requests again afterwards.
func TestUnreachableServerIsRetried(t *testing.T) {
	b, r := newServerTable(2), newRand()
	req := place.Request{}
	var after int
	for now := clock.Millis(1); now < 20000; now += 20 {
		c, _ := b.Choose(now, req, nil, r)
		b.Sent(c, req)
		o := place.OutcomeOK
		if c.ID == "s1" && now < 5000 {
			o = place.OutcomeUnreachable
		}
		if c.ID == "s1" && now > 10000 {
			after++
		}
		b.Ended(now+15, c, req, o, false, 30)
	}
	if after < 50 {
		t.Errorf("the server that is reachable again got %d of 500 requests, want at least 50", after)
	}
}

// TestSlowServerGetsLess has one of three servers take five times as long per request
// as the others: it must get at most a tenth of the requests.
func TestSlowServerGetsLess(t *testing.T) {
	b, r := newServerTable(3), newRand()
	req := place.Request{}
	n := 0
	for now := clock.Millis(1); now < 10000; now += 10 {
		c, _ := b.Choose(now, req, nil, r)
		b.Sent(c, req)
		took := clock.Millis(30)
		if c.ID == "s2" {
			took, n = 150, n+1
		}
		b.Ended(now, c, req, place.OutcomeOK, false, took)
	}
	if n > 100 {
		t.Errorf("the slow server got %d of 1000 requests, want at most 100", n)
	}
}

// TestManyShortBlocksTakeBoundedMemory guards against a gateway that is killed for its memory: prompts of many blocks of one
// token, or of none, made it keep as many entries a server as the server caches tokens.
func TestManyShortBlocksTakeBoundedMemory(t *testing.T) {
	for _, tokens := range []int{0, 1} {
		b := place.NewServerTable("a")
		b.SetServers([]place.Server{{ID: "s", Start: 1, Zone: "a", Slots: 8, CacheTokens: 12_800}})
		r := rand.New(rand.NewPCG(1, 1))
		send := func(blocks []place.Block) place.Choice {
			t.Helper()
			prompt := 0
			for _, p := range blocks {
				prompt += p.Tokens
			}
			req := place.Request{Engine: true, Prompt: prompt, Blocks: blocks}
			c, ok := b.Choose(1, req, nil, r)
			if !ok {
				t.Fatal("no server")
			}
			b.Sent(c, req)
			b.FirstEvent(2, c, req)
			b.Ended(3, c, req, place.OutcomeOK, true, 1)
			return c
		}
		early := []place.Block{{ID: "early", Tokens: 500}}
		send(early)
		if c := send(early); c.UncachedTokens != 0 {
			t.Fatalf("%d tokens of a cached prompt to prefill", c.UncachedTokens)
		}
		var many []place.Block
		for i := range 1000 {
			many = append(many, place.Block{ID: fmt.Sprint(i), Tokens: tokens})
		}
		send(many)
		if c := send(early); c.UncachedTokens != 500 {
			t.Errorf("after 1000 blocks of %d tokens, %d tokens of an earlier prompt to prefill, want 500", tokens, c.UncachedTokens)
		}
	}
}

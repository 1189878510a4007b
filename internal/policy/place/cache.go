package place

import (
	"container/list"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// assumedBlockTokens is the size, in tokens, assumed for a prompt block of unknown
// size.
const assumedBlockTokens = 2000

// minBlockTokens is the size as which smaller blocks count. It bounds the number of blocks, each of which takes some
// 200 bytes of this process whatever its size: 3,000 for half of a KV cache of 400,000 tokens.
const minBlockTokens = 64

// cache is an estimate of the shared prompt blocks that a server has cached: at most
// size tokens, with minBlockTokens for each smaller one; the least recently used blocks are evicted first.
type cache struct {
	size  int        // tokens
	used  int        // tokens of the blocks in the cache
	order *list.List // of *cacheEntry, the most recently used first
	byID  map[string]*list.Element
}

// cacheEntry is a block that is assumed to be cached.
type cacheEntry struct {
	id     string
	tokens int
	usedMs clock.Millis
}

// newCache returns an empty cache of the given size in tokens.
func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), byID: map[string]*list.Element{}}
}

// cachedPrefix returns the number of tokens from the start of the prompt up to the
// end of the last cached block. Blocks before a cached block count as cached, as a
// server caches a block only together with all blocks before it.
func (c *cache) cachedPrefix(blocks []Block) int {
	n, cached := 0, 0
	for _, p := range blocks {
		n += p.Tokens
		if _, ok := c.byID[p.ID]; ok {
			cached = n
		}
	}
	return cached
}

// addPrefilled records that a request of this entry has prefilled the blocks.
func (c *cache) addPrefilled(now clock.Millis, blocks []Block) {
	for _, p := range blocks {
		c.put(now, p.ID, p.Tokens)
	}
}

// addUsed records that a request of another entry has used a block; its size is not
// known.
func (c *cache) addUsed(now clock.Millis, id string) { c.put(now, id, assumedBlockTokens) }

// usedMs returns when a block was last used; ok is false if it is not cached.
func (c *cache) usedMs(id string) (at clock.Millis, ok bool) {
	el, ok := c.byID[id]
	if !ok {
		return 0, false
	}
	return el.Value.(*cacheEntry).usedMs, true
}

// put marks a block as used at now. It adds the block if it is missing, and then
// evicts the least recently used blocks until the rest fit into the cache.
func (c *cache) put(now clock.Millis, id string, tokens int) {
	if el, ok := c.byID[id]; ok {
		el.Value.(*cacheEntry).usedMs = now
		c.order.MoveToFront(el)
		return
	}
	// The id is a part of the header of its request, which it would keep in memory.
	id, tokens = strings.Clone(id), max(tokens, minBlockTokens)
	c.byID[id] = c.order.PushFront(&cacheEntry{id, tokens, now})
	c.used += tokens
	for c.used > c.size && c.order.Len() > 1 {
		el := c.order.Back()
		e := c.order.Remove(el).(*cacheEntry)
		delete(c.byID, e.id)
		c.used -= e.tokens
	}
}

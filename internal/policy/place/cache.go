package place

import (
	"container/list"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// assumedBlockTokens is the size assumed for a prompt block of unknown size.
const assumedBlockTokens = 2000

// cache estimates which prompt blocks a server has cached: at most size tokens,
// the least recently used blocks are evicted first.
type cache struct {
	size  int
	used  int
	order *list.List // of *entry, the most recently used first
	byID  map[string]*list.Element
}

// cacheEntry is a block that is assumed to be cached.
type cacheEntry struct {
	id     string
	tokens int
	usedMs clock.Millis
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), byID: map[string]*list.Element{}}
}

// cachedPrefix returns the tokens of the blocks up to the last cached one: a block is
// only cached behind all blocks before it.
func (c *cache) cachedPrefix(parts []Block) int {
	n, kept := 0, 0
	for _, p := range parts {
		n += p.Tokens
		if _, ok := c.byID[p.ID]; ok {
			kept = n
		}
	}
	return kept
}

// addPrefilled records that the blocks have been prefilled.
func (c *cache) addPrefilled(now clock.Millis, parts []Block) {
	for _, p := range parts {
		c.put(now, p.ID, p.Tokens)
	}
}

// addUsed records a block that a request of another entry has used.
func (c *cache) addUsed(now clock.Millis, id string) { c.put(now, id, assumedBlockTokens) }

// usedMs returns when a block was last used; ok is false if it is not cached.
func (c *cache) usedMs(id string) (at clock.Millis, ok bool) {
	el, ok := c.byID[id]
	if !ok {
		return 0, false
	}
	return el.Value.(*cacheEntry).usedMs, true
}

// put marks a block as used now, adds it if it is missing, and evicts others
// beyond the size.
func (c *cache) put(now clock.Millis, id string, tokens int) {
	if el, ok := c.byID[id]; ok {
		el.Value.(*cacheEntry).usedMs = now
		c.order.MoveToFront(el)
		return
	}
	c.byID[id] = c.order.PushFront(&cacheEntry{id, tokens, now})
	c.used += tokens
	for c.used > c.size && c.order.Len() > 1 {
		el := c.order.Back()
		e := c.order.Remove(el).(*cacheEntry)
		delete(c.byID, e.id)
		c.used -= e.tokens
	}
}

package place

import (
	"container/list"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// unknownTokens is the size that a part counts with while its size is not known.
const unknownTokens = 2000

// cache is what a server is taken to hold of prompts: the least recently used
// parts beyond the size are forgotten.
type cache struct {
	size  int
	used  int
	order *list.List // of *entry, the most recently used first
	byID  map[string]*list.Element
}

type entry struct {
	id     string
	tokens int
	usedMs clock.Millis
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), byID: map[string]*list.Element{}}
}

// kept returns the tokens of the parts up to the last one that is held: a part
// is only held behind all parts before it.
func (c *cache) kept(parts []Part) int {
	n, kept := 0, 0
	for _, p := range parts {
		n += p.Tokens
		if _, ok := c.byID[p.ID]; ok {
			kept = n
		}
	}
	return kept
}

// add notes that the parts have been read.
func (c *cache) add(now clock.Millis, parts []Part) {
	for _, p := range parts {
		c.put(now, p.ID, p.Tokens)
	}
}

// hold notes a part that another entry's request has used.
func (c *cache) hold(now clock.Millis, id string) { c.put(now, id, unknownTokens) }

// usedMs returns when a part was used last; ok is false if it is not held.
func (c *cache) usedMs(id string) (at clock.Millis, ok bool) {
	el, ok := c.byID[id]
	if !ok {
		return 0, false
	}
	return el.Value.(*entry).usedMs, true
}

func (c *cache) put(now clock.Millis, id string, tokens int) {
	if el, ok := c.byID[id]; ok {
		el.Value.(*entry).usedMs = now
		c.order.MoveToFront(el)
		return
	}
	c.byID[id] = c.order.PushFront(&entry{id, tokens, now})
	c.used += tokens
	for c.used > c.size && c.order.Len() > 1 {
		el := c.order.Back()
		e := c.order.Remove(el).(*entry)
		delete(c.byID, e.id)
		c.used -= e.tokens
	}
}

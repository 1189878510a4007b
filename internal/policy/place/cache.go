package place

import "container/list"

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
func (c *cache) add(parts []Part) {
	for _, p := range parts {
		c.put(p.ID, p.Tokens)
	}
}

// hold notes a part that another entry's request has read.
func (c *cache) hold(id string) {
	if _, ok := c.byID[id]; !ok {
		c.put(id, unknownTokens)
	}
}

func (c *cache) put(id string, tokens int) {
	if el, ok := c.byID[id]; ok {
		c.order.MoveToFront(el)
		return
	}
	c.byID[id] = c.order.PushFront(&entry{id, tokens})
	c.used += tokens
	for c.used > c.size && c.order.Len() > 1 {
		el := c.order.Back()
		e := c.order.Remove(el).(*entry)
		delete(c.byID, e.id)
		c.used -= e.tokens
	}
}

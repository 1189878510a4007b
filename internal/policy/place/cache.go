package place

import (
	"container/list"
)

// cache is what a server is taken to hold of prompts that this entry sent it:
// the least recently used parts beyond the size are forgotten.
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

// kept returns the tokens of the parts that are held, up to the first that is not.
func (c *cache) kept(parts []Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := c.byID[p.ID]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// add notes that the parts have been read.
func (c *cache) add(parts []Part) {
	for _, p := range parts {
		if el, ok := c.byID[p.ID]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.byID[p.ID] = c.order.PushFront(&entry{p.ID, p.Tokens})
		c.used += p.Tokens
	}
	for c.used > c.size && c.order.Len() > 0 {
		el := c.order.Back()
		e := c.order.Remove(el).(*entry)
		delete(c.byID, e.id)
		c.used -= e.tokens
	}
}

package route

import "container/list"

// peersPerPrefix bounds the peers remembered for a prefix.
const peersPerPrefix = 2

// prefixes remembers which peers were sent a prefix, the least recently used
// prefix forgotten first.
type prefixes struct {
	bound int
	known map[uint64]*list.Element
	used  *list.List // of *prefix, the most recently used first
}

type prefix struct {
	digest uint64
	peers  []string // the latest first
}

func newPrefixes(bound int) *prefixes {
	return &prefixes{bound: bound, known: map[uint64]*list.Element{}, used: list.New()}
}

func (p *prefixes) get(digest uint64) []string {
	e := p.known[digest]
	if e == nil {
		return nil
	}
	p.used.MoveToFront(e)
	return e.Value.(*prefix).peers
}

func (p *prefixes) add(peer string, digests []uint64) {
	for _, d := range digests {
		e := p.known[d]
		if e == nil {
			e = p.used.PushFront(&prefix{digest: d})
			p.known[d] = e
		}
		p.used.MoveToFront(e)
		e.Value.(*prefix).add(peer)
	}
	for p.used.Len() > p.bound {
		oldest := p.used.Back()
		delete(p.known, oldest.Value.(*prefix).digest)
		p.used.Remove(oldest)
	}
}

func (p *prefix) add(peer string) {
	kept := []string{peer}
	for _, other := range p.peers {
		if other != peer && len(kept) < peersPerPrefix {
			kept = append(kept, other)
		}
	}
	p.peers = kept
}

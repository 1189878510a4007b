package route

import "container/list"

// peersPerPrefix is the maximum number of peers stored per prefix.
const peersPerPrefix = 2

// prefixLRU is a cache of the peers that were sent each prompt prefix, by the
// prefix's digest. When it is full, the least recently used prefix is evicted.
type prefixLRU struct {
	capacity  int
	byDigest  map[uint64]*list.Element
	byRecency *list.List // of *prefix, the most recently used first
}

// prefix is a prompt prefix with the peers that were sent it.
type prefix struct {
	digest uint64
	peers  []string // names, the most recently sent first
}

// newPrefixes returns an empty cache of at most capacity prefixes.
func newPrefixes(capacity int) *prefixLRU {
	return &prefixLRU{capacity: capacity, byDigest: map[uint64]*list.Element{}, byRecency: list.New()}
}

// get returns the peers that were sent a prefix, and marks it as used.
func (p *prefixLRU) get(digest uint64) []string {
	e := p.byDigest[digest]
	if e == nil {
		return nil
	}
	p.byRecency.MoveToFront(e)
	return e.Value.(*prefix).peers
}

// add records that a peer was sent the prefixes, and evicts the least recently used.
func (p *prefixLRU) add(peer string, digests []uint64) {
	for _, d := range digests {
		e := p.byDigest[d]
		if e == nil {
			e = p.byRecency.PushFront(&prefix{digest: d})
			p.byDigest[d] = e
		}
		p.byRecency.MoveToFront(e)
		e.Value.(*prefix).add(peer)
	}
	for p.byRecency.Len() > p.capacity {
		oldest := p.byRecency.Back()
		delete(p.byDigest, oldest.Value.(*prefix).digest)
		p.byRecency.Remove(oldest)
	}
}

// add puts a peer first in p.peers, of which it keeps peersPerPrefix.
func (p *prefix) add(peer string) {
	kept := []string{peer}
	for _, other := range p.peers {
		if other != peer && len(kept) < peersPerPrefix {
			kept = append(kept, other)
		}
	}
	p.peers = kept
}

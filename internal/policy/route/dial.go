package route

import "github.com/cespare/xxhash/v2"

// RankedTask identifies work that is done by the Count gateways that Rendezvous ranks
// highest for Key.
type RankedTask struct {
	Key   string
	Count int
}

// DialOrder returns the order in which the gateway self connects to others: first
// the gateways that run a task, then the rest. The tasks must be the same on all
// gateways. Within both parts each gateway has its own order, so that no gateway is
// dialed by all others at the same time.
//
// The order matters when a whole fleet starts: connecting to all others takes each
// gateway more processor time than callers can wait for.
func DialOrder(self string, others []string, tasks []RankedTask) []string {
	all := hashes(append([]string{self}, others...))
	tasked := make([]bool, len(all))
	for _, t := range tasks {
		markTop(tasked, all, xxhash.Sum64String(t.Key), t.Count)
	}
	var first, rest []string
	for _, o := range rank(all[0], all[1:]) {
		if tasked[o.index+1] {
			first = append(first, others[o.index])
		} else {
			rest = append(rest, others[o.index])
		}
	}
	return append(first, rest...)
}

// markTop sets marked for the k names with the highest hash of key and name; names
// holds the hashes of the names.
func markTop(marked []bool, names []uint64, key uint64, k int) {
	var last uint64
	for i := range min(k, len(names)) {
		best := -1
		for n, name := range names {
			w := mix(key, name)
			if (i == 0 || w < last) && (best < 0 || w > mix(key, names[best])) {
				best = n
			}
		}
		if best < 0 {
			return
		}
		marked[best], last = true, mix(key, names[best])
	}
}

package route

import "github.com/cespare/xxhash/v2"

// Task is done by the Count gateways with the highest hash of Key.
type Task struct {
	Key   string
	Count int
}

// DialOrder returns others in the order in which the gateway self connects to
// them: those with a task first, which all gateways have to agree on, then the
// rest; both in an order of its own, so that no gateway is dialed by all at once.
//
// It answers the start of a whole fleet: connections to all others cost each
// gateway more of its processor than callers can wait for.
func DialOrder(self string, others []string, tasks []Task) []string {
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

// markTop marks the k names with the highest hash of key and name.
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

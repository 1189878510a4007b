package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sidecar is a sidecar from which SidecarSubset chooses.
type Sidecar struct {
	Name string
	Zone string
}

// ranked is a name in an order by hash.
type ranked struct {
	index int    // position in the unordered names
	score uint64 // hash of key and name; higher ranks first
}

// Rendezvous returns the k names with the highest hash of key and name, the highest
// first (rendezvous hashing). All callers with the same names get the same order. A
// name that is added or removed does not change the order of the others, so that only
// the keys for which it ranks first move.
func Rendezvous(key string, names []string, k int) []string {
	order := rank(xxhash.Sum64String(key), hashes(names))
	out := make([]string, 0, min(k, len(names)))
	for _, o := range order[:min(k, len(order))] {
		out = append(out, names[o.index])
	}
	return out
}

// RendezvousHash returns the hash of a key and a name by which Rendezvous orders names.
func RendezvousHash(key, name string) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(name))
}

// hashes returns the hash of each name.
func hashes(names []string) []uint64 {
	out := make([]uint64, len(names))
	for i, n := range names {
		out[i] = xxhash.Sum64String(n)
	}
	return out
}

// mix combines the hashes of a key and a name.
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 32)) * 0xd6e8feb86659fd93
	z = (z ^ (z >> 32)) * 0xd6e8feb86659fd93
	return z ^ (z >> 32)
}

// rank orders names, given by their hashes, by descending hash of key and name.
func rank(key uint64, names []uint64) []ranked {
	order := make([]ranked, len(names))
	for i, n := range names {
		order[i] = ranked{index: i, score: mix(key, n)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.index, b.index)
	})
	return order
}

// SidecarSubset returns the names of the k sidecars of a pool that entry connects to, or of
// all if there are fewer, distributed over the zones in proportion to their sizes.
//
// It computes the choices of all entries in the order of the entries' hashes. Each
// entry chooses sidecars in its rendezvous order, skipping those that already have
// their equal part of the entries while others have not. So all sidecars get about
// the same number of entries, and adding or removing a member changes few
// connections. Entries need not have identical lists: differences in the lists cause
// only local differences in the choices. It takes time
// O(entries × sidecars log sidecars); call it only when the lists change.
func SidecarSubset(entry string, entries []string, sidecars []Sidecar, k int) []string {
	if k >= len(sidecars) {
		k = len(sidecars)
	}
	var out []string
	for zone, quota := range quotas(sidecars, k) {
		var names []string
		for _, m := range sidecars {
			if m.Zone == zone {
				names = append(names, m.Name)
			}
		}
		slices.Sort(names)
		out = append(out, subsetOfZone(entry, entries, names, quota)...)
	}
	slices.Sort(out)
	return out
}

// quotas distributes k over the zones in proportion to their number of sidecars,
// rounding by the largest remainder method.
func quotas(sidecars []Sidecar, k int) map[string]int {
	sizes := map[string]int{}
	var zones []string
	for _, m := range sidecars {
		if sizes[m.Zone] == 0 {
			zones = append(zones, m.Zone)
		}
		sizes[m.Zone]++
	}
	slices.Sort(zones)
	out := map[string]int{}
	left := k
	for _, z := range zones {
		out[z] = k * sizes[z] / len(sidecars)
		left -= out[z]
	}
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Compare(k*sizes[b]%len(sidecars), k*sizes[a]%len(sidecars))
	})
	for _, z := range zones[:min(left, len(zones))] {
		out[z]++
	}
	return out
}

// subsetOfZone returns the k names of one zone that entry connects to.
func subsetOfZone(entry string, entries, names []string, k int) []string {
	if k >= len(names) {
		return names
	}
	order := entryOrder(entry, entries)
	bound := (len(order)*k + len(names) - 1) / len(names)
	entryCounts := make([]int, len(names))
	nameHashes := hashes(names)
	for _, e := range order {
		chosen := takeBelowBound(rank(xxhash.Sum64String(e), nameHashes), entryCounts, bound, k)
		if e != entry {
			continue
		}
		out := make([]string, 0, k)
		for _, i := range chosen {
			out = append(out, names[i])
		}
		return out
	}
	return nil
}

// takeBelowBound returns the indexes of the first k names of order whose entry count
// is below bound, filled up with the first of the others if these are fewer than k,
// and increments the counts of the names returned.
func takeBelowBound(order []ranked, entryCounts []int, bound, k int) []int {
	var chosen, others []int
	for _, o := range order {
		if len(chosen) == k {
			break
		}
		if entryCounts[o.index] < bound {
			chosen = append(chosen, o.index)
		} else {
			others = append(others, o.index)
		}
	}
	chosen = append(chosen, others[:min(len(others), k-len(chosen))]...)
	for _, i := range chosen {
		entryCounts[i]++
	}
	return chosen
}

// entryOrder returns the distinct entries, including entry, ordered by hash.
func entryOrder(entry string, entries []string) []string {
	out := slices.Clone(entries)
	out = append(out, entry)
	slices.SortFunc(out, func(a, b string) int {
		if ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b); ha != hb {
			return cmp.Compare(ha, hb)
		}
		return cmp.Compare(a, b)
	})
	return slices.Compact(out)
}

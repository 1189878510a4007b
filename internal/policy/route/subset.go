package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a sidecar of which a subset is chosen.
type Member struct {
	Name string
	Zone string
}

type ranked struct {
	index int
	score uint64
}

// Rendezvous returns the k names with the highest hash of key and name, the
// highest first. All callers with the same names get the same order, and a name
// that comes or goes moves only the keys that it is first for.
func Rendezvous(key string, names []string, k int) []string {
	order := rank(xxhash.Sum64String(key), hashes(names))
	out := make([]string, 0, min(k, len(names)))
	for _, o := range order[:min(k, len(order))] {
		out = append(out, names[o.index])
	}
	return out
}

// Weight is the hash of a key and a name by which Rendezvous orders names.
func Weight(key, name string) uint64 { return mix(xxhash.Sum64String(key), xxhash.Sum64String(name)) }

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

// Subset returns the sidecars of a pool that entry connects to: k of them,
// spread over the zones by their sizes. Entries choose in the order of their
// hashes by rendezvous order, and a sidecar that has its part of the entries
// is passed over as long as others have not. So sidecars get about equally many
// entries, and one member more or less changes few connections. Entries that
// see different lists differ only where the lists do. It takes time
// O(entries × sidecars log sidecars); call it when the lists change.
func Subset(entry string, entries []string, sidecars []Member, k int) []string {
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
		out = append(out, subsetOf(entry, entries, names, quota)...)
	}
	slices.Sort(out)
	return out
}

// quotas divides k over the zones by largest remainder.
func quotas(sidecars []Member, k int) map[string]int {
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

func subsetOf(entry string, entries, names []string, k int) []string {
	if k >= len(names) {
		return names
	}
	order := entryOrder(entry, entries)
	bound := (len(order)*k + len(names) - 1) / len(names)
	taken := make([]int, len(names))
	nameHashes := hashes(names)
	for _, e := range order {
		mine := take(rank(xxhash.Sum64String(e), nameHashes), taken, bound, k)
		if e != entry {
			continue
		}
		out := make([]string, 0, k)
		for _, i := range mine {
			out = append(out, names[i])
		}
		return out
	}
	return nil
}

// take takes the first k of order whose count is below bound, and if these are
// too few, the first of the others.
func take(order []ranked, taken []int, bound, k int) []int {
	var mine, others []int
	for _, o := range order {
		if len(mine) == k {
			break
		}
		if taken[o.index] < bound {
			mine = append(mine, o.index)
		} else {
			others = append(others, o.index)
		}
	}
	mine = append(mine, others[:min(len(others), k-len(mine))]...)
	for _, i := range mine {
		taken[i]++
	}
	return mine
}

// entryOrder returns the distinct entries, with entry among them, by hash.
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

package directory

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of maps in a table; a change copies only the maps
// that hold the names it touches.
const tableShards = 64

// table maps names to values. A copy of a table shares its maps with the
// original until fork is called on the copy, which may then be changed.
type table[V any] struct {
	shards [tableShards]map[string]V
	// owned has a bit for each map that no other table shares.
	owned uint64
}

// fork makes t safe to change after it was copied from another table.
func (t *table[V]) fork() { t.owned = 0 }

func (t *table[V]) get(name string) (V, bool) {
	v, ok := t.shards[shardOf(name)][name]
	return v, ok
}

func (t *table[V]) set(name string, v V) {
	t.own(shardOf(name))[name] = v
}

func (t *table[V]) remove(name string) {
	delete(t.own(shardOf(name)), name)
}

func (t *table[V]) own(shard uint64) map[string]V {
	if t.owned&(1<<shard) == 0 {
		m := maps.Clone(t.shards[shard])
		if m == nil {
			m = map[string]V{}
		}
		t.shards[shard] = m
		t.owned |= 1 << shard
	}
	return t.shards[shard]
}

func (t *table[V]) len() int {
	n := 0
	for _, m := range t.shards {
		n += len(m)
	}
	return n
}

// all returns every entry in one new map.
func (t *table[V]) all() map[string]V {
	out := make(map[string]V, t.len())
	for _, m := range t.shards {
		maps.Copy(out, m)
	}
	return out
}

// sorted returns the values in the order of their names.
func (t *table[V]) sorted() []V {
	m := t.all()
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % tableShards
}

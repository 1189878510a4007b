package directory

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of maps (shards) in a table. A change copies only the maps
// that contain the names that it modifies.
const tableShards = 64

// table is a copy-on-write map from names to values. A copy of the struct shares its
// maps with the original; call markShared on the copy before modifying it. The zero
// value is an empty table.
type table[V any] struct {
	shards [tableShards]map[string]V
	// unshared is a bit set of the shards whose maps no other table shares.
	unshared uint64
}

// markShared marks all shards as shared with another table, so that set and remove
// copy a shard's map before they modify it.
func (t *table[V]) markShared() { t.unshared = 0 }

func (t *table[V]) get(name string) (V, bool) {
	v, ok := t.shards[shardOf(name)][name]
	return v, ok
}

func (t *table[V]) set(name string, v V) {
	t.writable(shardOf(name))[name] = v
}

func (t *table[V]) remove(name string) {
	delete(t.writable(shardOf(name)), name)
}

// writable returns the map of a shard, copied first if other tables may share it.
func (t *table[V]) writable(shard uint64) map[string]V {
	if t.unshared&(1<<shard) == 0 {
		m := maps.Clone(t.shards[shard])
		if m == nil {
			m = map[string]V{}
		}
		t.shards[shard] = m
		t.unshared |= 1 << shard
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

// all returns a new map with every entry.
func (t *table[V]) all() map[string]V {
	out := make(map[string]V, t.len())
	for _, m := range t.shards {
		maps.Copy(out, m)
	}
	return out
}

// sorted returns the values sorted by name.
func (t *table[V]) sorted() []V {
	m := t.all()
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// shardOf returns the index of the shard that holds a name.
func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % tableShards
}

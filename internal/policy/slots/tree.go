package slots

// key is the sort key of a tree. Keys compare by their fields in the order of
// declaration; fields that a tree does not use are 0.
type key struct {
	counter  float64
	deadline float64
	arrived  int64
	seq      uint64
}

func (k key) less(o key) bool {
	switch {
	case k.counter != o.counter:
		return k.counter < o.counter
	case k.deadline != o.deadline:
		return k.deadline < o.deadline
	case k.arrived != o.arrived:
		return k.arrived < o.arrived
	}
	return k.seq < o.seq
}

// sums are totals over a subtree or a range of keys.
type sums struct {
	n            int     // waiting requests
	work         float64 // tokens
	share        float64
	shareCounter float64 // share times counter
}

func (a sums) plus(b sums) sums {
	return sums{
		n:            a.n + b.n,
		work:         a.work + b.work,
		share:        a.share + b.share,
		shareCounter: a.shareCounter + b.shareCounter,
	}
}

// tree is a treap that stores sums for each subtree. All operations take
// logarithmic expected time. Its shape depends on the keys alone, so it is
// deterministic.
type tree[T any] struct {
	root *node[T]
}

type node[T any] struct {
	key         key
	value       T
	own, total  sums
	prio        uint64
	left, right *node[T]
}

func (n *node[T]) update() {
	n.total = n.own
	if n.left != nil {
		n.total = n.left.total.plus(n.total)
	}
	if n.right != nil {
		n.total = n.total.plus(n.right.total)
	}
}

// mix spreads seq over 64 bits (the finalizer of splitmix64).
func mix(seq uint64) uint64 {
	z := seq + 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (t *tree[T]) insert(k key, own sums, value T) {
	n := &node[T]{key: k, value: value, own: own, total: own, prio: mix(k.seq)}
	t.root = insertNode(t.root, n)
}

func insertNode[T any](at, n *node[T]) *node[T] {
	if at == nil {
		return n
	}
	if n.prio > at.prio {
		n.left, n.right = split(at, n.key)
		n.update()
		return n
	}
	if n.key.less(at.key) {
		at.left = insertNode(at.left, n)
	} else {
		at.right = insertNode(at.right, n)
	}
	at.update()
	return at
}

// split divides the subtree at into the keys below k and the remaining ones.
func split[T any](at *node[T], k key) (below, above *node[T]) {
	if at == nil {
		return nil, nil
	}
	if at.key.less(k) {
		at.right, above = split(at.right, k)
		at.update()
		return at, above
	}
	below, at.left = split(at.left, k)
	at.update()
	return below, at
}

// merge joins two subtrees; all keys of a are below those of b.
func merge[T any](a, b *node[T]) *node[T] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.prio > b.prio:
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

// remove deletes k and reports whether it was present.
func (t *tree[T]) remove(k key) bool {
	found := false
	t.root = removeNode(t.root, k, &found)
	return found
}

func removeNode[T any](at *node[T], k key, found *bool) *node[T] {
	switch {
	case at == nil:
		return nil
	case at.key == k:
		*found = true
		return merge(at.left, at.right)
	case k.less(at.key):
		at.left = removeNode(at.left, k, found)
	default:
		at.right = removeNode(at.right, k, found)
	}
	at.update()
	return at
}

// first returns the node with the smallest key, or nil.
func (t *tree[T]) first() *node[T] {
	n := t.root
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

// before returns the sums over all keys below k.
func (t *tree[T]) before(k key) sums {
	var out sums
	for n := t.root; n != nil; {
		if !n.key.less(k) {
			n = n.left
			continue
		}
		out = out.plus(n.own)
		if n.left != nil {
			out = out.plus(n.left.total)
		}
		n = n.right
	}
	return out
}

func (t *tree[T]) total() sums {
	if t.root == nil {
		return sums{}
	}
	return t.root.total
}

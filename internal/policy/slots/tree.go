package slots

// key is the sort key of a tree. Keys are compared by their fields in the order of
// declaration; fields that a tree does not use are 0.
type key struct {
	counter  float64 // see account.counter
	deadline float64 // ms
	arrived  int64   // ms
	seq      uint64  // unique number of the request or account
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
	work         float64 // expected output tokens of the waiting requests
	share        float64 // sum of the accounts' shares
	shareCounter float64 // sum of share times counter of the accounts
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

// node is a node of a tree.
type node[T any] struct {
	key         key
	value       T
	own, total  sums   // of the node itself, and of its subtree
	priority    uint64 // heap priority: not less than that of the children
	left, right *node[T]
}

// update computes total from the node itself and its children.
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

// insert adds value with the key k, which the tree must not contain; own is added to the
// sums of the ranges that contain k.
func (t *tree[T]) insert(k key, own sums, value T) {
	n := &node[T]{key: k, value: value, own: own, total: own, priority: mix(k.seq)}
	t.root = insertNode(t.root, n)
}

// insertNode adds n to a subtree, given by its root, and returns the root of the result.
func insertNode[T any](subtree, n *node[T]) *node[T] {
	if subtree == nil {
		return n
	}
	if n.priority > subtree.priority {
		n.left, n.right = split(subtree, n.key)
		n.update()
		return n
	}
	if n.key.less(subtree.key) {
		subtree.left = insertNode(subtree.left, n)
	} else {
		subtree.right = insertNode(subtree.right, n)
	}
	subtree.update()
	return subtree
}

// split divides a subtree into two: the keys below k, and the remaining ones.
func split[T any](subtree *node[T], k key) (below, above *node[T]) {
	if subtree == nil {
		return nil, nil
	}
	if subtree.key.less(k) {
		subtree.right, above = split(subtree.right, k)
		subtree.update()
		return subtree, above
	}
	below, subtree.left = split(subtree.left, k)
	subtree.update()
	return below, subtree
}

// merge joins two subtrees; all keys of a are below those of b.
func merge[T any](a, b *node[T]) *node[T] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
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

// removeNode removes k from a subtree, given by its root, and returns the root of the
// result. It sets found if k was present.
func removeNode[T any](subtree *node[T], k key, found *bool) *node[T] {
	switch {
	case subtree == nil:
		return nil
	case subtree.key == k:
		*found = true
		return merge(subtree.left, subtree.right)
	case k.less(subtree.key):
		subtree.left = removeNode(subtree.left, k, found)
	default:
		subtree.right = removeNode(subtree.right, k, found)
	}
	subtree.update()
	return subtree
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

// total returns the sums over all keys.
func (t *tree[T]) total() sums {
	if t.root == nil {
		return sums{}
	}
	return t.root.total
}

package route

import "limpethitch.example/core/clock"

// tree holds the waiting requests of one flow in order of deadline. It is a
// treap with subtree sizes: insert, remove, rank and earliest take O(log n).
type tree struct {
	root *waiter
	rng  uint64
}

func size(n *waiter) int {
	if n == nil {
		return 0
	}
	return n.size
}

// updateSize recomputes the size of the subtree at w.
func (w *waiter) updateSize() { w.size = 1 + size(w.left) + size(w.right) }

// before orders by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.req.monoDeadline != o.req.monoDeadline {
		return w.req.monoDeadline < o.req.monoDeadline
	}
	return w.seq < o.seq
}

// len returns the number of waiting requests.
func (t *tree) len() int { return size(t.root) }

// rank returns how many waiting requests have the given deadline or an earlier
// one.
func (t *tree) rank(deadline clock.Mono) int {
	k := 0
	for n := t.root; n != nil; {
		if n.req.monoDeadline > deadline {
			n = n.left
			continue
		}
		k += 1 + size(n.left)
		n = n.right
	}
	return k
}

func (t *tree) insert(w *waiter) {
	// xorshift64 is random enough to keep the tree balanced.
	t.rng ^= t.rng<<13 | 1
	t.rng ^= t.rng >> 7
	t.rng ^= t.rng << 17
	w.priority, w.left, w.right, w.size = t.rng, nil, nil, 1
	l, r := split(t.root, w)
	t.root = merge(merge(l, w), r)
}

func (t *tree) remove(w *waiter) {
	link := &t.root
	for *link != w {
		n := *link
		n.size--
		if w.before(n) {
			link = &n.left
		} else {
			link = &n.right
		}
	}
	*link = merge(w.left, w.right)
	w.left, w.right = nil, nil
}

// earliest returns the waiting request with the earliest deadline, or nil.
func (t *tree) earliest() *waiter {
	n := t.root
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

// split divides the subtree n into the nodes before w and the others.
func split(n, w *waiter) (l, r *waiter) {
	if n == nil {
		return nil, nil
	}
	if n.before(w) {
		n.right, r = split(n.right, w)
		n.updateSize()
		return n, r
	}
	l, n.left = split(n.left, w)
	n.updateSize()
	return l, n
}

// merge joins two subtrees, all nodes of l being before those of r.
func merge(l, r *waiter) *waiter {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.priority > r.priority:
		l.right = merge(l.right, r)
		l.updateSize()
		return l
	default:
		r.left = merge(l, r.left)
		r.updateSize()
		return r
	}
}

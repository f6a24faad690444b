package limit

// waiterHeap is a min-heap of the waiters of one class, ordered by start tag.
type waiterHeap[T any] []*Waiter[T]

func (h waiterHeap[T]) less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap[T]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap[T]) push(w *Waiter[T]) {
	w.index = len(*h)
	*h = append(*h, w)
	h.up(w.index)
}

// remove removes the waiter at an index.
func (h *waiterHeap[T]) remove(i int) *Waiter[T] {
	last := len(*h) - 1
	h.swap(i, last)
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
	removed.index = notQueued
	return removed
}

func (h waiterHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h waiterHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h.less(right, child) {
			child = right
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

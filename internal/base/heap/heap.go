// Package heap is a generic binary heap whose elements store their position, so
// that removing one from the middle needs no search.
package heap

// Slot is an element's position in a heap, counted from 1; the zero value means "in no heap".
type Slot struct{ pos int }

// Heap is a binary min-heap.
type Heap[T comparable] struct {
	less  func(a, b T) bool
	slot  func(T) *Slot
	items []T
}

// New returns an empty heap ordered by less; slot returns the Slot stored in an element.
func New[T comparable](less func(a, b T) bool, slot func(T) *Slot) *Heap[T] {
	return &Heap[T]{less: less, slot: slot}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// All returns the elements in heap order; the caller must not change the slice.
func (h *Heap[T]) All() []T { return h.items }

// Push adds v.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	h.slot(v).pos = len(h.items)
	h.up(len(h.items) - 1)
}

// Peek returns the least element or the zero value.
func (h *Heap[T]) Peek() T {
	var zero T
	if len(h.items) == 0 {
		return zero
	}
	return h.items[0]
}

// Pop removes and returns the least element or the zero value.
func (h *Heap[T]) Pop() T {
	v := h.Peek()
	if len(h.items) > 0 {
		h.removeAt(0)
	}
	return v
}

// Remove removes v and reports whether it was in the heap.
func (h *Heap[T]) Remove(v T) bool {
	i := h.slot(v).pos - 1
	if i < 0 || i >= len(h.items) || h.items[i] != v {
		return false
	}
	h.removeAt(i)
	return true
}

// Fix restores the order after v's rank changed.
func (h *Heap[T]) Fix(v T) {
	i := h.slot(v).pos - 1
	if i < 0 || i >= len(h.items) || h.items[i] != v {
		return
	}
	h.down(i)
	h.up(i)
}

func (h *Heap[T]) removeAt(i int) {
	var zero T
	last := len(h.items) - 1
	h.slot(h.items[i]).pos = 0
	if i != last {
		h.items[i] = h.items[last]
		h.slot(h.items[i]).pos = i + 1
	}
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.slot(h.items[i]).pos = i + 1
	h.slot(h.items[j]).pos = j + 1
}

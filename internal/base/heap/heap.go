// Package heap is a binary heap of any type whose elements know their place, so
// that removing one from the middle costs no search.
package heap

// Slot is the place of an element; the zero value means "in no heap".
type Slot struct{ at int }

// Heap keeps the least element at hand.
type Heap[T comparable] struct {
	less func(a, b T) bool
	slot func(T) *Slot
	all  []T
}

// New returns an empty heap ordered by less; slot finds the place kept in an element.
func New[T comparable](less func(a, b T) bool, slot func(T) *Slot) *Heap[T] {
	return &Heap[T]{less: less, slot: slot}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.all) }

// All returns the elements in heap order; the caller must not change it.
func (h *Heap[T]) All() []T { return h.all }

// Push adds v.
func (h *Heap[T]) Push(v T) {
	h.all = append(h.all, v)
	h.slot(v).at = len(h.all)
	h.up(len(h.all) - 1)
}

// Peek returns the least element or the zero value.
func (h *Heap[T]) Peek() T {
	var zero T
	if len(h.all) == 0 {
		return zero
	}
	return h.all[0]
}

// Pop removes and returns the least element or the zero value.
func (h *Heap[T]) Pop() T {
	v := h.Peek()
	if len(h.all) > 0 {
		h.cut(0)
	}
	return v
}

// Remove takes v out and reports whether it was in.
func (h *Heap[T]) Remove(v T) bool {
	i := h.slot(v).at - 1
	if i < 0 || i >= len(h.all) || h.all[i] != v {
		return false
	}
	h.cut(i)
	return true
}

// Fix restores the order after v changed its rank.
func (h *Heap[T]) Fix(v T) {
	i := h.slot(v).at - 1
	if i < 0 || i >= len(h.all) || h.all[i] != v {
		return
	}
	h.down(i)
	h.up(i)
}

func (h *Heap[T]) cut(i int) {
	var zero T
	last := len(h.all) - 1
	h.slot(h.all[i]).at = 0
	if i != last {
		h.all[i] = h.all[last]
		h.slot(h.all[i]).at = i + 1
	}
	h.all[last] = zero
	h.all = h.all[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.all[i], h.all[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *Heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.all) {
			return
		}
		if c+1 < len(h.all) && h.less(h.all[c+1], h.all[c]) {
			c++
		}
		if !h.less(h.all[c], h.all[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.slot(h.all[i]).at = i + 1
	h.slot(h.all[j]).at = j + 1
}

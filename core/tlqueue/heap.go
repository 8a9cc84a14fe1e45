package tlqueue

// heap is a binary heap that stores in each element its position, so that any element can be removed or moved.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(t T) *int
}

func newHeap[T any](less func(a, b T) bool, position func(t T) *int) heap[T] {
	return heap[T]{less: less, position: position}
}

func (h *heap[T]) len() int {
	return len(h.items)
}

func (h *heap[T]) has(t T) bool {
	return *h.position(t) > 0
}

// push adds an element; stored positions count from 1 so that 0 means absent.
func (h *heap[T]) push(t T) {
	h.items = append(h.items, t)
	*h.position(t) = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(t T) {
	i := *h.position(t) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(t) = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the heap order after the key of an element has changed; it does nothing for an absent one.
func (h *heap[T]) fix(t T) {
	i := *h.position(t) - 1
	if i < 0 {
		return
	}
	h.down(i)
	h.up(i)
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i + 1
	*h.position(h.items[j]) = j + 1
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

package tlengine

// dueHeap is a heap of cancels ordered by when they are due.
type dueHeap []*cancellation

// Len returns the number of cancels.
func (h dueHeap) Len() int { return len(h) }

// Less reports whether one cancel is due before another.
func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

// Swap swaps two cancels.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a cancel.
func (h *dueHeap) Push(v any) { *h = append(*h, v.(*cancellation)) }

// Pop removes and returns the last cancel.
func (h *dueHeap) Pop() any {
	l := *h
	v := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	return v
}

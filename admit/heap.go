package admit

// heapItem is an item of an indexedHeap. It stores its index, so that it can be
// moved or removed.
type heapItem[T any] interface {
	earlier(o T) bool
	setIndex(i int) // -1 after removal
}

// indexedHeap implements heap.Interface; the earliest item is first.
type indexedHeap[T heapItem[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].earlier(h[j]) }
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	e := x.(T)
	e.setIndex(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	var zero T
	old[n] = zero
	e.setIndex(-1)
	*h = old[:n]
	return e
}

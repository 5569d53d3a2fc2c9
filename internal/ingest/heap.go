package ingest

import "container/heap"

// heapItem is an element of an indexedHeap.
type heapItem[T any] interface {
	before(T) bool
	heapIndex() *int // points to notInHeap while the item is in no heap
}

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

// indexedHeap is a heap whose items store their index, so that any item can be removed. The first element is the
// minimum.
type indexedHeap[T heapItem[T]] []T

func (h *indexedHeap[T]) push(item T)   { heap.Push(h, item) }
func (h *indexedHeap[T]) pop() T        { return heap.Pop(h).(T) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *item.heapIndex()) }

// Len implements heap.Interface.
func (h indexedHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h indexedHeap[T]) Less(a, b int) bool { return h[a].before(h[b]) }

// Swap implements heap.Interface.
func (h indexedHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	*h[a].heapIndex() = a
	*h[b].heapIndex() = b
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.heapIndex() = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	clear((*h)[last:])
	*h = (*h)[:last]
	*item.heapIndex() = notInHeap
	return item
}

package schedule

import "container/heap"

// indexedHeap is a priority queue whose items store their own positions, so that any item can be
// removed or moved in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns a pointer to an item's stored position, which is notQueued while the item
	// is not in the queue.
	position func(T) *int
}

// notQueued is the position of an item that is not in the queue.
const notQueued = -1

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (o *indexedHeap[T]) Len() int           { return len(o.items) }
func (o *indexedHeap[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

func (o *indexedHeap[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	*o.position(o.items[i]) = i
	*o.position(o.items[j]) = j
}

func (o *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*o.position(item) = len(o.items)
	o.items = append(o.items, item)
}

func (o *indexedHeap[T]) Pop() any {
	last := len(o.items) - 1
	item := o.items[last]
	var zero T
	o.items[last] = zero
	o.items = o.items[:last]
	*o.position(item) = notQueued
	return item
}

func (o *indexedHeap[T]) add(item T) { heap.Push(o, item) }

func (o *indexedHeap[T]) remove(item T) {
	if i := *o.position(item); i != notQueued {
		heap.Remove(o, i)
	}
}

func (o *indexedHeap[T]) fix(item T) {
	if i := *o.position(item); i != notQueued {
		heap.Fix(o, i)
	}
}

// first returns the first item; the zero value if there is none.
func (o *indexedHeap[T]) first() T {
	if len(o.items) == 0 {
		var zero T
		return zero
	}
	return o.items[0]
}

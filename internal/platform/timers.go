package platform

import (
	"container/heap"

	"cressknot/internal/fleet"
)

// timerQueue holds the balancer's timers, ordered by due time.
type timerQueue struct{ timers timerHeap }

type timer struct {
	due fleet.Time
	id  fleet.TimerID
}

func (q *timerQueue) set(due fleet.Time, id fleet.TimerID) {
	heap.Push(&q.timers, timer{due: due, id: id})
}

// fire removes the timers that are due and appends a TimerFired event for each to events, the earliest first.
func (q *timerQueue) fire(now fleet.Time, events []fleet.Event) []fleet.Event {
	for len(q.timers) > 0 && q.timers[0].due <= now {
		fired := heap.Pop(&q.timers).(timer)
		events = append(events, fleet.TimerFired{ID: fired.id})
	}
	return events
}

// next returns the due time of the earliest timer, or 0 if none is set.
func (q *timerQueue) next() fleet.Time {
	if len(q.timers) == 0 {
		return 0
	}
	return q.timers[0].due
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

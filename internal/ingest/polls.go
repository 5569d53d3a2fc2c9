package ingest

import (
	"container/heap"
	"math"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

// watched is a proxy that is polled.
type watched struct {
	id    fleet.ProxyID
	zone  fleet.ZoneID
	next  fleet.Time // when it is to be asked again
	place int        // in polls, -1: a poll is on its way
	sent  fleet.Time
	rows  int // of its last reading
	read  bool
	since fleet.Time // of the last reading
	met   []counters.ServerCounters
	came  []counters.ClassCounters
	mute  bool // told as not answering
}

func (w *watched) of(server fleet.ServerID) *counters.ServerCounters {
	for int(server) >= len(w.met) {
		w.met = append(w.met, make([]counters.ServerCounters, max(16, int(server)+1-len(w.met)))...)
	}
	return &w.met[server]
}

// Join begins to poll a proxy. Those of a zone are spread evenly over the period, so that each second brings news of each
// server from each zone, however long a period has become. A proxy that comes back goes on where its counters stood, unless
// it is fresh: then they began anew.
func (k *Pipeline) Join(now fleet.Time, id fleet.ProxyID, zone fleet.ZoneID, fresh bool) {
	k.Leave(id)
	rank := 0
	for _, w := range k.proxies {
		if w.zone == zone {
			rank++
		}
	}
	w := k.left[id]
	if delete(k.left, id); w == nil || fresh {
		w = &watched{id: id}
	}
	_, part := math.Modf(float64(rank)*golden + float64(zone)*golden*golden)
	w.zone, w.next, w.sent, w.mute = zone, now+k.period().Scale(part), 0, false
	k.proxies[id] = w
	k.zone(zone).proxies++
	k.rows += w.rows
	k.polls.push(w)
}

// Leave ends that. What was summed is told all the same.
func (k *Pipeline) Leave(id fleet.ProxyID) {
	w := k.proxies[id]
	if w == nil {
		return
	}
	if delete(k.proxies, id); w.place >= 0 {
		k.polls.remove(w)
	}
	k.zone(w.zone).proxies--
	k.rows -= w.rows
	k.left[id] = w
}

// period tells how often each proxy is asked: as the site says, or less often where all counters would be more rows than
// may be asked for. As counters are sums, a longer period loses nothing but time.
func (k *Pipeline) period() fleet.Time {
	need := fleet.Second.Scale(float64(k.rows) / (rowsPerS * k.pace.polls()))
	return max(k.site.ReportInterval, need)
}

// Polls gives the proxies to be asked now, and when to call again. A proxy that has not answered is not asked again until
// its answer, or its end, came.
func (k *Pipeline) Polls(now fleet.Time) (ask []fleet.ProxyID, wake fleet.Time) {
	k.at = max(k.at, now)
	period := k.period()
	for len(k.polls) > 0 && k.polls[0].next <= now {
		w := k.polls.pop()
		w.sent = now
		if w.next += period; w.next <= now { // asked late
			w.next += ((now-w.next)/period + 1) * period
		}
		ask = append(ask, w.id)
	}
	if len(k.polls) > 0 {
		wake = k.polls[0].next
	}
	return ask, wake
}

func (k *Pipeline) answered(w *watched, r *counters.Reading) {
	n := max(len(r.Entries), len(r.Rows)) // "show stat" has a row for each class
	k.rows += n - w.rows
	w.rows = n
	if w.place < 0 {
		if period := k.period(); w.next <= k.at { // answered late: it keeps its place in the period, as all answers do that come at once after a stall
			w.next += ((k.at-w.next)/period + 1) * period
		}
		k.polls.push(w)
	}
}

// placed is what a queue holds: it knows its order and its place.
type placed[T any] interface {
	before(T) bool
	at() *int // its place, -1: it is in none
}

// queue is a heap of what waits, the first one first.
type queue[T placed[T]] []T

func (q queue[T]) Len() int           { return len(q) }
func (q queue[T]) Less(a, b int) bool { return q[a].before(q[b]) }
func (q queue[T]) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	*q[a].at(), *q[b].at() = a, b
}

// Push and Pop are the library's; push, pop and remove are what to call.
func (q *queue[T]) Push(x any) {
	one := x.(T)
	*one.at() = len(*q)
	*q = append(*q, one)
}

// Pop takes the last one off.
func (q *queue[T]) Pop() any {
	last := len(*q) - 1
	one := (*q)[last]
	clear((*q)[last:])
	*q, *one.at() = (*q)[:last], -1
	return one
}

func (q *queue[T]) push(one T)   { heap.Push(q, one) }
func (q *queue[T]) pop() T       { return heap.Pop(q).(T) }
func (q *queue[T]) remove(one T) { heap.Remove(q, *one.at()) }

func (w *watched) at() *int { return &w.place }

// before orders proxies by when they are asked next.
func (w *watched) before(o *watched) bool {
	return w.next < o.next || w.next == o.next && w.id < o.id
}

func (l *line) at() *int { return &l.place }

// before orders lines by when they may be told; of those due at once the order is fixed.
func (l *line) before(o *line) bool {
	switch {
	case l.dueAt != o.dueAt:
		return l.dueAt < o.dueAt
	case l.usage != o.usage:
		return o.usage
	case l.server != o.server:
		return l.server < o.server
	case l.zone != o.zone:
		return l.zone < o.zone
	case l.key.proxy != o.key.proxy:
		return l.key.proxy < o.key.proxy
	}
	return l.key.class < o.key.class
}

package intake

import (
	"container/heap"
	"math"

	"cressknot/fleet"
	"cressknot/reports"
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
	at    fleet.Time // of the last reading
	met   []reports.Met
	came  []reports.Came
	mute  bool // told as not answering
}

func (w *watched) of(server fleet.ServerID) *reports.Met {
	for int(server) >= len(w.met) {
		w.met = append(w.met, make([]reports.Met, max(16, int(server)+1-len(w.met)))...)
	}
	return &w.met[server]
}

// Join begins to poll a proxy. Those of a zone are spread evenly over the period, so that each second brings news of each
// server from each zone, however long a period has become. A proxy that comes back goes on where its counters stood, unless
// it is fresh: then they began anew.
func (k *Intake) Join(now fleet.Time, id fleet.ProxyID, zone fleet.ZoneID, fresh bool) {
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
	heap.Push(&k.polls, w)
}

// Leave ends that. What was summed is told all the same.
func (k *Intake) Leave(id fleet.ProxyID) {
	w := k.proxies[id]
	if w == nil {
		return
	}
	if delete(k.proxies, id); w.place >= 0 {
		heap.Remove(&k.polls, w.place)
	}
	k.zone(w.zone).proxies--
	k.rows -= w.rows
	k.left[id] = w
}

// period tells how often each proxy is asked: as the site says, or less often where all counters would be more rows than
// may be asked for. As counters are sums, a longer period loses nothing but time.
func (k *Intake) period() fleet.Time {
	need := fleet.Second.Scale(float64(k.rows) / (rowsPerS * k.pace.polls()))
	return max(k.site.ReportEvery, need)
}

// Polls gives the proxies to be asked now, and when to call again. A proxy that has not answered is not asked again until
// its answer, or its end, came.
func (k *Intake) Polls(now fleet.Time) (ask []fleet.ProxyID, wake fleet.Time) {
	k.at = max(k.at, now)
	period := k.period()
	for len(k.polls) > 0 && k.polls[0].next <= now {
		w := heap.Pop(&k.polls).(*watched)
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

func (k *Intake) answered(w *watched, r *reports.Reading) {
	n := max(len(r.Lines), len(r.Rows)) // "show stat" has a row for each class
	k.rows += n - w.rows
	w.rows = n
	if w.place < 0 {
		if period := k.period(); w.next <= k.at { // answered late: it keeps its place in the period, as all answers do that come at once after a stall
			w.next += ((k.at-w.next)/period + 1) * period
		}
		heap.Push(&k.polls, w)
	}
}

// polls is a heap of the proxies that are not being asked, by when they are next.
type polls []*watched

func (p polls) Len() int { return len(p) }
func (p polls) Less(a, b int) bool {
	return p[a].next < p[b].next || p[a].next == p[b].next && p[a].id < p[b].id
}
func (p polls) Swap(a, b int) {
	p[a], p[b] = p[b], p[a]
	p[a].place, p[b].place = a, b
}
func (p *polls) Push(x any) {
	w := x.(*watched)
	w.place = len(*p)
	*p = append(*p, w)
}
func (p *polls) Pop() any {
	last := len(*p) - 1
	w := (*p)[last]
	(*p)[last] = nil
	*p, w.place = (*p)[:last], -1
	return w
}

// dues is a heap of the lines that wait, by when each may be told; of those due at once the order is fixed.
type dues []*line

func (d dues) Len() int { return len(d) }
func (d dues) Less(a, b int) bool {
	x, y := d[a], d[b]
	switch {
	case x.dueAt != y.dueAt:
		return x.dueAt < y.dueAt
	case x.usage != y.usage:
		return y.usage
	case x.server != y.server:
		return x.server < y.server
	case x.zone != y.zone:
		return x.zone < y.zone
	case x.key.proxy != y.key.proxy:
		return x.key.proxy < y.key.proxy
	}
	return x.key.class < y.key.class
}
func (d dues) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].place, d[b].place = a, b
}
func (d *dues) Push(x any) {
	l := x.(*line)
	l.place = len(*d)
	*d = append(*d, l)
}
func (d *dues) Pop() any {
	last := len(*d) - 1
	l := (*d)[last]
	(*d)[last] = nil
	*d, l.place = (*d)[:last], -1
	return l
}

func (d *dues) push(l *line) { heap.Push(d, l) }
func (d *dues) pop() *line   { return heap.Pop(d).(*line) }

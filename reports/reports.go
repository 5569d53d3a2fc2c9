// Package reports turns readings of proxies' counters into the sums that the module hears: what the proxies of
// a zone met at each server, and what came to each proxy, as differences of two readings. It decides which sums
// are told when more wait than the site's lines a second, and which reading a restart makes worthless. It holds
// no clock and no socket.
package reports

import (
	"math"
	"slices"

	"cressknot/fleet"
	"cressknot/steer"
)

const (
	impossible = 1 << 40                // a counter that grows by so much between two readings is no counter
	burstLines = 1                      // seconds of the site's lines that may be told at once
	settleSpan = 10 * fleet.Millisecond // shorter spans give no rate worth telling
)

// Met is what a proxy counts of one server over all classes, since the proxy's start.
type Met struct {
	Tries, Failed uint64 // tries that ended; those without a good answer
	Good          uint64 // good answers that GoodMs is the sum of
	GoodMs        uint64 // milliseconds
	Load          [4]float32
	HasLoad       bool
}

// Came is what a proxy counts of one class, since the proxy's start.
type Came struct {
	Visits   uint64 // that came, refused ones too
	NoAnswer uint64 // let in and never answered
}

// Reading is one look at a proxy's counters.
type Reading struct {
	At      fleet.Time // stamped by the loop that takes it in
	Servers map[fleet.ServerID]Met
	Classes []Came
	Lines   []steer.SeenLine // what the proxy holds; may be empty
}

type pair struct {
	server fleet.ServerID
	zone   fleet.ZoneID
}

type usageOf struct {
	proxy fleet.ProxyID
	class fleet.ClassID
}

// sum is what waits to be told of a line.
type sum struct {
	tries, failed uint64
	good, goodMs  uint64
	load          [4]float32
	hasLoad       bool
	since, until  fleet.Time
	told          fleet.Time
	listed        bool // waits in the order
}

type watched struct {
	zone fleet.ZoneID
	last *Reading
	next fleet.Time // when it is to be polled again
	out  bool       // a poll is on its way
	sent fleet.Time
}

// Gather holds the readings of a governor's proxies.
type Gather struct {
	site    fleet.Site
	proxies map[fleet.ProxyID]*watched
	met     map[pair]*sum
	came    map[usageOf]*sum
	order   []any // pairs and usages that wait, the oldest first
	credit  float64
	at      fleet.Time
	resets  uint64
}

// New makes an empty gather for a site.
func New(site fleet.Site) *Gather {
	return &Gather{site: site, proxies: map[fleet.ProxyID]*watched{}, met: map[pair]*sum{}, came: map[usageOf]*sum{}}
}

// Join begins to poll a proxy. Polls are spread evenly over the period by the proxy's id, so that a governor with
// many proxies asks at an even pace.
func (g *Gather) Join(now fleet.Time, id fleet.ProxyID, zone fleet.ZoneID) {
	const golden = 0.6180339887498949 // spreads any run of ids evenly
	_, part := math.Modf(float64(id) * golden)
	g.proxies[id] = &watched{zone: zone, next: now + g.site.ReportEvery.Scale(part)}
}

// Leave ends that. What was summed is told all the same.
func (g *Gather) Leave(id fleet.ProxyID) { delete(g.proxies, id) }

// Polls gives the proxies to be asked now, and when to call again. A proxy that has not answered is not asked
// again until its answer, or its end, came.
func (g *Gather) Polls(now fleet.Time) (ask []fleet.ProxyID, wake fleet.Time) {
	for id, w := range g.proxies {
		if !w.out && now >= w.next {
			w.out, w.sent = true, now
			if w.next += g.site.ReportEvery; w.next <= now { // asked late: keep the place in the period
				w.next += (now - w.next) / g.site.ReportEvery * g.site.ReportEvery
			}
			ask = append(ask, id)
		}
		if !w.out && (wake == 0 || w.next < wake) {
			wake = w.next
		}
	}
	slices.Sort(ask)
	return ask, wake
}

// Hear takes a reading in.
func (g *Gather) Hear(id fleet.ProxyID, r *Reading) {
	w := g.proxies[id]
	if w == nil {
		return
	}
	last := w.last
	w.last, w.out = r, false
	if last == nil || r.At < last.At+settleSpan {
		return // the first one is where counting starts
	}
	if g.restarted(last, r) {
		g.resets++
		return
	}
	ids := make([]fleet.ServerID, 0, len(r.Servers))
	for s := range r.Servers {
		ids = append(ids, s)
	}
	slices.Sort(ids)
	for _, s := range ids {
		m, old := r.Servers[s], last.Servers[s]
		if m.Tries == old.Tries {
			continue
		}
		at := pair{s, w.zone}
		line := g.met[at]
		if line == nil {
			line = &sum{since: last.At}
			g.met[at] = line
		}
		g.add(line, at, last.At, r.At)
		line.tries += m.Tries - old.Tries
		line.failed += min(m.Failed-old.Failed, m.Tries-old.Tries)
		line.good += m.Good - old.Good
		line.goodMs += m.GoodMs - old.GoodMs
		if m.HasLoad {
			line.load, line.hasLoad = m.Load, true
		}
	}
	for c := range r.Classes {
		if c >= len(last.Classes) {
			break
		}
		at := usageOf{id, fleet.ClassID(c)}
		line := g.came[at]
		if line == nil {
			line = &sum{since: last.At}
			g.came[at] = line
		}
		g.add(line, at, last.At, r.At)
		line.tries += r.Classes[c].Visits - last.Classes[c].Visits
		line.failed += r.Classes[c].NoAnswer - last.Classes[c].NoAnswer
	}
}

func (g *Gather) add(line *sum, at any, from, until fleet.Time) {
	if !line.listed {
		line.listed = true
		g.order = append(g.order, at)
	}
	if line.since == 0 || line.told > 0 && line.since < line.told-2*g.site.ReportEvery {
		line.since = from
	}
	line.until = max(line.until, until)
}

// restarted tells whether any counter fell or jumped past belief: then the difference means nothing.
func (g *Gather) restarted(last, r *Reading) bool {
	odd := func(now, was uint64) bool { return now < was || now-was > impossible }
	for s, m := range r.Servers {
		o := last.Servers[s]
		if odd(m.Tries, o.Tries) || odd(m.Failed, o.Failed) || odd(m.Good, o.Good) || odd(m.GoodMs, o.GoodMs) {
			return true
		}
	}
	for c := range min(len(r.Classes), len(last.Classes)) {
		if odd(r.Classes[c].Visits, last.Classes[c].Visits) || odd(r.Classes[c].NoAnswer, last.Classes[c].NoAnswer) {
			return true
		}
	}
	return false
}

// Tell gives what the module hears now: the lines that wait longest, as many as the site's lines a second allow;
// the rest adds up. Wake is when more may be told, 0 with nothing waiting.
func (g *Gather) Tell(now fleet.Time) (events []fleet.Event, wake fleet.Time) {
	pace := max(1, g.site.ReportsPerS)
	g.credit = min(burstLines*pace, g.credit+max(0, (now-g.at).Seconds())*pace)
	g.at = max(g.at, now)
	n := 0
	kept := g.order[:0]
	for i, at := range g.order {
		if g.credit < 1 {
			kept = append(kept, g.order[i:]...)
			break
		}
		line := g.line(at)
		if line.told > 0 && now < line.told+g.site.ReportEvery*3/4 { // one of each kind a period
			kept = append(kept, at)
			continue
		}
		g.credit--
		n++
		span := max(settleSpan, line.until-line.since)
		switch at := at.(type) {
		case pair:
			h := fleet.Heard{Server: at.server, Zone: at.zone, Tries: clip(line.tries), Failed: clip(line.failed), Span: span}
			if line.good > 0 {
				h.Latency = fleet.Time(float64(line.goodMs) / float64(line.good) * float64(fleet.Millisecond))
			}
			if line.hasLoad {
				h.Load = slices.Clone(line.load[:len(g.site.LoadFields)])
			}
			events = append(events, h)
		case usageOf:
			if _, here := g.proxies[at.proxy]; here {
				events = append(events, fleet.Usage{Proxy: at.proxy, Class: at.class, Visits: clip(line.tries),
					NoAnswer: clip(line.failed), Span: span})
			}
		}
		*line = sum{since: line.until, until: line.until, told: now}
	}
	clear(g.order[len(kept):])
	g.order = kept
	if len(g.order) > 0 {
		wake = now + max(10*fleet.Millisecond, fleet.Second.Scale(1/pace))
	}
	return events, wake
}

func (g *Gather) line(at any) *sum {
	switch at := at.(type) {
	case pair:
		return g.met[at]
	case usageOf:
		return g.came[at]
	}
	return nil
}

func clip(n uint64) uint32 { return uint32(min(n, math.MaxUint32)) }

// Waiting tells how many lines wait to be told; Resets how many readings a restart made worthless.
func (g *Gather) Waiting() int { return len(g.order) }

// Resets tells how many readings were thrown away because counters fell.
func (g *Gather) Resets() uint64 { return g.resets }

// Heard gives the share of failed tries in what waits of a server, for operators.
func (g *Gather) Heard(server fleet.ServerID) (tries, failed uint64) {
	for at, line := range g.met {
		if at.server == server {
			tries, failed = tries+line.tries, failed+line.failed
		}
	}
	return tries, failed
}

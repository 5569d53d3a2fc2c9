// Package intake stands between what reports and what decides: polls of proxies and reports pushed by servers come in as
// they like, and what the module hears leaves in its budget. It decides which reports are kept when more come than can be
// told, how they fold and age, whom to believe, when a source is silent and what that means, and what is shed when turns
// take too long. All of it is pure: no I/O, no clock; only Box may be called from several goroutines.
// docs/design/intake.md tells the ways weighed.
package ingest

import (
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	rowsPerS    = 500_000                // rows of counters a second that are asked for: a third of a core reads them
	impossible  = 1 << 40                // a counter that grows by so much between two looks is no counter
	settleSpan  = 10 * fleet.Millisecond // shorter spans give no rate worth telling
	burstLines  = 1                      // seconds of the site's lines that may be told at once
	newsPeriods = 2                      // periods of polls: of a longer span only so much is news
	tellGap     = 3                      // quarters of a period between two tellings of one line
	loadPeriods = 3                      // periods after which a pushed load is too old to be told
	golden      = 0.6180339887498949     // spreads any run of numbers evenly
)

// Record is what a source says of itself: sums since its start, as the newest makes all before it needless.
type Record struct {
	Server        fleet.ServerID
	Started       fleet.Time // of the sums; 0: not told
	Stated        fleet.Time // when the source took them; 0: not told
	Arrived       fleet.Time
	Attempts      uint64 // visits that it ended
	Failures      uint64
	Successes     uint64 // those that GoodMs is the sum of
	SuccessMillis uint64
	Load          [4]float32
	HasLoad       bool
}

// Totals tell where the sums of tries went; Counted is what all others add up to.
type Totals struct {
	Counted uint64 // differences of counters
	Told    uint64 // heard by the module
	Waiting uint64 // in lines that wait
	Aged    uint64 // too old to be news when they came
	Unheard uint64 // of servers that were gone by the time, or proxies that left
}

// Pipeline holds it all for one governor.
type Pipeline struct {
	site    fleet.Site
	at      fleet.Time
	proxies map[fleet.ProxyID]*watched
	left    map[fleet.ProxyID]*watched // that may come back with their counters
	polls   queue[*watched]
	rows    int                // of the last readings of all proxies
	met     []map[uint32]*line // by zone, then by server
	cover   []cover            // by zone
	came    map[usageKey]*line // what came to proxies
	due     queue[*line]       // lines that wait, by when they may be told
	servers []standing         // by server
	totals  Totals
	credit  float64
	paid    fleet.Time
	resets  uint64
	pace    Pace
	looked  fleet.Time
	blind   bool
	pushed  bool // load figures come from what servers push
	notices []Notice
	trust   Trust
	series  func(CounterDelta) // may be nil
}

type usageKey struct {
	proxy fleet.ProxyID
	class fleet.ClassID
}

// cover is how much time of a zone's proxies has been read. A line's span is what of it came since the line was told last,
// over the proxies: so a rate is right from the first telling on, whichever of the proxies had their turn by then. Taken from clocks,
// the first lines of a start held the tries of some proxies over a time for all, the fleet looked busy and handled
// little, and classes were squeezed.
type cover struct {
	sum     fleet.Time
	proxies int
}

// line is one line of sums that waits to be told: what the proxies of a zone met at a server, or what came to a proxy.
type line struct {
	usage         bool
	server        fleet.ServerID
	zone          fleet.ZoneID
	key           usageKey
	tries, failed uint64
	good, goodMs  uint64
	load          [4]float32
	hasLoad       bool
	since, until  fleet.Time // the span of what came to a proxy
	cover         fleet.Time // of the zone, when it was told last
	told          fleet.Time
	dueAt         fleet.Time
	dirty         fleet.Time // since when it waits
	place         int        // in due, -1: doesn't wait
}

// New makes an empty intake for a site.
func New(site fleet.Site) *Pipeline {
	k := &Pipeline{site: site, proxies: map[fleet.ProxyID]*watched{}, left: map[fleet.ProxyID]*watched{}, came: map[usageKey]*line{}, trust: newTrust(), pace: newPace()}
	for range max(1, len(site.Zones)) {
		k.met, k.cover = append(k.met, map[uint32]*line{}), append(k.cover, cover{})
	}
	return k
}

// PushedLoads takes load figures from what servers push, before what their answers told.
func (k *Pipeline) PushedLoads() { k.pushed = true }

// Keep hands the sums of each server and zone to a series as they are folded.
func (k *Pipeline) Keep(series func(CounterDelta)) { k.series = series }

// CounterDelta is what a proxy met at a server over a span, for time series.
type CounterDelta struct {
	At, Span                 fleet.Time
	Server                   fleet.ServerID
	Zone                     fleet.ZoneID
	Proxy                    fleet.ProxyID
	Attempts, Failures       uint64
	Successes, SuccessMillis uint64
	Load                     [4]float32
	HasLoad                  bool
}

// Polled takes a reading of a proxy in. It keeps nothing of it.
func (k *Pipeline) Polled(now fleet.Time, id fleet.ProxyID, r *counters.Reading) {
	k.at = max(k.at, now)
	w := k.proxies[id]
	if w == nil {
		return
	}
	k.answered(w, r)
	last, first := w.since, !w.read
	w.since, w.read = r.At, true
	if !first && r.At < last+settleSpan {
		w.since = last
		return
	}
	if first || k.restarted(w, r) { // where counting starts
		if !first {
			k.resets++
		}
		clear(w.met)
		for i := range r.Rows {
			*w.of(r.Rows[i].Server) = r.Rows[i].ServerCounters
		}
		w.came = append(w.came[:0], r.Classes...)
		return
	}
	span := r.At - last
	keep, share := k.news(span)
	zone := k.zone(w.zone)
	before := zone.sum
	zone.sum += keep
	for i := range r.Rows {
		row := &r.Rows[i]
		old := w.of(row.Server)
		if row.Attempts == old.Attempts {
			old.Successes, old.SuccessMillis = row.Successes, row.SuccessMillis
			continue
		}
		d := CounterDelta{At: r.At, Span: span, Server: row.Server, Zone: w.zone, Proxy: id, Attempts: row.Attempts - old.Attempts,
			Successes: row.Successes - old.Successes, SuccessMillis: row.SuccessMillis - old.SuccessMillis, Load: row.Load, HasLoad: row.HasLoad}
		d.Failures = min(row.Failures-old.Failures, d.Attempts)
		*old = row.ServerCounters
		k.totals.Counted += d.Attempts
		if k.series != nil {
			k.series(d)
		}
		k.seen(&d)
		if share < 1 {
			d.Attempts, d.Failures, d.Successes, d.SuccessMillis = k.part(d.Attempts, share), scale(d.Failures, share), scale(d.Successes, share), scale(d.SuccessMillis, share)
			d.Failures = min(d.Failures, d.Attempts)
		}
		l := k.lineOf(row.Server, w.zone)
		if least := zone.sum - fleet.Time(zone.proxies)*newsPeriods*max(k.site.ReportInterval, k.period()); l.tries == 0 {
			if l.told == 0 {
				l.cover = before
			}
			l.cover = max(l.cover, least)
		}
		k.dirty(l, r.At-keep, r.At)
		l.tries, l.failed, l.good, l.goodMs = l.tries+d.Attempts, l.failed+d.Failures, l.good+d.Successes, l.goodMs+d.SuccessMillis
		k.totals.Waiting += d.Attempts
		if row.HasLoad {
			l.load, l.hasLoad = row.Load, true
		}
	}
	for c := range min(len(r.Classes), len(w.came)) {
		at := usageKey{id, fleet.ClassID(c)}
		l := k.came[at]
		if l == nil {
			l = &line{usage: true, key: at, place: -1}
			k.came[at] = l
		}
		k.dirty(l, r.At-span, r.At)
		l.tries += r.Classes[c].Requests - w.came[c].Requests
		l.failed += r.Classes[c].Unanswered - w.came[c].Unanswered
	}
	w.came = append(w.came[:0], r.Classes...)
}

// news tells how much of a span is news: sums that gathered while a proxy was out of reach say little of now, and would
// read as a crowd if they were told as one period's.
func (k *Pipeline) news(span fleet.Time) (keep fleet.Time, share float64) {
	if most := newsPeriods * max(k.site.ReportInterval, k.period()); span > most {
		return most, float64(most) / float64(span)
	}
	return span, 1
}

func scale(n uint64, share float64) uint64 { return uint64(float64(n)*share + 0.5) }

// part scales a sum and books the rest as aged, so that totals add up.
func (k *Pipeline) part(n uint64, share float64) uint64 {
	left := min(n, scale(n, share))
	k.totals.Aged += n - left
	return left
}

func (k *Pipeline) zone(id fleet.ZoneID) *cover { return &k.cover[min(int(id), len(k.cover)-1)] }

func (k *Pipeline) lineOf(server fleet.ServerID, zone fleet.ZoneID) *line {
	of := k.met[min(int(zone), len(k.met)-1)]
	l := of[uint32(server)]
	if l == nil {
		l = &line{server: server, zone: zone, place: -1}
		of[uint32(server)] = l
	}
	return l
}

// dirty lets a line wait to be told, if it does not yet.
func (k *Pipeline) dirty(l *line, from, until fleet.Time) {
	if l.place < 0 {
		l.dirty = k.at
		if l.dueAt = k.at; l.told > 0 { // one of each kind a period
			l.dueAt = max(l.dueAt, l.told+k.site.ReportInterval*tellGap/4)
		}
		k.due.push(l)
		if l.since = from; l.until > from && l.told > 0 && l.until <= until {
			l.since = l.until // goes on where the last telling ended
		}
	}
	l.since, l.until = min(l.since, until), max(l.until, until)
}

// restarted tells whether any counter fell or jumped past belief: then the difference means nothing.
func (k *Pipeline) restarted(w *watched, r *counters.Reading) bool {
	odd := func(now, was uint64) bool { return now < was || now-was > impossible }
	for i := range r.Rows {
		m, o := &r.Rows[i], w.of(r.Rows[i].Server)
		if odd(m.Attempts, o.Attempts) || odd(m.Failures, o.Failures) || odd(m.Successes, o.Successes) || odd(m.SuccessMillis, o.SuccessMillis) {
			return true
		}
	}
	for c := range min(len(r.Classes), len(w.came)) {
		if odd(r.Classes[c].Requests, w.came[c].Requests) || odd(r.Classes[c].Unanswered, w.came[c].Unanswered) {
			return true
		}
	}
	return false
}

// Pushed takes what a server says of itself. Its sums go to its standing only: proxies count the same visits.
func (k *Pipeline) Pushed(now fleet.Time, r Record) {
	k.at = max(k.at, now)
	s := k.standing(r.Server)
	switch k.trust.check(now, s, &r) {
	case stale, disbelieved:
		return
	}
	if gap := r.Arrived - s.pushed; s.pushed > 0 && gap > 0 {
		s.every = gapOf(s.every, gap)
	}
	s.served, s.erred = s.served+r.Attempts-s.last.Attempts, s.erred+r.Failures-s.last.Failures
	s.last, s.pushed = r, r.Arrived
}

// age tells how old a server's newest report is, by its own clock as far as that was learned.
func (k *Pipeline) age(s *standing, now fleet.Time) fleet.Time {
	age := now - s.last.Arrived
	if s.last.Stated > 0 {
		age += max(0, s.last.Arrived-s.last.Stated-s.skew)
	}
	return age
}

// Tell gives what the module hears now: the lines that have waited longest, as many as the site's lines a second allow;
// the rest adds up. Wake is when more may be told, 0 with nothing waiting. So a line waits no longer than all lines that
// wait take at that pace, whoever sends how much.
func (k *Pipeline) Tell(now fleet.Time) (events []fleet.Event, wake fleet.Time) {
	k.at = max(k.at, now)
	pace := max(1, k.site.ReportsPerSecond)
	k.credit = min(burstLines*pace, k.credit+max(0, (now-k.paid).Seconds())*pace)
	k.paid = max(k.paid, now)
	for k.credit >= 1 && len(k.due) > 0 && k.due[0].dueAt <= now {
		l := k.due.pop()
		if e := k.tell(l, now); e != nil {
			k.credit--
			events = append(events, e)
		}
	}
	if len(k.due) > 0 {
		wake = max(k.due[0].dueAt, now+max(10*fleet.Millisecond, fleet.Second.Scale(1/pace)))
	}
	return events, wake
}

func (k *Pipeline) tell(l *line, now fleet.Time) (e fleet.Event) {
	if l.usage {
		span := max(settleSpan, l.until-l.since)
		if _, here := k.proxies[l.key.proxy]; here {
			e = fleet.DemandReport{Proxy: l.key.proxy, Class: l.key.class, Requests: clip(l.tries), Unanswered: clip(l.failed), Interval: span}
		} else {
			delete(k.came, l.key)
		}
	} else {
		k.totals.Waiting -= l.tries
		if s := k.standing(l.server); s.gone { // nothing can be made of it any more
			k.totals.Unheard += l.tries
		} else {
			k.totals.Told += l.tries
			zone := k.zone(l.zone)
			span := max(settleSpan, (zone.sum-l.cover)/fleet.Time(max(1, zone.proxies)))
			h := fleet.OutcomeReport{Server: l.server, Zone: l.zone, Attempts: clip(l.tries), Failures: clip(l.failed), Interval: span}
			if l.good > 0 {
				h.Latency = fleet.Time(float64(l.goodMs) / float64(l.good) * float64(fleet.Millisecond))
			}
			if load, told := k.loadOf(l, s, now); told {
				h.Load = append([]float32(nil), load[:len(k.site.LoadFields)]...)
			}
			e = h
		}
	}
	if !l.usage {
		l.cover = k.zone(l.zone).sum
	}
	l.tries, l.failed, l.good, l.goodMs, l.hasLoad, l.told = 0, 0, 0, 0, false, now
	return e
}

// loadOf gives the load that goes with what is told of a server: what it pushed, while that is fresh, else what its answers
// told. A load is told with the tries that made it: told before them, while tries were still on their way, it read as
// a fleet that handles nothing and is busy, and classes were squeezed on a quiet day. Where all is too old, none is told:
// that a silent server is idle would be as wrong as that it is as busy as then.
func (k *Pipeline) loadOf(l *line, s *standing, now fleet.Time) (load [4]float32, told bool) {
	if k.pushed && s.pushed > 0 && s.last.HasLoad && k.age(s, now) <= loadPeriods*k.site.ReportInterval {
		return s.last.Load, true
	}
	return l.load, l.hasLoad
}

func clip(n uint64) uint32 { return uint32(min(n, 1<<32-1)) }

// Waiting tells how many lines wait to be told, and for how long the oldest has.
func (k *Pipeline) Waiting(now fleet.Time) (lines int, oldest fleet.Time) {
	for _, l := range k.due {
		oldest = max(oldest, now-l.dirty)
	}
	return len(k.due), oldest
}

// Resets tells how many readings were thrown away because counters fell or jumped.
func (k *Pipeline) Resets() uint64 { return k.resets }

// Totals tell where the tries went that proxies counted.
func (k *Pipeline) Totals() Totals { return k.totals }

// Heard gives what waits of a server, for operators.
func (k *Pipeline) Heard(server fleet.ServerID) (tries, failed uint64) {
	for _, of := range k.met {
		if l := of[uint32(server)]; l != nil {
			tries, failed = tries+l.tries, failed+l.failed
		}
	}
	return tries, failed
}

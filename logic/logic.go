// Package logic decides which servers the proxies of a fleet send their visits to.
//
// A host makes a Governor with New(site, seed) and calls Step(now, events) for every batch of events; Step
// gives the orders to carry out at that time, in their order. Site, events and orders live in package fleet.
// The module reads nothing else: no clock, no file, no network; the same events give the same orders.
//
// Step observes samples, judges servers once an interval, works out what is wanted (tables, withdrawals,
// levels, joins), and reconcile alone works out the difference to what is out and emits it.
package logic

import (
	"fmt"
	"math"
	"slices"

	"cressknot/fleet"
)

const (
	interval    = 2 * fleet.Second  // the design's shortest measurement interval; weights change once in it
	heartbeat   = fleet.Second / 4  // alarm pace: an eighth of the interval, for joins and cold guards
	look        = 8 * fleet.Second  // age of samples that count: some 25 tries a server, noise near a fifth
	keep        = 128               // samples kept a server: two reports a second and zone over look
	usageKeep   = 6                 // samples kept a proxy and class: some seconds of demand
	slack       = 1.1               // target factor: density asked may pass the fleet's mean by a tenth
	busyMost    = 0.85              // busy share beyond which waiting outgrows the work itself
	lateFactor  = 1.5               // the design's bound of late, over the best quiet latency
	quarter     = 0.25              // the design's weight for fresh, returning and lowest halved servers
	giveBack    = 0.1               // the design's part of weight that returns an on-time interval
	zeroedMost  = 1.0 / 3           // the design's most servers of a class held at zero
	failShare   = 0.25              // failed share that tells a sick server from chance errors
	failLeast   = 3                 // failures, so that one or two are never a verdict
	hangTries   = 8                 // tries unheard of: chance alone does it once in 3000 judgements
	enough      = 8                 // good tries for a latency worth keeping
	longestHold = 16 * fleet.Second // doubling time at zero ends here: 8 intervals
	settle      = 2 * fleet.Second  // time until reports can speak of a change: travel and report delay
	takeOver    = 4 * fleet.Second  // a restarted governor watches so long before it lays its own tables
	worstPause  = 3 * fleet.Second  // a proxy may stand still so long between a try and its repeat
	coldSafe    = 0.8               // part of what a cold server surely can do that it is sent
	leastChange = 0.03              // relative change of a weight worth a line
	pace        = 0.25              // part of the stated channel pace we count on: it may be slow for a while
	roomWeights = 0.4               // part of the backlog that ordinary changes may fill
	roomJoins   = 0.6               // part that joins may fill; the rest is for withdrawals and cold guards
	spareWrites = 6                 // messages to a proxy kept back for urgent orders
	askAgain    = fleet.Second / 2  // first wait before the list is asked again; doubles, with jitter
	askMost     = 4 * fleet.Second  // longest such wait, well inside the time after which we count as told
	rateOfAll   = 1e6               // visits a second at a proxy that stand for all
	noise       = 1e-9              // below this a rate is none
)

// visitClass is what differs by class: what a repeat may do, what a visit is worth, where it may go.
type visitClass struct {
	retry fleet.Retry
	value float64
	local bool
}

// table is one shared table: of a class, and of a zone where the class stays local.
type table struct {
	class           fleet.ClassID
	zone            fleet.ZoneID
	local           bool
	demand          float64 // visits a second that came, to proxies that use this table
	level, levelOut float64
	retry, retryOut fleet.Retry
	sum             float64 // of the wanted weights
}

// sample is one report of a server: what ended there, or a probe's load report.
type sample struct {
	at          fleet.Time
	span        fleet.Time
	tries, good float64
	latency     fleet.Time
	busy        float64 // negative: not told
}

type server struct {
	fleet.Entry
	listed    bool
	samples   []sample
	quiet     fleet.Time // best latency of a quiet window
	lastGood  fleet.Time
	held      float64 // part of its weight that health leaves it: 0 to 1
	halved    bool
	zeroUntil fleet.Time
	hold      fleet.Time // time at zero of the last verdict
	weight    []float64  // by table, the mechanism's
	want      []float64  // by table, wanted out
	out       []float64  // by table, ordered
	withdrawn bool       // ordered
	// figures of the last judgement
	rate, capacity, busy, failed float64
	latency                      fleet.Time
	tries                        float64
}

type proxy struct {
	zone    fleet.ZoneID
	since   fleet.Time
	fresh   bool
	bound   bool
	usage   [][]sample // by class
	written []fleet.Time
}

// Governor decides for the proxies that are joined to it.
type Governor struct {
	site    fleet.Site
	chance  chance
	now     fleet.Time
	started fleet.Time
	begun   bool
	classes []visitClass
	tables  []table
	servers map[fleet.ServerID]*server
	order   []*server // by id
	proxies map[fleet.ProxyID]*proxy
	joined  []fleet.ProxyID // by number
	busyAt  int             // position of the busy share in load reports, or -1
	newest  fleet.Time      // arrival of the newest report on any server
	judged  fleet.Time
	due     bool // an interval has passed in this step
	alarmAt fleet.Time
	askAt   fleet.Time // when to ask for the list; 0: not now
	askWait fleet.Time
	waiting float64 // lines in the channel, as we count them
	drained fleet.Time
	orders  []fleet.Order
}

// chance is a multiply-with-carry generator.
type chance struct{ x, carry uint32 }

func newChance(seed uint64) chance {
	return chance{uint32(seed) | 1, uint32(seed>>32)%4294957664 + 1}
}

// next gives a number from 0 up to 1.
func (c *chance) next() float64 {
	t := 4294957665*uint64(c.x) + uint64(c.carry)
	c.x, c.carry = uint32(t), uint32(t>>32)
	return float64(c.x) / (1 << 32)
}

// New makes a governor for a site.
func New(site fleet.Site, seed uint64) *Governor {
	g := &Governor{
		site: site, chance: newChance(seed), busyAt: slices.Index(site.LoadFields, fleet.FieldBusy),
		servers: make(map[fleet.ServerID]*server), proxies: make(map[fleet.ProxyID]*proxy), askWait: askAgain,
	}
	for i, c := range site.Classes {
		g.classes = append(g.classes, visitClass{fleet.RetryIfNeverRan, c.Value, c.StaysLocal})
		zones := 1
		if c.StaysLocal {
			zones = len(site.Zones)
		}
		for z := range zones {
			g.tables = append(g.tables, table{
				class: fleet.ClassID(i), zone: fleet.ZoneID(z), local: c.StaysLocal,
				level: 1, levelOut: -1, retry: fleet.RetryIfNeverRan,
			})
		}
	}
	return g
}

// Step hears events and gives the orders to carry out now. The orders are good until the next Step.
func (g *Governor) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	g.now, g.orders, g.due = now, g.orders[:0], false
	if !g.begun {
		g.begun, g.started, g.judged, g.drained = true, now, now, now
		if g.site.ListOnRequest {
			g.askAt = now
		}
	}
	for _, e := range events {
		g.observe(e)
	}
	if now >= g.judged+interval {
		g.judged, g.due = now, true
		g.judge()
		g.balance()
	}
	g.wish()
	g.reconcile()
	return g.orders
}

// observe takes in one event.
func (g *Governor) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.List:
		g.list(e)
	case fleet.Joined:
		g.leave(e.Proxy)
		p := &proxy{zone: e.Zone, since: g.now, fresh: e.Fresh, usage: make([][]sample, len(g.classes))}
		g.proxies[e.Proxy] = p
		at, _ := slices.BinarySearch(g.joined, e.Proxy)
		g.joined = slices.Insert(g.joined, at, e.Proxy)
	case fleet.Left:
		g.leave(e.Proxy)
	case fleet.Heard:
		if s := g.servers[e.Server]; s != nil {
			good := float64(e.Tries) - float64(e.Failed)
			m := sample{at: g.now, span: e.Span, tries: float64(e.Tries), good: good, latency: e.Latency, busy: -1}
			if g.busyAt >= 0 && g.busyAt < len(e.Load) {
				m.busy = float64(e.Load[g.busyAt])
			}
			s.samples = last(append(s.samples, m), keep)
			if good > 0 {
				s.lastGood = g.now
			}
			g.newest = g.now
		}
	case fleet.Probed:
		if s := g.servers[e.Server]; s != nil && e.Outcome == fleet.Answered &&
			g.busyAt >= 0 && g.busyAt < len(e.Load) {
			s.samples = last(append(s.samples, sample{at: g.now, span: interval, busy: float64(e.Load[g.busyAt])}), keep)
		}
	case fleet.Usage:
		if p := g.proxies[e.Proxy]; p != nil && int(e.Class) < len(p.usage) {
			m := sample{at: g.now, span: e.Span, tries: float64(e.Visits)}
			p.usage[e.Class] = last(append(p.usage[e.Class], m), usageKeep)
		}
	}
}

func last(samples []sample, most int) []sample {
	return samples[max(0, len(samples)-most):]
}

func (g *Governor) leave(id fleet.ProxyID) {
	if at, found := slices.BinarySearch(g.joined, id); found {
		g.joined = slices.Delete(g.joined, at, at+1)
		delete(g.proxies, id)
	}
}

// list follows the list of servers. A server that a full list lacks is gone.
func (g *Governor) list(e fleet.List) {
	if e.Scope == fleet.ListFailed {
		g.askAt = g.now + g.askWait.Scale(0.5+g.chance.next())
		g.askWait = min(askMost, 2*g.askWait)
		return
	}
	if e.Scope != fleet.ListCached {
		g.askWait = askAgain
	}
	if e.Scope != fleet.ListDelta {
		for _, s := range g.order {
			s.listed = false
		}
	}
	first := len(g.order) == 0
	for _, entry := range e.Entries {
		s := g.servers[entry.Server]
		if s == nil {
			n := len(g.tables)
			s = &server{held: 1, weight: make([]float64, n), want: make([]float64, n), out: make([]float64, n)}
			g.servers[entry.Server] = s
			at, _ := slices.BinarySearchFunc(g.order, entry.Server, byID)
			g.order = slices.Insert(g.order, at, s)
			s.Entry = entry
			g.renew(s, first)
		} else if entry.Started != s.Started || s.State == fleet.Gone && entry.State != fleet.Gone {
			s.Entry = entry
			g.renew(s, false)
		}
		s.Entry, s.listed = entry, true
	}
	for _, s := range g.order {
		if !s.listed {
			s.State = fleet.Gone
		}
	}
}

func byID(s *server, id fleet.ServerID) int {
	return int(int64(s.Server) - int64(id))
}

// renew starts a server over: nothing is known of it, and unless it is there from our start it is fresh.
func (g *Governor) renew(s *server, old bool) {
	s.samples, s.quiet, s.lastGood, s.halved, s.held = nil, 0, g.now+settle, false, 1
	s.capacity, s.zeroUntil, s.hold = 0, 0, 0
	if !old || g.cold(s) {
		s.held = quarter
	}
	for t := range g.tables {
		sum, n := 0.0, 0.0
		for _, o := range g.order {
			if o != s && o.State == fleet.Ready && o.weight[t] > 0 {
				sum, n = sum+o.weight[t], n+1
			}
		}
		s.weight[t] = 1
		if old && g.site.ListWeight != fleet.WeightNone && s.Weight > 0 {
			s.weight[t] = s.Weight
		} else if n > 0 && !old {
			s.weight[t] = sum / n
		}
	}
}

func (g *Governor) cold(s *server) bool {
	return s.Started > 0 && g.now < s.Started+g.site.ColdFor
}

// serves tells whether a server may stand in a table at all.
func (g *Governor) serves(s *server, t int) bool {
	return s.State == fleet.Ready && (!g.tables[t].local || s.Zone == g.tables[t].zone)
}

// judge works out each server's figures from its samples, and what its health leaves of its weight.
func (g *Governor) judge() {
	for t := range g.tables {
		g.tables[t].demand = 0
	}
	for _, id := range g.joined {
		p := g.proxies[id]
		for t := range g.tables {
			if b := &g.tables[t]; !b.local || b.zone == p.zone {
				b.demand += rate(p.usage[b.class])
			}
		}
	}
	ready, zeroed, late := 0, 0, 0
	triesAll, failedAll := 0.0, 0.0
	for _, s := range g.order {
		if s.State != fleet.Ready {
			continue
		}
		g.measure(s)
		triesAll, failedAll = triesAll+s.tries, failedAll+s.failed
		ready++
		if s.held == 0 {
			zeroed++
		}
		if g.late(s) {
			late++
		}
	}
	common := 0.0
	if triesAll > 0 {
		common = failedAll / triesAll
	}
	for _, s := range g.order {
		if s.State != fleet.Ready {
			continue
		}
		silent := s.held > 0 && s.rate*(g.newest-s.lastGood).Seconds() > hangTries
		sick := s.held > 0 && s.failed >= failLeast && s.failed > s.tries*max(failShare, 2*common)
		switch {
		case silent || sick:
			s.hold = min(longestHold, max(interval, 2*s.hold))
			s.zeroUntil = g.now + s.hold
			s.held = quarter
			if float64(zeroed+1) <= float64(ready)*zeroedMost {
				s.held = 0
				zeroed++
			}
			g.log("server %d zeroed: silent=%v failed=%.0f of %.0f", s.Server, silent, s.failed, s.tries)
			s.samples = s.samples[:0]
		case s.held == 0:
			if g.now >= s.zeroUntil {
				s.held = quarter
				s.lastGood = g.now + settle
				g.log("server %d returns at quarter weight", s.Server)
			}
		case g.late(s) && 2*late <= ready:
			if !s.halved && s.rate < s.capacity*g.target() {
				s.held, s.halved = max(quarter, s.held/2), true
				g.log("server %d late, halved: %.0f ms, quiet %.0f", s.Server, s.latency.Seconds()*1000, s.quiet.Seconds()*1000)
			}
		default:
			s.halved = false
			s.held = min(1, s.held+giveBack)
			if s.held == 1 {
				s.hold = 0
			}
		}
	}
}

func (g *Governor) log(format string, args ...any) {
	g.orders = append(g.orders, fleet.Log{Text: fmt.Sprintf(format, args...)})
}

func (g *Governor) late(s *server) bool {
	return s.quiet > 0 && s.latency > s.quiet.Scale(lateFactor)
}

// rate gives events a second over some samples.
func rate(samples []sample) float64 {
	n, span := 0.0, fleet.Time(0)
	for _, m := range samples {
		n, span = n+m.tries, span+m.span
	}
	if span <= 0 {
		return 0
	}
	return n / span.Seconds()
}

// measure works out a server's figures from the samples that are young enough.
func (g *Governor) measure(s *server) {
	s.tries, s.failed, s.busy, s.latency = 0, 0, -1, 0
	good, latency, busy, busySpan := 0.0, 0.0, 0.0, 0.0
	oldest := g.now
	for _, m := range s.samples {
		if m.at < g.now-look {
			continue
		}
		oldest = min(oldest, m.at-m.span)
		s.tries += m.tries
		s.failed += m.tries - m.good
		good += m.good
		latency += m.good * m.latency.Seconds()
		if m.busy >= 0 {
			busy += m.busy * m.span.Seconds()
			busySpan += m.span.Seconds()
		}
	}
	if good >= enough {
		s.latency = fleet.Second.Scale(latency / good)
		if s.quiet == 0 || s.latency < s.quiet {
			s.quiet = s.latency
		}
	}
	if busySpan > 0 {
		s.busy = max(0.02, busy/busySpan)
		if good >= enough {
			s.capacity = good / (g.now - oldest).Seconds() / s.busy
		}
	}
	s.rate = g.load(s)
}

// load gives the visits a second that our proxies send to a server by the tables that are out.
func (g *Governor) load(s *server) float64 {
	sum := 0.0
	for t := range g.tables {
		if total := g.total(t); total > 0 && !s.withdrawn {
			sum += g.tables[t].demand * min(1, g.tables[t].level) * s.out[t] / total
		}
	}
	return sum
}

// total gives the sum of a table's lines that are out and not withdrawn.
func (g *Governor) total(t int) float64 {
	sum := 0.0
	for _, s := range g.order {
		if !s.withdrawn {
			sum += s.out[t]
		}
	}
	return sum
}

// target gives the busy share that the agreed densities are made for.
func (g *Governor) target() float64 {
	load, capacity := 0.0, 0.0
	for _, s := range g.order {
		if s.State == fleet.Ready && s.capacity > 0 {
			load, capacity = load+s.rate, capacity+s.capacity
		}
	}
	if capacity == 0 {
		return busyMost
	}
	return min(busyMost, slack*load/capacity)
}

// balance is the design's ordinary path: cut by saturation overload, spread the cut evenly, normalise.
func (g *Governor) balance() {
	target := g.target()
	if target < noise {
		return
	}
	type state struct{ agreed, density, residence float64 }
	states := make([]state, len(g.order))
	mean, n := 0.0, 0.0
	for _, s := range g.order {
		if s.State == fleet.Ready && s.capacity > 0 {
			mean, n = mean+s.capacity, n+1
		}
	}
	if n == 0 {
		return
	}
	mean /= n
	for i, s := range g.order {
		if s.State != fleet.Ready || s.held == 0 {
			continue
		}
		c := s.capacity
		if c == 0 {
			c = mean
		}
		stay := 1 + s.latency.Seconds()/interval.Seconds()
		states[i] = state{c * target * stay, s.rate * stay, s.rate * interval.Seconds() * stay}
	}
	for t := range g.tables {
		b := &g.tables[t]
		total := g.total(t)
		if total == 0 || b.demand < noise {
			continue
		}
		cut := 0.0
		for i, s := range g.order {
			x := states[i]
			if !g.serves(s, t) || x.agreed == 0 || x.density <= x.agreed {
				continue
			}
			begun := b.demand * b.level * s.out[t] / total * interval.Seconds()
			if begun < noise {
				continue
			}
			over := (x.density - x.agreed) / x.density
			delta := min(begun*(1-quarter), over*begun*x.residence/(s.rate*interval.Seconds()))
			s.weight[t] *= 1 - delta/begun
			cut += delta
		}
		for range 3 {
			var open []int
			for i, s := range g.order {
				if g.serves(s, t) && states[i].density < states[i].agreed*0.999 {
					open = append(open, i)
				}
			}
			if len(open) == 0 || cut < noise {
				break
			}
			part := cut / float64(len(open))
			for _, i := range open {
				s, x := g.order[i], &states[i]
				stay := 1 + s.latency.Seconds()/interval.Seconds()
				share := min(part, (x.agreed-x.density)*interval.Seconds()/stay)
				begun := b.demand * b.level * s.out[t] / total * interval.Seconds()
				s.weight[t] *= 1 + share/(begun+1)
				x.density += share * stay / interval.Seconds()
				cut -= share
			}
		}
		most := 0.0
		for _, s := range g.order {
			if g.serves(s, t) {
				most = max(most, s.weight[t])
			}
		}
		for _, s := range g.order {
			s.weight[t] = max(0.01, s.weight[t]/most)
		}
	}
}

// wish works out what should be out.
func (g *Governor) wish() {
	for t := range g.tables {
		sum := 0.0
		for _, s := range g.order {
			s.want[t] = 0
			if g.serves(s, t) {
				s.want[t] = s.weight[t] * s.held
			}
			sum += s.want[t]
		}
		if sum == 0 {
			// Nobody goes bare: with none left that may serve at weight, take all that are listed as ready.
			for _, s := range g.order {
				if g.serves(s, t) {
					s.want[t] = s.weight[t] * quarter
				}
			}
		}
		g.tables[t].sum = max(sum, noise)
	}
	g.guardCold()
}

// guardCold keeps a cold server's share below what it surely can do, over all tables.
func (g *Governor) guardCold() {
	mean, n := 0.0, 0.0
	for _, s := range g.order {
		if s.capacity > 0 && s.State == fleet.Ready && !g.cold(s) {
			mean, n = mean+s.capacity, n+1
		}
	}
	for _, s := range g.order {
		if s.State != fleet.Ready || !g.cold(s) || n == 0 {
			continue
		}
		age := (g.now - s.Started).Seconds() / g.site.ColdFor.Seconds()
		can := g.site.ColdFrom + (1-g.site.ColdFrom)*max(0, age)
		load := 0.0
		for t := range g.tables {
			load += g.tables[t].demand * s.want[t] / g.tables[t].sum
		}
		if limit := coldSafe * can * mean / n; load > limit {
			for t := range g.tables {
				s.want[t] *= limit / load
			}
		}
	}
}

// reconcile works out the difference between what is wanted and what is out, and emits it, urgent first.
func (g *Governor) reconcile() {
	if g.alarmAt <= g.now {
		g.alarmAt = g.now + heartbeat
		g.orders = append(g.orders, fleet.SetAlarm{After: heartbeat})
	}
	if g.askAt > 0 && g.askAt <= g.now {
		g.askAt = 0
		g.orders = append(g.orders, fleet.Watch{On: true})
	}
	if g.due && g.site.Probes && g.site.Report == fleet.ReportOnProbe {
		for _, s := range g.order {
			if s.State == fleet.Ready {
				g.orders = append(g.orders, fleet.Probe{Server: s.Server})
			}
		}
	}
	g.waiting = max(0, g.waiting-(g.now-g.drained).Seconds()*g.site.LinesPerS*pace)
	g.drained = g.now
	if g.site.Slices > 0 {
		g.withdraw()
		return
	}
	all := g.withdraw()
	// Weights go out once an interval; a withdrawal takes its replacement along, a cold server is lowered at once.
	changes := g.changes(g.due || all)
	if len(changes) > 0 {
		lines := float64(len(changes)) * float64(len(g.joined))
		urgent := all || !g.due
		if urgent || g.room(lines, roomWeights) && g.mayWrite(spareWrites) {
			for _, c := range changes {
				c.server.out[c.table] = c.server.want[c.table]
				g.orders = append(g.orders, fleet.Share{
					Table: fleet.TableID(c.table), Server: c.server.Server, Weight: float32(c.server.want[c.table]),
				})
			}
			g.waiting += lines
			g.write(&all)
		}
	}
	for t := range g.tables {
		b := &g.tables[t]
		if b.level == b.levelOut && b.retry == b.retryOut {
			continue
		}
		amount := float32(b.level)
		if g.site.Admission == fleet.AdmitRate {
			amount = rateOfAll
		}
		b.levelOut, b.retryOut = b.level, b.retry
		g.orders = append(g.orders, fleet.Level{Table: fleet.TableID(t), Amount: amount, Retry: b.retry})
		g.waiting += float64(len(g.joined))
		g.write(&all)
	}
	g.join()
}

// change is one line of a table that differs from what is out.
type change struct {
	server *server
	table  int
}

// changes gives the lines to send: all that differ enough, or only those that cannot wait.
func (g *Governor) changes(ordinary bool) []change {
	var list []change
	for t := range g.tables {
		bare := g.total(t) == 0
		for _, s := range g.order {
			w, o := s.want[t], s.out[t]
			if w == o {
				continue
			}
			rises := w > 0 && (o == 0 || math.Abs(w-o) > leastChange*o)
			if ordinary && (rises || w == 0) || bare && w > 0 || g.cold(s) && s.State == fleet.Ready && o > 1.25*w {
				list = append(list, change{s, t})
			}
		}
	}
	return list
}

// withdraw shuts draining and gone servers out at once and lets returned ones in; it tells whether it did.
func (g *Governor) withdraw() bool {
	did := false
	for _, s := range g.order {
		out := s.State != fleet.Ready
		if out == s.withdrawn {
			continue
		}
		s.withdrawn = out
		g.orders = append(g.orders, fleet.Withdraw{Server: s.Server, Out: out})
		g.waiting += float64(len(g.joined))
		g.write(&did)
	}
	return did
}

// room tells whether so many lines fit below a part of the channel's backlog.
func (g *Governor) room(lines, part float64) bool {
	return g.waiting+lines+g.site.MessageHead*float64(len(g.joined)) <= part*g.site.BacklogMost
}

// write counts one message to every joined proxy, once a reply.
func (g *Governor) write(did *bool) {
	if *did {
		return
	}
	*did = true
	g.waiting += g.site.MessageHead * float64(len(g.joined))
	for _, id := range g.joined {
		p := g.proxies[id]
		p.written = append(p.written, g.now)
	}
}

// mayWrite tells whether every proxy may be sent a message, with some kept back.
func (g *Governor) mayWrite(spare int) bool {
	if g.site.MessagesMost == 0 {
		return true
	}
	for _, id := range g.joined {
		p := g.proxies[id]
		for len(p.written) > 0 && p.written[0] <= g.now-g.site.MessagesOver {
			p.written = p.written[1:]
		}
		if len(p.written) >= max(1, g.site.MessagesMost-spare) {
			return false
		}
	}
	return true
}

// join puts proxies on their tables, as many as the channel has room for.
func (g *Governor) join() {
	for _, id := range g.joined {
		p := g.proxies[id]
		if p.bound || !p.fresh && g.now < g.started+takeOver {
			continue
		}
		lines := g.site.MessageHead
		for t := range g.tables {
			lines += 2
			for _, s := range g.order {
				if s.out[t] > 0 || s.withdrawn {
					lines++
				}
			}
		}
		if g.waiting+lines > roomJoins*g.site.BacklogMost {
			return
		}
		g.waiting += lines
		p.bound = true
		p.written = append(p.written, g.now)
		for t := range g.tables {
			if b := &g.tables[t]; !b.local || b.zone == p.zone {
				g.orders = append(g.orders, fleet.Bind{Proxy: id, Table: fleet.TableID(t), Classes: 1 << b.class})
			}
		}
	}
}

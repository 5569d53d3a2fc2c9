// Package logic decides which servers the proxies of a fleet send their visits to.
//
// A host makes a Governor with New(site, seed) and calls Step(now, events) for every batch of events; Step
// gives the orders to carry out at that time, in their order. Site, events and orders live in package fleet.
// The module reads nothing else: no clock, no file, no network; the same events give the same orders.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cressknot/fleet"
)

const (
	interval    = 2 * fleet.Second  // the design's shortest measurement interval; weights change once in it
	admitEvery  = fleet.Second      // levels follow demand at the pace of reports, not of weights
	heartbeat   = fleet.Second / 4  // alarm pace: an eighth of the interval, for joins and cold guards
	longLook    = 10 * fleet.Second // five intervals: some 30 tries a server, which brings chance to a fifth
	shortLook   = 3 * fleet.Second  // a turn of reports and their delay: for what the whole fleet does
	keepSamples = 128               // of a server: over two reports a second and zone within longLook
	keepUsage   = 3                 // of a proxy and class: a few seconds of demand, as fresh as they come
	slack       = 1.1               // target factor: asked density may pass the fleet's mean by a tenth
	squeezeAt   = 1.1               // part of its capacity asked of a fleet past which classes are squeezed
	busyMost    = 0.74              // busy share past which chance fills some servers and visits wait long
	busySick    = 0.9               // a server this busy is overloaded, so it is cut and not zeroed
	busyLeast   = 0.05              // a busy share below this tells nothing of capacity
	shifted     = 1.5               // a capacity that changed by this factor is no chance: go by the short look
	lateFactor  = 1.5               // the design's bound of late, over the best quiet latency
	quarter     = 0.25              // weight of fresh, returning, lowest halved servers; returned an interval
	zeroedMost  = 1.0 / 3           // the design's most servers at zero
	failShare   = 0.25              // failed share that tells a sick server from chance errors
	failLeast   = 3                 // failures: one or two are never a verdict
	enough      = 8                 // tries that make a mean worth using; as many go unheard by chance 1 in 3000
	missedTurns = 3                 // turns of reporting to miss before silence counts
	longestHold = 16 * fleet.Second // doubling time at zero ends here, after 8 intervals
	coldSafe    = 0.8               // part of what a cold server surely can do that it is sent
	coldAlone   = 0.5               // part of the load that pushes it over that it may get with no other open
	leastWeight = 0.01              // of the largest: keeps a line that can grow again
	leastChange = 0.03              // relative change of a line or level worth sending
	easeBack    = 0.1               // most that a level rises at a time: the let-in shall not all come at once
	levelFloor  = 0.1               // part of its visits that even the least valuable class keeps
	rateOfAll   = 1e6               // visits a second at a proxy that stand for all
	pace        = 0.4               // part of the stated channel pace to count on: it may be slow for a while
	room        = 0.5               // part of the backlog for joins and ordinary changes; urgent ones take more
	spareWrites = 6                 // messages to a proxy kept back for urgent orders
	askAgain    = fleet.Second / 2  // first wait before the list is asked again; doubles, with jitter
	endless     = 99                // failures in a row that stand for a proxy that avoids no server
	none        = 1e-9              // a rate or weight below this is none
)

// visitClass is what differs by class, in rows from the least value for its work up.
type visitClass struct {
	id          fleet.ClassID
	value, work float64 // value for its work; expected time stands for work
	squeezed    bool
}

// table is one shared table: of a class, and of one zone where the class stays local.
type table struct {
	class              fleet.ClassID
	zone               fleet.ZoneID
	local, squeezed    bool    // squeezed: goes to the refuge only
	demand             float64 // visits a second that come to the proxies on it
	level              float64 // part of them to let in
	amount, amountOut  float64 // the same in the site's unit: wanted, ordered
	retry, retryOut    fleet.Retry
	total, wantedTotal float64 // of the lines ordered and not withdrawn; of the lines wanted
}

// sample is one report: of what ended at a server, of its load, or of what came to a proxy.
type sample struct {
	at, span    fleet.Time
	zone        fleet.ZoneID
	tries, good float64
	latency     fleet.Time
	busy        float64 // negative: not told
}

type figures struct {
	tries, failed     float64
	latency           fleet.Time // mean of the good ones
	busy              float64    // mean, negative: not told
	handled, capacity float64    // good tries a second; the same at a busy share of 1, 0: not known
}

type server struct {
	fleet.Entry
	samples           []sample
	long, short       figures
	quiet             fleet.Time // best latency seen
	lastGood          fleet.Time
	held              float64    // part of its weight that health leaves it, 0 to 1
	zeroUntil, hold   fleet.Time // end of its time at zero, and how long that is
	capacity          float64    // tries a second at a busy share of 1, ours only; 0: not known
	rate              float64    // tries a second that we send, by demand and table share
	weight, want, out []float64  // by table: the mechanism's, wanted out, ordered
	listed, halved    bool       // is in the list being read; was halved since it was last on time
	refuge            bool       // takes the squeezed classes, and only those
	withdrawn         bool       // ordered
}

type proxy struct {
	id           fleet.ProxyID
	zone         fleet.ZoneID
	fresh, bound bool       // holds standing tables only; is on ours
	waits        bool       // has not heard of earlier withdrawals
	usage        [][]sample // by class
}

// Governor decides for the proxies that are joined to it.
type Governor struct {
	site                       fleet.Site
	chance                     chance
	classes                    []visitClass
	tables                     []table
	known                      map[fleet.ServerID]*server
	servers, ready             []*server    // by id: all known, those listed as ready
	proxies                    []*proxy     // joined, by id
	busyAt                     int          // position of the busy share in load reports, or -1
	now, started               fleet.Time   // of this step, of the first
	judged, admitted, newest   fleet.Time   // last judgement, last levels; arrival of the newest report of tries
	due, taking                bool         // an interval ends now; proxies hold former tables: watch first
	target                     float64      // busy share that the agreed densities are made for
	refuge                     int          // servers that take the squeezed classes, 0: none squeezed
	usual, least               float64      // capacity of a warm server: the median, the low quartile
	failing                    float64      // failed share of all tries in the short look
	alarmAt, askAt, squeezeEnd fleet.Time   // next alarm; when to ask for the list, 0: no; end of a squeeze
	askWait, waitingAt         fleet.Time   // before the list is asked again; when waiting was worked out
	waiting                    float64      // lines in the channel, as we count them
	wrote, more                bool         // this reply has a message to all; lines wait for room
	written                    []fleet.Time // replies that wrote to any proxy, while messages count
	orders                     []fleet.Order
}

// chance is a multiply-with-carry generator.
type chance struct{ x, carry uint32 }

func (c *chance) next() float64 {
	t := 4294957665*uint64(c.x) + uint64(c.carry)
	c.x, c.carry = uint32(t), uint32(t>>32)
	return float64(c.x) / (1 << 32)
}

// New makes a governor for a site.
func New(site fleet.Site, seed uint64) *Governor {
	g := &Governor{
		site: site, chance: chance{uint32(seed) | 1, uint32(seed>>33) | 1}, askWait: askAgain,
		known:  make(map[fleet.ServerID]*server),
		busyAt: slices.Index(site.LoadFields, fleet.FieldBusy), target: busyMost, started: -1,
	}
	for i, c := range site.Classes {
		work := max(none, c.Expected.Seconds())
		g.classes = append(g.classes, visitClass{id: fleet.ClassID(i), value: c.Value / work, work: work})
		for z := range site.Zones {
			if z == 0 || c.StaysLocal {
				g.tables = append(g.tables, table{
					class: fleet.ClassID(i), zone: fleet.ZoneID(z), local: c.StaysLocal,
					level: 1, amount: rateOfAll, retry: fleet.RetryIfNeverRan,
				})
			}
		}
	}
	slices.SortStableFunc(g.classes, func(a, b visitClass) int { return cmp.Compare(a.value, b.value) })
	return g
}

// Step hears events and gives the orders to carry out now. The orders are good until the next Step.
func (g *Governor) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	g.now, g.orders = now, g.orders[:0]
	if g.started < 0 {
		g.started, g.judged, g.waitingAt = now, now, now
		if g.site.ListOnRequest {
			g.askAt = now
		}
	}
	for _, e := range events {
		g.observe(e)
	}
	g.ready = g.ready[:0]
	for _, s := range g.servers {
		if s.State == fleet.Ready {
			g.ready = append(g.ready, s)
		}
	}
	// A proxy's former table may be down to withdrawn lines, so the watch ends well before that breaks a rule.
	watched := g.taking && now >= g.started+min(2*interval, g.site.BareMost/2)
	g.due = now >= g.judged+interval || watched
	if g.due || now >= g.admitted+admitEvery {
		g.admitted = now
		g.measure()
		g.admit()
	}
	if g.due && watched {
		g.adopt()
	} else if g.due && !g.taking && g.newest > g.judged { // with nothing new to go by, what is out stays
		g.judge()
		g.balance()
	}
	if g.due {
		g.judged = now
	}
	g.wish()
	g.reconcile()
	return g.orders
}

func (g *Governor) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.List:
		g.list(e)
	case fleet.Joined:
		g.leave(e.Proxy)
		usage := make([][]sample, len(g.classes))
		g.proxies = append(g.proxies, &proxy{id: e.Proxy, zone: e.Zone, fresh: e.Fresh, waits: true, usage: usage})
		slices.SortFunc(g.proxies, func(a, b *proxy) int { return cmp.Compare(a.id, b.id) })
		g.taking = g.taking || !e.Fresh && g.now < g.started+min(2*interval, g.site.BareMost/2)
	case fleet.Left:
		g.leave(e.Proxy)
	case fleet.Heard:
		if s := g.known[e.Server]; s != nil {
			good := float64(e.Tries) - float64(e.Failed)
			s.add(sample{g.now, e.Span, e.Zone, float64(e.Tries), good, e.Latency, g.busyIn(e.Load)})
			g.newest = g.now
			if good > 0 {
				s.lastGood = g.now
			}
		}
	case fleet.Probed:
		if s := g.known[e.Server]; s != nil && e.Outcome == fleet.Answered {
			s.add(sample{at: g.now, busy: g.busyIn(e.Load)})
		}
	case fleet.Usage:
		for _, p := range g.proxies {
			if p.id == e.Proxy && int(e.Class) < len(p.usage) {
				u := append(p.usage[e.Class], sample{at: g.now, span: e.Span, tries: float64(e.Visits)})
				p.usage[e.Class] = u[max(0, len(u)-keepUsage):]
			}
		}
	}
}

func (s *server) add(m sample) {
	s.samples = append(s.samples[max(0, len(s.samples)-keepSamples):], m)
}

func (g *Governor) busyIn(load []float32) float64 {
	if g.busyAt < 0 || g.busyAt >= len(load) {
		return -1
	}
	return float64(load[g.busyAt])
}

func (g *Governor) leave(id fleet.ProxyID) {
	g.proxies = slices.DeleteFunc(g.proxies, func(p *proxy) bool { return p.id == id })
}

// list follows the list of servers. A server that a full list lacks is gone.
func (g *Governor) list(e fleet.List) {
	if e.Scope == fleet.ListFailed {
		g.askAt = g.now + g.askWait.Scale(0.5+g.chance.next())
		g.askWait = min(max(askAgain, g.site.AskWithin/2), 2*g.askWait)
		return
	}
	g.askWait = askAgain
	for _, s := range g.servers {
		s.listed = e.Scope == fleet.ListDelta && s.State != fleet.Gone
	}
	atStart := len(g.servers) == 0
	for _, entry := range e.Entries {
		s, known := g.known[entry.Server]
		if !known {
			n := len(g.tables)
			s = &server{weight: make([]float64, n), want: make([]float64, n), out: make([]float64, n)}
			g.known[entry.Server], g.servers = s, append(g.servers, s)
		}
		anew := !known || entry.Started != s.Started || s.State == fleet.Gone && entry.State != fleet.Gone
		s.Entry, s.listed = entry, entry.State != fleet.Gone
		if anew {
			g.renew(s, atStart)
		}
	}
	for _, s := range g.servers {
		if !s.listed {
			s.State = fleet.Gone
		}
	}
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.Server, b.Server) })
}

// renew starts a server over: nothing is known of it, and unless it was up before we were it is fresh.
func (g *Governor) renew(s *server, atStart bool) {
	s.samples, s.long, s.short, s.quiet, s.capacity = nil, figures{busy: -1}, figures{busy: -1}, 0, 0
	s.lastGood, s.halved, s.held, s.zeroUntil, s.hold = g.now+interval, false, quarter, 0, 0
	if atStart && !g.cold(s) {
		s.held = 1
	}
	for t := range g.tables {
		s.weight[t] = 1
		if atStart && g.site.ListWeight != fleet.WeightNone && s.Weight > 0 {
			s.weight[t] = s.Weight
		}
	}
}

func (g *Governor) cold(s *server) bool { return s.Started > 0 && g.now < s.Started+g.site.ColdFor }

// can gives the part of its capacity that a server surely has.
func (g *Governor) can(s *server) float64 {
	if !g.cold(s) {
		return 1
	}
	return g.site.ColdFrom + (1-g.site.ColdFrom)*max(0, (g.now-s.Started).Seconds()/g.site.ColdFor.Seconds())
}

func (g *Governor) whole(s *server) bool { return s.held == 1 && !g.cold(s) }

func (g *Governor) open(s *server, t int) bool {
	return s.State == fleet.Ready && (!g.tables[t].local || s.Zone == g.tables[t].zone)
}

// measure works out demand, each server's figures and those of the fleet.
func (g *Governor) measure() {
	for t := range g.tables {
		b := &g.tables[t]
		b.demand, b.total = 0, 0
		for _, p := range g.proxies {
			if !b.local || p.zone == b.zone {
				b.demand += rate(p.usage[b.class])
			}
		}
		for _, s := range g.ready {
			b.total += s.out[t]
		}
	}
	load, capacity, tries, failed := 0.0, 0.0, 0.0, 0.0
	var warm []float64
	for _, s := range g.ready {
		s.rate = 0
		for t, b := range g.tables {
			s.rate += b.demand * b.level * s.out[t] / max(b.total, none)
		}
		s.long = s.figures(g.newest-longLook, len(g.site.Zones))
		s.short = s.figures(g.newest-shortLook, len(g.site.Zones))
		tries, failed = tries+s.short.tries, failed+s.short.failed
		if s.long.latency > 0 && (s.quiet == 0 || s.long.latency < s.quiet) {
			s.quiet = s.long.latency
		}
		if s.capacity = s.long.capacity; s.short.capacity > 0 &&
			max(s.short.capacity/s.long.capacity, s.long.capacity/s.short.capacity) > shifted {
			s.capacity = s.short.capacity
		}
		if s.capacity > 0 && !s.refuge {
			load, capacity = load+s.rate, capacity+s.capacity
			if !g.cold(s) {
				warm = append(warm, s.capacity)
			}
		}
	}
	if capacity > 0 {
		g.target = max(load/capacity, min(busyMost, slack*load/capacity))
	}
	g.usual, g.least = cmp.Or(quantile(warm, 0.5), g.usual), cmp.Or(quantile(warm, quarter), g.least)
	g.failing = failed / max(1, tries)
}

func quantile(of []float64, share float64) float64 {
	slices.Sort(of)
	return append(of, 0)[int(float64(len(of))*share)]
}

func rate(samples []sample) float64 {
	n, span := 0.0, fleet.Time(0)
	for _, m := range samples {
		n, span = n+m.tries, span+m.span
	}
	return n / max(span.Seconds(), none)
}

// figures works out what the samples since a time say. Rates go by the span that each report states: reports
// are rationed and late, so their times of arrival tell little.
func (s *server) figures(since fleet.Time, zones int) figures {
	f := figures{busy: -1}
	good, latency, busy, told := 0.0, 0.0, 0.0, 0.0
	byZone := make([]sample, zones)
	for _, m := range s.samples {
		if m.at < since || int(m.zone) >= zones {
			continue
		}
		byZone[m.zone].span += m.span
		byZone[m.zone].tries += m.good
		f.tries, f.failed = f.tries+m.tries, f.failed+m.tries-m.good
		good, latency = good+m.good, latency+m.good*m.latency.Seconds()
		if m.busy >= 0 {
			busy, told = busy+m.busy, told+1
		}
	}
	for z := range byZone {
		f.handled += rate(byZone[z : z+1])
	}
	if told > 0 {
		f.busy = max(busyLeast, busy/told)
	}
	if good >= enough {
		f.latency, f.capacity = fleet.Second.Scale(latency/good), max(0, f.handled/f.busy)
	}
	return f
}

// judge sets what health leaves each server of its weight. Where the whole fleet fails none is to blame, and
// none is late for waiting that its busy share explains: saturation cuts that.
func (g *Governor) judge() {
	zeroed := 0.0
	for _, s := range g.ready {
		if s.held == 0 {
			zeroed++
		}
	}
	// Reports take turns: only a server passed over several times, while others were heard, is silent.
	lines := float64(len(g.servers)*len(g.site.Zones) + len(g.proxies)*len(g.classes))
	missed := missedTurns * max(g.site.ReportEvery, fleet.Second.Scale(lines/max(1, g.site.ReportsPerS)))
	for _, s := range g.ready {
		unheard := g.newest - s.lastGood
		silent := unheard > missed && s.rate*unheard.Seconds() > enough
		sick := s.long.failed >= max(failLeast, s.long.tries*max(failShare, 2*g.failing))
		late := s.quiet > 0 && s.long.latency > s.quiet.Scale(lateFactor*max(1, 1/max(busyLeast, 1-s.long.busy)))
		switch {
		case s.held > 0 && s.long.busy < busySick && (silent || sick):
			s.hold = min(longestHold, max(interval, 2*s.hold))
			s.held, s.zeroUntil = quarter, g.now+s.hold
			if zeroed+1 <= float64(len(g.ready))*zeroedMost {
				s.held, zeroed = 0, zeroed+1
			}
			g.orders = append(g.orders, fleet.Log{Text: fmt.Sprintf(
				"server %d cut off for %.0f s: silent %v, %.0f of %.0f tries failed",
				s.Server, s.hold.Seconds(), silent, s.long.failed, s.long.tries)})
			s.samples = s.samples[:0]
		case s.held == 0 && g.now >= s.zeroUntil:
			s.held, s.lastGood = quarter, g.now+interval
		case s.held == 0:
		case late:
			if !s.halved && s.rate < s.capacity*g.target {
				s.held, s.halved = max(quarter, s.held/2), true
				g.orders = append(g.orders, fleet.Log{Text: fmt.Sprintf("server %d late: %.0f ms, best %.0f ms",
					s.Server, 1e3*s.long.latency.Seconds(), 1e3*s.quiet.Seconds())})
			}
		default:
			s.held, s.halved = min(1, s.held+quarter), false
			if s.held == 1 {
				s.hold = 0
			}
		}
	}
}

// balance is the design's ordinary path: cut by saturation overload, spread the cut evenly and normalise. As
// reports give one latency a server, all its classes have the same relative density and saturation.
func (g *Governor) balance() {
	if g.usual == 0 {
		return
	}
	density, agreed := make([]float64, len(g.ready)), make([]float64, len(g.ready))
	stay := func(s *server) float64 { return 1 + s.long.latency.Seconds()/interval.Seconds() }
	for i, s := range g.ready {
		if s.held > 0 && !s.refuge {
			density[i], agreed[i] = s.rate*stay(s), cmp.Or(s.capacity, g.usual)*g.target*stay(s)
		}
	}
	for t := range g.tables {
		b := &g.tables[t]
		if b.total == 0 || b.demand < none {
			continue
		}
		begun := func(s *server) float64 {
			return b.demand * b.level * s.out[t] / b.total * interval.Seconds()
		}
		room := func(i int) float64 { // tries that a server at full weight can take up to saturation 1
			if s := g.ready[i]; g.open(s, t) && g.whole(s) && density[i] < agreed[i] {
				return (agreed[i] - density[i]) / stay(s) * interval.Seconds()
			}
			return 0
		}
		cut, most := 0.0, none
		for i, s := range g.ready {
			if g.open(s, t) && density[i] > agreed[i] {
				part := min(1, (density[i]-agreed[i])/density[i]*stay(s)) // Δ over tries begun
				s.weight[t] *= 1 - part
				cut += part * begun(s)
			}
		}
		for range 3 { // receivers fill up, so what is left is spread again
			part := 0.0
			for i := range g.ready {
				part += math.Ceil(min(1, room(i)))
			}
			part = cut / max(1, part)
			for i, s := range g.ready {
				share := min(part, room(i))
				s.weight[t] *= 1 + share/(begun(s)+1)
				density[i] += share * stay(s) / interval.Seconds()
				cut -= share
			}
		}
		for _, s := range g.ready {
			if g.open(s, t) && g.whole(s) {
				most = max(most, s.weight[t])
			}
		}
		for _, s := range g.ready {
			if g.open(s, t) {
				s.weight[t] = min(1, max(leastWeight, s.weight[t]/most))
			}
		}
	}
}

// adopt lays first tables after a restart that send what proxies were seen to send by their former ones.
func (g *Governor) adopt() {
	g.taking = false
	for _, s := range g.servers {
		for t := range g.tables {
			s.weight[t] = max(1, s.long.tries)
		}
		if s.held = 1; s.long.tries == 0 || g.cold(s) {
			s.held = quarter
		}
	}
}

// admit lets in what the fleet can handle on time, cutting visits of least value first. Beyond that further
// tries feed the overload, so they are off while the fleet is strained.
func (g *Governor) admit() {
	handled, busy, unseen, untold, carry, demand := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range g.ready {
		if s.held > 0 {
			carry += min(1, s.held+quarter) * g.can(s)
		}
		if carries := s.held > 0 && !g.cold(s) && !s.refuge; carries && s.short.busy >= 0 {
			handled, busy = handled+s.short.handled, busy+s.short.busy
		} else if carries {
			unseen, untold = unseen+s.short.handled, untold+1
		}
	}
	if busy == 0 && g.failing > failShare {
		handled, busy = unseen, untold // a fleet too full to answer visits answers no probes either
	}
	class := make([]float64, len(g.classes))
	for _, b := range g.tables {
		class[b.class] += b.demand
		demand += b.demand
	}
	if busy == 0 || handled == 0 || demand < none {
		return
	}
	load := demand / (handled / busy * carry) // busy share that would let all in
	g.squeeze(load, class)
	over := demand * max(0, 1-busyMost/load)
	retry := fleet.RetryNever
	if over == 0 {
		retry = fleet.RetryIfNeverRan
	}
	for _, c := range g.classes {
		cut := min(over, class[c.id]*(1-levelFloor))
		over -= cut
		for t := range g.tables {
			b := &g.tables[t]
			if b.class != c.id {
				continue
			}
			b.retry, b.squeezed = retry, c.squeezed
			if g.site.Admission != fleet.AdmitAll {
				b.level = min(1-cut/max(class[c.id], none), b.level+easeBack)
				b.amount = g.amount(b)
			}
		}
	}
}

// squeeze is the paper's last resort, for sites whose proxies let in everything: beyond the fleet's capacity
// classes of least value share a few servers, so that the others are handled on time.
func (g *Governor) squeeze(load float64, class []float64) {
	if g.now < g.squeezeEnd { // the others' lighter mix tells too little of the load to end it
		return
	}
	n, work, need, fits := float64(len(g.ready)), 0.0, 0.0, true
	for _, c := range g.classes {
		work += class[c.id] * c.work
	}
	for i := len(g.classes) - 1; i >= 0; i-- {
		c := &g.classes[i]
		part := class[c.id] * c.work / work * load / busyMost
		if fits = fits && i > 0 && need+part < 1-1/n; fits {
			need += part
		}
		c.squeezed = !fits
	}
	if g.refuge = 0; load > squeezeAt && need > 0 && g.site.Admission == fleet.AdmitAll {
		g.refuge, g.squeezeEnd = int(n-math.Ceil(need*n)), g.now+longestHold
	}
}

// amount gives a table's level in the site's unit: a share, or the rate at each proxy that lets in as much.
func (g *Governor) amount(b *table) float64 {
	if b.level >= 1 {
		return rateOfAll
	}
	if g.site.Admission == fleet.AdmitShare {
		return b.level
	}
	var rates []float64
	for _, p := range g.proxies {
		if !b.local || p.zone == b.zone {
			rates = append(rates, rate(p.usage[b.class]))
		}
	}
	slices.Sort(rates)
	left := b.level * b.demand
	for i, r := range rates {
		if each := left / float64(len(rates)-i); r >= each {
			return each
		}
		left -= r
	}
	return rateOfAll
}

// wish works out the lines that should be out. Nobody goes bare: with no warm server left at weight, those
// held at zero share the table. A cold server gets less than it surely can do, over all tables, also when its
// neighbours have just died; alone in a table it gets nothing where its load could push it over.
func (g *Governor) wish() {
	left := g.refuge
	for _, s := range g.ready {
		if s.refuge = left > 0 && !g.cold(s); s.refuge {
			left--
		}
	}
	warm := make([]float64, len(g.tables))
	for t := range g.tables {
		b := &g.tables[t]
		for _, s := range g.servers {
			if s.want[t] = 0; g.open(s, t) && (g.refuge == 0 || b.local || s.refuge == b.squeezed) {
				s.want[t] = s.weight[t] * s.held
			}
			if !g.cold(s) {
				warm[t] += s.want[t]
			}
		}
		suspect := warm[t] == 0
		b.wantedTotal = 0
		for _, s := range g.servers {
			if suspect && g.open(s, t) && !g.cold(s) {
				s.want[t] = s.weight[t] * quarter
				warm[t] += s.want[t]
			}
			b.wantedTotal += s.want[t]
		}
	}
	for _, s := range g.ready {
		if !g.cold(s) || g.usual == 0 {
			continue
		}
		// A proxy keeps away from a server that failed it several times in a row: where most tries fail all
		// crowd on the few that answer, whatever their weights, and a cold one must be out of the tables by then.
		crowd := max(0, 1-math.Pow(g.failing, float64(cmp.Or(g.site.OutlierAfter, endless)))/failShare)
		can, load := g.can(s)*g.least*crowd, none
		for t, b := range g.tables {
			load += b.demand * s.want[t] / max(b.wantedTotal, none)
		}
		for t, b := range g.tables {
			if warm[t] > 0 {
				s.want[t] = min(s.want[t], s.want[t]/b.wantedTotal*coldSafe*can/load*warm[t])
			} else if load > can*g.site.FallFactor*coldAlone {
				s.want[t] = 0
			}
		}
	}
}

// reconcile works out the difference between what is wanted and what is out and emits it, urgent first.
func (g *Governor) reconcile() {
	g.waiting = max(0, g.waiting-(g.now-g.waitingAt).Seconds()*g.site.LinesPerS*pace)
	g.waitingAt, g.wrote = g.now, false
	if g.alarmAt <= g.now {
		g.alarmAt = g.now + heartbeat
		g.orders = append(g.orders, fleet.SetAlarm{After: heartbeat})
	}
	if g.askAt > 0 && g.askAt <= g.now {
		g.askAt, g.orders = 0, append(g.orders, fleet.Watch{On: true})
	}
	for _, s := range g.servers {
		if g.due && g.site.Probes && g.site.Report == fleet.ReportOnProbe && s.State == fleet.Ready {
			g.orders = append(g.orders, fleet.Probe{Server: s.Server})
		}
		if out := s.State != fleet.Ready; out != s.withdrawn {
			s.withdrawn = out
			g.toAll(fleet.Withdraw{Server: s.Server, Out: out})
		}
	}
	if g.site.Slices > 0 {
		return
	}
	// Lines change once an interval, the largest changes first; what the channel has no room for follows soon.
	// A withdrawal takes its replacement along; cold servers and bare tables can't wait and need no room.
	lines, urgent := g.changes(g.due || g.wrote || g.more)
	fit := (room*g.site.BacklogMost-g.waiting)/float64(max(1, len(g.proxies))) - g.site.MessageHead
	if !g.wrote && !g.mayWrite() {
		fit = 0
	}
	some := min(len(lines), urgent+max(0, int(fit)))
	lines, g.more = lines[:some], some < len(lines)
	for _, l := range lines {
		s := g.known[l.Server]
		s.out[l.Table] = s.want[l.Table]
		g.toAll(l)
	}
	for t := range g.tables {
		if b := &g.tables[t]; math.Abs(b.amount-b.amountOut) > leastChange*b.amountOut || b.retry != b.retryOut {
			b.amountOut, b.retryOut = b.amount, b.retry
			g.toAll(fleet.Level{Table: fleet.TableID(t), Amount: float32(b.amount), Retry: b.retry})
		}
	}
	g.join()
}

// changes gives the lines to send and how many of them can't wait: those come first, then the ordinary ones
// if they are due, by size.
func (g *Governor) changes(ordinary bool) (lines []fleet.Share, urgent int) {
	for t := range g.tables {
		bare := true
		for _, s := range g.servers {
			bare = bare && (s.withdrawn || s.out[t] == 0)
		}
		for _, s := range g.servers {
			w, o := s.want[t], s.out[t]
			l := fleet.Share{Table: fleet.TableID(t), Server: s.Server, Weight: float32(w)}
			if hurry := bare || g.cold(s) && o > slack*w; w == o || w > 0 && math.Abs(w-o) <= leastChange*o {
				continue
			} else if hurry {
				lines, urgent = slices.Insert(lines, 0, l), urgent+1
			} else if ordinary {
				lines = append(lines, l)
			}
		}
	}
	size := func(l fleet.Share) float64 {
		s := g.known[l.Server]
		return math.Abs(s.want[l.Table] - s.out[l.Table])
	}
	slices.SortStableFunc(lines[urgent:], func(a, b fleet.Share) int { return cmp.Compare(size(b), size(a)) })
	return lines, urgent
}

// toAll gives an order that costs a line at every joined proxy.
func (g *Governor) toAll(order fleet.Order) {
	g.orders = append(g.orders, order)
	if g.waiting += float64(len(g.proxies)); !g.wrote {
		g.waiting += g.site.MessageHead * float64(len(g.proxies))
	}
	g.wrote = true
}

// mayWrite keeps some messages to each proxy back for urgent orders.
func (g *Governor) mayWrite() bool {
	over := func(at fleet.Time) bool { return at <= g.now-g.site.MessagesOver }
	g.written = slices.DeleteFunc(g.written, over)
	return g.site.MessagesMost == 0 || len(g.written) < max(1, g.site.MessagesMost-spareWrites)
}

// join puts proxies on their tables, as many as the channel has room for. One that must wait for its table
// has not heard of earlier withdrawals, so they go out again.
func (g *Governor) join() {
	again, bound := false, false
	for _, p := range g.proxies {
		if p.bound {
			continue
		}
		lines := g.site.MessageHead + float64(len(g.tables)*(2+len(g.servers)))
		if g.taking && !p.fresh || g.waiting+lines > room*g.site.BacklogMost {
			again, p.waits = again || p.waits, false
			continue
		}
		g.waiting += lines
		p.bound, p.waits, bound = true, false, true
		for t, b := range g.tables {
			if !b.local || b.zone == p.zone {
				g.orders = append(g.orders, fleet.Bind{Proxy: p.id, Table: fleet.TableID(t), Classes: 1 << b.class})
			}
		}
	}
	for _, s := range g.servers {
		if again && s.withdrawn {
			g.toAll(fleet.Withdraw{Server: s.Server, Out: true})
		}
	}
	if bound || g.wrote {
		g.written = append(g.written, g.now)
	}
}

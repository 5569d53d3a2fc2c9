// Package logic decides which servers the proxies of a fleet send their visits to. A host makes a Governor by
// New(site, seed) and calls Step(now, events) for every batch of events; Step gives the orders to carry out.
// Site, events and orders live in package fleet. There is no clock, file or net: same events, same orders.
package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	interval    = 2 * fleet.Second  // the design's shortest measurement interval; weights change once in it
	heartbeat   = fleet.Second / 4  // alarm pace: an eighth of the interval; messages to all go every second one
	longLook    = 10 * fleet.Second // five intervals: at some 30 tries chance is a fifth
	shortLook   = 3 * fleet.Second  // a turn of reports and their delay: for what the whole fleet does
	few         = 3                 // reports or failures that make a verdict: fewer are chance
	enough      = 8                 // tries that make a mean; as many go unheard by chance 1 in 3000
	keepSamples = 128               // of a server: over two reports a second and zone within longLook
	slack       = 1.1               // target factor: asked density may pass the fleet's mean by a tenth
	squeezeAt   = 1.0               // part of its capacity asked of a fleet past which classes are squeezed
	squeezeWait = 6                 // rounds of levels for that: drained servers are replaced within as many s
	busyMost    = 0.74              // busy share past which chance fills some servers
	busySick    = 0.9               // a server this busy is overloaded, so it is cut and not zeroed
	busyLeast   = 0.05              // a busy share below this tells nothing of capacity
	lateFactor  = 1.5               // the design's bound of late, over the best quiet latency
	quarter     = 0.25              // weight of fresh, returning, lowest halved servers; failed share of sick
	third       = 1.0 / 3           // the design's most servers at zero; who handles less is no help
	longestHold = 16 * fleet.Second // doubling time at zero ends here, after 8 intervals
	coldSafe    = 0.8               // part of what a cold server surely can do that it is sent
	leastWeight = 0.01              // of the largest: keeps a line that can grow again
	leastChange = 0.03              // relative change of a line or level worth sending
	tenth       = 0.1               // of its visits each class keeps; a level rises by so much at a time
	huge        = 1e6               // visits a second at a proxy that stand for all; most lines may drift
	pace        = 0.25              // part of the stated channel pace to count on where no mark is answered
	room        = 0.5               // part of the backlog, and of a lone cold server's limit, to use
	spareWrites = 5                 // messages to a proxy kept back for its joins
	none        = 1e-9              // a rate or weight below this is none
)

// visitClass is what differs by class. Classes of a group share tables, one a zone: 0 is for all whose lines
// are alike, 1 for the squeezed, which go to the refuge only; a class that stays in its zone has its own.
type visitClass struct {
	value, work   float64 // value for its work; expected time stands for work
	group         int
	demand, level float64            // visits a second that come; part of them to let in
	out           fleet.SetAdmission // as ordered
}

type table struct {
	group, part         int
	classes             fleet.ClassSet // that go by it
	users, asked, lines float64        // proxies on it; visits a second that its classes let in; lines of a bind
	total, warm, wanted float64        // of the lines ordered; of those wanted of warm servers, of all
}

type sample struct { // one report: of what ended at a server, of its load, or of what came to a proxy
	at, span, latency fleet.Time
	zone              fleet.ZoneID
	tries, good, busy float64 // busy negative: not told
}

type figures struct {
	tries, good, busy float64 // busy: mean, negative: not told
	latency           fleet.Time
	handled, capacity float64 // good tries a second; the same at a busy share of 1, 0: not known
}

type server struct {
	fleet.Endpoint
	samples                   []sample
	long, short               figures
	quiet, lastGood, told     fleet.Time // best latency seen; last good answer; when it was last withdrawn
	zeroUntil, hold, since    fleet.Time // end of its time at zero, how long that is; when it was new, 0: not
	held                      float64    // part of its weight that health leaves it, 0 to 1
	capacity, rate            float64    // tries a second, ours only: at a busy share of 1; that we send
	weight, want, out         []float64  // by table: the mechanism's, wanted out, ordered
	unsure                    []bool     // by table: nobody knows whether the line ordered is out
	part                      int        // the tables that it is first in
	halved, refuge, withdrawn bool       // since it was last on time; takes squeezed classes only; ordered
	doubted                   bool       // nobody knows whether that order was carried out
}

type marked struct{ before, lines, reached, answers float64 } // lines before it, its own; proxies

type proxy struct {
	id           fleet.ProxyID
	part         int        // the tables that it goes by
	usual, heard float64    // visits a second, as told when it joined; the same once it was heard of
	on           []int      // by class: its table of ours, -1: none yet
	astray       bool       // is not on the tables it should be on, or nobody knows whether it is
	unsure       bool       // nobody knows whether it was bound
	warned       bool       // has had to wait, and hears of earlier withdrawals
	since        fleet.Time // when it joined
	usage        [][]sample // by class
}

type Balancer struct { // decides for the proxies that are joined to it
	site                      fleet.Site
	chance                    chance
	classes                   []visitClass
	cheap                     []int // the classes, from the least value for its work up
	tables                    []table
	known                     map[fleet.ServerID]*server
	joined                    map[fleet.ProxyID]*proxy
	servers, ready            []*server  // by id: all known, those listed as ready
	proxies                   []*proxy   // joined, by id
	home                      []bool     // by zone: has joined proxies
	busyAt                    int        // place of the busy share in load reports, or -1
	near                      bool       // more proxies than a server has connections: each has a part
	cells, parts              int        // parts a zone, to leave connections free; in all
	strained                  int        // times in a row that the load was past squeezeAt
	due, watching             bool       // an interval ends; no tables are laid yet
	former                    bool       // proxies joined with tables of another
	now, started, countedAt   fleet.Time // of this step, of the first; when left was worked out
	judged, admitted, newest  fleet.Time // last judgement, last levels; newest report of tries
	askAt, askWait            fleet.Time // when to ask for the list, 0: no; wait before it is asked again
	wroteAt, pieceAt          fleet.Time // last message to all; when ordinary lines may go, 0: none wait
	alarmAt, squeezeEnd, turn fleet.Time // the last of the rationed reports
	lines, left, answered     float64    // put into the channel in all; gone from it; by answers to marks
	astray                    float64    // proxies that are not on our tables, or not surely
	marks                     map[fleet.BarrierID]*marked
	mark                      fleet.BarrierID // the latest
	moved                     float64         // part of the visits, or of servers, that came within the long look
	target, load, squeezed    float64         // busy share to agree on; the fleet's mean; that on one server
	usual, least, failing     float64         // of warm capacity: median, low quartile; failed share
	retry                     fleet.RetryMode
	orders                    []fleet.Order
}

type chance struct{ x, carry uint32 } // a multiply-with-carry generator

func (c *chance) next() float64 {
	t := 4294957665*uint64(c.x) + uint64(c.carry)
	c.x, c.carry = uint32(t), uint32(t>>32)
	return float64(c.x) / (1 << 32)
}

func New(site fleet.Site, seed uint64) *Balancer {
	g := &Balancer{
		site: site, chance: chance{uint32(seed) | 1, uint32(seed>>33) | 1}, askWait: 2 * heartbeat, started: -1,
		known: map[fleet.ServerID]*server{}, marks: map[fleet.BarrierID]*marked{},
		joined: map[fleet.ProxyID]*proxy{}, watching: true, target: busyMost,
		busyAt: slices.Index(site.LoadFields, fleet.LoadFieldUtilization),
		near:   cmp.Or(site.MinServerConnections, huge) < float64(site.ProxyCount),
	}
	each := slack * float64(site.ProxyCount) / float64(len(site.Zones))
	g.cells = int(max(1, min(enough, math.Ceil(each/cmp.Or(site.MinServerConnections, huge)))))
	g.parts = g.cells * len(site.Zones)
	for t := range (2 + len(site.Classes)) * g.parts {
		g.tables = append(g.tables, table{group: t / g.parts, part: t % g.parts})
	}
	for i, c := range site.Classes {
		work := max(none, c.LatencyObjective.Seconds())
		row := visitClass{value: c.PriorityWeight / work, work: work, level: 1}
		if row.out = (fleet.SetAdmission{Limit: huge, Retry: site.DefaultRetry}); c.ZoneLocal {
			row.group = 2 + i
		}
		g.cheap, g.classes = append(g.cheap, i), append(g.classes, row)
	}
	by := func(a, b int) int { return cmp.Compare(g.classes[a].value, g.classes[b].value) }
	slices.SortStableFunc(g.cheap, by)
	return g
}

// Step hears events and gives the orders to carry out now. The orders are good until the next Step.
func (g *Balancer) Step(now fleet.Time, events []fleet.Event) []fleet.Order {
	g.now, g.orders = now, g.orders[:0]
	if g.started < 0 {
		g.started, g.judged, g.countedAt, g.wroteAt = now, now, now, now-interval
		if g.site.ListOnRequest {
			g.askAt = now
		}
	}
	for _, e := range events {
		g.observe(e)
	}
	// Former tables may be down to withdrawn lines, so the watch ends well before that breaks a rule.
	watch := min(2*interval, g.site.MaxUnservedDuration/2)
	if all := float64(len(g.proxies) * len(g.servers)); !g.former && all > interval.Seconds()*g.site.EntriesPerSecond {
		watch = 2 * interval // lines once out are dear to change
	}
	watched := g.watching && (now >= g.started+watch || g.usual > 0 && now >= g.started+interval)
	g.due = now >= g.judged+interval || watched
	second := g.due || now >= g.admitted+interval/2 // levels follow demand at the pace of reports
	if !second && now < g.alarmAt {
		return g.orders
	}
	g.count()
	if second {
		g.admitted = now
		g.measure()
		g.admit()
	}
	if watched { // the first tables go by what servers were measured to carry
		g.watching = false
		for _, s := range g.ready {
			for t := range s.weight {
				s.weight[t] *= cmp.Or(s.capacity, 1) / cmp.Or(g.usual, 1)
			}
		}
	} else if g.due && g.usual > 0 && g.newest > g.judged { // with nothing new to go by, what is out stays
		g.judge()
		g.balance()
	}
	if g.due {
		g.judged, g.pieceAt = now, now
		g.forget()
	}
	g.count()
	g.wish()
	g.reconcile()
	return g.orders
}

func (g *Balancer) observe(event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		g.list(e)
	case fleet.ProxyJoined:
		p, n := g.joined[e.Proxy], len(g.classes)
		if g.alarmAt = g.now; p != nil && !e.Fresh { // it may have left unseen: on our tables still or not
			p.unsure, p.warned, p.since = true, false, g.now
		} else {
			g.leave(e.Proxy)
			p = &proxy{id: e.Proxy, since: g.now, usual: max(none, e.RequestRate), on: slices.Repeat([]int{-1}, n),
				part: min(int(e.Zone), len(g.site.Zones)-1)*g.cells + int(e.Proxy)%g.cells, usage: make([][]sample, n)}
			g.joined[p.id], g.proxies, g.former = p, append(g.proxies, p), g.former || !e.Fresh
			slices.SortFunc(g.proxies, func(a, b *proxy) int { return cmp.Compare(a.id, b.id) })
		}
	case fleet.ProxyLeft:
		g.leave(e.Proxy)
	case fleet.OutcomeReport:
		if s := g.known[e.Server]; s != nil && int(e.Zone) < len(g.site.Zones) {
			good := float64(e.Attempts) - float64(e.Failures)
			s.samples = append(s.samples[max(0, len(s.samples)-keepSamples):],
				sample{g.now, e.Interval, e.Latency, e.Zone, float64(e.Attempts), good, g.busyIn(e.Load)})
			if g.newest = g.now; good > 0 {
				s.lastGood = g.now
			}
		}
	case fleet.ProbeResult:
		if s := g.known[e.Server]; s != nil && e.Outcome == fleet.ProbeAnswered {
			s.samples = append(s.samples, sample{at: g.now, busy: g.busyIn(e.Load)})
		}
	case fleet.BarrierReached: // messages leave in their order
		if m := g.marks[e.Barrier]; m != nil {
			if sent := m.before + m.lines*min(1, m.answers/m.reached); sent > g.answered {
				g.answered, g.left = sent, sent // also where it is slower than counted on
			}
			m.answers++
			maps.DeleteFunc(g.marks, func(_ fleet.BarrierID, m *marked) bool { return m.before+m.lines <= g.answered })
		}
	case fleet.OrdersUnconfirmed:
		g.doubt(e.Orders)
	case fleet.DemandReport:
		if p := g.joined[e.Proxy]; p != nil && int(e.Class) < len(p.usage) {
			u, span := p.usage[e.Class], e.Interval
			if len(u) > 0 { // what lines state of a long silence ends at some seconds
				span = max(span, g.now-u[len(u)-1].at-g.turn)
			}
			if p.heard, u = p.usual, u[max(0, len(u)+1-few):]; e.Interval > few*g.site.ReportInterval {
				u = nil
			}
			p.usage[e.Class] = append(u, sample{at: g.now, span: span, tries: float64(e.Requests)})
		}
	}
}

func (g *Balancer) busyIn(load []float32) float64 {
	if g.busyAt < 0 || g.busyAt >= len(load) {
		return -1
	}
	return float64(load[g.busyAt])
}

// doubt takes in that orders may not be out. They go again as all others do, when the channel has room.
func (g *Balancer) doubt(orders []fleet.Order) {
	g.pieceAt = g.now
	for _, order := range orders {
		switch o := order.(type) {
		case fleet.SetWeight:
			if s := g.known[o.Server]; s != nil {
				s.unsure[o.Table] = true
			}
		case fleet.WithdrawServer:
			if s := g.known[o.Server]; s != nil {
				s.doubted = true
			}
		case fleet.SetAdmission:
			for c := range g.classes {
				g.classes[c].out.Limit = 0
			}
		case fleet.AssignTable:
			if p := g.joined[o.Proxy]; p != nil {
				p.unsure = true
			}
		}
	}
}

func (g *Balancer) leave(id fleet.ProxyID) {
	delete(g.joined, id)
	g.proxies = slices.DeleteFunc(g.proxies, func(p *proxy) bool { return p.id == id })
}

func (g *Balancer) list(e fleet.EndpointList) {
	if e.Scope == fleet.ListFailed {
		g.askAt = g.now + g.askWait.Scale(0.5+g.chance.next())
		g.askWait = min(max(2*heartbeat, g.site.MaxPollInterval/2), 2*g.askWait)
		return
	}
	g.askWait, g.alarmAt = 2*heartbeat, g.now
	atStart, listed := len(g.servers) == 0, map[fleet.ServerID]bool{}
	for _, entry := range e.Endpoints {
		s, known := g.known[entry.Server]
		if !known {
			n := len(g.tables)
			s = &server{weight: make([]float64, n), want: make([]float64, n), out: make([]float64, n)}
			s.unsure = make([]bool, n)
			g.known[entry.Server], g.servers = s, append(g.servers, s)
			s.part = min(int(entry.Zone), len(g.site.Zones)-1)*g.cells + len(g.servers)%g.cells
		}
		anew := !known || entry.Started != s.Started || s.State == fleet.ServerGone && entry.State != fleet.ServerGone
		s.Endpoint, listed[entry.Server] = entry, true
		if !anew {
			continue
		}
		*s = server{Endpoint: s.Endpoint, weight: s.weight, want: s.want, out: s.out, withdrawn: s.withdrawn,
			unsure: s.unsure, doubted: s.doubted, told: s.told, part: s.part, since: g.now,
			lastGood: g.now + interval, held: quarter}
		if atStart && !g.cold(s) { // it was up before we were: not fresh
			s.held, s.since = 1, 0
		}
		for t, b := range g.tables {
			if s.weight[t] = 1; g.near && s.part != b.part {
				s.weight[t] = max(leastWeight, tenth/float64(g.parts))
			}
			if atStart && g.site.ListWeight != fleet.ListWeightNone && s.Weight > 0 {
				s.weight[t] *= s.Weight
			}
		}
	}
	for _, s := range g.servers {
		if e.Scope != fleet.ListDelta && !listed[s.Server] {
			s.State = fleet.ServerGone
		}
	}
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.Server, b.Server) })
}

// Tracks tells whether a server is one that the governor still has to do with.
func (g *Balancer) Tracks(id fleet.ServerID) bool { return g.known[id] != nil }

// forget drops servers that are gone and in no table of ours: each that starts has a new id, without end.
// Proxies that come with former tables may still send there, so it waits for these to be on ours.
func (g *Balancer) forget() {
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		old := s.State == fleet.ServerGone && s.withdrawn && g.now > s.told+longestHold
		if !old || s.doubted || g.astray > 0 || slices.Max(s.out) > 0 || slices.Contains(s.unsure, true) {
			return false
		}
		g.orders = append(g.orders, fleet.WithdrawServer{Server: s.Server}) // costs no line, as no table has it
		delete(g.known, s.Server)
		return true
	})
}

func (g *Balancer) cold(s *server) bool {
	return s.Started > 0 && g.now < s.Started+g.site.SlowStart.Duration
}

func (g *Balancer) can(s *server) float64 { // the part of its capacity that it surely has
	if !g.cold(s) {
		return 1
	}
	return g.site.SlowStart.InitialFraction + (1-g.site.SlowStart.InitialFraction)*max(0, (g.now-s.Started).Seconds()/g.site.SlowStart.Duration.Seconds())
}

func (g *Balancer) carries(s *server) bool { return s.held > 0 && !s.refuge && !g.cold(s) }

func (g *Balancer) open(s *server, t int) bool {
	return s.State == fleet.ServerReady && (g.tables[t].group < 2 || s.part/g.cells == g.tables[t].part/g.cells)
}

func (g *Balancer) tableOf(c, part int) int {
	row := &g.classes[c]
	if row.group < 2 && !g.near {
		part = 0
	}
	return row.group*g.parts + part
}

// count works out demand, what comes to each table and who is on it.
func (g *Balancer) count() {
	lines := float64(len(g.proxies) * len(g.classes))
	g.ready, g.home, g.astray = nil, make([]bool, len(g.site.Zones)), 0
	anew := 0.0
	for _, s := range g.servers {
		if s.State == fleet.ServerReady {
			if g.ready = append(g.ready, s); s.since > 0 && g.now < s.since+longLook {
				anew++
			}
		}
	}
	for t, b := range g.tables {
		g.tables[t] = table{group: b.group, part: b.part}
		for _, s := range g.servers {
			if s.State == fleet.ServerReady && !s.withdrawn {
				g.tables[t].total += s.out[t]
			}
		}
	}
	all, heard, come := none, none, 0.0
	for _, p := range g.proxies {
		if g.now < p.since+longLook {
			come += p.usual
		}
		if !g.home[p.part/g.cells] {
			lines += float64(len(g.ready))
		}
		g.home[p.part/g.cells], p.astray, all, heard = true, p.unsure, all+p.usual, heard+p.heard
		for c, t := range p.on {
			p.astray = p.astray || t != g.tableOf(c, p.part)
			if t >= 0 && !slices.Contains(p.on[:c], t) {
				g.tables[t].users++
			}
		}
		if p.astray {
			g.astray++
		}
		if p.astray && !p.warned && g.now >= p.since+g.site.DrainTimeout/4 {
			p.warned = true
			for _, s := range g.servers {
				since := p.since - s.told
				s.doubted = s.doubted || s.withdrawn && since >= 0 && since <= few*interval
			}
		}
	}
	g.moved = max(come/all, anew/max(1, float64(len(g.ready))))
	g.turn = max(g.site.ReportInterval, fleet.Second.Scale(lines/max(1, g.site.ReportsPerSecond)))
	for c := range g.classes {
		row := &g.classes[c]
		for part := range g.parts {
			g.tables[g.tableOf(c, part)].classes |= 1 << c
		}
		row.demand = 0
		for _, p := range g.proxies {
			n := g.visits(p, c) * all / heard
			row.demand += n
			g.tables[g.tableOf(c, p.part)].asked += n * row.level
		}
	}
}

// measure works out the figures; the fewer tries a server had, the more it counts as average of its kind.
func (g *Balancer) measure() {
	load, capacity, tries, good := 0.0, 0.0, 0.0, 0.0
	kinds, warm := map[fleet.KindID][]float64{}, []float64{}
	for _, s := range g.ready {
		s.rate = 0
		for t, b := range g.tables {
			s.rate += b.asked * s.out[t] / max(b.total, none)
		}
		s.long = s.figures(g.newest-max(longLook, few*g.turn), len(g.site.Zones))
		s.short = s.figures(g.newest-max(shortLook, few*g.turn/2), len(g.site.Zones))
		tries, good = tries+s.short.tries, good+s.short.good
		if s.long.good < enough {
			continue
		}
		s.quiet = min(cmp.Or(s.quiet, s.long.latency), s.long.latency)
		if !s.refuge && !g.cold(s) && (!g.near || g.home[s.part/g.cells]) {
			warm, kinds[s.Kind] = append(warm, s.long.capacity), append(kinds[s.Kind], s.long.capacity)
		}
	}
	g.usual, g.least = cmp.Or(quantile(warm, 0.5), g.usual), cmp.Or(quantile(warm, quarter), g.least)
	g.failing = (tries - good) / max(1, tries)
	for _, s := range g.ready {
		if s.capacity = cmp.Or(quantile(kinds[s.Kind], 0.5), g.usual); g.near && !g.home[s.part/g.cells] {
			s.capacity *= tenth // those others use; ours only as a help
		}
		if s.long.capacity > 0 {
			s.capacity = (s.long.good + enough) / (s.long.good/s.long.capacity + enough/s.capacity)
		}
		if g.carries(s) {
			load, capacity = load+s.rate, capacity+s.capacity*s.held
		}
	}
	g.load = load / max(none, capacity)
	g.target = max(g.load, min(busyMost, slack*g.load))
}

func quantile(of []float64, share float64) float64 {
	slices.Sort(of)
	return append(of, 0)[int(float64(len(of))*share)]
}

// visits a second of a class that come to a proxy. Lines tell of times with visits only, so the silence since
// the last one counts too: where few come, three visits over the three waits before them are half too many.
func (g *Balancer) visits(p *proxy, class int) float64 {
	u := p.usage[class]
	if len(u) == 0 {
		return 0
	}
	return rate(u, max(0, g.newest-u[len(u)-1].at-g.turn))
}

func rate(samples []sample, span fleet.Time) float64 {
	tries := 0.0
	for _, m := range samples {
		tries, span = tries+m.tries, span+m.span
	}
	return tries / max(span.Seconds(), none)
}

// figures sums up the samples since a time. Rates go by the spans that reports state, as these come late.
func (s *server) figures(since fleet.Time, zones int) figures {
	f, latency, busy, told := figures{busy: -1}, 0.0, 0.0, 0.0
	byZone := make([]sample, zones)
	for _, m := range s.samples {
		if m.at < since {
			continue
		}
		z := &byZone[m.zone]
		z.span, z.tries = z.span+m.span, z.tries+m.good
		f.tries, f.good, latency = f.tries+m.tries, f.good+m.good, latency+m.good*m.latency.Seconds()
		if m.busy >= 0 {
			busy, told = busy+m.busy, told+1
		}
	}
	for z := range byZone {
		f.handled += rate(byZone[z:z+1], 0)
	}
	if told > 0 {
		f.busy = max(busyLeast, busy/told)
	}
	if f.good > 0 {
		f.latency, f.capacity = fleet.Second.Scale(latency/f.good), max(0, f.handled/f.busy)
	}
	return f
}

// judge sets what health leaves each server of its weight. None is blamed for what the fleet does; who fails
// a part of its tries still helps, and is cut off only if the others can carry it.
func (g *Balancer) judge() {
	zeroed, carry := 0.0, 0.0
	for _, s := range g.ready {
		if carry += s.capacity * s.held; s.held == 0 {
			zeroed++
		}
	}
	// Reports take turns: only a server passed over several times, while others were heard, is silent.
	most, missed, asked := max(quarter, 2*g.failing), few*g.turn, g.load*carry
	for _, s := range g.ready {
		unheard, failed, had := g.newest-s.lastGood, s.long.tries-s.long.good, s.capacity*s.held
		silent := unheard > missed && s.rate*unheard.Seconds() > enough
		sick := failed >= max(few, s.long.tries*most) &&
			(s.short.good < third*s.short.tries || asked < busyMost*(carry-had))
		late := s.quiet > 0 && s.long.latency > s.quiet.Scale(lateFactor/max(busyLeast, min(1, 1-s.long.busy)))
		switch {
		case s.held > 0 && s.long.busy < busySick && (silent || sick):
			s.hold = min(longestHold, max(interval, 2*s.hold))
			s.held, s.zeroUntil, carry = quarter, g.now+s.hold, carry-had
			if zeroed+1 <= float64(len(g.ready))*third {
				s.held, zeroed = 0, zeroed+1
			}
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"server %d cut off for %.0f s: silent %v, %.0f of %.0f tries failed",
				s.Server, s.hold.Seconds(), silent, failed, s.long.tries)})
			s.samples = s.samples[:0]
		case s.held == 0 && g.now >= s.zeroUntil:
			s.held, s.lastGood = quarter, g.now+interval
		case s.held == 0:
		case late:
			if !s.halved && s.rate < s.capacity*g.target {
				s.held, s.halved = max(quarter, s.held/2), true
			}
		default:
			if s.held, s.halved = min(1, s.held+quarter), false; s.held == 1 {
				s.hold = 0
			}
		}
	}
}

// balance is the design's ordinary path: cut by saturation overload, spread the cut evenly and normalise.
func (g *Balancer) balance() {
	density, agreed := make([]float64, len(g.ready)), make([]float64, len(g.ready))
	stay := func(s *server) float64 { return 1 + s.long.latency.Seconds()/interval.Seconds() }
	for i, s := range g.ready {
		if s.held > 0 && !s.refuge {
			density[i], agreed[i] = s.rate*stay(s), s.capacity*g.target*stay(s)
		}
	}
	for t, b := range g.tables {
		begun := func(s *server) float64 { return b.asked * s.out[t] / max(b.total, none) * interval.Seconds() }
		room := func(i int) float64 { // tries that a server at full weight can take up to saturation 1
			if s := g.ready[i]; g.open(s, t) && s.held == 1 && !g.cold(s) && density[i] < agreed[i] {
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
			if g.open(s, t) && s.held == 1 && !g.cold(s) {
				most = max(most, s.weight[t])
			}
		}
		for _, s := range g.ready {
			s.weight[t] = min(1, max(leastWeight, s.weight[t]/most))
		}
	}
}

// admit lets in what the fleet can handle on time, least value cut first; strained, it gets no further tries.
func (g *Balancer) admit() {
	handled, busy, carry, coming, demand := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range g.ready {
		if can := min(1, s.held+quarter) * g.can(s); s.held > 0 && (s.rate > none || g.watching) {
			carry += can
		} else if s.held > 0 { // fresh, in no table yet
			coming += can
		}
		if g.carries(s) && s.short.busy >= 0 {
			part := 1.0
			if s.short.busy < busySick && g.site.Admission != fleet.AdmissionUnlimited { // fails while idle: no want of it
				part = s.short.tries / max(1, s.short.good)
			}
			handled, busy = handled+s.short.handled*part, busy+s.short.busy
		}
	}
	for _, c := range g.classes {
		demand += c.demand
	}
	if busy == 0 || handled == 0 || demand < none {
		return
	}
	load := demand / (handled / busy * carry) // busy share that would let all in
	g.squeeze(load*carry/(carry+coming), carry+coming)
	over := demand * max(0, 1-busyMost/load)
	if g.retry = fleet.RetryNever; over == 0 {
		g.retry = fleet.RetryIfNotExecuted
	}
	for _, id := range g.cheap {
		c := &g.classes[id]
		cut := min(over, c.demand*(1-tenth))
		if over -= cut; g.site.Admission != fleet.AdmissionUnlimited {
			c.level = min(1-cut/max(c.demand, none), c.level+tenth)
		}
	}
}

// squeeze, where all is let in, gives the classes of least value a few servers to share, as a last resort.
func (g *Balancer) squeeze(load, carry float64) {
	if g.site.Admission != fleet.AdmissionUnlimited {
		return
	}
	if g.now < g.squeezeEnd { // the others' lighter mix tells too little of the load to end it; new servers do
		if load = g.squeezed / carry; load > busySick {
			return
		}
		g.squeezeEnd = 0
	}
	// What was handled lags behind where servers go, and tells nothing where many servers or proxies just came.
	n, work, need, refuge := float64(len(g.ready)), 0.0, 0.0, 0
	if g.strained++; g.watching || g.moved > quarter || min(load, g.load) < squeezeAt {
		g.strained = 0
	}
	fits := g.strained >= squeezeWait || load > busySick && g.now < g.squeezeEnd+interval
	for _, c := range g.classes {
		work += c.demand * c.work
	}
	for i, id := range slices.Backward(g.cheap) {
		c := &g.classes[id]
		part := c.demand * c.work / work * load / busyMost
		if fits = fits && i > 0 && (need == 0 || need+part < 1-tenth); fits {
			need = min(need+part, 1-tenth)
		}
		if c.group < 2 && !fits && need > 0 {
			c.group, refuge, g.squeezeEnd = 1, int(n-math.Ceil(need*n)), g.now+longestHold
			g.squeezed = load * carry
			g.orders = append(g.orders, fleet.LogMessage{Text: fmt.Sprintf(
				"class %d is squeezed: load %.2f of %.1f servers' worth, %.2f by tables; %d take it",
				id, load, carry, g.load, refuge)})
		} else if c.group < 2 {
			c.group = 0
		}
	}
	for _, s := range g.ready {
		if s.refuge = refuge > 0 && !g.cold(s); s.refuge {
			refuge--
		}
	}
}

func (g *Balancer) amount(class int) float64 { // its level: a share, or a rate at each proxy
	c, rates := g.classes[class], []float64{}
	if g.site.Admission == fleet.AdmissionFraction && c.level < 1 {
		return c.level
	}
	if c.level >= 1 {
		return huge
	}
	for _, p := range g.proxies {
		rates = append(rates, g.visits(p, class))
	}
	slices.Sort(rates)
	left := c.level * c.demand
	for i, r := range rates {
		if each := left / float64(len(rates)-i); r >= each {
			return each
		}
		left -= r
	}
	return huge
}

// wish works out the lines that should be out. Nobody goes bare: with no warm server left, all share.
func (g *Balancer) wish() {
	for t := range g.tables {
		b := &g.tables[t]
		for pass := 0; pass < 2 && b.warm == 0; pass++ {
			b.wanted = 0
			for _, s := range g.servers {
				right := pass == 1 || b.group > 1 || s.refuge == (b.group == 1)
				if s.want[t] = 0; (b.users > 0 || b.classes != 0) && right && g.open(s, t) {
					s.want[t] = s.weight[t] * max(s.held, quarter*float64(pass))
				}
				if b.wanted += s.want[t]; !g.cold(s) {
					b.warm += s.want[t]
				}
			}
		}
	}
	// Where most tries fail proxies crowd on the few that answer: a cold server must be out of the tables then.
	crowd := max(0, 1-math.Pow(g.failing, cmp.Or(float64(g.site.ProxyOutlierFailures), huge))/tenth)
	for _, s := range g.ready {
		if !g.cold(s) || g.usual == 0 {
			continue
		}
		can, load := g.can(s)*g.least*crowd, none
		for t, b := range g.tables {
			load += b.asked * s.want[t] / max(b.wanted, none)
		}
		for t, b := range g.tables {
			if b.warm > 0 {
				s.want[t] = min(s.want[t], s.want[t]/b.wanted*coldSafe*can/load*b.warm)
			} else if load > can*g.site.RecoveryRamp.OverloadFactor*room {
				s.want[t] = 0
			}
		}
	}
}

// reconcile emits the difference between what is wanted and what is out.
func (g *Balancer) reconcile() {
	g.left = min(g.lines, g.left+(g.now-g.countedAt).Seconds()*g.site.EntriesPerSecond*pace)
	if g.countedAt = g.now; g.alarmAt <= g.now {
		g.alarmAt = g.now + heartbeat
		g.orders = append(g.orders, fleet.SetTimer{Delay: heartbeat})
	}
	if g.askAt > 0 && g.askAt <= g.now {
		g.askAt, g.orders = 0, append(g.orders, fleet.WatchEndpoints{Enabled: true})
	}
	for _, s := range g.ready {
		if g.due && g.site.ProbesAllowed && g.site.LoadReports == fleet.LoadReportOnProbe {
			g.orders = append(g.orders, fleet.ProbeServer{Server: s.Server})
		}
	}
	if g.site.SliceCount > 0 {
		return
	}
	most := max(1, cmp.Or(g.site.MaxMessages, huge)-spareWrites)
	gap, before := max(2*heartbeat, g.site.MessageWindow/fleet.Time(most)), g.lines
	if g.now >= g.wroteAt+gap {
		g.publish()
	}
	if reached := g.join(); g.lines > before {
		if g.wroteAt == g.now {
			reached = len(g.proxies)
		}
		g.mark = (g.mark + 1) % 65536
		g.marks[g.mark] = &marked{before: before, lines: g.lines - before, reached: float64(reached)}
		g.orders = append(g.orders, fleet.Barrier{ID: g.mark})
	}
}

func (g *Balancer) waiting() float64 { // lines neither known to have arrived nor on their way
	return max(0, g.lines-g.left-g.site.MeanUpdateDelay.Seconds()*g.site.EntriesPerSecond*pace)
}

func (g *Balancer) head() float64 { return g.site.MessageOverhead + float64(len(g.classes)) + 1 } // and a mark

// line is a changed line, with the size of its change by which lines go.
type line struct {
	fleet.SetWeight
	size float64
}

// publish emits what goes to all. Urgent lines need no room; ordinary ones go once an interval, the largest
// changes first, and what the channel has no room for follows in pieces.
func (g *Balancer) publish() {
	users := float64(len(g.proxies))
	fit := room*g.site.MaxBacklog - g.waiting() - g.head()*users
	last := -(room - tenth/2) * g.site.MaxBacklog // of fit, for withdrawals
	// More than leaves till the next go only keeps others waiting, and proxies off their tables come first.
	kept := g.site.MaxBacklog * room * room * min(1, g.astray)
	kept = max(kept, fit+g.waiting()-room*interval.Seconds()*g.site.EntriesPerSecond)
	spare := quarter*float64(len(g.servers)) - float64(len(g.servers)-len(g.ready))
	for _, s := range g.servers {
		// Standing tables send to cold servers as to all others, so some stay out until no proxy goes by one.
		out := s.State != fleet.ServerReady
		if !out && g.astray > 0 && g.cold(s) && spare > 1 {
			out, spare = true, spare-1
		}
		on := g.astray // those whose tables may have it
		for t, b := range g.tables {
			if s.out[t] > 0 || s.unsure[t] {
				on = min(users, on+b.users)
			}
		}
		if (out != s.withdrawn || s.doubted) && (fit > on || out && fit-on > last) {
			s.withdrawn, s.doubted, s.told, fit = out, false, g.now, fit-on
			g.toAll(fleet.WithdrawServer{Server: s.Server, Withdrawn: out}, on)
		}
	}
	for c := range g.classes {
		l, out := fleet.SetAdmission{Table: fleet.AllTables, Classes: 1 << c, Retry: g.retry}, &g.classes[c].out
		l.Limit = float32(g.amount(c))
		if fit > users && (math.Abs(float64(l.Limit/out.Limit-1)) > tenth || l.Retry != out.Retry) {
			*out, fit = l, fit-users
			g.toAll(l, users)
		}
	}
	// Proxies go by ratios, so a factor common to most lines of a table is no change.
	ordinary, lines := g.pieceAt > 0 && g.now >= g.pieceAt, []line{}
	dear := g.near && float64(g.site.ProxyCount*len(g.servers)) > g.site.EntriesPerSecond*g.site.DrainTimeout.Seconds()
	for t, b := range g.tables {
		scale, top := []float64{}, 0.0
		for _, s := range g.servers {
			top = max(top, s.want[t])
			if ratio := s.out[t] / max(s.want[t], none); ratio > 1/huge && ratio < huge {
				scale = append(scale, ratio)
			}
		}
		unit := cmp.Or(quantile(scale, 0.5), 1)
		for _, s := range g.servers {
			w, o := s.want[t]*unit, s.out[t]
			if (b.users == 0 || dear) && s.want[t] < tenth*top { // would make joins dear; few miss it
				w = 0
			}
			change, idle := math.Abs(w-o), b.total > 0 || b.users == 0
			if s.unsure[t] {
				change = max(w, o)
			}
			small := o == 0 && change < tenth*unit && idle && (g.watching || g.astray > 0) // would make joins dear
			urgent := !s.withdrawn && (b.total == 0 || g.cold(s) && (o > slack*w || s.unsure[t]))
			same := w == o || w > 0 && change <= leastChange*o || small
			if same && !s.unsure[t] || !ordinary && !urgent {
				continue
			}
			l := line{SetWeight: fleet.SetWeight{Table: fleet.TableID(t), Server: s.Server, Weight: float32(w)}}
			if urgent {
				l.size = huge + change/unit
			} else if !s.withdrawn {
				l.size = change / unit
			}
			lines = append(lines, l)
		}
	}
	if ordinary {
		g.pieceAt = 0
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(b.size, a.size) })
	for _, l := range lines {
		on := g.tables[l.Table].users
		fit -= on
		if on > 0 && (l.size < huge && fit < kept || fit < -(quarter+tenth)*g.site.MaxBacklog) {
			g.pieceAt = g.now + interval/2
			continue
		}
		g.known[l.Server].out[l.Table], g.known[l.Server].unsure[l.Table] = float64(l.Weight), false
		g.toAll(l.SetWeight, on)
	}
}

func (g *Balancer) toAll(order fleet.Order, users float64) { // costs a line at each of so many proxies
	if g.lines += users; users > 0 && g.wroteAt != g.now {
		g.wroteAt, g.lines = g.now, g.lines+g.head()*float64(len(g.proxies))
	}
	g.orders = append(g.orders, order)
}

// join puts proxies on their tables, those with most visits first, as many as the channel has room for.
func (g *Balancer) join() (bound int) {
	for t := range g.tables { // as they are now that lines went out
		for _, s := range g.servers {
			if s.out[t] > 0 {
				g.tables[t].lines++
			}
			if s.out[t] > 0 && s.withdrawn {
				g.tables[t].lines++
			}
		}
	}
	astray := slices.DeleteFunc(slices.Clone(g.proxies), func(p *proxy) bool { return !p.astray })
	slices.SortStableFunc(astray, func(a, b *proxy) int { return cmp.Compare(b.usual, a.usual) })
	for _, p := range astray {
		binds, lines := []fleet.Order{}, g.head()
		for t, b := range g.tables {
			astray := false
			for c, on := range p.on {
				astray = astray || b.classes&(1<<c) != 0 && (on != t || p.unsure) && g.tableOf(c, p.part) == t
			}
			if astray {
				binds = append(binds, fleet.AssignTable{Proxy: p.id, Table: fleet.TableID(t), Classes: b.classes})
				lines += 1 + b.lines
			}
		}
		most := room
		if g.now >= p.since+g.site.DrainTimeout/8 { // it may send to servers that are out
			most += quarter + tenth
		}
		if g.watching || g.waiting() > 0 && g.waiting()+lines > most*g.site.MaxBacklog {
			continue
		}
		g.lines, g.orders, p.unsure = g.lines+lines, append(g.orders, binds...), false
		bound++
		for c := range p.on {
			p.on[c] = g.tableOf(c, p.part)
		}
	}
	return bound
}

// Package guard judges every message before it leaves for a proxy: it holds back or lowers what would leave a class
// without a ready server, push a cold server over, bring a draining or gone server back, or let an effect happen
// twice. It is pure: it hears the events that the module hears, and is asked by package steer. It also judges tables
// that staff push or ask about. docs/design/guard.md defines each harm and which rule goes before which.
package safety

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

const (
	trustFull   = 5 * fleet.Second  // a measured capacity counts as it is for so long: two intervals and a turn of reports
	trustGone   = 60 * fleet.Second // and not at all after so long: from then only what the server was seen to carry
	lookBack    = 10 * fleet.Second // reports of so long make a capacity: some 30 tries at a few a second
	chance      = 2.0               // standard deviations of visits in a span that are allowed for
	slackVisits = 2.0               // visits that a span may have more: single ones are large for a small server
	busyLeast   = 0.05              // a busy share under this tells nothing of capacity
	quarter     = 0.25              // of warm servers have less than what a cold one is taken to reach
	usageKept   = 3                 // reports of a proxy's visits that count; the largest does
	stall       = 2 * fleet.Second  // a proxy may stand still for so long between two tries
	overload    = 1.0               // part of their capacity that servers of a table may be asked for
	samplesKept = 64                // of a server: over lookBack at several zones and reports a second
	lowerTries  = 3                 // to lower a cold server's lines before what would raise them is held back
	none        = 1e-9
)

// Reasons, as staff see them.
const (
	ReasonServerNotReady       = "its server is draining or gone"
	ReasonNoEndpoints          = "the class would have no ready server"
	ReasonWarmingOverload      = "a cold server would get more than it can bear"
	ReasonDuplicateExecution   = "a visit could run twice"
	ReasonInsufficientCapacity = "the other servers could not carry it"
)

type sample struct {
	at, span fleet.Time
	zone     fleet.ZoneID
	good     float64
	busy     float64 // negative: not told
}

type server struct {
	fleet.Endpoint
	samples    []sample
	capacity   float64    // visits a second of ours at a busy share of 1, as last measured
	carried    float64    // visits a second of ours that it was seen to handle when that was measured
	measuredAt fleet.Time // of that
	loads      []float64  // by proxy, while cold: the most that each may send, visits a second
	total      float64    // of loads
	bears      float64    // as worked out at bearsAt
	bearsAt    fleet.Time
}

type proxy struct {
	usual float64
	usage [][]float64 // by class: the latest rates
	left  fleet.Time  // since when its stream is gone, 0: it stands
}

// Guard is one governor's.
type Guard struct {
	site    fleet.Site
	servers map[fleet.ServerID]*server
	proxies map[fleet.ProxyID]*proxy
	busyAt  int
	ready   int                      // servers listed as ready
	kinds   map[fleet.KindID]float64 // what a cold server of a kind is taken to reach, as worked out at kindsAt
	kindsAt fleet.Time
	sums    []int     // kept for its room
	each    []float64 // the same
	passed  uint64
	stopped uint64
}

var _ reconcile.SafetyCheck = (*Guard)(nil)

// New makes a guard that knows nothing yet.
func New(site fleet.Site) *Guard {
	return &Guard{site: site, kindsAt: -1, servers: map[fleet.ServerID]*server{}, proxies: map[fleet.ProxyID]*proxy{},
		busyAt: slices.Index(site.LoadFields, fleet.LoadFieldUtilization)}
}

// Hear takes in what the module hears.
func (g *Guard) Hear(now fleet.Time, event fleet.Event) {
	switch e := event.(type) {
	case fleet.EndpointList:
		g.list(now, e)
	case fleet.ProxyJoined:
		g.proxies[e.Proxy] = &proxy{usual: e.RequestRate, usage: make([][]float64, len(g.site.Classes))}
	case fleet.ProxyLeft:
		if p := g.proxies[e.Proxy]; p != nil {
			p.left = now
		}
	case fleet.DemandReport:
		if p := g.proxies[e.Proxy]; p != nil && int(e.Class) < len(p.usage) && e.Interval > 0 {
			u := p.usage[e.Class]
			p.usage[e.Class] = append(u[max(0, len(u)+1-usageKept):], float64(e.Requests)/e.Interval.Seconds())
		}
	case fleet.OutcomeReport:
		if s := g.servers[e.Server]; s != nil && e.Attempts >= e.Failures {
			busy := -1.0
			if g.busyAt >= 0 && g.busyAt < len(e.Load) {
				busy = float64(e.Load[g.busyAt])
			}
			s.samples = append(s.samples[max(0, len(s.samples)+1-samplesKept):],
				sample{now, e.Interval, e.Zone, float64(e.Attempts - e.Failures), busy})
			g.measure(now, s)
		}
	}
}

func (g *Guard) list(now fleet.Time, l fleet.EndpointList) {
	if l.Scope == fleet.ListFailed {
		return
	}
	listed := map[fleet.ServerID]bool{}
	for _, e := range l.Endpoints {
		s := g.servers[e.Server]
		if s == nil {
			s = &server{}
			g.servers[e.Server] = s
		}
		if listed[e.Server] = true; e.Started != s.Started { // started anew, perhaps while it was still warming
			s.samples, s.bearsAt = nil, 0 // what proxies may send it stands: they hold the same lines
			for id := range s.loads {     // but for those gone so long that they are another's, or none
				if p := g.proxies[fleet.ProxyID(id)]; p != nil && p.left > 0 && now > p.left+g.site.SlowStart.Duration {
					s.send(fleet.ProxyID(id), 0)
				}
			}
		}
		s.Endpoint = e
	}
	g.ready, g.kindsAt = 0, -1
	for id, s := range g.servers {
		if l.Scope != fleet.ListDelta && !listed[id] {
			s.State = fleet.ServerGone
		}
		if s.State == fleet.ServerReady {
			g.ready++
		}
	}
}

// sends gives what a proxy may send to a cold server.
func (s *server) sends(p fleet.ProxyID) float64 {
	if int(p) >= len(s.loads) {
		return 0
	}
	return s.loads[p]
}

// send notes what a proxy may send to a cold server.
func (s *server) send(p fleet.ProxyID, load float64) {
	if int(p) >= len(s.loads) {
		s.loads = append(s.loads, make([]float64, int(p)+1-len(s.loads))...)
	}
	s.total = max(0, s.total+load-s.loads[p])
	s.loads[p] = load
}

// measure works a server's capacity out from its latest reports: visits of ours that it handled over its busy share.
// What it handled is what it can at least.
func (g *Guard) measure(now fleet.Time, s *server) {
	if g.cold(now, s) {
		return // that is what it can while cold
	}
	good, span := map[fleet.ZoneID]float64{}, map[fleet.ZoneID]float64{}
	busy, told := 0.0, 0.0
	for _, m := range s.samples {
		if m.at < now-lookBack {
			continue
		}
		good[m.zone] += m.good
		span[m.zone] += m.span.Seconds()
		if m.busy >= 0 {
			busy, told = busy+m.busy, told+1
		}
	}
	carried := 0.0
	for zone, n := range good { // the sum of floats in any order differs in its last bits only
		carried += n / max(none, span[zone])
	}
	s.carried, s.capacity, s.measuredAt = carried, carried, now
	g.kindsAt = -1
	if told > 0 {
		s.capacity = max(carried, carried/max(busyLeast, busy/told))
	}
}

func (g *Guard) cold(now fleet.Time, s *server) bool {
	return s.Started > 0 && now < s.Started+g.site.SlowStart.Duration
}

// trust tells how much a measured capacity counts at its age. A clock that went back makes nothing younger than new.
func trust(age fleet.Time) float64 {
	return max(0, min(1, float64(trustGone-age)/float64(trustGone-trustFull)))
}

// trustedCapacity gives the capacity that a warm server surely has: what was measured while that is fresh, then, falling with its
// age, no more than what it was seen to carry. Known: it was ever heard of.
func (s *server) trustedCapacity(now fleet.Time) (capacity float64, known bool) {
	return s.carried + (s.capacity-s.carried)*trust(max(0, now-s.measuredAt)), s.measuredAt > 0
}

// coldCan gives the visits a second that a cold server surely can when warm: the low quartile of what warm ones of its
// kind can, of all where its kind is not known, and an even share of what usually comes where nothing is. It is worked
// out once for each time.
func (g *Guard) coldCan(now fleet.Time, of *server) float64 {
	if g.kindsAt != now {
		g.kindsAt, g.kinds = now, map[fleet.KindID]float64{}
		same, all := map[fleet.KindID][]float64{}, []float64{}
		for _, s := range g.servers {
			if c, known := s.trustedCapacity(now); known && s.State == fleet.ServerReady && !g.cold(now, s) {
				same[s.Kind], all = append(same[s.Kind], c), append(all, c)
			}
		}
		g.kinds[anyKind] = -1
		if len(all) > 0 {
			g.kinds[anyKind] = lowQuartile(all)
		}
		for kind, of := range same {
			g.kinds[kind] = lowQuartile(of)
		}
	}
	if c, known := g.kinds[of.Kind]; known {
		return c
	}
	if c := g.kinds[anyKind]; c >= 0 {
		return c
	}
	usual := 0.0
	for _, p := range g.proxies {
		usual += p.usual
	}
	return usual / float64(max(1, g.ready))
}

const anyKind fleet.KindID = math.MaxUint8 // no site has as many

func lowQuartile(of []float64) float64 {
	slices.Sort(of)
	return of[int(quarter*float64(len(of)))]
}

// Bearable gives the visits a second of ours that a cold server bears: so many that within any span that counts, chance
// included, they stay under the stated multiple of what it can now.
func (g *Guard) Bearable(now fleet.Time, id fleet.ServerID) float64 {
	return g.bearable(now, g.servers[id])
}

func (g *Guard) bearable(now fleet.Time, s *server) float64 {
	if s == nil || !g.cold(now, s) {
		return math.Inf(1)
	}
	if s.bearsAt == now && g.kindsAt == now {
		return s.bears
	}
	grown := max(0, min(1, (now-s.Started).Seconds()/max(none, g.site.SlowStart.Duration.Seconds())))
	part := g.site.SlowStart.InitialFraction + (1-g.site.SlowStart.InitialFraction)*grown
	span := max(none, g.site.RecoveryRamp.Duration.Seconds())
	budget := g.site.RecoveryRamp.OverloadFactor * part * g.coldCan(now, s) * span
	s.bears, s.bearsAt = bearable(budget, span), now
	return s.bears
}

// bearable solves n + chance x root n = budget + slack for the visits n of a span.
func bearable(budget, span float64) float64 {
	root := math.Sqrt(chance*chance/4+budget+slackVisits) - chance/2
	return root * root / span
}

// Demand gives the visits a second of a class that may come to a proxy: the most of its latest reports, or an even
// part of what is usual.
func (g *Guard) Demand(id fleet.ProxyID, class fleet.ClassID) float64 {
	p := g.proxies[id]
	if p == nil {
		return 0
	}
	if u := p.usage[class]; len(u) > 0 {
		return slices.Max(u)
	}
	return p.usual / float64(len(p.usage))
}

// RetryMost gives the most that a class's visits may be tried again without an effect happening twice.
func (g *Guard) RetryMost(class fleet.ClassID) fleet.RetryMode {
	c := g.site.Classes[class]
	switch {
	case c.Idempotency == fleet.Idempotent:
		return fleet.RetryTwice
	case c.Idempotency == fleet.NotIdempotent, c.DeduplicationScope == fleet.DeduplicationCell, c.DeduplicationScope == fleet.DeduplicationZone && !c.ZoneLocal:
		return fleet.RetryIfNotExecuted
	}
	again := c.LatencyObjective.Scale(g.site.AttemptTimeoutFactor) + stall // a further try begins this long after the first at most
	switch {
	case 2*again < c.DeduplicationWindow:
		return fleet.RetryTwice
	case again < c.DeduplicationWindow:
		return fleet.RetryOnce
	}
	return fleet.RetryIfNotExecuted
}

// Counts tells how many proposals passed and how many were held back or lowered.
func (g *Guard) Counts() (passed, stopped uint64) { return g.passed, g.stopped }

// ProxyLeft keeps what the proxy may go on sending: it is counted until the cold servers are warm.
func (g *Guard) ProxyLeft(id fleet.ProxyID) {}

// line is a cold line as it will be after a message.
type line struct {
	reconcile.WarmingEntry
	weight   int // after
	proposal int // its place among the proposals, -1: it is not among them
}

// commit notes what a proxy may send to each cold server. Afresh: nothing of before counts any more.
func (g *Guard) commit(d *reconcile.UpdatePlan, loads map[fleet.ServerID]float64, afresh bool) {
	for id, load := range loads {
		s := g.servers[id]
		if s == nil {
			continue
		}
		if afresh || load > s.sends(d.Proxy) {
			s.send(d.Proxy, load)
		}
	}
}

// ProxyJoined takes in what a proxy holds.
func (g *Guard) ProxyJoined(now fleet.Time, d *reconcile.UpdatePlan) { g.ProxyAcknowledged(now, d) }

// ProxyAcknowledged takes in that a proxy holds what it was sent, and, if nothing else is on its way, nothing else any more.
func (g *Guard) ProxyAcknowledged(now fleet.Time, d *reconcile.UpdatePlan) {
	loads := g.loads(d, coldLines(d, false), d.WeightSums)
	if d.NothingInFlight {
		for id, s := range g.servers {
			if s.sends(d.Proxy) > 0 {
				loads[id] = max(loads[id], 0) // none, where it has no line any more
			}
		}
	}
	g.commit(d, loads, d.NothingInFlight)
}

// coldLines gives the cold lines of a draft as they are before it or will be after it.
func coldLines(d *reconcile.UpdatePlan, after bool) []line {
	var lines []line
	for _, c := range d.Warming {
		lines = append(lines, line{c, int(c.State.Weight), -1})
	}
	if !after {
		return lines
	}
	for i := range d.Proposals {
		p := &d.Proposals[i]
		if !p.Warming || !p.Ready || p.Kind == reconcile.UpdateAdmission {
			continue
		}
		weight := 0
		if cell := p.Want; p.HoldReason != "" {
			cell = p.Have
			if cell.Usable() {
				weight = int(cell.Weight)
			}
		} else if cell.Usable() {
			weight = int(cell.Weight)
		}
		at := slices.IndexFunc(lines, func(l line) bool { return l.Server == p.Server && l.Class == p.Class })
		if at < 0 {
			lines = append(lines, line{reconcile.WarmingEntry{Class: p.Class, Server: p.Server, State: p.Want}, 0, i})
			at = len(lines) - 1
		}
		lines[at].weight, lines[at].proposal = weight, i
	}
	return lines
}

// loads gives the visits a second that a proxy's cold lines bring to each server.
func (g *Guard) loads(d *reconcile.UpdatePlan, lines []line, sums []int) map[fleet.ServerID]float64 {
	loads := map[fleet.ServerID]float64{}
	for _, l := range lines {
		if l.weight > 0 {
			loads[l.Server] += g.Demand(d.Proxy, l.Class) * float64(l.weight) / float64(max(1, sums[l.Class]))
		}
	}
	return loads
}

// CheckPlan judges one message. The order in which rules go: drains bind even where the last server goes; then nobody
// bare; then cold.
func (g *Guard) CheckPlan(now fleet.Time, d *reconcile.UpdatePlan) {
	for i := range d.Proposals {
		p := &d.Proposals[i]
		switch {
		case p.Kind == reconcile.UpdateAdmission:
			if most := g.RetryMost(p.Class); p.Admission.Retry > most {
				p.Admission.Retry, p.LowerReason = most, ReasonDuplicateExecution
			}
		case !p.Ready && p.Want.Usable() && !p.Have.Usable() && g.binds(p.Server):
			p.HoldReason = ReasonServerNotReady
		}
	}
	g.bare(d)
	g.crowd(now, d)
	for i := range d.Proposals {
		if d.Proposals[i].HoldReason != "" || d.Proposals[i].LowerReason != "" {
			g.stopped++
		} else {
			g.passed++
		}
	}
}

// binds tells whether nothing may be sent to a server that is not ready.
func (g *Guard) binds(id fleet.ServerID) bool {
	s := g.servers[id]
	return s != nil && (s.State == fleet.ServerDraining || s.State == fleet.ServerGone && !g.site.RemovalNotBinding)
}

// bare holds back what would take a class's last line of a ready server: of the lines that the message takes, the one
// with the largest weight stays, a warm one before a cold one.
func (g *Guard) bare(d *reconcile.UpdatePlan) {
	for c := range d.EntryCounts {
		left, keep := d.EntryCounts[c], -1
		if left == 0 {
			continue // it is bare already, by nobody's order of now
		}
		for i := range d.Proposals {
			p := &d.Proposals[i]
			if int(p.Class) != c || p.Kind == reconcile.UpdateAdmission {
				continue
			}
			gives := p.EntryDelta()
			if left += gives; gives >= 0 {
				continue
			}
			if keep < 0 || d.Proposals[keep].Warming && !p.Warming ||
				d.Proposals[keep].Warming == p.Warming && p.Have.Weight > d.Proposals[keep].Have.Weight {
				keep = i
			}
		}
		if left <= 0 && keep >= 0 {
			d.Proposals[keep].HoldReason = ReasonNoEndpoints
		}
	}
}

// crowd lowers lines of cold servers until each bears what all proxies may send it: this one at each moment while it
// reads the message, the others as much as they hold or as is on its way to them, whichever is more. What lowering
// does not mend is held back.
func (g *Guard) crowd(now fleet.Time, d *reconcile.UpdatePlan) {
	if g.harmless(now, d) {
		return
	}
	lines := coldLines(d, true)
	tried := map[fleet.ServerID]int{}
	before := g.loads(d, coldLines(d, false), d.WeightSums)
	loads, cut := g.peaks(d)
	for range lowerTries * (len(lines) + 1) {
		worst, over, room := fleet.ServerID(0), 0.0, 0.0
		for _, l := range lines { // in their order, so that the same draft is judged the same each time
			free := max(0, g.Bearable(now, l.Server)-g.otherProxiesLoad(l.Server, d.Proxy))
			load := loads[l.Server]
			if before[l.Server] > free { // it began too high: what counts is what its cut leaves
				load = cut[l.Server]
				if s := g.servers[l.Server]; s != nil && s.total > 0 { // the others are cut as well: each keeps its part
					free = max(free, min(1, before[l.Server]/s.total)*g.Bearable(now, l.Server))
				}
			}
			if excess := load - free; excess > none*free+none && excess > over && tried[l.Server] <= lowerTries {
				worst, over, room = l.Server, excess, free
			}
		}
		if over == 0 {
			break
		}
		tried[worst]++
		part, sums := room/(room+over), g.sumsAfter(d, lines)
		for i := range lines {
			l := &lines[i]
			if l.Server == worst && (tried[worst] >= lowerTries || l.weight > 0 && !g.lower(d, l, lines, sums, part)) {
				g.revert(d, l.Class)
			}
		}
		lines = coldLines(d, true)
		loads, cut = g.peaks(d)
	}
	g.commit(d, loads, d.NothingInFlight)
}

// harmless passes what is plainly so, at a cost of the proxy's cold lines only: nothing raises a cold line, and after the
// message none brings its server more than there is room for. As Arrange keeps every share within what it was before
// and will be after, nothing between is worse.
func (g *Guard) harmless(now fleet.Time, d *reconcile.UpdatePlan) bool {
	for i := range d.Proposals {
		if p := &d.Proposals[i]; p.Warming && p.Ready && p.Kind != reconcile.UpdateAdmission {
			return false
		}
	}
	if len(d.Warming) == 0 {
		return true
	}
	g.sums = append(g.sums[:0], d.WeightSums...)
	for i := range d.Proposals {
		if p := &d.Proposals[i]; p.Kind != reconcile.UpdateAdmission {
			g.sums[p.Class] += p.WeightDelta()
		}
	}
	g.each = g.each[:0]
	for c := range d.WeightSums { // visits a second that a weight of one brings
		g.each = append(g.each, g.Demand(d.Proxy, fleet.ClassID(c))/float64(max(1, g.sums[c])))
	}
	for i := 0; i < len(d.Warming); {
		id, load := d.Warming[i].Server, 0.0
		for ; i < len(d.Warming) && d.Warming[i].Server == id; i++ { // a server's lines stand together
			load += g.each[d.Warming[i].Class] * float64(d.Warming[i].State.Weight)
		}
		s := g.servers[id]
		if s == nil {
			continue
		}
		switch was := s.sends(d.Proxy); {
		case max(0, load-was)+s.total > g.bearable(now, s):
			return false // the slow way tells
		case load > was:
			s.send(d.Proxy, load)
		}
	}
	return true
}

// peaks gives the most that a proxy's cold lines bring to each server at any moment while it reads a message, and the
// most from the server's own last cut on.
func (g *Guard) peaks(d *reconcile.UpdatePlan) (most, cut map[fleet.ServerID]float64) {
	order := *d
	order.Proposals = slices.Clone(d.Proposals)
	reconcile.Arrange(&order)
	lines, sums := coldLines(d, false), slices.Clone(d.WeightSums)
	most, cut = g.loads(d, lines, sums), map[fleet.ServerID]float64{}
	for i := range order.Proposals {
		p := &order.Proposals[i]
		adds := p.WeightDelta()
		if adds == 0 {
			continue
		}
		sums[p.Class] += adds
		if p.Warming {
			at := slices.IndexFunc(lines, func(l line) bool { return l.Server == p.Server && l.Class == p.Class })
			if at < 0 {
				lines, at = append(lines, line{reconcile.WarmingEntry{Class: p.Class, Server: p.Server}, 0, -1}), len(lines)
			}
			lines[at].weight += adds
		}
		if next := i + 1; adds > 0 && !p.Warming && next < len(order.Proposals) && order.Proposals[next].WeightDelta() > 0 && !order.Proposals[next].Warming {
			continue // warm lines gain: shares of cold ones only fall
		}
		if p.Warming && adds < 0 {
			cut[p.Server] = 0
		}
		for id, load := range g.loads(d, lines, sums) {
			most[id], cut[id] = max(most[id], load), max(cut[id], load)
		}
	}
	return most, cut
}

// otherProxiesLoad gives what the other proxies may send to a server.
func (g *Guard) otherProxiesLoad(id fleet.ServerID, but fleet.ProxyID) float64 {
	s := g.servers[id]
	if s == nil {
		return 0
	}
	return max(0, s.total-s.sends(but))
}

// sumsAfter gives the weights of each class's usable lines of ready servers after the message.
func (g *Guard) sumsAfter(d *reconcile.UpdatePlan, lines []line) []int {
	sums := slices.Clone(d.WeightSums)
	for i := range d.Proposals {
		if p := &d.Proposals[i]; !p.Warming {
			sums[p.Class] += p.WeightDelta()
		}
	}
	for _, l := range lines {
		sums[l.Class] += l.weight
	}
	for _, c := range d.Warming {
		sums[c.Class] -= int(c.State.Weight)
	}
	return sums
}

// lower gives a cold line so little that its share is no more than a part of what it would be, whatever becomes of other
// cold lines. It can't where the class would have cold lines only: those stand in for each other.
func (g *Guard) lower(d *reconcile.UpdatePlan, l *line, lines []line, sums []int, part float64) bool {
	warm := sums[l.Class]
	for _, o := range lines {
		if o.Class == l.Class {
			warm -= o.weight
		}
	}
	if warm == 0 {
		return false
	}
	share := part * float64(l.weight) / float64(max(1, sums[l.Class]))
	weight := int(share / max(none, 1-share) * float64(warm))
	if weight >= l.weight {
		return true
	}
	switch p := l.proposal; {
	case p < 0:
		d.AddWeightCut(l.WarmingEntry, int16(weight), ReasonWarmingOverload)
		l.proposal = len(d.Proposals) - 1
	case weight == 0 && !d.Proposals[p].Have.Usable():
		d.Proposals[p].HoldReason = ReasonWarmingOverload
	default:
		d.Proposals[p].LowerWeight(int16(weight), ReasonWarmingOverload)
	}
	l.weight = weight
	return true
}

// revert holds back all that a message changes for a class's ready servers, so that what stood stays. Where nothing is
// left to hold back the class has cold servers only, and nobody bare goes before cold.
func (g *Guard) revert(d *reconcile.UpdatePlan, class fleet.ClassID) {
	for i := range d.Proposals {
		if p := &d.Proposals[i]; p.Class == class && p.Ready && p.Kind != reconcile.UpdateAdmission && p.HoldReason == "" && p.WeightDelta() != 0 {
			p.HoldReason = ReasonWarmingOverload
		}
	}
}

// Say tells a refusal in words.
func Say(r reconcile.Refusal, server string) string {
	if r.Admission {
		return fmt.Sprintf("class %d: further tries: %s", r.Class, r.Reason)
	}
	return fmt.Sprintf("server %s: %s", cmp.Or(server, fmt.Sprint(r.Server)), r.Reason)
}

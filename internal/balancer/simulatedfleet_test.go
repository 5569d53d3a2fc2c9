package balancer

import (
	"fmt"
	"math/rand"
	"slices"

	"cressknot/internal/fleet"
)

// simulatedFleet keeps account of the tables that proxies hold by the orders given, and checks the five rules after every
// step. It simulates no visits: reports say what the shares held would bring.
type simulatedFleet struct {
	rng                 *rand.Rand
	site                fleet.Site
	balancer            *Balancer
	now                 fleet.Time
	tables              map[fleet.TableID]map[fleet.ServerID]float64
	admissionLimits     map[int]float64 // by class
	servers             []*fakeServer
	proxies             []*fakeProxy
	channelSlowdown     float64        // than stated the channel is so many times
	channel             []queuedUpdate // what waits in it
	unconfirmedFraction float64        // share of steps whose orders nobody knows the fate of: half of them are lost
	pendingEvents       []fleet.Event
	weightOrders        int // lines set
	violation           string
	observeOrders       func(fleet.Time, []fleet.Order) // of each step's orders; may be nil
}

type queuedUpdate struct {
	entries         float64
	acknowledgement fleet.BarrierReached
}

type fakeServer struct {
	fleet.Endpoint
	stateChangedAt fleet.Time // of its state
	failedFraction float64    // failed share
	unresponsive   bool
}

type fakeProxy struct {
	joined                bool
	zone                  fleet.ZoneID
	joinedAt              fleet.Time
	ownTables             []map[fleet.ServerID]float64 // by class: standing or former table
	assignedTables        []int                        // by class: the governor's table, or -1
	withdrawn             map[fleet.ServerID]bool
	withoutEndpointsSince []fleet.Time // by class: since when, 0: not
	messagesAt            []fleet.Time
	demand                float64 // visits a second of each class
}

const fakeServerCapacity, farFuture = 20.0, 1e6 * fleet.Second // visits a second of a warm server; past any test

func testSite(rng *rand.Rand) fleet.Site {
	ms := fleet.Millisecond
	return fleet.Site{
		Zones: []string{"a", "b"}, Controllers: 1, LoadFields: []fleet.LoadField{fleet.LoadFieldInFlight, fleet.LoadFieldUtilization},
		LoadReports: fleet.LoadReportInline, ListOnRequest: rng.Intn(2) == 0, Admission: fleet.AdmissionMode(rng.Intn(3)),
		Classes: []fleet.RequestClass{
			{Idempotency: fleet.Idempotent, PriorityWeight: 1, LatencyObjective: fleet.Second, Deadline: 4 * fleet.Second},
			{Idempotency: fleet.IdempotentWithKey, DeduplicationScope: fleet.DeduplicationZone, PriorityWeight: 5, DeduplicationWindow: 1500 * ms, LatencyObjective: fleet.Second,
				Deadline: 3 * fleet.Second, ZoneLocal: true},
			{Idempotency: fleet.NotIdempotent, PriorityWeight: 3, LatencyObjective: 2 * fleet.Second, Deadline: 6 * fleet.Second},
		},
		AttemptTimeoutFactor: 1, ReportInterval: 500 * ms, ReportsPerSecond: 300, EntriesPerSecond: 2500, MessageOverhead: 4, MaxBacklog: 2500,
		MaxMessages: 20, MessageWindow: 10 * fleet.Second, MaxUnservedDuration: 5 * fleet.Second, SlowStart: fleet.SlowStart{InitialFraction: 0.2, Duration: 15 * fleet.Second}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: 3, Duration: 1500 * ms}, DrainTimeout: 2 * fleet.Second,
		MaxPollInterval: 10 * fleet.Second, MeanUpdateDelay: 200 * ms, ConnectTimeout: 250 * ms,
	}
}

func newSimulatedFleet(seed int64, servers, proxies int) *simulatedFleet {
	y := &simulatedFleet{rng: rand.New(rand.NewSource(seed)), now: 100 * fleet.Second, channelSlowdown: 1}
	y.site = testSite(y.rng)
	y.site.ProxyCount, y.site.MinServerConnections = proxies, float64(y.rng.Intn(2)*2*proxies) // half of them near first
	for i := range servers {
		e := fleet.Endpoint{Server: fleet.ServerID(y.rng.Uint32()), Zone: fleet.ZoneID(i % 2), Weight: 1}
		y.servers = append(y.servers, &fakeServer{Endpoint: e})
	}
	for i := range proxies {
		y.proxies = append(y.proxies, &fakeProxy{zone: fleet.ZoneID(i % 2), demand: (1 + 2*y.rng.Float64()) *
			fakeServerCapacity * float64(servers) / float64(9*proxies)})
	}
	y.startBalancer(fleet.ListCached)
	return y
}

// startBalancer lets a governor begin with the list as it is; proxies join at once.
func (y *simulatedFleet) startBalancer(scope fleet.ListScope) {
	y.balancer, y.tables, y.channel = New(y.site, y.rng.Uint64()), map[fleet.TableID]map[fleet.ServerID]float64{}, nil
	y.admissionLimits = map[int]float64{}
	events := []fleet.Event{y.endpointList(scope)}
	for id := range y.proxies {
		events = append(events, y.joinProxy(id))
	}
	y.step(events)
}

func (y *simulatedFleet) endpointList(scope fleet.ListScope) fleet.EndpointList {
	l := fleet.EndpointList{Scope: scope}
	for _, m := range y.servers {
		if m.State != fleet.ServerGone {
			l.Endpoints = append(l.Endpoints, m.Endpoint)
			m.stateChangedAt = y.now
		} else if scope == fleet.ListCached {
			m.stateChangedAt = farFuture // a new governor can't name what no list of its own held
		}
	}
	return l
}

// joinProxy lets a proxy join, with what it holds or, the first time or after its own death, standing tables.
func (y *simulatedFleet) joinProxy(id int) fleet.Event {
	h, classes := y.proxies[id], len(y.site.Classes)
	fresh := h.ownTables == nil
	if fresh {
		h.withdrawn, h.ownTables = map[fleet.ServerID]bool{}, make([]map[fleet.ServerID]float64, classes)
		for c := range h.ownTables {
			h.ownTables[c] = map[fleet.ServerID]float64{}
			for _, m := range y.servers {
				if m.Zone == h.zone && m.State == fleet.ServerReady {
					h.ownTables[c][m.Server] = 1
				}
			}
		}
	}
	h.assignedTables, h.withoutEndpointsSince, h.messagesAt = []int{-1, -1, -1}, make([]fleet.Time, classes), nil
	h.joined, h.joinedAt = true, y.now
	return fleet.ProxyJoined{Proxy: fleet.ProxyID(id), Zone: h.zone, Fresh: fresh}
}

// disconnectProxy breaks a stream; the proxy keeps a copy of what it holds, unless it died.
func (y *simulatedFleet) disconnectProxy(id int, dead bool) fleet.Event {
	h := y.proxies[id]
	for c := range h.ownTables {
		table := map[fleet.ServerID]float64{}
		for s, w := range y.entries(h, c) {
			table[s] = w
		}
		h.ownTables[c] = table
	}
	if h.joined = false; dead {
		h.ownTables = nil
	}
	return fleet.ProxyLeft{Proxy: fleet.ProxyID(id)}
}

func (y *simulatedFleet) entries(h *fakeProxy, c int) map[fleet.ServerID]float64 {
	if h.assignedTables[c] >= 0 {
		return y.tables[fleet.TableID(h.assignedTables[c])]
	}
	return h.ownTables[c]
}

// fractions gives the parts of a proxy's class that go to each server.
func (y *simulatedFleet) fractions(h *fakeProxy, c int) map[fleet.ServerID]float64 {
	sum, parts := 0.0, map[fleet.ServerID]float64{}
	for _, m := range y.servers { // in one order, so that sums are the same each time
		if w := y.entries(h, c)[m.Server]; w > 0 && !h.withdrawn[m.Server] {
			sum, parts[m.Server] = sum+w, w
		}
	}
	for id := range parts {
		parts[id] /= sum
	}
	return parts
}

// requestRates gives the visits a second that each server gets from the joined proxies of each zone.
func (y *simulatedFleet) requestRates() map[fleet.ServerID][]float64 {
	loads := map[fleet.ServerID][]float64{}
	for _, m := range y.servers {
		loads[m.Server] = make([]float64, len(y.site.Zones))
	}
	for _, h := range y.proxies {
		for c := range h.ownTables {
			if h.joined {
				for id, part := range y.fractions(h, c) {
					loads[id][h.zone] += y.admittedRate(h, c) * part
				}
			}
		}
	}
	return loads
}

func (y *simulatedFleet) requestRate(id fleet.ServerID) float64 { return sum(y.requestRates()[id]) }

func sum(parts []float64) (sum float64) {
	for _, part := range parts {
		sum += part
	}
	return sum
}

// admittedRate gives the visits a second of a class that a proxy lets in.
func (y *simulatedFleet) admittedRate(h *fakeProxy, c int) float64 {
	amount, set := y.admissionLimits[c]
	if !set {
		return h.demand
	}
	switch y.site.Admission {
	case fleet.AdmissionFraction:
		return h.demand * min(1, amount)
	case fleet.AdmissionRate:
		return min(h.demand, amount)
	}
	return h.demand
}

func (y *simulatedFleet) capacity(m *fakeServer) float64 {
	if m.Started == 0 {
		return fakeServerCapacity
	}
	grown := (y.now - m.Started).Seconds() / y.site.SlowStart.Duration.Seconds()
	return fakeServerCapacity * min(1, y.site.SlowStart.InitialFraction+(1-y.site.SlowStart.InitialFraction)*grown)
}

// reports gives what the last half second would have brought.
func (y *simulatedFleet) reports() (events []fleet.Event) {
	span := y.site.ReportInterval
	count := func(rate float64) uint32 { return uint32(rate*span.Seconds() + y.rng.Float64()) }
	loads := y.requestRates()
	for _, m := range y.servers {
		load := sum(loads[m.Server])
		busy, failed := float32(min(1, load/y.capacity(m))), max(m.failedFraction, 1-y.capacity(m)/max(1, load))
		for z := range y.site.Zones {
			if tries := count(loads[m.Server][z]); tries > 0 && !m.unresponsive && m.State != fleet.ServerGone {
				events = append(events, fleet.OutcomeReport{Server: m.Server, Attempts: tries, Failures: uint32(float64(tries) * failed),
					Latency: 200 * fleet.Millisecond, Interval: span, Zone: fleet.ZoneID(z), Load: []float32{1, busy}})
			}
		}
	}
	for id, h := range y.proxies {
		for c := range y.site.Classes {
			if h.joined {
				events = append(events, fleet.DemandReport{Proxy: fleet.ProxyID(id), Class: fleet.ClassID(c),
					Requests: count(h.demand), Interval: span})
			}
		}
	}
	return events
}

func (y *simulatedFleet) step(events []fleet.Event) []fleet.Order {
	for room := 0.25 * y.site.EntriesPerSecond / y.channelSlowdown; len(y.channel) > 0 && room > 0; y.channel = y.channel[1:] {
		m := &y.channel[0]
		if m.entries > room {
			m.entries -= room
			break
		}
		room -= m.entries
		y.pendingEvents = append(y.pendingEvents, m.acknowledgement)
	}
	events, y.pendingEvents = append(y.pendingEvents, events...), nil
	orders := y.balancer.Step(y.now, events)
	if y.observeOrders != nil {
		y.observeOrders(y.now, orders)
	}
	unsure, lost := y.unconfirmedFraction > 0 && y.rng.Float64() < y.unconfirmedFraction, false
	if unsure {
		y.pendingEvents = append(y.pendingEvents, fleet.OrdersUnconfirmed{Orders: slices.Clone(orders)})
		lost = y.rng.Intn(2) == 0
	}
	reached := map[*fakeProxy]float64{}
	for _, o := range orders {
		if !lost {
			y.apply(o, reached)
		}
	}
	for id, h := range y.proxies {
		if lines, is := reached[h]; is {
			y.channel = append(y.channel, queuedUpdate{lines + y.site.MessageOverhead, fleet.BarrierReached{Proxy: fleet.ProxyID(id), Barrier: y.balancer.channel.lastBarrier}})
			h.messagesAt = append(h.messagesAt, y.now)
		}
	}
	y.checkInvariants()
	return orders
}

// backlog gives the lines in the channel.
func (y *simulatedFleet) backlog() (lines float64) {
	for _, m := range y.channel {
		lines += m.entries
	}
	return lines
}

func (y *simulatedFleet) apply(order fleet.Order, reached map[*fakeProxy]float64) {
	all := func(do func(*fakeProxy)) {
		for _, h := range y.proxies {
			if h.joined {
				reached[h]++
				do(h)
			}
		}
	}
	switch o := order.(type) {
	case fleet.SetWeight:
		if y.tables[o.Table] == nil {
			y.tables[o.Table] = map[fleet.ServerID]float64{}
		}
		y.tables[o.Table][o.Server] = float64(o.Weight)
		y.weightOrders++
		for _, h := range y.proxies {
			if h.joined && slices.Contains(h.assignedTables, int(o.Table)) {
				reached[h]++
			}
		}
	case fleet.WithdrawServer:
		for _, h := range y.proxies { // a line where a table has it
			has := false
			for c := range h.ownTables {
				has = has || h.joined && y.entries(h, c)[o.Server] > 0
			}
			if h.joined && has {
				reached[h]++
			}
			if h.joined {
				h.withdrawn[o.Server] = o.Withdrawn
			}
		}
	case fleet.SetAdmission:
		all(func(*fakeProxy) {})
		for c, class := range y.site.Classes {
			if o.Classes&(1<<c) == 0 {
				continue
			}
			y.admissionLimits[c] = float64(o.Limit)
			worst := y.site.AttemptTimeoutFactor*class.LatencyObjective.Seconds() + 2 // a proxy may stand still for 2 s
			if o.Retry >= fleet.RetryOnce && (class.Idempotency == fleet.NotIdempotent ||
				class.Idempotency == fleet.IdempotentWithKey && worst > class.DeduplicationWindow.Seconds()) {
				y.reportViolation("effect twice: retry %d ordered for class %+v", o.Retry, class)
			}
		}
	case fleet.AssignTable:
		h := y.proxies[o.Proxy]
		reached[h]++
		for _, weight := range y.tables[o.Table] {
			if weight > 0 {
				reached[h]++
			}
		}
		for c := range h.assignedTables {
			if o.Classes == 0 || o.Classes&(1<<c) != 0 {
				h.assignedTables[c] = int(o.Table)
			}
		}
		h.withdrawn = map[fleet.ServerID]bool{} // a bound proxy follows only this governor's withdrawals
		for _, s := range y.balancer.endpoints.all {
			h.withdrawn[s.Server] = s.withdrawn
		}
	}
}

func (y *simulatedFleet) reportViolation(format string, args ...any) {
	if y.violation == "" {
		y.violation = fmt.Sprintf("%.2f s: ", (y.now-100*fleet.Second).Seconds()) + fmt.Sprintf(format, args...)
	}
}

func (y *simulatedFleet) checkInvariants() {
	for id, h := range y.proxies {
		if !h.joined {
			continue
		}
		recent := 0
		for _, at := range h.messagesAt {
			if at > y.now-y.site.MessageWindow {
				recent++
			}
		}
		if recent > y.site.MaxMessages {
			y.reportViolation("short queue: %d messages to proxy %d", recent, id)
		}
		for c, class := range y.site.Classes {
			held, warm := false, false
			shares := y.fractions(h, c)
			for _, m := range y.servers {
				share := shares[m.Server]
				held = held || share > 0
				local := !class.ZoneLocal || m.Zone == h.zone
				warm = warm || local && m.State == fleet.ServerReady && y.now >= m.Started+y.site.SlowStart.Duration
				if share > 0 && h.assignedTables[c] >= 0 && !local {
					y.reportViolation("class %d of proxy %d leaves its zone", c, id)
				}
				if share > 0 && m.State != fleet.ServerReady && y.now > max(m.stateChangedAt, h.joinedAt)+y.site.DrainTimeout/2 {
					y.reportViolation("drain: proxy %d sends to server %d", id, m.Server)
				}
			}
			if held || !warm {
				h.withoutEndpointsSince[c] = 0
			} else if h.withoutEndpointsSince[c] == 0 {
				h.withoutEndpointsSince[c] = y.now
			} else if y.now > h.withoutEndpointsSince[c]+y.site.MaxUnservedDuration/2 {
				y.reportViolation("bare: proxy %d has no line for class %d", id, c)
			}
		}
	}
	loads := y.requestRates()
	for _, m := range y.servers {
		if load := sum(loads[m.Server]); m.State == fleet.ServerReady && y.now > m.stateChangedAt+y.site.DrainTimeout &&
			load > y.site.RecoveryRamp.OverloadFactor*y.capacity(m)*0.9 && y.now < m.Started+y.site.SlowStart.Duration {
			y.reportViolation("cold: server %d gets %.1f of %.1f", m.Server, load, y.capacity(m))
		}
	}
	if lines := y.backlog(); lines > y.site.MaxBacklog {
		y.reportViolation("short queue: %.0f lines wait", lines)
	}
}

// run lets seconds pass with reports, and with mishaps so many times a second.
func (y *simulatedFleet) run(seconds int, mishaps float64) {
	for tick := range 4 * seconds {
		y.now += fleet.Second / 4
		var events []fleet.Event
		if tick%2 == 0 {
			events = y.reports()
		}
		if y.rng.Float64() < mishaps/4 {
			events = append(events, y.fault()...)
		}
		y.step(events)
	}
}

func (y *simulatedFleet) fault() []fleet.Event {
	m, id := y.servers[y.rng.Intn(len(y.servers))], y.rng.Intn(len(y.proxies))
	down := 0
	for _, other := range y.servers {
		if other.State != fleet.ServerReady || other.Started > 0 {
			down++
		}
	}
	switch what := y.rng.Intn(8); {
	case what == 0 && m.State == fleet.ServerReady && 3*down < len(y.servers):
		m.State, m.stateChangedAt = fleet.ServerState(1+y.rng.Intn(2)), y.now
		return []fleet.Event{fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{m.Endpoint}}}
	case what <= 1 && m.State != fleet.ServerReady:
		m.State, m.Started, m.stateChangedAt, m.failedFraction, m.unresponsive = fleet.ServerReady, y.now-fleet.Second/2, y.now, 0, false
		return []fleet.Event{y.endpointList(fleet.ListFull)}
	case what == 2:
		m.failedFraction = 0.7 - m.failedFraction
	case what == 3:
		m.unresponsive = !m.unresponsive
	case what == 4 && y.proxies[id].joined:
		return []fleet.Event{y.disconnectProxy(id, y.rng.Intn(2) == 0)}
	case what <= 5 && !y.proxies[id].joined:
		return []fleet.Event{y.joinProxy(id)}
	case what == 6 && y.rng.Intn(4) == 0: // the governor is killed: its proxies keep what they hold
		for id, h := range y.proxies {
			if h.joined {
				y.disconnectProxy(id, false)
			}
		}
		y.startBalancer(fleet.ListCached)
	}
	return nil
}

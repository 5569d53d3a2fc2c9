package balancer

import (
	"fmt"
	"math/rand"
	"slices"

	"cressknot/internal/fleet"
)

// yard keeps account of the tables that proxies hold by the orders given, and checks the five rules after every
// step. It simulates no visits: reports say what the shares held would bring.
type yard struct {
	rng      *rand.Rand
	site     fleet.Site
	governor *Balancer
	now      fleet.Time
	tables   map[fleet.TableID]map[fleet.ServerID]float64
	levels   map[int]float64 // by class
	servers  []*machine
	holders  []*holder
	slower   float64   // than stated the channel is so many times
	channel  []message // what waits in it
	unsure   float64   // share of steps whose orders nobody knows the fate of: half of them are lost
	events   []fleet.Event
	shared   int // lines set
	broken   string
	heard    func(fleet.Time, []fleet.Order) // of each step's orders; may be nil
}

type message struct {
	lines float64
	tells fleet.BarrierReached
}

type machine struct {
	fleet.Endpoint
	told fleet.Time // of its state
	sick float64    // failed share
	hung bool
}

type holder struct {
	joined  bool
	zone    fleet.ZoneID
	since   fleet.Time
	own     []map[fleet.ServerID]float64 // by class: standing or former table
	on      []int                        // by class: the governor's table, or -1
	out     map[fleet.ServerID]bool
	bare    []fleet.Time // by class: since when, 0: not
	written []fleet.Time
	demand  float64 // visits a second of each class
}

const yardCapacity, never = 20.0, 1e6 * fleet.Second // visits a second of a warm server; past any test

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

func newYard(seed int64, servers, proxies int) *yard {
	y := &yard{rng: rand.New(rand.NewSource(seed)), now: 100 * fleet.Second, slower: 1}
	y.site = testSite(y.rng)
	y.site.ProxyCount, y.site.MinServerConnections = proxies, float64(y.rng.Intn(2)*2*proxies) // half of them near first
	for i := range servers {
		e := fleet.Endpoint{Server: fleet.ServerID(y.rng.Uint32()), Zone: fleet.ZoneID(i % 2), Weight: 1}
		y.servers = append(y.servers, &machine{Endpoint: e})
	}
	for i := range proxies {
		y.holders = append(y.holders, &holder{zone: fleet.ZoneID(i % 2), demand: (1 + 2*y.rng.Float64()) *
			yardCapacity * float64(servers) / float64(9*proxies)})
	}
	y.start(fleet.ListCached)
	return y
}

// start lets a governor begin with the list as it is; proxies join at once.
func (y *yard) start(scope fleet.ListScope) {
	y.governor, y.tables, y.channel = New(y.site, y.rng.Uint64()), map[fleet.TableID]map[fleet.ServerID]float64{}, nil
	y.levels = map[int]float64{}
	events := []fleet.Event{y.list(scope)}
	for id := range y.holders {
		events = append(events, y.join(id))
	}
	y.step(events)
}

func (y *yard) list(scope fleet.ListScope) fleet.EndpointList {
	l := fleet.EndpointList{Scope: scope}
	for _, m := range y.servers {
		if m.State != fleet.ServerGone {
			l.Endpoints = append(l.Endpoints, m.Endpoint)
			m.told = y.now
		} else if scope == fleet.ListCached {
			m.told = never // a new governor can't name what no list of its own held
		}
	}
	return l
}

// join lets a proxy join, with what it holds or, the first time or after its own death, standing tables.
func (y *yard) join(id int) fleet.Event {
	h, classes := y.holders[id], len(y.site.Classes)
	fresh := h.own == nil
	if fresh {
		h.out, h.own = map[fleet.ServerID]bool{}, make([]map[fleet.ServerID]float64, classes)
		for c := range h.own {
			h.own[c] = map[fleet.ServerID]float64{}
			for _, m := range y.servers {
				if m.Zone == h.zone && m.State == fleet.ServerReady {
					h.own[c][m.Server] = 1
				}
			}
		}
	}
	h.on, h.bare, h.written = []int{-1, -1, -1}, make([]fleet.Time, classes), nil
	h.joined, h.since = true, y.now
	return fleet.ProxyJoined{Proxy: fleet.ProxyID(id), Zone: h.zone, Fresh: fresh}
}

// leave breaks a stream; the proxy keeps a copy of what it holds, unless it died.
func (y *yard) leave(id int, dead bool) fleet.Event {
	h := y.holders[id]
	for c := range h.own {
		table := map[fleet.ServerID]float64{}
		for s, w := range y.table(h, c) {
			table[s] = w
		}
		h.own[c] = table
	}
	if h.joined = false; dead {
		h.own = nil
	}
	return fleet.ProxyLeft{Proxy: fleet.ProxyID(id)}
}

func (y *yard) table(h *holder, c int) map[fleet.ServerID]float64 {
	if h.on[c] >= 0 {
		return y.tables[fleet.TableID(h.on[c])]
	}
	return h.own[c]
}

// shares gives the parts of a proxy's class that go to each server.
func (y *yard) shares(h *holder, c int) map[fleet.ServerID]float64 {
	sum, parts := 0.0, map[fleet.ServerID]float64{}
	for _, m := range y.servers { // in one order, so that sums are the same each time
		if w := y.table(h, c)[m.Server]; w > 0 && !h.out[m.Server] {
			sum, parts[m.Server] = sum+w, w
		}
	}
	for id := range parts {
		parts[id] /= sum
	}
	return parts
}

// loads gives the visits a second that each server gets from the joined proxies of each zone.
func (y *yard) loads() map[fleet.ServerID][]float64 {
	loads := map[fleet.ServerID][]float64{}
	for _, m := range y.servers {
		loads[m.Server] = make([]float64, len(y.site.Zones))
	}
	for _, h := range y.holders {
		for c := range h.own {
			if h.joined {
				for id, part := range y.shares(h, c) {
					loads[id][h.zone] += y.letIn(h, c) * part
				}
			}
		}
	}
	return loads
}

func (y *yard) load(id fleet.ServerID) float64 { return sum(y.loads()[id]) }

func sum(parts []float64) (sum float64) {
	for _, part := range parts {
		sum += part
	}
	return sum
}

// letIn gives the visits a second of a class that a proxy lets in.
func (y *yard) letIn(h *holder, c int) float64 {
	amount, set := y.levels[c]
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

func (y *yard) capacity(m *machine) float64 {
	if m.Started == 0 {
		return yardCapacity
	}
	grown := (y.now - m.Started).Seconds() / y.site.SlowStart.Duration.Seconds()
	return yardCapacity * min(1, y.site.SlowStart.InitialFraction+(1-y.site.SlowStart.InitialFraction)*grown)
}

// reports gives what the last half second would have brought.
func (y *yard) reports() (events []fleet.Event) {
	span := y.site.ReportInterval
	count := func(rate float64) uint32 { return uint32(rate*span.Seconds() + y.rng.Float64()) }
	loads := y.loads()
	for _, m := range y.servers {
		load := sum(loads[m.Server])
		busy, failed := float32(min(1, load/y.capacity(m))), max(m.sick, 1-y.capacity(m)/max(1, load))
		for z := range y.site.Zones {
			if tries := count(loads[m.Server][z]); tries > 0 && !m.hung && m.State != fleet.ServerGone {
				events = append(events, fleet.OutcomeReport{Server: m.Server, Attempts: tries, Failures: uint32(float64(tries) * failed),
					Latency: 200 * fleet.Millisecond, Interval: span, Zone: fleet.ZoneID(z), Load: []float32{1, busy}})
			}
		}
	}
	for id, h := range y.holders {
		for c := range y.site.Classes {
			if h.joined {
				events = append(events, fleet.DemandReport{Proxy: fleet.ProxyID(id), Class: fleet.ClassID(c),
					Requests: count(h.demand), Interval: span})
			}
		}
	}
	return events
}

func (y *yard) step(events []fleet.Event) []fleet.Order {
	for room := 0.25 * y.site.EntriesPerSecond / y.slower; len(y.channel) > 0 && room > 0; y.channel = y.channel[1:] {
		m := &y.channel[0]
		if m.lines > room {
			m.lines -= room
			break
		}
		room -= m.lines
		y.events = append(y.events, m.tells)
	}
	events, y.events = append(y.events, events...), nil
	orders := y.governor.Step(y.now, events)
	if y.heard != nil {
		y.heard(y.now, orders)
	}
	unsure, lost := y.unsure > 0 && y.rng.Float64() < y.unsure, false
	if unsure {
		y.events = append(y.events, fleet.OrdersUnconfirmed{Orders: slices.Clone(orders)})
		lost = y.rng.Intn(2) == 0
	}
	reached := map[*holder]float64{}
	for _, o := range orders {
		if !lost {
			y.apply(o, reached)
		}
	}
	for id, h := range y.holders {
		if lines, is := reached[h]; is {
			y.channel = append(y.channel, message{lines + y.site.MessageOverhead, fleet.BarrierReached{Proxy: fleet.ProxyID(id), Barrier: y.governor.mark}})
			h.written = append(h.written, y.now)
		}
	}
	y.check()
	return orders
}

// waiting gives the lines in the channel.
func (y *yard) waiting() (lines float64) {
	for _, m := range y.channel {
		lines += m.lines
	}
	return lines
}

func (y *yard) apply(order fleet.Order, reached map[*holder]float64) {
	all := func(do func(*holder)) {
		for _, h := range y.holders {
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
		y.shared++
		for _, h := range y.holders {
			if h.joined && slices.Contains(h.on, int(o.Table)) {
				reached[h]++
			}
		}
	case fleet.WithdrawServer:
		for _, h := range y.holders { // a line where a table has it
			has := false
			for c := range h.own {
				has = has || h.joined && y.table(h, c)[o.Server] > 0
			}
			if h.joined && has {
				reached[h]++
			}
			if h.joined {
				h.out[o.Server] = o.Withdrawn
			}
		}
	case fleet.SetAdmission:
		all(func(*holder) {})
		for c, class := range y.site.Classes {
			if o.Classes&(1<<c) == 0 {
				continue
			}
			y.levels[c] = float64(o.Limit)
			worst := y.site.AttemptTimeoutFactor*class.LatencyObjective.Seconds() + 2 // a proxy may stand still for 2 s
			if o.Retry >= fleet.RetryOnce && (class.Idempotency == fleet.NotIdempotent ||
				class.Idempotency == fleet.IdempotentWithKey && worst > class.DeduplicationWindow.Seconds()) {
				y.fail("effect twice: retry %d ordered for class %+v", o.Retry, class)
			}
		}
	case fleet.AssignTable:
		h := y.holders[o.Proxy]
		reached[h]++
		for _, weight := range y.tables[o.Table] {
			if weight > 0 {
				reached[h]++
			}
		}
		for c := range h.on {
			if o.Classes == 0 || o.Classes&(1<<c) != 0 {
				h.on[c] = int(o.Table)
			}
		}
		h.out = map[fleet.ServerID]bool{} // a bound proxy follows only this governor's withdrawals
		for _, s := range y.governor.servers {
			h.out[s.Server] = s.withdrawn
		}
	}
}

func (y *yard) fail(format string, args ...any) {
	if y.broken == "" {
		y.broken = fmt.Sprintf("%.2f s: ", (y.now-100*fleet.Second).Seconds()) + fmt.Sprintf(format, args...)
	}
}

func (y *yard) check() {
	for id, h := range y.holders {
		if !h.joined {
			continue
		}
		recent := 0
		for _, at := range h.written {
			if at > y.now-y.site.MessageWindow {
				recent++
			}
		}
		if recent > y.site.MaxMessages {
			y.fail("short queue: %d messages to proxy %d", recent, id)
		}
		for c, class := range y.site.Classes {
			held, warm := false, false
			shares := y.shares(h, c)
			for _, m := range y.servers {
				share := shares[m.Server]
				held = held || share > 0
				local := !class.ZoneLocal || m.Zone == h.zone
				warm = warm || local && m.State == fleet.ServerReady && y.now >= m.Started+y.site.SlowStart.Duration
				if share > 0 && h.on[c] >= 0 && !local {
					y.fail("class %d of proxy %d leaves its zone", c, id)
				}
				if share > 0 && m.State != fleet.ServerReady && y.now > max(m.told, h.since)+y.site.DrainTimeout/2 {
					y.fail("drain: proxy %d sends to server %d", id, m.Server)
				}
			}
			if held || !warm {
				h.bare[c] = 0
			} else if h.bare[c] == 0 {
				h.bare[c] = y.now
			} else if y.now > h.bare[c]+y.site.MaxUnservedDuration/2 {
				y.fail("bare: proxy %d has no line for class %d", id, c)
			}
		}
	}
	loads := y.loads()
	for _, m := range y.servers {
		if load := sum(loads[m.Server]); m.State == fleet.ServerReady && y.now > m.told+y.site.DrainTimeout &&
			load > y.site.RecoveryRamp.OverloadFactor*y.capacity(m)*0.9 && y.now < m.Started+y.site.SlowStart.Duration {
			y.fail("cold: server %d gets %.1f of %.1f", m.Server, load, y.capacity(m))
		}
	}
	if lines := y.waiting(); lines > y.site.MaxBacklog {
		y.fail("short queue: %.0f lines wait", lines)
	}
}

// run lets seconds pass with reports, and with mishaps so many times a second.
func (y *yard) run(seconds int, mishaps float64) {
	for tick := range 4 * seconds {
		y.now += fleet.Second / 4
		var events []fleet.Event
		if tick%2 == 0 {
			events = y.reports()
		}
		if y.rng.Float64() < mishaps/4 {
			events = append(events, y.mishap()...)
		}
		y.step(events)
	}
}

func (y *yard) mishap() []fleet.Event {
	m, id := y.servers[y.rng.Intn(len(y.servers))], y.rng.Intn(len(y.holders))
	down := 0
	for _, other := range y.servers {
		if other.State != fleet.ServerReady || other.Started > 0 {
			down++
		}
	}
	switch what := y.rng.Intn(8); {
	case what == 0 && m.State == fleet.ServerReady && 3*down < len(y.servers):
		m.State, m.told = fleet.ServerState(1+y.rng.Intn(2)), y.now
		return []fleet.Event{fleet.EndpointList{Scope: fleet.ListDelta, Endpoints: []fleet.Endpoint{m.Endpoint}}}
	case what <= 1 && m.State != fleet.ServerReady:
		m.State, m.Started, m.told, m.sick, m.hung = fleet.ServerReady, y.now-fleet.Second/2, y.now, 0, false
		return []fleet.Event{y.list(fleet.ListFull)}
	case what == 2:
		m.sick = 0.7 - m.sick
	case what == 3:
		m.hung = !m.hung
	case what == 4 && y.holders[id].joined:
		return []fleet.Event{y.leave(id, y.rng.Intn(2) == 0)}
	case what <= 5 && !y.holders[id].joined:
		return []fleet.Event{y.join(id)}
	case what == 6 && y.rng.Intn(4) == 0: // the governor is killed: its proxies keep what they hold
		for id, h := range y.holders {
			if h.joined {
				y.leave(id, false)
			}
		}
		y.start(fleet.ListCached)
	}
	return nil
}

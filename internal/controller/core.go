package controller

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/balancer"
	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest"
	"cressknot/internal/reconcile"
	"cressknot/internal/safety"
	"cressknot/internal/service"
	"cressknot/internal/store"
	"cressknot/internal/transport"
)

const (
	logKept    = 512              // lines kept for "show log" and "explain": some minutes of a rough day
	ordersKept = 512              // orders kept for "show orders"
	lastEpoch  = 1 << 62          // no clock shows it in a hundred years: a proxy that holds such a version has been changed by hand
	idleMost   = fleet.Second / 4 // longest time without a turn: sweeps and marks of slow proxies wait no longer
)

// Input is something that a turn takes in: a front.Event, a list.Update, a fleet.Probed or what was Pushed.
type Input any

// Pushed are records that servers pushed. The turn keeps none of them.
type Pushed []ingest.Record

// Output is what a turn wants done.
type Output struct {
	Messages []reconcile.Message
	Drops    []fleet.ProxyID
	Polls    []fleet.ProxyID
	Probes   []fleet.ServerID
	Watch    *bool // of the list
	Fetch    bool
	Proves   []fleet.ServerID        // of a kept list: are they there?
	List     *discovery.EndpointList // a whole list that is worth keeping, and when its source stood to it last
	ListAt   fleet.Time
	Keep     []store.Change // what has to last
	Logs     []Line
	News     *gossip.Message         // for other governors
	Facts    *service.PublishedState // what callers of the service are told beside tables, where it has changed
	Distrust []fleet.ServerID        // sources that are not believed from now on
	Wake     fleet.Time              // next turn at the latest
	// What the module heard and ordered, for records; good until the next turn.
	Stepped bool
	Events  []fleet.Event
	Orders  []fleet.Order
}

// Line is one line of the governor's log.
type Line struct {
	At    fleet.Time
	Level string // "info", "warn" or "error"
	From  string // "module", "channel", "list", "proxy"
	Text  string
}

// Core holds all decision state of a governor. Turn is all that touches it; it does no I/O and knows no clock.
type Core struct {
	site      fleet.Site
	names     *Names
	zones     map[string]fleet.ZoneID
	kinds     map[string]fleet.KindID
	proxies   map[fleet.ProxyID]transport.Proxy
	module    *balancer.Balancer
	plane     *reconcile.Reconciler
	intake    *ingest.Pipeline
	guard     *safety.Guard // knows what staff are told even where it doesn't judge
	guarded   bool
	tokens    int
	broken    map[string]bool
	forces    map[string]force
	streams   map[fleet.ProxyID]uint64
	unreached map[fleet.ProxyID]string // the last reason told
	alarms    []alarm
	started   fleet.Time
	epoch     uint64
	keeper    keeper
	gate      *verification.ShrinkGate
	doubts    *verification.Verifier
	live      bool             // the list's source was heard
	confirmed fleet.Time       // when it stood to its list last
	listKept  fleet.Time       // what was kept of that
	heldList  discovery.Update // by the gate
	entries   map[fleet.ServerID]fleet.Endpoint
	docs      map[string]discovery.Endpoint // the whole list as told, for the cache
	rev       uint64
	listed    fleet.Time        // last list
	board     *gossip.PeerState // nil: no peers are heard
	boardAt   fleet.Time
	callers   []service.Zone // zones whose programs ask the service
	factsDue  bool
	listErr   string // what ails its source, as told last
	logs      []Line
	orders    []Line
	steps     uint64
	held      []fleet.Event // heard in the next turn
	events    []fleet.Event
}

type alarm struct {
	at fleet.Time
	id fleet.TimerID
}

// NewCore makes a governor for a site and its proxies.
func NewCore(site fleet.Site, seed uint64, proxies []transport.Proxy, names *Names) *Core {
	c := &Core{site: site, names: names, zones: map[string]fleet.ZoneID{}, kinds: map[string]fleet.KindID{},
		proxies: map[fleet.ProxyID]transport.Proxy{}, module: balancer.New(site, seed), plane: reconcile.New(site),
		intake: ingest.New(site), streams: map[fleet.ProxyID]uint64{}, unreached: map[fleet.ProxyID]string{}, started: -1,
		guard: safety.New(site), keeper: newKeeper(), gate: verification.NewShrinkGate(site.DrainTimeout),
		doubts: verification.NewVerifier(site, true), broken: map[string]bool{}, forces: map[string]force{}, entries: map[fleet.ServerID]fleet.Endpoint{}, docs: map[string]discovery.Endpoint{}}
	for i, z := range site.Zones {
		c.zones[z] = fleet.ZoneID(i)
	}
	for i, k := range site.Kinds {
		c.kinds[k] = fleet.KindID(i)
	}
	for _, p := range proxies {
		c.proxies[p.ID] = p
	}
	return c
}

// Guarded has every message judged from here on.
func (c *Core) Guarded() {
	c.guarded = true
	c.plane.UseSafetyCheck(c.guard)
}

// PushedLoads takes load figures from what servers push.
func (c *Core) PushedLoads() { c.intake.PushedLoads() }

// AnswersOnly lets only what proxies meet tell of servers of a kept list: they aren't asked themselves.
func (c *Core) AnswersOnly() { c.doubts = verification.NewVerifier(c.site, false) }

// Epoch tells the epoch of versions; 0 before it has begun.
func (c *Core) Epoch() uint64 { return c.epoch }

// Serve tells which zones have programs that ask the service, and their epoch where none was begun by what was kept.
func (c *Core) Serve(zones []service.Zone, epoch uint64) {
	if c.callers = zones; c.epoch == 0 {
		c.begin(epoch)
	}
}

// Break breaks the governor on purpose, for drills: "cold-unbound" takes the bound off cold servers' lines.
func (c *Core) Break(fault string) { c.broken[fault] = true }

// unbound gives cold servers full lines, as a module without its bound on them would.
func (c *Core) unbound(now fleet.Time, orders []fleet.Order) []fleet.Order {
	tables := map[fleet.TableID]float32{}
	for _, l := range c.plane.Entries() {
		tables[l.Table] = max(tables[l.Table], float32(l.Weight))
	}
	for i, o := range orders {
		if s, ok := o.(fleet.SetWeight); ok && c.isCold(now, s.Server) {
			s.Weight = max(tables[s.Table], 1) * 8
			orders[i] = s
		}
	}
	return orders
}

func (c *Core) isCold(now fleet.Time, id fleet.ServerID) bool {
	e := c.entries[id]
	return e.Started > 0 && now < e.Started+c.site.SlowStart.Duration
}

// begin begins an epoch of versions.
func (c *Core) begin(epoch uint64) {
	c.epoch = epoch
	c.plane.SetEpoch(epoch, func(id fleet.ServerID) string { name, _ := c.names.Of(id); return name })
}

// after begins a new epoch where a proxy that is taken over holds versions of a later one: versions at a proxy never go back, though a
// governor that started earlier serves it now.
func (c *Core) after(now fleet.Time, epoch uint64, out *Output) {
	if epoch <= c.epoch || epoch >= lastEpoch {
		return
	}
	c.epoch = epoch + 1
	c.plane.RaiseEpoch(now, c.epoch, "a proxy holds versions of a later governor")
	if c.keeper.on {
		out.Keep = append(out.Keep, store.Change{Key: "epoch", Value: keptEpoch{c.epoch, now}})
	}
}

// Turn takes in what came and gives what is to be done now.
func (c *Core) Turn(now fleet.Time, inputs []Input) Output {
	if c.started < 0 {
		if c.started = now; c.epoch == 0 {
			c.begin(uint64(now))
		}
	}
	var out Output
	c.events = c.events[:0]
	for _, in := range inputs {
		c.take(now, in, &out)
	}
	ungate := c.ungate(now, &out)
	doubts := c.doubting(now, &out)
	c.heed(now, &out)
	messages, heard, drops, wake := c.plane.Next(now)
	out.Messages, out.Drops = messages, drops
	c.hear(now, heard)
	told, more := c.intake.Tell(now)
	c.events = append(c.events, told...)
	for _, e := range told {
		if e, ok := e.(fleet.OutcomeReport); ok {
			c.meet(now, e)
			c.doubts.Met(now, e.Server, float64(e.Attempts)-float64(e.Failures), float64(e.Failures))
		}
	}
	c.due(now)
	if len(c.events) > 0 || c.steps == 0 && c.site.ListOnRequest { // with a list that comes by itself, first hear it
		for _, e := range c.events {
			if _, list := e.(fleet.EndpointList); !list {
				c.guard.Hear(now, e)
			}
		}
		orders := c.module.Step(now, c.events)
		c.steps++
		out.Stepped, out.Events, out.Orders = true, c.events, orders
		c.order(now, orders, &out)
		messages, heard, drops, wake = c.plane.Next(now)
		out.Messages = append(out.Messages, messages...)
		out.Drops = append(out.Drops, drops...)
		for _, e := range heard { // answered at once, as nothing had to be sent: heard in a turn that follows
			c.later(now, e)
		}
	}
	for _, a := range c.plane.Notices() {
		if a.Refused != nil {
			name, _ := c.names.Of(a.Refused.Server)
			c.log(&out, Line{now, "warn", "guard", "held back: " + safety.Say(*a.Refused, name)})
			continue
		}
		if a.Table {
			c.log(&out, Line{now, "warn", "table", a.Text})
			continue
		}
		c.log(&out, Line{now, "warn", "channel", fmt.Sprintf("proxy %s: %s", c.proxies[a.Proxy].Name, a.Text)})
	}
	c.notices(now, &out)
	c.facts(&out)
	asks, next := c.intake.Polls(now)
	out.Polls = asks
	out.Wake = now + idleMost
	for _, at := range []fleet.Time{wake, more, next, ungate, doubts} {
		if at > 0 {
			out.Wake = min(out.Wake, at)
		}
	}
	for _, a := range c.alarms {
		out.Wake = min(out.Wake, a.at)
	}
	if len(c.held) > 0 {
		out.Wake = now
	}
	if out.List == nil && c.live && c.confirmed >= c.listKept+verification.ConfirmGap {
		out.List = c.document()
	}
	if out.List != nil {
		out.ListAt, c.listKept = c.confirmed, c.confirmed
		out.Keep = append(out.Keep, c.keepList(out.ListAt, out.List)...)
	}
	out.Keep = append(out.Keep, c.keep()...)
	return out
}

// Settle lets what is in hand leave, without any further decision; idle tells that nothing is left.
func (c *Core) Settle(now fleet.Time, inputs []Input) (messages []reconcile.Message, wake fleet.Time, idle bool) {
	var out Output
	c.events = c.events[:0]
	for _, in := range inputs {
		c.take(now, in, &out)
	}
	messages, _, _, wake = c.plane.Next(now)
	return messages, cmp.Or(wake, now+idleMost), c.plane.Idle()
}

// take takes one input in.
func (c *Core) take(now fleet.Time, in Input, out *Output) {
	stale := func(id fleet.ProxyID, stream uint64) bool { return c.streams[id] != stream }
	switch in := in.(type) {
	case transport.Connected:
		c.streams[in.Proxy] = in.Stream
		c.after(now, reconcile.LatestEpoch(in.Snapshot.VersionStamps), out)
		delete(c.unreached, in.Proxy)
		c.plane.Join(now, in.Proxy, in.Snapshot)
		c.intake.Join(now, in.Proxy, in.Snapshot.Zone, in.Snapshot.Fresh)
		c.log(out, Line{now, "info", "proxy", fmt.Sprintf("proxy %s joined: %d lines held, fresh %v",
			c.proxies[in.Proxy].Name, len(in.Snapshot.Entries), in.Snapshot.Fresh)})
	case transport.Disconnected:
		if !stale(in.Proxy, in.Stream) {
			delete(c.streams, in.Proxy)
			c.plane.Leave(in.Proxy)
			c.intake.Leave(in.Proxy)
			c.log(out, Line{now, "warn", "proxy", fmt.Sprintf("proxy %s left: %v", c.proxies[in.Proxy].Name, in.Err)})
		}
	case transport.Unreachable:
		if why := in.Err.Error(); c.unreached[in.Proxy] != why { // once for each reason
			c.unreached[in.Proxy] = why
			c.log(out, Line{now, "warn", "proxy", fmt.Sprintf("proxy %s can't be reached: %s", c.proxies[in.Proxy].Name, why)})
		}
	case transport.Progress:
		if !stale(in.Proxy, in.Stream) {
			c.plane.Progress(now, in.Proxy)
		}
	case transport.Answered:
		if !stale(in.Proxy, in.Stream) {
			c.plane.Acknowledge(now, in.Proxy, in.Sequence, in.Failures)
		}
	case transport.CountersPolled:
		if !stale(in.Proxy, in.Stream) {
			c.intake.Polled(now, in.Proxy, in.Reading)
			c.plane.ObserveEntries(now, in.Proxy, in.Reading.Entries)
			in.Reading.Release()
		}
	case discovery.Update:
		c.list(now, in, out)
	case Proof:
		c.doubts.Asked(now, in.Server, in.Of)
	case gossip.Message:
		if c.board != nil {
			if err := c.board.Merge(now, in); err != nil {
				c.log(out, Line{now, "warn", "peers", err.Error()})
			}
		}
	case fleet.ProbeResult:
		c.events = append(c.events, in)
	case Pushed:
		for i := range in {
			before := c.intake.Distrusted(in[i].Server)
			if c.intake.Pushed(now, in[i]); c.intake.Distrusted(in[i].Server) != before {
				out.Distrust = append(out.Distrust, in[i].Server)
			}
		}
	}
}

// notices turns what intake has to say into log lines.
func (c *Core) notices(now fleet.Time, out *Output) {
	for _, n := range c.intake.Look(now) {
		l := Line{now, "warn", "intake", n.Text}
		if n.Good {
			l.Level = "info"
		}
		switch {
		case n.OfProxy:
			l.Text = fmt.Sprintf("proxy %s %s", c.proxies[n.Proxy].Name, n.Text)
		case n.OfSource:
			name, _ := c.names.Of(n.Server)
			l.Text = fmt.Sprintf("server %s: %s", name, n.Text)
		case !n.OfAll:
			name, _ := c.names.Of(n.Server)
			l.Text = fmt.Sprintf("server %s %s: %s", name, n.Verdict, n.Text)
		}
		c.log(out, l)
	}
}

// hear takes over what the plane has for the module.
func (c *Core) hear(now fleet.Time, events []fleet.Event) {
	c.events = append(c.events, c.held...)
	c.held = c.held[:0]
	for _, e := range events {
		if l, ok := e.(fleet.ProxyLeft); ok {
			c.intake.Leave(l.Proxy)
		}
		c.events = append(c.events, e)
	}
}

func (c *Core) later(now fleet.Time, e fleet.Event) {
	if l, ok := e.(fleet.ProxyLeft); ok {
		c.intake.Leave(l.Proxy)
	}
	c.held = append(c.held, e)
}

// list turns names into ids and hands the list on.
func (c *Core) list(now fleet.Time, u discovery.Update, out *Output) {
	if u.Err == nil {
		c.listErr = ""
	} else if why := u.Err.Error(); why != c.listErr { // once for each reason: it may be away for hours
		c.listErr = why
		c.log(out, Line{now, "warn", "list", why})
	}
	if u.Scope == fleet.ListFailed {
		if c.site.ListOnRequest {
			c.events = append(c.events, fleet.EndpointList{Scope: fleet.ListFailed})
		}
		return
	}
	if u.Unchanged {
		c.confirmed = now
		return
	}
	if u.Scope == fleet.ListCached {
		c.cached(now, u, out)
		return
	}
	if u.Scope == fleet.ListFull && c.gated(now, u, out) {
		return
	}
	if u.Scope == fleet.ListDelta && c.heldList.Scope == fleet.ListFull && c.heldList.List.Revision > 0 { // it goes on from the one held
		c.gate.Drop()
		c.takeList(now, c.heldList, out)
		c.heldList = discovery.Update{}
	}
	c.takeList(now, u, out)
}

// gated tells whether a whole list is held back, as it names too few to be believed at once.
func (c *Core) gated(now fleet.Time, u discovery.Update, out *Output) bool {
	stay, digest := 0, xxhash.New()
	for _, s := range u.List.Endpoints {
		if _, known := c.docs[s.Name]; known && s.State != "gone" {
			stay++
		}
		_, _ = fmt.Fprintln(digest, s.Name, s.State)
	}
	known := len(c.docs) - c.doubts.Refuted() // those are known to be gone already
	if c.gate.Whole(now, known, stay, digest.Sum64()) == verification.Take {
		c.heldList = discovery.Update{}
		return false
	}
	c.heldList = u
	c.log(out, Line{now, "warn", "list", fmt.Sprintf("rev %d names only %d of %d servers: it is asked for again before it is obeyed", u.List.Revision, stay, known)})
	return true
}

// ungate obeys a list that was held when nothing better came in its time.
func (c *Core) ungate(now fleet.Time, out *Output) (wake fleet.Time) {
	obey, ask, wake := c.gate.Due(now)
	out.Fetch = out.Fetch || ask
	if obey {
		c.log(out, Line{now, "warn", "list", fmt.Sprintf("rev %d is obeyed: nothing better came", c.heldList.List.Revision)})
		c.takeList(now, c.heldList, out)
		c.heldList = discovery.Update{}
	}
	return wake
}

func (c *Core) takeList(now fleet.Time, u discovery.Update, out *Output) {
	l := fleet.EndpointList{Scope: u.Scope, Revision: fleet.ListRevision(u.List.Revision)}
	if u.Scope != fleet.ListDelta {
		clear(c.docs)
		clear(c.entries)
	}
	for _, s := range u.List.Endpoints {
		zone, ok := c.zones[s.Zone]
		if !ok && s.State != "gone" { // one that is gone needs no place
			c.log(out, Line{now, "error", "list", fmt.Sprintf("server %s: zone %q is none of this site's; left out", s.Name, s.Zone)})
			continue
		}
		id, moved := c.names.Listed(s.Name, s.Addr)
		if moved {
			c.plane.AddressChanged(id)
		}
		e := fleet.Endpoint{Server: id, Zone: zone, Kind: c.kinds[s.Kind],
			Cell: fleet.CellID(s.Cell), Weight: cmp.Or(s.Weight, 1), State: stateNames[s.State]}
		if !s.Started.IsZero() {
			e.Started = fleet.Time(s.Started.UnixNano())
		}
		if e.State == fleet.ServerGone {
			delete(c.docs, s.Name)
			delete(c.entries, e.Server)
			if u.Scope != fleet.ListDelta {
				continue
			}
		} else {
			c.docs[s.Name] = s
			c.entries[e.Server] = e
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	c.rev, c.listed = u.List.Revision, now
	if u.Scope != fleet.ListCached {
		c.live, c.confirmed = true, now
		c.doubts.Live(now, l)
		out.List = c.document()
	}
	c.tell(now, l)
	c.ownList(now)
}

// tell tells all that go by it of a list.
func (c *Core) tell(now fleet.Time, l fleet.EndpointList) {
	c.factsDue = true
	c.sources(l)
	c.guard.Hear(now, l) // before the plane asks it what the list makes of lines that stand
	c.plane.SetEndpoints(now, l)
	c.events = append(c.events, l)
}

// document gives the whole list.
func (c *Core) document() *discovery.EndpointList {
	doc := discovery.EndpointList{Revision: c.rev}
	for _, s := range c.docs {
		doc.Endpoints = append(doc.Endpoints, s)
	}
	slices.SortFunc(doc.Endpoints, func(a, b discovery.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return &doc
}

// sources tells intake which servers are listed.
func (c *Core) sources(l fleet.EndpointList) {
	if l.Scope != fleet.ListDelta {
		for id := range c.names.Count() {
			if _, listed := c.entries[fleet.ServerID(id)]; !listed {
				c.intake.Listed(fleet.ServerID(id), true)
			}
		}
	}
	for _, e := range l.Endpoints {
		c.intake.Listed(e.Server, e.State == fleet.ServerGone)
	}
}

var stateNames = map[string]fleet.ServerState{"": fleet.ServerReady, "ready": fleet.ServerReady, "draining": fleet.ServerDraining,
	"gone": fleet.ServerGone}

// due turns timers that have come due into events.
func (c *Core) due(now fleet.Time) {
	kept := c.alarms[:0]
	for _, a := range c.alarms {
		if a.at <= now {
			c.events = append(c.events, fleet.TimerFired{ID: a.id})
		} else {
			kept = append(kept, a)
		}
	}
	c.alarms = kept
}

var serverInText = regexp.MustCompile(`\bserver (\d+)\b`)

// order sorts the module's orders to where they are carried out.
func (c *Core) order(now fleet.Time, orders []fleet.Order, out *Output) {
	for _, o := range orders {
		switch o := o.(type) {
		case fleet.SetTimer:
			c.alarms = append(c.alarms, alarm{now + o.Delay, o.ID})
			continue
		case fleet.LogMessage:
			text := serverInText.ReplaceAllStringFunc(o.Text, func(m string) string {
				id, _ := strconv.ParseUint(m[len("server "):], 10, 32)
				name, _ := c.names.Of(fleet.ServerID(id))
				return "server " + name
			})
			c.log(out, Line{now, "info", "module", text})
		case fleet.WatchEndpoints:
			out.Watch = &o.Enabled
		case fleet.FetchEndpoints:
			out.Fetch = true
		case fleet.ProbeServer:
			out.Probes = append(out.Probes, o.Server)
			continue
		case fleet.WithdrawServer:
			c.factsDue = true
		case fleet.Barrier:
			continue
		}
		c.orders = append(c.orders[max(0, len(c.orders)+1-ordersKept):], Line{At: now, Text: c.say(o)})
	}
	if c.broken["cold-unbound"] {
		orders = c.unbound(now, slices.Clone(orders))
	}
	c.plane.Apply(now, orders)
}

func (c *Core) say(o fleet.Order) string {
	name := func(id fleet.ServerID) string { n, _ := c.names.Of(id); return n }
	switch o := o.(type) {
	case fleet.SetWeight:
		return fmt.Sprintf("share table=%d server=%s weight=%.4g", o.Table, name(o.Server), o.Weight)
	case fleet.WithdrawServer:
		return fmt.Sprintf("withdraw server=%s out=%v", name(o.Server), o.Withdrawn)
	case fleet.AssignTable:
		return fmt.Sprintf("bind proxy=%s table=%d classes=%#x", c.proxies[o.Proxy].Name, o.Table, o.Classes)
	case fleet.SetAdmission:
		return fmt.Sprintf("level table=%d classes=%#x amount=%.4g retry=%d", o.Table, o.Classes, o.Limit, o.Retry)
	case fleet.LogMessage:
		return "log " + o.Text
	case fleet.SetTimer:
		return fmt.Sprintf("fleet.SetAlarm {After:%d ID:%d}", o.Delay, o.ID)
	case fleet.ProbeServer:
		return fmt.Sprintf("fleet.Probe {Server:%d}", o.Server)
	case fleet.SendToPeer:
		return fmt.Sprintf("fleet.Tell {To:%d Data:%d}", o.To, o.Data)
	case fleet.WatchEndpoints:
		return fmt.Sprintf("fleet.Watch {On:%v}", o.Enabled)
	case fleet.FetchEndpoints:
		return "fleet.Fetch {}"
	case fleet.ClearTable:
		return fmt.Sprintf("fleet.Clear {Table:%d}", o.Table)
	case fleet.Barrier:
		return fmt.Sprintf("fleet.Mark {ID:%d All:%v}", o.ID, o.AllProxies)
	}
	return ""
}

func (c *Core) log(out *Output, l Line) {
	c.logs = append(c.logs[max(0, len(c.logs)+1-logKept):], l)
	out.Logs = append(out.Logs, l)
}

// ProxyViews gives what operators see of the proxies that are joined.
func (c *Core) ProxyViews() []reconcile.ProxyView { return c.plane.Proxies() }

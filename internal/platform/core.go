// Package node is a governor on the users' platform: one goroutine owns the module, its alarms, and the ids that stand for
// names. The translation is pure and time is an input; what comes in and goes out on sockets is other packages' work.
package platform

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/balancer"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/ingest/collector"
	"cressknot/internal/transport/relay"
)

const owedMost = 4096 // names kept of servers that may be shut out still: some hundred releases of lost calls

// Input is something that came in: a relay.News, a relay.Unconfirmed, a collector.Report or a list.Update.
type Input any

// Effects are what a turn asks the sockets to do, in this order.
type Effects struct {
	Left    []fleet.ProxyID   // have gone: nothing is to be sent to them
	Orders  []relay.Operation // one call
	Watches []bool
	Fetches int
	Logs    []string
	Unknown int        // reports of servers that are not known
	Alarm   fleet.Time // when the next turn is due at the latest, 0: no such time
}

// Core translates between the platform and the module.
type Core struct {
	site     fleet.Site
	governor *balancer.Balancer
	ids      map[string]fleet.ServerID
	names    map[fleet.ServerID]string
	lastID   fleet.ServerID          // ids are never used again
	fresh    map[fleet.ServerID]bool // the module has not heard of them yet
	alarms   alarms
	stream   uint64                 // the newest stream of news
	joined   map[fleet.ProxyID]bool // as the module was told
	shown    map[fleet.ProxyID]bool // by the opening of the newest stream; nil: it has shown all
	whole    bool                   // no news was missed before that stream
	owed     map[string]bool        // servers forgotten since, of which nobody knows whether they were let in again
	events   []fleet.Event
}

// NewCore makes a core that starts from the list as it was held last.
func NewCore(site fleet.Site, seed uint64, known discovery.EndpointList) *Core {
	c := &Core{site: site, governor: balancer.New(site, seed), ids: map[string]fleet.ServerID{},
		names: map[fleet.ServerID]string{}, fresh: map[fleet.ServerID]bool{}, joined: map[fleet.ProxyID]bool{}, owed: map[string]bool{}}
	c.list(discovery.Update{Scope: fleet.ListCached, List: known})
	return c
}

// Turn takes in what came and steps the module.
func (c *Core) Turn(now fleet.Time, inputs []Input) (fx Effects) {
	for _, in := range inputs {
		switch v := in.(type) {
		case relay.StreamEvent:
			c.news(v, &fx)
		case relay.Unconfirmed:
			c.unconfirmed(v.Operations)
		case discovery.Update:
			c.list(v)
		case collector.Report:
			c.report(v, &fx)
		}
	}
	for len(c.alarms) > 0 && c.alarms[0].at <= now {
		c.events = append(c.events, fleet.TimerFired{ID: heap.Pop(&c.alarms).(alarm).id})
	}
	orders := c.governor.Step(now, c.events)
	clear(c.events)
	clear(c.fresh)
	c.events = c.events[:0]
	for _, o := range orders {
		c.order(now, o, &fx)
	}
	if len(c.alarms) > 0 {
		fx.Alarm = c.alarms[0].at
	}
	return fx
}

// Beliefs tells what the module makes of each server, by name, in few characters: name, part of its weight that health leaves it,
// failed of tries, busy share, latency in ms, visits a second sent of those it can do, share of each table in thousandths.
func (c *Core) Beliefs() (told []string) {
	for _, b := range c.governor.Estimates() {
		mark, shares := "", []string{}
		for _, share := range b.Fractions {
			shares = append(shares, strconv.Itoa(int(1000*share+0.5)))
		}
		if b.WarmingUp {
			mark = " cold"
		}
		if b.Withdrawn {
			mark += " withdrawn"
		}
		told = append(told, fmt.Sprintf("%s held %.2f failed %.0f/%.0f busy %.2f lat %.0f rate %.1f/%.1f out %s%s", c.names[b.Server], b.HealthFactor,
			b.Failures, b.Attempts, b.Utilization, b.Latency.Seconds()*1000, b.RequestRate, b.Capacity, strings.Join(shares, "/"), mark))
	}
	return told
}

func (c *Core) order(now fleet.Time, order fleet.Order, fx *Effects) {
	op := relay.Operation{Order: order}
	switch o := order.(type) {
	case fleet.SetTimer:
		heap.Push(&c.alarms, alarm{now + o.Delay, o.ID})
		return
	case fleet.LogMessage:
		fx.Logs = append(fx.Logs, o.Text)
		return
	case fleet.WatchEndpoints:
		fx.Watches = append(fx.Watches, o.Enabled)
		return
	case fleet.FetchEndpoints:
		fx.Fetches++
		return
	case fleet.SetWeight:
		op.Server = c.names[o.Server]
	case fleet.WithdrawServer:
		op.Server = c.names[o.Server]
	case fleet.ClearTable, fleet.AssignTable, fleet.SetAdmission, fleet.Barrier:
	default:
		fx.Logs = append(fx.Logs, fmt.Sprintf("order %T has no form on this platform", order))
		return
	}
	fx.Orders = append(fx.Orders, op)
}

// news takes in what the relay's stream told. After a break a proxy that is still there may have left and come back unseen, and is
// then on none of our tables, so the module hears that it joined though it never heard that it left; unless the stream before stood until
// the new one. Who isn't shown by the opening has left.
func (c *Core) news(n relay.StreamEvent, fx *Effects) {
	if n.Stream < c.stream {
		return
	}
	switch n.Kind {
	case relay.StreamOpened:
		c.stream, c.shown, c.whole = n.Stream, map[fleet.ProxyID]bool{}, n.Continuous
	case relay.SnapshotComplete:
		if c.shown == nil {
			return
		}
		var gone []fleet.ProxyID
		for id := range c.joined {
			if !c.shown[id] {
				gone = append(gone, id)
			}
		}
		slices.Sort(gone)
		for _, id := range gone {
			c.leave(id, fx)
		}
		c.shown = nil
	case relay.ProxyEvent:
		switch e := n.Event.(type) {
		case fleet.ProxyJoined:
			if c.shown != nil {
				again := c.shown[e.Proxy]
				if c.shown[e.Proxy] = true; !again && c.joined[e.Proxy] && !e.Fresh {
					if !c.whole { // it may have left and come back unseen, or be where it was
						c.events = append(c.events, e)
					}
					return
				}
			}
			c.leave(e.Proxy, fx)
			c.joined[e.Proxy] = true
			c.events = append(c.events, e)
		case fleet.ProxyLeft:
			c.leave(e.Proxy, fx)
		default:
			c.events = append(c.events, e)
		}
	}
}

// unconfirmed hands on orders that were carried out or not. Where a server was forgotten since, its name counts: one that is
// back under it has the id that it has now, and one that isn't may come back, and may then still be shut out.
func (c *Core) unconfirmed(ops []relay.Operation) {
	var orders []fleet.Order
	for _, o := range ops {
		w, is := o.Order.(fleet.WithdrawServer)
		if is && !c.governor.Tracks(w.Server) && !c.fresh[w.Server] {
			id, back := c.ids[o.Server]
			if !back || id == w.Server {
				if len(c.owed) < owedMost {
					c.owed[o.Server] = true
				}
				continue
			}
			w.Server = id
			o.Order = w
		}
		orders = append(orders, o.Order)
	}
	c.events = append(c.events, fleet.OrdersUnconfirmed{Orders: orders})
}

// Joined tells how many proxies are.
func (c *Core) Joined() int { return len(c.joined) }

func (c *Core) leave(id fleet.ProxyID, fx *Effects) {
	if !c.joined[id] {
		return
	}
	delete(c.joined, id)
	c.events = append(c.events, fleet.ProxyLeft{Proxy: id})
	fx.Left = append(fx.Left, id)
}

func (c *Core) report(r collector.Report, fx *Effects) {
	if r.IsDemand {
		c.events = append(c.events, r.Demand)
		return
	}
	id, known := c.ids[r.Server]
	if !known {
		fx.Unknown++
		return
	}
	r.Outcome.Server = id
	c.events = append(c.events, r.Outcome)
}

var states = map[string]fleet.ServerState{"": fleet.ServerReady, "ready": fleet.ServerReady, "draining": fleet.ServerDraining, "gone": fleet.ServerGone}

func (c *Core) list(u discovery.Update) {
	if u.Unchanged {
		return
	}
	for id, name := range c.names { // what the module has forgotten: its name may stand for another server one day
		if !c.governor.Tracks(id) && !c.fresh[id] {
			delete(c.names, id)
			delete(c.ids, name)
		}
	}
	var again []fleet.Order
	e := fleet.EndpointList{Scope: u.Scope, Revision: fleet.ListRevision(u.List.Revision)}
	for _, s := range u.List.Endpoints {
		id, known := c.ids[s.Name]
		if !known {
			if states[s.State] == fleet.ServerGone {
				continue // never was one of ours
			}
			c.lastID++
			id = c.lastID
			c.ids[s.Name], c.names[id], c.fresh[id] = id, s.Name, true
			if c.owed[s.Name] { // it may be shut out still
				delete(c.owed, s.Name)
				again = append(again, fleet.WithdrawServer{Server: id})
			}
		}
		entry := fleet.Endpoint{Server: id, State: states[s.State], Cell: fleet.CellID(s.Cell), Weight: s.Weight,
			Zone: fleet.ZoneID(max(0, slices.Index(c.site.Zones, s.Zone))),
			Kind: fleet.KindID(max(0, slices.Index(c.site.Kinds, s.Kind)))}
		if !s.Started.IsZero() {
			entry.Started = fleet.Time(s.Started.UnixNano())
		}
		e.Endpoints = append(e.Endpoints, entry)
	}
	c.events = append(c.events, e)
	if len(again) > 0 {
		c.events = append(c.events, fleet.OrdersUnconfirmed{Orders: again})
	}
}

type alarm struct {
	at fleet.Time
	id fleet.TimerID
}

// alarms is a heap, the next one first.
type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

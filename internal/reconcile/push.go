package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// How long what staff set lasts.
const (
	ManualWeightDuration = 300 * fleet.Second       // a weight set by hand: staff look again, or forget it
	DefaultPinDuration   = 300 * fleet.Second       // a pin or a way back, unless said otherwise: the same
	MaxPinDuration       = 24 * 3600 * fleet.Second // a pin that is forgotten ends within a day
)

// push names a line of a table that staff have set.
type push struct {
	table  fleet.TableID
	server int32
}

type pushed struct {
	weight int16
	until  fleet.Time
}

// ManualWeight is a weight that staff have set in place of the module's.
type ManualWeight struct {
	Table  fleet.TableID
	Server fleet.ServerID
	Weight int16
	Until  fleet.Time
}

// SetManualWeight sets a line of a table by hand until a time: 0 to 256, in place of what the module wants. What a judge holds back
// it holds back all the same.
func (p *Reconciler) SetManualWeight(now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int16, until fleet.Time) {
	i := p.server(server)
	p.pushes[push{table, i}] = pushed{max(0, min(maxWeight, weight)), until}
	p.repush(now, table, i)
}

// ClearManualWeight lets the module's weight count again.
func (p *Reconciler) ClearManualWeight(now fleet.Time, table fleet.TableID, server fleet.ServerID) bool {
	i := p.server(server)
	_, was := p.pushes[push{table, i}]
	delete(p.pushes, push{table, i})
	p.repush(now, table, i)
	return was
}

// repush sends a line of a table to all that use it.
func (p *Reconciler) repush(now fleet.Time, table fleet.TableID, i int32) {
	if t := p.tables[table]; t != nil {
		p.note(now, table, t, "set by hand")
	}
	p.users(table, func(x *proxy) {
		p.touch(x, key{server: i}, false)
		p.send(now, x, 1, nil)
	})
}

// expire ends pushes whose time is over.
func (p *Reconciler) expire(now fleet.Time) {
	for _, o := range p.ManualWeights() {
		if now >= o.Until {
			p.ClearManualWeight(now, o.Table, o.Server)
		}
	}
}

// ManualWeights gives what staff have set, by table and server.
func (p *Reconciler) ManualWeights() []ManualWeight {
	var all []ManualWeight
	for at, o := range p.pushes {
		all = append(all, ManualWeight{at.table, p.servers[at.server].id, o.weight, o.until})
	}
	slices.SortFunc(all, func(a, b ManualWeight) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Server, b.Server))
	})
	return all
}

// Users gives the proxies and classes that go by a table.
func (p *Reconciler) Users(table fleet.TableID, each func(fleet.ProxyID, fleet.ClassID)) {
	for _, x := range p.order {
		for c, on := range x.on {
			if x.bound[c] && on == table {
				each(x.id, fleet.ClassID(c))
			}
		}
	}
}

package reconcile

import (
	"fmt"
	"math"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

const (
	keptLines = 100_000                  // of all deltas of a table: some 4 MB
	keptFor   = 24 * 3600 * fleet.Second // a bad table is found within a day, or its traffic is long gone
)

// pin holds a table against the module.
type pin struct {
	weights []int16 // by server index: what stands in place of the module's
	until   fleet.Time
	why     string
}

// SetEpoch begins versions of tables in an epoch, with the names of servers that digests are made of. Without it tables
// have none.
func (p *Reconciler) SetEpoch(epoch uint64, name tableversion.NameFunc) {
	p.epoch, p.name = epoch, name
}

// RaiseEpoch goes on in a later epoch, with all tables as they are.
func (p *Reconciler) RaiseEpoch(now fleet.Time, epoch uint64, why string) {
	p.epoch = epoch
	for _, id := range p.tableIDs() {
		if t := p.tables[id]; t.book != nil {
			t.book.BeginEpoch(now, epoch, why)
		}
	}
}

// LatestEpoch gives the epoch of the newest version that a proxy was found to hold, 0 for none.
func LatestEpoch(stamps []string) (epoch uint64) {
	for _, s := range stamps {
		text, _, _ := strings.Cut(s, "/")
		if v, err := tableversion.ParseVersion(text); err == nil {
			epoch = max(epoch, v.Epoch)
		}
	}
	return epoch
}

// published gives what proxies are to hold of a line's weight: what staff have set, else what the table is pinned to, else
// what the module wants.
func (p *Reconciler) published(id fleet.TableID, t *table, i int32) int16 {
	if o, pushed := p.pushes[push{id, i}]; pushed {
		return o.weight
	}
	if t.pin != nil {
		if int(i) < len(t.pin.weights) {
			return t.pin.weights[i]
		}
		return 0
	}
	return Round(t.weights[i]*(1-p.servers[i].less), t.scale)
}

// Part is what a server gets of its weights, 0 to 1.
type Part struct {
	Server fleet.ServerID
	Of     float64
}

// Parts lets servers have a part of their weights in all tables: what the module orders stays, and counts whole again at 1.
func (p *Reconciler) Parts(now fleet.Time, parts []Part, why string) {
	changed := map[int32]bool{}
	for _, one := range parts {
		i := p.server(one.Server)
		changed[i] = p.servers[i].less != 1-one.Of
		p.servers[i].less = 1 - one.Of
	}
	for _, id := range p.tableIDs() {
		t := p.tables[id]
		p.note(now, id, t, why)
		p.users(id, func(x *proxy) {
			n := 0
			for _, one := range parts {
				if i := p.index[one.Server]; changed[i] && t.weights[i] > 0 && p.differs(x, i) {
					p.touch(x, key{server: i}, false)
					n++
				}
			}
			if n > 0 {
				p.send(now, x, n, nil)
			}
		})
	}
}

// note makes the next version of a table of what is published now.
func (p *Reconciler) note(now fleet.Time, id fleet.TableID, t *table, why string) {
	if p.name == nil {
		return
	}
	if t.book == nil {
		t.book = tableversion.New(p.epoch, p.name, tableversion.HistoryLimits{MaxEntries: keptLines, MaxAge: keptFor})
	}
	lines := p.lines[:0]
	for i := range p.servers {
		if w := int(p.published(id, t, int32(i))); w != t.book.Weight(p.servers[i].id) {
			lines = append(lines, tableversion.Entry{Server: p.servers[i].id, Weight: w})
		}
	}
	p.lines = lines
	t.book.Change(now, lines, why)
}

// TableIDs gives the tables that there are, in order.
func (p *Reconciler) TableIDs() []fleet.TableID { return p.tableIDs() }

// TableVersions gives a table's versions, nil where it has none.
func (p *Reconciler) TableVersions(id fleet.TableID) *tableversion.Table {
	if t := p.tables[id]; t != nil {
		return t.book
	}
	return nil
}

// retouch sends all proxies on a table what differs from what they hold.
func (p *Reconciler) retouch(now fleet.Time, id fleet.TableID) {
	p.users(id, func(x *proxy) {
		n := 0
		for i := range p.servers {
			if p.differs(x, int32(i)) {
				p.touch(x, key{server: int32(i)}, false)
				n++
			}
		}
		p.send(now, x, n, nil)
	})
}

// Pin holds a table as it is until a time.
func (p *Reconciler) Pin(now fleet.Time, id fleet.TableID, until fleet.Time) error {
	t := p.tables[id]
	if t == nil {
		return fmt.Errorf("table %d is not there", id)
	}
	weights := make([]int16, len(p.servers))
	for i := range p.servers {
		weights[i] = p.published(id, t, int32(i))
	}
	t.pin = &pin{weights, until, "pinned"}
	return nil
}

// Rollback makes a new version of a table with the content of an earlier one, as far as today's servers allow, and pins it
// until a time. It tells in which lines it had to differ.
func (p *Reconciler) Rollback(now fleet.Time, id fleet.TableID, to tableversion.Version, until fleet.Time) ([]tableversion.Difference, error) {
	t := p.tables[id]
	if t == nil || t.book == nil {
		return nil, fmt.Errorf("table %d has no versions", id)
	}
	allow := func(server fleet.ServerID) string {
		i := p.server(server)
		switch s := &p.servers[i]; {
		case s.state == fleet.ServerDraining:
			return "draining"
		case !p.ready(i):
			return "gone"
		}
		return ""
	}
	_, differs, err := t.book.Rollback(now, to, allow)
	if err != nil {
		return differs, err
	}
	weights := make([]int16, len(p.servers))
	for i := range p.servers {
		weights[i] = int16(min(maxWeight, t.book.Weight(p.servers[i].id)))
	}
	for at := range p.pushes { // a way back goes over what was set by hand
		if at.table == id {
			delete(p.pushes, at)
		}
	}
	t.pin = &pin{weights, until, "back to " + to.String()}
	p.retouch(now, id)
	return differs, nil
}

// Unpin lets the module's table count again.
func (p *Reconciler) Unpin(now fleet.Time, id fleet.TableID, why string) bool {
	t := p.tables[id]
	if t == nil || t.pin == nil {
		return false
	}
	t.pin = nil
	p.note(now, id, t, why)
	p.retouch(now, id)
	return true
}

// Pinned tells until when a table is pinned and why, 0 for not.
func (p *Reconciler) Pinned(id fleet.TableID) (until fleet.Time, why string) {
	if t := p.tables[id]; t != nil && t.pin != nil {
		return t.pin.until, t.pin.why
	}
	return 0, ""
}

// pins ends pins whose time is over, and those that would leave a table without a server that may take visits: drains and
// "nobody bare" act on a pinned table as on any.
func (p *Reconciler) pins(now fleet.Time) {
	for _, id := range p.tableIDs() {
		t := p.tables[id]
		if t.pin == nil {
			continue
		}
		usable := false
		for i, w := range t.pin.weights {
			usable = usable || w > 0 && p.ready(int32(i)) && !p.servers[i].withdrawn
		}
		switch {
		case now >= t.pin.until:
			p.Unpin(now, id, "its pin ended")
		case !usable:
			p.alarms = append(p.alarms, Notice{Table: true, Text: fmt.Sprintf("the pin of table %d ended early: no server in it may take visits", id)})
			p.Unpin(now, id, "its pin left nobody")
		}
	}
}

// stamp gives the version and the digest of the table that a proxy's class goes by, "" where it has none.
func (p *Reconciler) stamp(x *proxy, c int) string {
	if !x.bound[c] {
		return ""
	}
	t := p.tables[x.on[c]]
	if t == nil || t.book == nil {
		return ""
	}
	return t.book.Version().String() + "/" + t.book.Digest().String()
}

// stamps adds to a message the versions that the proxy holds once it has read it: only where nothing else waits for it.
func (p *Reconciler) stamps(x *proxy, b *parcel) {
	if len(x.pending) > 0 || len(x.held) > 0 || len(x.failed) > 0 {
		return
	}
	for c := range x.stamped {
		if s := p.stamp(x, c); s != "" && s != x.stamped[c] {
			x.stamped[c] = s
			b.changes = append(b.changes, Change{Kind: UpdateVersion, Class: fleet.ClassID(c), VersionStamp: s})
			b.keys = append(b.keys, key{noServer, fleet.ClassID(c)})
		}
	}
}

// verify compares what a proxy was found to hold with the version that it says it holds. What differs is put right as any
// difference; staff are told, as somebody changed it while nobody looked, or it was set back.
func (p *Reconciler) verify(x *proxy, lines []SnapshotEntry) {
	if p.name == nil {
		return
	}
	for c, said := range x.stamped {
		_, digest, ok := strings.Cut(said, "/")
		if !ok {
			continue
		}
		held := tableversion.Digest(0)
		for _, l := range lines {
			if int(l.Class) == c {
				held += tableversion.EntryDigest(p.name(l.Server), int(l.State.Weight))
			}
		}
		if held.String() != digest {
			x.stamped[c] = ""
			p.alarms = append(p.alarms, Notice{Proxy: x.id, Text: fmt.Sprintf("it says that it holds version %s, but its lines of class %d have digest %s; they are put right",
				said, c, held)})
		}
	}
}

// VersionStamps gives the versions that proxies were told, by proxy and class.
func (p *Reconciler) VersionStamps(each func(id fleet.ProxyID, class fleet.ClassID, stamp string, newest bool)) {
	for _, x := range p.order {
		for c, s := range x.stamped {
			each(x.id, fleet.ClassID(c), s, s != "" && s == p.stamp(x, c) && len(x.flying) == 0)
		}
	}
}

// ObservedEntry is a line as a poll of a proxy shows it.
type ObservedEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	Weight int16 // of a line that takes visits
	State  State
}

// ObserveEntries compares what a poll shows with what the proxy was sent. What differs was changed by hand, or lost: it is told and put
// right, with the difference only. While something is on its way nothing can be said.
func (p *Reconciler) ObserveEntries(now fleet.Time, id fleet.ProxyID, lines []ObservedEntry) {
	x := p.proxies[id]
	if x == nil || len(x.flying) > 0 || len(lines) == 0 {
		return
	}
	if len(x.seen) < len(x.sent) {
		x.seen = make([]uint32, len(x.sent))
	}
	x.looks++
	differ := 0
	odd := func(at int, cell EntryState) {
		p.set(x, at, cell)
		p.touch(x, key{server: int32(at / p.classes())}, true)
		x.allowed++
		differ++
	}
	for _, l := range lines {
		i, known := p.index[l.Server]
		if !known || int(l.Class) >= p.classes() {
			continue
		}
		at := int(i)*p.classes() + int(l.Class)
		if at >= len(x.seen) {
			continue
		}
		x.seen[at] = x.looks
		have := x.sent[at]
		same := have.Present && have.State == l.State && (l.State != StateReady || have.Weight == l.Weight)
		if have.Unknown || same {
			continue
		}
		cell := EntryState{Present: true, Weight: l.Weight, State: l.State, WrongAddress: have.WrongAddress}
		if l.State != StateReady {
			cell.Weight = have.Weight
		}
		odd(at, cell)
	}
	for at, have := range x.sent {
		if have.Present && !have.Unknown && x.seen[at] != x.looks {
			odd(at, EntryState{})
		}
	}
	if differ > 0 {
		p.alarms = append(p.alarms, Notice{Proxy: id, Text: fmt.Sprintf("%d lines are not what it was sent; they are put right", differ)})
		for c := range x.stamped {
			x.stamped[c] = ""
		}
	}
	if x.looks == math.MaxUint32 {
		x.looks, x.seen = 0, nil
	}
}

// Pin tells of a table that is held against the module.
type Pin struct {
	Table   fleet.TableID
	Weights []tableversion.Entry
	Until   fleet.Time
	Reason  string
}

// Pins gives the pins that stand, by table.
func (p *Reconciler) Pins() []Pin {
	var all []Pin
	for _, id := range p.tableIDs() {
		if t := p.tables[id]; t.pin != nil {
			one := Pin{Table: id, Until: t.pin.until, Reason: t.pin.why}
			for i, w := range t.pin.weights {
				if w > 0 {
					one.Weights = append(one.Weights, tableversion.Entry{Server: p.servers[i].id, Weight: int(w)})
				}
			}
			all = append(all, one)
		}
	}
	return all
}

// RestoreVersions gives what a table's versions are kept in, for Restore.
func (p *Reconciler) RestoreVersions(at tableversion.Version, digest tableversion.Digest, whole []tableversion.Entry, deltas []tableversion.Delta) (*tableversion.Table, error) {
	return tableversion.Restore(p.epoch, p.name, tableversion.HistoryLimits{MaxEntries: keptLines, MaxAge: keptFor}, at, digest, whole, deltas)
}

// Restore gives a table the versions that were kept of it, and its pin if one stood. It is for a plane that has no orders yet.
func (p *Reconciler) Restore(id fleet.TableID, book *tableversion.Table, pinned *Pin) {
	t := p.table(id)
	if book != nil {
		t.book = book
	}
	if pinned == nil {
		return
	}
	for _, l := range pinned.Weights {
		p.server(l.Server)
	}
	weights := make([]int16, len(p.servers))
	for _, l := range pinned.Weights {
		weights[p.index[l.Server]] = int16(max(0, min(maxWeight, l.Weight)))
	}
	t.pin = &pin{weights, pinned.Until, pinned.Reason}
}

// RestoreManualWeight takes up a weight that staff had set; it makes no version, as nothing is published yet.
func (p *Reconciler) RestoreManualWeight(o ManualWeight) {
	p.pushes[push{o.Table, p.server(o.Server)}] = pushed{max(0, min(maxWeight, o.Weight)), o.Until}
}

package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// The channel: all that leaves goes through one queue at the stated pace, first in first out. What a message
// holds is worked out when it is written, from what is wanted then; so a weight that waits is replaced by a newer
// one, and withdrawals and cold guards of a proxy overtake its ordinary lines.

func (p *Reconciler) cost(b *parcel) float64 {
	n := float64(b.lines) + p.site.MessageOverhead
	if b.marked {
		n++
	}
	return n
}

// send puts one message to a proxy into the channel.
func (p *Reconciler) send(now fleet.Time, x *proxy, lines int, mark *fleet.Barrier) *parcel {
	b := &parcel{proxy: x, lines: lines, ordered: now}
	if mark != nil {
		b.mark, b.marked = mark.ID, true
	}
	if lines == 0 && mark == nil {
		return b
	}
	if last := x.last; mark == nil && last != nil && !last.gone && last.left == 0 && p.waiting+float64(lines) <= p.site.MaxBacklog {
		last.lines += lines // it waits in the channel still: what is new goes with it, at no further head
		p.waiting += float64(lines)
		return last
	}
	if p.waiting+p.cost(b) > p.site.MaxBacklog { // no more may wait: it is put into the channel when there is room
		x.deferred = true
		p.deferrals++
		return b
	}
	p.seq++
	b.seq, b.before = p.seq, p.seq
	p.queue, p.open = append(p.queue, b), append(p.open, b)
	p.waiting += p.cost(b)
	x.queued++
	x.last = b
	return b
}

// Next gives the messages that may leave by now, the events that the module is to hear, the proxies whose
// streams are to be broken because nothing comes back from them, and when to call again (0: when something
// happens).
func (p *Reconciler) Next(now fleet.Time) (out []Message, events []fleet.Event, drops []fleet.ProxyID, wake fleet.Time) {
	p.sweep(now)
	p.stuck(now)
	p.pace(now)
	for _, x := range p.order {
		if x.retryAt > 0 && now >= x.retryAt {
			x.retryAt = 0
			for _, k := range x.failed {
				p.touch(x, k, true)
				x.allowed++
			}
			x.failed = x.failed[:0]
		}
		if x.deferred && p.waiting+p.site.MessageOverhead+float64(len(x.pending)) <= p.site.MaxBacklog/2 {
			x.deferred = false
			p.send(now, x, len(x.pending), nil)
		}
		p.again(now, x)
		if x.queued == 0 && len(x.due) == 0 && x.retryAt == 0 && !x.deferred { // the last one takes along what is left over
			x.allowed = max(x.allowed, len(x.pending))
		}
		for len(x.flying) < maxInFlightMessages && p.mayWrite(now, x) && (len(x.due) > 0 || x.allowed > 0 && len(x.pending) > 0) {
			if m, ok := p.write(now, x); ok {
				out = append(out, m)
			}
		}
	}
	p.settle()
	soon := func(at fleet.Time) {
		if at > 0 && (wake == 0 || at < wake) {
			wake = at
		}
	}
	if p.head < len(p.queue) {
		need := p.cost(p.queue[p.head]) - p.credit
		soon(now + max(fleet.Millisecond, fleet.Second.Scale(min(need, 1)/max(1, p.site.EntriesPerSecond))))
	}
	for _, x := range p.order {
		soon(x.retryAt)
		soon(x.againAt)
		if len(x.flying) > 0 {
			soon(x.heard + p.stuckTimeout())
			if slow := x.flying[0].left + p.slowAfter(); slow > now {
				soon(slow)
			}
		}
	}
	events, p.events = p.events, nil
	drops, p.drops = p.drops, nil
	return out, events, drops, wake
}

// pace lets messages leave the queue as the stated lines a second allow.
func (p *Reconciler) pace(now fleet.Time) {
	if p.paced < 0 {
		p.paced = now
	}
	most := max(1, maxBurstDuration.Seconds()*p.site.EntriesPerSecond)
	p.credit = min(most, p.credit+max(0, (now-p.paced).Seconds())*p.site.EntriesPerSecond)
	p.paced = max(p.paced, now) // a clock that goes back lets nothing leave twice
	for p.head < len(p.queue) {
		b := p.queue[p.head]
		if b.gone {
			p.queue[p.head] = nil
			p.head++
			continue
		}
		// A message longer than a burst leaves when the credit is positive and is paid back after.
		if need := p.cost(b); p.credit < min(need, most) {
			break
		}
		p.credit -= p.cost(b)
		p.waiting -= p.cost(b)
		b.left = now
		b.proxy.queued--
		b.proxy.due = append(b.proxy.due, b)
		b.proxy.allowed += b.lines
		p.queue[p.head] = nil
		p.head++
	}
	if p.head > len(p.queue)/2 {
		p.queue = slices.Delete(p.queue, 0, p.head)
		p.head = 0
	}
}

// write works out the next message to a proxy: all that is urgent, then ordinary lines whose time has come.
func (p *Reconciler) write(now fleet.Time, x *proxy) (Message, bool) {
	b := &parcel{proxy: x, ordered: now, left: now, done: true}
	if len(x.due) > 0 {
		b = x.due[0]
		x.due = slices.Delete(x.due, 0, 1)
	}
	d := p.draft(now, x)
	take := func(keys []key, urgent bool, most int) []key {
		n := 0
		for ; n < len(keys) && most > 0; n++ {
			if k := keys[n]; x.pending[k] == urgent && pendingHas(x, k) {
				delete(x.pending, k)
				p.propose(now, d, x, k, urgent)
				most--
				x.allowed--
			}
		}
		return slices.Delete(keys, 0, n)
	}
	x.urgent = take(x.urgent, true, max(1, len(x.urgent)))
	x.ordinary = take(x.ordinary, false, x.allowed)
	if x.allowed = max(0, x.allowed); len(x.pending) == 0 {
		x.allowed, x.urgent, x.ordinary = 0, x.urgent[:0], x.ordinary[:0]
	}
	if p.judge != nil && len(d.Proposals) > 0 {
		p.judge.CheckPlan(now, d)
	}
	Arrange(d)
	if p.adopt(now, x, b, d); len(b.changes) > 0 || b.seq > 0 {
		p.stamps(x, b)
	}
	if len(b.changes) == 0 { // nothing differs any more: as if answered
		p.answered(now, b)
		return Message{}, false
	}
	if b.seq == 0 {
		p.seq++
		b.seq = p.seq
	}
	if len(x.flying) == 0 {
		x.heard = now
	}
	x.flying = append(x.flying, b)
	x.writes++
	if p.site.MaxMessages > 0 {
		x.wrote = append(x.wrote, now)
	}
	p.paces.messages++
	p.paces.lines += uint64(b.lines)
	p.paces.changes += uint64(len(b.changes))
	return Message{Proxy: x.id, Sequence: b.seq, Entries: b.lines, Changes: b.changes}, true
}

// draft tells what a proxy holds, once all that is on its way has arrived.
func (p *Reconciler) draft(now fleet.Time, x *proxy) *UpdatePlan {
	d := &p.scratch
	*d = UpdatePlan{Proxy: x.id, Proposals: d.Proposals[:0], sorted: d.sorted, EntryCounts: x.lines, WeightSums: x.sums, Warming: d.Warming[:0], NothingInFlight: len(x.flying) == 0}
	for _, i := range p.coldNow(now) {
		for c := range p.classes() {
			at := int(i)*p.classes() + c
			if cell := x.sent[at]; cell.Usable() && p.ready(i) {
				d.Warming = append(d.Warming, WarmingEntry{fleet.ClassID(c), p.servers[i].id, cell, at, i})
			}
		}
	}
	return d
}

// coldNow gives the servers that are cold; it forgets those that have grown warm.
func (p *Reconciler) coldNow(now fleet.Time) []int32 {
	p.coldOnes = slices.DeleteFunc(p.coldOnes, func(i int32) bool { return !p.cold(&p.servers[i], now) })
	return p.coldOnes
}

// adopt takes what a judge let pass as sent, and keeps what it held back to be tried again.
func (p *Reconciler) adopt(now fleet.Time, x *proxy, b *parcel, d *UpdatePlan) {
	for i := range d.Proposals {
		q := &d.Proposals[i]
		if why := cmp.Or(q.HoldReason, q.LowerReason); why != "" {
			p.refuse(now, x, q, why)
		} else if _, was := x.held[q.key]; was {
			p.allow(x, q.key)
		}
		switch {
		case q.HoldReason != "":
			continue
		case q.Kind == UpdateAdmission:
			x.levels[q.Class] = q.Admission
		case q.Want == q.Have:
			continue // lowered to what stands
		default:
			p.set(x, q.at, q.Want)
		}
		b.changes, b.keys = append(b.changes, q.Change), append(b.keys, q.key)
	}
}

func pendingHas(x *proxy, k key) bool { _, ok := x.pending[k]; return ok }

// mayWrite keeps to the messages that may go to one proxy within a time; the last ones are kept for what is urgent.
func (p *Reconciler) mayWrite(now fleet.Time, x *proxy) bool {
	if most := p.site.MaxMessages; most > 0 {
		x.wrote = slices.DeleteFunc(x.wrote, func(at fleet.Time) bool { return at <= now-p.site.MessageWindow })
		return len(x.wrote) < most-spareWrites || len(x.wrote) < most && len(x.urgent) > 0
	}
	return true
}

// Progress tells that some answer came from a proxy: it is slow perhaps, not stuck.
func (p *Reconciler) Progress(now fleet.Time, id fleet.ProxyID) {
	if x := p.proxies[id]; x != nil {
		x.heard = now
	}
}

// Acknowledge tells that all answers to a message have come, and which of its changes were not done.
func (p *Reconciler) Acknowledge(now fleet.Time, id fleet.ProxyID, seq uint64, failures []Failure) {
	x := p.proxies[id]
	if x == nil {
		return
	}
	at := slices.IndexFunc(x.flying, func(b *parcel) bool { return b.seq == seq })
	if at < 0 {
		return // of a stream before this one
	}
	b := x.flying[at]
	x.flying = slices.Delete(x.flying, at, at+1)
	x.heard, x.took = now, now-b.left
	for _, f := range failures {
		if f.Index >= 0 && f.Index < len(b.changes) {
			p.fail(now, x, b.changes[f.Index], b.keys[f.Index], f)
		}
	}
	if len(failures) == 0 && len(x.failed) == 0 {
		x.backoff = 0
	}
	p.answered(now, b) // marks are settled by Next
	if len(x.flying) == 0 && p.judge != nil {
		p.judge.ProxyAcknowledged(now, p.draft(now, x))
	}
}

// fail takes back what a change that was not done was taken to do, and has it sent anew: at once where the error
// tells what the proxy holds, else later and later.
func (p *Reconciler) fail(now fleet.Time, x *proxy, ch Change, k key, f Failure) {
	again := true
	if ch.Kind == UpdateAdmission {
		x.levels[ch.Class] = Admission{}
		again = false
	} else if ch.Kind == UpdateVersion {
		x.stamped[ch.Class] = ""
		again = false
	} else {
		at := int(k.server)*p.classes() + int(ch.Class)
		switch {
		case f.Kind == FailureEntryMissing:
			p.set(x, at, EntryState{})
			x.own[at] = EntryState{}
			if ch.Kind == DeleteEntry {
				return
			}
			again = ch.Kind == UpdateEntry
		case f.Kind == FailureEntryExists:
			p.set(x, at, EntryState{Present: true, Unknown: true})
		case f.Kind == FailureEntryInUse:
			p.set(x, at, EntryState{Present: true, Weight: ch.Weight, State: StateMaintenance})
			return // the next sweep tries again
		default:
			cell := x.sent[at]
			cell.Unknown, cell.Present = ch.Kind != AddEntry, ch.Kind != AddEntry
			p.set(x, at, cell)
			again = false
		}
	}
	if again {
		p.touch(x, k, true)
		x.allowed++
		return
	}
	if x.backoff == 0 {
		p.alarms = append(p.alarms, Notice{Proxy: x.id, Text: "a change was refused and will be sent again: " + f.Text})
	}
	if !slices.Contains(x.failed, k) {
		x.failed = append(x.failed, k)
	}
	if x.retryAt == 0 {
		x.backoff = min(retryLast, max(retryFirst, 2*x.backoff))
		x.retryAt = now + x.backoff
	}
}

func (p *Reconciler) answered(now fleet.Time, b *parcel) {
	if b.waits = b.marked && !b.gone; b.waits {
		b.ordered = now - b.ordered // from here on: how long it took
	}
	b.done = true
}

// settle answers the marks whose time has come: all messages before theirs have been answered, but for those of
// proxies that are slow.
func (p *Reconciler) settle() {
	low := 0
	for low < len(p.open) && p.passed(p.open[low]) {
		low++
	}
	reached := p.seq + 1
	if low < len(p.open) {
		reached = p.open[low].seq
	}
	left := p.open[:0]
	for i, b := range p.open {
		if b.waits && b.before <= reached {
			b.waits = false
			p.events = append(p.events, fleet.BarrierReached{Proxy: b.proxy.id, Barrier: b.mark, Delay: b.ordered})
		}
		if i >= low || b.waits || !b.done {
			left = append(left, b)
		}
	}
	clear(p.open[len(left):])
	p.open = left
}

// passed: the message holds no mark. A slow proxy's holds none, since it delays no other one.
func (p *Reconciler) passed(b *parcel) bool {
	return b.done || b.left > 0 && p.paced > b.left+p.slowAfter()
}

func (p *Reconciler) slowAfter() fleet.Time { return max(slowLeast, slowTravel*p.site.MeanUpdateDelay) }

func (p *Reconciler) stuckTimeout() fleet.Time {
	return max(stuckLeast, stuckTurns*p.site.MaxUpdateDelay)
}

// stuck gives up on proxies that answer nothing at all.
func (p *Reconciler) stuck(now fleet.Time) {
	for _, x := range slices.Clone(p.order) {
		if len(x.flying) > 0 && now >= x.heard+p.stuckTimeout() {
			p.drops = append(p.drops, x.id)
			p.alarms = append(p.alarms, Notice{Proxy: x.id, Text: "nothing came back to its messages; its stream is broken off"})
			p.Leave(x.id)
		}
	}
}

// sweep deletes the lines of servers that are gone for good, once a second.
func (p *Reconciler) sweep(now fleet.Time) {
	if now < p.swept+fleet.Second {
		return
	}
	p.swept = now
	p.expire(now)
	p.pins(now)
	for i := range p.servers {
		s := &p.servers[i]
		if s.gone == 0 || !s.withdrawn || now < s.gone+forgetGone {
			continue
		}
		s.gone = now - forgetGone/2 // those still in use are tried again after half the time
		for _, x := range p.order {
			b := &parcel{proxy: x, ordered: now, left: now, done: true}
			for c := range p.classes() {
				cell := x.sent[i*p.classes()+c]
				if cell.Present && cell.State == StateMaintenance && !cell.Unknown {
					ch := Change{Kind: DeleteEntry, Class: fleet.ClassID(c), Server: s.id, Weight: cell.Weight}
					b.changes, b.keys = append(b.changes, ch), append(b.keys, key{server: int32(i)})
					p.set(x, i*p.classes()+c, EntryState{})
					x.own[i*p.classes()+c] = EntryState{}
				}
			}
			if len(b.changes) > 0 {
				x.due = append(x.due, b)
			}
		}
	}
}

// Idle tells that nothing waits or travels.
func (p *Reconciler) Idle() bool {
	for _, x := range p.order {
		if len(x.flying) > 0 || len(x.due) > 0 || len(x.pending) > 0 {
			return false
		}
	}
	return p.head == len(p.queue)
}

// Notices gives what staff should hear of since the last call.
func (p *Reconciler) Notices() []Notice {
	a := p.alarms
	p.alarms = nil
	return a
}

// ProxyView is what operators see of a proxy.
type ProxyView struct {
	ID          fleet.ProxyID
	Zone        fleet.ZoneID
	Tables      []fleet.TableID
	Assigned    []bool
	Fresh       bool // held only standing tables when it joined
	Waiting     int  // lines that are not written yet
	InFlight    int  // messages without answers
	Written     int
	AnswerDelay fleet.Time // of the last message, from its leave to its answers
	Entries     int        // lines held with weight and in use
	Messages    uint64
}

// Proxies gives what operators see, by id.
func (p *Reconciler) Proxies() []ProxyView {
	var views []ProxyView
	for _, x := range p.order {
		v := ProxyView{ID: x.id, Zone: x.zone, Tables: slices.Clone(x.on), Assigned: slices.Clone(x.bound), Fresh: x.fresh,
			Waiting: len(x.pending), InFlight: len(x.flying), Written: x.writes, AnswerDelay: x.took}
		for _, c := range x.sent {
			if c.Present && c.Weight > 0 && c.State == StateReady {
				v.Entries++
			}
		}
		views = append(views, v)
	}
	return views
}

// TableEntry is one line of a table, as operators see it.
type TableEntry struct {
	Table     fleet.TableID
	Server    fleet.ServerID
	Weight    float64
	Published int16
	Withdrawn bool
}

// Entries gives the lines of all tables, by table and server.
func (p *Reconciler) Entries() []TableEntry {
	var lines []TableEntry
	for id, t := range p.tables {
		for i, w := range t.weights {
			if s := p.servers[i]; w > 0 || p.published(id, t, int32(i)) > 0 {
				lines = append(lines, TableEntry{id, s.id, w, p.published(id, t, int32(i)), s.withdrawn})
			}
		}
	}
	slices.SortFunc(lines, func(a, b TableEntry) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Server, b.Server))
	})
	return lines
}

// TableOf gives the table that a proxy's class goes by.
func (p *Reconciler) TableOf(id fleet.ProxyID, class fleet.ClassID) (table fleet.TableID, bound bool) {
	x := p.proxies[id]
	if x == nil || int(class) >= len(x.on) {
		return 0, false
	}
	return x.on[class], x.bound[class]
}

// Published gives the weight that proxies on a table are sent of a server.
func (p *Reconciler) Published(table fleet.TableID, id fleet.ServerID) int16 {
	t := p.tables[table]
	i, known := p.index[id]
	if t == nil || !known {
		return 0
	}
	return p.published(table, t, i)
}

// Withdrawn tells whether a server is withdrawn.
func (p *Reconciler) Withdrawn(id fleet.ServerID) bool {
	i, ok := p.index[id]
	return ok && p.servers[i].withdrawn
}

// Counters gives what left in all: lines as the module counts them, messages, changes, and lines that a newer
// one replaced while they waited.
func (p *Reconciler) Counters() (lines, messages, changes, folded uint64) {
	return p.paces.lines, p.paces.messages, p.paces.changes, p.paces.folded
}

package reconcile

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const againAfter = fleet.Second / 2 // what a judge held back is proposed again: as often as messages to all go

// refusalOf names what is refused: one for all proxies.
type refusalOf struct {
	server int32
	class  fleet.ClassID
	why    string
}

// Refusal is what a judge holds back or lowers now.
type Refusal struct {
	Server    fleet.ServerID
	Admission bool // it is a class's level, not a server's line
	Class     fleet.ClassID
	Reason    string
	Since     fleet.Time
	Proxies   int
}

// refuse notes that a judge held something back at a proxy; the first time for a server and a reason is an alarm.
func (p *Reconciler) refuse(now fleet.Time, x *proxy, q *Proposal, why string) {
	was, held := x.held[q.key]
	if held && was == why {
		return
	}
	if held {
		p.allow(x, q.key)
	}
	x.held[q.key] = why
	if x.againAt == 0 {
		x.againAt = now + againAfter
	}
	of := refusalOf{q.key.server, q.key.class, why}
	r := p.refused[of]
	if r == nil {
		r = &Refusal{Server: q.Server, Admission: q.Kind == UpdateAdmission, Class: q.Class, Reason: why, Since: now}
		p.refused[of] = r
		p.alarms = append(p.alarms, Notice{Proxy: x.id, Refused: r, Text: "an order was held back: " + why})
	}
	r.Proxies++
}

// allow notes that nothing of a line is held back any more.
func (p *Reconciler) allow(x *proxy, k key) {
	why, held := x.held[k]
	if !held {
		return
	}
	delete(x.held, k)
	of := refusalOf{k.server, k.class, why}
	if r := p.refused[of]; r != nil {
		if r.Proxies--; r.Proxies == 0 {
			delete(p.refused, of)
		}
	}
}

// again proposes what was held back once more.
func (p *Reconciler) again(now fleet.Time, x *proxy) {
	if x.againAt == 0 || now < x.againAt {
		return
	}
	if x.againAt = 0; len(x.held) == 0 {
		return
	}
	x.againAt = now + againAfter
	keys := make([]key, 0, len(x.held))
	for k := range x.held {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.class, b.class)) })
	for _, k := range keys {
		p.touch(x, k, false)
		x.allowed++
	}
}

// Refusals gives what is held back now, the oldest first.
func (p *Reconciler) Refusals() []Refusal {
	var all []Refusal
	for _, r := range p.refused {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Server, b.Server), cmp.Compare(fmt.Sprint(a.Class, a.Reason), fmt.Sprint(b.Class, b.Reason)))
	})
	return all
}

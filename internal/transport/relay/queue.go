// Package relay is the front to the users' relay, which keeps the proxies' streams: orders go to it as calls over
// HTTP, one in the air at a time, and its news of proxies comes on an event stream. It keeps order, bounds and deadlines
// and decides nothing. docs/design/node.md tells what a broken call means.
package relay

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// callMost is the relay's bound, in bytes of the orders of one call.
const callMost = 60_000

// Operation is an order with the name of the server that it is about, if any.
type Operation struct {
	Order  fleet.Order
	Server string
}

// Text prints an order as the relay reads it. Classes are named by the site.
func (o Operation) Text(classes []string) string {
	switch v := o.Order.(type) {
	case fleet.SetWeight:
		return "share," + number(v.Table) + "," + o.Server + "," + figure(v.Weight)
	case fleet.ClearTable:
		return "clear," + number(v.Table)
	case fleet.AssignTable:
		return "bind," + number(v.Proxy) + "," + number(v.Table) + "," + set(v.Classes, classes)
	case fleet.WithdrawServer:
		if v.Withdrawn {
			return "withdraw," + o.Server
		}
		return "restore," + o.Server
	case fleet.SetAdmission:
		table := "*"
		if v.Table != fleet.AllTables {
			table = number(v.Table)
		}
		return "admit," + table + "," + set(v.Classes, classes) + "," + figure(v.Limit) + "," + number(v.Retry)
	case fleet.Barrier:
		return "mark," + number(v.ID) + "," + map[bool]string{false: "0", true: "1"}[v.AllProxies]
	}
	return ""
}

func number[T ~uint8 | ~uint16 | ~uint64](v T) string { return strconv.FormatUint(uint64(v), 10) }

// figure prints a number so that it reads back as the same one, never with an exponent.
func figure(v float32) string { return strconv.FormatFloat(float64(v), 'f', -1, 32) }

func set(of fleet.ClassSet, classes []string) string {
	if of == 0 {
		return "*"
	}
	var names []string
	for i, name := range classes {
		if of&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// key tells orders that set the same thing: the later one makes the earlier one void.
type key struct {
	kind          uint8 // also the place in a folded call
	table, number uint16
	classes       fleet.ClassSet
	server        string
}

// Places in a folded call: what adds stands before what takes away, so that no table that a proxy is on is empty on the way.
const (
	placeClear = iota
	placeRestore
	placeShare
	placeLevel
	placeBind
	placeRemove
	placeWithdraw
	placeMark
)

func (o Operation) key() key {
	switch v := o.Order.(type) {
	case fleet.SetWeight:
		return key{kind: placeShare, table: uint16(v.Table), server: o.Server}
	case fleet.ClearTable:
		return key{kind: placeClear, table: uint16(v.Table)}
	case fleet.AssignTable:
		return key{kind: placeBind, number: uint16(v.Proxy), classes: v.Classes}
	case fleet.WithdrawServer:
		return key{kind: placeWithdraw, server: o.Server}
	case fleet.SetAdmission:
		return key{kind: placeLevel, table: uint16(v.Table), classes: v.Classes}
	}
	return key{kind: placeMark}
}

func (o Operation) place() uint8 {
	switch v := o.Order.(type) {
	case fleet.SetWeight:
		if v.Weight == 0 {
			return placeRemove
		}
	case fleet.WithdrawServer:
		if !v.Withdrawn {
			return placeRestore
		}
	}
	return o.key().kind
}

// fold makes one call of orders that were to be several. In the end the same holds as after all of them in turn. Of marks the first
// is kept.
func fold(ops []Operation) []Operation {
	last := make(map[key]int, len(ops))
	cleared := map[uint16]int{}
	for i, o := range ops {
		last[o.key()] = i
		if c, is := o.Order.(fleet.ClearTable); is {
			cleared[uint16(c.Table)] = i
		}
	}
	var out []Operation
	for i, o := range ops {
		k := o.key()
		at, wiped := cleared[k.table]
		if k.kind == placeMark { // an answer tells of what was put before the first of them, and of no more
			last[k] = slices.IndexFunc(ops, func(o Operation) bool { return o.key().kind == placeMark })
		}
		if last[k] == i && !(wiped && at > i && (k.kind == placeShare || k.kind == placeLevel)) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b Operation) int { return cmp.Compare(a.place(), b.place()) })
	return out
}

// CallOutcome is what became of a call.
type CallOutcome uint8

// The outcomes of a call.
const (
	CallAnswered  CallOutcome = iota // so many orders were taken
	CallUncertain                    // it was carried out as though it had been answered, or not at all
	CallRefused                      // nothing was carried out
	CallMalformed                    // nothing was carried out, nor ever will be
)

// malformedMost is how often a call that the relay can't read is sent before it is given up: once may be the wire's fault.
const malformedMost = 3

// Queue holds the orders that are not known to be carried out, in order. Its size is bounded by the things that orders set.
type Queue struct {
	Classes []string
	call    []Operation // the call in the air, or the rest of it to be sent before all else
	waiting []Operation // what comes after it
	left    map[fleet.ProxyID]bool
	struck  bool // the relay halted at the first order of the call already
	tries   int
}

// Put adds the orders of a step.
func (q *Queue) Put(ops []Operation) {
	for _, o := range ops {
		if b, is := o.Order.(fleet.AssignTable); is {
			delete(q.left, b.Proxy)
		}
	}
	if len(q.waiting) == 0 {
		q.waiting = slices.Clone(ops)
		return
	}
	q.waiting = fold(append(q.waiting, ops...))
}

// Left drops what was to bind a proxy that has gone.
func (q *Queue) Left(id fleet.ProxyID) {
	if q.left == nil {
		q.left = map[fleet.ProxyID]bool{}
	}
	if q.left[id] = true; len(q.call) == 0 {
		clear(q.left)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(o Operation) bool {
		b, is := o.Order.(fleet.AssignTable)
		return is && b.Proxy == id
	})
}

// Empty tells that nothing waits.
func (q *Queue) Empty() bool { return len(q.call) == 0 && len(q.waiting) == 0 }

// Next gives the call to send now: its orders' text and number. The same one comes again until Done has settled it.
func (q *Queue) Next() (text string, orders int) {
	if len(q.call) == 0 {
		size := 0
		for _, o := range q.waiting {
			if size += len(o.Text(q.Classes)) + 1; size > callMost {
				break
			}
			q.call = append(q.call, o)
		}
		q.waiting = q.waiting[len(q.call):]
		q.struck, q.tries = false, 0
	}
	parts := make([]string, len(q.call))
	for i, o := range q.call {
		parts[i] = o.Text(q.Classes)
	}
	return strings.Join(parts, ";"), len(q.call)
}

// Done takes in what became of the call. What is left out for good is told, and what nobody knows of, unless newer orders that wait
// set the same: it isn't sent again, as that may cost its lines in the channel once more.
func (q *Queue) Done(was CallOutcome, taken int) (out []string, unconfirmed []Operation) {
	q.tries++
	switch {
	case was == CallRefused: // newer orders may take the place of these
		q.waiting, q.call = fold(append(q.call, q.waiting...)), nil
	case was == CallUncertain, was == CallMalformed && q.tries >= malformedMost:
		newer := map[key]bool{}
		for _, o := range q.waiting {
			newer[o.key()] = true
		}
		for _, o := range q.call {
			if b, is := o.Order.(fleet.AssignTable); !newer[o.key()] && !(is && q.left[b.Proxy]) {
				unconfirmed = append(unconfirmed, o)
			}
		}
		q.call = nil
	case was == CallAnswered && taken >= len(q.call):
		q.call = nil
	case was == CallAnswered: // it halted there; a spoilt answer is told from that by asking once more
		if taken > 0 {
			q.struck = false
		}
		if q.call = q.call[taken:]; q.struck {
			out = append(out, q.call[0].Text(q.Classes))
			q.call, q.struck = q.call[1:], false
		} else {
			q.struck = true
		}
	}
	q.call = slices.DeleteFunc(q.call, func(o Operation) bool {
		b, is := o.Order.(fleet.AssignTable)
		return is && q.left[b.Proxy]
	})
	if len(q.call) == 0 {
		clear(q.left)
		q.call = nil
	}
	return out, unconfirmed
}

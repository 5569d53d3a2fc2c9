package steer

import "cressknot/fleet"

// usable tells whether a cell lets visits in.
func (c Cell) usable() bool { return c.Present && !c.Unknown && c.State == In && c.Weight > 0 }

// arrange puts a message's changes into the order in which they do least harm while the proxy reads them one by one:
// what is urgent first, then lines that warm servers gain, then other weights, then lines of cold servers, which so
// meet the others' full weights, and last what takes lines away. Where something urgent would take a class's last
// line, a line that the same message gives it goes before. Without this a class that moves from one set of servers to
// another stood bare for as long as the proxy took to read a table (50 ms and more, seen at 150 servers).
// The first so many changes are urgent; effects tells of each change whether it gives (1) or takes (-1) a line.
func (p *Plane) arrange(now fleet.Time, x *proxy, b *parcel, urgent int, effects []int8) {
	takes := false
	for _, e := range effects {
		takes = takes || e < 0
	}
	if !takes {
		return // whatever the order, no class loses its last line
	}
	left := make([]int, p.classes()) // usable lines while the message is read
	for at, cell := range x.sent {
		if cell.usable() {
			left[at%p.classes()]++
		}
	}
	for i, e := range effects {
		left[b.changes[i].Class] -= int(e)
	}
	const (
		warm = iota
		same
		cold
		taken
		ranks
	)
	var rest [ranks][]int
	for i := urgent; i < len(effects); i++ {
		rank := same
		switch {
		case effects[i] < 0:
			rank = taken
		case effects[i] > 0 && p.cold(&p.servers[b.keys[i].server], now):
			rank = cold
		case effects[i] > 0:
			rank = warm
		}
		rest[rank] = append(rest[rank], i)
	}
	done := make([]bool, len(effects))
	order := make([]int, 0, len(effects))
	emit := func(i int) {
		if !done[i] {
			done[i] = true
			order = append(order, i)
			left[b.changes[i].Class] += int(effects[i])
		}
	}
	// give finds a line that the message gives a class, the urgent ones too, and lets it go now.
	give := func(class fleet.ClassID) {
		for i := range effects[:urgent] {
			if effects[i] > 0 && !done[i] && b.changes[i].Class == class {
				emit(i)
				return
			}
		}
		for _, rank := range []int{warm, cold} {
			for _, i := range rest[rank] {
				if !done[i] && b.changes[i].Class == class {
					emit(i)
					return
				}
			}
		}
	}
	for i := range urgent {
		if class := b.changes[i].Class; effects[i] < 0 && !done[i] && left[class] == 1 {
			give(class)
		}
		emit(i)
	}
	for _, of := range rest {
		for _, i := range of {
			emit(i)
		}
	}
	changes, keys := make([]Change, len(order)), make([]key, len(order))
	for to, from := range order {
		changes[to], keys[to] = b.changes[from], b.keys[from]
	}
	b.changes, b.keys = changes, keys
}

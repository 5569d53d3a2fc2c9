package client

import (
	"math/rand/v2"
	"sync/atomic"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// Node is a server that visits may be sent to. It stays the same while its name and address do.
type Node struct {
	Name, Addr string
	inARow     atomic.Int32
	shunned    atomic.Int64 // until, in nanoseconds of the library's clock; 0: not
	counts     counts
}

// counts are what came of tries since the last batch.
type counts struct {
	tries, failed, good, goodMs atomic.Uint64
	load                        [4]atomic.Uint32
	loads                       atomic.Int32
}

// table is what visits are picked by; it never changes.
type table struct {
	classes []classTable // by position
	at      fleet.Time   // of the word by which it stands; later ones don't make a new table
}

type classTable struct {
	nodes  []*Node
	cut    []uint32 // by place: below it the place's own, else its other
	other  []int32
	amount int
	retry  fleet.RetryMode
	known  bool
}

// newClassTable lays an alias table (Vose's method): a pick costs one draw however many servers there are.
func newClassTable(lines []service.Endpoint, amount int, retry fleet.RetryMode, node func(name, addr string) *Node) classTable {
	t := classTable{amount: amount, retry: retry, known: true, cut: make([]uint32, len(lines)), other: make([]int32, len(lines))}
	sum := 0
	for _, l := range lines {
		t.nodes = append(t.nodes, node(l.Server, l.Addr))
		sum += l.Weight
	}
	n := len(lines)
	scaled := make([]float64, n)
	var small, large []int32
	for i, l := range lines {
		scaled[i] = float64(l.Weight) * float64(n) / float64(sum)
		if scaled[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		t.cut[s], t.other[s] = uint32(scaled[s]*(1<<32-1)), l
		if scaled[l] -= 1 - scaled[s]; scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		t.cut[i], t.other[i] = 1<<32-1, i
	}
	return t
}

// draw gives a server by weight.
func (t *classTable) draw() *Node {
	r := rand.Uint64()
	i := (r >> 32) * uint64(len(t.nodes)) >> 32
	if uint32(r) > t.cut[i] {
		i = uint64(t.other[i])
	}
	return t.nodes[i]
}

const drawsMost = 8 // before servers are gone through one by one: past it nearly all are avoided

// pick gives a server by weight, avoided ones and one that is not wanted only where there is no other.
func (t *classTable) pick(now func() int64, not *Node) *Node {
	n := t.draw()
	if n != not && n.shunned.Load() == 0 {
		return n
	}
	at := now()
	usable := func(n *Node) bool { return n != not && n.shunned.Load() <= at }
	for range drawsMost {
		if usable(n) {
			return n
		}
		n = t.draw()
	}
	from := rand.IntN(len(t.nodes))
	for k := range t.nodes {
		if n := t.nodes[(from+k)%len(t.nodes)]; usable(n) {
			return n
		}
	}
	for range drawsMost { // all are avoided: nobody is left without
		if n = t.draw(); n != not {
			return n
		}
	}
	return n
}

// ended keeps what came of a try for the next report, and avoids a server that fails again and again.
func (n *Node) ended(now int64, o Outcome, tookMs uint64, load []uint32) {
	n.counts.tries.Add(1)
	if o == Good {
		n.counts.good.Add(1)
		n.counts.goodMs.Add(tookMs)
		n.inARow.Store(0)
		n.shunned.Store(0)
		for i := range min(len(load), len(n.counts.load)) {
			n.counts.load[i].Store(load[i])
		}
		n.counts.loads.Store(int32(min(len(load), len(n.counts.load))))
		return
	}
	n.counts.failed.Add(1)
	if n.inARow.Add(1) >= shunAfter {
		n.inARow.Store(0)
		n.shunned.Store(now + int64(shunFor))
	}
}

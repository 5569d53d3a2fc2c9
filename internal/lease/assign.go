// Package assign decides which governor serves which proxy when several could. The proxy itself is the judge: each governor keeps an entry
// of its own in the proxy's map, with the epoch of its last takeover and a beat; the highest epoch holds. A governor takes over by writing
// its entry, then ending all other sessions at the proxy, then reading the entries again: what an earlier holder had under way ends with
// its session, and a session that came later sees the entry. So nothing that governors know of each other is needed for two of them never to
// steer one proxy. It is pure. docs/design/assign.md tells the ways weighed, and what was searched.
package lease

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/fleet"
)

const (
	leaseFor      = 5 * fleet.Second  // a holder whose beat stands still for so long is gone: five beats, as many as a governor's restart may cost
	rankGap       = 2 * fleet.Second  // more for each better ranked governor, which is to come first
	CheckInterval = fleet.Second      // between two looks at a proxy that another one holds; beats go with polls, as often
	holdLeast     = 10 * fleet.Second // before a proxy is handed on: governors that come and go move nothing back and forth
	movesPerS     = 20.0              // proxies a second that a governor hands on: a table each, so that no channel is flooded
	movesBurst    = 20.0

	fullBy      = 1.1   // of an even part: a tenth over costs less than the proxies that a smaller bound moves
	leastVisits = 0.001 // a second, of a proxy of which none are known
)

// Entry is what a governor has written at a proxy.
type Entry struct {
	Controller string
	Epoch      uint64 // of its takeover; 0: it holds nothing
	Beat       uint64
	Want       uint64 // its beat of asking for the proxy; 0: it doesn't
	Retired    bool   // it holds the proxy only as nobody else took it
	Hand       bool   // staff gave it the proxy: nobody asks for it back
	WantHand   bool   // staff want it to have the proxy
}

// Rank orders governors for a proxy, the one that should serve it first: by the highest of hashes of both names, so that a governor that
// comes or goes moves its own proxies only.
func Rank(proxy string, governors []string) []string {
	score := func(g string) uint64 { return xxhash.Sum64String(g + "\x00" + proxy) }
	ranked := slices.Clone(governors)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), strings.Compare(a, b)) })
	return ranked
}

// ProxyLoad is a proxy, with the visits a second that it usually gets.
type ProxyLoad struct {
	Proxy       string
	RequestRate float64
}

// Plan orders governors for each proxy, the one that should serve it first, so that each serves about as many visits: by hashes, but past
// fullBy of an even part a governor comes after those that have room. All that know the same names plan the same.
func Plan(shares []ProxyLoad, governors []string) map[string][]string {
	total, largest := 0.0, 0.0
	for _, s := range shares {
		total, largest = total+max(leastVisits, s.RequestRate), max(largest, s.RequestRate)
	}
	even := total / float64(max(1, len(governors)))
	most := max(fullBy*even, even+largest/2)
	order := slices.Clone(shares)
	slices.SortFunc(order, func(a, b ProxyLoad) int { // the same for all, and whatever comes or goes the same for the rest
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Proxy), xxhash.Sum64String(b.Proxy)), strings.Compare(a.Proxy, b.Proxy))
	})
	load, plan := map[string]float64{}, make(map[string][]string, len(shares))
	for _, s := range order {
		rank, visits := Rank(s.Proxy, governors), max(leastVisits, s.RequestRate)
		first := slices.IndexFunc(rank, func(g string) bool { return load[g]+visits <= most })
		if first < 0 { // none has room for all of it
			first = slices.Index(rank, slices.MinFunc(rank, func(a, b string) int { return cmp.Compare(load[a], load[b]) }))
		}
		g := rank[first]
		load[g] += visits
		plan[s.Proxy] = slices.Insert(slices.Delete(rank, first, first+1), 0, g)
	}
	return plan
}

// Holder gives the entry that holds, with Epoch 0 for none.
func Holder(entries []Entry) (h Entry) {
	for _, e := range entries {
		if e.Epoch > h.Epoch {
			h = e
		}
	}
	return h
}

// NextEpoch gives an epoch after all that are written, the wall clock if it is.
func NextEpoch(now fleet.Time, entries []Entry) uint64 {
	return max(uint64(max(1, now)), Holder(entries).Epoch+1)
}

// Wins tells, of the entries read after all other sessions were ended, whether a takeover holds.
func Wins(me string, epoch uint64, entries []Entry) bool {
	h := Holder(entries)
	return h.Controller == me && h.Epoch == epoch
}

// Act is what is to be done about a proxy.
type Act uint8

// The acts.
const (
	Stand   Act = iota // another one holds it: look again
	Want               // the same, and ask for it
	Claim              // take it over
	Keep               // hold it on
	Release            // hand it on: end what is under way, take the entry away
	Lost               // another one holds it: send nothing more
)

type seen struct {
	beat uint64
	at   fleet.Time // when it was seen first, on this governor's clock
}

// Lease is one governor's part of the protocol at one proxy.
type Lease struct {
	me      string
	rank    []string        // those that may serve it, the first one first
	free    fleet.Time      // since when nobody is seen to hold it, 0: somebody is
	holder  map[uint64]seen // by epoch: the beat seen last
	wanting map[string]uint64
	epoch   uint64 // of the takeover that is made or stands
	since   fleet.Time
	beat    uint64
	want    uint64
	retired bool
	asked   bool       // for the proxy, since it was held last
	hand    bool       // staff want it to have the proxy
	handing bool       // what is held is handed on, whether anybody asks or not
	last    Entry      // that held when entries were read last
	lastAt  fleet.Time // when its beat was seen to move
}

// NewLease makes a governor's part at a proxy; rank are all that may serve it, the one that should first.
func NewLease(me string, rank []string) *Lease {
	return &Lease{me: me, rank: rank, holder: map[uint64]seen{}, wanting: map[string]uint64{}}
}

// Retire lets a governor hand on all that it holds and take nothing that another one would, or ends that. What nobody else takes it
// takes still, and holds until somebody asks.
func (l *Lease) Retire(on bool) { l.retired, l.handing = on, on && l.since > 0 }

// Take lets a governor have the proxy, whoever ranks better, or ends that: staff want it so.
func (l *Lease) Take(on bool) { l.hand = on }

// Seen tells who held the proxy when its entries were read last, and when that one's beat was seen to move.
func (l *Lease) Seen() (holder Entry, moved fleet.Time) { return l.last, l.lastAt }

func (l *Lease) see(now fleet.Time, entries []Entry) {
	if h := Holder(entries); h != l.last {
		l.last, l.lastAt = h, now
	}
}

func (l *Lease) place(governor string) int {
	if l.retired && governor == l.me {
		return len(l.rank)
	}
	if at := slices.Index(l.rank, governor); at >= 0 {
		return at
	}
	return len(l.rank)
}

// Look decides, of the entries that were read, what to do about a proxy that is not held, and when to look again.
func (l *Lease) Look(now fleet.Time, entries []Entry) (act Act, again fleet.Time) {
	l.see(now, entries)
	h, mine := Holder(entries), l.place(l.me)
	if h.Epoch == 0 || h.Controller == l.me { // nobody's, or what an earlier life of ours held
		l.free = cmp.Or(l.free, now)
		wait := rankGap * fleet.Time(l.before(entries)) // better ranked ones come first, who may look a while later
		if l.hand {
			wait = 0
		} else if slices.ContainsFunc(entries, func(e Entry) bool { return e.WantHand && e.Controller != l.me }) {
			wait += rankGap // it is handed on to that one
		}
		if h.Controller == l.me && !l.retired || now >= l.free+wait {
			return Claim, now
		}
		return Stand, min(now+CheckInterval, l.free+wait)
	}
	l.free = 0
	s, known := l.holder[h.Epoch]
	if !known || s.beat != h.Beat {
		clear(l.holder)
		s = seen{h.Beat, now}
		l.holder[h.Epoch] = s
	}
	before := mine // better ranked ones, but for the holder, which is gone if this is ever over
	if l.place(h.Controller) < mine {
		before--
	}
	if wait := leaseFor + rankGap*fleet.Time(before); now >= s.at+wait {
		return Claim, now
	}
	if l.hand || !h.Hand && (mine < l.place(h.Controller) || h.Retired && !l.retired) {
		return Want, now + CheckInterval
	}
	return Stand, now + CheckInterval
}

// before counts the governors that may take a free proxy before this one: better ranked ones that have not said that they leave. None, where
// this one has asked for the proxy and no better ranked one does.
func (l *Lease) before(entries []Entry) (n int) {
	mine, asks := l.place(l.me), false
	left := map[string]bool{}
	for _, e := range entries {
		left[e.Controller] = e.Retired && e.Epoch == 0
		asks = asks || e.Want > 0 && l.place(e.Controller) < mine
	}
	if l.asked && !asks {
		return 0
	}
	for i, g := range l.rank {
		if i < mine && g != l.me && !left[g] {
			n++
		}
	}
	return n
}

// Leave gives the entry that a governor leaves behind as it hands a proxy on: one that retires or stops says so, so that nobody waits for it.
func (l *Lease) Leave(stops bool) Entry {
	return Entry{Controller: l.me, Retired: l.retired || stops}
}

// Begin begins a takeover and gives the entry to write.
func (l *Lease) Begin(now fleet.Time, entries []Entry) Entry {
	l.epoch, l.beat = NextEpoch(now, entries), 1
	return l.entry()
}

func (l *Lease) entry() Entry {
	return Entry{Controller: l.me, Epoch: l.epoch, Beat: l.beat, Retired: l.retired, Hand: l.hand}
}

// Ask gives the value of the entry that asks for the proxy.
func (l *Lease) Ask() string {
	l.want++
	l.asked = true
	text := strconv.FormatUint(l.want, 10)
	if l.hand {
		text += handMark
	}
	return text
}

// ParseWant reads the value of an entry that asks for a proxy. What makes no sense asks for nothing.
func ParseWant(value string) (beat uint64, hand bool) {
	value, hand = strings.CutSuffix(value, handMark)
	beat, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, false
	}
	return beat, hand
}

// Took tells, of the entries read after all other sessions were ended, whether the proxy is held from now on.
func (l *Lease) Took(now fleet.Time, entries []Entry) bool {
	if !Wins(l.me, l.epoch, entries) {
		l.Drop()
		return false
	}
	l.since, l.asked = now, false
	clear(l.wanting)
	return true
}

// Next gives the entry of the next beat.
func (l *Lease) Next() Entry {
	l.beat++
	return l.entry()
}

// Holding decides, of the entries read with a beat, whether a proxy that is held stays so. Moves is asked before it is handed on.
func (l *Lease) Holding(now fleet.Time, entries []Entry, moves *Moves) Act {
	l.see(now, entries)
	if !Wins(l.me, l.epoch, entries) {
		return Lost
	}
	if l.handing && moves.Take(now) {
		return Release
	}
	for _, e := range entries {
		if e.Want == 0 || !e.WantHand && (l.hand || l.place(e.Controller) >= l.place(l.me)) {
			continue
		}
		last, known := l.wanting[e.Controller]
		l.wanting[e.Controller] = e.Want
		if !known || last == e.Want {
			continue // a word that does not move is none: it may be left from long ago
		}
		if (e.WantHand || now >= l.since+holdLeast) && moves.Take(now) {
			return Release
		}
	}
	return Keep
}

// Drop forgets a takeover that is over, or a session that was lost. What was seen of a holder's beat stands: a holder that is gone must
// not win time by sessions that break.
func (l *Lease) Drop() {
	l.epoch, l.since, l.free, l.handing = 0, 0, 0, false
}

// Epoch tells the epoch of the takeover that is made or stands, 0 for none.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Moves bounds how many proxies a governor hands on.
type Moves struct {
	tokens float64
	at     fleet.Time
	Made   uint64
}

// Take takes what a move costs, if it is there.
func (m *Moves) Take(now fleet.Time) bool {
	if m.at == 0 {
		m.tokens = movesBurst
	}
	m.tokens, m.at = min(movesBurst, m.tokens+(now-m.at).Seconds()*movesPerS), now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	m.Made++
	return true
}

const (
	retiredMark = ".retired"
	handMark    = ".hand"
)

// String prints an entry's value as it stands at proxies: EPOCH.BEAT, the epoch in base 36, and whether its governor is retired or was
// given the proxy by hand.
func (e Entry) String() string {
	text := strconv.FormatUint(e.Epoch, 36) + "." + strconv.FormatUint(e.Beat, 10)
	if e.Retired {
		text += retiredMark
	}
	if e.Hand {
		text += handMark
	}
	return text
}

// ParseEntry reads the value of a governor's entry. What makes no sense holds nothing, whoever wrote it.
func ParseEntry(governor, value string) Entry {
	value, hand := strings.CutSuffix(value, handMark)
	value, retired := strings.CutSuffix(value, retiredMark)
	epoch, beat, ok := strings.Cut(value, ".")
	e, err := strconv.ParseUint(epoch, 36, 64)
	b, err2 := strconv.ParseUint(beat, 10, 64)
	if !ok || err != nil || err2 != nil {
		return Entry{Controller: governor}
	}
	return Entry{Controller: governor, Epoch: e, Beat: b, Retired: retired, Hand: hand}
}

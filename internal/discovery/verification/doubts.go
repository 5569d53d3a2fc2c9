package verification

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	patience     = 500 * fleet.Millisecond // for the list's source, before servers are asked themselves: a restart hears from it within that
	askAgain     = 500 * fleet.Millisecond // after a server that did not answer: a process that restarts is back by then or seconds later
	refuseAfter  = 2                       // asks in a row without an answer that shut a server out: one is chance
	returnFirst  = 2 * fleet.Second        // wait before a server that was shut out is asked again
	returnLast   = 30 * fleet.Second       // the same at most, by doubling: what a waking server may lose
	asksAtOnce   = 128                     // asks under way: dead machines hold one each until its time is over
	fewGood      = 3                       // good visits that prove a server: fewer may be another's answers
	enoughFailed = 8                       // visits without a good one that speak against it: as many fail by chance 1 in 3000
	hopeless     = 10 * fleet.Second       // without any good visit, while some fail, after which nothing that was shut out stays out
	reachedTrust = 0.5                     // of a server that takes connections: it may be another at its address
	shareMost    = 0.25                    // of all visits that servers without any proof may have
	crowdMost    = 2                       // times its even share that a proven server may get for want of others
	rampEvery    = fleet.Second            // between two steps up of a server's part
	rampBy       = 2                       // times, at each step: no shove
	leastMove    = 0.1                     // change of a part worth sending to all proxies
)

// Evidence is what came of asking a server itself.
type Evidence uint8

// The proofs.
const (
	Nobody  Evidence = iota // no connection, or no answer
	Someone                 // somebody answers at its address
	Itself                  // it answers with its own name
	Another                 // another server answers there
)

// Sight is what is known of a server of a list that is not live.
type Sight uint8

// The sights.
const (
	Untried Sight = iota
	Reached       // somebody answers at its address
	Proven        // it has handled visits, or answered with its name
	Refuted       // it is out
	Told          // the list's source is back and names it
)

func (s Sight) String() string {
	return [...]string{"untried", "reached", "proven", "refuted", "told"}[s]
}

// NamedEndpoint is one server of a list that is not live.
type NamedEndpoint struct {
	Endpoint   fleet.Endpoint
	Addr       string
	Unverified bool // of a list older than the one that it stands in
}

type doubt struct {
	NamedEndpoint
	sight  Sight
	trust  float64
	asking bool
	askAt  fleet.Time // 0: not
	fails  int        // asks in a row without an answer
	wait   fleet.Time
	good   float64 // visits since its sight changed
	failed float64
	why    string
	given  float64    // part of its weight that was given out last
	raised fleet.Time // when that rose last
	out    bool       // as given out
	spared bool       // refuted, yet the last of those that some class could use
	said   bool       // that it is out
	twin   *doubt     // at the same address; nil: none
}

// Verifier decides which servers of a kept list are used before the list's source is heard, and how much: old names are tried
// with care, those that answer count, those that don't are out, and nobody is left without. It asks through Next and hears by
// Asked, Met and Live.
type Verifier struct {
	site     fleet.Site
	byServer map[fleet.ServerID]*doubt
	order    []*doubt // by id
	began    fleet.Time
	asking   int
	seen     bool // somebody was reached, so that silence tells of servers and not of us
	lastGood fleet.Time
	failed   float64 // visits since lastGood
	answers  bool    // servers aren't asked: only visits tell
	restored []Part  // of names that are doubted no more
	says     []Notice
	summed   bool
	dirty    bool       // something was heard since the last plan
	next     fleet.Time // when that one wanted to be looked at again, 0: not
}

// Notice is something for staff.
type Notice struct {
	Server   fleet.ServerID
	OfServer bool
	Text     string
}

// NewVerifier makes doubts without any names. Without asks, only what proxies meet tells of servers.
func NewVerifier(site fleet.Site, asks bool) *Verifier {
	return &Verifier{site: site, byServer: map[fleet.ServerID]*doubt{}, answers: !asks}
}

// Begin takes up the names of a list of an age. Of two at one address the one that started later has it; where that is not known
// both are that one server, and share its weight.
func (d *Verifier) Begin(now, age fleet.Time, names []NamedEndpoint) {
	d.began, d.lastGood, d.dirty = now, now, true
	holder := map[string]*doubt{}
	for _, n := range names {
		if n.Endpoint.State != fleet.ServerReady {
			continue // one that drains is out in any case
		}
		one := &doubt{NamedEndpoint: n, trust: Trust(age), askAt: now + patience, wait: returnFirst, given: 1}
		if n.Unverified {
			one.trust = leastTrust
		}
		d.byServer[n.Endpoint.Server] = one
		if other := holder[n.Addr]; n.Addr != "" && other != nil {
			if one.Endpoint.Started == other.Endpoint.Started {
				one.twin, other.twin = other, one
				continue
			}
			older := other
			if one.Endpoint.Started < other.Endpoint.Started {
				older = one
			} else {
				holder[n.Addr] = one
			}
			d.refute(now, older, "its address is another server's by the same list")
			older.askAt = 0
		} else {
			holder[n.Addr] = one
		}
	}
	for _, one := range d.byServer {
		d.order = append(d.order, one)
	}
	slices.SortFunc(d.order, func(a, b *doubt) int { return cmp.Compare(a.Endpoint.Server, b.Endpoint.Server) })
}

// Active tells whether anything is doubted still.
func (d *Verifier) Active() bool { return len(d.order) > 0 }

// Refuted counts those that are out.
func (d *Verifier) Refuted() (n int) {
	for _, one := range d.order {
		if one.out {
			n++
		}
	}
	return n
}

func (d *Verifier) refute(now fleet.Time, one *doubt, why string) {
	one.sight, one.why, one.good, one.failed = Refuted, why, 0, 0
	if one.askAt = now + one.wait; d.answers {
		one.askAt += hopeless
	}
	one.wait = min(returnLast, 2*one.wait)
}

func (d *Verifier) raise(one *doubt, to Sight) {
	if to != one.sight {
		one.sight, one.good, one.failed, one.fails, one.why = to, 0, 0, 0, ""
	}
	if one.wait = returnFirst; to >= Reached {
		one.askAt = 0
	}
}

// Asked hears what came of an ask.
func (d *Verifier) Asked(now fleet.Time, server fleet.ServerID, p Evidence) {
	one := d.byServer[server]
	if one == nil || !one.asking {
		return
	}
	one.asking, d.dirty = false, true
	d.asking--
	if one.sight == Told {
		return
	}
	switch p {
	case Itself, Someone:
		d.seen, one.fails = true, 0
		switch {
		case p == Itself:
			d.raise(one, Proven)
		case one.sight == Proven: // it is there: what it fails is for the module to judge
			one.failed = 0
		case one.failed < enoughFailed:
			d.raise(one, Reached)
		default:
			d.refute(now, one, "answers at its address, but handles no visit")
		}
	case Another:
		d.seen = true
		d.refute(now, one, "another server answers at its address")
	case Nobody:
		if one.sight == Proven && one.failed < enoughFailed { // proxies reach it: we don't
			break
		}
		one.fails++
		one.askAt = now + askAgain
		if one.fails >= refuseAfter && d.seen {
			d.refute(now, one, "nobody answers at its address")
		}
	}
}

// Met hears what visits to a server came to.
func (d *Verifier) Met(now fleet.Time, server fleet.ServerID, good, failed float64) {
	if good > 0 {
		d.lastGood, d.failed = now, 0
	} else {
		d.failed += failed
	}
	one := d.byServer[server]
	if one == nil || one.sight == Told {
		return
	}
	d.dirty = true
	one.good += good
	if good > 0 {
		one.failed = 0
	} else {
		one.failed += failed
	}
	switch {
	case one.good >= fewGood && one.sight != Proven:
		d.seen = true
		d.raise(one, Proven)
	case one.failed < enoughFailed || one.sight == Refuted || one.asking:
	case d.answers:
		d.refute(now, one, "handles no visit")
	case one.askAt == 0: // may be gone: it is asked before it is judged
		one.askAt = now
	}
}

// Live hears a list of the source itself. Whom a whole list names stands; whom it doesn't name is no longer doubted but gone.
func (d *Verifier) Live(now fleet.Time, l fleet.EndpointList) {
	named := map[fleet.ServerID]fleet.ServerState{}
	for _, e := range l.Endpoints {
		named[e.Server] = e.State
	}
	d.dirty = true
	drop := func(one *doubt) {
		if one.asking {
			d.asking--
		}
		if one.given != 1 {
			d.restored = append(d.restored, Part{one.Endpoint.Server, 1})
		}
		delete(d.byServer, one.Endpoint.Server)
	}
	had := len(d.order)
	confirmed, back := 0, 0
	d.order = slices.DeleteFunc(d.order, func(one *doubt) bool {
		state, is := named[one.Endpoint.Server]
		switch {
		case !is && l.Scope == fleet.ListDelta:
			return false
		case !is || state != fleet.ServerReady:
			drop(one)
			return true
		}
		if confirmed++; one.out {
			back++
		}
		one.sight, one.out, one.spared, one.askAt = Told, false, false, 0
		return false
	})
	if l.Scope != fleet.ListDelta && had > 0 {
		d.says = append(d.says, Notice{Text: fmt.Sprintf("the list's source is back: it names %d of the %d servers that were doubted; %d of these had been shut out", confirmed, had, back)})
	}
}

// Plan is what is to be done now.
type Plan struct {
	Ask     []fleet.ServerID
	Out     []fleet.Endpoint // told to be gone
	In      []fleet.Endpoint // told to be back
	Parts   []Part           // changed ones
	Notices []Notice
	Wake    fleet.Time // 0: nothing to wait for
}

// Part is what a server gets of its weight.
type Part struct {
	Server fleet.ServerID
	Of     float64
}

// Next works out what is wanted and gives the difference to what was given out.
func (d *Verifier) Next(now fleet.Time) (p Plan) {
	if !d.dirty && (d.next == 0 || now < d.next) {
		return Plan{Wake: d.next}
	}
	d.dirty = false
	p.Parts, d.restored = d.restored, nil
	if d.failed >= enoughFailed && now >= d.lastGood+hopeless { // what is in handles nothing: so what is out can't be judged either
		for _, one := range d.order {
			if one.sight == Refuted {
				one.sight, one.askAt, one.why, one.fails = Untried, now, "", 0
			}
		}
		d.lastGood, d.failed, d.seen = now, 0, false
	}
	d.spare()
	d.ask(now, &p)
	untried, most := d.untried(), 0.0
	for _, one := range d.order {
		if one.sight != Refuted || one.spared {
			most = max(most, d.part(one, untried))
		}
	}
	still := d.order[:0]
	for _, one := range d.order {
		if out := one.sight == Refuted && !one.spared; out != one.out {
			if one.out = out; out {
				gone := one.Endpoint
				gone.State = fleet.ServerGone
				p.Out = append(p.Out, gone)
				if !one.said { // once: it may go on like that for hours
					d.says = append(d.says, Notice{one.Endpoint.Server, true, "shut out: " + one.why})
				}
				one.said = true
			} else {
				p.In = append(p.In, one.Endpoint)
			}
		}
		want := d.part(one, untried) / max(most, leastTrust)
		switch {
		case one.out:
		case want > one.given:
			if now < one.raised+rampEvery {
				p.wake(one.raised + rampEvery)
				break
			}
			next := min(want, rampBy*one.given)
			if next < want {
				p.wake(now + rampEvery)
			}
			if next-one.given > leastMove*one.given || next == 1 {
				one.given, one.raised = next, now
				p.Parts = append(p.Parts, Part{one.Endpoint.Server, next})
			}
		case want < one.given*(1-leastMove):
			one.given, one.raised = want, now
			p.Parts = append(p.Parts, Part{one.Endpoint.Server, want})
		}
		if one.sight == Told && one.given == 1 {
			delete(d.byServer, one.Endpoint.Server)
			continue
		}
		still = append(still, one)
	}
	clear(d.order[len(still):])
	d.order = still
	d.summarise()
	p.Notices, d.says = d.says, nil
	d.next = p.Wake
	return p
}

func (p *Plan) wake(at fleet.Time) {
	if p.Wake == 0 || at < p.Wake {
		p.Wake = at
	}
}

// part gives what a server is worth by what is known of it; untried is the most that one of which nothing is known may be.
func (d *Verifier) part(one *doubt, untried func(trust float64) float64) float64 {
	if t := one.twin; t != nil && d.byServer[t.Endpoint.Server] == t && t.sight != Refuted && one.sight != Told {
		return d.alone(one, untried) / 2
	}
	return d.alone(one, untried)
}

func (d *Verifier) alone(one *doubt, untried func(trust float64) float64) float64 {
	switch one.sight {
	case Refuted:
		return leastTrust
	case Untried:
		return untried(one.trust)
	case Reached:
		return max(reachedTrust, one.trust)
	}
	return 1
}

// untried gives the rule for servers of which nothing is known: their trust, with all of them together bounded where others are
// known, but so much at least that those few aren't crowded.
func (d *Verifier) untried() func(trust float64) float64 {
	known, unknown := 0.0, 0.0
	for _, one := range d.order {
		switch one.sight {
		case Refuted:
		case Untried:
			unknown++
		default:
			known++
		}
	}
	if known == 0 || unknown == 0 {
		return func(trust float64) float64 { return trust }
	}
	most := shareMost / (1 - shareMost) * known / unknown
	least := ((known+unknown)/crowdMost - known) / unknown
	return func(trust float64) float64 { return min(1, max(leastTrust, least, min(trust, most))) }
}

// spare keeps some of those that are refuted where nobody else is left: of all, and of each zone if a class stays in its own. The
// one that answered last in vain is as good as any.
func (d *Verifier) spare() {
	local := slices.ContainsFunc(d.site.Classes, func(c fleet.RequestClass) bool { return c.ZoneLocal })
	zone := func(one *doubt) int {
		if local {
			return int(one.Endpoint.Zone)
		}
		return 0
	}
	in, last := map[int]bool{}, map[int]*doubt{}
	for _, one := range d.order {
		one.spared = false
		if one.sight != Refuted {
			in[zone(one)] = true
		} else if at := last[zone(one)]; at == nil || one.fails < at.fails {
			last[zone(one)] = one
		}
	}
	for z, one := range last {
		one.spared = !in[z]
	}
}

// ask gives those that are due, least recently proven wrong first, as many as may be under way.
func (d *Verifier) ask(now fleet.Time, p *Plan) {
	if d.answers {
		for _, one := range d.order {
			if one.sight == Refuted && one.askAt > 0 && now >= one.askAt {
				d.raise(one, Untried)
				one.askAt = 0
			}
		}
		return
	}
	for _, one := range d.order {
		switch {
		case one.askAt == 0 || one.asking:
		case now < one.askAt:
			p.wake(one.askAt)
		case d.asking < asksAtOnce:
			one.asking, one.askAt = true, 0
			d.asking++
			p.Ask = append(p.Ask, one.Endpoint.Server)
		}
	}
}

// summarise says once how it stands, when nothing is untried any more.
func (d *Verifier) summarise() {
	var of [Told + 1]int
	for _, one := range d.order {
		of[one.sight]++
	}
	if d.summed || of[Untried] > 0 || of[Proven]+of[Reached] == 0 {
		return
	}
	d.summed = true
	d.says = append(d.says, Notice{Text: fmt.Sprintf("of the servers kept, %d handle visits or say their name, %d answer, %d are shut out", of[Proven], of[Reached], of[Refuted])})
}

// View is what staff see of a server in doubt.
type View struct {
	Server fleet.ServerID
	Sight  Sight
	Part   float64
	Out    bool
	Why    string
}

// Views gives all that is doubted, by server.
func (d *Verifier) Views() []View {
	var all []View
	for _, one := range d.order {
		all = append(all, View{one.Endpoint.Server, one.sight, one.given, one.out, one.why})
	}
	return all
}

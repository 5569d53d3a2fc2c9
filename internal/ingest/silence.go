package ingest

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	lookEvery   = fleet.Second / 2
	looksKept   = 6                // looks whose meetings a standing goes by: 3 s
	looksAlike  = 2                // looks in a row that must agree: one late report is no silence
	silentLeast = 3 * fleet.Second // without a report this is silence: with the looks, noticed within 4 s
	silentGaps  = 3                // the same for those that report less often: so many of their gaps
	pollLate    = 3 * fleet.Second // a proxy that has not answered a poll for so long has stopped to
	blindLeast  = 3                // sources that fall silent together before our own side is suspected
	fewTries    = 3                // of which all failed before that says something
)

// HealthVerdict is what is made of a server's silence, or of what others see of it. docs/design/intake.md has the table.
type HealthVerdict uint8

// The sights of a server.
const (
	Well      HealthVerdict = iota
	Mute                    // its reports stopped, proxies get good answers: its reporter is broken
	Dead                    // its reports stopped and no proxy gets an answer
	Lost                    // its reports stopped and nobody asks it: nothing can be told yet
	Cut                     // it reports, and no proxy gets an answer: cut off from them
	OneSided                // some proxies get only failures, others answers
	Unwatched               // it reports growing sums, but no proxy that is polled sends there
)

// Sights are the words of sights, in their order.
var Sights = [...]string{"well", "mute", "dead", "lost", "cut", "one-sided", "unwatched"}

func (s HealthVerdict) String() string { return Sights[s] }

// standing is what is known of a server as a source, and of what proxies meet there.
type standing struct {
	listed, gone bool
	last         Record
	pushed       fleet.Time // arrival of the newest report, 0: never
	every        fleet.Time // mean gap between reports
	served       uint64     // by its own count, since the governor began
	erred        uint64

	skew                fleet.Time // what its clock is behind ours, the shortest way in it
	skewKnown, skewTold bool
	slow, back, far     int
	rebase              bool
	strikes             int
	struck              fleet.Time
	doubled             fleet.Time
	distrust            fleet.Time // until then

	met     [looksKept]meets
	grew    [looksKept]uint64 // served, at the looks before
	sight   HealthVerdict
	maybe   HealthVerdict
	alike   int
	since   fleet.Time // of the sight
	told    bool       // staff heard of it
	goodAt  fleet.Time
	metTime fleet.Time
}

// meets is what polls told of a server between two looks.
type meets struct {
	good, bad     uint32 // polls that met good answers; polls that met failures only
	tries, failed uint64
	goodZones     uint64 // by bits
	badZones      uint64
}

func (k *Pipeline) standing(id fleet.ServerID) *standing {
	for int(id) >= len(k.servers) {
		k.servers = append(k.servers, make([]standing, max(16, int(id)+1-len(k.servers)))...)
	}
	return &k.servers[id]
}

// Listed tells of a server that the list names; gone ones are heard of no more.
func (k *Pipeline) Listed(id fleet.ServerID, gone bool) {
	s := k.standing(id)
	s.listed, s.gone = !gone, gone
}

// seen takes what a poll met at a server.
func (k *Pipeline) seen(d *CounterDelta) {
	s := k.standing(d.Server)
	m := &s.met[0]
	m.tries, m.failed = m.tries+d.Attempts, m.failed+d.Failures
	s.metTime = d.At
	switch bit := uint64(1) << (d.Zone & 63); {
	case d.Failures < d.Attempts:
		m.good++
		m.goodZones |= bit
		s.goodAt = d.At
	case d.Attempts >= fewTries:
		m.bad++
		m.badZones |= bit
	}
}

// Notice is something that staff should hear of, once for each change.
type Notice struct {
	Server   fleet.ServerID
	Proxy    fleet.ProxyID
	OfProxy  bool
	OfAll    bool
	OfSource bool // about what it reports, not about a sight of it
	Verdict  HealthVerdict
	Good     bool // it is over
	Text     string
}

// Look works out, twice a second, what is to be made of silences, and what of it is news.
func (k *Pipeline) Look(now fleet.Time) []Notice {
	k.at = max(k.at, now)
	if now < k.looked+lookEvery {
		return k.taken()
	}
	k.looked = now
	silent, sources := 0, 0
	for i := range k.servers {
		s := &k.servers[i]
		if s.listed && s.pushed > 0 {
			if sources++; k.silent(s, now) && !s.all().failing() {
				silent++
			}
		}
	}
	// Many reporters that fall silent while their servers answer are not broken: we hear nothing.
	if blind := silent >= blindLeast && 2*silent > sources; blind != k.blind {
		text := fmt.Sprintf("no reports come from %d of %d servers that answer: the way to this governor is cut, their standing stays", silent, sources)
		if !blind {
			text = "reports come again"
		}
		k.blind = blind
		k.notices = append(k.notices, Notice{OfAll: true, Good: !blind, Text: text})
	}
	for i := range k.servers {
		s := &k.servers[i]
		if !s.listed {
			s.sight, s.maybe, s.alike, s.told = Well, Well, 0, false
		} else if sight := k.judge(s, now); sight != s.maybe {
			s.maybe, s.alike = sight, 1
		} else if s.alike++; s.alike >= looksAlike && sight != s.sight {
			s.sight, s.since = sight, now
			was := s.told
			if s.told = sight != Well && !(k.blind && (sight == Mute || sight == Lost)); s.told || was {
				k.notices = append(k.notices, Notice{Server: fleet.ServerID(i), Verdict: sight, Good: sight == Well, Text: s.say(sight, now)})
			}
		}
		copy(s.met[1:], s.met[:])
		copy(s.grew[1:], s.grew[:])
		s.met[0], s.grew[0] = meets{}, s.served
	}
	k.proxiesLate(now)
	k.strikes(now)
	k.trust.toldAt = now
	return k.taken()
}

// strikes tells of sources that make no sense: of each that is listed the first time and when it is no longer believed, and
// only so many in a while, as a crowd that lies must not drown the log.
func (k *Pipeline) strikes(now fleet.Time) {
	t := &k.trust
	if now >= t.toldFrom+strikeFor {
		if t.untold > 0 {
			k.notices = append(k.notices, Notice{OfAll: true, Text: fmt.Sprintf("%d more oddities of sources were not told one by one", t.untold)})
		}
		t.toldFrom, t.toldNow, t.untold = now, 0, 0
	}
	for _, one := range t.strikes {
		if one.At <= t.toldAt || one.Until == 0 && !t.first(one) {
			continue
		}
		if !k.standing(one.Server).listed || t.toldNow >= strikesTold {
			t.untold++
			continue
		}
		t.toldNow++
		text := one.Text
		if one.Until > 0 {
			text += fmt.Sprintf("; its reports are not believed for %.0f s", (one.Until - one.At).Seconds())
		}
		k.notices = append(k.notices, Notice{Server: one.Server, OfSource: true, Text: text})
	}
}

func (k *Pipeline) taken() []Notice {
	n := k.notices
	k.notices = nil
	return append(n, k.pace.notices()...)
}

// first tells whether a strike is the first of its source that is kept: those after say the same.
func (t *Trust) first(s Violation) bool {
	at := slices.IndexFunc(t.strikes, func(o Violation) bool { return o.Server == s.Server })
	return at >= 0 && t.strikes[at] == s
}

func (s *standing) all() (m meets) {
	for _, one := range s.met {
		m.good, m.bad, m.tries, m.failed = m.good+one.good, m.bad+one.bad, m.tries+one.tries, m.failed+one.failed
		m.goodZones, m.badZones = m.goodZones|one.goodZones, m.badZones|one.badZones
	}
	return m
}

func (m meets) failing() bool { return m.good == 0 && m.bad > 0 }

func (k *Pipeline) silent(s *standing, now fleet.Time) bool {
	return s.pushed > 0 && now-s.pushed >= max(silentLeast, silentGaps*s.every)
}

// judge tells one sight from another by what still comes: reports of the server, what polls of proxies meet there, and
// what the server counts itself.
func (k *Pipeline) judge(s *standing, now fleet.Time) HealthVerdict {
	m := s.all()
	quiet, asked := k.silent(s, now), m.good > 0 || m.bad > 0
	switch {
	case m.good > 0 && m.bad > 0 && m.badZones&^m.goodZones != 0: // a zone in which nobody gets an answer
		return OneSided
	case quiet && m.good > 0:
		return Mute
	case quiet && m.bad > 0:
		return Dead
	case quiet:
		return Lost
	case s.pushed > 0 && m.failing():
		return Cut
	case s.pushed > 0 && !asked && k.site.Controllers < 2 && s.served > s.grew[looksKept-1]+fewTries && s.grew[looksKept-1] > 0:
		return Unwatched
	}
	return Well
}

func (s *standing) say(sight HealthVerdict, now fleet.Time) string {
	m, age, span := s.all(), (now - s.pushed).Seconds(), (looksKept * lookEvery).Seconds()
	switch sight {
	case Mute:
		return fmt.Sprintf("no report for %.1f s, but it serves: %d of %d tries good in %.0f s; weighed by what proxies meet", age, m.tries-m.failed, m.tries, span)
	case Dead:
		return fmt.Sprintf("no report for %.1f s, and %d of %d tries failed in %.0f s: it is down", age, m.failed, m.tries, span)
	case Lost:
		return fmt.Sprintf("no report for %.1f s, and no proxy asked it: nothing can be told of it", age)
	case Cut:
		return fmt.Sprintf("it reports, but all %d tries failed in %.0f s: cut off from the proxies", m.tries, span)
	case OneSided:
		return fmt.Sprintf("proxies of some zones get no answer, others do (%d of %d tries failed): one-sided", m.failed, m.tries)
	case Unwatched:
		return "it counts visits that no proxy here sends: proxies that are not polled, or other callers"
	}
	return "reports and answers come again"
}

// proxiesLate tells of proxies that stopped to answer polls, and of their return.
func (k *Pipeline) proxiesLate(now fleet.Time) {
	for _, w := range k.proxies {
		if late := w.place < 0 && w.sent > 0 && now-w.sent > pollLate; late != w.mute {
			w.mute = late
			n := Notice{Proxy: w.id, OfProxy: true, Good: !late, Text: "answers polls again"}
			if late {
				n.Text = fmt.Sprintf("has not answered its poll for %.1f s: what it meets is not known, what others meet counts", (now - w.sent).Seconds())
			}
			k.notices = append(k.notices, n)
		}
	}
	slices.SortStableFunc(k.notices, func(a, b Notice) int { return cmp.Compare(a.Proxy, b.Proxy) })
}

// View is what operators see of a server as a source.
type View struct {
	Server        fleet.ServerID
	Verdict       HealthVerdict
	Since         fleet.Time
	Reports       bool       // it ever did
	Age           fleet.Time // of its newest report
	Met           fleet.Time // since polls last met it, 0: never
	Tries, Failed uint64     // that proxies met in the last seconds
	Served, Erred uint64     // by its own count
	Load          [4]float32
	HasLoad       bool
	Distrust      fleet.Time // not believed until then
	Skew          fleet.Time
}

// Verdict tells what is made of a server as a source.
func (k *Pipeline) Verdict(id fleet.ServerID) HealthVerdict { return k.standing(id).sight }

// Views gives all listed servers, by id.
func (k *Pipeline) Views(now fleet.Time) []View {
	var all []View
	for i := range k.servers {
		s := &k.servers[i]
		if !s.listed {
			continue
		}
		m := s.all()
		v := View{Server: fleet.ServerID(i), Verdict: s.sight, Since: s.since, Reports: s.pushed > 0, Tries: m.tries, Failed: m.failed,
			Served: s.served, Erred: s.erred, Load: s.last.Load, HasLoad: s.last.HasLoad, Skew: s.skew}
		if s.pushed > 0 {
			v.Age = k.age(s, now)
		}
		if s.metTime > 0 {
			v.Met = max(1, now-s.metTime)
		}
		if s.distrust > now {
			v.Distrust = s.distrust
		}
		for _, of := range k.met { // what answers told, newer than any push
			if l := of[uint32(i)]; l != nil && l.load != [4]float32{} && !v.HasLoad {
				v.Load, v.HasLoad = l.load, true
			}
		}
		all = append(all, v)
	}
	return all
}

// ProxyAge tells how long ago a proxy's counters were read, and how often they are.
func (k *Pipeline) ProxyAge(now fleet.Time, id fleet.ProxyID) (age, every fleet.Time, ok bool) {
	w := k.proxies[id]
	if w == nil || !w.read {
		return 0, k.period(), false
	}
	return now - w.since, k.period(), true
}

// Distrusted tells until when a server's reports are not believed, 0: they are.
func (k *Pipeline) Distrusted(id fleet.ServerID) fleet.Time { return k.standing(id).distrust }

// Trusts gives the latest oddities, oldest first, and how many records were repeated, odd, or not believed.
func (k *Pipeline) Trusts() (strikes []Violation, repeated, odd, unbelieved uint64) {
	return k.trust.strikes, k.trust.Repeated, k.trust.Odd, k.trust.Unbelieved
}

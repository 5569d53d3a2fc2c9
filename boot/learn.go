package boot

import (
	"cmp"
	"math"
	"slices"

	"cressknot/fleet"
)

const (
	memory      = 60 * fleet.Second // by which what was heard of a server fades: some hundred visits of a small one
	worthGood   = 30                // good visits that make a figure worth keeping: chance is a fifth then
	worthBusy   = 0.05              // a busy share below this tells nothing of capacity
	worthChange = 0.1               // relative change of a capacity worth keeping again
	worthAgain  = 600 * fleet.Second
	lookGap     = 10 * fleet.Second // between two looks at what is worth keeping
	priorGood   = 8                 // good visits that what was learned stands for: what a new server is taken for average by
)

// InZone is what the proxies of a zone had of a server.
type InZone struct {
	Zone    fleet.ZoneID
	Rate    float64    // good visits a second
	Latency fleet.Time // their mean
}

// Learned is what a server was last known to carry: its good visits a second over its busy share are its capacity.
type Learned struct {
	At      fleet.Time
	Started fleet.Time // of the life that this was learned in
	Busy    float64
	Zones   []InZone
}

// Capacity gives good visits a second at a busy share of 1.
func (l Learned) Capacity() float64 {
	rate := 0.0
	for _, z := range l.Zones {
		rate += z.Rate
	}
	return rate / max(worthBusy, l.Busy)
}

type lesson struct {
	at         fleet.Time // to which the sums have faded
	started    fleet.Time
	zones      map[fleet.ZoneID]*sums
	busy, told float64 // sum of busy shares by time, and that time in seconds
	kept       Learned
}

type sums struct{ good, span, latency float64 } // seconds

// Learner keeps what servers carry, from the same sums that the module hears.
type Learner struct {
	busyAt  int
	lessons map[fleet.ServerID]*lesson
	looked  fleet.Time
}

// NewLearner makes a learner of a site.
func NewLearner(site fleet.Site) *Learner {
	return &Learner{busyAt: slices.Index(site.LoadFields, fleet.FieldBusy), lessons: map[fleet.ServerID]*lesson{}}
}

// Listed hears when a server started: what an earlier life carried may not hold for this one. Gone ones are forgotten.
func (l *Learner) Listed(e fleet.Entry) {
	if e.State == fleet.Gone {
		delete(l.lessons, e.Server)
		return
	}
	if one := l.lessons[e.Server]; one != nil && one.started != e.Started {
		delete(l.lessons, e.Server)
	}
	if l.lessons[e.Server] == nil {
		l.lessons[e.Server] = &lesson{started: e.Started, zones: map[fleet.ZoneID]*sums{}}
	}
}

// Heard hears a sum.
func (l *Learner) Heard(now fleet.Time, e fleet.Heard) {
	one := l.lessons[e.Server]
	if one == nil || l.busyAt < 0 || l.busyAt >= len(e.Load) || e.Span <= 0 {
		return
	}
	one.fade(now)
	z := one.zones[e.Zone]
	if z == nil {
		z = &sums{}
		one.zones[e.Zone] = z
	}
	good, span := float64(e.Tries)-float64(min(e.Failed, e.Tries)), e.Span.Seconds()
	z.good, z.span, z.latency = z.good+good, z.span+span, z.latency+good*e.Latency.Seconds()
	one.busy, one.told = one.busy+span*float64(e.Load[l.busyAt]), one.told+span
}

func (one *lesson) fade(now fleet.Time) {
	keep := 1.0
	if one.at > 0 {
		keep = math.Exp(-(now - one.at).Seconds() / memory.Seconds())
	}
	one.at = max(one.at, now)
	one.busy, one.told = one.busy*keep, one.told*keep
	for _, z := range one.zones {
		z.good, z.span, z.latency = z.good*keep, z.span*keep, z.latency*keep
	}
}

func (one *lesson) figure(now fleet.Time) (f Learned, good float64) {
	f = Learned{At: now, Started: one.started, Busy: one.busy / max(worthBusy, one.told)}
	for zone, z := range one.zones {
		if z.good > 0 && z.span > 0 {
			f.Zones = append(f.Zones, InZone{zone, z.good / z.span, fleet.Second.Scale(z.latency / z.good)})
			good += z.good
		}
	}
	slices.SortFunc(f.Zones, func(a, b InZone) int { return cmp.Compare(a.Zone, b.Zone) })
	return f, good
}

// Worth gives what is worth keeping since it was asked last, by server.
func (l *Learner) Worth(now fleet.Time, each func(fleet.ServerID, Learned)) {
	if now < l.looked+lookGap {
		return
	}
	l.looked = now
	ids := make([]fleet.ServerID, 0, len(l.lessons))
	for id := range l.lessons {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		one := l.lessons[id]
		if one.at == 0 {
			continue
		}
		one.fade(now)
		f, good := one.figure(now)
		if good < worthGood || f.Busy < worthBusy {
			continue
		}
		old, is := one.kept.Capacity(), f.Capacity()
		if one.kept.At > 0 && math.Abs(is-old) <= worthChange*old && now < one.kept.At+worthAgain {
			continue
		}
		one.kept = f
		each(id, f)
	}
}

// Recall tells a module what was learned of a server, as sums of a few visits that it weighs against what it hears: fewer the
// older it is, none where the server has started since. The rate and the busy share are as they were, so that their ratio, the
// capacity, is.
func Recall(now fleet.Time, site fleet.Site, e fleet.Entry, f Learned) []fleet.Heard {
	busyAt := slices.Index(site.LoadFields, fleet.FieldBusy)
	age, known := Age(now, f.At)
	visits := math.Floor(priorGood * Trust(age))
	rate := f.Capacity() * f.Busy
	if busyAt < 0 || !known || visits < 1 || f.Started != e.Started || e.State != fleet.Ready || f.Busy < worthBusy || rate <= 0 ||
		e.Started > 0 && now < e.Started+site.ColdFor {
		return nil
	}
	var all []fleet.Heard
	for _, z := range f.Zones {
		tries := max(1, math.Round(visits*z.Rate/rate))
		load := make([]float32, len(site.LoadFields))
		load[busyAt] = float32(f.Busy)
		all = append(all, fleet.Heard{Server: e.Server, Tries: uint32(tries), Latency: z.Latency, Span: fleet.Second.Scale(tries / z.Rate), Zone: z.Zone, Load: load})
	}
	return all
}

package client

import (
	"math/rand/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

const (
	redialFirst  = 100 * fleet.Millisecond // wait after a governor's first failure
	redialLast   = 5 * fleet.Second        // the same at most, by doubling: a governor back after long is found within this
	redialJitter = 0.5                     // part of each wait that is chance, so that libraries don't come all at once
	behindWait   = fleet.Second            // before a governor is asked again that knew less than another one: it learns by then
	silentAfter  = 3 * fleet.Second        // without a word of a watch: three signs of life missed
	callWithin   = 3 * fleet.Second        // for a question
	dialWithin   = 2 * fleet.Second        // for a connection on the same network
	reportEvery  = fleet.Second            // between two batches of outcomes
)

type lead struct {
	failures int
	at       fleet.Time // not before
}

// Finder decides which governor is asked next and when. It is pure.
type Finder struct {
	leads []lead
	next  int
	rng   *rand.Rand
}

// NewFinder makes a finder for so many governors, beginning with any of them by chance.
func NewFinder(governors int, seed uint64) *Finder {
	f := &Finder{leads: make([]lead, governors), rng: rand.New(rand.NewPCG(seed, 11))}
	f.next = f.rng.IntN(max(1, governors))
	return f
}

// Next gives the governor to ask, and how long to wait before.
func (f *Finder) Next(now fleet.Time) (governor int, wait fleet.Time) {
	best := f.next
	for k := range f.leads {
		if at := (f.next + k) % len(f.leads); max(now, f.leads[at].at) < max(now, f.leads[best].at) {
			best = at
		}
	}
	return best, max(0, f.leads[best].at-now)
}

// Failed hears that a governor failed, or that it asked to be left alone for a while.
func (f *Finder) Failed(now fleet.Time, governor int, why *service.Error) {
	l := &f.leads[governor]
	wait := min(redialLast, redialFirst<<min(l.failures, 8))
	l.failures++
	wait = wait.Scale(1 - redialJitter*f.rng.Float64())
	if why != nil && why.RetryAfter > 0 { // no earlier than it asked for, and not all at once
		wait = max(wait, why.RetryAfter.Scale(1+redialJitter*f.rng.Float64()))
	}
	l.at = now + wait
	f.next = (governor + 1) % len(f.leads)
}

// Behind hears that a governor knows less than another one told.
func (f *Finder) Behind(now fleet.Time, governor int) {
	f.leads[governor].at = now + behindWait.Scale(1+redialJitter*f.rng.Float64())
	f.next = (governor + 1) % len(f.leads)
}

// Stood hears that a governor served.
func (f *Finder) Stood(governor int) {
	f.leads[governor] = lead{}
	f.next = governor
}

package client

import (
	"math/rand/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

const (
	// minBackoff is the wait after a controller's first failure; it doubles with each further one.
	minBackoff = 100 * fleet.Millisecond
	// maxBackoff bounds the wait: a controller that comes back after long is found within this time.
	maxBackoff = 5 * fleet.Second
	// maxBackoffDoublings bounds the shift of minBackoff.
	maxBackoffDoublings = 8
	// backoffJitter is the part of each wait that is random, so that clients don't reconnect all at once.
	backoffJitter = 0.5
	// outdatedDelay is the wait before a controller is asked again that knew less than another one: it learns meanwhile.
	outdatedDelay = fleet.Second
	// pickerStream distinguishes the picker's random numbers from others of the same seed.
	pickerStream = 11
)

// candidate is the state of one controller.
type candidate struct {
	failures  int // in a row
	notBefore fleet.Time
}

// controllerPicker decides which controller is asked next and when. It does no I/O and reads no clock.
type controllerPicker struct {
	candidates []candidate
	preferred  int
	rng        *rand.Rand
}

// newControllerPicker makes a picker for a number of controllers that begins with a random one.
func newControllerPicker(controllers int, seed uint64) *controllerPicker {
	p := &controllerPicker{
		candidates: make([]candidate, controllers),
		rng:        rand.New(rand.NewPCG(seed, pickerStream)),
	}
	p.preferred = p.rng.IntN(max(1, controllers))
	return p
}

// pick returns the controller to ask, and how long to wait before.
func (p *controllerPicker) pick(now fleet.Time) (controller int, wait fleet.Time) {
	best := p.preferred
	for offset := range p.candidates {
		i := (p.preferred + offset) % len(p.candidates)
		if max(now, p.candidates[i].notBefore) < max(now, p.candidates[best].notBefore) {
			best = i
		}
	}
	return best, max(0, p.candidates[best].notBefore-now)
}

// recordFailure records that a controller failed; the reason, nil if none is known, may ask for a longer wait.
func (p *controllerPicker) recordFailure(now fleet.Time, controller int, reason *service.Error) {
	c := &p.candidates[controller]
	wait := min(maxBackoff, minBackoff<<min(c.failures, maxBackoffDoublings))
	c.failures++
	wait = wait.Scale(1 - backoffJitter*p.rng.Float64())
	if reason != nil && reason.RetryAfter > 0 { // no earlier than it asked for, and not all clients at once
		wait = max(wait, reason.RetryAfter.Scale(1+backoffJitter*p.rng.Float64()))
	}
	c.notBefore = now + wait
	p.preferred = (controller + 1) % len(p.candidates)
}

// recordOutdated records that a controller knows less than another one has sent.
func (p *controllerPicker) recordOutdated(now fleet.Time, controller int) {
	p.candidates[controller].notBefore = now + outdatedDelay.Scale(1+backoffJitter*p.rng.Float64())
	p.preferred = (controller + 1) % len(p.candidates)
}

// recordSuccess records that a controller serves.
func (p *controllerPicker) recordSuccess(controller int) {
	p.candidates[controller] = candidate{}
	p.preferred = controller
}

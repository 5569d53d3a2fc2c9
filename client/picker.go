package client

import (
	"math/rand/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

const (
	// minBackoff is the wait after the first failure of a controller; it doubles with each consecutive failure.
	minBackoff = 100 * fleet.Millisecond
	// maxBackoff bounds the wait, so that a controller that recovers after a long outage is found within this time. With
	// service.ClientDialTimeout it is less than the drain timeouts of deployments, which are 2 s or more: a client goes on
	// with its table until then, which may hold servers that have drained since.
	maxBackoff = fleet.Second
	// maxBackoffDoublings bounds the shift of minBackoff against overflow.
	maxBackoffDoublings = 8
	// backoffJitter is the random fraction of each wait, so that clients do not reconnect all at once.
	backoffJitter = 0.5
	// outdatedDelay is the wait before a controller with outdated state is dialed again; it may catch up meanwhile.
	outdatedDelay = fleet.Second
	// pickerStream is the PCG stream of the picker, distinct from other uses of the same seed.
	pickerStream = 11
)

// candidate is the connection history of one controller.
type candidate struct {
	failures  int // consecutive
	notBefore fleet.Time
}

// controllerPicker decides which controller is dialed next, and when. It does no I/O and reads no clock.
type controllerPicker struct {
	candidates []candidate
	preferred  int
	rng        *rand.Rand
}

// newControllerPicker returns a picker for the given number of controllers that starts with a random one.
func newControllerPicker(controllers int, seed uint64) *controllerPicker {
	p := &controllerPicker{
		candidates: make([]candidate, controllers),
		rng:        rand.New(rand.NewPCG(seed, pickerStream)),
	}
	p.preferred = p.rng.IntN(max(1, controllers))
	return p
}

// pick returns the index of the controller to dial next, and how long to wait before.
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

// recordFailure records that dialing or watching a controller failed. The wait before the next attempt is at least
// reason.RetryAfter; the reason may be nil.
func (p *controllerPicker) recordFailure(now fleet.Time, controller int, reason *service.Error) {
	c := &p.candidates[controller]
	wait := min(maxBackoff, minBackoff<<min(c.failures, maxBackoffDoublings))
	c.failures++
	wait = wait.Scale(1 - backoffJitter*p.rng.Float64())
	if reason != nil && reason.RetryAfter > 0 { // jitter only lengthens the wait, and spreads the clients
		wait = max(wait, reason.RetryAfter.Scale(1+backoffJitter*p.rng.Float64()))
	}
	c.notBefore = now + wait
	p.preferred = (controller + 1) % len(p.candidates)
}

// recordOutdated records that a controller has sent older state than was applied before.
func (p *controllerPicker) recordOutdated(now fleet.Time, controller int) {
	p.candidates[controller].notBefore = now + outdatedDelay.Scale(1+backoffJitter*p.rng.Float64())
	p.preferred = (controller + 1) % len(p.candidates)
}

// recordSuccess records that an update of a controller was applied. It resets the backoff.
func (p *controllerPicker) recordSuccess(controller int) {
	p.candidates[controller] = candidate{}
	p.preferred = controller
}

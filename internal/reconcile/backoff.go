package reconcile

import "cressknot/internal/fleet"

// Timeouts of transports. They are defined here because transports take no decisions.
const (
	// DialTimeout bounds a connection attempt. On the same network, longer is as good as down.
	DialTimeout = 2 * fleet.Second
	// AnswerTimeout bounds a poll or a state readback. It covers a reload of a proxy and its longest stall.
	AnswerTimeout = 20 * fleet.Second
	// SilenceTimeout is how old the counters file of a proxy may become. It is written every second; five missed
	// writes are no coincidence.
	SilenceTimeout = 5 * fleet.Second
)

// Delays between connection attempts.
const (
	initialDialDelay = 100 * fleet.Millisecond // a proxy that restarts listens again within this
	maxDialDelay     = 2 * fleet.Second        // a proxy that is back waits no longer for its controller
	maxDialDoublings = 8
	dialJitter       = 0.5 // random part of a delay, so that proxies do not come back all at once
)

// DialBackoff works out the delays between connection attempts: doubled with each failure, up to a bound, with
// jitter from a multiply-with-carry generator.
type DialBackoff struct {
	failures int
	x, carry uint32 // state of the generator
}

// generatorMultiplier yields the full period of a 32-bit multiply-with-carry generator.
const generatorMultiplier = 4294957665

// NewDialBackoff returns a backoff with its own random sequence.
func NewDialBackoff(seed uint64) DialBackoff {
	return DialBackoff{x: uint32(seed) | 1, carry: uint32(seed>>33) | 1}
}

// Next returns the delay before the next attempt.
func (b *DialBackoff) Next() fleet.Time {
	product := generatorMultiplier*uint64(b.x) + uint64(b.carry)
	b.x = uint32(product)
	b.carry = uint32(product >> 32)
	delay := min(maxDialDelay, initialDialDelay<<min(b.failures, maxDialDoublings))
	b.failures++
	return delay.Scale(1 - dialJitter*float64(b.x)/(1<<32))
}

// Reset reports that a session was established: the next delay is the shortest one.
func (b *DialBackoff) Reset() { b.failures = 0 }

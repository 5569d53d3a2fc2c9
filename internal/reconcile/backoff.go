package reconcile

import (
	"cmp"

	"cressknot/internal/fleet"
)

// Timeouts of transports. They are defined here because decisions belong to the reconciler, not to transports.
const (
	// ConnectTimeout bounds an attempt to connect to a proxy or to the list service. While the network is cut none
	// succeeds, and one that began in the cut delays the next.
	ConnectTimeout = 500 * fleet.Millisecond
	// ProbeTimeout bounds a probe of a server, which includes its answer.
	ProbeTimeout = 2 * fleet.Second
	// AnswerTimeout bounds a poll or a readback of the proxy's state. It exceeds the duration of a proxy reload and
	// of the longest stall.
	AnswerTimeout = 20 * fleet.Second
	// SilenceTimeout is the maximum age of a proxy's counters file. The file is written every second, and five
	// missed writes in a row are not an accident of timing.
	SilenceTimeout = 5 * fleet.Second
)

// Delays between connection attempts.
const (
	initialDialDelay = 100 * fleet.Millisecond // a restarted proxy listens again within this time
	maxDialDelay     = 2 * fleet.Second        // where the drain timeout allows longer ones
	maxDialDoublings = 8
	dialJitter       = 0.5 // random fraction of a delay, so that reconnections are spread over time
)

// DialBackoff computes the delays between connection attempts: exponential up to a maximum, with jitter from a
// multiply-with-carry generator. It is not safe for concurrent use.
type DialBackoff struct {
	maxDelay fleet.Time
	failures int
	x, carry uint32 // state of the generator
}

// generatorMultiplier yields the full period of a 32-bit multiply-with-carry generator.
const generatorMultiplier = 4294957665

// NewDialBackoff returns a backoff whose jitter is determined by the seed. A delay is at most maxDelay, which is what
// the drain timeout allows, see balancer.MaxRetryInterval: a peer that is back waits for its controller for that long.
// 0 sets no such bound.
func NewDialBackoff(seed uint64, maxDelay fleet.Time) DialBackoff {
	return DialBackoff{
		maxDelay: min(maxDialDelay, cmp.Or(maxDelay, maxDialDelay)),
		x:        uint32(seed) | 1,
		carry:    uint32(seed>>33) | 1,
	}
}

// Next returns the delay before the next attempt and counts that attempt as a failure until Reset is called.
func (b *DialBackoff) Next() fleet.Time {
	product := generatorMultiplier*uint64(b.x) + uint64(b.carry)
	b.x = uint32(product)
	b.carry = uint32(product >> 32)
	delay := min(b.maxDelay, initialDialDelay<<min(b.failures, maxDialDoublings))
	b.failures++
	return delay.Scale(1 - dialJitter*float64(b.x)/(1<<32))
}

// Reset returns to the initial delay. It is called when a session was established.
func (b *DialBackoff) Reset() { b.failures = 0 }

package reconcile

import "cressknot/internal/fleet"

// Bounds of a front's patience. They stand here because a front decides nothing.
const (
	DialTimeout    = 2 * fleet.Second        // for a connection on the same network; longer is as good as down
	AnswerTimeout  = 20 * fleet.Second       // for a poll or a reading back: a proxy's reload and its longest stall
	SilenceTimeout = 5 * fleet.Second        // files: a proxy writes its counters each second; five missed are no chance
	redialFirst    = 100 * fleet.Millisecond // a proxy that restarted listens again within so long
	redialLast     = 2 * fleet.Second        // a proxy back after long waits no longer than this for its governor
	redialJitter   = 0.5                     // part of the wait that is chance, so that proxies don't come all at once
)

// DialBackoff works out waits between dials. Each stream that fails makes the next wait longer, up to a bound.
type DialBackoff struct {
	failures int
	x, carry uint32
}

// NewDialBackoff seeds the chance of one proxy's waits.
func NewDialBackoff(seed uint64) DialBackoff {
	return DialBackoff{x: uint32(seed) | 1, carry: uint32(seed>>33) | 1}
}

// Next gives the wait before the next dial.
func (r *DialBackoff) Next() fleet.Time {
	t := 4294957665*uint64(r.x) + uint64(r.carry) // multiply with carry
	r.x, r.carry = uint32(t), uint32(t>>32)
	wait := min(redialLast, redialFirst<<min(r.failures, 8))
	r.failures++
	return wait.Scale(1 - redialJitter*float64(r.x)/(1<<32))
}

// Reset tells that a stream stood: waits are short again.
func (r *DialBackoff) Reset() { r.failures = 0 }

package lease

import "cressknot/internal/fleet"

const (
	// handoversPerSecond bounds the proxies that a controller hands over per second: each needs a complete weight table,
	// and the update channel must not be flooded.
	handoversPerSecond = 20.0
	maxHandoverBurst   = 20.0 // most proxies handed over at once
)

// HandoverLimiter limits the rate at which a controller hands proxies over, by a token bucket. The zero value starts
// with a full burst. It is not safe for concurrent use.
type HandoverLimiter struct {
	tokens    float64
	updatedAt fleet.Time
	Allowed   uint64 // number of handovers allowed so far
}

// Allow reports whether one more proxy may be handed over now, and counts it if so.
func (l *HandoverLimiter) Allow(now fleet.Time) bool {
	if l.updatedAt == 0 {
		l.tokens = maxHandoverBurst
	}
	l.tokens = min(maxHandoverBurst, l.tokens+(now-l.updatedAt).Seconds()*handoversPerSecond)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	l.Allowed++
	return true
}

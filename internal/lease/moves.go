package lease

import "cressknot/internal/fleet"

const (
	// movesPerSecond bounds the proxies that a controller hands over per second: each needs a complete weight table,
	// and the update channel must not be flooded.
	movesPerSecond = 20.0
	maxMovesBurst  = 20.0 // most proxies handed over at once
)

// Moves limits the rate at which a controller hands proxies over, by a token bucket. The zero value starts with a full
// burst. It is not safe for concurrent use.
type Moves struct {
	tokens    float64
	updatedAt fleet.Time
	Allowed   uint64 // number of moves allowed so far
}

// Allow reports whether one more proxy may be handed over now, and counts it if so.
func (m *Moves) Allow(now fleet.Time) bool {
	if m.updatedAt == 0 {
		m.tokens = maxMovesBurst
	}
	m.tokens = min(maxMovesBurst, m.tokens+(now-m.updatedAt).Seconds()*movesPerSecond)
	m.updatedAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	m.Allowed++
	return true
}

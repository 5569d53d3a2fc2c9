package lease

import "cressknot/internal/fleet"

const (
	// movesPerSecond bounds the proxies that a controller hands over: each needs a complete table, which must not
	// flood the update channel.
	movesPerSecond = 20.0
	maxMovesBurst  = 20.0
)

// Moves limits the rate at which a controller hands proxies over. The zero value is ready.
type Moves struct {
	tokens    float64
	updatedAt fleet.Time
	Allowed   uint64 // moves that were allowed
}

// Take allows one move if the rate permits it.
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

package ingest

import "cressknot/internal/fleet"

// tokenBucket limits a rate. The zero value is a full bucket; with startsEmpty it starts without tokens.
type tokenBucket struct {
	tokens      float64
	refilledAt  fleet.Time
	startsEmpty bool
	used        bool
}

// refill adds the tokens for the time since the last refill, up to burst.
func (b *tokenBucket) refill(now fleet.Time, perSecond, burst float64) {
	if !b.used && !b.startsEmpty {
		b.tokens = burst
	}
	b.used = true
	b.tokens = min(burst, b.tokens+max(0, (now-b.refilledAt).Seconds())*perSecond)
	b.refilledAt = max(b.refilledAt, now)
}

// timeToToken returns the time until a whole token is available.
func (b *tokenBucket) timeToToken(perSecond float64) fleet.Time {
	return fleet.Second.Scale((1 - b.tokens) / perSecond)
}

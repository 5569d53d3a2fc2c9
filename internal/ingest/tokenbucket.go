package ingest

import "cressknot/internal/fleet"

// tokenBucket limits a rate. A bucket that was never used is full, unless startsEmpty is set.
type tokenBucket struct {
	tokens      float64
	refilledAt  fleet.Time
	startsEmpty bool
	used        bool
}

// refill adds the tokens of the time that has passed, up to the burst.
func (b *tokenBucket) refill(now fleet.Time, perSecond, burst float64) {
	if !b.used && !b.startsEmpty {
		b.tokens = burst
	}
	b.used = true
	b.tokens = min(burst, b.tokens+max(0, (now-b.refilledAt).Seconds())*perSecond)
	b.refilledAt = max(b.refilledAt, now)
}

// timeToToken returns when a whole token will be there.
func (b *tokenBucket) timeToToken(perSecond float64) fleet.Time {
	return fleet.Second.Scale((1 - b.tokens) / perSecond)
}

package verification

import (
	"math"

	"cressknot/internal/fleet"
)

const (
	// freshDuration is the age up to which a list counts as just confirmed: a restart takes seconds.
	freshDuration = 60 * fleet.Second

	// trustHalfLife halves the trust in an older list. Fleets are renewed within a day, after which the trust is least.
	trustHalfLife = 3600 * fleet.Second

	// minTrust is the trust in a server of a list of any age.
	minTrust = 0.05

	// maxClockSkew is the difference allowed between clocks of one place.
	maxClockSkew = 60 * fleet.Second

	// unknownAge is reported for a list from the future.
	unknownAge = 24 * 3600 * fleet.Second

	// ConfirmInterval is the time between two records on disk that the list is confirmed; half of what counts as fresh.
	ConfirmInterval = 30 * fleet.Second
)

// Age returns how long ago a list was confirmed, by a clock that may have been set since. The age of a list from
// the future is not known; it counts as old.
func Age(now, confirmed fleet.Time) (age fleet.Time, known bool) {
	if confirmed <= 0 || confirmed > now+maxClockSkew {
		return unknownAge, false
	}
	return max(0, now-confirmed), true
}

// Trust returns the weight factor of a server of a list of the given age, before anything is known of the server.
// It is 1 for a fresh list and falls by half in each trustHalfLife.
func Trust(age fleet.Time) float64 {
	if age <= freshDuration {
		return 1
	}
	return max(minTrust, math.Exp2(-(age-freshDuration).Seconds()/trustHalfLife.Seconds()))
}

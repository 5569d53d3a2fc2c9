package verification

import (
	"math"

	"cressknot/internal/fleet"
)

const (
	// freshDuration is the age up to which a list counts as just confirmed: a restart takes seconds.
	freshDuration = 60 * fleet.Second

	// unverifiedHalfLife is the increase in a list's age that halves the weight factor of its unverified servers. Fleets
	// are replaced within a day, by which time the factor has reached minUnverifiedFactor.
	unverifiedHalfLife = 3600 * fleet.Second

	// minUnverifiedFactor is the minimum weight factor of a server, however old its list is.
	minUnverifiedFactor = 0.05

	// maxClockSkew is the difference allowed between the clocks of a site.
	maxClockSkew = 60 * fleet.Second

	// unknownAge is the age reported for a list without a valid confirmation time.
	unknownAge = 24 * 3600 * fleet.Second

	// ConfirmInterval is the minimum time between two writes that record a confirmation of the list on disk. It is half
	// of freshDuration.
	ConfirmInterval = 30 * fleet.Second
)

// Age returns the time since a list was confirmed. The clock may have been set since then: if the confirmation time is
// missing or more than maxClockSkew in the future, Age returns unknownAge and false.
func Age(now, confirmed fleet.Time) (age fleet.Time, known bool) {
	if confirmed <= 0 || confirmed > now+maxClockSkew {
		return unknownAge, false
	}
	return max(0, now-confirmed), true
}

// UnverifiedWeightFactor returns the weight factor of an unverified server of a list of the given age. It is 1 up to
// freshDuration, then halves in each unverifiedHalfLife down to minUnverifiedFactor.
func UnverifiedWeightFactor(age fleet.Time) float64 {
	if age <= freshDuration {
		return 1
	}
	return max(minUnverifiedFactor, math.Exp2(-(age-freshDuration).Seconds()/unverifiedHalfLife.Seconds()))
}

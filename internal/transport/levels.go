package transport

import (
	"context"
	"time"

	"cressknot/internal/fleet"
)

// Names and values of levels, which all fronts write alike: "CLASS.share" in thousandths of the visits, or "CLASS.rate" in
// thousandths a second; "CLASS.retry"; and the version of the class's table.
const (
	RetryKey   = ".retry"
	VersionKey = ".version"
	shareAll   = 1000
	rateAll    = 1_000_000_000
)

// AdmissionKey names a class's amount.
func AdmissionKey(how fleet.AdmissionMode, class string) string {
	if how == fleet.AdmissionRate {
		return class + ".rate"
	}
	return class + ".share"
}

// UnlimitedAdmission is the amount that lets all in.
func UnlimitedAdmission(how fleet.AdmissionMode) int32 {
	if how == fleet.AdmissionRate {
		return rateAll
	}
	return shareAll
}

// DrainUntilIdle waits until nothing is outstanding, or the context ends.
func DrainUntilIdle(ctx context.Context, busy func() bool) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for busy() && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

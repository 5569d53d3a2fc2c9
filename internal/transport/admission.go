package transport

import (
	"context"
	"time"

	"cressknot/internal/fleet"
)

// Suffixes of the keys, at proxies, of a class's retry mode and of the version of its weight table.
const (
	RetryKeySuffix   = ".retry"
	VersionKeySuffix = ".version"
)

// Suffixes of the keys of admission limits, and the values that mean no limit. A share is in thousandths of the
// requests, a rate in thousandths of a request per second.
const (
	shareKey       = ".share"
	rateKey        = ".rate"
	unlimitedShare = 1000
	unlimitedRate  = 1_000_000_000
)

// idlePollInterval is the time between two calls of the busy function in WaitUntilIdle.
const idlePollInterval = 10 * time.Millisecond

// AdmissionKey returns the key, at proxies, of a class's admission limit.
func AdmissionKey(mode fleet.AdmissionMode, class string) string {
	if mode == fleet.AdmissionRate {
		return class + rateKey
	}
	return class + shareKey
}

// UnlimitedAdmission returns the limit, in the unit of the mode, that admits every request.
func UnlimitedAdmission(mode fleet.AdmissionMode) int32 {
	if mode == fleet.AdmissionRate {
		return unlimitedRate
	}
	return unlimitedShare
}

// WaitUntilIdle polls busy until it returns false or the context ends.
func WaitUntilIdle(ctx context.Context, busy func() bool) {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for busy() && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

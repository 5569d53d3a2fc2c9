package safety

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// TestTrustedCapacityFallsWithAge checks that a fresh measurement counts in full, that an old one counts as the
// handled rate, that the capacity falls linearly in between, and that a clock set back does not raise it.
func TestTrustedCapacityFallsWithAge(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1}}})
	checker.Observe(now, outcomeReport(1, 100, 0.25))
	for age, want := range map[fleet.Time]float64{
		-fleet.Second:     40,
		0:                 40,
		fullConfidenceAge: 40,
		(fullConfidenceAge + zeroConfidenceAge) / 2: 25,
		zeroConfidenceAge:      10,
		10 * zeroConfidenceAge: 10,
	} {
		if got, known := checker.servers[1].effectiveCapacity(now + age); math.Abs(got-want) > 1e-6 || !known {
			t.Errorf("effective capacity at age %v s: %v requests/s, want %v", age.Seconds(), got, want)
		}
	}
}

// TestRestartWhileWarmingBeginsAnew checks that a restart during slow start resets the rate limit to its initial
// value, whatever was measured in between, and that a clock set back to before the restart does not raise it.
func TestRestartWhileWarmingBeginsAnew(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{
		{Server: 1},
		{Server: 2, Started: now - 9*fleet.Second},
	}})
	checker.Observe(now, outcomeReport(1, 200, 0.5))
	before := checker.rateLimit(now, 2)
	checker.Observe(now, startedList(2, now))
	if after := checker.rateLimit(now, 2); after > before/2 {
		t.Errorf("rate limit %v requests/s after the restart, %v before", after, before)
	}
	if back := checker.rateLimit(now-fleet.Second, 2); back > before/2 || back <= 0 {
		t.Errorf("rate limit %v requests/s with the clock set back to before the restart", back)
	}
}

// TestReportsWhileWarmingAreNoCapacity checks that reports from a server in slow start do not count as a
// measurement of its capacity, which would be too low.
func TestReportsWhileWarmingAreNoCapacity(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1, Started: now}}})
	checker.Observe(now, outcomeReport(1, 100, 0.5))
	if _, known := checker.servers[1].effectiveCapacity(now); known {
		t.Error("capacity measured from reports of a warming server")
	}
}

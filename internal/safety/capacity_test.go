package safety

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// TestTrustedCapacityFallsWithAge checks that a capacity counts in full while fresh, as the handled rate when old,
// evenly in between, and that a clock that goes back does not raise it.
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
			t.Errorf("at an age of %v s: %v, not %v", age.Seconds(), got, want)
		}
	}
}

// TestRestartWhileWarmingBeginsAnew checks that a second start makes a server bear as little as the first one did,
// whatever was measured in between.
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
		t.Errorf("it bears %v after its second start, %v before", after, before)
	}
	if back := checker.rateLimit(now-fleet.Second, 2); back > before/2 || back <= 0 {
		t.Errorf("with the clock gone back over the start it bears %v", back)
	}
}

// TestReportsWhileWarmingAreNoCapacity checks that what a server handles while it warms up is not taken as its
// capacity.
func TestReportsWhileWarmingAreNoCapacity(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{{Server: 1, Started: now}}})
	checker.Observe(now, outcomeReport(1, 100, 0.5))
	if _, known := checker.servers[1].effectiveCapacity(now); known {
		t.Error("a warming server's reports were taken as its capacity")
	}
}

package hostile

import (
	"slices"
	"testing"
	"time"
)

const (
	// latencyRatio and latencyFloor bound the 99th percentile alongside hostile clients: within this ratio to that at
	// rest, or under the floor, which is some time slices of the scheduler. docs/operate/limits.md states both.
	latencyRatio = 10
	latencyFloor = 50 * time.Millisecond
	percentile   = 0.99
)

// Latencies are the durations of calls.
type Latencies []time.Duration

// Measure calls a function again and again for a time and returns the durations of the calls.
func Measure(duration time.Duration, call func()) (latencies Latencies) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
		began := time.Now()
		call()
		latencies = append(latencies, time.Since(began))
	}
	return latencies
}

// P99 returns the 99th percentile.
func (l Latencies) P99() time.Duration {
	sorted := slices.Sorted(slices.Values(l))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(float64(len(sorted)-1)*percentile)]
}

// CheckLatencies checks that the latencies alongside hostile clients stay within the bound.
func CheckLatencies(t *testing.T, atRest, alongside Latencies) {
	t.Helper()
	bound := max(latencyRatio*atRest.P99(), latencyFloor)
	t.Logf("p99 at rest %v of %d calls, alongside the flood %v of %d, bound %v",
		atRest.P99(), len(atRest), alongside.P99(), len(alongside), bound)
	if alongside.P99() > bound {
		t.Errorf("p99 %v alongside hostile clients, want at most %v; at rest %v", alongside.P99(), bound, atRest.P99())
	}
}

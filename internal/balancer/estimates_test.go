package balancer

import (
	"math"
	"math/rand"
	"testing"

	"cressknot/internal/fleet"
)

// Guards against overestimating the rate of proxies with few requests: demand reports are sent only after requests, and
// their interval covers at most some seconds without requests before.
func TestRequestRateCountsSilence(t *testing.T) {
	for _, want := range []float64{0.1, 0.5, 5} {
		rng := rand.New(rand.NewSource(3))
		total := 0.0
		estimates := 0
		for range 40 {
			for _, rate := range estimatedRates(rng, want) {
				total += rate
				estimates++
			}
		}
		if got := total / float64(estimates); math.Abs(got/want-1) > 0.2 {
			t.Errorf("%.2f requests per second, want %.2f", got, want)
		}
	}
}

// estimatedRates returns a balancer's estimates for a proxy with random requests of a mean rate, after some time.
func estimatedRates(rng *rand.Rand, rate float64) []float64 {
	b := newMeasuredBalancer([]float64{1}, []float64{0.5})
	b.estimates.reportCycle = fleet.Second
	proxy := b.proxies.all[0]
	proxy.demandSamples[0] = nil
	lastReportAt := fleet.Time(0)
	var rates []float64
	for second := 1; second < 200; second++ {
		b.now = fleet.Time(second) * fleet.Second
		b.estimates.latestOutcomeAt = b.now
		requests := uint32(0)
		for at := rng.ExpFloat64(); at < rate; at += rng.ExpFloat64() {
			requests++
		}
		if requests > 0 {
			interval := min(b.now-lastReportAt, 5*fleet.Second)
			b.handleEvent(fleet.DemandReport{Requests: requests, Interval: interval})
			lastReportAt = b.now
		}
		if second > 50 {
			rates = append(rates, b.proxyRequestRate(proxy, 0))
		}
	}
	return rates
}

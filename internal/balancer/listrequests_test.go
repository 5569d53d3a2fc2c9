package balancer

import (
	"math/rand"
	"testing"

	"cressknot/internal/fleet"
)

// longestListRequestGap runs a balancer whose requests for the endpoint list fail after a delay, for a minute after the
// first one has succeeded, and returns the longest time between two requests.
func longestListRequestGap(site fleet.Site, seed uint64, failureDelay fleet.Time) (longest fleet.Time) {
	const step = 4 * fleet.Millisecond
	b := New(site, seed)
	endAt := simulationStart + 60*fleet.Second
	var failsAt, requestedAt fleet.Time
	for now := simulationStart; now < endAt; now += step {
		var events []fleet.Event
		if failsAt > 0 && now >= failsAt {
			events = append(events, fleet.EndpointList{Scope: fleet.ListFailed})
			failsAt = 0
		}
		for _, order := range b.Step(now, events) {
			if _, ok := order.(fleet.WatchEndpoints); !ok {
				continue
			}
			if requestedAt > 0 {
				longest = max(longest, now-requestedAt)
			}
			requestedAt = now
			failsAt = now + failureDelay
		}
	}
	return max(longest, endAt-requestedAt-failureDelay)
}

// Guards against a drain that is missed because the wait for the next list request has grown in an outage of discovery:
// from the end of the outage, the wait and the delivery of the withdrawal must fit in the drain timeout.
func TestListRequestsStayWithinDrainTimeout(t *testing.T) {
	rng := rand.New(rand.NewSource(46))
	for range 40 {
		site := testSite(rng)
		site.ListOnRequest = true
		site.MaxPollInterval = 10 * fleet.Second
		site.DrainTimeout = fleet.Time(2000+rng.Intn(2001)) * fleet.Millisecond
		site.EntriesPerSecond = 15000
		site.MaxBacklog = float64(6000 + 24000*rng.Intn(2))
		site.MaxUpdateDelay = 480 * fleet.Millisecond
		site.MaxMessages = 20
		site.MessageWindow = 10 * fleet.Second
		fullChannel := fleet.Second.Scale(site.MaxBacklog / 2 / site.EntriesPerSecond)
		const nextMessage = 667*fleet.Millisecond + timerInterval // 15 of the 20 messages may go to all proxies
		limit := site.DrainTimeout - site.MaxUpdateDelay - max(fullChannel, nextMessage)
		for _, failureDelay := range []fleet.Time{fleet.Millisecond, 250 * fleet.Millisecond} {
			seed := rng.Uint64()
			gap := longestListRequestGap(site, seed, failureDelay)
			if gap >= limit {
				t.Errorf("drain timeout %.3f s, failures after %.3f s, seed %d: %.3f s between two requests, want under %.3f s",
					site.DrainTimeout.Seconds(), failureDelay.Seconds(), seed, gap.Seconds(), limit.Seconds())
			}
		}
	}
}

// Guards against a crowd at discovery: controllers that lose their watches at the same time must not ask again at the
// same time, and not all the time.
func TestListRequestsAreSpreadAfterLostWatches(t *testing.T) {
	const controllers = 200
	site := testSite(rand.New(rand.NewSource(1)))
	site.ListOnRequest = true
	site.MaxPollInterval = 10 * fleet.Second
	site.DrainTimeout = 3 * fleet.Second
	const slot = 100 * fleet.Millisecond
	requestsPerSlot := map[fleet.Time]int{}
	interval := fleet.Time(0)
	for seed := range uint64(controllers) {
		b := New(site, seed*0x9e3779b97f4a7c15)
		interval = MaxRetryInterval(&b.site)
		lostAt := simulationStart + 10*fleet.Second
		b.Step(simulationStart, nil)
		b.Step(simulationStart+fleet.Second, []fleet.Event{fleet.EndpointList{Scope: fleet.ListDelta}})
		b.Step(lostAt, []fleet.Event{fleet.EndpointList{Scope: fleet.ListFailed}})
		requestsPerSlot[(b.NextListRequest()-lostAt)/slot]++
	}
	even := float64(controllers) * float64(slot) / float64(interval)
	for at, requests := range requestsPerSlot {
		if float64(requests) > 2*even {
			t.Errorf("%d of %d requests within %d ms, %d ms after the loss; evenly spread there are %.1f",
				requests, controllers, slot/fleet.Millisecond, at*slot/fleet.Millisecond, even)
		}
	}
}

// Guards against retries that are too frequent or too rare where the settings leave little or much time.
func TestRetryIntervalIsBounded(t *testing.T) {
	channel := fleet.Site{
		EntriesPerSecond: 15000,
		MaxBacklog:       30000,
		MaxUpdateDelay:   480 * fleet.Millisecond,
		MaxMessages:      20,
		MessageWindow:    10 * fleet.Second,
	}
	for _, test := range []struct {
		drainTimeout, maxPollInterval, want fleet.Time
	}{
		{3 * fleet.Second, 10 * fleet.Second, 1013 * fleet.Millisecond}, // two thirds of 3 - 1 - 0.48 s
		{1 * fleet.Second, 10 * fleet.Second, minRetryInterval},
		{0, 0, minRetryInterval},
		{60 * fleet.Second, 4 * fleet.Second, 2 * fleet.Second},
		{60 * fleet.Second, 0, maxRetryInterval},
	} {
		site := channel
		site.DrainTimeout = test.drainTimeout
		site.MaxPollInterval = test.maxPollInterval
		got := MaxRetryInterval(&site)
		if difference := got - test.want; difference < -fleet.Millisecond || difference > fleet.Millisecond {
			t.Errorf("drain timeout %.0f s, poll interval %.0f s: %.3f s, want %.3f s",
				test.drainTimeout.Seconds(), test.maxPollInterval.Seconds(), got.Seconds(), test.want.Seconds())
		}
	}
}

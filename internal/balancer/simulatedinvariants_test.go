package balancer

import (
	"fmt"

	"cressknot/internal/fleet"
)

// maxStallSeconds is the longest pause of a proxy between two attempts.
const maxStallSeconds = 2

// reportViolation records the first violated invariant.
func (f *simulatedFleet) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf("%.2f s: ", (f.now-simulationStart).Seconds()) + fmt.Sprintf(format, args...)
	}
}

// checkInvariants checks, after each step, the limits for each proxy and server and for the update channel.
func (f *simulatedFleet) checkInvariants() {
	for id, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		f.checkMessageCount(id, proxy)
		for class := range f.site.Classes {
			fractions := f.fractions(proxy, class)
			f.checkFractions(id, class, fractions)
			f.checkEndpoints(id, class, len(fractions) > 0)
		}
	}
	f.checkWarmingServers()
	if entries := f.backlog(); entries > f.site.MaxBacklog {
		f.reportViolation("backlog: %.0f entries in the update channel, limit %.0f", entries, f.site.MaxBacklog)
	}
}

// checkMessageCount checks that a proxy gets no more messages within the message window than its limit.
func (f *simulatedFleet) checkMessageCount(id int, proxy *fakeProxy) {
	recent := 0
	for _, sentAt := range proxy.messagesAt {
		if sentAt > f.now-f.site.MessageWindow {
			recent++
		}
	}
	if recent > f.site.MaxMessages {
		f.reportViolation("message limit: %d messages to proxy %d, limit %d", recent, id, f.site.MaxMessages)
	}
}

// checkFractions checks that a proxy sends no requests to draining or gone servers and, in a zone-local class, none to
// other zones.
func (f *simulatedFleet) checkFractions(id, class int, fractions map[fleet.ServerID]float64) {
	proxy := f.proxies[id]
	for _, server := range f.servers {
		if fractions[server.Server] <= 0 {
			continue
		}
		if proxy.assignedTables[class] != noTable && !f.mayUse(proxy, class, server) {
			f.reportViolation("zone: class %d of proxy %d leaves its zone", class, id)
		}
		notifiedAt := max(server.stateChangedAt, proxy.joinedAt)
		if server.State != fleet.ServerReady && f.now > notifiedAt+f.site.DrainTimeout/2 {
			f.reportViolation("drain: proxy %d sends to server %d", id, server.Server)
		}
	}
}

// checkEndpoints checks that a proxy is not without endpoints for a class for too long while there are warm servers for
// it.
func (f *simulatedFleet) checkEndpoints(id, class int, hasEndpoints bool) {
	proxy := f.proxies[id]
	warmServers := false
	for _, server := range f.servers {
		isWarm := server.State == fleet.ServerReady && f.now >= server.Started+f.site.SlowStart.Duration
		warmServers = warmServers || isWarm && f.mayUse(proxy, class, server)
	}
	since := &proxy.withoutEndpointsSince[class]
	switch {
	case hasEndpoints || !warmServers:
		*since = 0
	case *since == 0:
		*since = f.now
	case f.now > *since+f.site.MaxUnservedDuration/2:
		f.reportViolation("endpoints: proxy %d has none for class %d", id, class)
	}
}

// mayUse reports whether a class may use a server: a zone-local one must not leave the proxy's zone.
func (f *simulatedFleet) mayUse(proxy *fakeProxy, class int, server *fakeServer) bool {
	return !f.site.Classes[class].ZoneLocal || server.Zone == proxy.zone
}

// checkWarmingServers checks that no server in slow start is overloaded.
func (f *simulatedFleet) checkWarmingServers() {
	recovery := &f.site.RecoveryRamp
	rates := f.requestRates()
	for _, server := range f.servers {
		if server.State != fleet.ServerReady || f.now <= server.stateChangedAt+f.site.DrainTimeout ||
			f.now >= server.Started+f.site.SlowStart.Duration {
			continue
		}
		rate := sum(rates[server.Server])
		capacity := f.capacity(server)
		if rate > recovery.OverloadFactor*capacity*0.9 {
			f.reportViolation("slow start: server %d gets %.1f requests/s, capacity %.1f", server.Server, rate, capacity)
		}
	}
}

// checkRetryMode checks that retries cannot execute a request twice if its class forbids that.
func (f *simulatedFleet) checkRetryMode(retry fleet.RetryMode, class *fleet.RequestClass) {
	if retry < fleet.RetryOnce {
		return
	}
	longestAttempt := f.site.AttemptTimeoutFactor*class.LatencyObjective.Seconds() + maxStallSeconds
	keyExpires := class.Idempotency == fleet.IdempotentWithKey &&
		longestAttempt > class.DeduplicationWindow.Seconds()
	if class.Idempotency == fleet.NotIdempotent || keyExpires {
		f.reportViolation("double execution: retry mode %d for class %+v", retry, *class)
	}
}

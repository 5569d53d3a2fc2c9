package balancer

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// initialHealthFactor is the health factor of new and returning servers, and of outliers that stay in service
	// because too many servers are ejected already.
	initialHealthFactor = 0.25
	// minReducedHealthFactor is the lowest health factor that reductions for latency lead to.
	minReducedHealthFactor = 0.25
	// healthRecoveryStep is added to the health factor of a healthy server in each balance interval.
	healthRecoveryStep = 0.25
	// latencyReductionDivisor divides the health factor of a server whose latency is too high.
	latencyReductionDivisor = 2

	// minFailures is the number of failed attempts that makes an outlier: fewer can be chance.
	minFailures = 3
	// minFailedFraction is the smallest fraction of failed attempts that makes an outlier.
	minFailedFraction = 0.25
	// failedFractionRatio is the ratio to the failed fraction of the fleet above which a server is an outlier. Failures
	// that all servers have alike are not the fault of a single one.
	failedFractionRatio = 2
	// minUsefulSuccessFraction is the fraction of successful attempts below which a server does not help even a fleet
	// under load, so that it is ejected whether or not the other servers can replace it.
	minUsefulSuccessFraction = 1.0 / 3
	// unresponsiveReportCycles is the number of report cycles without a success after which a server may count as
	// unresponsive. The rate of reports is limited, so it takes a cycle until all servers have been reported.
	unresponsiveReportCycles = 3
	// minUnansweredAttempts is the expected number of unanswered attempts that makes a server unresponsive. The
	// probability that a healthy server reaches it by chance is 1 in 3000.
	minUnansweredAttempts = 8
	// overloadedUtilization is the utilization from which a server is overloaded. Balancing cuts its weight instead of
	// ejecting it.
	overloadedUtilization = 0.9

	// maxLatencyFactor is the highest accepted ratio of the latency of an idle server to its best latency, as specified
	// by the balancer's design, docs/design/decisions.md.
	maxLatencyFactor = 1.5
	// minIdleFraction limits by how much a high utilization raises the accepted latency.
	minIdleFraction = 0.05

	// maxEjectedFraction is the largest fraction of the servers that may be ejected at a time, as specified by the
	// balancer's design, docs/design/decisions.md.
	maxEjectedFraction = 1.0 / 3
	// minEjectionDuration is the duration of the first ejection. Each further one doubles it.
	minEjectionDuration = balanceInterval
	// maxEjectionDuration is the longest ejection: 8 balance intervals.
	maxEjectionDuration = 16 * fleet.Second
	// returnGracePeriod is the time after an ejection in which a server does not count as unresponsive.
	returnGracePeriod = balanceInterval
)

// updateHealth sets the health factor of each ready server: it ejects outliers for a limited time, reduces the load of
// servers with a high latency and restores that of the others in steps.
func (b *Balancer) updateHealth() {
	health := b.measureFleetHealth()
	for _, server := range b.endpoints.ready {
		mayEject := server.healthFactor > 0 && server.longWindow.utilization < overloadedUtilization
		unresponsive := b.isUnresponsive(server, &health)
		switch {
		case mayEject && (unresponsive || isFailing(server, &health)):
			b.eject(server, unresponsive, &health)
		case server.healthFactor == 0 && b.now >= server.ejectedUntil:
			server.healthFactor = initialHealthFactor
			server.lastSuccessAt = b.now + returnGracePeriod
		case server.healthFactor == 0: // remains ejected
		case exceedsLatencyBound(server):
			b.reduceForLatency(server)
		default:
			server.restoreHealth()
		}
	}
}

// fleetHealth is the state of the fleet that single servers are compared with, so that no server is ejected for a
// fault that all of them share.
type fleetHealth struct {
	ejectedCount      float64
	healthyCapacity   float64 // attempts per second, without servers that were ejected in this round
	requestRate       float64 // attempts per second
	maxFailedFraction float64
	maxSilence        fleet.Time
}

func (b *Balancer) measureFleetHealth() fleetHealth {
	health := fleetHealth{
		maxFailedFraction: max(minFailedFraction, failedFractionRatio*b.estimates.failedFraction),
		maxSilence:        unresponsiveReportCycles * b.estimates.reportCycle,
	}
	for _, server := range b.endpoints.ready {
		health.healthyCapacity += server.capacity * server.healthFactor
		if server.healthFactor == 0 {
			health.ejectedCount++
		}
	}
	health.requestRate = b.estimates.meanUtilization * health.healthyCapacity
	return health
}

// isUnresponsive reports whether a server has had many attempts and no success, while outcomes of other servers were
// reported.
func (b *Balancer) isUnresponsive(server *serverState, health *fleetHealth) bool {
	silence := b.estimates.latestOutcomeAt - server.lastSuccessAt
	return silence > health.maxSilence && server.requestRate*silence.Seconds() > minUnansweredAttempts
}

// isFailing reports whether a server fails far more attempts than the fleet does. A server that still succeeds with
// some attempts counts as failing only if the other servers have the capacity to replace it.
func isFailing(server *serverState, health *fleetHealth) bool {
	failures := server.longWindow.attempts - server.longWindow.successes
	if failures < max(minFailures, server.longWindow.attempts*health.maxFailedFraction) {
		return false
	}
	if server.shortWindow.successes < minUsefulSuccessFraction*server.shortWindow.attempts {
		return true
	}
	otherCapacity := health.healthyCapacity - server.capacity*server.healthFactor
	return health.requestRate < maxTargetUtilization*otherCapacity
}

// exceedsLatencyBound reports whether the latency of a server is higher than its utilization explains.
func exceedsLatencyBound(server *serverState) bool {
	if server.bestLatency <= 0 {
		return false
	}
	idleFraction := max(minIdleFraction, min(1, 1-server.longWindow.utilization))
	return server.longWindow.latency > server.bestLatency.Scale(maxLatencyFactor/idleFraction)
}

// eject removes all load from an outlier for a limited time or, if too many servers are ejected already, most of its
// load.
func (b *Balancer) eject(server *serverState, unresponsive bool, health *fleetHealth) {
	health.healthyCapacity -= server.capacity * server.healthFactor
	server.ejectionDuration = min(maxEjectionDuration, max(minEjectionDuration, 2*server.ejectionDuration))
	server.ejectedUntil = b.now + server.ejectionDuration
	server.healthFactor = initialHealthFactor
	if health.ejectedCount+1 <= float64(len(b.endpoints.ready))*maxEjectedFraction {
		server.healthFactor = 0
		health.ejectedCount++
	}
	failures := server.longWindow.attempts - server.longWindow.successes
	b.emit(fleet.LogMessage{Text: fmt.Sprintf(
		"server %d ejected for %.0f s: unresponsive: %v, failed attempts: %.0f of %.0f",
		server.Server, server.ejectionDuration.Seconds(), unresponsive, failures, server.longWindow.attempts)})
	server.samples = server.samples[:0]
}

// reduceForLatency reduces the load of a server with a high latency, once until the latency is within bounds again. A
// server at or above its target load is left to the balancing of weights, as the load explains the latency.
func (b *Balancer) reduceForLatency(server *serverState) {
	if server.reducedForLatency || server.requestRate >= server.capacity*b.estimates.targetUtilization {
		return
	}
	server.healthFactor = max(minReducedHealthFactor, server.healthFactor/latencyReductionDivisor)
	server.reducedForLatency = true
}

// restoreHealth raises the health factor of a healthy server by one step.
func (s *serverState) restoreHealth() {
	s.healthFactor = min(1, s.healthFactor+healthRecoveryStep)
	s.reducedForLatency = false
	if s.healthFactor == 1 {
		s.ejectionDuration = 0
	}
}

package balancer

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	// initialHealthFactor is the health factor of new and returning servers, and of outliers that the others cannot
	// replace.
	initialHealthFactor = 0.25
	// minReducedHealthFactor bounds the reductions for latency.
	minReducedHealthFactor = 0.25
	// healthRecoveryStep is what a healthy server regains of its health factor per balance interval.
	healthRecoveryStep = 0.25
	// latencyReduction is the divisor of the health factor of a server that is late.
	latencyReduction = 2

	// minFailures is how many failed attempts make an outlier: fewer are chance.
	minFailures = 3
	// minFailedFraction is the smallest part of failed attempts that makes an outlier.
	minFailedFraction = 0.25
	// failedFractionRatio is how far the failures of an outlier exceed those of the fleet, which none is blamed for.
	failedFractionRatio = 2
	// minUsefulSuccessFraction is the part of successful attempts below which a server is of no help to a fleet under
	// load.
	minUsefulSuccessFraction = 1.0 / 3
	// silentReportCycles is how many report cycles pass before a server without successes is silent: reports take turns.
	silentReportCycles = 3
	// minUnansweredAttempts is how many attempts a silent server has left unanswered; by chance that is 1 in 3000.
	minUnansweredAttempts = 8
	// overloadedUtilization is the utilization from which a server is overloaded: its weight is cut, it is not ejected.
	overloadedUtilization = 0.9

	// maxLatencyFactor is the design's bound of latency, over the best latency of the server at rest.
	maxLatencyFactor = 1.5
	// minIdleFraction bounds how much a high utilization excuses of the latency.
	minIdleFraction = 0.05

	// maxEjectedFraction is the design's bound of the servers that are ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// minEjectionDuration is the duration of the first ejection; it doubles with each one that follows.
	minEjectionDuration = balanceInterval
	// maxEjectionDuration is where it stops doubling, after 8 balance intervals.
	maxEjectionDuration = 16 * fleet.Second
	// returnGracePeriod is the time in which a returning server may be silent.
	returnGracePeriod = balanceInterval
)

// updateHealth sets the health factor of each ready server: it ejects outliers for a while, reduces the load of
// servers that are late and restores that of the others step by step.
func (b *Balancer) updateHealth() {
	health := b.measureFleetHealth()
	for _, server := range b.endpoints.ready {
		mayEject := server.healthFactor > 0 && server.longWindow.utilization < overloadedUtilization
		silent := b.isSilent(server, &health)
		switch {
		case mayEject && (silent || isFailing(server, &health)):
			b.eject(server, silent, &health)
		case server.healthFactor == 0 && b.now >= server.ejectedUntil:
			server.healthFactor = initialHealthFactor
			server.lastSuccessAt = b.now + returnGracePeriod
		case server.healthFactor == 0: // remains ejected
		case isLate(server):
			b.reduceForLatency(server)
		default:
			server.restoreHealth()
		}
	}
}

// fleetHealth is what single servers are compared with, so that none is ejected for what all of them do.
type fleetHealth struct {
	ejectedCount      float64
	healthyCapacity   float64 // attempts per second, less than the capacity of servers ejected in this round
	requestRate       float64 // attempts per second
	maxFailedFraction float64
	maxSilence        fleet.Time
}

func (b *Balancer) measureFleetHealth() fleetHealth {
	health := fleetHealth{
		maxFailedFraction: max(minFailedFraction, failedFractionRatio*b.estimates.failedFraction),
		maxSilence:        silentReportCycles * b.estimates.reportCycle,
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

// isSilent reports whether a server has left many attempts without success while others were reported on.
func (b *Balancer) isSilent(server *serverState, health *fleetHealth) bool {
	silence := b.estimates.latestOutcomeAt - server.lastSuccessAt
	return silence > health.maxSilence && server.requestRate*silence.Seconds() > minUnansweredAttempts
}

// isFailing reports whether a server fails far more attempts than the fleet does. One that still succeeds with some
// is failing only if the other servers have the capacity to replace it.
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

// isLate reports whether the latency of a server exceeds what its utilization explains.
func isLate(server *serverState) bool {
	if server.bestLatency <= 0 {
		return false
	}
	idleFraction := max(minIdleFraction, min(1, 1-server.longWindow.utilization))
	return server.longWindow.latency > server.bestLatency.Scale(maxLatencyFactor/idleFraction)
}

// eject takes all load from an outlier for a while or, where too many servers are ejected already, most of it.
func (b *Balancer) eject(server *serverState, silent bool, health *fleetHealth) {
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
		server.Server, server.ejectionDuration.Seconds(), silent, failures, server.longWindow.attempts)})
	server.samples = server.samples[:0]
}

// reduceForLatency reduces the load of a late server, once until it is on time again. One that gets its target load
// or more is late for that reason, and the balancing of weights relieves it.
func (b *Balancer) reduceForLatency(server *serverState) {
	if server.reducedForLatency || server.requestRate >= server.capacity*b.estimates.targetUtilization {
		return
	}
	server.healthFactor = max(minReducedHealthFactor, server.healthFactor/latencyReduction)
	server.reducedForLatency = true
}

// restoreHealth restores a step of the health factor of a healthy server.
func (s *serverState) restoreHealth() {
	s.healthFactor = min(1, s.healthFactor+healthRecoveryStep)
	s.reducedForLatency = false
	if s.healthFactor == 1 {
		s.ejectionDuration = 0
	}
}

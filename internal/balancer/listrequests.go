package balancer

import "cressknot/internal/fleet"

const (
	// retryFraction is the part of the time that the drain timeout leaves after an outage that may pass until the next
	// attempt. The other side has the rest to answer it.
	retryFraction = 2.0 / 3
	// minRetryInterval limits the load by attempts on sites whose drain timeout leaves no time. Where it leaves much,
	// maxRetryInterval bounds how long servers that started in the outage wait.
	minRetryInterval = timerInterval
	maxRetryInterval = 5 * fleet.Second
	// listRequestJitter is the random fraction of the interval between two list requests.
	listRequestJitter = 0.25
	// pollIntervalDivisor limits the interval to half the poll interval.
	pollIntervalDivisor = 2
)

// listRequests schedules the requests for the endpoint list. Discovery may be unreachable when a server starts to
// drain, and the drain timeout does not wait for its return. So the interval between failing requests does not grow: it
// is bounded by what the drain timeout leaves, however long the outage lasts. docs/design/decisions.md has the sum.
type listRequests struct {
	sentAt fleet.Time // latest request
	dueAt  fleet.Time // next request; 0: none is scheduled
}

// NextListRequest returns when the endpoint list is requested next, 0 if no request is scheduled.
func (b *Balancer) NextListRequest() fleet.Time { return b.listRequests.dueAt }

// scheduleListRequest schedules the next request for the endpoint list after one has failed. Requests follow each other
// at a bounded interval. After a request that took longer, as a watch that has ended, the next follows at a random time
// within that interval, as many controllers may have lost their watches at once.
func (b *Balancer) scheduleListRequest() {
	interval := MaxRetryInterval(&b.site)
	dueAt := b.listRequests.sentAt + interval.Scale(1-listRequestJitter*b.random.float64())
	if dueAt <= b.now {
		dueAt = b.now + interval.Scale(b.random.float64())
	}
	b.listRequests.dueAt = dueAt
	b.emit(fleet.SetTimer{Delay: dueAt - b.now})
}

// MaxRetryInterval returns the longest time between two attempts to reach discovery, the relay or a proxy while they
// fail. It is bounded by what the drain timeout leaves after the delivery of a withdrawal.
func MaxRetryInterval(site *fleet.Site) fleet.Time {
	left := site.DrainTimeout - maxWithdrawalDelay(site)
	interval := min(maxRetryInterval, max(minRetryInterval, left.Scale(retryFraction)))
	if site.MaxPollInterval > 0 {
		interval = min(interval, site.MaxPollInterval/pollIntervalDivisor)
	}
	return interval
}

// maxWithdrawalDelay returns the longest time from a list with a draining server until proxies apply the withdrawal, if
// ordinary updates were sent just before. The withdrawal then waits for the next message to all proxies, which a timer
// sends, while the channel delivers those updates.
func maxWithdrawalDelay(site *fleet.Site) fleet.Time {
	backlogSeconds := usableBacklogFraction * site.MaxBacklog / max(epsilon, site.EntriesPerSecond)
	return max(broadcastInterval(site)+timerInterval, fleet.Second.Scale(backlogSeconds)) + site.MaxUpdateDelay
}

// isListRequestDue reports whether the endpoint list is to be requested in this step.
func (b *Balancer) isListRequestDue() bool {
	return b.listRequests.dueAt > 0 && b.listRequests.dueAt <= b.now
}

// emitListRequest requests the endpoint list if a request is due.
func (b *Balancer) emitListRequest() {
	if !b.isListRequestDue() {
		return
	}
	b.listRequests = listRequests{sentAt: b.now}
	b.emit(fleet.WatchEndpoints{Enabled: true})
}

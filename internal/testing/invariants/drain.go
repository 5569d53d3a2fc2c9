package invariants

import (
	"cmp"
	"fmt"
	"time"
)

// interval is a period of time. A zero end means that it has not ended.
type interval struct{ from, to time.Duration }

// contains reports whether a time is within the interval. An interval without an end extends to the given end.
func (i interval) contains(at, end time.Duration) bool {
	return at >= i.from && at < cmp.Or(i.to, end)
}

// checkDrain finds attempts that proxies sent to a node more than the drain timeout after their controller was notified
// that the node is not ready. Time without a session between proxy and controller does not count.
func (w *Watch) checkDrain(limits Limits) RuleResult {
	v := RuleResult{Rule: RuleDrain}
	notReady := w.notReadyIntervals()
	for _, intervals := range notReady {
		v.Tested += len(intervals)
	}
	sessions := map[string][]interval{}
	for _, s := range w.sessions {
		sessions[s.proxy] = append(sessions[s.proxy], interval{s.from, s.to})
	}
	end := w.now()
	latest := time.Duration(0)
	for _, a := range w.attempts {
		for _, drained := range notReady[controllerNode{w.owner(a.proxy, a.at), a.node}] {
			if !drained.contains(a.at, end) {
				continue
			}
			for _, connected := range sessions[a.proxy] {
				if !connected.contains(a.at, end) {
					continue
				}
				delay := a.at - max(drained.from, connected.from)
				latest = max(latest, delay)
				if delay > limits.DrainTimeout+limits.Slack {
					v.violate(a.at, "proxy %s sent an attempt to node %s %.2f s after its connected controller was notified "+
						"that the node is not ready; limit %.2f s plus %.2f s slack",
						a.proxy, a.node, delay.Seconds(), limits.DrainTimeout.Seconds(), limits.Slack.Seconds())
				}
			}
		}
	}
	v.Observed = fmt.Sprintf("%d drains and losses notified; latest attempt %.2f s after the notification, limit %.2f s",
		v.Tested, latest.Seconds(), limits.DrainTimeout.Seconds())
	return v
}

// notReadyIntervals returns, for each controller and node, the intervals in which the endpoint list that the controller
// was last sent had the node as not ready.
func (w *Watch) notReadyIntervals() map[controllerNode][]interval {
	all := map[controllerNode][]interval{}
	for _, n := range w.notifications {
		key := controllerNode{n.controller, n.node}
		intervals := all[key]
		open := len(intervals) > 0 && intervals[len(intervals)-1].to == 0
		switch {
		case n.state == stateReady && open:
			intervals[len(intervals)-1].to = n.at
		case n.state != stateReady && !open:
			all[key] = append(intervals, interval{from: n.at})
		}
	}
	return all
}

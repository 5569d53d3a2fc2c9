package invariants

import (
	"fmt"
	"time"
)

const (
	// maxNotifiedFraction is the fraction of the work on an overloaded node that may come from proxies whose controller
	// was notified of the slow start.
	maxNotifiedFraction = 2.0 / 3
	// startTolerance is the largest difference between two records of the same start.
	startTolerance = time.Millisecond
)

// checkSlowStart finds nodes that were overloaded during slow start by proxies whose controller was notified of it.
func (w *Watch) checkSlowStart(limits Limits) RuleResult {
	v := RuleResult{Rule: RuleSlowStart, Tested: w.slowStartRequests}
	for _, o := range w.overloads {
		totalWork := 0.0
		notifiedWork := 0.0
		for proxy, work := range o.workByProxy {
			totalWork += work
			if w.wasNotifiedOfStart(proxy, o, limits) {
				notifiedWork += work
			}
		}
		if notifiedWork > totalWork*maxNotifiedFraction {
			v.violate(o.at, "node %s was overloaded %.1f s after its start; %.0f%% of the work came from proxies "+
				"whose controller was notified of the start, limit %.0f%%",
				o.node, (o.at - o.started).Seconds(), 100*notifiedWork/totalWork, 100*maxNotifiedFraction)
		}
	}
	v.Observed = fmt.Sprintf("%d requests at nodes in slow start, %d overloads", w.slowStartRequests, len(w.overloads))
	return v
}

// wasNotifiedOfStart reports whether a proxy's controller was notified of a node's start at least the drain timeout
// before the overload, or sent the proxy a message between the notification and the overload.
func (w *Watch) wasNotifiedOfStart(proxy string, o overload, limits Limits) bool {
	lastMessage := time.Duration(-1)
	for _, m := range w.messages {
		if m.proxy == proxy && m.at <= o.at {
			lastMessage = m.at
		}
	}
	for _, n := range w.history(w.owner(proxy, o.at), o.node) {
		if !n.slowStart || n.started < o.started-startTolerance {
			continue
		}
		if n.at+limits.DrainTimeout <= o.at || lastMessage > n.at {
			return true
		}
	}
	return false
}

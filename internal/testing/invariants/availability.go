package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// readinessResolution is the sampling interval for the readiness of listed servers.
const readinessResolution = 50 * time.Millisecond

// checkAvailability finds connected proxies that had no usable entry for a class while their controller's endpoint list
// had a warmed-up server.
func (w *Watch) checkAvailability(limits Limits) RuleResult {
	v := RuleResult{Rule: RuleAvailability, Tested: w.usabilityChecks}
	end := w.now()
	longest := time.Duration(0)
	place := ""
	for _, period := range w.unusable {
		periodEnd := cmp.Or(period.to, end)
		for _, s := range w.sessions {
			if s.proxy != period.proxy {
				continue
			}
			from := max(period.from, s.from)
			to := min(periodEnd, cmp.Or(s.to, end))
			if to <= from {
				continue
			}
			unserved := w.longestReadyPeriod(w.owner(period.proxy, from), from, to, limits)
			if unserved > longest {
				longest = unserved
				place = fmt.Sprintf(" (proxy %s, class %s, at %.2f s)", period.proxy, period.class, from.Seconds())
			}
			if unserved > limits.MaxUnusable+limits.Slack {
				v.violate(from, "proxy %s had no usable entry for class %s for %.2f s while a warmed-up server was listed; "+
					"limit %.2f s plus %.2f s slack",
					period.proxy, period.class, unserved.Seconds(), limits.MaxUnusable.Seconds(), limits.Slack.Seconds())
			}
		}
	}
	v.Observed = fmt.Sprintf("longest time without a usable entry %.3f s, limit %.2f s%s; %d periods without one",
		longest.Seconds(), limits.MaxUnusable.Seconds(), place, len(w.unusable))
	return v
}

// longestReadyPeriod returns the longest continuous time within [from, to) in which the controller's endpoint list had
// a warmed-up, ready node.
func (w *Watch) longestReadyPeriod(controller string, from, to time.Duration, limits Limits) time.Duration {
	nodes := map[string]bool{}
	for _, n := range w.notifications {
		if n.controller == controller {
			nodes[n.node] = true
		}
	}
	var histories [][]notification
	for node := range nodes {
		histories = append(histories, w.history(controller, node))
	}
	longest := time.Duration(0)
	ready := time.Duration(0)
	for at := from; at < to; at += readinessResolution {
		if slices.ContainsFunc(histories, func(h []notification) bool { return isWarmAndReady(h, at, limits) }) {
			ready += readinessResolution
		} else {
			ready = 0
		}
		longest = max(longest, ready)
	}
	return longest
}

// isWarmAndReady reports whether a node was listed as ready and past its slow start at a time. The history is sorted
// by time.
func isWarmAndReady(history []notification, at time.Duration, limits Limits) bool {
	next, _ := slices.BinarySearchFunc(history, at, func(n notification, at time.Duration) int {
		return cmp.Compare(n.at, at)
	})
	if next == 0 {
		return false
	}
	last := history[next-1]
	return last.state == stateReady && (!last.slowStart || at >= last.started+limits.SlowStartDuration)
}

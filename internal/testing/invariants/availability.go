package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// readinessStep is the resolution at which the readiness of servers is followed.
const readinessStep = 50 * time.Millisecond

// judgeAvailability finds connected proxies without a usable entry for a class while a warmed-up server was listed.
func (w *Watch) judgeAvailability(f Figures) Verdict {
	v := Verdict{Rule: RuleAvailability, Tested: w.usabilityChecks}
	end := w.now()
	longest := time.Duration(0)
	place := ""
	for _, span := range w.unusable {
		spanEnd := cmp.Or(span.to, end)
		for _, s := range w.sessions {
			if s.proxy != span.proxy {
				continue
			}
			from := max(span.from, s.from)
			to := min(spanEnd, cmp.Or(s.to, end))
			if to <= from {
				continue
			}
			lacked := w.longestReady(w.owner(span.proxy, from), from, to, f)
			if lacked > longest {
				longest = lacked
				place = fmt.Sprintf(" (proxy %s, class %s, at %.2f s)", span.proxy, span.class, from.Seconds())
			}
			if lacked > f.MaxUnusable+f.Slack {
				v.violate(from, "proxy %s had no usable entry for class %s for %.2f s while a warmed-up server was listed; "+
					"limit %.2f s plus %.2f s slack",
					span.proxy, span.class, lacked.Seconds(), f.MaxUnusable.Seconds(), f.Slack.Seconds())
			}
		}
	}
	v.Seen = fmt.Sprintf("longest time without a usable entry %.3f s, limit %.2f s%s; %d periods without one",
		longest.Seconds(), f.MaxUnusable.Seconds(), place, len(w.unusable))
	return v
}

// longestReady returns the longest time within [from, to) in which the controller's list had a warmed-up, ready node.
func (w *Watch) longestReady(controller string, from, to time.Duration, f Figures) time.Duration {
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
	for at := from; at < to; at += readinessStep {
		if slices.ContainsFunc(histories, func(h []notification) bool { return warmAndReady(h, at, f) }) {
			ready += readinessStep
		} else {
			ready = 0
		}
		longest = max(longest, ready)
	}
	return longest
}

// warmAndReady reports whether a node was listed as ready and warmed up at a time.
func warmAndReady(history []notification, at time.Duration, f Figures) bool {
	next, _ := slices.BinarySearchFunc(history, at, func(n notification, at time.Duration) int {
		return cmp.Compare(n.at, at)
	})
	if next == 0 {
		return false
	}
	last := history[next-1]
	return last.state == stateReady && (!last.slowStart || at >= last.started+f.SlowStartDuration)
}

package invariants

import (
	"cmp"
	"fmt"
	"time"
)

// interval is a time from one moment to another; to: 0 while it lasts.
type interval struct{ from, to time.Duration }

// contains reports whether a moment is within the interval, which ends at the given time if it lasts.
func (i interval) contains(at, end time.Duration) bool {
	return at >= i.from && at < cmp.Or(i.to, end)
}

// judgeDrain finds attempts that proxies sent to nodes long after their controller knew that these were not ready.
func (w *Watch) judgeDrain(f Figures) Verdict {
	v := Verdict{Rule: RuleDrain}
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
				late := a.at - max(drained.from, connected.from)
				latest = max(latest, late)
				if late > f.DrainTimeout+f.Slack {
					v.violate(a.at, "proxy %s sent an attempt to node %s %.2f s after its connected controller was notified "+
						"that the node is not ready; limit %.2f s plus %.2f s slack",
						a.proxy, a.node, late.Seconds(), f.DrainTimeout.Seconds(), f.Slack.Seconds())
				}
			}
		}
	}
	v.Seen = fmt.Sprintf("%d drains and losses notified; latest attempt %.2f s after the notification, limit %.2f s",
		v.Tested, latest.Seconds(), f.DrainTimeout.Seconds())
	return v
}

// notReadyIntervals returns when each controller knew that a node was not ready.
func (w *Watch) notReadyIntervals() map[controllerNode][]interval {
	all := map[controllerNode][]interval{}
	for _, n := range w.notifications {
		key := controllerNode{n.controller, n.node}
		intervals := all[key]
		lasts := len(intervals) > 0 && intervals[len(intervals)-1].to == 0
		switch {
		case n.state == stateReady && lasts:
			intervals[len(intervals)-1].to = n.at
		case n.state != stateReady && !lasts:
			all[key] = append(intervals, interval{from: n.at})
		}
	}
	return all
}

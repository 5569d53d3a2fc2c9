package invariants

import (
	"fmt"
	"time"
)

const (
	// maxKnowingFraction is the part of the work that may come from proxies whose controller knew of the slow start.
	maxKnowingFraction = 2.0 / 3
	// startTolerance bounds the difference of two records of the same start.
	startTolerance = time.Millisecond
)

// judgeSlowStart finds nodes that were overloaded during slow start by proxies whose controller knew of it.
func (w *Watch) judgeSlowStart(f Figures) Verdict {
	v := Verdict{Rule: RuleSlowStart, Tested: w.slowStartRequests}
	for _, o := range w.overloads {
		sum := 0.0
		knowing := 0.0
		for proxy, work := range o.workByProxy {
			sum += work
			if w.knewOfStart(proxy, o, f) {
				knowing += work
			}
		}
		if knowing > sum*maxKnowingFraction {
			v.violate(o.at, "node %s was overloaded %.1f s after its start; %.0f%% of the work came from proxies "+
				"whose controller was notified of the start, limit %.0f%%",
				o.node, (o.at - o.started).Seconds(), 100*knowing/sum, 100*maxKnowingFraction)
		}
	}
	v.Seen = fmt.Sprintf("%d requests at nodes in slow start, %d overloads", w.slowStartRequests, len(w.overloads))
	return v
}

// knewOfStart reports whether a proxy's controller was notified of a node's start early enough, or has sent the proxy a
// message since.
func (w *Watch) knewOfStart(proxy string, o overload, f Figures) bool {
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
		if n.at+f.DrainTimeout <= o.at || lastMessage > n.at {
			return true
		}
	}
	return false
}

package invariants

import (
	"fmt"
	"time"
)

// checkQueue finds controllers whose update queue was too long, and proxies that received more messages than allowed.
func (w *Watch) checkQueue(limits Limits) RuleResult {
	v := RuleResult{Rule: RuleQueue, Tested: len(w.messages)}
	byController := map[string][]message{}
	byProxy := map[string][]message{}
	for _, m := range w.messages {
		controller := w.owner(m.proxy, m.at)
		byController[controller] = append(byController[controller], m)
		byProxy[m.proxy] = append(byProxy[m.proxy], m)
	}
	longestBurst := 0.0
	for controller, messages := range byController {
		longestBurst = max(longestBurst, checkBursts(&v, controller, messages, limits))
	}
	mostMessages := 0
	for proxy, messages := range byProxy {
		mostMessages = max(mostMessages, checkMessageRate(&v, proxy, messages, limits))
	}
	v.Observed = fmt.Sprintf("largest burst %.0f entries, limit %.0f entries; most messages to one proxy within %s: %d",
		longestBurst, limits.Backlog, limits.MessagesOver, mostMessages)
	return v
}

const (
	// maxPauseFactor and burstPauseSeconds bound the pause before a message that does not end a burst: maxPauseFactor
	// times the duration of the message at the channel's rate, plus burstPauseSeconds.
	maxPauseFactor    = 4
	burstPauseSeconds = 0.1
	// minBurstRateFraction is the fraction of the channel's rate below which a burst is no evidence of a queue.
	minBurstRateFraction = 0.5
)

// checkBursts finds bursts of more entries than may be queued. A burst is a sequence of messages that a controller sent
// without a pause at about the full rate of its channel; had all its entries been ready when it began, they would have
// been queued. It returns the largest burst in entries.
func checkBursts(v *RuleResult, controller string, messages []message, limits Limits) float64 {
	longest := 0.0
	burstStart := time.Duration(-1)
	entries := 0.0
	for i, m := range messages {
		cost := limits.MessageOverhead + float64(m.entries)
		if i > 0 {
			pause := (m.at - messages[i-1].at).Seconds()
			if pause*limits.EntriesPerSecond > maxPauseFactor*cost+limits.EntriesPerSecond*burstPauseSeconds {
				burstStart = -1
				entries = 0
			}
		}
		if burstStart < 0 {
			burstStart = m.at
		}
		entries += cost
		longest = max(longest, entries)
		duration := (m.at - burstStart).Seconds()
		if entries > limits.Backlog && entries > duration*limits.EntriesPerSecond*minBurstRateFraction {
			v.violate(m.at, "controller %s sent %.0f entries, message overhead included, in a burst of %.2f s; "+
				"limit %.0f entries",
				controller, entries, duration, limits.Backlog)
			burstStart = -1
			entries = 0
		}
	}
	return longest
}

// checkMessageRate finds a proxy that received too many messages within the window. It returns the largest number of
// messages within one window up to the first violation.
func checkMessageRate(v *RuleResult, proxy string, messages []message, limits Limits) int {
	largest := 0
	for i, m := range messages {
		recent := 0
		for j := i; j >= 0 && messages[j].at > m.at-limits.MessagesOver; j-- {
			recent++
		}
		largest = max(largest, recent)
		if limits.Messages > 0 && recent > limits.Messages {
			v.violate(m.at, "proxy %s received %d messages within %s; limit %d",
				proxy, recent, limits.MessagesOver, limits.Messages)
			break
		}
	}
	return largest
}

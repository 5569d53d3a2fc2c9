package invariants

import (
	"fmt"
	"time"
)

// judgeQueue finds update queues that were too long, and proxies that got too many messages where these are limited.
func (w *Watch) judgeQueue(f Figures) Verdict {
	v := Verdict{Rule: RuleQueue, Tested: len(w.messages)}
	byController := map[string][]message{}
	byProxy := map[string][]message{}
	for _, m := range w.messages {
		controller := w.owner(m.proxy, m.at)
		byController[controller] = append(byController[controller], m)
		byProxy[m.proxy] = append(byProxy[m.proxy], m)
	}
	longestBurst := 0.0
	for controller, messages := range byController {
		longestBurst = max(longestBurst, judgeBursts(&v, controller, messages, f))
	}
	mostMessages := 0
	for proxy, messages := range byProxy {
		mostMessages = max(mostMessages, judgeMessageRate(&v, proxy, messages, f))
	}
	v.Seen = fmt.Sprintf("largest burst %.0f entries, limit %.0f entries; most messages to one proxy within %s: %d",
		longestBurst, f.Backlog, f.MessagesOver, mostMessages)
	return v
}

const (
	// maxPauseFactor is how many times longer than its own entries take a pause before a message may be without ending
	// the burst; burstPause, in seconds, is added.
	maxPauseFactor = 4
	burstPause     = 0.1
	// minBurstPace is the part of the channel's rate below which a burst does not show a queue.
	minBurstPace = 0.5
)

// judgeBursts finds a queue that was too long by how many entries a controller sent without a pause at about the full
// rate of its channel: they must have waited somewhere had all been ordered when the burst began. It returns the
// longest burst in entries.
func judgeBursts(v *Verdict, controller string, messages []message, f Figures) float64 {
	longest := 0.0
	began := time.Duration(-1)
	entries := 0.0
	for i, m := range messages {
		cost := f.MessageOverhead + float64(m.entries)
		if i > 0 {
			pause := (m.at - messages[i-1].at).Seconds()
			if pause*f.EntriesPerSecond > maxPauseFactor*cost+f.EntriesPerSecond*burstPause {
				began = -1
				entries = 0
			}
		}
		if began < 0 {
			began = m.at
		}
		entries += cost
		longest = max(longest, entries)
		duration := (m.at - began).Seconds()
		if entries > f.Backlog && entries > duration*f.EntriesPerSecond*minBurstPace {
			v.violate(m.at, "controller %s sent %.0f entries, message overhead included, in a burst of %.2f s; "+
				"limit %.0f entries",
				controller, entries, duration, f.Backlog)
			began = -1
			entries = 0
		}
	}
	return longest
}

// judgeMessageRate finds too many messages to a proxy. It returns the largest number up to the first violation.
func judgeMessageRate(v *Verdict, proxy string, messages []message, f Figures) int {
	largest := 0
	for i, m := range messages {
		recent := 0
		for j := i; j >= 0 && messages[j].at > m.at-f.MessagesOver; j-- {
			recent++
		}
		largest = max(largest, recent)
		if f.Messages > 0 && recent > f.Messages {
			v.violate(m.at, "proxy %s received %d messages within %s; limit %d", proxy, recent, f.MessagesOver, f.Messages)
			break
		}
	}
	return largest
}

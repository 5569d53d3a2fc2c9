package invariants

import (
	"fmt"
	"time"
)

// Idempotency says what repeating a request would do.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// Class is a request class as the rules need it.
type Class struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationWindow time.Duration // of IdempotentWithKey
}

// repetitionLimit says, for violation texts, when a request of the class may be repeated.
func (c Class) repetitionLimit() string {
	if c.Idempotency == NotIdempotent {
		return "class is not idempotent"
	}
	return fmt.Sprintf("deduplication window %.2f s", c.DeduplicationWindow.Seconds())
}

// Figures are the limits of the rules.
type Figures struct {
	Classes           []Class
	MaxUnusable       time.Duration // how long a connected proxy may lack a usable entry for a class
	DrainTimeout      time.Duration // for drains, and until a controller counts as knowing of a start
	SlowStartDuration time.Duration
	SlowStartFraction float64
	OverloadFactor    float64
	OverloadWindow    time.Duration
	EntriesPerSecond  float64 // entries per second of each controller's update channel
	Backlog           float64 // entries that may wait
	MessageOverhead   float64 // entries that a message counts for, beside its own
	Messages          int     // to one proxy within MessagesOver; 0: no limit
	MessagesOver      time.Duration
	Slack             time.Duration // of a loaded machine: simulated parts look at their clocks this much late
}

// Break is one violation of a rule.
type Break struct {
	Rule string
	At   time.Duration
	What string
}

// Verdict is a rule, how often it was tested and how it broke.
type Verdict struct {
	Rule   string  `json:"rule"`
	Tested int     `json:"tried"`
	Seen   string  `json:"seen"`   // the nearest that it came to breaking
	Breaks []Break `json:"breaks"` // none: the rule held
}

// violate adds a violation.
func (v *Verdict) violate(at time.Duration, format string, args ...any) {
	v.Breaks = append(v.Breaks, Break{v.Rule, at, fmt.Sprintf(format, args...)})
}

// Names of the rules.
const (
	RuleAvailability     = "nobody left without a server"
	RuleNoDuplicates     = "no effect twice"
	RuleDrain            = "drains kept"
	RuleSlowStart        = "no cold server pushed over"
	RuleQueue            = "a short queue"
	RuleSingleController = "one governor at a time" // judged where several may serve a proxy
	RuleNoRollback       = "versions never go back" // of a table at a proxy
)

// Judge judges what was observed until now.
func (w *Watch) Judge(f Figures) []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdicts := []Verdict{
		w.judgeAvailability(f),
		w.judgeDuplicates(f),
		w.judgeDrain(f),
		w.judgeSlowStart(f),
		w.judgeQueue(f),
	}
	if w.commands > 0 {
		verdicts = append(verdicts, Verdict{
			Rule:   RuleSingleController,
			Tested: w.commands,
			Seen:   fmt.Sprintf("%d commands executed at %d proxies", w.commands, len(w.epochs)),
			Breaks: w.outdatedCommands,
		})
	}
	if w.versions > 0 {
		verdicts = append(verdicts, Verdict{
			Rule:   RuleNoRollback,
			Tested: w.versions,
			Seen:   fmt.Sprintf("%d versions received", w.versions),
			Breaks: w.rollbacks,
		})
	}
	return verdicts
}

package invariants

import (
	"fmt"
	"time"
)

// Idempotency is the effect of executing a request of a class more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // repetitions are harmless
	IdempotentWithKey                    // repetitions are harmless within the class's deduplication window
	NotIdempotent                        // repetitions repeat the side effect
)

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationWindow time.Duration // from the first attempt; for IdempotentWithKey only
}

// repetitionLimit says, for violation texts, when a request of the class may be repeated.
func (c Class) repetitionLimit() string {
	if c.Idempotency == NotIdempotent {
		return "class is not idempotent"
	}
	return fmt.Sprintf("deduplication window %.2f s", c.DeduplicationWindow.Seconds())
}

// Limits are the limits of the rules, and the properties of the simulated servers and update channels behind them.
type Limits struct {
	Classes           []Class
	MaxUnusable       time.Duration // longest time a connected proxy may be without a usable entry for a class
	DrainTimeout      time.Duration // after a notification, until a drain or a slow start must be applied
	SlowStartDuration time.Duration // after a server's start
	SlowStartFraction float64       // capacity at the start of a slow start, as a fraction of full capacity
	OverloadFactor    float64       // work that overloads a node in slow start, relative to its present capacity
	OverloadWindow    time.Duration // window of OverloadFactor
	EntriesPerSecond  float64       // rate of each controller's update channel
	Backlog           float64       // entries that may be queued at a controller, message overhead included
	MessageOverhead   float64       // cost of a message in entries, in addition to the entries in it
	Messages          int           // messages to one proxy within MessagesOver; 0: no limit
	MessagesOver      time.Duration // window of Messages
	Slack             time.Duration // tolerance for simulated parts that run late on a loaded machine
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   string        // name of the rule
	At     time.Duration // since the watch's start
	Detail string        `json:"What"` // the value met and the limit
}

// RuleResult is the result of checking one rule.
type RuleResult struct {
	Rule       string      `json:"rule"`
	Tested     int         `json:"tried"`  // observations that the rule was checked on
	Observed   string      `json:"seen"`   // the most extreme values observed
	Violations []Violation `json:"breaks"` // empty: the rule held
}

// violate adds a violation.
func (v *RuleResult) violate(at time.Duration, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{v.Rule, at, fmt.Sprintf(format, args...)})
}

// Names of the rules, as written to reports.
const (
	RuleAvailability     = "nobody left without a server"
	RuleNoDuplicates     = "no effect twice"
	RuleDrain            = "drains kept"
	RuleSlowStart        = "no cold server pushed over"
	RuleQueue            = "a short queue"
	RuleSingleController = "one governor at a time" // checked only if proxies executed commands with a controller's epoch
	RuleNoRollback       = "versions never go back" // of a table at a proxy; checked only if proxies received versions
)

// Check checks all rules on the observations until now. Rules that have nothing to check in this setup are left out.
func (w *Watch) Check(limits Limits) []RuleResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	results := []RuleResult{
		w.checkAvailability(limits),
		w.checkDuplicates(limits),
		w.checkDrain(limits),
		w.checkSlowStart(limits),
		w.checkQueue(limits),
	}
	if w.commands > 0 {
		results = append(results, RuleResult{
			Rule:       RuleSingleController,
			Tested:     w.commands,
			Observed:   fmt.Sprintf("%d commands executed at %d proxies", w.commands, len(w.epochs)),
			Violations: w.outdatedCommands,
		})
	}
	if w.versions > 0 {
		results = append(results, RuleResult{
			Rule:       RuleNoRollback,
			Tested:     w.versions,
			Observed:   fmt.Sprintf("%d versions received", w.versions),
			Violations: w.rollbacks,
		})
	}
	return results
}

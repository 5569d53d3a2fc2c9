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

// Figures are the limits of the rules, and the properties of the simulated servers and update channels behind them.
type Figures struct {
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
	Rule string        // name of the rule
	At   time.Duration // since the watch's start
	What string        // the value met and the limit
}

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule   string      `json:"rule"`
	Tested int         `json:"tried"`  // observations that the rule was checked on
	Seen   string      `json:"seen"`   // the most extreme values observed
	Breaks []Violation `json:"breaks"` // empty: the rule held
}

// violate adds a violation.
func (v *Verdict) violate(at time.Duration, format string, args ...any) {
	v.Breaks = append(v.Breaks, Violation{v.Rule, at, fmt.Sprintf(format, args...)})
}

// Names of the rules, as written to reports.
const (
	RuleAvailability     = "nobody left without a server"
	RuleNoDuplicates     = "no effect twice"
	RuleDrain            = "drains kept"
	RuleSlowStart        = "no cold server pushed over"
	RuleQueue            = "a short queue"
	RuleSingleController = "one governor at a time" // checked if proxies executed commands with a controller's epoch
	RuleNoRollback       = "versions never go back" // of a table at a proxy; checked if proxies received versions
)

// Judge checks all rules on the observations until now. Rules that have nothing to check in this setup are left out.
func (w *Watch) Judge(f Figures) []Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdicts := []Verdict{
		w.checkAvailability(f),
		w.checkDuplicates(f),
		w.checkDrain(f),
		w.checkSlowStart(f),
		w.checkQueue(f),
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

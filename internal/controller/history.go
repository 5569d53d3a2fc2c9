package controller

import (
	"fmt"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/safety"
)

const (
	logCapacity   = 512 // entries for "show log" and "explain": a few minutes under heavy traffic
	orderCapacity = 512 // orders for "show orders"
)

// Level is the severity of a log entry. "show log" prints it as it is.
type Level string

// The levels of log entries. LevelInfo also reports the end of a fault.
const (
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// LogEntry is an entry of the controller's log, which "show log" prints. All but operators' actions are also written to
// the process's log.
type LogEntry struct {
	At     fleet.Time
	Level  Level
	Source string // part of the program: "module" (the balancer), "channel", "list", "proxy" etc.; scripts rely on it
	Text   string
}

// orderEntry is an order in the format of "show orders".
type orderEntry struct {
	at   fleet.Time
	text string
}

// history holds the latest log entries and orders, oldest first.
type history struct {
	log    []LogEntry
	orders []orderEntry
}

func (h *history) addLog(entry LogEntry) {
	h.log = append(h.log[max(0, len(h.log)+1-logCapacity):], entry)
}

func (h *history) addOrder(at fleet.Time, text string) {
	h.orders = append(h.orders[max(0, len(h.orders)+1-orderCapacity):], orderEntry{at, text})
}

// entriesNaming returns the log entries whose text contains a server's name as a word, oldest first.
func (h *history) entriesNaming(name string) (entries []LogEntry) {
	isSeparator := func(r rune) bool { return r == ' ' || r == ':' || r == ',' }
	for _, entry := range h.log {
		if slices.Contains(strings.FieldsFunc(entry.Text, isSeparator), name) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// log adds an entry to the history and to the output of the step, from which it reaches the process's log.
func (c *Core) log(out *Output, entry LogEntry) {
	c.history.addLog(entry)
	out.Log = append(out.Log, entry)
}

// logOperatorAction records an operator's change in the history, but not in the process's log.
func (c *Core) logOperatorAction(now fleet.Time, format string, args ...any) {
	c.history.log = append(c.history.log, LogEntry{now, LevelWarn, "staff", fmt.Sprintf(format, args...)})
}

// logReconcilerNotices logs the notices of the reconciler and its safety check.
func (c *Core) logReconcilerNotices(now fleet.Time, out *Output) {
	for _, notice := range c.reconciler.Notices() {
		entry := LogEntry{now, LevelWarn, "channel", ""}
		switch {
		case notice.Refused != nil:
			entry.Source = "guard"
			refusal := *notice.Refused
			entry.Text = "change held back by the safety check: " +
				safety.FormatRefusal(refusal, c.serverName(refusal.Server))
		case notice.Table:
			entry.Source = "table"
			entry.Text = notice.Text
		default:
			entry.Text = fmt.Sprintf("proxy %s: %s", c.proxies.configured[notice.Proxy].Name, notice.Text)
		}
		c.log(out, entry)
	}
}

// logIngestNotices logs the pipeline's notices about servers, sources of reports, proxies and the pipeline itself.
func (c *Core) logIngestNotices(now fleet.Time, out *Output) {
	for _, notice := range c.pipeline.Examine(now) {
		entry := LogEntry{now, LevelWarn, "intake", notice.Text}
		if notice.Good {
			entry.Level = LevelInfo
		}
		switch {
		case notice.OfProxy:
			entry.Text = fmt.Sprintf("proxy %s %s", c.proxies.configured[notice.Proxy].Name, notice.Text)
		case notice.OfSource:
			entry.Text = fmt.Sprintf("server %s: %s", c.serverName(notice.Server), notice.Text)
		case !notice.OfAll:
			entry.Text = fmt.Sprintf("server %s is %s: %s", c.serverName(notice.Server), notice.Verdict, notice.Text)
		}
		c.log(out, entry)
	}
}

package controller

import (
	"fmt"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/safety"
)

const (
	logCapacity   = 512 // entries for "show log" and "explain": some minutes of a busy day
	orderCapacity = 512 // orders for "show orders"
)

// Level is the severity of a log entry, as operators see it.
type Level string

// The levels of log entries.
const (
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// LogEntry is one entry of the controller's log, which operators read over their socket.
type LogEntry struct {
	At     fleet.Time
	Level  Level
	Source string // "module", "channel", "list", "proxy" and so on: part of the operators' protocol
	Text   string
}

// orderEntry is an order as "show orders" prints it.
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

// logOf gives the log entries that name a server, oldest first.
func (h *history) logOf(name string) (entries []LogEntry) {
	isSeparator := func(r rune) bool { return r == ' ' || r == ':' || r == ',' }
	for _, entry := range h.log {
		if slices.Contains(strings.FieldsFunc(entry.Text, isSeparator), name) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// log adds an entry to the history and to what the step writes to the process's log.
func (c *Core) log(out *Output, entry LogEntry) {
	c.history.addLog(entry)
	out.Log = append(out.Log, entry)
}

// logOperatorAction notes what an operator has changed.
func (c *Core) logOperatorAction(now fleet.Time, format string, args ...any) {
	c.history.log = append(c.history.log, LogEntry{now, LevelWarn, "staff", fmt.Sprintf(format, args...)})
}

// logReconcilerNotices logs what the reconciler and its safety check have to say.
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

// logIngestNotices logs what the pipeline has to say of servers, sources, proxies and itself.
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

package controller

import (
	"fmt"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
)

// query is one command of an operator, as its handler gets it in the loop's goroutine.
type query struct {
	core    *Core
	loop    *Loop
	version string // of the program
	now     fleet.Time
	args    []string // after the command's words
}

// command is one that operators know. Its words, help and answers are a protocol that scripts read: they never change.
type command struct {
	words []string
	help  string
	// handle gives the answer; the text of an error is the answer, too, and ends its line itself.
	handle   func(q *query) (string, error)
	persists bool // what must survive a restart: the answer waits until it is on disk
}

// commandError is the answer to a command that can't be carried out.
type commandError string

func (e commandError) Error() string { return string(e) }

// refusef makes a commandError.
func refusef(format string, args ...any) error { return commandError(fmt.Sprintf(format, args...)) }

// answerf makes the answer of a handler.
func answerf(format string, args ...any) (string, error) { return fmt.Sprintf(format, args...), nil }

// errNoServer is the answer where a server's name is not known.
const errNoServer = commandError(haproxyapi.NoServer)

// commands gives all commands, in the order in which "help" lists them.
func commands() []command {
	return []command{
		{
			words:  []string{"show", "info"},
			help:   "the governor: version, clock, counters, time of decisions",
			handle: (*query).showInfo,
		},
		{
			words:  []string{"show", "servers"},
			help:   "listed servers: state, health as the module logged it, weights",
			handle: (*query).showServers,
		},
		{
			words:  []string{"show", "tables"},
			help:   "lines of all tables, with the weight that proxies are sent",
			handle: (*query).showTables,
		},
		{
			words:  []string{"show", "proxies"},
			help:   "proxies: stream, tables, what waits for them",
			handle: (*query).showProxies,
		},
		{
			words:  []string{"show", "orders"},
			help:   "the latest orders, oldest first",
			handle: (*query).showOrders,
		},
		{
			words:  []string{"show", "doubts"},
			help:   "servers of a kept list that the list's source has not confirmed yet",
			handle: (*query).showVerification,
		},
		{
			words:  []string{"show", "reports"},
			help:   "[stale]: servers as sources: what is made of their silence, age, load, trust",
			handle: (*query).showReports,
		},
		{
			words:  []string{"show", "intake"},
			help:   "where reports went: sums, what was thinned, shed or not believed",
			handle: (*query).showIngest,
		},
		{
			words:  []string{"show", "series"},
			help:   "<server> [minutes]: what proxies met there, a row a minute",
			handle: (*query).showSeries,
		},
		{
			words:  []string{"top", "servers"},
			help:   "age|load|failures [n]: the servers that stand out",
			handle: (*query).topServers,
		},
		{
			words:  []string{"show", "log"},
			help:   "the latest log lines, oldest first",
			handle: (*query).showLog,
		},
		{
			words:  []string{"explain"},
			help:   "<server>: its weights and the reasons that were logged",
			handle: (*query).explain,
		},
		{
			words:  []string{"get", "weight"},
			help:   "<server>: its weight in each table",
			handle: (*query).getWeight,
		},
		{
			words:  []string{"show", "refusals"},
			help:   "what the guard holds back now, and what is set by hand",
			handle: (*query).showRefusals,
		},
		{
			words:    []string{"set", "weight"},
			help:     "<table>/<server> <0-256>: set a line by hand for 5 minutes",
			handle:   (*query).setWeight,
			persists: true,
		},
		{
			words:    []string{"clear", "weight"},
			help:     "<table>/<server>: let the module's weight count again",
			handle:   (*query).clearWeight,
			persists: true,
		},
		{
			words:    []string{"table"},
			help:     "history|show|diff|rollback|pin|unpin T ..., proxies: versions of a table",
			handle:   (*query).table,
			persists: true,
		},
		{
			words:  []string{"show", "members"},
			help:   "[proxies]: governors that share the proxies, and who serves which",
			handle: (*query).showMembers,
		},
		{
			words:  []string{"show", "peers"},
			help:   "other governors that are heard, and what their news change",
			handle: (*query).showPeers,
		},
		{
			words:  []string{"take"},
			help:   "<proxy> on|off: have a proxy by hand, whoever should by the plan, or end that",
			handle: (*query).takeProxy,
		},
		{
			words:  []string{"retire"},
			help:   "on|off: hand all proxies on to other governors, or take its part again",
			handle: (*query).retire,
		},
		{
			words:  []string{"help"},
			help:   "this list",
			handle: func(*query) (string, error) { return helpText(), nil },
		},
	}
}

func helpText() string {
	var b strings.Builder
	for _, c := range commands() {
		fmt.Fprintf(&b, "  %-14s : %s\n", strings.Join(c.words, " "), c.help)
	}
	b.WriteString("  prompt [n|i|p] : leave or enter interactive mode\n  quit           : close the connection\n")
	return b.String()
}

// server reads an argument that is a server's name.
func (q *query) server(name string) (fleet.ServerID, error) {
	id, known := q.core.names.Server(name)
	if !known {
		return 0, errNoServer
	}
	return id, nil
}

// hasOption tells whether the only argument is an option, with or without dashes.
func (q *query) hasOption(name string) bool {
	return len(q.args) == 1 && strings.TrimLeft(q.args[0], "-") == name
}

// parseSwitch reads an argument that is "on" or "off".
func parseSwitch(text string) (on, ok bool) {
	switch text {
	case "on":
		return true, true
	case "off":
		return false, true
	}
	return false, false
}

// joinAnswers gives one error whose text is those of all, one after the other; nil for none.
func joinAnswers(errs ...error) error {
	var text strings.Builder
	for _, err := range errs {
		if err != nil {
			text.WriteString(err.Error())
		}
	}
	if text.Len() == 0 {
		return nil
	}
	return commandError(text.String())
}

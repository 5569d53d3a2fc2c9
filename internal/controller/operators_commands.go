package controller

import (
	"fmt"
	"slices"
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

// commandErrorf makes a commandError.
func commandErrorf(format string, args ...any) error {
	return commandError(fmt.Sprintf(format, args...))
}

// answerf makes the answer of a handler.
func answerf(format string, args ...any) (string, error) { return fmt.Sprintf(format, args...), nil }

// errNoServer is the answer where a server's name is not known.
const errNoServer = commandError(haproxyapi.NoServer)

// commands gives all commands, in the order in which "help" lists them.
func commands() []command {
	help := command{
		words:  []string{"help"},
		help:   "this list",
		handle: func(*query) (string, error) { return helpText(), nil },
	}
	return slices.Concat(
		stateCommands(), reportCommands(), explainCommands(), overrideCommands(), peerCommands(), []command{help})
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

// hasOption reports whether the only argument is an option, with or without dashes.
func (q *query) hasOption(name string) bool {
	return len(q.args) == 1 && strings.TrimLeft(q.args[0], "-") == name
}

// switchAt reads the last argument, which is "on" or "off", at an index.
func (q *query) switchAt(i int) (on, ok bool) {
	if len(q.args) != i+1 {
		return false, false
	}
	return q.args[i] == "on", q.args[i] == "on" || q.args[i] == "off"
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

package controller

import (
	"fmt"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
	"cressknot/internal/safety"
)

// overrideCommands returns the commands that set weights and table versions in place of the balancer's.
func overrideCommands() []command {
	return []command{
		{
			words:    []string{"set", "weight"},
			help:     "<table>/<server> <0-256>: override the weight of a table entry for 5 minutes",
			handle:   (*query).setWeight,
			persists: true,
		},
		{
			words:    []string{"clear", "weight"},
			help:     "<table>/<server>: end a manual weight, so that the balancer's applies again",
			handle:   (*query).clearWeight,
			persists: true,
		},
		{
			words:    []string{"table"},
			help:     "history|show|diff|rollback|pin|unpin T ..., proxies: versions of a weight table",
			handle:   (*query).table,
			persists: true,
		},
	}
}

// overrideConfirmations holds the refused manual weights that operators may still force by a token.
type overrideConfirmations struct {
	byToken map[string]overrideConfirmation
	issued  int // tokens since the start, which makes each one unique
}

type overrideConfirmation struct {
	command string // "<table>/<server> <weight>"
	until   fleet.Time
}

func newOverrideConfirmations() overrideConfirmations {
	return overrideConfirmations{byToken: map[string]overrideConfirmation{}}
}

// redeem removes a token and reports whether it was valid for the command. A token serves once, even for another
// command.
func (o *overrideConfirmations) redeem(now fleet.Time, token, command string) bool {
	confirmation, known := o.byToken[token]
	delete(o.byToken, token)
	return known && confirmation.command == command && now < confirmation.until
}

// issue returns a new token for a command. It returns false if safety.MaxPendingOverrides tokens are valid already.
func (o *overrideConfirmations) issue(now fleet.Time, command string) (token string, ok bool) {
	for token, confirmation := range o.byToken {
		if now >= confirmation.until {
			delete(o.byToken, token)
		}
	}
	if len(o.byToken) >= safety.MaxPendingOverrides {
		return "", false
	}
	o.issued++
	token = fmt.Sprintf("f%d", o.issued)
	o.byToken[token] = overrideConfirmation{command, now + safety.OverrideTimeout}
	return token, true
}

// setWeightArgs are the arguments of "set weight <table>/<server> <0-256> [force <token>]".
type setWeightArgs struct {
	target  string // "<table>/<server>" as written
	table   fleet.TableID
	server  fleet.ServerID
	weight  int
	command string // "<table>/<server> <weight>", which a token confirms
	token   string
	forced  bool
}

func (q *query) parseSetWeight() (a setWeightArgs, err error) {
	a.forced = len(q.args) == 4 && q.args[2] == "force"
	if len(q.args) != 2 && !a.forced {
		return a, commandError("'set weight' expects <table>/<server> and a weight from 0 to 256.\n")
	}
	a.target = q.args[0]
	a.table, a.server, err = q.parseTarget(a.target)
	if err != nil {
		return a, err
	}
	a.weight, err = strconv.Atoi(q.args[1])
	if err != nil || a.weight < 0 || a.weight > haproxyapi.MaxWeight {
		return a, commandError(haproxyapi.BadWeight)
	}
	a.command = q.args[0] + " " + q.args[1]
	if a.forced {
		a.token = q.args[3]
	}
	return a, nil
}

// parseTarget parses "<table>/<server>".
func (q *query) parseTarget(target string) (fleet.TableID, fleet.ServerID, error) {
	tableText, name, ok := strings.Cut(target, "/")
	table, err := strconv.ParseUint(tableText, 10, 16)
	if !ok || err != nil {
		return 0, 0, commandError("Require '<table>/<server>', with the table's number (0 to 65535).\n")
	}
	server, err := q.server(name)
	return fleet.TableID(table), server, err
}

func (q *query) setWeight() (string, error) {
	a, err := q.parseSetWeight()
	if err != nil {
		return "", err
	}
	c := q.core
	violations := c.weightViolations(q.now, a.table, a.server, a.weight)
	if a.forced && !c.overrides.redeem(q.now, a.token, a.command) {
		return "", commandErrorf("Refused: the token is unknown, older than %.0f s or for another weight; "+
			"repeat 'set weight %s' to get a new one.\n", safety.OverrideTimeout.Seconds(), a.command)
	}
	overridable := true
	for _, violation := range violations {
		overridable = overridable && violation.Overridable
	}
	if len(violations) > 0 && (!overridable || !a.forced) {
		return "", q.refuseWeight(a.command, violations, overridable)
	}
	c.reconciler.SetManualWeight(q.now, a.table, a.server, int16(a.weight), q.now+reconcile.ManualWeightDuration)
	suffix := ""
	if a.forced {
		suffix = ", forced"
	}
	c.logOperatorAction(q.now, "weight of %s was set to %d by hand for %.0f s%s",
		a.target, a.weight, reconcile.ManualWeightDuration.Seconds(), suffix)
	return "", nil
}

// refuseWeight returns the error that says why a weight is refused. If the weight may be forced, its last line is the
// command for that, with a token.
func (q *query) refuseWeight(command string, violations []safety.Violation, overridable bool) error {
	var b strings.Builder
	for _, violation := range violations {
		subject := ""
		if !violation.WholeTable {
			subject = q.core.serverName(violation.Server) + ": "
		}
		fmt.Fprintf(&b, "Refused: %s%s: %s.\n", subject, violation.Reason, violation.Text)
	}
	if !overridable {
		b.WriteString("This weight can't be forced.\n")
		return commandError(b.String())
	}
	token, ok := q.core.overrides.issue(q.now, command)
	if !ok {
		fmt.Fprintf(&b, "The weight can't be forced now: %d other weights await confirmation; "+
			"repeat the command in %.0f s.\n",
			safety.MaxPendingOverrides, safety.OverrideTimeout.Seconds())
		return commandError(b.String())
	}
	fmt.Fprintf(&b, "To force it, send this command within %.0f s: set weight %s force %s\n",
		safety.OverrideTimeout.Seconds(), command, token)
	return commandError(b.String())
}

// clearWeight handles "clear weight <table>/<server>".
func (q *query) clearWeight() (string, error) {
	if len(q.args) != 1 {
		return "", commandError("'clear weight' expects <table>/<server>.\n")
	}
	table, server, err := q.parseTarget(q.args[0])
	if err != nil {
		return "", err
	}
	if !q.core.reconciler.ClearManualWeight(q.now, table, server) {
		return "", commandErrorf("%s has no manual weight; 'show refusals' lists the manual weights.\n", q.args[0])
	}
	return "", nil
}

// weightViolations returns the safety rules that a table would violate with a manual weight, none where safety checks
// are off.
func (c *Core) weightViolations(
	now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int,
) []safety.Violation {
	if !c.safetyChecks {
		return nil
	}
	entries := c.tableWithManualWeights(table)
	found := false
	for i := range entries {
		if entries[i].Server == server {
			entries[i].Weight = float64(weight)
			found = true
		}
	}
	if !found {
		withdrawn := c.reconciler.Withdrawn(server)
		entries = append(entries, safety.TableEntry{Server: server, Weight: float64(weight), Withdrawn: withdrawn})
	}
	demand := 0.0
	c.reconciler.ForEachAssignment(table, func(proxy fleet.ProxyID, class fleet.ClassID) {
		demand += c.guard.Demand(proxy, class)
	})
	return c.guard.CheckTable(now, entries, demand)
}

// tableWithManualWeights returns the entries of a table as published, but with its current manual weights.
func (c *Core) tableWithManualWeights(table fleet.TableID) (entries []safety.TableEntry) {
	manual := map[fleet.ServerID]int16{}
	for _, m := range c.reconciler.ManualWeights() {
		if m.Table == table {
			manual[m.Server] = m.Weight
		}
	}
	for _, e := range c.reconciler.Entries() {
		if e.Table != table {
			continue
		}
		weight := e.Published
		if w, isManual := manual[e.Server]; isManual {
			weight = w
		}
		entries = append(entries, safety.TableEntry{Server: e.Server, Weight: float64(weight), Withdrawn: e.Withdrawn})
	}
	return entries
}

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

// overrideCommands are those that set weights and table versions by hand.
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

// overrideConfirmations are the manual weights that were refused and may be forced with a token.
type overrideConfirmations struct {
	byToken map[string]overrideConfirmation
	issued  int
}

type overrideConfirmation struct {
	command string // "<table>/<server> <weight>"
	until   fleet.Time
}

func newOverrideConfirmations() overrideConfirmations {
	return overrideConfirmations{byToken: map[string]overrideConfirmation{}}
}

// redeem ends a token and reports whether it confirms the command.
func (o *overrideConfirmations) redeem(now fleet.Time, token, command string) bool {
	confirmation, known := o.byToken[token]
	delete(o.byToken, token)
	return known && confirmation.command == command && now < confirmation.until
}

// issue makes a token for a command; ok is false where too many wait.
func (o *overrideConfirmations) issue(now fleet.Time, command string) (token string, ok bool) {
	for token, confirmation := range o.byToken {
		if now >= confirmation.until {
			delete(o.byToken, token)
		}
	}
	if len(o.byToken) >= safety.MaxForces {
		return "", false
	}
	o.issued++
	token = fmt.Sprintf("f%d", o.issued)
	o.byToken[token] = overrideConfirmation{command, now + safety.ForceTimeout}
	return token, true
}

// setWeightArgs are the arguments of "set weight <table>/<server> <0-256> [force <token>]".
type setWeightArgs struct {
	target  string // as it was written
	table   fleet.TableID
	server  fleet.ServerID
	weight  int
	command string // what a token confirms
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

// parseTarget reads "<table>/<server>".
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
	harms := c.harmsOfWeight(q.now, a.table, a.server, a.weight)
	if a.forced && !c.overrides.redeem(q.now, a.token, a.command) {
		return "", commandErrorf("Refused: the token is unknown, older than %.0f s or for another weight; "+
			"repeat 'set weight %s' to get a new one.\n", safety.ForceTimeout.Seconds(), a.command)
	}
	forcible := true
	for _, harm := range harms {
		forcible = forcible && harm.Forcible
	}
	if len(harms) > 0 && (!forcible || !a.forced) {
		return "", q.refuseWeight(a.command, harms, forcible)
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

// refuseWeight says why a weight is refused, and gives the token by which it may be forced, if it may.
func (q *query) refuseWeight(command string, harms []safety.Violation, forcible bool) error {
	var b strings.Builder
	for _, harm := range harms {
		subject := ""
		if !harm.NoServer {
			subject = q.core.serverName(harm.Server) + ": "
		}
		fmt.Fprintf(&b, "Refused: %s%s: %s.\n", subject, harm.Reason, harm.Text)
	}
	if !forcible {
		b.WriteString("This weight can't be forced.\n")
		return commandError(b.String())
	}
	token, ok := q.core.overrides.issue(q.now, command)
	if !ok {
		fmt.Fprintf(&b, "It can't be forced now: %d other weights await confirmation; repeat the command in %.0f s.\n",
			safety.MaxForces, safety.ForceTimeout.Seconds())
		return commandError(b.String())
	}
	fmt.Fprintf(&b, "To force it, send this command within %.0f s: set weight %s force %s\n",
		safety.ForceTimeout.Seconds(), command, token)
	return commandError(b.String())
}

// clearWeight is "clear weight <table>/<server>".
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

// harmsOfWeight gives the harm that a manual weight would do to its table.
func (c *Core) harmsOfWeight(
	now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int,
) []safety.Violation {
	if !c.safetyChecks {
		return nil
	}
	lines := c.tableLines(table)
	found := false
	for i := range lines {
		if lines[i].Server == server {
			lines[i].Weight = float64(weight)
			found = true
		}
	}
	if !found {
		withdrawn := c.reconciler.Withdrawn(server)
		lines = append(lines, safety.TableLine{Server: server, Weight: float64(weight), Withdrawn: withdrawn})
	}
	demand := 0.0
	c.reconciler.EachAssignment(table, func(proxy fleet.ProxyID, class fleet.ClassID) {
		demand += c.guard.Demand(proxy, class)
	})
	return c.guard.CheckTable(now, lines, demand)
}

// tableLines gives a table with its manual weights.
func (c *Core) tableLines(table fleet.TableID) (lines []safety.TableLine) {
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
		lines = append(lines, safety.TableLine{Server: e.Server, Weight: float64(weight), Withdrawn: e.Withdrawn})
	}
	return lines
}

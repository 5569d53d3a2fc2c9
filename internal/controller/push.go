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

// force is a push that was refused and may be forced.
type force struct {
	what  string
	until fleet.Time
}

// setWeight is "set weight <table>/<server> <0-256> [force <token>]".
func (o *Operators) setWeight(c *Core, args []string) string {
	if len(args) != 2 && !(len(args) == 4 && args[2] == "force") {
		return "'set weight' expects <table>/<server> and a weight from 0 to 256.\n"
	}
	table, server, text := c.lineOf(args[0])
	if text != "" {
		return text
	}
	weight, err := strconv.Atoi(args[1])
	if err != nil || weight < 0 || weight > haproxyapi.MaxWeight {
		return haproxyapi.BadWeight
	}
	now := o.loop.now()
	harms := c.judgePush(now, table, server, weight)
	what := args[0] + " " + args[1]
	forced := false
	if len(args) == 4 {
		f, waits := c.forces[args[3]]
		delete(c.forces, args[3])
		if forced = waits && f.what == what && now < f.until; !forced {
			return "Refused: that token is not for this, or its time is over.\n"
		}
	}
	may := true
	for _, h := range harms {
		may = may && h.Force
	}
	if len(harms) > 0 && !(may && forced) {
		return c.refusal(now, what, harms, may)
	}
	c.plane.SetManualWeight(now, table, server, int16(weight), now+reconcile.ManualWeightDuration)
	note := ""
	if forced {
		note = ", forced"
	}
	c.logs = append(c.logs, Line{now, "warn", "staff", fmt.Sprintf("%s was set to %d by hand for %.0f s%s", args[0], weight, reconcile.ManualWeightDuration.Seconds(), note)})
	return ""
}

// clearWeight is "clear weight <table>/<server>".
func (o *Operators) clearWeight(c *Core, args []string) string {
	if len(args) != 1 {
		return "'clear weight' expects <table>/<server>.\n"
	}
	table, server, text := c.lineOf(args[0])
	if text != "" {
		return text
	}
	if !c.plane.ClearManualWeight(o.loop.now(), table, server) {
		return "That line is not set by hand.\n"
	}
	return ""
}

func (c *Core) lineOf(target string) (fleet.TableID, fleet.ServerID, string) {
	table, name, ok := strings.Cut(target, "/")
	n, err := strconv.ParseUint(table, 10, 16)
	if !ok || err != nil {
		return 0, 0, "Require '<table>/<server>', the table by its number.\n"
	}
	id, known := c.names.Server(name)
	if !known {
		return 0, 0, haproxyapi.NoServer
	}
	return fleet.TableID(n), id, ""
}

// judgePush tells what harm a line set by hand would do to its table.
func (c *Core) judgePush(now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int) []safety.Harm {
	if !c.guarded {
		return nil
	}
	lines, found := c.tableLines(table), false
	for i := range lines {
		if lines[i].Server == server {
			lines[i].Weight, found = float64(weight), true
		}
	}
	if !found {
		lines = append(lines, safety.TableLine{Server: server, Weight: float64(weight), Withdrawn: c.plane.Withdrawn(server)})
	}
	demand := 0.0
	c.plane.Users(table, func(p fleet.ProxyID, class fleet.ClassID) { demand += c.guard.Demand(p, class) })
	return c.guard.Table(now, lines, demand)
}

func (c *Core) tableLines(table fleet.TableID) (lines []safety.TableLine) {
	by := map[fleet.ServerID]int16{}
	for _, p := range c.plane.ManualWeights() {
		if p.Table == table {
			by[p.Server] = p.Weight
		}
	}
	for _, l := range c.plane.Entries() {
		if l.Table != table {
			continue
		}
		weight := l.Published
		if w, pushed := by[l.Server]; pushed {
			weight = w
		}
		lines = append(lines, safety.TableLine{Server: l.Server, Weight: float64(weight), Withdrawn: l.Withdrawn})
	}
	return lines
}

func (c *Core) refusal(now fleet.Time, what string, harms []safety.Harm, may bool) string {
	var b strings.Builder
	for _, h := range harms {
		name, _ := c.names.Of(h.Server)
		if name += ": "; h.None {
			name = ""
		}
		fmt.Fprintf(&b, "Refused: %s%s: %s.\n", name, h.Why, h.Text)
	}
	if !may {
		b.WriteString("This can't be forced.\n")
		return b.String()
	}
	for token, f := range c.forces {
		if now >= f.until {
			delete(c.forces, token)
		}
	}
	if len(c.forces) >= safety.ForceMost {
		b.WriteString("Too many refusals wait to be forced.\n")
		return b.String()
	}
	c.tokens++
	token := fmt.Sprintf("f%d", c.tokens)
	c.forces[token] = force{what, now + safety.ForceFor}
	fmt.Fprintf(&b, "To force it all the same, within %.0f s: set weight %s force %s\n", safety.ForceFor.Seconds(), what, token)
	return b.String()
}

func (o *Operators) showRefusals(c *Core, _ []string) string {
	var b strings.Builder
	b.WriteString("# since proxies what\n")
	for _, r := range c.plane.Refusals() {
		name, _ := c.names.Of(r.Server)
		fmt.Fprintf(&b, "%s %d %s\n", stamp(r.Since), r.Proxies, safety.Say(r, name))
	}
	for _, p := range c.plane.ManualWeights() {
		name, _ := c.names.Of(p.Server)
		fmt.Fprintf(&b, "%s - set by hand until then: table %d, server %s, weight %d\n", stamp(p.Until), p.Table, name, p.Weight)
	}
	return b.String()
}

package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
)

// tableQuery is the context in which a subcommand of "table" about one table is handled.
type tableQuery struct {
	*query
	id    fleet.TableID
	table *tableversion.Table
	args  []string // that follow the table's number
}

// tableCommand is a subcommand of "table", with the number of arguments that may follow the table's number.
type tableCommand struct {
	minArgs int
	maxArgs int
	handle  func(q *tableQuery) (string, error)
}

// tableCommands returns the subcommands of "table" about one table, by name.
func tableCommands() map[string]tableCommand {
	return map[string]tableCommand{
		"history":  {0, 0, (*tableQuery).history},
		"show":     {0, 1, (*tableQuery).show},
		"diff":     {1, 2, (*tableQuery).diff},
		"rollback": {1, 2, (*tableQuery).rollback},
		"pin":      {0, 1, (*tableQuery).pin},
		"unpin":    {0, 0, (*tableQuery).unpin},
	}
}

const errTableUsage = commandError("'table' expects history T, show T [VERSION], diff T VERSION [VERSION], " +
	"rollback T VERSION [TIME], pin T [TIME], unpin T or proxies; " +
	"T is a table's number, TIME a duration of at most 24h such as 5m.\n")

// table handles "table history|show|diff|rollback|pin|unpin|proxies ...".
func (q *query) table() (string, error) {
	if len(q.args) == 1 && q.args[0] == "proxies" {
		return q.showProxyVersions()
	}
	if len(q.args) < 2 {
		return "", errTableUsage
	}
	number, err := strconv.ParseUint(q.args[1], 10, 16)
	if err != nil {
		return "", commandErrorf("'%s' is not a table's number (0 to 65535).\n", q.args[1])
	}
	id := fleet.TableID(number)
	table := q.core.reconciler.TableVersions(id)
	if table == nil {
		return "", commandErrorf("Table %d has no versions; 'show tables' lists the tables.\n", id)
	}
	args := q.args[2:]
	subcommand, ok := tableCommands()[q.args[0]]
	if !ok || len(args) < subcommand.minArgs || len(args) > subcommand.maxArgs {
		return "", errTableUsage
	}
	return subcommand.handle(&tableQuery{query: q, id: id, table: table, args: args})
}

func parseVersion(text string) (tableversion.Version, error) {
	version, err := tableversion.ParseVersion(text)
	if err != nil {
		return version, commandErrorf("%v.\n", err)
	}
	return version, nil
}

// parsePinEnd parses the optional duration of a pin (5 minutes unless given) and returns when the pin ends.
func (q *tableQuery) parsePinEnd(args []string) (fleet.Time, error) {
	if len(args) == 0 {
		return q.now + reconcile.DefaultPinDuration, nil
	}
	parsed, err := time.ParseDuration(args[0])
	duration := fleet.Time(parsed)
	if err != nil || duration <= 0 || duration > reconcile.MaxPinDuration {
		return 0, commandErrorf("'%s' is not a duration of at most 24h, such as 5m.\n", args[0])
	}
	return q.now + duration, nil
}

func (q *tableQuery) history() (string, error) {
	var b strings.Builder
	b.WriteString("# time version digest lines why\n")
	for _, d := range q.table.History() {
		reason := cmp.Or(d.Reason, "module")
		fmt.Fprintf(&b, "%s %s %s %d %s\n", formatTime(d.CreatedAt), d.To, d.ToDigest, len(d.Entries), reason)
	}
	if until, reason := q.core.reconciler.Pinned(q.id); until > 0 {
		fmt.Fprintf(&b, "# %s until %s\n", reason, formatTime(until))
	}
	return b.String(), nil
}

func (q *tableQuery) show() (string, error) {
	version := q.table.Version()
	if len(q.args) == 1 {
		var err error
		version, err = parseVersion(q.args[0])
		if err != nil {
			return "", err
		}
	}
	entries, err := q.table.At(version)
	if err != nil {
		return "", commandErrorf("%v.\n", err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# table %d version %s server weight\n", q.id, version)
	for _, e := range entries {
		fmt.Fprintf(&b, "%s %d\n", q.core.serverName(e.Server), e.Weight)
	}
	return b.String(), nil
}

func (q *tableQuery) diff() (string, error) {
	from, err := parseVersion(q.args[0])
	if err != nil {
		return "", err
	}
	to := q.table.Version()
	if len(q.args) == 2 {
		to, err = parseVersion(q.args[1])
		if err != nil {
			return "", err
		}
	}
	before, err := q.weightsAt(from)
	if err != nil {
		return "", err
	}
	after, err := q.weightsAt(to)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# table %d from %s to %s: server before after\n", q.id, from, to)
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			fmt.Fprintf(&b, "%s %d %d\n", name, before[name], after[name])
		}
	}
	return b.String(), nil
}

// weightsAt returns the weights in a version by server name.
func (q *tableQuery) weightsAt(version tableversion.Version) (map[string]int, error) {
	entries, err := q.table.At(version)
	if err != nil {
		return nil, commandErrorf("%v.\n", err)
	}
	weights := map[string]int{}
	for _, e := range entries {
		weights[q.core.serverName(e.Server)] = e.Weight
	}
	return weights, nil
}

func (q *tableQuery) rollback() (string, error) {
	to, versionErr := parseVersion(q.args[0])
	until, timeErr := q.parsePinEnd(q.args[1:])
	if err := joinCommandErrors(versionErr, timeErr); err != nil {
		return "", err
	}
	omitted, err := q.core.reconciler.Rollback(q.now, q.id, to, until)
	var b strings.Builder
	for _, o := range omitted {
		name := q.core.serverName(o.Server)
		fmt.Fprintf(&b, "Server %s (weight %d in that version) is left out because it is %s.\n", name, o.Weight, o.Reason)
	}
	if err != nil {
		fmt.Fprintf(&b, "Refused: %v.\n", err)
		return b.String(), nil
	}
	version := q.table.Version()
	fmt.Fprintf(&b, "Table %d is rolled back to the content of %s, as version %s, and pinned until %s; "+
		"'table unpin %d' ends the pin earlier.\n", q.id, to, version, formatTime(until), q.id)
	q.core.logOperatorAction(q.now, "table %d was rolled back to the content of %s, as version %s", q.id, to, version)
	return b.String(), nil
}

func (q *tableQuery) pin() (string, error) {
	until, err := q.parsePinEnd(q.args)
	if err != nil {
		return "", err
	}
	if err := q.core.reconciler.Pin(q.now, q.id, until); err != nil {
		return "", commandErrorf("Refused: %v.\n", err)
	}
	version := q.table.Version()
	q.core.logOperatorAction(q.now, "table %d is pinned at version %s until %s", q.id, version, formatTime(until))
	return answerf("Table %d is pinned at version %s until %s; 'table unpin %d' ends the pin earlier.\n",
		q.id, version, formatTime(until), q.id)
}

func (q *tableQuery) unpin() (string, error) {
	if !q.core.reconciler.Unpin(q.now, q.id, "unpinned") {
		return "", commandErrorf("Table %d is not pinned.\n", q.id)
	}
	return answerf("Table %d follows the balancer again, as version %s.\n", q.id, q.table.Version())
}

// showProxyVersions handles "table proxies": it prints the version that each proxy was sent last, and whether that is
// the newest and acknowledged.
func (q *query) showProxyVersions() (string, error) {
	var b strings.Builder
	b.WriteString("# proxy class version/digest newest\n")
	c := q.core
	c.reconciler.ForEachVersionStamp(func(id fleet.ProxyID, class fleet.ClassID, stamp string, newest bool) {
		proxy := c.proxies.configured[id].Name
		fmt.Fprintf(&b, "%s %s %s %v\n", proxy, c.site.Classes[class].Name, cmp.Or(stamp, "-"), newest)
	})
	return b.String(), nil
}

package controller

import (
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

// tableCommand is "table history|show|diff|rollback|pin|unpin|proxies ...".
func (o *Operators) tableCommand(c *Core, args []string) string {
	const usage = "'table' expects history T, show T [VERSION], diff T VERSION [VERSION], rollback T VERSION [TIME], pin T [TIME], unpin T, proxies.\n"
	if len(args) == 1 && args[0] == "proxies" {
		return c.tableProxies()
	}
	if len(args) < 2 {
		return usage
	}
	n, err := strconv.ParseUint(args[1], 10, 16)
	if err != nil {
		return fmt.Sprintf("'%s' is no table's number.\n", args[1])
	}
	id, now, rest := fleet.TableID(n), o.loop.now(), args[2:]
	book := c.plane.TableVersions(id)
	if book == nil {
		return fmt.Sprintf("Table %d is not there.\n", id)
	}
	version := func(text string) (tableversion.Version, string) {
		v, err := tableversion.ParseVersion(text)
		if err != nil {
			return v, err.Error() + ".\n"
		}
		return v, ""
	}
	until := func(text []string) (fleet.Time, string) {
		if len(text) == 0 {
			return now + reconcile.DefaultPinDuration, ""
		}
		d, err := time.ParseDuration(text[0])
		if t := fleet.Time(d); err != nil || t <= 0 || t > reconcile.MaxPinDuration {
			return 0, fmt.Sprintf("'%s' is no time from 1s to 24h.\n", text[0])
		}
		return now + fleet.Time(d), ""
	}
	switch {
	case args[0] == "history" && len(rest) == 0:
		return c.tableHistory(id, book)
	case args[0] == "show" && len(rest) <= 1:
		at := book.Version()
		if len(rest) == 1 {
			var bad string
			if at, bad = version(rest[0]); bad != "" {
				return bad
			}
		}
		lines, err := book.At(at)
		if err != nil {
			return err.Error() + ".\n"
		}
		var b strings.Builder
		fmt.Fprintf(&b, "# table %d version %s server weight\n", id, at)
		for _, l := range lines {
			name, _ := c.names.Of(l.Server)
			fmt.Fprintf(&b, "%s %d\n", name, l.Weight)
		}
		return b.String()
	case args[0] == "diff" && (len(rest) == 1 || len(rest) == 2):
		return c.tableDiff(id, book, rest, version)
	case args[0] == "rollback" && (len(rest) == 1 || len(rest) == 2):
		to, bad := version(rest[0])
		end, badTime := until(rest[1:])
		if bad+badTime != "" {
			return bad + badTime
		}
		differs, err := c.plane.Rollback(now, id, to, end)
		var b strings.Builder
		for _, d := range differs {
			name, _ := c.names.Of(d.Server)
			fmt.Fprintf(&b, "%s had %d there and is left out: it is %s.\n", name, d.Weight, d.Reason)
		}
		if err != nil {
			fmt.Fprintf(&b, "Refused: %v.\n", err)
			return b.String()
		}
		fmt.Fprintf(&b, "Table %d is back at the content of %s, as version %s, until %s.\n", id, to, book.Version(), stamp(end))
		c.logs = append(c.logs, Line{now, "warn", "staff", fmt.Sprintf("table %d was taken back to %s as %s", id, to, book.Version())})
		return b.String()
	case args[0] == "pin" && len(rest) <= 1:
		end, bad := until(rest)
		if bad != "" {
			return bad
		}
		if err := c.plane.Pin(now, id, end); err != nil {
			return fmt.Sprintf("Refused: %v.\n", err)
		}
		c.logs = append(c.logs, Line{now, "warn", "staff", fmt.Sprintf("table %d is pinned at %s until %s", id, book.Version(), stamp(end))})
		return fmt.Sprintf("Table %d is pinned at %s until %s.\n", id, book.Version(), stamp(end))
	case args[0] == "unpin" && len(rest) == 0:
		if !c.plane.Unpin(now, id, "unpinned") {
			return fmt.Sprintf("Table %d is not pinned.\n", id)
		}
		return fmt.Sprintf("Table %d goes by the module again, as version %s.\n", id, book.Version())
	}
	return usage
}

func (c *Core) tableHistory(id fleet.TableID, book *tableversion.Table) string {
	var b strings.Builder
	b.WriteString("# time version digest lines why\n")
	for _, d := range book.History() {
		why := d.Reason
		if why == "" {
			why = "module"
		}
		fmt.Fprintf(&b, "%s %s %s %d %s\n", stamp(d.CreatedAt), d.To, d.ToDigest, len(d.Entries), why)
	}
	if until, why := c.plane.Pinned(id); until > 0 {
		fmt.Fprintf(&b, "# %s until %s\n", why, stamp(until))
	}
	return b.String()
}

func (c *Core) tableDiff(id fleet.TableID, book *tableversion.Table, rest []string, parse func(string) (tableversion.Version, string)) string {
	whole := func(v tableversion.Version) (map[string]int, string) {
		lines, err := book.At(v)
		if err != nil {
			return nil, err.Error() + ".\n"
		}
		m := map[string]int{}
		for _, l := range lines {
			name, _ := c.names.Of(l.Server)
			m[name] = l.Weight
		}
		return m, ""
	}
	from, bad := parse(rest[0])
	to := book.Version()
	if len(rest) == 2 && bad == "" {
		to, bad = parse(rest[1])
	}
	if bad != "" {
		return bad
	}
	before, bad := whole(from)
	if bad != "" {
		return bad
	}
	after, bad := whole(to)
	if bad != "" {
		return bad
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# table %d from %s to %s: server before after\n", id, from, to)
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			fmt.Fprintf(&b, "%s %d %d\n", name, before[name], after[name])
		}
	}
	return b.String()
}

func (c *Core) tableProxies() string {
	var b strings.Builder
	b.WriteString("# proxy class version/digest newest\n")
	c.plane.VersionStamps(func(id fleet.ProxyID, class fleet.ClassID, text string, newest bool) {
		if text == "" {
			text = "-"
		}
		fmt.Fprintf(&b, "%s %s %s %v\n", c.proxies[id].Name, c.site.Classes[class].Name, text, newest)
	})
	return b.String()
}

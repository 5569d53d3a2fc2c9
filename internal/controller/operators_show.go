package controller

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/netlimit"
)

// stateCommands returns the commands that print the state of the controller, its servers, tables and proxies.
func stateCommands() []command {
	return []command{
		{
			words:  []string{"show", "info"},
			help:   "the controller: version, uptime, counters, duration of steps",
			handle: (*query).showInfo,
		},
		{
			words:  []string{"show", "servers"},
			help:   "listed servers: address, zone, state, age, withdrawal, weights",
			handle: (*query).showServers,
		},
		{
			words:  []string{"show", "tables"},
			help:   "entries of all weight tables, with the weights published to proxies",
			handle: (*query).showTables,
		},
		{
			words:  []string{"show", "proxies"},
			help:   "proxies: connection, tables, pending entries and messages",
			handle: (*query).showProxies,
		},
		{
			words:  []string{"show", "orders"},
			help:   fmt.Sprintf("the latest %d orders of the balancer, oldest first", orderCapacity),
			handle: (*query).showOrders,
		},
		{
			words:  []string{"show", "doubts"},
			help:   "servers of a cached endpoint list that its source has not confirmed yet",
			handle: (*query).showVerification,
		},
	}
}

// infoField is a line "name: value" of an answer.
type infoField struct {
	name  string
	value any
}

func formatInfo(fields []infoField) string {
	var b strings.Builder
	for _, f := range fields {
		fmt.Fprintf(&b, "%s: %v\n", f.name, f.value)
	}
	return b.String()
}

func (q *query) showInfo() (string, error) {
	c := q.core
	entries, messages, changes, replaced := c.reconciler.Counters()
	durations, steps := q.loop.StepDurations(50, 99, 100)
	passed, stopped := c.guard.Counts()
	versions, deltaPercent := c.versionTotals()
	reportsWaiting, _ := c.pipeline.PendingReports(q.now)
	fields := []infoField{
		{"Name", "cressknot"},
		{"Version", q.version},
		{"Pid", os.Getpid()},
		{"Uptime_sec", int64((q.now - c.startedAt) / fleet.Second)},
		{"Servers", len(c.endpoints.listed)},
		{"List_rev", c.endpoints.revision},
		{"List_age_ms", int64((q.now - c.endpoints.updatedAt) / fleet.Millisecond)},
		{"Proxies_up", len(c.proxies.streams)},
		{"Proxies_all", len(c.proxies.configured)},
		{"Turns", steps},
		{"Steps", c.events.steps},
		{"Turn_p50_us", durations[0] / 1000},
		{"Turn_p99_us", durations[1] / 1000},
		{"Turn_most_us", durations[2] / 1000},
		{"Lines_waiting", int64(c.reconciler.Backlog())},
		{"Lines_sent", entries},
		{"Messages_sent", messages},
		{"Changes_sent", changes},
		{"Lines_replaced", replaced},
		{"Reports_waiting", reportsWaiting},
		{"Versions", versions},
		{"Delta_share_percent", fmt.Sprintf("%.1f", deltaPercent)},
		{"Guard_passed", passed},
		{"Guard_stopped", stopped},
		{"Counter_resets", c.pipeline.Resets()},
		{"Readings_folded", q.loop.mailbox.replaced()},
	}
	return formatInfo(append(fields, connectionFields(q.loop.connections)...)), nil
}

// connectionFields returns what the connections of all listeners use together; nothing if they have no limits.
func connectionFields(budget *netlimit.Budget) []infoField {
	if budget == nil {
		return nil
	}
	s := budget.Statistics()
	return []infoField{
		{"Held_bytes", s.Bytes},
		{"Held_bytes_most", s.PeakBytes},
		{"Connections", s.Connections},
		{"Closed_for_bytes", s.ClosedForBytes},
		{"Closed_for_connections", s.ClosedForConnections},
	}
}

// versionTotals counts the versions that the tables hold, and returns the number of entries that these versions
// changed in percent of the entries of the full tables.
func (c *Core) versionTotals() (versions int, deltaPercent float64) {
	changed := 0
	full := 0
	for _, id := range c.reconciler.TableIDs() {
		table := c.reconciler.TableVersions(id)
		if table == nil {
			continue
		}
		history := table.History()
		for _, d := range history[min(1, len(history)):] { // the oldest holds the full table, not a delta
			versions++
			changed += len(d.Entries)
			full += table.Len()
		}
	}
	return versions, 100 * float64(changed) / float64(max(1, full))
}

func (q *query) showServers() (string, error) {
	c := q.core
	weights := map[fleet.ServerID][]string{}
	for _, e := range c.reconciler.Entries() {
		weights[e.Server] = append(weights[e.Server], fmt.Sprintf("%d=%d", e.Table, e.Published))
	}
	var ids []fleet.ServerID
	for id := range c.endpoints.listed {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.ServerID) int { return strings.Compare(c.serverName(a), c.serverName(b)) })
	var b strings.Builder
	b.WriteString("# name addr zone state age_s withdrawn weights\n")
	for _, id := range ids {
		e := c.endpoints.listed[id]
		name, addr := c.names.Lookup(id)
		age := "-"
		if e.Started > 0 {
			age = strconv.FormatInt(int64((q.now-e.Started)/fleet.Second), 10)
		}
		fmt.Fprintf(&b, "%s %s %s %s %s %v %s\n", name, addr, c.site.Zones[e.Zone], e.State.Name(), age,
			c.reconciler.Withdrawn(id), cmp.Or(strings.Join(weights[id], ","), "-"))
	}
	return b.String(), nil
}

func (q *query) showTables() (string, error) {
	var b strings.Builder
	b.WriteString("# table server weight published withdrawn\n")
	for _, e := range q.core.reconciler.Entries() {
		name := q.core.serverName(e.Server)
		fmt.Fprintf(&b, "%d %s %.4f %d %v\n", e.Table, name, e.Weight, e.Published, e.Withdrawn)
	}
	return b.String(), nil
}

func (q *query) showProxies() (string, error) {
	c := q.core
	var b strings.Builder
	b.WriteString("# name zone addr stream tables lines_held lines_waiting messages_unanswered " +
		"messages_written answered_ms\n")
	connected := map[fleet.ProxyID]bool{}
	for _, v := range c.reconciler.Proxies() {
		connected[v.ID] = true
		var assigned []string
		for i, table := range v.Tables {
			if v.Assigned[i] {
				assigned = append(assigned, fmt.Sprintf("%s=%d", c.site.Classes[i].Name, table))
			}
		}
		p := c.proxies.configured[v.ID]
		fmt.Fprintf(&b, "%s %s %s up %s %d %d %d %d %.1f\n", p.Name, c.site.Zones[v.Zone], p.Addr,
			cmp.Or(strings.Join(assigned, ","), "own"), v.Entries, v.Waiting, v.InFlight, v.Written,
			float64(v.AcknowledgeDelay)/float64(fleet.Millisecond))
	}
	var disconnected []string
	for id, p := range c.proxies.configured {
		if !connected[id] {
			line := fmt.Sprintf("%s %s %s down - - - - - -\n", p.Name, c.site.Zones[p.Zone], p.Addr)
			disconnected = append(disconnected, line)
		}
	}
	slices.Sort(disconnected)
	return b.String() + strings.Join(disconnected, ""), nil
}

func (q *query) showOrders() (string, error) {
	var b strings.Builder
	for _, order := range q.core.history.orders {
		fmt.Fprintf(&b, "%s %s\n", formatTime(order.at), order.text)
	}
	return b.String(), nil
}

func (q *query) showVerification() (string, error) {
	var b strings.Builder
	b.WriteString("# server sight part out why\n")
	for _, v := range q.core.endpoints.verifier.Statuses() {
		reason := cmp.Or(v.Reason, "-")
		fmt.Fprintf(&b, "%s %s %.2f %v %s\n", q.core.serverName(v.Server), v.Verdict, v.WeightFraction, v.Ejected, reason)
	}
	return b.String(), nil
}

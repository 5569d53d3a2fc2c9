package controller

import (
	"cmp"
	"fmt"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/safety"
)

// explainCommands returns the commands that explain the current weights.
func explainCommands() []command {
	return []command{
		{
			words:  []string{"show", "log"},
			help:   fmt.Sprintf("the latest %d log entries, oldest first", logCapacity),
			handle: (*query).showLog,
		},
		{
			words:  []string{"explain"},
			help:   "<server>: its state, its weights and the log entries that name it",
			handle: (*query).explain,
		},
		{
			words:  []string{"get", "weight"},
			help:   "<server>: its weight in each table",
			handle: (*query).getWeight,
		},
		{
			words:  []string{"show", "refusals"},
			help:   "changes that the safety check holds back now, and manual weights",
			handle: (*query).showRefusals,
		},
	}
}

func (q *query) showLog() (string, error) {
	var b strings.Builder
	for _, e := range q.core.history.log {
		fmt.Fprintf(&b, "%s %s %s: %s\n", formatTime(e.At), e.Level, e.Source, e.Text)
	}
	return b.String(), nil
}

func (q *query) explain() (string, error) {
	if len(q.args) != 1 {
		return "", commandError("'explain' expects one server name.\n")
	}
	id, err := q.server(q.args[0])
	if err != nil {
		return "", err
	}
	c := q.core
	var b strings.Builder
	b.WriteString(q.explainListing(id))
	if c.reconciler.Withdrawn(id) {
		b.WriteString("It is withdrawn from all proxies.\n")
	}
	inTable := false
	for _, e := range c.reconciler.Entries() {
		if e.Server == id {
			inTable = true
			fmt.Fprintf(&b, "Table %d: weight %.4f, published to proxies as %d.\n", e.Table, e.Weight, e.Published)
		}
	}
	if !inTable {
		b.WriteString("It is in no weight table.\n")
	}
	attempts, failed := c.pipeline.PendingOutcomes(id)
	fmt.Fprintf(&b, "Load reports not yet passed to the balancer: %d attempts, %d of them failed.\n", attempts, failed)
	entries := c.history.entriesNaming(q.args[0])
	for _, e := range entries {
		fmt.Fprintf(&b, "%s %s: %s\n", formatTime(e.At), e.Source, e.Text)
	}
	if len(entries) == 0 {
		b.WriteString("No log entry names it.\n")
	}
	return b.String(), nil
}

// explainListing describes a server's entry in the endpoint list.
func (q *query) explainListing(id fleet.ServerID) string {
	c := q.core
	name, addr := c.names.Lookup(id)
	e, listed := c.endpoints.listed[id]
	if !listed {
		return fmt.Sprintf("%s (%s) is not listed, so it gets no requests.\n", name, addr)
	}
	text := fmt.Sprintf("%s (%s) is listed as %s in %s.\n", name, addr, e.State.Name(), c.site.Zones[e.Zone])
	if c.warmingUp(q.now, id) {
		remaining := e.Started + c.site.SlowStart.Duration - q.now
		text += fmt.Sprintf("It is in slow start for another %.1f s, with its weight limited accordingly.\n",
			remaining.Seconds())
	}
	return text
}

func (q *query) getWeight() (string, error) {
	if len(q.args) != 1 {
		return "", commandError("'get weight' expects one server name.\n")
	}
	id, err := q.server(q.args[0])
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, e := range q.core.reconciler.Entries() {
		if e.Server == id {
			fmt.Fprintf(&b, "%d: %d (initial 1)\n", e.Table, e.Published)
		}
	}
	return cmp.Or(b.String(), "It is in no weight table.\n"), nil
}

func (q *query) showRefusals() (string, error) {
	var b strings.Builder
	b.WriteString("# since proxies what\n")
	for _, r := range q.core.reconciler.Refusals() {
		fmt.Fprintf(&b, "%s %d %s\n", formatTime(r.Since), r.Proxies, safety.FormatRefusal(r, q.core.serverName(r.Server)))
	}
	for _, m := range q.core.reconciler.ManualWeights() {
		fmt.Fprintf(&b, "%s - end of a manual weight: table %d, server %s, weight %d\n",
			formatTime(m.Until), m.Table, q.core.serverName(m.Server), m.Weight)
	}
	return b.String(), nil
}

package balancer

import (
	"cmp"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

// publish emits what goes to all. Urgent lines need no room; ordinary ones go once an interval, the largest
// changes first, and what the channel has no room for follows in pieces.
func (g *Balancer) publish() {
	users := float64(len(g.proxies.all))
	fit := room*g.site.MaxBacklog - g.backlog() - g.messageCost()*users
	last := -(room - tenth/2) * g.site.MaxBacklog // of fit, for withdrawals
	// More than leaves till the next go only keeps others waiting, and proxies off their tables come first.
	kept := g.site.MaxBacklog * room * room * min(1, g.proxies.outOfSync)
	kept = max(kept, fit+g.backlog()-room*balanceInterval.Seconds()*g.site.EntriesPerSecond)
	spare := quarter*float64(len(g.endpoints.all)) - float64(len(g.endpoints.all)-len(g.endpoints.ready))
	for _, s := range g.endpoints.all {
		// Standing tables send to cold servers as to all others, so some stay out until no proxy goes by one.
		out := s.State != fleet.ServerReady
		if !out && g.proxies.outOfSync > 0 && g.warmingUp(s) && spare > 1 {
			out, spare = true, spare-1
		}
		on := g.proxies.outOfSync // those whose tables may have it
		for t, b := range g.tables {
			if s.orderedWeight[t] > 0 || s.weightUnconfirmed[t] {
				on = min(users, on+b.proxyCount)
			}
		}
		if (out != s.withdrawn || s.withdrawalUnconfirmed) && (fit > on || out && fit-on > last) {
			s.withdrawn, s.withdrawalUnconfirmed, s.withdrawalChangedAt, fit = out, false, g.now, fit-on
			g.broadcast(fleet.WithdrawServer{Server: s.Server, Withdrawn: out}, on)
		}
	}
	for c := range g.classes {
		l, out := fleet.SetAdmission{Table: fleet.AllTables, Classes: 1 << c, Retry: g.admission.retry}, &g.classes[c].sentAdmission
		l.Limit = float32(g.admissionLimit(c))
		if fit > users && (math.Abs(float64(l.Limit/out.Limit-1)) > tenth || l.Retry != out.Retry) {
			*out, fit = l, fit-users
			g.broadcast(l, users)
		}
	}
	// Proxies go by ratios, so a factor common to most lines of a table is no change.
	ordinary, lines := g.channel.nextChangesAt > 0 && g.now >= g.channel.nextChangesAt, []weightChange{}
	dear := g.layout.partitioned && float64(g.site.ProxyCount*len(g.endpoints.all)) > g.site.EntriesPerSecond*g.site.DrainTimeout.Seconds()
	for t, b := range g.tables {
		scale, top := []float64{}, 0.0
		for _, s := range g.endpoints.all {
			top = max(top, s.wantedWeight[t])
			if ratio := s.orderedWeight[t] / max(s.wantedWeight[t], negligible); ratio > 1/huge && ratio < huge {
				scale = append(scale, ratio)
			}
		}
		unit := cmp.Or(quantile(scale, 0.5), 1)
		for _, s := range g.endpoints.all {
			w, o := s.wantedWeight[t]*unit, s.orderedWeight[t]
			if (b.proxyCount == 0 || dear) && s.wantedWeight[t] < tenth*top { // would make joins dear; few miss it
				w = 0
			}
			change, idle := math.Abs(w-o), b.orderedWeight > 0 || b.proxyCount == 0
			if s.weightUnconfirmed[t] {
				change = max(w, o)
			}
			small := o == 0 && change < tenth*unit && idle && (g.schedule.observing || g.proxies.outOfSync > 0) // would make joins dear
			urgent := !s.withdrawn && (b.orderedWeight == 0 || g.warmingUp(s) && (o > maxDensityRatio*w || s.weightUnconfirmed[t]))
			same := w == o || w > 0 && change <= minRelativeChange*o || small
			if same && !s.weightUnconfirmed[t] || !ordinary && !urgent {
				continue
			}
			l := weightChange{SetWeight: fleet.SetWeight{Table: fleet.TableID(t), Server: s.Server, Weight: float32(w)}}
			if urgent {
				l.priority = huge + change/unit
			} else if !s.withdrawn {
				l.priority = change / unit
			}
			lines = append(lines, l)
		}
	}
	if ordinary {
		g.channel.nextChangesAt = 0
	}
	slices.SortStableFunc(lines, func(a, b weightChange) int { return cmp.Compare(b.priority, a.priority) })
	for _, l := range lines {
		on := g.tables[l.Table].proxyCount
		fit -= on
		if on > 0 && (l.priority < huge && fit < kept || fit < -(quarter+tenth)*g.site.MaxBacklog) {
			g.channel.nextChangesAt = g.now + balanceInterval/2
			continue
		}
		g.endpoints.byID[l.Server].orderedWeight[l.Table], g.endpoints.byID[l.Server].weightUnconfirmed[l.Table] = float64(l.Weight), false
		g.broadcast(l.SetWeight, on)
	}
}

// assignProxies puts proxies on their tables, those with most visits first, as many as the channel has room for.
func (g *Balancer) assignProxies() (bound int) {
	for t := range g.tables { // as they are now that lines went out
		for _, s := range g.endpoints.all {
			if s.orderedWeight[t] > 0 {
				g.tables[t].assignmentEntries++
			}
			if s.orderedWeight[t] > 0 && s.withdrawn {
				g.tables[t].assignmentEntries++
			}
		}
	}
	astray := slices.DeleteFunc(slices.Clone(g.proxies.all), func(p *proxyState) bool { return !p.outOfSync })
	slices.SortStableFunc(astray, func(a, b *proxyState) int { return cmp.Compare(b.expectedRate, a.expectedRate) })
	for _, p := range astray {
		binds, lines := []fleet.Order{}, g.messageCost()
		for t, b := range g.tables {
			astray := false
			for c, on := range p.assignedTables {
				astray = astray || b.classes&(1<<c) != 0 && (on != t || p.assignmentUnconfirmed) && g.tableOf(c, p.partition) == t
			}
			if astray {
				binds = append(binds, fleet.AssignTable{Proxy: p.id, Table: fleet.TableID(t), Classes: b.classes})
				lines += 1 + b.assignmentEntries
			}
		}
		most := room
		if g.now >= p.joinedAt+g.site.DrainTimeout/8 { // it may send to servers that are out
			most += quarter + tenth
		}
		if g.schedule.observing || g.backlog() > 0 && g.backlog()+lines > most*g.site.MaxBacklog {
			continue
		}
		g.channel.entriesSent, g.orders, p.assignmentUnconfirmed = g.channel.entriesSent+lines, append(g.orders, binds...), false
		bound++
		for c := range p.assignedTables {
			p.assignedTables[c] = g.tableOf(c, p.partition)
		}
	}
	return bound
}

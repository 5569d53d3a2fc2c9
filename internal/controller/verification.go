package controller

import (
	"fmt"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// verifyByOutcomesOnly makes the outcomes of proxies' requests the only way to verify servers of a cached list: the
// controller does not contact the servers.
func (c *Core) verifyByOutcomesOnly() {
	c.endpoints.verifier = verification.NewVerifier(c.site, false)
}

// startFromCache applies a cached list, unless the source itself has already delivered one.
func (c *Core) startFromCache(now fleet.Time, update discovery.Update, out *Output) {
	if c.endpoints.live {
		return
	}
	if len(update.List.Endpoints) == 0 { // applying it would remove all servers
		text := "the cached endpoint list is empty and ignored: proxies keep their tables until the source delivers a list"
		c.log(out, LogEntry{now, LevelWarn, "list", text})
		return
	}
	c.applyList(now, update, out)
	age, known := verification.Age(now, update.ConfirmedAt)
	var named []verification.AddressedEndpoint
	for id, e := range c.endpoints.listed {
		name, addr := c.names.Lookup(id)
		named = append(named, verification.AddressedEndpoint{Endpoint: e, Addr: addr, Unverified: update.Unverified[name]})
	}
	c.endpoints.verifier.Begin(now, age, named)
	text := fmt.Sprintf("starting from a cached endpoint list of %d servers, confirmed %.0f s ago",
		len(named), age.Seconds())
	if !known {
		text = fmt.Sprintf("starting from a cached endpoint list of %d servers of unknown age", len(named))
	}
	text = fmt.Sprintf("%s; weight factor of unverified servers: %.2f", text, verification.UnverifiedWeightFactor(age))
	c.log(out, LogEntry{now, LevelInfo, "list", text})
}

// verifyEndpoints executes the verifier's plan for servers of a cached list: probes, ejections and weight fractions.
func (c *Core) verifyEndpoints(now fleet.Time, out *Output) (due fleet.Time) {
	plan := c.endpoints.verifier.NextPlan(now)
	out.Verifications = plan.Probes
	if changed := append(plan.Ejected, plan.Readmitted...); len(changed) > 0 {
		list := fleet.EndpointList{
			Scope:     fleet.ListDelta,
			Revision:  fleet.ListRevision(c.endpoints.revision),
			Endpoints: changed,
		}
		for _, e := range list.Endpoints {
			c.endpoints.updateListed(e)
		}
		c.distributeEndpoints(now, list)
	}
	if len(plan.WeightFractions) > 0 {
		var parts []reconcile.WeightFraction
		for _, part := range plan.WeightFractions {
			parts = append(parts, reconcile.WeightFraction(part))
		}
		// The reason is persisted with the new versions.
		c.reconciler.ScaleWeights(now, parts, "a kept list's names")
	}
	for _, notice := range plan.Notices {
		entry := LogEntry{now, LevelInfo, "list", notice.Text}
		if notice.OfServer {
			name, addr := c.names.Lookup(notice.Server)
			entry.Level = LevelWarn
			entry.Text = fmt.Sprintf("server %s (%s) %s", name, addr, notice.Text)
		}
		c.log(out, entry)
	}
	return plan.Wake
}

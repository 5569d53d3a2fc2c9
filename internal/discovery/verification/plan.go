package verification

import (
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// maxProbesInFlight bounds the concurrent probes: a probe of a dead machine lasts until its timeout.
	maxProbesInFlight = 128

	// totalFailureTimeout is how long all requests may fail until the refuted servers are used again.
	totalFailureTimeout = 10 * fleet.Second

	// A weight factor is multiplied by rampFactor at most once per rampInterval, so that the load of a server rises
	// gradually.
	rampInterval = fleet.Second
	rampFactor   = 2

	// minFactorChange is the smallest relative change of a weight factor that justifies an update of all proxies.
	minFactorChange = 0.1
)

// Plan lists the actions to take now.
type Plan struct {
	Probes          []fleet.ServerID // servers to probe; the caller passes each result to ProbeFinished
	Ejected         []fleet.Endpoint // servers to stop using, with the state ServerGone
	Readmitted      []fleet.Endpoint // servers to use again
	WeightFractions []WeightFraction // weight factors that changed
	Notices         []Notice
	Wake            fleet.Time // when to call NextPlan again; 0: after the next observation
}

// WeightFraction is the factor by which the weight of a server is to be multiplied.
type WeightFraction struct {
	Server   fleet.ServerID
	Fraction float64 // above 0, at most 1
}

// Notice is a message for operators.
type Notice struct {
	Server   fleet.ServerID // valid if OfServer
	OfServer bool           // the notice is about Server
	Text     string
}

// NextPlan returns the actions that follow from the observations so far, apart from those of earlier plans. It returns
// an empty plan if there are no new observations and the Wake of the last plan is not yet due.
func (v *Verifier) NextPlan(now fleet.Time) Plan {
	if !v.changed && (v.nextWake == 0 || now < v.nextWake) {
		return Plan{Wake: v.nextWake}
	}
	v.changed = false
	plan := Plan{WeightFractions: v.restored}
	v.restored = nil
	v.resetAfterTotalFailure(now)
	v.retainLastServers()
	if v.outcomesOnly {
		v.readmitDue(now)
	} else {
		v.planProbes(now, &plan)
	}
	v.planServers(now, &plan)
	v.summarize()
	plan.Notices = v.notices
	v.notices = nil
	v.nextWake = plan.Wake
	return plan
}

// wakeAt makes the plan's wake-up no later than the given time.
func (p *Plan) wakeAt(at fleet.Time) {
	if p.Wake == 0 || at < p.Wake {
		p.Wake = at
	}
}

// resetAfterTotalFailure revokes all refutations after requests to the servers in use have only failed for
// totalFailureTimeout: that says nothing about the refuted servers, which may be the working ones.
func (v *Verifier) resetAfterTotalFailure(now fleet.Time) {
	if v.failuresSinceSuccess < minRefutingFailures || now < v.lastSuccess+totalFailureTimeout {
		return
	}
	for _, c := range v.candidates {
		if c.verdict == VerdictRefuted {
			c.verdict = VerdictUnknown
			c.probeAt = now
			c.reason = ""
			c.failedProbes = 0
		}
	}
	v.lastSuccess = now
	v.failuresSinceSuccess = 0
	v.reachedAny = false
}

// retainLastServers keeps one refuted server in use if all are refuted: one in total, or one in each such zone if a
// class is confined to its zone. It selects the server with the fewest failed probes.
func (v *Verifier) retainLastServers() {
	zoneLocal := slices.ContainsFunc(v.site.Classes, func(c fleet.RequestClass) bool { return c.ZoneLocal })
	usable := map[fleet.ZoneID]bool{}
	best := map[fleet.ZoneID]*candidate{}
	for _, c := range v.candidates {
		var zone fleet.ZoneID // all servers count as one zone unless a class is confined to its zone
		if zoneLocal {
			zone = c.Endpoint.Zone
		}
		c.retained = false
		if c.verdict != VerdictRefuted {
			usable[zone] = true
			continue
		}
		if best[zone] == nil || c.failedProbes < best[zone].failedProbes {
			best[zone] = c
		}
	}
	for zone, c := range best {
		c.retained = !usable[zone]
	}
}

// readmitDue makes servers usable again whose ejection duration has elapsed.
func (v *Verifier) readmitDue(now fleet.Time) {
	for _, c := range v.candidates {
		if c.verdict == VerdictRefuted && c.probeAt > 0 && now >= c.probeAt {
			c.setUsableVerdict(VerdictUnknown)
			c.probeAt = 0
		}
	}
}

// planProbes adds the probes that are due, up to maxProbesInFlight.
func (v *Verifier) planProbes(now fleet.Time, plan *Plan) {
	for _, c := range v.candidates {
		switch {
		case c.probeAt == 0 || c.probing:
		case now < c.probeAt:
			plan.wakeAt(c.probeAt)
		case v.probesInFlight < maxProbesInFlight:
			c.probing = true
			c.probeAt = 0
			v.probesInFlight++
			plan.Probes = append(plan.Probes, c.Endpoint.Server)
		}
	}
}

// planServers plans ejections and weight factors. It ends the verification of confirmed servers at full weight.
func (v *Verifier) planServers(now fleet.Time, plan *Plan) {
	bounds := v.newUnknownWeightBounds()
	highest := minUnverifiedFactor
	for _, c := range v.candidates {
		if c.usable() {
			highest = max(highest, v.targetFactor(c, bounds))
		}
	}
	remaining := v.candidates[:0]
	for _, c := range v.candidates {
		v.planEjection(c, plan)
		if !c.ejected {
			c.planFactor(now, v.targetFactor(c, bounds)/highest, plan)
		}
		if c.verdict == VerdictConfirmed && c.factor == 1 {
			delete(v.byServer, c.Endpoint.Server)
			continue
		}
		remaining = append(remaining, c)
	}
	clear(v.candidates[len(remaining):])
	v.candidates = remaining
}

// usable reports whether the server may be used: it is not refuted, or is the last one left.
func (c *candidate) usable() bool { return c.verdict != VerdictRefuted || c.retained }

// planEjection ejects or readmits the server if that has changed. Only the first ejection of a server is reported to
// operators, as it may be ejected repeatedly for hours.
func (v *Verifier) planEjection(c *candidate, plan *Plan) {
	if c.ejected == !c.usable() {
		return
	}
	c.ejected = !c.usable()
	if !c.ejected {
		plan.Readmitted = append(plan.Readmitted, c.Endpoint)
		return
	}
	gone := c.Endpoint
	gone.State = fleet.ServerGone
	plan.Ejected = append(plan.Ejected, gone)
	if !c.reported {
		c.reported = true
		v.notices = append(v.notices, Notice{Server: c.Endpoint.Server, OfServer: true, Text: "ejected: " + c.reason})
	}
}

// planFactor moves the weight factor towards the wanted one: upwards in steps, downwards at once.
func (c *candidate) planFactor(now fleet.Time, wanted float64, plan *Plan) {
	switch {
	case wanted > c.factor:
		if now < c.raisedAt+rampInterval {
			plan.wakeAt(c.raisedAt + rampInterval)
			return
		}
		next := min(wanted, rampFactor*c.factor)
		if next < wanted {
			plan.wakeAt(now + rampInterval)
		}
		if next-c.factor > minFactorChange*c.factor || next == 1 {
			c.setFactor(now, next, plan)
		}
	case wanted < c.factor*(1-minFactorChange):
		c.setFactor(now, wanted, plan)
	}
}

// setFactor changes the weight factor and adds the change to the plan.
func (c *candidate) setFactor(now fleet.Time, factor float64, plan *Plan) {
	c.factor = factor
	c.raisedAt = now
	plan.WeightFractions = append(plan.WeightFractions, WeightFraction{Server: c.Endpoint.Server, Fraction: factor})
}

// summarize reports the number of servers per verdict to operators, once, when no server is unknown any more.
func (v *Verifier) summarize() {
	var counts [VerdictConfirmed + 1]int
	for _, c := range v.candidates {
		counts[c.verdict]++
	}
	if v.summarized || counts[VerdictUnknown] > 0 || counts[VerdictProven]+counts[VerdictReachable] == 0 {
		return
	}
	v.summarized = true
	v.notices = append(v.notices, Notice{Text: fmt.Sprintf(
		"cached servers verified: %d handle requests or answer with their name, %d accept connections, %d are refuted",
		counts[VerdictProven], counts[VerdictReachable], counts[VerdictRefuted])})
}

// ServerStatus is the state of a server under verification, for operators.
type ServerStatus struct {
	Server         fleet.ServerID
	Verdict        HealthVerdict
	WeightFraction float64 // planned last; above 0, at most 1
	Ejected        bool    // out of use
	Reason         string  // why the verdict is VerdictRefuted; empty for other verdicts
}

// Statuses returns the servers under verification, sorted by server ID.
func (v *Verifier) Statuses() []ServerStatus {
	var statuses []ServerStatus
	for _, c := range v.candidates {
		statuses = append(statuses, ServerStatus{
			Server:         c.Endpoint.Server,
			Verdict:        c.verdict,
			WeightFraction: c.factor,
			Ejected:        c.ejected,
			Reason:         c.reason,
		})
	}
	return statuses
}

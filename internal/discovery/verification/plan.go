package verification

import (
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// maxProbesInFlight bounds the probes: one of a dead machine lasts until its timeout.
	maxProbesInFlight = 128

	// totalFailureTimeout is how long all requests may fail before the refuted servers are used again.
	totalFailureTimeout = 10 * fleet.Second

	// A weight factor rises by rampFactor at most once in rampInterval, so that no load comes at once.
	rampInterval = fleet.Second
	rampFactor   = 2

	// minFactorChange is the relative change of a weight factor that is worth an update of all proxies.
	minFactorChange = 0.1
)

// Plan is what is to be done now.
type Plan struct {
	Probes          []fleet.ServerID // servers to probe; Asked is to be called with each result
	Ejected         []fleet.Endpoint // ejected servers, with the state of a gone one
	Readmitted      []fleet.Endpoint // servers to use again
	WeightFractions []WeightFraction // weight factors that changed
	Notices         []Notice
	Wake            fleet.Time // when to call Next again; 0: when something is learned
}

// WeightFraction is the weight factor of a server.
type WeightFraction struct {
	Server   fleet.ServerID
	Fraction float64 // from 0 to 1
}

// Notice is a message for operators.
type Notice struct {
	Server   fleet.ServerID // valid if OfServer
	OfServer bool
	Text     string
}

// NextPlan plans what is to be done. It returns the differences from the plans before.
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

// resetAfterTotalFailure takes back all refutations when no request succeeds: the servers in use handle nothing, so
// that the others can't be judged either.
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

// retainLastServers spares one refuted server where no other is left: of all, or of each zone if a class is confined to
// its zone. It prefers the one with the fewest failed probes.
func (v *Verifier) retainLastServers() {
	zoneLocal := slices.ContainsFunc(v.site.Classes, func(c fleet.RequestClass) bool { return c.ZoneLocal })
	usable := map[fleet.ZoneID]bool{}
	best := map[fleet.ZoneID]*candidate{}
	for _, c := range v.candidates {
		var zone fleet.ZoneID // all servers count as of one zone unless a class is confined
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

// readmitDue lets servers be used again whose ejection has lasted long enough.
func (v *Verifier) readmitDue(now fleet.Time) {
	for _, c := range v.candidates {
		if c.verdict == VerdictRefuted && c.probeAt > 0 && now >= c.probeAt {
			c.setUsableVerdict(VerdictUnknown)
			c.probeAt = 0
		}
	}
}

// planProbes requests the probes that are due, as far as the limit allows.
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

// planServers plans ejections and weight factors, and forgets the confirmed servers that have their full weight.
func (v *Verifier) planServers(now fleet.Time, plan *Plan) {
	weights := v.newUnknownWeightBounds()
	highest := minTrust
	for _, c := range v.candidates {
		if c.usable() {
			highest = max(highest, v.targetFactor(c, weights))
		}
	}
	remaining := v.candidates[:0]
	for _, c := range v.candidates {
		v.planEjection(c, plan)
		if !c.ejected {
			c.planFactor(now, v.targetFactor(c, weights)/highest, plan)
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

func (c *candidate) usable() bool { return c.verdict != VerdictRefuted || c.retained }

// planEjection ejects the server or lets it be used again. Operators learn of its first ejection only, as it may be
// ejected again and again for hours.
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

// planFactor moves the weight factor towards the wanted one: up by steps, down at once.
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

func (c *candidate) setFactor(now fleet.Time, factor float64, plan *Plan) {
	c.factor = factor
	c.raisedAt = now
	plan.WeightFractions = append(plan.WeightFractions, WeightFraction{Server: c.Endpoint.Server, Fraction: factor})
}

// summarize tells operators once, when something is known of each server, how many have which verdict.
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
		"of the cached servers, %d handle requests or answer with their name, %d accept connections, %d are refuted",
		counts[VerdictProven], counts[VerdictReachable], counts[VerdictRefuted])})
}

// View is what operators see of a server under verification.
type View struct {
	Server         fleet.ServerID
	Verdict        HealthVerdict
	WeightFraction float64 // weight factor
	Ejected        bool    // ejected
	Reason         string  // reason of VerdictRefuted
}

// Views returns the servers under verification in the order of their numbers.
func (v *Verifier) Views() []View {
	var views []View
	for _, c := range v.candidates {
		views = append(views, View{
			Server:         c.Endpoint.Server,
			Verdict:        c.verdict,
			WeightFraction: c.factor,
			Ejected:        c.ejected,
			Reason:         c.reason,
		})
	}
	return views
}

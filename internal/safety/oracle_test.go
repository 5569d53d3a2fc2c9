package safety

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

const (
	oracleServers = 4
	oracleProxies = 2
	oracleClasses = 2
)

// entryTable holds the entries of a proxy by class and server.
type entryTable [oracleClasses][oracleServers]reconcile.EntryState

// oracle is a small fleet with a complete known state, by which the verdicts of the checker are verified.
type oracle struct {
	checker    *Checker
	states     [oracleServers]fleet.ServerState
	startedAt  [oracleServers]fleet.Time
	capacities [oracleServers]float64
	demand     [oracleProxies][oracleClasses]float64
	// possible holds the tables that each proxy may have: first the acknowledged one, then the one after each change in
	// flight.
	possible [oracleProxies][]entryTable
}

func (o *oracle) isWarmingUp(server int) bool {
	return o.startedAt[server] > 0 && now < o.startedAt[server]+10*fleet.Second
}

func (o *oracle) isReady(server int) bool { return o.states[server] == fleet.ServerReady }

// latest returns the table of a proxy after all changes in flight have arrived.
func (o *oracle) latest(proxy int) entryTable {
	return o.possible[proxy][len(o.possible[proxy])-1]
}

// drawOracle draws a fleet and reports it to a checker.
func drawOracle(t *rapid.T) *oracle {
	o := &oracle{checker: New(testSite())}
	list := fleet.EndpointList{Scope: fleet.ListFull}
	for server := range oracleServers {
		o.states[server] = fleet.ServerState(max(0, rapid.IntRange(-4, 2).Draw(t, "state")))
		if rapid.IntRange(0, 2).Draw(t, "warming") == 0 {
			o.startedAt[server] = now - fleet.Time(rapid.IntRange(0, 12).Draw(t, "age"))*fleet.Second
		}
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{
			Server:  fleet.ServerID(server),
			State:   o.states[server],
			Started: o.startedAt[server],
		})
	}
	o.checker.Observe(now, list)
	for server := range oracleServers {
		o.capacities[server] = float64(rapid.IntRange(2, 40).Draw(t, "capacity"))
		if !o.isWarmingUp(server) { // it handles half of its capacity at a utilization of 0.5
			o.checker.Observe(now, fleet.OutcomeReport{
				Server:   fleet.ServerID(server),
				Attempts: uint32(10 * o.capacities[server]),
				Interval: 20 * fleet.Second,
				Load:     []float32{0.5},
			})
		}
	}
	for proxy := range oracleProxies {
		o.checker.Observe(now, fleet.ProxyJoined{Proxy: fleet.ProxyID(proxy)})
		for class := range oracleClasses {
			requests := rapid.IntRange(0, 30).Draw(t, "requests")
			o.demand[proxy][class] = float64(requests) / 2
			o.checker.Observe(now, fleet.DemandReport{
				Proxy:    fleet.ProxyID(proxy),
				Class:    fleet.ClassID(class),
				Requests: uint32(requests),
				Interval: 2 * fleet.Second,
			})
		}
	}
	return o
}

func drawEntry(t *rapid.T) reconcile.EntryState {
	entry := reconcile.EntryState{Present: rapid.IntRange(0, 4).Draw(t, "present") > 0}
	if entry.Present {
		entry.Weight = int16(rapid.SampledFrom([]int{0, 1, 20, 128, 256}).Draw(t, "weight"))
		entry.State = reconcile.State(1 + max(0, rapid.IntRange(-3, 2).Draw(t, "unusable")))
	}
	return entry
}

// drawInitialTables draws the table that each proxy has when it joins.
func (o *oracle) drawInitialTables(t *rapid.T) {
	for proxy := range oracleProxies {
		var initial entryTable
		for class := range oracleClasses {
			for server := range oracleServers {
				initial[class][server] = drawEntry(t)
			}
		}
		o.possible[proxy] = []entryTable{initial}
	}
}

// newPlan returns the plan of a message to a proxy.
func (o *oracle) newPlan(proxy int, proposals []reconcile.Proposal) *reconcile.UpdatePlan {
	latest := o.latest(proxy)
	plan := &reconcile.UpdatePlan{
		Proxy:           fleet.ProxyID(proxy),
		EntryCounts:     make([]int, oracleClasses),
		WeightSums:      make([]int, oracleClasses),
		NothingInFlight: len(o.possible[proxy]) == 1,
		Proposals:       proposals,
	}
	for server := range oracleServers {
		for class := range oracleClasses {
			entry := latest[class][server]
			if !entry.Usable() || !o.isReady(server) {
				continue
			}
			plan.EntryCounts[class]++
			plan.WeightSums[class] += int(entry.Weight)
			if o.isWarmingUp(server) {
				plan.Warming = append(plan.Warming, reconcile.WarmingEntry{
					Class:  fleet.ClassID(class),
					Server: fleet.ServerID(server),
					State:  entry,
				})
			}
		}
	}
	return plan
}

func (o *oracle) drawProposals(t *rapid.T, proxy int) (proposals []reconcile.Proposal) {
	latest := o.latest(proxy)
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		class := rapid.IntRange(0, oracleClasses-1).Draw(t, "class")
		server := rapid.IntRange(0, oracleServers-1).Draw(t, "server")
		want := drawEntry(t)
		want.Present = true
		isSame := func(proposal reconcile.Proposal) bool {
			return int(proposal.Class) == class && int(proposal.Server) == server
		}
		if want == latest[class][server] || slices.ContainsFunc(proposals, isSame) {
			continue
		}
		if want.State == reconcile.StateUnchanged {
			want.State = reconcile.StateReady
		}
		proposals = append(proposals, reconcile.Proposal{
			Change: reconcile.Change{
				Class:  fleet.ClassID(class),
				Server: fleet.ServerID(server),
				Weight: want.Weight,
			},
			Current: latest[class][server],
			Desired: want,
			Ready:   o.isReady(server),
			Warming: o.isWarmingUp(server),
			Urgent:  want.State != reconcile.StateReady,
		})
	}
	return proposals
}

// tablesAfter returns the table of a proxy after each of the accepted proposals in their order.
func tablesAfter(table entryTable, proposals []reconcile.Proposal) (tables []entryTable) {
	for _, proposal := range proposals {
		if proposal.RefusalReason == "" {
			table[proposal.Class][proposal.Server] = proposal.Desired
			tables = append(tables, table)
		}
	}
	return tables
}

// usable returns the number and the weight sum of a class's usable entries of ready servers.
func (o *oracle) usable(table entryTable, class int) (count, weightSum int) {
	for server, entry := range table[class] {
		if entry.Usable() && o.isReady(server) {
			count++
			weightSum += int(entry.Weight)
		}
	}
	return count, weightSum
}

// violation returns the rule that a message violates, "" for none. It checks each combination of tables that the
// proxies may have while messages arrive, without the code of the checker.
func (o *oracle) violation(proxy int, proposals []reconcile.Proposal, tables []entryTable) string {
	for _, proposal := range proposals {
		becomesUsable := proposal.Desired.Usable() && !proposal.Current.Usable()
		if proposal.RefusalReason == "" && !o.isReady(int(proposal.Server)) && becomesUsable {
			return ReasonServerNotReady
		}
	}
	before := o.latest(proxy)
	for class := range oracleClasses {
		countBefore, _ := o.usable(before, class)
		for _, table := range tables {
			if count, _ := o.usable(table, class); countBefore > 0 && count == 0 {
				return ReasonNoEndpoints
			}
		}
	}
	all := o.possible
	all[proxy] = append(slices.Clone(all[proxy]), tables...)
	for server := range oracleServers {
		if o.isWarmingUp(server) && o.isReady(server) && o.isOverloaded(server, all) {
			return ReasonWarmingOverload
		}
	}
	return ""
}

// isOverloaded reports whether any combination of the proxies' possible tables exceeds a warming server's rate limit.
func (o *oracle) isOverloaded(server int, tables [oracleProxies][]entryTable) bool {
	limit := o.rateLimit(server)
	for _, first := range tables[0] {
		for _, second := range tables[1] {
			rate := 0.0
			for proxy, table := range []entryTable{first, second} {
				for class := range oracleClasses {
					entry := table[class][server]
					if _, weightSum := o.usable(table, class); weightSum > 0 && entry.Usable() {
						rate += o.demand[proxy][class] * float64(entry.Weight) / float64(weightSum)
					}
				}
			}
			if rate > limit+1e-9 {
				return true
			}
		}
	}
	return false
}

// rateLimit computes the rate limit of a warming server by bisection.
func (o *oracle) rateLimit(server int) float64 {
	var known []float64
	for other := range oracleServers {
		if !o.isWarmingUp(other) && o.isReady(other) {
			known = append(known, o.capacities[other])
		}
	}
	capacity := 0.0
	if slices.Sort(known); len(known) > 0 {
		capacity = known[len(known)/4]
	}
	warmedUp := (now - o.startedAt[server]).Seconds() / 10
	budget := 2 * (0.2 + 0.8*math.Min(1, warmedUp)) * capacity * 2
	low, high := 0.0, 1e6
	for range 200 {
		middle := (low + high) / 2
		if middle*2+2*math.Sqrt(middle*2) <= budget+2 {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fillsEmptyClassWithWarming reports whether a class that had no endpoints gets warming servers only.
func (o *oracle) fillsEmptyClassWithWarming(before, after entryTable) bool {
	for class := range oracleClasses {
		countBefore, _ := o.usable(before, class)
		var alone entryTable
		alone[class] = after[class]
		if countBefore == 0 && o.hasWarmingOnly(alone) {
			return true
		}
	}
	return false
}

// hasWarmingOnly reports whether some class has warming servers only. Then keeping endpoints takes precedence over rate
// limits.
func (o *oracle) hasWarmingOnly(table entryTable) bool {
	for class := range oracleClasses {
		usable, warm := 0, 0
		for server, entry := range table[class] {
			if entry.Usable() && o.isReady(server) {
				usable++
				if !o.isWarmingUp(server) {
					warm++
				}
			}
		}
		if usable > 0 && warm == 0 {
			return true
		}
	}
	return false
}

// oracleCounts holds the numbers of verdicts over all draws.
type oracleCounts struct {
	checked, stopped                              int
	wronglyStopped, wronglyPassed, stillViolating int
	byReason                                      map[string]int
}

// checkMessage compares the verdicts of checker and oracle on a drawn message. It returns false if the fleet is in a
// state that the oracle can't judge further.
func (o *oracle) checkMessage(t *rapid.T, proxy int, counts *oracleCounts) bool {
	original := o.newPlan(proxy, o.drawProposals(t, proxy))
	checked := o.newPlan(proxy, slices.Clone(original.Proposals))
	latest := o.latest(proxy)
	reconcile.Arrange(original)
	tables := tablesAfter(latest, original.Proposals)
	violation := o.violation(proxy, original.Proposals, tables)
	if violation == ReasonWarmingOverload && slices.ContainsFunc(tables, func(table entryTable) bool {
		return o.fillsEmptyClassWithWarming(latest, table)
	}) {
		return false // having endpoints takes precedence
	}
	o.checker.CheckPlan(now, checked)
	isStopped := slices.ContainsFunc(checked.Proposals, func(proposal reconcile.Proposal) bool {
		return proposal.RefusalReason != "" || proposal.LowerReason != ""
	})
	counts.checked++
	counts.byReason[violation]++
	if isStopped {
		counts.stopped++
	}
	switch {
	case isStopped && violation == "":
		counts.wronglyStopped++
		t.Errorf("safe message was stopped: %+v", checked.Proposals)
	case !isStopped && violation != "":
		counts.wronglyPassed++
		t.Errorf("message passed, but it violates %q: %+v", violation, checked.Proposals)
	}
	reconcile.Arrange(checked)
	tables = tablesAfter(latest, checked.Proposals)
	if left := o.violation(proxy, checked.Proposals, tables); left != "" {
		if left == ReasonWarmingOverload && slices.ContainsFunc(append(tables, latest), o.hasWarmingOnly) {
			return false // having endpoints takes precedence
		}
		counts.stillViolating++
		t.Errorf("the changes left by the checker violate %q: %+v", left, checked.Proposals)
	}
	o.possible[proxy] = append(o.possible[proxy], tables...)
	return true
}

// TestGuardAgreesWithOracle checks with thousands of drawn messages, while others are in flight, that each stopped
// message violates a rule, that each safe one passes unchanged, and that the changes left of a stopped one violate no
// rule.
func TestGuardAgreesWithOracle(t *testing.T) {
	counts := &oracleCounts{byReason: map[string]int{}}
	rapid.Check(t, func(t *rapid.T) {
		o := drawOracle(t)
		o.drawInitialTables(t)
		if o.violation(0, nil, nil) != "" {
			return // the drawn tables violate a rule before any message
		}
		for proxy := range oracleProxies {
			o.checker.ProxyJoined(now, o.newPlan(proxy, nil))
		}
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			proxy := rapid.IntRange(0, oracleProxies-1).Draw(t, "proxy")
			if rapid.IntRange(0, 3).Draw(t, "acknowledged") == 0 { // all messages in flight have arrived
				o.possible[proxy] = o.possible[proxy][len(o.possible[proxy])-1:]
				o.checker.ProxyAcknowledged(now, o.newPlan(proxy, nil))
			}
			if !o.checkMessage(t, proxy, counts) {
				return
			}
		}
	})
	t.Logf("%d messages checked, %d stopped; %d safe ones stopped, %d violating ones passed, "+
		"%d violations left in stopped ones; verdicts of the oracle: %v", counts.checked, counts.stopped,
		counts.wronglyStopped, counts.wronglyPassed, counts.stillViolating, counts.byReason)
	for _, reason := range []string{"", ReasonServerNotReady, ReasonNoEndpoints, ReasonWarmingOverload} {
		if counts.byReason[reason] < counts.checked/100 {
			t.Errorf("%q was drawn in only %d of %d messages", reason, counts.byReason[reason], counts.checked)
		}
	}
}

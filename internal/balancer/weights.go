package balancer

import (
	"cmp"
	"math"
)

const (
	// minWeight is the lowest weight relative to the largest of the table, so that a weight can rise again.
	minWeight = 0.01
	// spreadRounds is the number of rounds in which the load that was cut is spread: servers that reach their target in
	// a round leave a remainder for the next.
	spreadRounds = 3
)

// balanceWeights balances the load: in each table it cuts the weights of servers above their target, spreads the load
// that was cut evenly over the others and normalizes the weights. The balancer's design, docs/design/decisions.md,
// specifies this rule.
func (b *Balancer) balanceWeights() {
	round := b.newBalancingRound()
	for t := range b.tables {
		cut := b.cutOverload(round, t)
		b.spreadLoad(round, t, cut)
		b.normalizeWeights(t)
	}
}

// setInitialWeights scales the weights of the first tables by the measured capacities.
func (b *Balancer) setInitialWeights() {
	for _, server := range b.endpoints.ready {
		for t := range server.weight {
			server.weight[t] *= cmp.Or(server.capacity, 1) / cmp.Or(b.estimates.medianCapacity, 1)
		}
	}
}

// balancingRound tracks the load of the ready servers while weights change. The load of a server is its requests per
// second multiplied by its residence factor.
type balancingRound struct {
	load   []float64 // by index in the ready servers
	target []float64 // by the same index; 0 if the server is ejected or reserved for low-priority classes
}

func (b *Balancer) newBalancingRound() *balancingRound {
	round := &balancingRound{
		load:   make([]float64, len(b.endpoints.ready)),
		target: make([]float64, len(b.endpoints.ready)),
	}
	for i, server := range b.endpoints.ready {
		if server.healthFactor > 0 && !server.lowPriorityOnly {
			residence := residenceFactor(server)
			round.load[i] = server.requestRate * residence
			round.target[i] = server.capacity * b.estimates.targetUtilization * residence
		}
	}
	return round
}

// residenceFactor returns how long the attempts that start in a balance interval occupy a server, in balance intervals.
func residenceFactor(server *serverState) float64 {
	return 1 + server.longWindow.latency.Seconds()/balanceInterval.Seconds()
}

// attemptsBegun returns the number of attempts that a table starts at a server in a balance interval.
func (b *Balancer) attemptsBegun(server *serverState, table int) float64 {
	return b.orderedRate(server, table) * balanceInterval.Seconds()
}

// cutOverload reduces the weights of servers above their target. It returns the load that it cut, in attempts per
// balance interval.
func (b *Balancer) cutOverload(round *balancingRound, table int) float64 {
	cut := 0.0
	for i, server := range b.endpoints.ready {
		load := round.load[i]
		target := round.target[i]
		if load > target && b.mayServe(server, &b.tables[table]) {
			fraction := min(1, (load-target)/load*residenceFactor(server))
			server.weight[table] *= 1 - fraction
			cut += fraction * b.attemptsBegun(server, table)
		}
	}
	return cut
}

// spreadLoad spreads a number of attempts per balance interval evenly over the servers below their target.
func (b *Balancer) spreadLoad(round *balancingRound, table int, attempts float64) {
	for range spreadRounds {
		receivers := 0.0
		for i := range b.endpoints.ready {
			receivers += math.Ceil(min(1, b.spareAttempts(round, table, i)))
		}
		share := attempts / max(1, receivers)
		for i, server := range b.endpoints.ready {
			received := min(share, b.spareAttempts(round, table, i))
			server.weight[table] *= 1 + received/(b.attemptsBegun(server, table)+1)
			round.load[i] += received * residenceFactor(server) / balanceInterval.Seconds()
			attempts -= received
		}
	}
}

// spareAttempts returns how many more attempts per balance interval a ready server, given by its index, can receive
// before it reaches its target.
func (b *Balancer) spareAttempts(round *balancingRound, table, position int) float64 {
	server := b.endpoints.ready[position]
	load := round.load[position]
	target := round.target[position]
	if load < target && b.hasFullWeight(server, table) {
		return (target - load) / residenceFactor(server) * balanceInterval.Seconds()
	}
	return 0
}

// hasFullWeight reports whether neither health nor slow start reduces the weight of a server in a table.
func (b *Balancer) hasFullWeight(server *serverState, table int) bool {
	return server.healthFactor == 1 && b.mayServe(server, &b.tables[table]) && !b.warmingUp(server)
}

// normalizeWeights scales the weights of a table so that the largest full weight is 1.
func (b *Balancer) normalizeWeights(table int) {
	largest := epsilon
	for _, server := range b.endpoints.ready {
		if b.hasFullWeight(server, table) {
			largest = max(largest, server.weight[table])
		}
	}
	for _, server := range b.endpoints.ready {
		server.weight[table] = min(1, max(minWeight, server.weight[table]/largest))
	}
}

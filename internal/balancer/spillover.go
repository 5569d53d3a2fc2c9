package balancer

// minSpillFactor is the smallest factor by which the weights of other partitions are raised. Less is left to the
// balancing of weights, as it would cost an entry for each server and proxy.
const minSpillFactor = 2

// tableServers sums up a part of the servers of a table.
type tableServers struct {
	known     float64 // number of servers in any state
	available float64 // what those with a wanted weight can handle, in servers that are warm and healthy
	weight    float64 // sum of the wanted weights
}

func (s *tableServers) add(server *serverState, table int, warmFraction float64) {
	s.known++
	if server.wantedWeight[table] > 0 {
		s.available += min(server.healthFactor, warmFraction)
		s.weight += server.wantedWeight[table]
	}
}

// availableFraction returns the fraction of the servers that is available.
func (s *tableServers) availableFraction() float64 { return s.available / max(1, s.known) }

// partitionServers sums up the servers of a table by their partition.
type partitionServers struct {
	own      tableServers // of the table's own partition
	siblings tableServers // of the partitions with the same number in other zones
	all      tableServers
}

// spillOver raises the wanted weights of other partitions in the table of a partition that has lost more of its servers
// than the fleet, as they are gone, ejected or in slow start. Otherwise those that are left would get all requests.
// They keep as much as loads them maxUtilizationRatio times as much as the fleet.
func (b *Balancer) spillOver(index int) {
	table := &b.tables[index]
	table.spillsOver = spillNone
	if !b.layout.partitioned || table.group >= firstZoneLocalGroup {
		return
	}
	servers := b.sumPartitionServers(index)
	fleetFraction := servers.all.availableFraction()
	ownFraction := maxUtilizationRatio * servers.own.availableFraction() / max(fleetFraction, epsilon)
	otherWeight := servers.all.weight - servers.own.weight
	target, receivers := spillToOthers, otherWeight
	if servers.siblings.availableFraction() >= (1-maxUnavailableFraction)*fleetFraction {
		target, receivers = spillToSiblings, servers.siblings.weight
	}
	wanted := servers.own.weight*(1/max(ownFraction, epsilon)-1) - otherWeight + receivers
	if receivers <= 0 || wanted < minSpillFactor*receivers {
		return
	}
	table.spillsOver = target
	b.raiseReceivers(index, wanted/receivers)
}

// sumPartitionServers sums up the servers of a table.
func (b *Balancer) sumPartitionServers(index int) partitionServers {
	table := &b.tables[index]
	var sums partitionServers
	for _, server := range b.endpoints.all {
		warmFraction := b.warmFraction(server)
		sums.all.add(server, index, warmFraction)
		if server.partition == table.partition {
			sums.own.add(server, index, warmFraction)
		} else if b.layout.areSiblings(server.partition, table.partition) {
			sums.siblings.add(server, index, warmFraction)
		}
	}
	return sums
}

// raiseReceivers multiplies the wanted weights of the servers that receive what a table spills over.
func (b *Balancer) raiseReceivers(index int, factor float64) {
	table := &b.tables[index]
	for _, server := range b.endpoints.ready {
		if !b.receivesSpill(server, table) {
			continue
		}
		added := (factor - 1) * server.wantedWeight[index]
		server.wantedWeight[index] += added
		table.wantedWeight += added
		if !b.warmingUp(server) {
			table.wantedWarmWeight += added
		}
	}
}

// receivesSpill reports whether a server receives what a table spills over.
func (b *Balancer) receivesSpill(server *serverState, table *weightTable) bool {
	switch table.spillsOver {
	case spillToSiblings:
		return b.layout.areSiblings(server.partition, table.partition)
	case spillToOthers:
		return server.partition != table.partition
	}
	return false
}

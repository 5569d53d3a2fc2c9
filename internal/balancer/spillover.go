package balancer

// minSpillFactor is the smallest factor by which the weights of other partitions are raised. Less is left to the
// balancing of weights, as it would cost an entry for each server and proxy.
const minSpillFactor = 2

// tableServers sums up a part of the servers of a table.
type tableServers struct {
	available float64 // what they can handle, in servers that are warm and healthy
	weight    float64 // sum of the wanted weights
}

func (s *tableServers) add(server *serverState, table int, warmFraction float64) {
	s.available += min(server.healthFactor, warmFraction)
	s.weight += server.wantedWeight[table]
}

// partitionServers sums up the servers of a table by their partition.
type partitionServers struct {
	own      tableServers // of the table's own partition
	siblings tableServers // of the partitions with the same number in other zones
	others   tableServers // all but the own ones
}

// spillOver raises the wanted weights of other partitions in the table of a partition whose own servers are too few for
// its requests, as many of them are gone, ejected or in slow start. Otherwise the few that are left would get all
// requests. The own servers keep as much as loads them maxUtilizationRatio times as much as the fleet.
func (b *Balancer) spillOver(index int) {
	table := &b.tables[index]
	table.spillsOver = spillNone
	if !b.layout.partitioned || table.group >= firstZoneLocalGroup {
		return
	}
	servers := b.sumPartitionServers(index)
	partitionMean := (servers.own.available + servers.others.available) / float64(b.layout.partitionCount)
	ownFraction := maxUtilizationRatio * servers.own.available / max(partitionMean, epsilon)
	target, receivers := spillToOthers, servers.others
	if servers.siblings.available >= (1-maxUnavailableFraction)*partitionMean*float64(b.layout.zoneCount-1) {
		target, receivers = spillToSiblings, servers.siblings
	}
	wanted := servers.own.weight*(1/max(ownFraction, epsilon)-1) - servers.others.weight + receivers.weight
	if receivers.weight <= 0 || wanted < minSpillFactor*receivers.weight {
		return
	}
	table.spillsOver = target
	b.raiseReceivers(index, wanted/receivers.weight)
}

// sumPartitionServers sums up the servers that have a wanted weight in a table.
func (b *Balancer) sumPartitionServers(index int) partitionServers {
	table := &b.tables[index]
	var sums partitionServers
	for _, server := range b.endpoints.ready {
		if server.wantedWeight[index] <= 0 {
			continue
		}
		warmFraction := b.warmFraction(server)
		if server.partition == table.partition {
			sums.own.add(server, index, warmFraction)
			continue
		}
		sums.others.add(server, index, warmFraction)
		if b.layout.areSiblings(server.partition, table.partition) {
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

package balancer

import (
	"cmp"
	"math"

	"cressknot/internal/fleet"
)

// The groups of tables. The zone-local class c has the group firstZoneLocalGroup + c to itself.
const (
	sharedGroup         = iota // classes that any server may serve
	lowPriorityGroup           // classes that load shedding restricts to the low-priority servers
	firstZoneLocalGroup        // classes that only servers in the zone of the proxy may serve
)

const (
	// maxPartitionsPerZone bounds the number of tables, as each one costs entries in the update channel.
	maxPartitionsPerZone = 8
	// proxyCountMargin is the ratio of the proxies in the largest expected zone to the mean per zone.
	proxyCountMargin = 1.1
	// unlimitedConnections is the connection limit on sites that configure none.
	unlimitedConnections = 1e6
)

// tableLayout is the distribution of proxies and servers over tables. Each group has one table per partition. A
// partition belongs to one zone, and its proxies prefer its servers, which bounds the connections of each server.
type tableLayout struct {
	// partitioned is set if a server accepts fewer connections than there are proxies. Otherwise all proxies use
	// partition 0 for the shared classes.
	partitioned       bool
	zoneCount         int
	partitionsPerZone int
	partitionCount    int // in all zones
}

func newTableLayout(site *fleet.Site) tableLayout {
	connections := cmp.Or(site.MinServerConnections, unlimitedConnections)
	zoneProxies := proxyCountMargin * float64(site.ProxyCount) / float64(len(site.Zones))
	partitionsPerZone := int(max(1, min(maxPartitionsPerZone, math.Ceil(zoneProxies/connections))))
	return tableLayout{
		partitioned:       connections < float64(site.ProxyCount),
		zoneCount:         len(site.Zones),
		partitionsPerZone: partitionsPerZone,
		partitionCount:    partitionsPerZone * len(site.Zones),
	}
}

// newTables returns the tables of all groups, ordered by group, then by partition.
func (l *tableLayout) newTables(classCount int) []weightTable {
	groupCount := firstZoneLocalGroup + classCount
	tables := make([]weightTable, groupCount*l.partitionCount)
	for i := range tables {
		tables[i].group = i / l.partitionCount
		tables[i].partition = i % l.partitionCount
	}
	return tables
}

// partitionFor returns the partition of a server or proxy: the members of a zone are distributed over its partitions
// by number.
func (l *tableLayout) partitionFor(zone fleet.ZoneID, number int) int {
	return min(int(zone), l.zoneCount-1)*l.partitionsPerZone + number%l.partitionsPerZone
}

// zoneOf returns the zone that a partition belongs to.
func (l *tableLayout) zoneOf(partition int) int { return partition / l.partitionsPerZone }

// areSiblings reports whether two partitions have the same number in different zones.
func (l *tableLayout) areSiblings(x, y int) bool {
	return x != y && x%l.partitionsPerZone == y%l.partitionsPerZone
}

// spillTarget is the set of partitions that a table spills over to. Siblings are preferred: each server then gets the
// requests of few other partitions, and the table stays small.
type spillTarget uint8

const (
	spillNone       spillTarget = iota
	spillToSiblings             // the partitions with the same number in other zones
	spillToOthers               // all partitions but the table's own
)

// weightTable is a table of server weights that proxies share. The weights are in serverState.
type weightTable struct {
	group     int
	partition int
	// classes is the set of classes that should use the table.
	classes fleet.ClassSet
	// proxyCount is the number of proxies that use the table for some class.
	proxyCount float64
	// admittedRate is the requests per second that proxies admit in the classes of the table.
	admittedRate float64
	// orderedWeight is the sum of the ordered weights of ready servers that are not withdrawn.
	orderedWeight float64
	// wantedWeight is the sum of the wanted weights, wantedWarmWeight that of servers that are not warming up.
	wantedWeight     float64
	wantedWarmWeight float64
	// nominalWeight is the sum of the balanced weights of the servers that the table may hold, without health and slow
	// start applied.
	nominalWeight float64
	// spillsOver tells which other partitions get more than the table prefers, as it has too few servers of its own.
	spillsOver spillTarget
	// assignmentEntries is the cost, in entries, of assigning a proxy to the table.
	assignmentEntries float64
}

// tableFor returns the index of the table that a class uses at proxies of a partition.
func (b *Balancer) tableFor(class, partition int) int {
	group := b.classes[class].tableGroup
	if group < firstZoneLocalGroup && !b.layout.partitioned {
		partition = 0
	}
	return group*b.layout.partitionCount + partition
}

// resetTables clears the derived state of all tables and recomputes the sums of the ordered weights.
func (b *Balancer) resetTables() {
	for t := range b.tables {
		table := &b.tables[t]
		*table = weightTable{group: table.group, partition: table.partition}
		for _, server := range b.endpoints.all {
			if server.State == fleet.ServerReady && !server.withdrawn {
				table.orderedWeight += server.orderedWeight[t]
			}
		}
	}
}

// mayServe reports whether a server may have a weight in a table: it is ready and, for a zone-local class, in the
// zone.
func (b *Balancer) mayServe(server *serverState, table *weightTable) bool {
	if server.State != fleet.ServerReady {
		return false
	}
	return table.group < firstZoneLocalGroup || b.layout.zoneOf(server.partition) == b.layout.zoneOf(table.partition)
}

// orderedRate returns the requests per second that the ordered weights of a table send to a server.
func (b *Balancer) orderedRate(server *serverState, table int) float64 {
	return b.tables[table].admittedRate * server.orderedWeight[table] / max(b.tables[table].orderedWeight, epsilon)
}

// classBit returns the set that contains only the given class.
func classBit(class int) fleet.ClassSet { return 1 << class }

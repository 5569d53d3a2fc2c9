package balancer

import (
	"cmp"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// maxWeightOverdraft is the fraction of the maximum backlog that urgent weights may use beyond
	// usableBacklogFraction.
	maxWeightOverdraft = 0.35
	// assignmentReserve is the fraction of the usable backlog that is reserved for proxies that are out of sync.
	assignmentReserve = 0.5
	// maxBatchFraction limits one batch of weights to a fraction of the channel's capacity in a balance interval.
	maxBatchFraction = 0.5
	// deferredChangesDelay is the time until changes that exceeded the capacity are sent.
	deferredChangesDelay = balanceInterval / 2

	// minRelativeChange is the relative change of a weight above which it is sent.
	minRelativeChange = 0.03
	// maxWarmingWeightRatio is the highest ratio of the ordered to the wanted weight of a server in slow start.
	maxWarmingWeightRatio = 1.1
	// minSparseWeight is the weight, relative to the largest, below which an entry is omitted if entries are expensive.
	minSparseWeight = 0.1
	// minAddedWeight is the weight, in units of the table, below which an entry is not added while assignments are
	// pending.
	minAddedWeight = 0.1
	// maxScaleRatio bounds the ratios of ordered to wanted weights that determine the unit of a table.
	maxScaleRatio = 1e6
	// urgentPriority is the lowest priority of urgent changes. That of an ordinary change is its relative size.
	urgentPriority = 1e6
)

// publish emits the changes for all proxies, as far as the update channel has capacity: withdrawals, admission and
// weights, in this order.
func (b *Balancer) publish() {
	proxyCount := float64(len(b.proxies.all))
	backlog := b.channel.backlog(&b.site)
	capacity := usableBacklogFraction*b.site.MaxBacklog - backlog - b.messageCost()*proxyCount
	reserved := b.reservedCapacity(capacity + backlog)
	capacity = b.publishWithdrawals(capacity)
	capacity = b.publishAdmission(capacity)
	b.publishWeights(capacity, reserved)
}

// weightChange is a weight to send. Changes of a higher priority are sent first.
type weightChange struct {
	fleet.SetWeight
	priority float64
}

func (c *weightChange) isUrgent() bool { return c.priority >= urgentPriority }

// reservedCapacity returns the capacity that ordinary weights must leave free: a reserve for the assignment of proxies
// that are out of sync, and whatever exceeds the channel's capacity until the next batch, as more would only delay
// other orders. emptyCapacity is the capacity of a channel without backlog.
func (b *Balancer) reservedCapacity(emptyCapacity float64) float64 {
	assignments := b.site.MaxBacklog * usableBacklogFraction * assignmentReserve * min(1, b.proxies.outOfSync)
	maxBatch := maxBatchFraction * balanceInterval.Seconds() * b.site.EntriesPerSecond
	return max(assignments, emptyCapacity-maxBatch)
}

// publishWeights emits the wanted weights that differ from the ordered ones. Urgent changes may exceed the capacity.
// Ordinary ones are sent once per balance interval, the largest first, and deferred if they exceed the capacity.
func (b *Balancer) publishWeights(capacity, reserved float64) {
	includeOrdinary := b.channel.nextChangesAt > 0 && b.now >= b.channel.nextChangesAt
	changes := b.weightChanges(includeOrdinary)
	if includeOrdinary {
		b.channel.nextChangesAt = 0
	}
	minCapacity := -maxWeightOverdraft * b.site.MaxBacklog
	for i := range changes {
		change := &changes[i]
		entries := b.tables[change.Table].proxyCount
		capacity -= entries
		exceeded := capacity < minCapacity || !change.isUrgent() && capacity < reserved
		if entries > 0 && exceeded {
			b.channel.nextChangesAt = b.now + deferredChangesDelay
			continue
		}
		server := b.endpoints.byID[change.Server]
		server.orderedWeight[change.Table] = float64(change.Weight)
		server.weightUnconfirmed[change.Table] = false
		b.broadcast(change.SetWeight, entries)
	}
}

// weightChanges returns the weights to send, ordered by descending priority.
func (b *Balancer) weightChanges(includeOrdinary bool) []weightChange {
	var changes []weightChange
	entriesExpensive := b.entriesExpensive()
	for t := range b.tables {
		table := &b.tables[t]
		scale := b.measureTableScale(t)
		scale.sparse = entriesExpensive || table.proxyCount == 0
		for _, server := range b.endpoints.all {
			if change, isDue := b.changeFor(server, t, &scale, includeOrdinary); isDue {
				changes = append(changes, change)
			}
		}
	}
	slices.SortStableFunc(changes, func(x, y weightChange) int { return cmp.Compare(y.priority, x.priority) })
	return changes
}

// entriesExpensive reports whether sending all tables takes longer than the drain timeout.
func (b *Balancer) entriesExpensive() bool {
	entries := float64(b.site.ProxyCount * len(b.endpoints.all))
	return b.layout.partitioned && entries > b.site.EntriesPerSecond*b.site.DrainTimeout.Seconds()
}

// tableScale relates the wanted weights of a table to the ordered ones.
type tableScale struct {
	unit    float64 // ordered weight for a wanted weight of 1
	largest float64 // largest wanted weight
	sparse  bool    // small weights are omitted
}

// measureTableScale returns the scale of a table. Proxies use only the ratios of weights, so a factor that most weights
// of a table have in common need not be sent.
func (b *Balancer) measureTableScale(table int) tableScale {
	var ratios []float64
	largest := 0.0
	for _, server := range b.endpoints.all {
		wanted := server.wantedWeight[table]
		largest = max(largest, wanted)
		ratio := server.orderedWeight[table] / max(wanted, epsilon)
		if ratio > 1/maxScaleRatio && ratio < maxScaleRatio {
			ratios = append(ratios, ratio)
		}
	}
	unit := median(ratios)
	if b.tables[table].wantedWarmWeight == 0 {
		// No warm server sets the unit: the lowest ratio does, so that what others get too much is seen.
		unit = quantile(ratios, 0)
	}
	return tableScale{unit: cmp.Or(unit, 1), largest: largest}
}

// changeFor returns the weight to send for a server in a table, and whether it is due: it differs from the ordered
// weight, and it is urgent or ordinary changes are included.
func (b *Balancer) changeFor(
	server *serverState, index int, scale *tableScale, includeOrdinary bool,
) (weightChange, bool) {
	table := &b.tables[index]
	ordered := server.orderedWeight[index]
	weight := b.weightToOrder(server, index, scale)
	size := math.Abs(weight - ordered)
	if server.weightUnconfirmed[index] {
		size = max(weight, ordered)
	} else if isSmallChange(weight, ordered, size) || b.mayOmit(table, ordered, size, scale) {
		return weightChange{}, false
	}

	urgent := !server.withdrawn && b.isNeededNow(server, index, weight)
	if !urgent && !includeOrdinary {
		return weightChange{}, false
	}
	change := weightChange{SetWeight: fleet.SetWeight{
		Table:  fleet.TableID(index),
		Server: server.Server,
		Weight: float32(weight),
	}}
	switch {
	case urgent:
		change.priority = urgentPriority + size/scale.unit
	case server.withdrawn:
		change.priority = 0 // proxies do not use the weight while the server is withdrawn
	default:
		change.priority = size / scale.unit
	}
	return change, true
}

// weightToOrder returns the wanted weight of a server in the unit of a table, 0 if the table omits it as small.
func (b *Balancer) weightToOrder(server *serverState, index int, scale *tableScale) float64 {
	wanted := server.wantedWeight[index]
	isSmall := scale.sparse && wanted < minSparseWeight*scale.largest
	if isSmall && !b.receivesSpill(server, &b.tables[index]) {
		return 0
	}
	return wanted * scale.unit
}

// isNeededNow reports whether a new weight is urgent: the table has no weight at all, a server in slow start gets too
// much, or a server relieves those that are left of the table's partition.
func (b *Balancer) isNeededNow(server *serverState, index int, weight float64) bool {
	table := &b.tables[index]
	ordered := server.orderedWeight[index]
	exceedsWanted := ordered > maxWarmingWeightRatio*weight || server.weightUnconfirmed[index]
	relievesOthers := weight > minSpillFactor*ordered && b.receivesSpill(server, table)
	return table.orderedWeight == 0 || exceedsWanted && b.warmingUp(server) || relievesOthers
}

// isSmallChange reports whether a change is too small to be sent.
func isSmallChange(weight, ordered, size float64) bool {
	return weight == ordered || weight > 0 && size <= minRelativeChange*ordered
}

// mayOmit reports whether a server with a small weight need not be added to a table, as the entry would make pending
// assignments more expensive. A used table without any weight needs the entry.
func (b *Balancer) mayOmit(table *weightTable, ordered, size float64, scale *tableScale) bool {
	if ordered != 0 || size >= minAddedWeight*scale.unit {
		return false
	}
	dispensable := table.orderedWeight > 0 || table.proxyCount == 0
	return dispensable && (b.schedule.observing || b.proxies.outOfSync > 0)
}

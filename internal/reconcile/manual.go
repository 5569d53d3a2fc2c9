package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// ManualWeightDuration is how long a manual weight lasts: operators renew it, or have forgotten it.
const ManualWeightDuration = 300 * fleet.Second

// manualKey names a table entry whose weight operators have set.
type manualKey struct {
	table  fleet.TableID
	server int32 // index of the server
}

type manualWeight struct {
	weight int16
	until  fleet.Time
}

// ManualWeight is a weight that operators have set in place of the balancer's.
type ManualWeight struct {
	Table  fleet.TableID
	Server fleet.ServerID
	Weight int16
	Until  fleet.Time
}

// SetManualWeight sets the weight of a table entry until a time: 0 to 256, in place of what the balancer orders.
// The safety check applies to it as to any change.
func (r *Reconciler) SetManualWeight(
	now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int16, until fleet.Time,
) {
	r.RestoreManualWeight(ManualWeight{Table: table, Server: server, Weight: weight, Until: until})
	r.publishManualWeight(now, table, r.serverIndex(server))
}

// RestoreManualWeight takes up a stored manual weight. It makes no version, as nothing is published yet.
func (r *Reconciler) RestoreManualWeight(manual ManualWeight) {
	key := manualKey{manual.Table, r.serverIndex(manual.Server)}
	r.manualWeights[key] = manualWeight{max(0, min(maxWeight, manual.Weight)), manual.Until}
}

// ClearManualWeight lets the balancer's weight count again. It returns false if there was no manual weight.
func (r *Reconciler) ClearManualWeight(now fleet.Time, table fleet.TableID, server fleet.ServerID) bool {
	key := manualKey{table, r.serverIndex(server)}
	_, wasSet := r.manualWeights[key]
	delete(r.manualWeights, key)
	r.publishManualWeight(now, table, key.server)
	return wasSet
}

// publishManualWeight sends an entry to all proxies with the table.
func (r *Reconciler) publishManualWeight(now fleet.Time, id fleet.TableID, i int32) {
	if table := r.tables[id]; table != nil {
		r.recordVersion(now, id, table, "set by hand")
	}
	r.eachProxyOn(id, func(proxy *proxyState) {
		r.markDirty(proxy, itemKey{server: i}, false)
		r.enqueue(now, proxy, 1, nil)
	})
}

// expireManualWeights ends manual weights whose time is over.
func (r *Reconciler) expireManualWeights(now fleet.Time) {
	for _, manual := range r.ManualWeights() {
		if now >= manual.Until {
			r.ClearManualWeight(now, manual.Table, manual.Server)
		}
	}
}

// ManualWeights returns all manual weights, by table and server.
func (r *Reconciler) ManualWeights() []ManualWeight {
	var all []ManualWeight
	for key, manual := range r.manualWeights {
		all = append(all, ManualWeight{
			Table:  key.table,
			Server: r.endpoints.servers[key.server].id,
			Weight: manual.weight,
			Until:  manual.until,
		})
	}
	slices.SortFunc(all, func(a, b ManualWeight) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Server, b.Server))
	})
	return all
}

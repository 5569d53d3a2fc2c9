package reconcile

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// ManualWeightDuration is the lifetime of a manual weight. It is short so that a forgotten one expires; operators
// renew it if needed.
const ManualWeightDuration = 300 * fleet.Second

// manualKey identifies a table entry with a manual weight.
type manualKey struct {
	table  fleet.TableID
	server int32 // index of the server
}

type manualWeight struct {
	weight int16
	until  fleet.Time
}

// ManualWeight is a weight, 0 to 256, that an operator has set and that replaces the balancer's until it expires.
type ManualWeight struct {
	Table  fleet.TableID
	Server fleet.ServerID
	Weight int16
	Until  fleet.Time
}

// SetManualWeight overrides the balancer's weight of a table entry until the given time and sends it to proxies. The
// weight is clamped to 0 to 256. The safety check applies as to any other change.
func (r *Reconciler) SetManualWeight(
	now fleet.Time, table fleet.TableID, server fleet.ServerID, weight int16, until fleet.Time,
) {
	r.RestoreManualWeight(ManualWeight{Table: table, Server: server, Weight: weight, Until: until})
	r.publishManualWeight(now, table, r.serverIndex(server))
}

// RestoreManualWeight restores a manual weight from the store. It creates no table version, as nothing is published
// yet.
func (r *Reconciler) RestoreManualWeight(manual ManualWeight) {
	key := manualKey{manual.Table, r.serverIndex(manual.Server)}
	r.manualWeights[key] = manualWeight{max(0, min(maxWeight, manual.Weight)), manual.Until}
}

// ClearManualWeight removes a manual weight, so that the balancer's weight is in effect again. It returns false if
// there was none.
func (r *Reconciler) ClearManualWeight(now fleet.Time, table fleet.TableID, server fleet.ServerID) bool {
	key := manualKey{table, r.serverIndex(server)}
	_, wasSet := r.manualWeights[key]
	delete(r.manualWeights, key)
	r.publishManualWeight(now, table, key.server)
	return wasSet
}

// publishManualWeight records a table version and sends the entry to all proxies that have the table.
func (r *Reconciler) publishManualWeight(now fleet.Time, id fleet.TableID, i int32) {
	if table := r.tables[id]; table != nil {
		r.recordVersion(now, id, table, "set by hand")
	}
	r.eachProxyOn(id, func(proxy *proxyState) {
		r.markDirty(proxy, itemKey{server: i}, false)
		r.enqueue(now, proxy, 1, nil)
	})
}

// expireManualWeights removes manual weights that have expired.
func (r *Reconciler) expireManualWeights(now fleet.Time) {
	for _, manual := range r.ManualWeights() {
		if now >= manual.Until {
			r.ClearManualWeight(now, manual.Table, manual.Server)
		}
	}
}

// ManualWeights returns all manual weights, sorted by table and server.
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

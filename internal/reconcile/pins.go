package reconcile

import (
	"fmt"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// Durations of pins.
const (
	// DefaultPinDuration is the duration of a pin or a rollback if the operator gives none.
	DefaultPinDuration = 300 * fleet.Second
	// MaxPinDuration bounds the duration of pins, so that a forgotten one expires within a day.
	MaxPinDuration = 24 * 3600 * fleet.Second
)

// Pin holds the weights of a table that are in effect until a time, whatever the balancer orders.
type Pin struct {
	Table   fleet.TableID
	Weights []tableversion.Entry
	Until   fleet.Time
	Reason  string
}

// tablePin is the pin of a table, by server index.
type tablePin struct {
	weights []int16
	until   fleet.Time
	reason  string
}

// Pin freezes the published weights of a table until the given time. It fails if the table does not exist.
func (r *Reconciler) Pin(now fleet.Time, id fleet.TableID, until fleet.Time) error {
	table := r.tables[id]
	if table == nil {
		return fmt.Errorf("table %d does not exist", id)
	}
	weights := make([]int16, len(r.endpoints.servers))
	for i := range weights {
		weights[i] = r.publishedWeight(id, table, int32(i))
	}
	table.pin = &tablePin{weights, until, "pinned"}
	return nil
}

// Rollback creates a new version of a table with the content of an earlier one and pins the table until the given
// time. Servers that are draining or gone are left out; the returned differences name them. Manual weights of the
// table are removed.
func (r *Reconciler) Rollback(
	now fleet.Time, id fleet.TableID, to tableversion.Version, until fleet.Time,
) ([]tableversion.Difference, error) {
	table := r.tables[id]
	if table == nil || table.versions == nil {
		return nil, fmt.Errorf("table %d has no version history", id)
	}
	_, differences, err := table.versions.Rollback(now, to, r.rollbackObstacle)
	if err != nil {
		return differences, err
	}
	weights := make([]int16, len(r.endpoints.servers))
	for i := range weights {
		weights[i] = int16(min(maxWeight, table.versions.Weight(r.endpoints.servers[i].id)))
	}
	for key := range r.manualWeights {
		if key.table == id {
			delete(r.manualWeights, key)
		}
	}
	table.pin = &tablePin{weights, until, "back to " + to.String()}
	r.resendTable(now, id)
	return differences, nil
}

// rollbackObstacle returns why a server is left out of a rollback, or "" if it is included.
func (r *Reconciler) rollbackObstacle(id fleet.ServerID) string {
	i := r.serverIndex(id)
	switch {
	case r.endpoints.servers[i].state == fleet.ServerDraining:
		return fleet.ServerDrainingName
	case !r.isReady(i):
		return fleet.ServerGoneName
	}
	return ""
}

// Unpin removes the pin of a table, so that the balancer's weights are in effect again. The reason is stored with the
// new table version. It returns false if the table was not pinned.
func (r *Reconciler) Unpin(now fleet.Time, id fleet.TableID, reason string) bool {
	table := r.tables[id]
	if table == nil || table.pin == nil {
		return false
	}
	table.pin = nil
	r.recordVersion(now, id, table, reason)
	r.resendTable(now, id)
	return true
}

// Pinned returns the expiry and the reason of a table's pin, or 0 and "" if it is not pinned.
func (r *Reconciler) Pinned(id fleet.TableID) (until fleet.Time, reason string) {
	if table := r.tables[id]; table != nil && table.pin != nil {
		return table.pin.until, table.pin.reason
	}
	return 0, ""
}

// Pins returns all pins, sorted by table.
func (r *Reconciler) Pins() []Pin {
	var pins []Pin
	for _, id := range r.tableIDs() {
		pinned := r.tables[id].pin
		if pinned == nil {
			continue
		}
		pin := Pin{Table: id, Until: pinned.until, Reason: pinned.reason}
		for i, weight := range pinned.weights {
			if weight > 0 {
				entry := tableversion.Entry{Server: r.endpoints.servers[i].id, Weight: int(weight)}
				pin.Weights = append(pin.Weights, entry)
			}
		}
		pins = append(pins, pin)
	}
	return pins
}

// endPins removes pins that have expired, and pins whose servers are all gone, draining or withdrawn. Withdrawals
// apply to pinned tables too.
func (r *Reconciler) endPins(now fleet.Time) {
	for _, id := range r.tableIDs() {
		pin := r.tables[id].pin
		if pin == nil {
			continue
		}
		switch {
		case now >= pin.until:
			r.Unpin(now, id, "its pin ended")
		case !r.hasUsableServer(pin):
			text := fmt.Sprintf("the pin of table %d ended early: none of its servers can receive requests", id)
			r.notify(Notice{Table: true, Text: text})
			r.Unpin(now, id, "its pin left nobody")
		}
	}
}

func (r *Reconciler) hasUsableServer(pin *tablePin) bool {
	for i, weight := range pin.weights {
		if weight > 0 && r.isReady(int32(i)) && !r.endpoints.servers[i].withdrawn {
			return true
		}
	}
	return false
}

// resendTable queues the differences between the desired and the sent state to all proxies that have a table.
func (r *Reconciler) resendTable(now fleet.Time, id fleet.TableID) {
	r.eachProxyOn(id, func(proxy *proxyState) {
		dirty := 0
		for i := range r.endpoints.servers {
			if r.needsUpdate(proxy, int32(i)) {
				r.markDirty(proxy, itemKey{server: int32(i)}, false)
				dirty++
			}
		}
		r.enqueue(now, proxy, dirty, nil)
	})
}

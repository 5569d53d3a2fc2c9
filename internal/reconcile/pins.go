package reconcile

import (
	"fmt"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// How long pins last.
const (
	// DefaultPinDuration is how long a pin or a rollback lasts unless stated otherwise.
	DefaultPinDuration = 300 * fleet.Second
	// MaxPinDuration bounds pins, so that one that is forgotten ends within a day.
	MaxPinDuration = 24 * 3600 * fleet.Second
)

// Pin is a table that keeps its weights whatever the balancer orders.
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

// Pin keeps a table as it is until a time.
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

// Rollback makes a new version of a table with the content of an earlier one, as far as the present servers allow,
// and pins the table until a time. It returns the entries that had to differ.
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
	for key := range r.manualWeights { // a rollback replaces manual weights
		if key.table == id {
			delete(r.manualWeights, key)
		}
	}
	table.pin = &tablePin{weights, until, "back to " + to.String()}
	r.resendTable(now, id)
	return differences, nil
}

// rollbackObstacle returns why a server may not be in a table that is rolled back, "" if it may.
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

// Unpin lets a table follow the balancer again. It returns false if the table was not pinned.
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

// Pinned returns until when a table is pinned and why, 0 if it is not.
func (r *Reconciler) Pinned(id fleet.TableID) (until fleet.Time, reason string) {
	if table := r.tables[id]; table != nil && table.pin != nil {
		return table.pin.until, table.pin.reason
	}
	return 0, ""
}

// Pins returns the pins that are in force, by table.
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

// endPins ends pins whose time is over, and those that leave a table without a usable server: withdrawals act on a
// pinned table as on any other.
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

// resendTable sends all proxies with a table what differs from what they have.
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

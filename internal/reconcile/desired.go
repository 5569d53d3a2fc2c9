package reconcile

import (
	"math"

	"cressknot/internal/fleet"
)

// Weights of the runtime API are integers from 0 to maxWeight.
const (
	maxWeight = 256
	// targetLargestWeight is the weight of a table's largest entry after scaling. It may double before the table is
	// scaled again.
	targetLargestWeight = 128
	// minLargestWeight is the smallest weight of a table's largest entry. Below it rounding exceeds 0.8% of that
	// entry.
	minLargestWeight = 64
)

const (
	perMille = 1000
	// unlimitedRate is a rate in requests per second that no proxy reaches: it means no limit.
	unlimitedRate = 1e6
)

// desiredEntry returns what a proxy should have of a server in a class.
func (r *Reconciler) desiredEntry(proxy *proxyState, i int32, class int) EntryState {
	server := &r.endpoints.servers[i]
	index := r.entryIndex(i, class)
	if !proxy.assigned[class] {
		desired := proxy.initial[index]
		desired.WrongAddress = false
		if server.withdrawalSet && desired.Present {
			desired.State = desiredState(server)
		}
		return desired
	}
	id := proxy.tables[class]
	desired := EntryState{State: desiredState(server), Weight: r.publishedWeight(id, r.tables[id], i)}
	desired.Present = desired.Weight > 0 || proxy.sent[index].Present
	if !desired.Present {
		return EntryState{}
	}
	return desired
}

func desiredState(server *trackedServer) State {
	switch {
	case !server.withdrawn:
		return StateReady
	case server.state == fleet.ServerDraining:
		return StateDrain
	}
	return StateMaintenance
}

// publishedWeight returns the weight that proxies should have for an entry: the manual weight, else that of the
// pin, else that of the balancer.
func (r *Reconciler) publishedWeight(id fleet.TableID, table *tableState, i int32) int16 {
	if manual, set := r.manualWeights[manualKey{id, i}]; set {
		return manual.weight
	}
	if table.pin != nil {
		if int(i) < len(table.pin.weights) {
			return table.pin.weights[i]
		}
		return 0
	}
	return Round(table.weights[i]*(1-r.endpoints.servers[i].reduction), table.scale)
}

// Round returns the weight of the runtime API for a weight of a table. A positive weight never becomes 0, and none
// exceeds the maximum of the API. The error is at most half a unit, or up to one for the smallest weights.
func Round(weight, scale float64) int16 {
	if weight <= 0 {
		return 0
	}
	return int16(min(maxWeight, max(1, math.Round(weight*scale))))
}

// desiredAdmission returns the admission limit that a proxy should have for a class: the stricter one of that of
// its table and that of all tables.
func (r *Reconciler) desiredAdmission(proxy *proxyState, class int) Admission {
	order := r.defaultAdmission[class]
	if proxy.assigned[class] {
		if tableOrder := r.tables[proxy.tables[class]].admissions[class]; tableOrder.set {
			if order.set {
				tableOrder.limit = min(tableOrder.limit, order.limit)
			}
			order = tableOrder
		}
	}
	if !order.set {
		return Admission{}
	}
	desired := Admission{Known: true, Limit: -1, Retry: order.retry}
	if r.limitsRequests(order) {
		desired.Limit = int32(perMille * order.limit)
		if order.limit > 0 {
			desired.Limit = max(1, desired.Limit)
		}
	}
	return desired
}

// limitsRequests reports whether an admission order keeps any requests away.
func (r *Reconciler) limitsRequests(order admissionOrder) bool {
	switch r.site.Admission {
	case fleet.AdmissionFraction:
		return order.limit < 1
	case fleet.AdmissionRate:
		return order.limit < unlimitedRate
	}
	return false
}

// needsUpdate reports whether a proxy has other entries of a server than it should have.
func (r *Reconciler) needsUpdate(proxy *proxyState, i int32) bool {
	for class := range r.classes() {
		if proxy.sent[r.entryIndex(i, class)] != r.desiredEntry(proxy, i, class) {
			return true
		}
	}
	return false
}

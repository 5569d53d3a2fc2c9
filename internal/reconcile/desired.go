package reconcile

import (
	"math"

	"cressknot/internal/fleet"
)

// Weights in the runtime API of proxies are integers from 0 to maxWeight.
const (
	maxWeight = 256
	// targetLargestWeight is the weight of a table's largest entry after scaling. It leaves room for the entry to
	// double before the table is rescaled.
	targetLargestWeight = 128
	// minLargestWeight is the lower bound of the weight of a table's largest entry. Below it, the rounding error
	// exceeds 0.8% of that entry.
	minLargestWeight = 64
)

const (
	perMille = 1000
	// unlimitedRate in requests per second stands for no limit. No proxy reaches it.
	unlimitedRate = 1e6
)

// desiredEntry returns the desired state of a server's entry in a class at a proxy. Before a table is assigned, that
// is the state at the join, apart from withdrawals.
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

// publishedWeight returns the weight that proxies should have for an entry. A manual weight takes precedence over a
// pin, and a pin over the weight ordered by the balancer.
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

// Round converts a table weight to a weight of the runtime API, which is an integer from 0 to 256. A positive weight
// never becomes 0. Below the upper limit the error is at most half a unit, or up to one unit for weights below 0.5.
func Round(weight, scale float64) int16 {
	if weight <= 0 {
		return 0
	}
	return int16(min(maxWeight, max(1, math.Round(weight*scale))))
}

// desiredAdmission returns the admission limit that a proxy should have for a class: the lower of the limits that
// were ordered for its table and for all tables.
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

// limitsRequests reports whether an admission order rejects any requests in the admission mode of the site.
func (r *Reconciler) limitsRequests(order admissionOrder) bool {
	switch r.site.Admission {
	case fleet.AdmissionFraction:
		return order.limit < 1
	case fleet.AdmissionRate:
		return order.limit < unlimitedRate
	}
	return false
}

// needsUpdate reports whether the sent state of a server's entries at a proxy differs from the desired state.
func (r *Reconciler) needsUpdate(proxy *proxyState, i int32) bool {
	for class := range r.classes() {
		if proxy.sent[r.entryIndex(i, class)] != r.desiredEntry(proxy, i, class) {
			return true
		}
	}
	return false
}

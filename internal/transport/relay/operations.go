package relay

import (
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// Operation is an order of the balancer together with the name of the server that it concerns, or "" if it concerns
// none.
type Operation struct {
	Order  fleet.Order
	Server string
}

// Text returns the operation in the relay's text format, or "" for an order that the relay does not support. The names
// in classes are indexed by class ID.
func (o Operation) Text(classes []string) string {
	switch order := o.Order.(type) {
	case fleet.SetWeight:
		return "share," + formatID(order.Table) + "," + o.Server + "," + formatFloat(order.Weight)
	case fleet.ClearTable:
		return "clear," + formatID(order.Table)
	case fleet.AssignTable:
		return "bind," + formatID(order.Proxy) + "," + formatID(order.Table) + "," + formatClasses(order.Classes, classes)
	case fleet.WithdrawServer:
		if order.Withdrawn {
			return "withdraw," + o.Server
		}
		return "restore," + o.Server
	case fleet.SetAdmission:
		table := "*"
		if order.Table != fleet.AllTables {
			table = formatID(order.Table)
		}
		return "admit," + table + "," + formatClasses(order.Classes, classes) + "," +
			formatFloat(order.Limit) + "," + formatID(order.Retry)
	case fleet.Barrier:
		allProxies := "0"
		if order.AllProxies {
			allProxies = "1"
		}
		return "mark," + formatID(order.ID) + "," + allProxies
	}
	return ""
}

func formatID[T ~uint8 | ~uint16 | ~uint64](id T) string { return strconv.FormatUint(uint64(id), 10) }

// formatFloat formats a number without an exponent, in the fewest digits that parse to the same float32.
func formatFloat(value float32) string { return strconv.FormatFloat(float64(value), 'f', -1, 32) }

// formatClasses joins the names of the classes in the set with "+". The empty set stands for all classes.
func formatClasses(set fleet.ClassSet, classes []string) string {
	if set == 0 {
		return "*"
	}
	var names []string
	for i, name := range classes {
		if set&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// assignsTableTo reports whether the operation assigns a table to a proxy for which match returns true.
func (o Operation) assignsTableTo(match func(fleet.ProxyID) bool) bool {
	assignment, ok := o.Order.(fleet.AssignTable)
	return ok && match(assignment.Proxy)
}

// operationKind is the kind of setting that an operation changes. Its value is also the rank of the operation in a
// coalesced call: operations that add precede those that remove, so that no table in use is empty in between.
type operationKind uint8

const (
	clearTable operationKind = iota
	restoreServer
	setWeight
	setAdmission
	assignTable
	removeWeight
	withdrawServer
	barrier
)

// settingKey identifies the setting that an operation changes. Of two operations with equal keys, the later one
// replaces the earlier one.
type settingKey struct {
	kind    operationKind
	table   uint16
	proxy   uint16
	classes fleet.ClassSet
	server  string
}

// key returns the setting that the operation changes. All barriers have the same key.
func (o Operation) key() settingKey {
	switch order := o.Order.(type) {
	case fleet.SetWeight:
		return settingKey{kind: setWeight, table: uint16(order.Table), server: o.Server}
	case fleet.ClearTable:
		return settingKey{kind: clearTable, table: uint16(order.Table)}
	case fleet.AssignTable:
		return settingKey{kind: assignTable, proxy: uint16(order.Proxy), classes: order.Classes}
	case fleet.WithdrawServer:
		return settingKey{kind: withdrawServer, server: o.Server}
	case fleet.SetAdmission:
		return settingKey{kind: setAdmission, table: uint16(order.Table), classes: order.Classes}
	}
	return settingKey{kind: barrier}
}

// rank returns the sort key of the operation in a coalesced call. It differs from the kind of its setting key where the
// operation can either add or remove the setting.
func (o Operation) rank() operationKind {
	switch order := o.Order.(type) {
	case fleet.SetWeight:
		if order.Weight == 0 {
			return removeWeight
		}
	case fleet.WithdrawServer:
		if !order.Withdrawn {
			return restoreServer
		}
	}
	return o.key().kind
}

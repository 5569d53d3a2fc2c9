package relay

import (
	"cmp"
	"slices"

	"cressknot/internal/fleet"
)

// coalesce reduces operations to those of one call with the same final result: a later operation replaces an earlier
// one with the same key, and clearing a table replaces its earlier weights and admission limits. Only the first of
// several barriers is kept, since its answer covers only what was sent before it.
func coalesce(operations []Operation) []Operation {
	effective := make(map[settingKey]int, len(operations))
	clearedAt := map[uint16]int{}
	for i, operation := range operations {
		key := operation.key()
		if _, repeated := effective[key]; repeated && key.kind == barrier {
			continue
		}
		effective[key] = i
		if key.kind == clearTable {
			clearedAt[key.table] = i
		}
	}
	var coalesced []Operation
	for i, operation := range operations {
		key := operation.key()
		if effective[key] != i {
			continue
		}
		clearIndex, cleared := clearedAt[key.table]
		belongsToTable := key.kind == setWeight || key.kind == setAdmission
		if belongsToTable && cleared && clearIndex > i {
			continue
		}
		coalesced = append(coalesced, operation)
	}
	slices.SortStableFunc(coalesced, func(a, b Operation) int { return cmp.Compare(a.rank(), b.rank()) })
	return coalesced
}

// dropAssignments removes, in place, the assignments of tables to proxies for which match returns true.
func dropAssignments(operations []Operation, match func(fleet.ProxyID) bool) []Operation {
	return slices.DeleteFunc(operations, func(operation Operation) bool { return operation.assignsTableTo(match) })
}

package relay

import (
	"fmt"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

var classes = []string{"look", "book", "issue"}

// relayState models the settings that a relay stores. It parses the text of operations, as a relay does. The keys of
// the maps of strings are a table or proxy ID, a space, and a server or class name.
type relayState struct {
	weights     map[string]string
	admissions  map[string]string
	assignments map[string]string
	withdrawn   map[string]bool
	joined      func(proxy string) bool
}

func newRelayState() *relayState {
	return &relayState{
		weights:     map[string]string{},
		admissions:  map[string]string{},
		assignments: map[string]string{},
		withdrawn:   map[string]bool{},
		joined:      func(string) bool { return true },
	}
}

// apply carries out operations up to the first invalid one, and returns how many were carried out.
func (s *relayState) apply(text string) int {
	if text == "" {
		return 0
	}
	operations := strings.Split(text, ";")
	for i, operation := range operations {
		if !s.applyOne(strings.Split(operation, ",")) {
			return i
		}
	}
	return len(operations)
}

// applyOne carries out one operation. It returns false if the operation is invalid.
func (s *relayState) applyOne(fields []string) bool {
	switch fields[0] {
	case "share":
		return s.setWeight(fields[1]+" "+fields[2], fields[3])
	case "clear":
		clearPrefix(s.weights, fields[1]+" ")
		clearPrefix(s.admissions, fields[1]+" ")
	case "bind":
		if !s.joined(fields[1]) {
			return false
		}
		for _, class := range classNames(fields[3]) {
			s.assignments[fields[1]+" "+class] = fields[2]
		}
	case "withdraw":
		s.withdrawn[fields[1]] = true
	case "restore":
		delete(s.withdrawn, fields[1])
	case "admit":
		for _, class := range classNames(fields[2]) {
			s.admissions[fields[1]+" "+class] = fields[3] + " " + fields[4]
		}
	case "mark":
	default:
		return false
	}
	return true
}

func (s *relayState) setWeight(key, text string) bool {
	weight, err := strconv.ParseFloat(text, 32)
	if err != nil || weight < 0 {
		return false
	}
	if weight == 0 {
		delete(s.weights, key)
	} else {
		s.weights[key] = text
	}
	return true
}

func classNames(text string) []string {
	return strings.Split(strings.ReplaceAll(text, "*", strings.Join(classes, "+")), "+")
}

func clearPrefix(settings map[string]string, prefix string) {
	for key := range settings {
		if strings.HasPrefix(key, prefix) {
			delete(settings, key)
		}
	}
}

func (s *relayState) String() string {
	return fmt.Sprint(s.weights, s.admissions, s.assignments, s.withdrawn)
}

// restoreOperations returns operations that set the setting that the given operation changes to its value in the model.
func (s *relayState) restoreOperations(operation Operation) (operations []Operation) {
	switch order := operation.Order.(type) {
	case fleet.SetWeight:
		weight := s.weights[fmt.Sprint(order.Table, " ", operation.Server)]
		return []Operation{weightOperation(order.Table, operation.Server, weight)}
	case fleet.WithdrawServer:
		order.Withdrawn = s.withdrawn[operation.Server]
		return []Operation{{Order: order, Server: operation.Server}}
	case fleet.SetAdmission:
		return s.admissionOperations(order.Table, order.Classes)
	case fleet.AssignTable:
		for _, class := range classIDs(order.Classes) {
			table, _ := strconv.Atoi(s.assignments[fmt.Sprint(order.Proxy, " ", classes[class])])
			operations = append(operations, Operation{
				Order: fleet.AssignTable{Proxy: order.Proxy, Table: fleet.TableID(table), Classes: 1 << class}})
		}
	case fleet.ClearTable:
		operations = []Operation{operation}
		for key, weight := range s.weights {
			if table, server, _ := strings.Cut(key, " "); table == fmt.Sprint(order.Table) {
				operations = append(operations, weightOperation(order.Table, server, weight))
			}
		}
		operations = append(operations, s.admissionOperations(order.Table, 0)...)
	}
	return operations
}

func weightOperation(table fleet.TableID, server, text string) Operation {
	weight, _ := strconv.ParseFloat(text, 32)
	return Operation{Order: fleet.SetWeight{Table: table, Weight: float32(weight)}, Server: server}
}

func (s *relayState) admissionOperations(table fleet.TableID, set fleet.ClassSet) (operations []Operation) {
	for _, class := range classIDs(set) {
		order := fleet.SetAdmission{Table: table, Classes: 1 << class}
		text := s.admissions[fmt.Sprint(table, " ", classes[class])]
		if n, _ := fmt.Sscan(text, &order.Limit, &order.Retry); n == 2 {
			operations = append(operations, Operation{Order: order})
		}
	}
	return operations
}

// classIDs returns the IDs of the classes in the set; the empty set contains all classes.
func classIDs(set fleet.ClassSet) (ids []int) {
	for class := range classes {
		if set == 0 || set&(1<<class) != 0 {
			ids = append(ids, class)
		}
	}
	return ids
}

package safety

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"cressknot/internal/fleet"
)

// StateFile describes the servers and the demand of a class, against which Check checks a table offline.
type StateFile struct {
	Now       time.Time     `json:"now"`
	Demand    float64       `json:"demand"` // requests per second that are distributed by the table
	SlowStart SlowStartFile `json:"cold"`
	Servers   []ServerFile  `json:"servers"`
}

// ServerFile is a server in a state file.
type ServerFile struct {
	Name     string    `json:"name"`
	State    string    `json:"state,omitempty"` // ready (also ""), draining, gone
	Started  time.Time `json:"started,omitzero"`
	Capacity float64   `json:"capacity,omitempty"` // requests per second, as measured; 0: not known
}

// SlowStartFile holds the slow start and overload limits of a state file. Its keys are those of the settings file.
type SlowStartFile struct {
	InitialFraction         float64 `json:"from"`
	DurationSeconds         float64 `json:"for_s"`
	OverloadFactor          float64 `json:"fall_factor"`
	OverloadDurationSeconds float64 `json:"fall_for_s"`
}

// TableFile is the table that Check checks.
type TableFile struct {
	Entries []TableFileEntry `json:"lines"`
}

// TableFileEntry is an entry of a table file.
type TableFileEntry struct {
	Server    string  `json:"server"`
	Weight    float64 `json:"weight"`
	Withdrawn bool    `json:"withdrawn,omitempty"`
}

// decodeFile decodes a JSON file strictly: unknown fields and data after the JSON object are errors.
func decodeFile(name string, text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: byte %d: %w", name, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s: byte %d: unexpected data after the JSON object", name, decoder.InputOffset())
	}
	return nil
}

// Check checks a table file against a state file and returns a description of each violation, none if the table is
// safe. The file names only appear in errors.
func Check(tableName string, table []byte, stateName string, state []byte) ([]string, error) {
	var tableFile TableFile
	var stateFile StateFile
	err := errors.Join(decodeFile(tableName, table, &tableFile), decodeFile(stateName, state, &stateFile))
	if err != nil {
		return nil, err
	}
	if stateFile.Now.IsZero() {
		return nil, fmt.Errorf("%s: now: required field is missing", stateName)
	}
	now := fleet.Time(stateFile.Now.UnixNano())
	checker, names, err := stateFile.newChecker(now, stateName)
	if err != nil {
		return nil, err
	}
	entries, err := tableFile.entries(names, tableName)
	if err != nil {
		return nil, err
	}
	var texts []string
	for _, violation := range checker.CheckTable(now, entries, stateFile.Demand) {
		text := violation.Reason + ": " + violation.Text
		if !violation.WholeTable {
			text = "server " + names.name(violation.Server) + ": " + text
		}
		texts = append(texts, text)
	}
	return texts, nil
}

// serverNames assigns ids to server names, in the order in which they are added.
type serverNames struct {
	names []string
	ids   map[string]fleet.ServerID
}

// add assigns the next id to a name and replaces an earlier id of that name.
func (n *serverNames) add(name string) fleet.ServerID {
	id := fleet.ServerID(len(n.names))
	n.names = append(n.names, name)
	n.ids[name] = id
	return id
}

// id returns the id of a name and adds the name if it is new.
func (n *serverNames) id(name string) fleet.ServerID {
	if id, known := n.ids[name]; known {
		return id
	}
	return n.add(name)
}

func (n *serverNames) name(id fleet.ServerID) string { return n.names[id] }

// newChecker returns a checker with the servers of the file, and their names.
func (f *StateFile) newChecker(now fleet.Time, fileName string) (*Checker, *serverNames, error) {
	checker := New(fleet.Site{
		Zones:   []string{""},
		Classes: make([]fleet.RequestClass, 1),
		SlowStart: fleet.SlowStart{
			InitialFraction: f.SlowStart.InitialFraction,
			Duration:        fleet.Second.Scale(f.SlowStart.DurationSeconds),
		},
		RecoveryRamp: fleet.RecoveryRamp{
			OverloadFactor: f.SlowStart.OverloadFactor,
			Duration:       fleet.Second.Scale(f.SlowStart.OverloadDurationSeconds),
		},
	})
	names := &serverNames{ids: map[string]fleet.ServerID{}}
	var list fleet.EndpointList
	for i, server := range f.Servers {
		state, known := fleet.ParseServerState(server.State)
		if !known {
			return nil, nil, fmt.Errorf("%s: servers[%d].state: unknown state %q; want ready, draining or gone",
				fileName, i, server.State)
		}
		endpoint := fleet.Endpoint{Server: names.add(server.Name), State: state}
		if !server.Started.IsZero() {
			endpoint.Started = fleet.Time(server.Started.UnixNano())
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	checker.Observe(now, list)
	for i, server := range f.Servers {
		if server.Capacity > 0 {
			known := checker.servers[fleet.ServerID(i)]
			known.handledRate = server.Capacity
			known.capacity = server.Capacity
			known.measuredAt = now
		}
	}
	return checker, names, nil
}

// entries returns the entries of the file. Servers that are not in the state file get new ids, which the checker
// does not know.
func (f *TableFile) entries(names *serverNames, fileName string) ([]TableEntry, error) {
	var entries []TableEntry
	for i, entry := range f.Entries {
		id := names.id(entry.Server)
		if entry.Weight < 0 {
			return nil, fmt.Errorf("%s: lines[%d].weight: %v is negative", fileName, i, entry.Weight)
		}
		entries = append(entries, TableEntry{id, entry.Weight, entry.Withdrawn})
	}
	return entries, nil
}

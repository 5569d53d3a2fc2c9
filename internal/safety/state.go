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

// State is what a table is judged against offline, as a file: the servers of a class and its visits.
type State struct {
	Now     time.Time `json:"now"`
	Demand  float64   `json:"demand"` // visits a second that would go by the table
	Cold    ColdFile  `json:"cold"`
	Servers []struct {
		Name     string    `json:"name"`
		State    string    `json:"state,omitempty"` // ready (also ""), draining, gone
		Started  time.Time `json:"started,omitzero"`
		Capacity float64   `json:"capacity,omitempty"` // visits a second, as measured; 0: not known
	} `json:"servers"`
}

// ColdFile is how servers start, as the settings have it.
type ColdFile struct {
	From       float64 `json:"from"`
	ForS       float64 `json:"for_s"`
	FallFactor float64 `json:"fall_factor"`
	FallForS   float64 `json:"fall_for_s"`
}

// TableFile is a table to be judged.
type TableFile struct {
	Lines []struct {
		Server    string  `json:"server"`
		Weight    float64 `json:"weight"`
		Withdrawn bool    `json:"withdrawn,omitempty"`
	} `json:"lines"`
}

func decode(name string, text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: byte %d: %w", name, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s: byte %d: more after its end", name, d.InputOffset())
	}
	return nil
}

// Check judges a table file against a state file; names are for errors. It tells each harm in words.
func Check(tableName string, table []byte, stateName string, state []byte) ([]string, error) {
	var t TableFile
	var s State
	if err := errors.Join(decode(tableName, table, &t), decode(stateName, state, &s)); err != nil {
		return nil, err
	}
	if s.Now.IsZero() {
		return nil, fmt.Errorf("%s: now: is missing", stateName)
	}
	seconds := func(v float64) fleet.Time { return fleet.Second.Scale(v) }
	at := fleet.Time(s.Now.UnixNano())
	g := New(fleet.Site{Zones: []string{""}, Classes: make([]fleet.RequestClass, 1), SlowStart: fleet.SlowStart{InitialFraction: s.Cold.From, Duration: seconds(s.Cold.ForS)},
		RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: s.Cold.FallFactor, Duration: seconds(s.Cold.FallForS)}})
	ids, names := map[string]fleet.ServerID{}, []string{}
	var l fleet.EndpointList
	for i, e := range s.Servers {
		state, ok := map[string]fleet.ServerState{"": fleet.ServerReady, "ready": fleet.ServerReady, "draining": fleet.ServerDraining, "gone": fleet.ServerGone}[e.State]
		if !ok {
			return nil, fmt.Errorf("%s: servers[%d].state: %q is none of ready, draining, gone", stateName, i, e.State)
		}
		entry := fleet.Endpoint{Server: fleet.ServerID(i), State: state}
		if !e.Started.IsZero() {
			entry.Started = fleet.Time(e.Started.UnixNano())
		}
		ids[e.Name], names = entry.Server, append(names, e.Name)
		l.Endpoints = append(l.Endpoints, entry)
	}
	g.Hear(at, l)
	for i, e := range s.Servers {
		if one := g.servers[fleet.ServerID(i)]; e.Capacity > 0 {
			one.carried, one.capacity, one.measuredAt = e.Capacity, e.Capacity, at
		}
	}
	var lines []TableLine
	for i, line := range t.Lines {
		id, known := ids[line.Server]
		if !known {
			id = fleet.ServerID(len(names))
			ids[line.Server], names = id, append(names, line.Server)
		}
		if line.Weight < 0 {
			return nil, fmt.Errorf("%s: lines[%d].weight: %v is negative", tableName, i, line.Weight)
		}
		lines = append(lines, TableLine{id, line.Weight, line.Withdrawn})
	}
	var words []string
	for _, h := range g.Table(at, lines, s.Demand) {
		text := h.Why + ": " + h.Text
		if !h.None {
			text = "server " + names[h.Server] + ": " + text
		}
		words = append(words, text)
	}
	return words, nil
}

package safety

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// TestTableReportsViolations checks the reasons that complete tables are refused for, such as an operator's weight for
// a draining server.
func TestTableReportsViolations(t *testing.T) {
	checker := New(testSite())
	checker.Observe(now, fleet.EndpointList{Endpoints: []fleet.Endpoint{
		{Server: 1},
		{Server: 2},
		{Server: 3, State: fleet.ServerDraining},
		{Server: 4, Started: now - fleet.Second},
	}})
	for id := range fleet.ServerID(2) {
		checker.Observe(now, outcomeReport(id+1, 100, 0.5))
	}
	checker.Observe(now, fleet.OutcomeReport{Server: 4, Attempts: 10, Interval: 10 * fleet.Second})
	checker.servers[4].measuredAt = now // it has reports, but is warming up
	for _, test := range []struct {
		weights map[fleet.ServerID]float64
		demand  float64
		want    []string
	}{
		{map[fleet.ServerID]float64{1: 1, 2: 1}, 30, nil},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 4: 0.05}, 30, nil},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 3: 1}, 30, []string{ReasonServerNotReady}},
		{map[fleet.ServerID]float64{1: 0, 2: 0}, 30, []string{ReasonNoEndpoints}},
		{map[fleet.ServerID]float64{1: 1, 2: 1, 4: 2}, 35, []string{ReasonWarmingOverload}},
		{map[fleet.ServerID]float64{1: 1, 9: 1}, 35, []string{ReasonServerNotReady, ReasonInsufficientCapacity}},
	} {
		var entries []TableEntry
		for id := range fleet.ServerID(10) {
			if weight, listed := test.weights[id]; listed {
				entries = append(entries, TableEntry{Server: id, Weight: weight})
			}
		}
		var got []string
		for _, violation := range checker.CheckTable(now, entries, test.demand) {
			got = append(got, violation.Reason)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("weights %v at %v requests/s: %q, want %q", test.weights, test.demand, got, test.want)
		}
	}
}

// TestCheckDescribesViolationsOfFiles checks table files offline: violations name the server, and errors name the
// place in the file.
func TestCheckDescribesViolationsOfFiles(t *testing.T) {
	state := `{"now": "2026-12-01T12:00:10Z", "demand": 40,
		"cold": {"from": 0.2, "for_s": 15, "fall_factor": 3, "fall_for_s": 2},
		"servers": [{"name": "a", "capacity": 30}, {"name": "b", "capacity": 30, "state": "draining"},
		{"name": "c", "started": "2026-12-01T12:00:08Z"}, {"name": "d", "capacity": 30}]}`
	drainingAndWarming := "[server b: " + ReasonServerNotReady +
		": it must not receive requests, but its weight is 1 server c: " + ReasonWarmingOverload
	for table, want := range map[string]string{
		`{"lines": [{"server": "a", "weight": 1}, {"server": "d", "weight": 1}]}`: "[]",
		`{"lines": [{"server": "a", "weight": 1}, {"server": "b", "weight": 1},
			{"server": "c", "weight": 5}]}`: drainingAndWarming,
		`{"lines": [{"server": "x", "weight": 0}]}`:  "[" + ReasonNoEndpoints,
		`{"lines": [{"server": "a", "weight": -1}]}`: "t: lines[0].weight: -1 is negative",
		`{"lines": [{"sever": "a"}]}`:                `t: byte 27: json: unknown field "sever"`,
	} {
		texts, err := Check("t", []byte(table), "s", []byte(state))
		got := fmt.Sprint(texts)
		if err != nil {
			got = err.Error()
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%s: %s, want %s", table, got, want)
		}
	}
	badState := `{"servers": [{"state": "up"}], "now": "2026-12-01T12:00:10Z"}`
	_, err := Check("t", []byte("{}"), "s", []byte(badState))
	if err == nil || !strings.Contains(err.Error(), "s: servers[0].state") {
		t.Error(err)
	}
}

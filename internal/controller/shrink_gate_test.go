package controller

import (
	"fmt"
	"testing"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
)

// TestShrunkListIsFetchedAgain lets a source recover with a third of the servers. The list must be held back and
// fetched again. If a complete list follows, no server is removed; otherwise the held list is applied within half a
// drain timeout. A delta to the held list applies both.
func TestShrunkListIsFetchedAgain(t *testing.T) {
	s := fleet.Second
	list := func(revision uint64, n int) discovery.EndpointList {
		list := discovery.EndpointList{Revision: revision}
		for i := range n {
			endpoint := discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: "a"}
			list.Endpoints = append(list.Endpoints, endpoint)
		}
		return list
	}
	for name, c := range map[string]struct {
		followUp func(core *Core, now fleet.Time) // called 1 s after the shrunk list
		want     int                              // listed servers 1.6 s after the shrunk list
	}{
		"a complete list follows": {func(core *Core, now fleet.Time) {
			core.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: list(3, 12)}})
		}, 12},
		"no other list follows": {func(*Core, fleet.Time) {}, 4},
		"the same list is repeated": {func(core *Core, now fleet.Time) {
			core.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: list(2, 4)}})
			if len(core.endpoints.listed) != 4 {
				t.Errorf("after the list was repeated, %d servers are listed, want 4", len(core.endpoints.listed))
			}
		}, 4},
		"a delta to the held list follows": {func(core *Core, now fleet.Time) {
			core.Step(now, []Input{EndpointUpdate{
				Scope: fleet.ListDelta,
				List:  discovery.EndpointList{Revision: 3, Endpoints: []discovery.Endpoint{{Name: "s9", Addr: "x:1", Zone: "a"}}},
			}})
		}, 5},
	} {
		core := NewCore(CoreOptions{
			Site: fleet.Site{
				Zones:            []string{"a"},
				Classes:          make([]fleet.RequestClass, 1),
				DrainTimeout:     3 * s,
				EntriesPerSecond: 1e6,
				MaxBacklog:       1e6,
			},
			Seed:  1,
			Names: NewServerNames(),
		})
		now := 100 * s
		fetches := 0
		core.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: list(1, 12)}})
		began := now + s
		core.Step(began, []Input{EndpointUpdate{Scope: fleet.ListFull, List: list(2, 4)}})
		if len(core.endpoints.listed) != 12 {
			t.Errorf("%s: the shrunk list was applied at once", name)
		}
		for now = began; now < began+16*s/10; now += s / 10 {
			if now == began+s {
				c.followUp(core, now)
			}
			if out := core.Step(now, nil); out.FetchEndpoints {
				fetches++
			} else if out.NextStep > now+maxStepInterval {
				t.Errorf("%s: the next step is due only at %d", name, out.NextStep)
			}
		}
		if len(core.endpoints.listed) != c.want || fetches != 1 {
			t.Errorf("%s: %d servers are listed, want %d; the list was fetched %d times, want once",
				name, len(core.endpoints.listed), c.want, fetches)
		}
	}
}

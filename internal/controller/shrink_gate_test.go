package controller

import (
	"fmt"
	"testing"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
)

// TestTruncatedListIsAskedForAgain: discovery comes back with a third of the servers. It is not obeyed at once, is asked again, and
// either a whole list follows and nobody was withdrawn, or it is obeyed within half a drain's grace; a delta on it is obeyed with it.
func TestTruncatedListIsAskedForAgain(t *testing.T) {
	s := fleet.Second
	doc := func(rev uint64, n int) discovery.EndpointList {
		d := discovery.EndpointList{Revision: rev}
		for i := range n {
			d.Endpoints = append(d.Endpoints, discovery.Endpoint{Name: fmt.Sprint("s", i), Addr: "x:1", Zone: "a"})
		}
		return d
	}
	for name, day := range map[string]struct {
		then func(c *Core, now fleet.Time) // a second after
		want int                           // servers 1.6 s after
	}{
		"a whole list follows": {func(c *Core, now fleet.Time) {
			c.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc(3, 12)}})
		}, 12},
		"nothing better follows": {func(*Core, fleet.Time) {}, 4},
		"it is said again": {func(c *Core, now fleet.Time) {
			c.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc(2, 4)}})
			if len(c.endpoints.listed) != 4 {
				t.Errorf("said twice, %d servers are listed", len(c.endpoints.listed))
			}
		}, 4},
		"a delta goes on from it": {func(c *Core, now fleet.Time) {
			c.Step(now, []Input{EndpointUpdate{Scope: fleet.ListDelta, List: discovery.EndpointList{Revision: 3, Endpoints: []discovery.Endpoint{{Name: "s9", Addr: "x:1", Zone: "a"}}}}})
		}, 5},
	} {
		c := NewCore(CoreOptions{Site: fleet.Site{Zones: []string{"a"}, Classes: make([]fleet.RequestClass, 1), DrainTimeout: 3 * s, EntriesPerSecond: 1e6, MaxBacklog: 1e6}, Seed: 1, Names: NewNames()})
		now, asked := 100*s, 0
		c.Step(now, []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc(1, 12)}})
		began := now + s
		c.Step(began, []Input{EndpointUpdate{Scope: fleet.ListFull, List: doc(2, 4)}})
		if len(c.endpoints.listed) != 12 {
			t.Errorf("%s: obeyed at once", name)
		}
		for now = began; now < began+16*s/10; now += s / 10 {
			if now == began+s {
				day.then(c, now)
			}
			if out := c.Step(now, nil); out.FetchEndpoints {
				asked++
			} else if out.NextStep > now+maxStepInterval {
				t.Errorf("%s: no look before %d", name, out.NextStep)
			}
		}
		if len(c.endpoints.listed) != day.want || asked != 1 {
			t.Errorf("%s: %d servers are listed, asked %d times", name, len(c.endpoints.listed), asked)
		}
	}
}

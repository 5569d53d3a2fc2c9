package relay

import (
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

func TestOperationText(t *testing.T) {
	for want, operation := range map[string]Operation{
		"share,4,s-5,1.5":              {Order: fleet.SetWeight{Table: 4, Weight: 1.5}, Server: "s-5"},
		"share,4,s-5,0.00000012345679": {Order: fleet.SetWeight{Table: 4, Weight: 1.2345679e-7}, Server: "s-5"},
		"bind,17,4,look+issue":         {Order: fleet.AssignTable{Proxy: 17, Table: 4, Classes: 5}},
		"admit,*,*,1000000,1": {
			Order: fleet.SetAdmission{Table: fleet.AllTables, Limit: 1e6, Retry: fleet.RetryIfNotExecuted}},
		"mark,905,1":         {Order: fleet.Barrier{ID: 905, AllProxies: true}},
		"restore,s-5":        {Order: fleet.WithdrawServer{}, Server: "s-5"},
		"admit,4,book,0.9,2": {Order: fleet.SetAdmission{Table: 4, Classes: 2, Limit: 0.9, Retry: 2}},
		"share,65534,s-5,340282350000000000000000000000000000000": {
			Order: fleet.SetWeight{Table: 65534, Weight: 3.4028235e38}, Server: "s-5"},
	} {
		if got := operation.Text(classes); got != want {
			t.Errorf("got text %s, want %s", got, want)
		}
	}
}

// Operations that add must precede those that remove, so that a table in use is never empty, even if the relay carries
// out only a part of the call.
func TestCoalesceAddsBeforeItRemoves(t *testing.T) {
	coalesced := coalesce([]Operation{
		{Order: fleet.SetWeight{Table: 1, Weight: 0}, Server: "old"},
		{Order: fleet.WithdrawServer{Withdrawn: true}, Server: "old"},
		{Order: fleet.Barrier{ID: 1}},
		{Order: fleet.SetWeight{Table: 1, Weight: 1}, Server: "new"},
		{Order: fleet.Barrier{ID: 2}},
	})
	var texts []string
	for _, operation := range coalesced {
		texts = append(texts, operation.Text(classes))
	}
	const want = "share,1,new,1;share,1,old,0;withdraw,old;mark,1,0"
	if got := strings.Join(texts, ";"); got != want {
		t.Errorf("coalesced to %s, want %s", got, want)
	}
}

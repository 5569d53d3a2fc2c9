package controller

import (
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/transport"
)

// TestOrderTextIsStable checks the format of each kind of order in "show orders", which operators' scripts parse.
func TestOrderTextIsStable(t *testing.T) {
	names := NewServerNames()
	server := names.GetOrAssign("n1", "127.0.0.1:1")
	core := NewCore(CoreOptions{
		Site:    fleet.Site{Zones: []string{"a"}, Classes: make([]fleet.RequestClass, 1)},
		Seed:    1,
		Proxies: []transport.Proxy{{ID: 4, Name: "p4"}},
		Names:   names,
	})
	for want, order := range map[string]fleet.Order{
		"share table=3 server=n1 weight=0.5": fleet.SetWeight{Table: 3, Server: server, Weight: 0.5},
		"withdraw server=n1 out=true":        fleet.WithdrawServer{Server: server, Withdrawn: true},
		"bind proxy=p4 table=3 classes=0x5":  fleet.AssignTable{Proxy: 4, Table: 3, Classes: 5},
		"level table=65535 classes=0x2 amount=0.25 retry=1": fleet.SetAdmission{
			Table:   fleet.AllTables,
			Classes: 2,
			Limit:   0.25,
			Retry:   fleet.RetryIfNotExecuted,
		},
		"log two servers":                           fleet.LogMessage{Text: "two servers"},
		"fleet.SetAlarm {After:250000000 ID:7}":     fleet.SetTimer{Delay: fleet.Second / 4, ID: 7},
		"fleet.Probe {Server:0}":                    fleet.ProbeServer{Server: server},
		"fleet.Tell {To:4294967295 Data:[104 105]}": fleet.SendToPeer{To: fleet.AllPeers, Data: []byte("hi")},
		"fleet.Watch {On:true}":                     fleet.WatchEndpoints{Enabled: true},
		"fleet.Fetch {}":                            fleet.FetchEndpoints{},
		"fleet.Clear {Table:9}":                     fleet.ClearTable{Table: 9},
		"fleet.Mark {ID:12 All:true}":               fleet.Barrier{ID: 12, AllProxies: true},
	} {
		if got := core.formatOrder(order); got != want {
			t.Errorf("%T is printed as %q, want %q", order, got, want)
		}
	}
}

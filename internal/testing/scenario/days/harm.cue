// Harmful tables: operators set weights by hand, and the balancer doesn't limit the load of servers in slow start. With
// the guard no harmful table reaches a proxy; --no-guard shows the effect without it.
name:      "harm"
length:    "32s"
nodes:     8
proxies:   4
governors: 1
visits:    70
zones: ["salt-lake", "howrah"]
faults: ["cold-unbound"]
servers: {coldFor: "8s", grace: "3s"}
channel: bare: "3s"
troubles: [
	{at: "5s", for: "2s", what: "crash", part: 0.2},
	{at: "8s", for: "20s", what: "push", push: "drained"},
	{at: "9s", for: "10s", what: "drain"},
	{at: "14s", for: "5s", what: "push", push: "empty"},
	{at: "22s", for: "1500ms", what: "crash"},
	{at: "22s", for: "8s", what: "push", push: "crowd"},
]

// Harmful tables: staff push some through the operators' socket, and a governor's module goes without its bound on cold
// servers. With the guard no harm reaches a proxy; --no-guard shows what it keeps away.
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

// The endpoint source fails for one of two controllers for most of the scenario while servers drain and crash. The
// controllers exchange state by gossip.
name:      "peers"
length:    "60s"
nodes:     16
proxies:   8
governors: 2
peers:     true
visits:    130
troubles: [
	{at: "8s", for: "44s", what: "list-dark"},
	{at: "12s", for: "14s", what: "drain", part: 0.2},
	{at: "16s", for: "10s", what: "crash", part: 0.2},
	{at: "30s", for: "14s", what: "preempt", part: 0.2},
	{at: "36s", for: "8s", what: "crash", part: 0.15},
]

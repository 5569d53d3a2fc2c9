// Three controllers that share all proxies; one crashes, and one stalls for longer than its leases last,
// while servers and proxies fail too.
name:      "sharing"
length:    "70s"
nodes:     16
proxies:   12
governors: 3
sharing:   true
visits:    150
servers: {coldFor: "6s"}
troubles: [
	{at: "18s", for: "14s", what: "governor-kill"},
	{at: "22s", for: "6s", what: "crash", part: 0.15},
	{at: "26s", for: "7s", what: "drain", part: 0.15},
	{at: "40s", for: "9s", what: "governor-stall", size: 9000, every: "20s"},
	{at: "44s", for: "5s", what: "hang"},
	{at: "54s", for: "3s", what: "cut", part: 0.3},
	{at: "58s", what: "proxy-restart", part: 0.2},
]

// The default scenario: most kinds of faults within a minute.
name:      "default"
length:    "60s"
nodes:     24
proxies:   12
governors: 2
visits:    220
troubles: [
	{at: "6s", for: "10s", what: "slow", part: 0.1, size: 6},
	{at: "9s", for: "8s", what: "hang"},
	{at: "14s", for: "6s", what: "crash", part: 0.1},
	{at: "20s", for: "12s", what: "drain", part: 0.15},
	{at: "24s", what: "proxy-restart", part: 0.15},
	{at: "28s", for: "3s", what: "governor-kill"},
	{at: "34s", for: "8s", what: "list-down"},
	{at: "36s", for: "6s", what: "errors", part: 0.1, size: 0.7},
	{at: "38s", for: "5s", what: "crash", part: 0.1},
	{at: "42s", for: "4s", what: "cut", part: 0.3},
	{at: "47s", for: "6s", what: "burst", size: 1.6},
	{at: "49s", for: "6s", what: "slow-reader"},
]

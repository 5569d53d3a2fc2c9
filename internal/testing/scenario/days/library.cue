// Programs that send requests with the client libraries, beside two proxies, with the faults that affect them.
name:      "library"
length:    "40s"
nodes:     12
proxies:   2
governors: 2
libraries: 8
visits:    120
troubles: [
	{at: "6s", for: "6s", what: "crash", part: 0.2},
	{at: "9s", for: "8s", what: "drain", part: 0.15},
	{at: "14s", for: "2s", what: "governor-kill"},
	{at: "18s", for: "6s", what: "answers-lost", part: 0.2, size: 0.4},
	{at: "22s", for: "5s", what: "hang"},
	{at: "26s", for: "5s", what: "governor-stall", size: 1500, every: "2s"},
	{at: "30s", for: "6s", what: "slow", part: 0.2, size: 5},
]

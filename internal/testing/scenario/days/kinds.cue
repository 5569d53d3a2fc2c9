// Every kind of fault that the reports of the bench name, one after the other with some overlap.
name:      "kinds"
length:    "110s"
nodes:     16
proxies:   8
governors: 2
visits:    120
admission: "share"
troubles: [
	{at: "4s", for: "5s", what: "slow", part: 0.1},
	{at: "8s", for: "5s", what: "hang"},
	{at: "12s", for: "5s", what: "errors", part: 0.1},
	{at: "16s", for: "5s", what: "pauses", part: 0.3, size: 300},
	{at: "20s", for: "5s", what: "neighbour", part: 0.3, size: 2},
	{at: "24s", for: "8s", what: "ageing", part: 0.2, size: 8},
	{at: "34s", for: "8s", what: "flapping", every: "2s"},
	{at: "42s", for: "8s", what: "preempt", part: 0.1},
	{at: "46s", for: "4s", what: "shared-slow", size: 1.8},
	{at: "50s", for: "5s", what: "heavy-tail", size: 10},
	{at: "54s", for: "5s", what: "answers-lost", part: 0.3, size: 0.2},
	{at: "58s", for: "5s", what: "class-fails", part: 0.2, class: "slot-book"},
	{at: "62s", for: "5s", what: "one-sided", part: 0.3, size: 0.5},
	{at: "66s", for: "5s", what: "slow-link", size: 300},
	{at: "70s", for: "6s", what: "reports-late", size: 3},
	{at: "74s", for: "4s", what: "burst", size: 2},
	{at: "78s", for: "5s", what: "hot-caller", size: 0.25},
	{at: "82s", for: "4s", what: "proxy-stall", part: 0.5, size: 500},
	{at: "86s", for: "5s", what: "governor-stall", size: 1000, every: "1s"},
	{at: "90s", for: "5s", what: "list-late", size: 3},
	{at: "91s", for: "5s", what: "crash", part: 0.1},
	{at: "97s", for: "3s", what: "governor-kill", part: 1},
	{at: "101s", for: "4s", what: "cut", part: 0.4},
]

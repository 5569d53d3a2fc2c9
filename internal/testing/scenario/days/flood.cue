// A flood of unexpected load reports, while servers crash, stop reporting or become slow.
name:      "flood"
length:    "40s"
nodes:     12
proxies:   12
governors: 2
visits:    130
pushed:    true
troubles: [
	{at: "8s", for: "24s", what: "flood", size: 30000},
	{at: "12s", for: "8s", what: "mute", part: 0.17},
	{at: "15s", for: "8s", what: "slow", size: 4},
	{at: "22s", for: "8s", what: "crash"},
]

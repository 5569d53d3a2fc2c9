// Three controllers that share all proxies are restarted one after the other, then all killed at once.
name:      "rolling"
length:    "75s"
nodes:     16
proxies:   12
governors: 3
sharing:   true
visits:    150
troubles: [
	{at: "16s", what: "rolling"},
	{at: "20s", for: "6s", what: "drain", part: 0.15},
	{at: "30s", for: "5s", what: "crash", part: 0.15},
	{at: "58s", for: "2s", what: "governor-kill", part: 1},
]

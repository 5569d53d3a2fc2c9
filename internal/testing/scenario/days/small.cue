// A short scenario for the tests with the most severe faults of the default one.
name:      "small"
length:    "14s"
nodes:     8
proxies:   4
governors: 1
visits:    60
zones: ["salt-lake", "howrah"]
servers: {coldFor: "4s", grace: "3s"}
troubles: [
	{at: "4s", for: "3s", what: "crash", part: 0.2},
	{at: "5s", for: "4s", what: "drain"},
	{at: "6s", for: "1500ms", what: "governor-kill"},
	{at: "9s", what: "proxy-restart"},
	{at: "10s", for: "1s", what: "cut", part: 0.5},
]

// A controller is killed ten times at irregular intervals while servers crash and drain.
name:      "kills"
length:    "24s"
nodes:     10
proxies:   6
governors: 1
visits:    90
troubles: [
	{at: "2100ms", for: "300ms", what: "governor-kill"},
	{at: "3730ms", for: "500ms", what: "governor-kill"},
	{at: "5570ms", for: "200ms", what: "governor-kill"},
	{at: "7110ms", for: "700ms", what: "governor-kill"},
	{at: "9470ms", for: "100ms", what: "governor-kill"},
	{at: "11030ms", for: "400ms", what: "governor-kill"},
	{at: "13290ms", for: "300ms", what: "governor-kill"},
	{at: "15610ms", for: "600ms", what: "governor-kill"},
	{at: "17940ms", for: "200ms", what: "governor-kill"},
	{at: "20370ms", for: "300ms", what: "governor-kill"},
	{at: "6s", for: "6s", what: "crash"},
	{at: "10s", for: "8s", what: "drain"},
]

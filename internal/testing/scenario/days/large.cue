// The largest fleet that one machine can run: 150 servers and 200 proxies. Takes too long for the tests.
name:      "large"
length:    "60s"
nodes:     150
proxies:   200
governors: 2
visits:    700
troubles: [
	{at: "12s", for: "8s", what: "crash", part: 0.05},
	{at: "20s", for: "8s", what: "hang", part: 0.03},
	{at: "25s", for: "10s", what: "drain", part: 0.05},
	{at: "30s", for: "3s", what: "governor-kill"},
	{at: "38s", what: "proxy-restart", part: 0.05},
	{at: "42s", for: "8s", what: "crash", part: 0.05},
	{at: "48s", for: "5s", what: "slow-reader", part: 0.02},
]

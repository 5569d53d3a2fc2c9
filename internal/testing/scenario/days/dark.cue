// All controllers and proxies restart while the endpoint source is down, from cached lists that are a day old and half
// stale.
name:      "dark"
length:    "50s"
nodes:     12
proxies:   6
governors: 2
visits:    110
store:     false // without a store, controllers start from the cached list
troubles: [
	{at: "6s", for: "22s", what: "dark"},
]

// All governors and proxies start anew without the list's source, from lists of a day before of which half is gone.
name:      "dark"
length:    "50s"
nodes:     12
proxies:   6
governors: 2
visits:    110
store:     false // the list in the cache file is what they start from
troubles: [
	{at: "6s", for: "22s", what: "dark"},
]

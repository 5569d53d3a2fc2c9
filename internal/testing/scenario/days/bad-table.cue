// A poor table on a busy evening: staff force nearly all visits on one node, service falls, and they go back.
name:      "bad-table"
length:    "26s"
nodes:     12
proxies:   8
governors: 1
visits:    110
troubles: [
	{at: "9s", for: "6s", what: "bad-table"},
]

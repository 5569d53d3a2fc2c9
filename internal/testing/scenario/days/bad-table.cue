// Operators set weights that send nearly all requests to one server under high load, and roll the table back.
name:      "bad-table"
length:    "26s"
nodes:     12
proxies:   8
governors: 1
visits:    110
troubles: [
	{at: "9s", for: "6s", what: "bad-table"},
]

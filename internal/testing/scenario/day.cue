// A day of a drill: how large, who calls, and what goes wrong when.

#Time: =~"^[0-9]+(\\.[0-9]+)?(ms|s|m)$"

#Class: {
	name:     =~"^[a-z0-9-]+$"
	share:    number & >0
	work:     #Time // on a core of speed 1
	effect:   *"safe" | "keyed" | "unsafe"
	window:   #Time | *"5s"
	expected: #Time
	hardStop: #Time
	value:    number | *1
}

#Trouble: {
	at:   #Time
	for:  #Time | *"0s"
	what: "crash" | "slow" | "hang" | "errors" | "pauses" | "neighbour" | "ageing" | "flapping" | "preempt" | "drain" |
		"shared-slow" | "heavy-tail" | "answers-lost" | "class-fails" | "one-sided" | "slow-link" | "reports-late" |
		"burst" | "hot-caller" | "proxy-restart" | "proxy-stall" | "governor-kill" | "governor-stall" | "list-down" |
		"list-late" | "cut" | "slow-reader" | "push" | "bad-table" | "flood" | "mute" | "dark" | "rolling" | "list-dark"
	part:  number & >=0 & <=1 | *0 // of the nodes, proxies or governors; 0: one of them
	size:  number & >=0 | *0       // times slower, share that fails, times the visits, reports a second
	every: #Time | *"1s"           // pauses, flapping, stalls: between two
	class: string | *""
	push:  *"" | "empty" | "drained" | "crowd" // what staff push: all lines to 0, a drained node back, a cold one alone
}

#Day: {
	name:      string
	seed:      int | *1
	length:    #Time
	zones:     [...string] | *["salt-lake", "howrah", "kalyani", "durgapur"]
	nodes:     int & >=1 & <=400
	proxies:   int & >=1 & <=400
	governors: int & >=1 & <=16 | *1
	peers:     bool | *false // governors hear each other
	sharing:   bool | *false // all governors may serve all proxies, and agree at them
	libraries: int & >=0 & <=400 | *0 // programs that send visits themselves, by the client libraries in turn
	visits:    number & >0 // a second, all proxies together
	front:     *"runtime" | "files"
	admission: *"all" | "share"
	guard:     bool | *true
	faults: [...string] | *[] // of the governors, as their settings have them
	standing:  int & >=1 | *10 // servers in a proxy's own table
	pushed:    bool | *false // nodes push reports to all governors, which take load figures from there
	store:     bool | *true // governors keep what must last over their deaths
	lineDelay: =~"^[0-9]+us$" | *"30us"
	classes:   [#Class, ...#Class] | *[
		#Class & {name: "slot-look", share: 0.4, work: "60ms", expected: "500ms", hardStop: "2s", value: 3},
		#Class & {name: "slot-book", share: 0.4, work: "90ms", effect: "keyed", expected: "700ms", hardStop: "2s", value: 2},
		#Class & {name: "bag-issue", share: 0.2, work: "130ms", effect: "unsafe", expected: "1s", hardStop: "3s", value: 2},
	]
	servers: {
		coldFrom:   number | *0.2
		coldFor:    #Time | *"8s"
		fallFactor: number | *3
		fallFor:    #Time | *"2s"
		grace:      #Time | *"3s"
	}
	channel: {
		linesPerS: number | *15000
		backlog:   number | *30000
		bare:      #Time | *"5s"
	}
	troubles: [...#Trouble] | *[]
}

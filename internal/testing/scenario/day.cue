// Schema of the scenario files of faultdrill: size of the fleet, traffic, and faults.

#Time: =~"^[0-9]+(\\.[0-9]+)?(ms|s|m)$"

#Class: {
	name:     =~"^[a-z0-9-]+$"
	share:    number & >0
	work:     #Time // processing time of a request on a core of speed 1
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
	part:  number & >=0 & <=1 | *0 // fraction of the servers, proxies or controllers; 0: one of them
	size:  number & >=0 | *0       // factor, fraction that fails, duration or reports/s, by kind; 0: default
	every: #Time | *"1s"           // interval of repeated faults: pauses, flapping, stalls
	class: string | *""
	push:  *"" | "empty" | "drained" | "crowd" // by hand: all weights 0, draining servers up, all on one in slow start
}

#Day: {
	name:      string
	seed:      int | *1
	length:    #Time
	zones:     [...string] | *["salt-lake", "howrah", "kalyani", "durgapur"]
	nodes:     int & >=1 & <=400
	proxies:   int & >=1 & <=400
	governors: int & >=1 & <=16 | *1
	peers:     bool | *false // controllers exchange state by gossip
	sharing:   bool | *false // controllers share all proxies by leases
	libraries: int & >=0 & <=400 | *0 // programs that send requests with the client libraries, gRPC and text in turn
	visits:    number & >0 // requests per second in total
	front:     *"runtime" | "files"
	admission: *"all" | "share"
	guard:     bool | *true
	faults: [...string] | *[] // faults of the controllers, as in their settings
	standing:  int & >=1 | *10 // servers in a proxy's own initial table
	pushed:    bool | *false // servers push load reports to all controllers, which use the load figures in them
	store:     bool | *true // controllers persist their state in a store
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

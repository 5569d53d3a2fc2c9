// The settings of one governor. A file may be CUE, JSON or YAML; every value has its unit in it.

#Time:  =~"^[0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h)$" // "2s", "500ms"
#Name:  =~"^[A-Za-z0-9._-]{1,64}$"               // a word of the runtime API
#Share: number & >=0 & <=1

#Class: {
	name:       #Name
	backend:    #Name | *name                        // how proxies call it
	effect:     *"safe" | "keyed" | "unsafe"         // what running a visit twice would do
	group:      *"all" | "zone" | "cell"             // keyed: which servers drop a repeat
	window:     #Time | *"0s"                        // keyed: for how long
	expected:   #Time                                // an answer within this has its full value
	hardStop:   #Time                                // the client waits no longer
	value:      number & >=0 | *1
	lateShare:  #Share | *0                          // part of the value that a late answer keeps
	staysLocal: bool | *false                        // only to servers of the proxy's zone
	writes:     bool | *(effect != "safe")
}

#Proxy: {
	name:   #Name
	zone:   #Name
	addr:   string & !="" // its runtime socket, "host:port" or a path; on the files front its folder
	visits: number & >=0 | *1 // a second, as usual
}

#Settings: {
	name:      #Name
	seed:      int & >=0 | *1
	me:        int & >=0 | *0 // this governor's number among them
	governors: int & >=1 | *1
	zones: [#Name, ...#Name]
	zone: #Name | *zones[0]
	kinds: [...#Name] | *[]
	classes: [#Class, ...#Class]
	proxies: [...#Proxy] | *[]

	list: {
		source:    *"file" | "http"
		path:      string | *""                 // file: the list
		url:       string | *""                 // http: long poll with ?rev=N&wait=S
		onRequest: bool | *false                // the list answers only when asked; else it is followed always
		askWithin: #Time | *"10s"               // on request: not asking for so long counts as told
		wait:      #Time | *"20s"               // http: longest hold of a poll
		cache:     string | *""                 // file that keeps the last list for the next start
		prove:     *"connect" | "probe" | "answers" // how servers of a kept list are asked until the source is heard
		weight:    *"none" | "nominal" | "rough" | "live"
	}

	front: {
		kind:  *"runtime" | "files"
		map:   string | *"cressknot"            // runtime: file or #id of the proxies' map of levels
		table: string | *"nodes"                // runtime: stick table with what answers told, "" for none
		admission:    *"all" | "share" | "rate" // what proxies do with levels
		proxies:      int & >=0 | *0            // over all governors; 0: as many as are listed here
		joinByZone:   bool | *false
		standing:     int & >=0 | *0            // most servers in a proxy's own table at its start
		retryDefault: int & >=0 & <=3 | *0      // when a proxy tries again unless told
		perTry:       number & >=0 | *1
		outlierAfter: int & >=0 | *3            // failures in a row after which a proxy avoids a server; 0: never
		connLeast:    number & >=0 | *0         // connections that the smallest server takes; 0: enough
		connect:      #Time | *"400ms"
	}

	channel: {
		linesPerS:    number & >0 | *15000
		head:         number & >=0 | *6         // lines that each message costs beside its own
		backlog:      number & >0 | *30000      // lines that may wait
		messages:     int & >=0 | *0            // to one proxy within messagesOver; 0: no limit
		messagesOver: #Time | *"10s"
		travel:       #Time | *"50ms"           // mean way of a message
		travelMost:   #Time | *"500ms"
		bare:         #Time | *"5s"             // a proxy may lack a line for a class so long
	}

	reports: {
		every:      #Time | *"1s"
		linesPerS:  number & >0 | *500
		load:       *"answers" | "pushed" | "probe" | "none" // where servers' load figures are found
		listen:     string | *""                // host:port where servers push reports, "" for none
		series:     string | *""                // folder of the time series of reports; "": kept in memory
		fields: [...("busy" | "held" | "queue" | "service" | "rate" | "errors")] | *["busy", "held", "service"]
		probes:     bool | *false
		probePath:  string | *"/probe"
	}

	servers: {
		coldFrom:   #Share | *0.2               // a server starts at this part of its capacity
		coldFor:    #Time | *"15s"              // and is warm no later than this
		fallFactor: number & >=1 | *3           // sent over this many times its capacity
		fallFor:    #Time | *"2s"               // for so long, a cold server falls over
		drainGrace: #Time | *"3s"
		goneBinds:  bool | *true                // a server dropped from the list counts as draining
	}

	goal: {whole: #Share | *0.7, worstClass: #Share | *0.3}

	operators: {
		socket: string | *""                    // Unix socket of mode 0600, or host:port where that is wanted
		stop:   #Time | *"5s"                   // longest wait for orders in hand at a stop
	}

	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"json" | "console"
		file:   string | *""                    // "": standard error
	}

	peers: {
		listen:  string | *""                   // host:port (UDP and TCP) where other governors reach this one, "" for none
		join:    [...string] | *[]              // host:port of some of them
		keyFile: string | *""                   // 16, 24 or 32 bytes in hexadecimal: news are encrypted with it
	}

	sharing: governors: [...#Name] | *[] // all that may serve the proxies named here, this one too; empty: this one alone

	service: {
		rpc:    string | *""                    // host:port where programs ask over gRPC, "" for none
		text:   string | *""                    // the same over the text protocol: host:port, or a Unix socket of mode 0600
		visits: number & >=0 | *10              // a second that programs of a zone send themselves, as usual
	}

	store: folder: string | *"" // what must last over this governor's death; "": nothing does

	guard: bool | *true // every message is judged before it leaves; false only to see in a drill what it keeps away
	faults: [...("cold-unbound")] | *[] // for drills: breaks this governor on purpose

	records: string | *"" // file that events and orders are recorded to, for replay
}

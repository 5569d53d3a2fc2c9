// The settings of one controller. A file may be CUE, JSON or YAML; a value with a unit says it. Keys and defaults are
// part of the interface and stay.

#Time:  =~"^[0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h)$" // "2s", "500ms"
#Name:  =~"^[A-Za-z0-9._-]{1,64}$"               // as the runtime API takes it
#Share: number & >=0 & <=1

#Class: {
	name:       #Name
	backend:    #Name | *name                        // its backend at proxies
	effect:     *"safe" | "keyed" | "unsafe"         // whether a request may run twice: idempotent, with a key, not
	group:      *"all" | "zone" | "cell"             // keyed: the servers that recognize a repeated request
	window:     #Time | *"0s"                        // keyed: for how long they recognize it
	expected:   #Time                                // latency objective: an answer within it has its full value
	hardStop:   #Time                                // deadline: the client waits no longer
	value:      number & >=0 | *1                    // priority weight
	lateShare:  #Share | *0                          // fraction of the value that a late answer still has
	staysLocal: bool | *false                        // only to servers of the proxy's own zone
	writes:     bool | *(effect != "safe")
}

#Proxy: {
	name:   #Name
	zone:   #Name
	addr:   string & !="" // its runtime socket, "host:port" or a path; with files its directory
	visits: number & >=0 | *1 // expected requests per second
}

#Settings: {
	name:      #Name
	seed:      int & >=0 | *1
	me:        int & >=0 | *0 // index of this controller among all, from 0
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
		onRequest: bool | *false                // the source is polled only when the balancer asks; else it is watched
		askWithin: #Time | *"10s"               // onRequest: longest time between two polls
		wait:      #Time | *"20s"               // http: longest duration of a long poll
		cache:     string | *""                 // file that caches the last list for the next start
		prove:     *"connect" | "probe" | "answers" // how servers of a cached list are verified until the source answers
		weight:    *"none" | "nominal" | "rough" | "live"
	}

	front: {
		kind:  *"runtime" | "files"
		map:   string | *"cressknot"            // runtime: file or #id of the proxies' map of admission limits
		table: string | *"nodes"                // runtime: stick table with load figures from answers, "" for none
		admission:    *"all" | "share" | "rate" // what proxies do with admission limits
		proxies:      int & >=0 | *0            // of all controllers together; 0: those listed here
		joinByZone:   bool | *false
		standing:     int & >=0 | *0            // maximum number of servers in a proxy's initial table
		retryDefault: int & >=0 & <=3 | *0      // retry mode of a proxy that has no other
		perTry:       number & >=0 | *1
		outlierAfter: int & >=0 | *3            // consecutive failures after which a proxy ejects a server; 0: never
		connLeast:    number & >=0 | *0         // connections that the smallest server accepts; 0: no limit
		connect:      #Time | *"400ms"
	}

	channel: {
		linesPerS:    number & >0 | *15000
		head:         number & >=0 | *6         // overhead of each message, in table entries
		backlog:      number & >0 | *30000      // maximum number of waiting table entries
		messages:     int & >=0 | *0            // maximum number to one proxy within messagesOver; 0: no limit
		messagesOver: #Time | *"10s"
		travel:       #Time | *"50ms"           // mean delay of a message
		travelMost:   #Time | *"500ms"
		bare:         #Time | *"5s"             // longest time that a proxy may lack servers for a class
	}

	reports: {
		every:      #Time | *"1s"
		linesPerS:  number & >0 | *500
		load:       *"answers" | "pushed" | "probe" | "none" // where load figures of servers come from
		listen:     string | *""                // host:port where servers push reports, "" for none
		series:     string | *""                // directory of the time series of reports; "": in memory
		fields: [...("busy" | "held" | "queue" | "service" | "rate" | "errors")] | *["busy", "held", "service"]
		probes:     bool | *false
		probePath:  string | *"/probe"
	}

	servers: {
		coldFrom:   #Share | *0.2               // slow start: initial fraction of the capacity
		coldFor:    #Time | *"15s"              // slow start: its duration
		fallFactor: number & >=1 | *3           // recovery ramp: load over capacity by this factor
		fallFor:    #Time | *"2s"               // for this long makes a server in slow start fail
		drainGrace: #Time | *"3s"
		goneBinds:  bool | *true                // a server that leaves the list counts as draining
	}

	goal: {whole: #Share | *0.7, worstClass: #Share | *0.3}

	operators: {
		socket: string | *""                    // Unix socket of mode 0600, or host:port where that is wanted
		stop:   #Time | *"5s"                   // longest wait for messages in hand at a stop
	}

	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"json" | "console"
		file:   string | *""                    // "": standard error
	}

	peers: {
		listen:  string | *""                   // host:port (UDP and TCP) for gossip with other controllers, "" for none
		join:    [...string] | *[]              // host:port of some of them
		keyFile: string | *""                   // 16, 24 or 32 bytes in hexadecimal that encrypt gossip
	}

	sharing: governors: [...#Name] | *[] // controllers that serve the proxies, this one included; empty: none shares

	service: {
		rpc:    string | *""                    // host:port of the service over gRPC, "" for none
		text:   string | *""                    // the same over the text protocol: host:port, or a Unix socket of mode 0600
		visits: number & >=0 | *10              // expected requests per second of the programs of a zone
	}

	store: folder: string | *"" // directory of the state that survives a restart; "": none does

	guard: bool | *true // safety checks on every message; false only in fault drills
	faults: [...("cold-unbound")] | *[] // fault drills: faults that are injected on purpose

	records: string | *"" // event log, for replay
}

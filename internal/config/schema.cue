// Settings of one controller. A file may be CUE, JSON or YAML. Durations are strings with a unit. Keys and defaults
// are a stable interface and must not change.

#Time:  =~"^[0-9]+(\\.[0-9]+)?(ns|us|ms|s|m|h)$" // "2s", "500ms"
#Name:  =~"^[A-Za-z0-9._-]{1,64}$"               // characters that the runtime API accepts
#Share: number & >=0 & <=1                       // fraction

#Class: {
	name:       #Name
	backend:    #Name | *name                        // name of its backend at the proxies
	effect:     *"safe" | "keyed" | "unsafe"         // execution twice: harmless, harmless with a key, forbidden
	group:      *"all" | "zone" | "cell"             // keyed: scope in which servers recognize a repeated key
	window:     #Time | *"0s"                        // keyed: how long they recognize it
	expected:   #Time                                // latency objective: answers within it have their full value
	hardStop:   #Time                                // deadline: how long the client waits, over all attempts
	value:      number & >=0 | *1                    // priority weight of the class, relative to other classes
	lateShare:  #Share | *0                          // fraction of the value that a late answer keeps
	staysLocal: bool | *false                        // requests go only to servers of the proxy's own zone
	writes:     bool | *(effect != "safe")           // whether requests modify data
}

#Proxy: {
	name:   #Name
	zone:   #Name
	addr:   string & !=""     // front.kind "runtime": socket, as host:port or path; "files": directory
	visits: number & >=0 | *1 // expected requests per second
}

#Settings: {
	name:      #Name
	seed:      int & >=0 | *1
	me:        int & >=0 | *0 // index of this controller, from 0 to governors-1
	governors: int & >=1 | *1 // number of controllers
	zones: [#Name, ...#Name]
	zone: #Name | *zones[0]
	kinds: [...#Name] | *[]
	classes: [#Class, ...#Class]
	proxies: [...#Proxy] | *[]

	list: {
		source:    *"file" | "http"
		path:      string | *""                 // file: path of the list
		url:       string | *""                 // http: URL for long polls, which add ?rev=N&wait=S
		onRequest: bool | *false                // true: poll only when the balancer requests it; false: watch
		askWithin: #Time | *"10s"               // onRequest: maximum time between two polls
		wait:      #Time | *"20s"               // http: maximum duration of a long poll
		cache:     string | *""                 // file in which the last list is cached for the next start; "": none
		prove: *"connect" | "probe" | "answers" // verification of servers in a cached list until the source answers
		weight: *"none" | "nominal" | "rough" | "live" // meaning of the weights in the list
	}

	front: {
		kind:  *"runtime" | "files"
		map:   string | *"cressknot"            // runtime: file or #id of the proxies' map with admission limits
		table: string | *"nodes"                // runtime: stick table with load figures from answers; "": none
		admission:    *"all" | "share" | "rate" // limits: ignored, fraction of requests, requests per second
		proxies:      int & >=0 | *0            // number over all controllers; the number listed above is the minimum
		joinByZone:   bool | *false
		standing:     int & >=0 | *0            // maximum number of servers in a proxy's own initial table
		// Retry mode of proxies that have no other. 0: never; 1: once, if the first attempt was not executed; 2: once after
		// any failure; 3: twice after any failure.
		retryDefault: int & >=0 & <=3 | *0
		perTry:       number & >=0 | *1         // timeout of an attempt that may be retried, in latency objectives
		outlierAfter: int & >=0 | *3            // consecutive failures after which a proxy ejects a server; 0: never
		connLeast:    number & >=0 | *0         // connection limit of the smallest server; 0: unlimited
		connect:      #Time | *"400ms"          // connect timeout
	}

	channel: {
		linesPerS:    number & >0 | *15000      // capacity, in table entries per second
		head:         number & >=0 | *6         // overhead of each message, in table entries
		backlog:      number & >0 | *30000      // maximum number of waiting table entries
		messages:     int & >=0 | *0            // maximum number to one proxy within messagesOver; 0: unlimited
		messagesOver: #Time | *"10s"
		travel:       #Time | *"50ms"           // mean delay of a message
		travelMost:   #Time | *"500ms"          // maximum delay of a message
		bare:         #Time | *"5s"             // maximum time that a proxy may lack servers for a class
	}

	reports: {
		every:      #Time | *"1s"                            // interval of load reports
		linesPerS:  number & >0 | *500                       // maximum number of reports per second
		load:       *"answers" | "pushed" | "probe" | "none" // source of the load figures of servers
		listen:     string | *""                             // host:port to which servers push reports; "": none
		series:     string | *""                             // directory of the time series of reports; "": kept in memory
		fields: [...("busy" | "held" | "queue" | "service" | "rate" | "errors")] | *["busy", "held", "service"]
		probes:     bool | *false                            // whether the controller may probe servers
		probePath:  string | *"/probe"                       // URL path of probes
	}

	servers: {
		coldFrom:   #Share | *0.2               // slow start: initial fraction of capacity
		coldFor:    #Time | *"15s"              // slow start: duration
		fallFactor: number & >=1 | *3           // recovery ramp: a load of this many times the present capacity,
		fallFor:    #Time | *"2s"               // sustained for this long, makes a server in slow start fail
		drainGrace: #Time | *"3s"               // drain timeout: requests to a draining server must end within it
		goneBinds:  bool | *true                // true: a server removed from the list counts as draining
	}

	goal: {whole: #Share | *0.7, worstClass: #Share | *0.3} // weights of the whole fleet and of its worst class

	operators: {
		socket: string | *""                    // path of a Unix socket (mode 0600), or host:port; "": none
		stop:   #Time | *"5s"                   // shutdown timeout: maximum wait for pending messages
	}

	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"json" | "console"
		file:   string | *""                    // path; "": standard error
	}

	peers: {
		listen:  string | *""                   // host:port (UDP and TCP) for gossip with other controllers; "": none
		join:    [...string] | *[]              // host:port of some other controllers
		keyFile: string | *""                   // file with the gossip key, 16, 24 or 32 bytes in hexadecimal; "": none
	}

	// Names of the controllers that share the proxies, including this one; empty: no sharing.
	sharing: governors: [...#Name] | *[]

	service: {
		rpc:    string | *""                    // host:port of the service over gRPC; "": none
		text:   string | *""                    // host:port or Unix socket (mode 0600) of the text protocol; "": none
		visits: number & >=0 | *10              // expected requests per second of the clients of one zone
	}

	// What the connections of all listeners and links may use together; operate/limits.md.
	limits: {
		memoryMB:    int & >=0 & <=1048576 | *0 // MiB that the process may use; 0: as the system limits it
		heldMB:      int & >=0 & <=1048576 | *0 // MiB of requests and answers held at a time; 0: an eighth of memoryMB, 4 to 256
		connections: int & >=0 | *0             // open at a time; 0: an eighth of memoryMB at 64 KiB each, at most 16,384
	}

	store: folder: string | *"" // directory of state that survives a restart; "": no store

	guard: bool | *true                 // safety checks of every message; false only in fault drills
	faults: [...("cold-unbound")] | *[] // faults to inject, only in fault drills

	records: string | *"" // path of the event log, for replay; "": none
}

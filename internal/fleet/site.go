package fleet

// Idempotency is the effect of executing a request twice.
type Idempotency uint8

// The idempotency of a request class.
const (
	Idempotent        Idempotency = iota // repeated execution is harmless
	IdempotentWithKey                    // servers in the deduplication scope drop a key repeated within the window
	NotIdempotent                        // must never be executed twice
)

// DeduplicationScope is the set of servers that recognise a repeated idempotency key.
type DeduplicationScope uint8

// The deduplication scopes.
const (
	DeduplicationFleet DeduplicationScope = iota // all servers
	DeduplicationZone                            // the servers of one zone
	DeduplicationCell                            // the servers of one cell
)

// AdmissionMode is the meaning of the limit in a SetAdmission order.
type AdmissionMode uint8

// The admission modes.
const (
	AdmissionUnlimited AdmissionMode = iota // proxies ignore limits and apply retry modes
	AdmissionFraction                       // fraction of the requests; 1 or more admits all
	AdmissionRate                           // requests per second at each proxy
)

// RetryMode is the condition for a proxy to retry a request.
type RetryMode uint8

// The retry modes.
const (
	RetryNever         RetryMode = iota
	RetryIfNotExecuted           // once, after proof that the first attempt was never executed
	RetryOnce                    // once, after any failure
	RetryTwice                   // twice, after any failure
)

// ListWeight is the meaning of the weight of a listed endpoint.
type ListWeight uint8

// The meanings of a listed weight.
const (
	ListWeightNone        ListWeight = iota // always 1
	ListWeightNominal                       // the registered capacity
	ListWeightApproximate                   // an approximation of the capacity
	ListWeightLive                          // the capacity divided by a recent number of requests in flight
)

// LoadReportMode is the way in which servers report their load.
type LoadReportMode uint8

// The load report modes.
const (
	LoadReportNone    LoadReportMode = iota
	LoadReportInline                 // in responses to requests
	LoadReportOnProbe                // in responses to health checks
)

// LoadField identifies one value of a load report.
type LoadField uint8

// The values that a load report may have. LoadFieldOther stands for every unknown one.
const (
	LoadFieldOther         LoadField = iota
	LoadFieldInFlight                // requests in flight
	LoadFieldQueueLength             // queued requests
	LoadFieldUtilization             // fraction of the capacity in use
	LoadFieldServiceTimeMs           // milliseconds
	LoadFieldRequestRate             // requests per second
	LoadFieldErrorRate               // errors per second
)

// RequestClass is a class of requests in the settings of a site.
type RequestClass struct {
	Name               string             `json:"Name"`
	Idempotency        Idempotency        `json:"Effect"`
	DeduplicationScope DeduplicationScope `json:"Group"`
	// DeduplicationWindow is the time in which repeated keys are dropped, from the first attempt that may have been
	// executed.
	DeduplicationWindow Time `json:"Window"`
	// LatencyObjective is the response time within which a response has its full value.
	LatencyObjective Time `json:"Expected"`
	// Deadline is the time for which the client waits, over all attempts.
	Deadline Time `json:"HardStop"`
	// PriorityWeight is the value of a response within the objective, relative to other classes.
	PriorityWeight float64 `json:"Value"`
	// LateValueFraction is the fraction of PriorityWeight that a response after the objective is worth.
	LateValueFraction float64 `json:"LateShare"`
	// ZoneLocal restricts the class to servers of the proxy's own zone.
	ZoneLocal bool `json:"StaysLocal"`
	Writes    bool `json:"Writes"`
}

// SlowStart describes how a server warms up after its start: its capacity grows linearly from InitialFraction of the
// full capacity to all of it over Duration.
type SlowStart struct {
	InitialFraction float64 `json:"ColdFrom"`
	Duration        Time    `json:"ColdFor"`
}

// RecoveryRamp describes which load makes a warming or recovering server fail: OverloadFactor times its present
// capacity, for Duration.
type RecoveryRamp struct {
	OverloadFactor float64 `json:"FallFactor"`
	Duration       Time    `json:"FallFor"`
}

// Site is the configuration of a controller: the structure of the fleet, and the capabilities and costs of its
// interfaces. The JSON names are those of the event log.
type Site struct {
	ControllerIndex int            `json:"Me"` // index of this controller among Controllers
	Controllers     int            `json:"Governors"`
	Zone            ZoneID         `json:"Zone"` // zone of this controller
	Zones           []string       `json:"Zones"`
	Kinds           []string       `json:"Kinds"`
	Classes         []RequestClass `json:"Classes"`
	Tick            Time           `json:"Tick"` // shortest time between two steps

	ListOnRequest bool           `json:"ListOnRequest"` // endpoint lists are sent only on request
	ListWeight    ListWeight     `json:"ListWeight"`
	LoadReports   LoadReportMode `json:"Report"`
	LoadFields    []LoadField    `json:"LoadFields"` // the values of a load report, in order
	ProbesAllowed bool           `json:"Probes"`
	PeersAllowed  bool           `json:"Peers"` // messages between controllers are allowed

	Admission            AdmissionMode `json:"Admission"`
	ProxyCount           int           `json:"Proxies"` // of all controllers
	JoinByZone           bool          `json:"JoinByZone"`
	MaxStandingTableSize int           `json:"Standing"`  // maximum number of servers in a proxy's own, standing table
	SliceCount           int           `json:"Slices"`    // 0: no slices; proxies join one controller at a time
	ExclusiveSlices      bool          `json:"Exclusive"` // each slice has a single owner
	// WriteLeaseDuration is the time for which a proxy sends writes for an exclusive slice without its controller.
	WriteLeaseDuration Time `json:"Tenure"`
	MaxWriteDuration   Time `json:"InFlightMost"` // maximum duration of a write in flight
	// AttemptTimeoutFactor is the timeout of an attempt that may be retried, as a multiple of the latency objective.
	AttemptTimeoutFactor float64   `json:"PerTry"`
	DefaultRetry         RetryMode `json:"RetryDefault"`
	// ProxyOutlierFailures is the number of consecutive failures after which a proxy avoids a server; 0: never.
	ProxyOutlierFailures int `json:"OutlierAfter"`
	// MinServerConnections is the smallest connection limit of any server; 0: unlimited.
	MinServerConnections float64 `json:"ConnLeast"`
	ReportInterval       Time    `json:"ReportEvery"`  // time between two reports on a server or proxy
	ReportsPerSecond     float64 `json:"ReportsPerS"`  // maximum rate of all reports to a controller
	MeanUpdateDelay      Time    `json:"Travel"`       // of an update on its way to a proxy
	MaxUpdateDelay       Time    `json:"TravelMost"`   // of an update on its way to a proxy
	EntriesPerSecond     float64 `json:"LinesPerS"`    // capacity of the update channel, in table entries
	MessageOverhead      float64 `json:"MessageHead"`  // cost of a message in entries, in addition to its own entries
	MaxBacklog           float64 `json:"BacklogMost"`  // maximum number of entries queued in the update channel
	MaxMessages          int     `json:"MessagesMost"` // to one proxy within MessageWindow; 0: unlimited
	MessageWindow        Time    `json:"MessagesOver"`
	MaxUnservedDuration  Time    `json:"BareMost"` // maximum time that a proxy may be without endpoints for a class
	ConnectTimeout       Time    `json:"ConnectTimeout"`

	SlowStart
	RecoveryRamp
	DrainTimeout Time `json:"DrainGrace"` // proxies must stop sending requests to a draining server within this
	// MaxPollInterval is the longest time between polls of an endpoint list that is sent on request: a controller that
	// has not polled for so long counts as notified.
	MaxPollInterval Time `json:"AskWithin"`
	// IgnoreRemoval means that only a draining entry obliges the controller to stop requests to a server; a removed
	// entry does not.
	IgnoreRemoval             bool    `json:"GoneDoesNot"`
	ObjectiveWorstClassWeight float64 `json:"WorstClassPay"` // weight of the worst class in the objective
	ObjectiveOverallWeight    float64 `json:"WholePay"`      // weight of all classes together in the objective
}

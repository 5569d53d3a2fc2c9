package fleet

// Idempotency says what executing a request twice would do.
type Idempotency uint8

// The idempotency of a request class.
const (
	Idempotent        Idempotency = iota // repeated execution is harmless
	IdempotentWithKey                    // servers in the deduplication scope drop a repeated key for a while
	NotIdempotent                        // must never be executed twice
)

// DeduplicationScope says which servers recognise a repeated idempotency key.
type DeduplicationScope uint8

// The deduplication scopes.
const (
	DeduplicationFleet DeduplicationScope = iota // all servers
	DeduplicationZone                            // the servers of one zone
	DeduplicationCell                            // the servers of one cell
)

// AdmissionMode says how proxies read the limit of a SetAdmission order.
type AdmissionMode uint8

// The admission modes.
const (
	AdmissionUnlimited AdmissionMode = iota // limits are ignored; retry modes are honoured
	AdmissionFraction                       // a fraction of the requests, 1 or more meaning all
	AdmissionRate                           // requests per second at each proxy
)

// RetryMode says when a proxy sends a request again.
type RetryMode uint8

// The retry modes.
const (
	RetryNever         RetryMode = iota
	RetryIfNotExecuted           // once, after proof that the first attempt was never executed
	RetryOnce                    // once, after any failure
	RetryTwice                   // twice, after any failure
)

// ListWeight says what the weight of a listed endpoint means.
type ListWeight uint8

// The meanings of a listed weight.
const (
	ListWeightNone        ListWeight = iota // always 1
	ListWeightNominal                       // the registered capacity
	ListWeightApproximate                   // roughly the capacity
	ListWeightLive                          // the capacity divided by a recent number of requests in flight
)

// LoadReportMode says how servers report their load.
type LoadReportMode uint8

// The load report modes.
const (
	LoadReportNone    LoadReportMode = iota
	LoadReportInline                 // with the answers to requests
	LoadReportOnProbe                // with the answers to health checks
)

// LoadField names one figure of a load report.
type LoadField uint8

// The figures that a load report may hold. Those that this program does not know are LoadFieldOther.
const (
	LoadFieldOther         LoadField = iota
	LoadFieldInFlight                // requests in flight
	LoadFieldQueueLength             // requests that wait
	LoadFieldUtilization             // fraction of the capacity in use
	LoadFieldServiceTimeMs           // milliseconds
	LoadFieldRequestRate             // requests per second
	LoadFieldErrorRate               // errors per second
)

// RequestClass is one kind of request, as the site's settings describe it.
type RequestClass struct {
	Name               string             `json:"Name"`
	Idempotency        Idempotency        `json:"Effect"`
	DeduplicationScope DeduplicationScope `json:"Group"`
	// DeduplicationWindow is how long repeated keys are dropped, from the first attempt that may have been executed.
	DeduplicationWindow Time `json:"Window"`
	// LatencyObjective is the response time within which an answer has its full value.
	LatencyObjective Time `json:"Expected"`
	// Deadline is how long the client waits, over all attempts.
	Deadline Time `json:"HardStop"`
	// PriorityWeight is what an answer within the objective is worth, relative to other classes.
	PriorityWeight float64 `json:"Value"`
	// LateValueFraction is the part of its value that an answer past the objective keeps.
	LateValueFraction float64 `json:"LateShare"`
	// ZoneLocal restricts the class to servers of the proxy's own zone.
	ZoneLocal bool `json:"StaysLocal"`
	Writes    bool `json:"Writes"`
}

// SlowStart states how a server warms up after its start: its capacity grows from InitialFraction of the full one
// to all of it over Duration.
type SlowStart struct {
	InitialFraction float64 `json:"ColdFrom"`
	Duration        Time    `json:"ColdFor"`
}

// RecoveryRamp states what overloads a warming or recovering server: OverloadFactor times its present capacity, for
// Duration.
type RecoveryRamp struct {
	OverloadFactor float64 `json:"FallFactor"`
	Duration       Time    `json:"FallFor"`
}

// Site is what a controller is configured with: the shape of the fleet, what its interfaces can do and what they
// cost. The JSON names are those of the event log.
type Site struct {
	ControllerIndex int            `json:"Me"` // this controller among Controllers
	Controllers     int            `json:"Governors"`
	Zone            ZoneID         `json:"Zone"` // this controller's own zone
	Zones           []string       `json:"Zones"`
	Kinds           []string       `json:"Kinds"`
	Classes         []RequestClass `json:"Classes"`
	Tick            Time           `json:"Tick"` // shortest time between two steps

	ListOnRequest bool           `json:"ListOnRequest"` // endpoint lists come only when asked for
	ListWeight    ListWeight     `json:"ListWeight"`
	LoadReports   LoadReportMode `json:"Report"`
	LoadFields    []LoadField    `json:"LoadFields"` // the order of figures in a load report
	ProbesAllowed bool           `json:"Probes"`
	PeersAllowed  bool           `json:"Peers"` // messages between controllers are allowed

	Admission         AdmissionMode `json:"Admission"`
	ProxyCount        int           `json:"Proxies"` // over all controllers
	JoinByZone        bool          `json:"JoinByZone"`
	StandingTableSize int           `json:"Standing"`  // most servers in a proxy's own, standing table
	SliceCount        int           `json:"Slices"`    // 0: proxies join one controller at a time
	ExclusiveSlices   bool          `json:"Exclusive"` // a slice has a single owner
	// WriteLeaseDuration is how long a proxy sends writes for an exclusive slice without its controller.
	WriteLeaseDuration Time `json:"Tenure"`
	MaxWriteDuration   Time `json:"InFlightMost"` // a write in flight ends within this
	// AttemptTimeoutFactor is how many latency objectives an attempt that may be retried waits.
	AttemptTimeoutFactor float64   `json:"PerTry"`
	DefaultRetry         RetryMode `json:"RetryDefault"`
	// ProxyOutlierFailures is the number of consecutive failures after which a proxy avoids a server; 0: never.
	ProxyOutlierFailures int `json:"OutlierAfter"`
	// MinServerConnections is the smallest connection limit of any server; 0: unlimited.
	MinServerConnections float64 `json:"ConnLeast"`
	ReportInterval       Time    `json:"ReportEvery"`
	ReportsPerSecond     float64 `json:"ReportsPerS"`
	MeanUpdateDelay      Time    `json:"Travel"`
	MaxUpdateDelay       Time    `json:"TravelMost"`
	EntriesPerSecond     float64 `json:"LinesPerS"`    // capacity of the update channel, in table entries
	MessageOverhead      float64 `json:"MessageHead"`  // entries that each message costs beside its own
	MaxBacklog           float64 `json:"BacklogMost"`  // entries that may wait in the update channel
	MaxMessages          int     `json:"MessagesMost"` // to one proxy within MessageWindow; 0: unlimited
	MessageWindow        Time    `json:"MessagesOver"`
	MaxUnservedDuration  Time    `json:"BareMost"` // a proxy may be without endpoints for a class this long
	ConnectTimeout       Time    `json:"ConnectTimeout"`

	SlowStart
	RecoveryRamp
	DrainTimeout Time `json:"DrainGrace"` // requests to a draining server must end within this
	// MaxPollInterval bounds the time between polls where lists come on request: a controller that has not polled
	// for so long counts as notified.
	MaxPollInterval Time `json:"AskWithin"`
	// RemovalNotBinding says that only a draining entry binds the controller, and a removed one does not.
	RemovalNotBinding bool    `json:"GoneDoesNot"`
	WorstClassWeight  float64 `json:"WorstClassPay"`
	OverallWeight     float64 `json:"WholePay"`
}

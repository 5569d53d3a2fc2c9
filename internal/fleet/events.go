package fleet

// ServerState is what an endpoint list says of a server.
type ServerState uint8

// The states of a listed endpoint.
const (
	ServerReady ServerState = iota
	ServerDraining
	ServerGone
)

// ListScope says what an EndpointList holds.
type ListScope uint8

// The scopes of an EndpointList.
const (
	ListFull   ListScope = iota // the complete list
	ListDelta                   // the endpoints that changed
	ListFailed                  // nothing: a call failed or the watch broke
	ListCached                  // the complete list as it was known last, possibly stale
)

// Endpoint is one server of an endpoint list.
type Endpoint struct {
	Server  ServerID    `json:"Server"`
	State   ServerState `json:"State"`
	Cell    CellID      `json:"Cell"`
	Started Time        `json:"Started"` // latest start; 0: long ago
	Zone    ZoneID      `json:"Zone"`
	Kind    KindID      `json:"Kind"`
	Weight  float64     `json:"Weight"` // see Site.ListWeight
}

// ProbeOutcome is how a health check ended.
type ProbeOutcome uint8

// The outcomes of a health check.
const (
	ProbeAnswered ProbeOutcome = iota
	ProbeFailed
	ProbeRejected
	ProbeTimedOut
	ProbeUnreachable
	ProbeConnectionBroken
	ProbeOtherOutcome
)

// Event is an input of the balancer. The set of events is closed.
type Event interface{ event() }

// The events.
type (
	// EndpointList brings an endpoint list or a change of it. Endpoints belongs to the sender and must not be
	// changed.
	EndpointList struct {
		Scope     ListScope    `json:"Scope"`
		Revision  ListRevision `json:"Rev"`
		Endpoints []Endpoint   `json:"Entries"`
	}
	// TimerFired reports that a timer set by SetTimer is due.
	TimerFired struct {
		ID TimerID `json:"ID"`
	}
	// ProbeResult is the result of a health check.
	ProbeResult struct {
		Server   ServerID     `json:"Server"`
		Outcome  ProbeOutcome `json:"Outcome"`
		Duration Time         `json:"Took"`
		Load     []float32    `json:"Load"` // in the order of Site.LoadFields; empty: no report
	}
	// PeerMessage comes from another controller.
	PeerMessage struct {
		From ControllerID `json:"From"`
		Data []byte       `json:"Data"`
	}
	// ProxyJoined reports that a proxy's update stream is open.
	ProxyJoined struct {
		Proxy       ProxyID `json:"Proxy"`
		Zone        ZoneID  `json:"Zone"`
		RequestRate float64 `json:"Weight"` // requests per second that it usually receives
		Fresh       bool    `json:"Fresh"`  // it holds its standing tables only
	}
	// ProxyLeft reports that a proxy's update stream has ended.
	ProxyLeft struct {
		Proxy ProxyID `json:"Proxy"`
	}
	// OutcomeReport sums up the attempts of one zone's proxies at a server over an interval.
	OutcomeReport struct {
		Server   ServerID  `json:"Server"`
		Failures uint32    `json:"Failed"`
		Attempts uint32    `json:"Tries"`
		Latency  Time      `json:"Latency"` // mean of the successful attempts
		Interval Time      `json:"Span"`
		Zone     ZoneID    `json:"Zone"`
		Load     []float32 `json:"Load"` // in the order of Site.LoadFields; a negative figure is missing
	}
	// DemandReport sums up the requests of a class that a proxy received over an interval.
	DemandReport struct {
		Proxy      ProxyID `json:"Proxy"`
		Class      ClassID `json:"Class"`
		Requests   uint32  `json:"Visits"`
		Unanswered uint32  `json:"NoAnswer"`
		Interval   Time    `json:"Span"`
	}
	// SliceDemandReport sums up the requests of a class that came for a slice over an interval.
	SliceDemandReport struct {
		Slice      TableID `json:"Slice"`
		Class      ClassID `json:"Class"`
		Requests   uint32  `json:"Visits"`
		Unanswered uint32  `json:"NoAnswer"`
		Interval   Time    `json:"Span"`
	}
	// SliceAssigned gives a slice to this controller or takes it away.
	SliceAssigned struct {
		Slice    TableID `json:"Slice"`
		Assigned bool    `json:"Given"`
	}
	// StoredEntry is one stored table entry of a slice that was just assigned.
	StoredEntry struct {
		Slice  TableID  `json:"Slice"`
		Server ServerID `json:"Server"`
		Weight float64  `json:"Weight"`
	}
	// BarrierReached reports that a proxy has applied all orders up to a barrier.
	BarrierReached struct {
		Proxy   ProxyID   `json:"Proxy"`
		Barrier BarrierID `json:"Mark"`
		Delay   Time      `json:"Took"`
	}
	// OrdersUnconfirmed reports orders that may or may not have been carried out. The host does not send them again,
	// as that could cost their capacity in the update channel a second time.
	OrdersUnconfirmed struct {
		Orders []Order `json:"Orders"`
	}
)

func (EndpointList) event()      {}
func (TimerFired) event()        {}
func (ProbeResult) event()       {}
func (PeerMessage) event()       {}
func (ProxyJoined) event()       {}
func (ProxyLeft) event()         {}
func (OutcomeReport) event()     {}
func (DemandReport) event()      {}
func (SliceDemandReport) event() {}
func (SliceAssigned) event()     {}
func (StoredEntry) event()       {}
func (BarrierReached) event()    {}
func (OrdersUnconfirmed) event() {}

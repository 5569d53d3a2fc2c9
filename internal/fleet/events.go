package fleet

// ServerState is the state of a server in an endpoint list.
type ServerState uint8

// The states of a listed endpoint.
const (
	ServerReady    ServerState = iota // accepts requests
	ServerDraining                    // finishes the requests it has and must not receive new ones
	ServerGone                        // removed from the endpoint list
)

// ListScope is the meaning of the endpoints in an EndpointList.
type ListScope uint8

// The scopes of an EndpointList.
const (
	ListFull   ListScope = iota // the complete list
	ListDelta                   // only the endpoints that changed
	ListFailed                  // no endpoints: a call failed or the watch ended
	ListCached                  // the complete list as last known, possibly stale
)

// Endpoint is one server of an endpoint list.
type Endpoint struct {
	Server  ServerID    `json:"Server"`
	State   ServerState `json:"State"`
	Cell    CellID      `json:"Cell"`
	Started Time        `json:"Started"` // latest start; 0: too long ago for a slow start
	Zone    ZoneID      `json:"Zone"`
	Kind    KindID      `json:"Kind"`
	Weight  float64     `json:"Weight"` // see Site.ListWeight
}

// ProbeOutcome is the outcome of a health check.
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
	// EndpointList carries an endpoint list or a delta. Endpoints belongs to the sender: the receiver must not change
	// it.
	EndpointList struct {
		Scope     ListScope    `json:"Scope"`
		Revision  ListRevision `json:"Rev"`
		Endpoints []Endpoint   `json:"Entries"`
	}
	// TimerFired reports that a timer set by SetTimer has expired.
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
	// PeerMessage is a message from another controller.
	PeerMessage struct {
		From ControllerID `json:"From"`
		Data []byte       `json:"Data"`
	}
	// ProxyJoined reports that a proxy's update stream is open.
	ProxyJoined struct {
		Proxy       ProxyID `json:"Proxy"`
		Zone        ZoneID  `json:"Zone"`
		RequestRate float64 `json:"Weight"` // requests per second that it usually receives
		Fresh       bool    `json:"Fresh"`  // it has only its standing tables, none of a controller
	}
	// ProxyLeft reports that a proxy's update stream has ended.
	ProxyLeft struct {
		Proxy ProxyID `json:"Proxy"`
	}
	// OutcomeReport sums up the attempts at a server by the proxies of one zone over an interval.
	OutcomeReport struct {
		Server   ServerID  `json:"Server"`
		Failures uint32    `json:"Failed"`
		Attempts uint32    `json:"Tries"`
		Latency  Time      `json:"Latency"` // mean of the successful attempts
		Interval Time      `json:"Span"`
		Zone     ZoneID    `json:"Zone"`
		Load     []float32 `json:"Load"` // in the order of Site.LoadFields; negative: not reported
	}
	// DemandReport sums up the requests of a class that a proxy received over an interval.
	DemandReport struct {
		Proxy      ProxyID `json:"Proxy"`
		Class      ClassID `json:"Class"`
		Requests   uint32  `json:"Visits"`
		Unanswered uint32  `json:"NoAnswer"` // among Requests
		Interval   Time    `json:"Span"`
	}
	// SliceDemandReport sums up the requests of a class for a slice over an interval.
	SliceDemandReport struct {
		Slice      TableID `json:"Slice"`
		Class      ClassID `json:"Class"`
		Requests   uint32  `json:"Visits"`
		Unanswered uint32  `json:"NoAnswer"` // among Requests
		Interval   Time    `json:"Span"`
	}
	// SliceAssigned reports that this controller has become, or is no longer, an owner of a slice.
	SliceAssigned struct {
		Slice    TableID `json:"Slice"`
		Assigned bool    `json:"Given"`
	}
	// StoredEntry is one stored entry of the table of a slice that was just assigned.
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
	// OrdersUnconfirmed reports orders that may or may not have been carried out. The host does not send them again, as
	// that could use the capacity of the update channel twice.
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

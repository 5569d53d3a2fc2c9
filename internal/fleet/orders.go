package fleet

// Order is an output of the balancer. The set of orders is closed. All orders set absolute values, so that they are
// idempotent.
type Order interface{ order() }

// The orders.
type (
	// SetTimer requests a TimerFired event after Delay.
	SetTimer struct {
		Delay Time    `json:"After"`
		ID    TimerID `json:"ID"`
	}
	// ProbeServer requests a health check of a server.
	ProbeServer struct {
		Server ServerID `json:"Server"`
	}
	// SendToPeer sends up to 256 bytes to another controller.
	SendToPeer struct {
		To   PeerID `json:"To"`
		Data []byte `json:"Data"`
	}
	// LogMessage adds a line to the log.
	LogMessage struct {
		Text string `json:"Text"`
	}
	// WatchEndpoints starts or stops watching the endpoint list.
	WatchEndpoints struct {
		Enabled bool `json:"On"`
	}
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints struct{}
	// SetWeight sets an entry of a table. A weight of 0 removes it.
	SetWeight struct {
		Table  TableID  `json:"Table"`
		Server ServerID `json:"Server"`
		Weight float32  `json:"Weight"`
	}
	// ClearTable removes all entries of a table.
	ClearTable struct {
		Table TableID `json:"Table"`
	}
	// WithdrawServer removes a server from all tables of joined proxies regardless of its weights, or reverts this.
	WithdrawServer struct {
		Server    ServerID        `json:"Server"`
		Withdrawn bool            `json:"Out"`
		Cause     WithdrawalCause `json:"-"` // for the log only; proxies do not receive it
	}
	// AssignTable assigns a table to a proxy for some classes.
	AssignTable struct {
		Proxy   ProxyID  `json:"Proxy"`
		Table   TableID  `json:"Table"`
		Classes ClassSet `json:"Classes"`
	}
	// SetAdmission sets the admission limit and the retry mode of some classes.
	SetAdmission struct {
		Table   TableID   `json:"Table"`
		Classes ClassSet  `json:"Classes"`
		Limit   float32   `json:"Amount"` // see Site.Admission
		Retry   RetryMode `json:"Retry"`
	}
	// Barrier requests a BarrierReached event from each proxy that receives orders of the same step.
	Barrier struct {
		ID         BarrierID `json:"ID"`
		AllProxies bool      `json:"All"` // also requests a BarrierReached event from all other proxies
	}
)

func (SetTimer) order()       {}
func (ProbeServer) order()    {}
func (SendToPeer) order()     {}
func (LogMessage) order()     {}
func (WatchEndpoints) order() {}
func (FetchEndpoints) order() {}
func (SetWeight) order()      {}
func (ClearTable) order()     {}
func (WithdrawServer) order() {}
func (AssignTable) order()    {}
func (SetAdmission) order()   {}
func (Barrier) order()        {}

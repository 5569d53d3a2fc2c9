// Package fleet holds the words that the decisions and their hosts share: ids, times, the site as it
// is told at start, the events that a governor hears and the orders that it gives. It knows no wire and
// decides nothing.
package fleet

import "math"

// Time is a moment on the governor's clock or a stretch of it, in whole nanoseconds.
type Time int64

// Common stretches of time.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000 * Millisecond
)

// Seconds gives a stretch as a number of seconds, for rates.
func (t Time) Seconds() float64 { return float64(t) / float64(Second) }

// Scale gives a stretch times a factor.
func (t Time) Scale(by float64) Time { return Time(float64(t) * by) }

// Millis gives a stretch of so many milliseconds, to the nearest nanosecond.
func Millis(ms float64) Time { return Time(math.Round(ms * float64(Millisecond))) }

// Ids tell nothing of what they name, neither by order nor by size.
type (
	ServerID   uint32
	ProxyID    uint16
	TableID    uint16
	GovernorID uint16
	PeerID     uint32
	ClassID    uint8
	ZoneID     uint8
	KindID     uint8
	CellID     uint16
	AlarmID    uint32
	MarkID     uint64
	ListRev    uint64
)

// EveryTable stands for all tables in a Level order.
const EveryTable TableID = 65535

// EveryPeer addresses a Tell to all other governors.
const EveryPeer PeerID = 1<<32 - 1

// Effect says what running a visit twice would do.
type Effect uint8

// The effects of a visit class.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // servers of one group drop a repeat for a while
	Unsafe               // must never run twice
)

// Group says which servers know a keyed visit's repeats.
type Group uint8

// The groups of servers.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Admission says what the amount in a level means.
type Admission uint8

// The ways of admission.
const (
	AdmitAll   Admission = iota // amounts are disregarded, retry modes are honoured
	AdmitShare                  // a share of the visits, 1 or more meaning all
	AdmitRate                   // visits a second at each proxy
)

// Retry says when a proxy tries a visit again.
type Retry uint8

// The retry modes.
const (
	RetryNever      Retry = iota
	RetryIfNeverRan       // once, after proof that the first try never ran
	RetryOnce             // once, after any failure
	RetryTwice            // twice, after any failure
)

// ListWeight says what the weight of a list entry means.
type ListWeight uint8

// The meanings of a listed weight.
const (
	WeightNone    ListWeight = iota // always 1
	WeightNominal                   // the registered size
	WeightRough                     // the size, about
	WeightLive                      // the size over what was held some time ago
)

// ReportWay says where servers' load reports are found.
type ReportWay uint8

// The ways of load reports.
const (
	ReportNever ReportWay = iota
	ReportInline
	ReportOnProbe
)

// LoadField names a figure of a load report.
type LoadField uint8

// The figures that a load report may hold; those unknown to us are FieldOther.
const (
	FieldOther LoadField = iota
	FieldHeld
	FieldQueue
	FieldBusy
	FieldServiceMs
	FieldRate
	FieldErrorRate
)

// VisitClass is one kind of visit, as the site states it.
type VisitClass struct {
	Name       string  `json:"Name"`
	Effect     Effect  `json:"Effect"`
	Group      Group   `json:"Group"`
	Window     Time    `json:"Window"`   // how long the group drops repeats, from the first try that may have run
	Expected   Time    `json:"Expected"` // an answer within this has full value
	HardStop   Time    `json:"HardStop"` // the client waits no longer, over all its tries
	Value      float64 `json:"Value"`
	LateShare  float64 `json:"LateShare"`  // part of the value that an answer past the expected time keeps
	StaysLocal bool    `json:"StaysLocal"` // only to servers of the proxy's zone
	Writes     bool    `json:"Writes"`
}

// Site is what a governor is told at its start.
type Site struct {
	Me        int          `json:"Me"` // this governor's number
	Governors int          `json:"Governors"`
	Zone      ZoneID       `json:"Zone"`
	Zones     []string     `json:"Zones"`
	Kinds     []string     `json:"Kinds"`
	Classes   []VisitClass `json:"Classes"`
	Tick      Time         `json:"Tick"` // shortest time between two batches

	ListOnRequest bool        `json:"ListOnRequest"`
	ListWeight    ListWeight  `json:"ListWeight"`
	Report        ReportWay   `json:"Report"`
	LoadFields    []LoadField `json:"LoadFields"`
	Probes        bool        `json:"Probes"` // probing servers is allowed
	Peers         bool        `json:"Peers"`  // messages among governors are allowed

	Admission      Admission `json:"Admission"`
	Proxies        int       `json:"Proxies"` // over all governors
	JoinByZone     bool      `json:"JoinByZone"`
	Standing       int       `json:"Standing"`     // most servers in a proxy's standing table
	Slices         int       `json:"Slices"`       // 0: a proxy is joined to one governor at a time
	Exclusive      bool      `json:"Exclusive"`    // a slice has just one owner
	Tenure         Time      `json:"Tenure"`       // exclusive: how long a proxy sends writes without its governor
	InFlightMost   Time      `json:"InFlightMost"` // a write in hand is finished within this
	PerTry         float64   `json:"PerTry"`       // a try that may be followed waits this many expected times
	RetryDefault   Retry     `json:"RetryDefault"`
	OutlierAfter   int       `json:"OutlierAfter"` // a proxy avoids a server after so many failures in a row; 0: never
	ConnLeast      float64   `json:"ConnLeast"`
	ReportEvery    Time      `json:"ReportEvery"`
	ReportsPerS    float64   `json:"ReportsPerS"`
	Travel         Time      `json:"Travel"` // mean way of a message
	TravelMost     Time      `json:"TravelMost"`
	LinesPerS      float64   `json:"LinesPerS"`
	MessageHead    float64   `json:"MessageHead"`  // lines that each message costs beside its own
	BacklogMost    float64   `json:"BacklogMost"`  // lines
	MessagesMost   int       `json:"MessagesMost"` // to one proxy within MessagesOver; 0: no limit
	MessagesOver   Time      `json:"MessagesOver"`
	BareMost       Time      `json:"BareMost"` // a proxy may lack a line for a class so long
	ConnectTimeout Time      `json:"ConnectTimeout"`

	ColdFrom      float64 `json:"ColdFrom"`
	ColdFor       Time    `json:"ColdFor"`
	FallFactor    float64 `json:"FallFactor"`
	FallFor       Time    `json:"FallFor"`
	DrainGrace    Time    `json:"DrainGrace"`
	AskWithin     Time    `json:"AskWithin"`   // on request: without asking for so long we count as told
	GoneDoesNot   bool    `json:"GoneDoesNot"` // only an entry that says draining binds, not one that is gone
	WorstClassPay float64 `json:"WorstClassPay"`
	WholePay      float64 `json:"WholePay"`
}

// Belief is what a governor makes of a server at the moment, for those who watch it.
type Belief struct {
	Server    ServerID
	State     ServerState
	Cold      bool
	Withdrawn bool
	Tries     float64 // heard of in the long look
	Failed    float64 // of those
	Busy      float64 // share of its time, negative: not told
	Latency   Time
	Capacity  float64   // visits a second at a busy share of 1
	Rate      float64   // visits a second that it is sent by our tables
	Held      float64   // part of its weight that health leaves it
	Shares    []float64 // of each table that proxies are on, as ordered
}

// ServerState is what the list says of a server.
type ServerState uint8

// The states of a list entry.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// ListScope is what a list event holds.
type ListScope uint8

// The scopes of a list event.
const (
	ListFull   ListScope = iota // the complete list
	ListDelta                   // changed entries
	ListFailed                  // a call failed or the watch broke; no entries
	ListCached                  // the complete list as last held, maybe stale
)

// Entry is one server in a list.
type Entry struct {
	Server  ServerID    `json:"Server"`
	State   ServerState `json:"State"`
	Cell    CellID      `json:"Cell"`
	Started Time        `json:"Started"` // its latest start; 0: long ago
	Zone    ZoneID      `json:"Zone"`
	Kind    KindID      `json:"Kind"`
	Weight  float64     `json:"Weight"`
}

// Outcome is how a probe ended.
type Outcome uint8

// The outcomes of a probe.
const (
	Answered Outcome = iota
	Failed
	TurnedAway
	NoAnswer
	Unreachable
	Broken
	OtherOutcome
)

// Event is something that a governor hears.
type Event interface{ event() }

// The events, in the order of the wire's page.
type (
	// List tells of servers. Entries belong to the host and must not be changed.
	List struct {
		Scope   ListScope `json:"Scope"`
		Rev     ListRev   `json:"Rev"`
		Entries []Entry   `json:"Entries"`
	}
	// Alarm is a timer come due.
	Alarm struct {
		ID AlarmID `json:"ID"`
	}
	// Probed is the result of a probe.
	Probed struct {
		Server  ServerID  `json:"Server"`
		Outcome Outcome   `json:"Outcome"`
		Took    Time      `json:"Took"`
		Load    []float32 `json:"Load"`
	}
	// Message comes from another governor.
	Message struct {
		From GovernorID `json:"From"`
		Data []byte     `json:"Data"`
	}
	// Joined tells of a proxy's new stream. Fresh: it holds standing tables only.
	Joined struct {
		Proxy  ProxyID `json:"Proxy"`
		Zone   ZoneID  `json:"Zone"`
		Weight float64 `json:"Weight"` // visits a second that it usually gets
		Fresh  bool    `json:"Fresh"`
	}
	// Left tells of a broken stream.
	Left struct {
		Proxy ProxyID `json:"Proxy"`
	}
	// Heard sums up what the proxies of a zone met at a server.
	Heard struct {
		Server  ServerID  `json:"Server"`
		Failed  uint32    `json:"Failed"`
		Tries   uint32    `json:"Tries"`
		Latency Time      `json:"Latency"` // mean of the good ones
		Span    Time      `json:"Span"`
		Zone    ZoneID    `json:"Zone"`
		Load    []float32 `json:"Load"`
	}
	// Usage sums up the visits of a class that came to a proxy.
	Usage struct {
		Proxy    ProxyID `json:"Proxy"`
		Class    ClassID `json:"Class"`
		Visits   uint32  `json:"Visits"`
		NoAnswer uint32  `json:"NoAnswer"`
		Span     Time    `json:"Span"`
	}
	// SliceUsage sums up the visits of a class that came for a slice.
	SliceUsage struct {
		Slice    TableID `json:"Slice"`
		Class    ClassID `json:"Class"`
		Visits   uint32  `json:"Visits"`
		NoAnswer uint32  `json:"NoAnswer"`
		Span     Time    `json:"Span"`
	}
	// Charge hands a slice to this governor or takes it back.
	Charge struct {
		Slice TableID `json:"Slice"`
		Given bool    `json:"Given"`
	}
	// StoredLine is one line of a slice just given.
	StoredLine struct {
		Slice  TableID  `json:"Slice"`
		Server ServerID `json:"Server"`
		Weight float64  `json:"Weight"`
	}
	// Applied tells that a proxy has taken in a marked message.
	Applied struct {
		Proxy ProxyID `json:"Proxy"`
		Mark  MarkID  `json:"Mark"`
		Took  Time    `json:"Took"`
	}
	// Unconfirmed tells that these orders were carried out or not, nobody knows which, and that the host doesn't
	// send them again: that may cost their lines a second time.
	Unconfirmed struct {
		Orders []Order `json:"Orders"`
	}
)

func (List) event()        {}
func (Alarm) event()       {}
func (Probed) event()      {}
func (Message) event()     {}
func (Joined) event()      {}
func (Left) event()        {}
func (Heard) event()       {}
func (Usage) event()       {}
func (SliceUsage) event()  {}
func (Charge) event()      {}
func (StoredLine) event()  {}
func (Applied) event()     {}
func (Unconfirmed) event() {}

// ClassSet is a set of classes: the sum of 2^k over their positions; 0 stands for all.
type ClassSet uint16

// Order is something that a governor wants done.
type Order interface{ order() }

// The orders, in the order of the wire's page.
type (
	// SetAlarm asks for an Alarm after a while.
	SetAlarm struct {
		After Time    `json:"After"`
		ID    AlarmID `json:"ID"`
	}
	// Probe checks a server.
	Probe struct {
		Server ServerID `json:"Server"`
	}
	// Tell sends up to 256 bytes to a peer.
	Tell struct {
		To   PeerID `json:"To"`
		Data []byte `json:"Data"`
	}
	// Log adds a line to the report.
	Log struct {
		Text string `json:"Text"`
	}
	// Watch asks the list for changes from now on, or no more.
	Watch struct {
		On bool `json:"On"`
	}
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Share sets a line of a table; weight 0 removes it.
	Share struct {
		Table  TableID  `json:"Table"`
		Server ServerID `json:"Server"`
		Weight float32  `json:"Weight"`
	}
	// Clear empties a table.
	Clear struct {
		Table TableID `json:"Table"`
	}
	// Withdraw shuts a server out of all tables that joined proxies hold, or lets it in again.
	Withdraw struct {
		Server ServerID `json:"Server"`
		Out    bool     `json:"Out"`
	}
	// Bind puts a proxy on a table for some classes.
	Bind struct {
		Proxy   ProxyID  `json:"Proxy"`
		Table   TableID  `json:"Table"`
		Classes ClassSet `json:"Classes"`
	}
	// Level sets how much of some classes is let in and when proxies try again.
	Level struct {
		Table   TableID  `json:"Table"`
		Classes ClassSet `json:"Classes"`
		Amount  float32  `json:"Amount"`
		Retry   Retry    `json:"Retry"`
	}
	// Mark asks for an Applied. All: also from proxies that this reply doesn't reach.
	Mark struct {
		ID  MarkID `json:"ID"`
		All bool   `json:"All"`
	}
)

func (SetAlarm) order() {}
func (Probe) order()    {}
func (Tell) order()     {}
func (Log) order()      {}
func (Watch) order()    {}
func (Fetch) order()    {}
func (Share) order()    {}
func (Clear) order()    {}
func (Withdraw) order() {}
func (Bind) order()     {}
func (Level) order()    {}
func (Mark) order()     {}

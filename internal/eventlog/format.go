// Package eventlog records the events that a balancer received and the orders that it returned, as JSON lines with one
// step each. A replay of the log must return orders that are byte for byte the same. The first line is a Header with
// the parameters of the balancer. Operators read the same lines after an incident.
package eventlog

import (
	"encoding/json"
	"fmt"

	"cressknot/internal/fleet"
)

// Format is the version of the log format. Readers reject logs of any other version.
const Format = 1

// maxLineBytes is the maximum length of a line. An endpoint list of 100,000 servers takes some 15 MB.
const maxLineBytes = 256 << 20

// bufferBytes is the size of the write buffer and the initial size of the read buffer.
const bufferBytes = 1 << 16

// Header is the first line of a log: the parameters of the balancer.
type Header struct {
	Format     int        `json:"Format"`
	Controller string     `json:"Governor"`
	Site       fleet.Site `json:"Site"`
	Seed       uint64     `json:"Seed"`
}

// Step is a line after the header: the events of one balancer step and the orders that it returned. Names has the names
// of the servers that became known since the previous step.
type Step struct {
	Now    fleet.Time                `json:"Now"`
	Names  map[fleet.ServerID]string `json:"Names,omitempty"`
	Events []Item                    `json:"Events,omitempty"`
	Orders []Item                    `json:"Orders,omitempty"`
}

// Item is an event or an order with its kind. Kinds never change, because logs are read by later program versions.
type Item struct {
	Kind  string          `json:"Is"`
	Value json.RawMessage `json:"V"`
}

// UnknownKindError reports an event or an order of a Go type that has no kind in the log format.
type UnknownKindError struct{ Value any }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("event log: cannot encode a value of type %T: it has no record kind", e.Value)
}

// Kinds of events.
const (
	kindEndpointList      = "List"
	kindTimerFired        = "Alarm"
	kindProbeResult       = "Probed"
	kindPeerMessage       = "Message"
	kindProxyJoined       = "Joined"
	kindProxyLeft         = "Left"
	kindOutcomeReport     = "Heard"
	kindDemandReport      = "Usage"
	kindSliceDemandReport = "SliceUsage"
	kindSliceAssigned     = "Charge"
	kindStoredEntry       = "StoredLine"
	kindBarrierReached    = "Applied"
	kindOrdersUnconfirmed = "Unconfirmed"
)

// Kinds of orders.
const (
	kindSetTimer       = "SetAlarm"
	kindProbeServer    = "Probe"
	kindSendToPeer     = "Tell"
	kindLogMessage     = "Log"
	kindWatchEndpoints = "Watch"
	kindFetchEndpoints = "Fetch"
	kindSetWeight      = "Share"
	kindClearTable     = "Clear"
	kindWithdrawServer = "Withdraw"
	kindAssignTable    = "Bind"
	kindSetAdmission   = "Level"
	kindBarrier        = "Mark"
)

// eventDecoders has a decoder for each kind of event that can be read from a log.
var eventDecoders = map[string]func([]byte) (fleet.Event, error){
	kindEndpointList:      decodeEvent[fleet.EndpointList],
	kindTimerFired:        decodeEvent[fleet.TimerFired],
	kindProbeResult:       decodeEvent[fleet.ProbeResult],
	kindPeerMessage:       decodeEvent[fleet.PeerMessage],
	kindProxyJoined:       decodeEvent[fleet.ProxyJoined],
	kindProxyLeft:         decodeEvent[fleet.ProxyLeft],
	kindOutcomeReport:     decodeEvent[fleet.OutcomeReport],
	kindDemandReport:      decodeEvent[fleet.DemandReport],
	kindSliceDemandReport: decodeEvent[fleet.SliceDemandReport],
	kindSliceAssigned:     decodeEvent[fleet.SliceAssigned],
	kindStoredEntry:       decodeEvent[fleet.StoredEntry],
	kindBarrierReached:    decodeEvent[fleet.BarrierReached],
}

func decodeEvent[E fleet.Event](text []byte) (fleet.Event, error) {
	var event E
	err := json.Unmarshal(text, &event)
	return event, err
}

// eventKind returns the kind of an event, "" if its type has none.
func eventKind(event fleet.Event) string {
	switch event.(type) {
	case fleet.EndpointList:
		return kindEndpointList
	case fleet.TimerFired:
		return kindTimerFired
	case fleet.ProbeResult:
		return kindProbeResult
	case fleet.PeerMessage:
		return kindPeerMessage
	case fleet.ProxyJoined:
		return kindProxyJoined
	case fleet.ProxyLeft:
		return kindProxyLeft
	case fleet.OutcomeReport:
		return kindOutcomeReport
	case fleet.DemandReport:
		return kindDemandReport
	case fleet.SliceDemandReport:
		return kindSliceDemandReport
	case fleet.SliceAssigned:
		return kindSliceAssigned
	case fleet.StoredEntry:
		return kindStoredEntry
	case fleet.BarrierReached:
		return kindBarrierReached
	case fleet.OrdersUnconfirmed:
		return kindOrdersUnconfirmed
	}
	return ""
}

// orderKind returns the kind of an order, "" if its type has none.
func orderKind(order fleet.Order) string {
	switch order.(type) {
	case fleet.SetTimer:
		return kindSetTimer
	case fleet.ProbeServer:
		return kindProbeServer
	case fleet.SendToPeer:
		return kindSendToPeer
	case fleet.LogMessage:
		return kindLogMessage
	case fleet.WatchEndpoints:
		return kindWatchEndpoints
	case fleet.FetchEndpoints:
		return kindFetchEndpoints
	case fleet.SetWeight:
		return kindSetWeight
	case fleet.ClearTable:
		return kindClearTable
	case fleet.WithdrawServer:
		return kindWithdrawServer
	case fleet.AssignTable:
		return kindAssignTable
	case fleet.SetAdmission:
		return kindSetAdmission
	case fleet.Barrier:
		return kindBarrier
	}
	return ""
}

func eventItem(event fleet.Event) (Item, error) { return newItem(eventKind(event), event) }

func orderItem(order fleet.Order) (Item, error) { return newItem(orderKind(order), order) }

func newItem(kind string, value any) (Item, error) {
	if kind == "" {
		return Item{}, &UnknownKindError{Value: value}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return Item{}, fmt.Errorf("event log: encode %T: %w", value, err)
	}
	return Item{Kind: kind, Value: text}, nil
}

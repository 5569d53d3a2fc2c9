// Package reconcile compares the desired state of each proxy with the state that was sent to it, and sends the
// differences through one rate-limited queue, the update channel.
//
// Apply takes the balancer's orders. Join, Leave, RecordAcknowledgement, RecordProgress and ObserveEntries take the
// transports' reports. NextMessages returns the messages to send.
//
// The package uses no sockets, clocks or goroutines: the same calls yield the same messages. See
// docs/design/controller.md for the alternatives considered.
package reconcile

import (
	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// itemKey identifies a unit of pending work: the entries of a server in all classes (class is 0), or the admission
// limit of a class (server is noServer).
type itemKey struct {
	server int32 // index of the server
	class  fleet.ClassID
}

// noServer is the server index of items that concern a class.
const noServer int32 = -1

// Reconciler holds the desired and the sent state of all proxies of one controller. It is not safe for concurrent
// use.
type Reconciler struct {
	site             fleet.Site
	endpoints        endpointSet
	tables           map[fleet.TableID]*tableState
	defaultAdmission []admissionOrder // by class, for all tables
	proxies          map[fleet.ProxyID]*proxyState
	proxyOrder       []*proxyState // by ID, so that the output is reproducible
	channel          updateChannel
	versions         versionState
	manualWeights    map[manualKey]manualWeight
	refusals         map[refusalKey]*Refusal
	safety           SafetyCheck // nil: all changes pass
	plan             UpdatePlan  // of the message being written; reused to avoid allocations
	sweptAt          fleet.Time
	counters         counters

	// Output for the next call of NextMessages or Notices.
	events      []fleet.Event
	disconnects []fleet.ProxyID
	notices     []Notice
}

// versionState is the state that table versions are created with.
type versionState struct {
	epoch         uint64
	serverName    tableversion.NameFunc  // nil: tables have no versions
	changedTables map[fleet.TableID]bool // by the orders of the current step
	entries       []tableversion.Entry   // reused to avoid allocations
}

// counters are totals since the start.
type counters struct {
	entries, messages, changes uint64 // sent
	coalesced                  uint64 // changes that were merged into a pending one of the same item
}

// tableState is the desired state of one table.
type tableState struct {
	weights    []float64        // by server index
	scale      float64          // runtime API weight for a table weight of 1; 0: not chosen yet
	admissions []admissionOrder // by class
	versions   *tableversion.Table
	pin        *tablePin // nil: the table follows the orders of the balancer
}

// admissionOrder is the latest SetAdmission order for a class. It is without effect unless set.
type admissionOrder struct {
	set   bool
	limit float64
	retry fleet.RetryMode
}

// proxyState is the state of a proxy with a session. Slices "by entry" are indexed as by Reconciler.entryIndex.
type proxyState struct {
	id       fleet.ProxyID
	zone     fleet.ZoneID
	fresh    bool
	tables   []fleet.TableID // by class
	assigned []bool          // by class: whether a table was assigned

	// State of the proxy.
	sent             []EntryState // by entry, after all messages in flight are applied
	initial          []EntryState // by entry, at the join; desired in classes without an assigned table
	admissions       []Admission  // by class
	versionStamps    []string     // by class: the version last sent
	entryCounts      []int        // by class: usable entries of ready servers in sent
	weightSums       []int        // by class: sum of their weights
	lastObserved     []uint32     // by entry: the latest observationRound that reported it
	observationRound uint32

	// Pending items.
	dirty         map[itemKey]bool // true: urgent
	urgentItems   []itemKey        // in the order of their changes; may contain items that are no longer dirty
	ordinaryItems []itemKey
	entryBudget   int  // ordinary items that may be sent, as released by the update channel
	deferred      bool // items are pending that the full update channel did not accept

	// Messages.
	released         []*queuedMessage // released by the update channel, waiting for the in-flight window
	inFlight         []*queuedMessage // sent and not acknowledged, oldest first
	newest           *queuedMessage   // the latest one that was queued
	queuedCount      int              // messages in the update channel
	writtenAt        []fleet.Time     // times of the messages within Site.MessageWindow
	written          int
	progressAt       fleet.Time // latest progress, or when the oldest message in flight was sent
	acknowledgeDelay fleet.Time // of the last acknowledged message

	// Failed and refused items.
	failed         failedItems
	refused        map[itemKey]string // reasons of the safety check
	refusedRetryAt fleet.Time         // when refused items are proposed again; 0: none
}

// Notice is a message to operators. Proxy is not set if Table is.
type Notice struct {
	Proxy   fleet.ProxyID
	Text    string
	Refused *Refusal // set if it is about a refused or lowered change
	Table   bool     // it is about a table, not about a proxy
}

// New returns a reconciler without servers, tables and proxies. Without a safety check all changes pass.
func New(site fleet.Site) *Reconciler {
	return &Reconciler{
		site:             site,
		endpoints:        endpointSet{index: map[fleet.ServerID]int32{}},
		tables:           map[fleet.TableID]*tableState{},
		defaultAdmission: make([]admissionOrder, len(site.Classes)),
		proxies:          map[fleet.ProxyID]*proxyState{},
		channel:          updateChannel{pacedAt: -1},
		versions:         versionState{changedTables: map[fleet.TableID]bool{}},
		manualWeights:    map[manualKey]manualWeight{},
		refusals:         map[refusalKey]*Refusal{},
	}
}

// UseSafetyCheck submits all later messages to a safety check. Proxies that joined before are not reported to it.
func (r *Reconciler) UseSafetyCheck(check SafetyCheck) { r.safety = check }

func (r *Reconciler) classes() int { return len(r.site.Classes) }

// entryIndex returns the index of an entry in slices by entry.
func (r *Reconciler) entryIndex(server int32, class int) int { return int(server)*r.classes() + class }

// Notices returns the notices since the previous call.
func (r *Reconciler) Notices() []Notice {
	notices := r.notices
	r.notices = nil
	return notices
}

func (r *Reconciler) notify(notice Notice) { r.notices = append(r.notices, notice) }

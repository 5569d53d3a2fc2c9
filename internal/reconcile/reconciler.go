// Package reconcile tracks for each proxy the desired state, the state that was sent and what the proxy
// acknowledged, and decides which changes leave when. Orders of the balancer come in by Apply, reports of the
// transports by Join, Leave, Acknowledge and Progress; Next returns the messages that may leave.
//
// The package is pure: it has no sockets, clocks or goroutines, and the same calls yield the same messages. See
// docs/design/controller.md for the alternatives considered.
package reconcile

import (
	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// itemKey names what a change is about: the entries of a server in all classes (class is 0), or the admission limit
// of a class (server is noServer).
type itemKey struct {
	server int32 // index of the server
	class  fleet.ClassID
}

const noServer int32 = -1

// Reconciler holds the desired and the sent state of all proxies of one controller. It is not safe for concurrent
// use.
type Reconciler struct {
	site             fleet.Site
	endpoints        endpointSet
	tables           map[fleet.TableID]*tableState
	defaultAdmission []admissionOrder // by class, for all tables
	proxies          map[fleet.ProxyID]*proxyState
	proxyOrder       []*proxyState // by id, so that the output is reproducible
	channel          updateChannel
	versions         versionState
	manualWeights    map[manualKey]manualWeight
	refusals         map[refusalKey]*Refusal
	safety           SafetyCheck // nil: every change passes
	plan             UpdatePlan  // of the message being written; reused to avoid allocations
	sweptAt          fleet.Time
	counters         counters

	// Output gathered for the next call of Next or Notices.
	events      []fleet.Event
	disconnects []fleet.ProxyID
	notices     []Notice
}

// versionState are what versions of tables are made with.
type versionState struct {
	epoch         uint64
	serverName    tableversion.NameFunc  // nil: tables have no versions
	changedTables map[fleet.TableID]bool // by the orders of this step
	entries       []tableversion.Entry   // reused to avoid allocations
}

// counters count what left the update channel.
type counters struct {
	entries, messages, changes uint64
	coalesced                  uint64 // changes that were replaced by a newer one while they waited
}

// tableState is the desired state of one table.
type tableState struct {
	weights    []float64        // by server index
	scale      float64          // weight of the runtime API for a weight of 1; 0: not chosen yet
	admissions []admissionOrder // by class
	versions   *tableversion.Table
	pin        *tablePin // nil: the table follows the orders of the balancer
}

// admissionOrder is the latest SetAdmission order for a class.
type admissionOrder struct {
	set   bool
	limit float64
	retry fleet.RetryMode
}

// proxyState is the state of one joined proxy. Slices by entry are indexed by server index times the number of
// classes, plus the class.
type proxyState struct {
	id       fleet.ProxyID
	zone     fleet.ZoneID
	fresh    bool
	tables   []fleet.TableID // by class
	assigned []bool          // by class: whether a table was assigned

	// What the proxy has.
	sent             []EntryState // by entry, once all that is in flight is applied
	initial          []EntryState // by entry, as at the join, for classes without an assigned table
	admissions       []Admission  // by class
	versionStamps    []string     // by class: the version that it was sent
	entryCounts      []int        // by class: usable entries of ready servers in sent
	weightSums       []int        // by class: the weights of those
	lastObserved     []uint32     // by entry: the observation that showed it last
	observationRound uint32

	// What has to be sent.
	dirty         map[itemKey]bool // true: urgent
	urgentItems   []itemKey        // dirty items in the order of their changes
	ordinaryItems []itemKey
	entryBudget   int  // entries whose turn in the update channel has come
	deferred      bool // its items wait outside of the full update channel

	// Messages.
	released         []*queuedMessage // left the update channel, wait for the in-flight window
	inFlight         []*queuedMessage // not acknowledged, oldest first
	newest           *queuedMessage   // the latest that was put into the update channel
	queuedCount      int              // messages in the update channel
	writtenAt        []fleet.Time     // messages within Site.MessageWindow
	written          int
	progressAt       fleet.Time // last sign of progress, or when the oldest message in flight left
	acknowledgeDelay fleet.Time // of the last acknowledged message

	// What failed or was refused.
	failed         []itemKey
	retryAt        fleet.Time // of failed items; 0: none
	backoff        fleet.Time
	refused        map[itemKey]string // refused by the safety check, with the reason
	refusedRetryAt fleet.Time         // when refused items are proposed again; 0: none
}

// Notice is an event that operators should be notified of.
type Notice struct {
	Proxy   fleet.ProxyID
	Text    string
	Refused *Refusal // set if the notice is about a refused change
	Table   bool     // the notice is about a table, not about a proxy
}

// New returns a reconciler without servers, tables and proxies.
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

// UseSafetyCheck submits each message from here on to a safety check.
func (r *Reconciler) UseSafetyCheck(check SafetyCheck) { r.safety = check }

func (r *Reconciler) classes() int { return len(r.site.Classes) }

// entryIndex returns the position of an entry in slices by entry.
func (r *Reconciler) entryIndex(server int32, class int) int { return int(server)*r.classes() + class }

// Notices returns the notices since the last call.
func (r *Reconciler) Notices() []Notice {
	notices := r.notices
	r.notices = nil
	return notices
}

func (r *Reconciler) notify(notice Notice) { r.notices = append(r.notices, notice) }

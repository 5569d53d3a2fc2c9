package reconcile

import "cressknot/internal/fleet"

// ChangeKind is the operation of a change.
type ChangeKind uint8

// The operations.
const (
	UpdateEntry     ChangeKind = iota // sets the weight, the state or both of an existing entry
	AddEntry                          // adds an entry that the proxy does not have
	DeleteEntry                       // deletes the entry of a gone server
	UpdateAdmission                   // sets the admission limit of a class
	UpdateVersion                     // sets the version of a class's table; last in a message
)

// Change is one update of a proxy. Its values are absolute, so applying it twice has no further effect. Which fields
// are set depends on Kind.
type Change struct {
	Kind           ChangeKind
	Class          fleet.ClassID
	Server         fleet.ServerID
	Weight         int16 // negative: unchanged
	State          State
	AddressChanged bool   // the server's address has to be set too
	VersionStamp   string // version and digest, separated by a slash; of UpdateVersion
	Admission      Admission
}

// Message is a batch of changes for one proxy. Entries is its cost in the update channel, in table entries without
// overhead. The transport passes Sequence back to RecordAcknowledgement.
type Message struct {
	Proxy    fleet.ProxyID
	Sequence uint64
	Entries  int
	Changes  []Change
}

// FailureKind is the reason why a change was not applied.
type FailureKind uint8

// The kinds of failures that transports distinguish.
const (
	FailureOther        FailureKind = iota // any other error, or an answer that could not be parsed
	FailureEntryMissing                    // the entry to be updated or deleted does not exist
	FailureEntryExists                     // the entry to be added already exists
	FailureEntryInUse                      // the entry to be deleted has requests in flight
)

// Failure describes a change of a message that was not applied. Text is the proxy's answer or the error.
type Failure struct {
	Index int // of the change in the message
	Kind  FailureKind
	Text  string
}

// queuedMessage is a message from its insertion into the update channel until its acknowledgement. Its changes are
// computed when it is written.
type queuedMessage struct {
	proxy    *proxyState
	sequence uint64 // 0: not in the update channel
	entries  int
	queuedAt fleet.Time
	sentAt   fleet.Time // when it left the update channel; 0: still queued

	barrier      fleet.BarrierID
	barrierAfter uint64     // the barrier requires that all messages with a lower sequence are settled
	barrierDelay fleet.Time // from queueing to acknowledgement

	hasBarrier     bool
	barrierPending bool // acknowledged, but its barrier is not reported yet
	acknowledged   bool
	discarded      bool // the session of its proxy has ended

	changes []Change
	items   []itemKey // the item of each change
}

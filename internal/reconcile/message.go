package reconcile

import "cressknot/internal/fleet"

// ChangeKind says what a change is about.
type ChangeKind uint8

// The kinds of changes.
const (
	UpdateEntry     ChangeKind = iota // sets weight, state or both of a present entry
	AddEntry                          // adds an entry that the proxy does not have
	DeleteEntry                       // deletes the entry of a server that is gone
	UpdateAdmission                   // sets the admission limit of a class
	UpdateVersion                     // sets the version of a class's table; last in a message
)

// Change is one update of a proxy, in absolute values, so that a repeat changes nothing.
type Change struct {
	Kind           ChangeKind
	Class          fleet.ClassID
	Server         fleet.ServerID
	Weight         int16 // negative: unchanged
	State          State
	AddressChanged bool   // the address of the server has to be set as well
	VersionStamp   string // version and digest
	Admission      Admission
}

// Message holds the changes that leave for one proxy together. Entries is their cost in the update channel.
type Message struct {
	Proxy    fleet.ProxyID
	Sequence uint64
	Entries  int
	Changes  []Change
}

// FailureKind says why a change was not applied.
type FailureKind uint8

// The failures that a transport distinguishes.
const (
	FailureOther        FailureKind = iota // any other error, or an answer that could not be understood
	FailureEntryMissing                    // the entry to be set or deleted does not exist
	FailureEntryExists                     // the entry to be added exists
	FailureEntryInUse                      // the entry to be deleted has requests
)

// Failure reports a change of a message that was not applied.
type Failure struct {
	Index int // of the change in the message
	Kind  FailureKind
	Text  string
}

// queuedMessage is a message from the time it is put into the update channel until it is acknowledged. Its changes
// are worked out when it is written.
type queuedMessage struct {
	proxy    *proxyState
	sequence uint64 // 0: not in the channel
	entries  int
	queuedAt fleet.Time
	sentAt   fleet.Time // when it left the channel; 0: it waits there

	barrier      fleet.BarrierID
	barrierAfter uint64     // the barrier is reached once all messages with a lower sequence are settled
	barrierDelay fleet.Time // from the order to the acknowledgement

	hasBarrier     bool
	barrierPending bool // acknowledged, but its barrier is not reached yet
	acknowledged   bool
	discarded      bool // its proxy left

	changes []Change
	items   []itemKey // what each change is about
}

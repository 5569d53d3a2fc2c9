package reconcile

import "cressknot/internal/fleet"

// State is the administrative state of an entry, which decides together with its weight whether it gets requests.
type State uint8

// The states of an entry. StateUnchanged occurs in changes only.
const (
	StateUnchanged   State = iota
	StateReady             // gets requests by weight
	StateDrain             // finishes the requests it has
	StateMaintenance       // gets no requests
)

// EntryState is what a proxy has for one server in one class. Weight is 0 to 256.
type EntryState struct {
	Present      bool
	Unknown      bool // an error left open what the proxy has
	WrongAddress bool // the entry points to another address than the endpoint list has
	Weight       int16
	State        State
}

// Usable reports whether the proxy sends requests by this entry.
func (e EntryState) Usable() bool {
	return e.Present && !e.Unknown && e.State == StateReady && e.Weight > 0
}

// usableWeight returns the weight that the entry adds to the sum of its class.
func (e EntryState) usableWeight() int {
	if e.Usable() {
		return int(e.Weight)
	}
	return 0
}

// Admission is what a proxy has as the admission limit of a class.
type Admission struct {
	Known bool
	Limit int32 // thousandths of the requests, or of requests per second; negative: unlimited
	Retry fleet.RetryMode
}

// Snapshot is what a proxy has when its session begins, as read back from it.
type Snapshot struct {
	Zone          fleet.ZoneID
	RequestRate   float64 // requests per second that it usually receives
	Fresh         bool    // it has its standing tables only
	Entries       []SnapshotEntry
	Admissions    []Admission // by class; may be shorter than the classes
	VersionStamps []string    // by class: the version that it was sent last; may be shorter than the classes
}

// SnapshotEntry is one entry of a snapshot.
type SnapshotEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	State  EntryState
}

package reconcile

import "cressknot/internal/fleet"

// State is the administrative state of an entry. Together with the weight it determines whether the entry receives
// requests.
type State uint8

// The states of an entry. StateUnchanged is valid only in a Change.
const (
	StateUnchanged   State = iota
	StateReady             // receives requests in proportion to its weight
	StateDrain             // receives no new requests; those in flight continue
	StateMaintenance       // receives no requests
)

// EntryState is the state of one server's entry in one class at a proxy. Weight is 0 to 256. The zero value is a
// missing entry.
type EntryState struct {
	Present      bool
	Unknown      bool // the state is unknown after an error
	WrongAddress bool // the address differs from that in the endpoint list
	Weight       int16
	State        State
}

// Usable reports whether the proxy sends requests to the server of this entry.
func (e EntryState) Usable() bool {
	return e.Present && !e.Unknown && e.State == StateReady && e.Weight > 0
}

// usableWeight returns the entry's contribution to the weight sum of its class.
func (e EntryState) usableWeight() int {
	if e.Usable() {
		return int(e.Weight)
	}
	return 0
}

// Admission is the admission limit of a class at a proxy.
type Admission struct {
	Known bool  // false: the limit at the proxy is unknown, or none was ordered
	Limit int32 // thousandths of all requests, or of a request per second; negative: unlimited
	Retry fleet.RetryMode
}

// Snapshot is the state of a proxy at the start of its session, as read back from it.
type Snapshot struct {
	Zone          fleet.ZoneID
	RequestRate   float64 // usual requests per second
	Fresh         bool    // it has only its standing tables
	Entries       []SnapshotEntry
	Admissions    []Admission // by class; may be shorter than Site.Classes
	VersionStamps []string    // by class: the version last sent to it; may be shorter than Site.Classes
}

// SnapshotEntry is one entry of a snapshot.
type SnapshotEntry struct {
	Class  fleet.ClassID
	Server fleet.ServerID
	State  EntryState
}

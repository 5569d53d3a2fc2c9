package service

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// Major and Minor are the version of both protocols. A minor version only adds fields, rows and keys, which older
// readers skip. Programs of different major versions cannot talk to each other.
const (
	Major = 1
	Minor = 0
)

// Endpoint is a weight table entry: a server that requests of a class may be sent to.
type Endpoint struct {
	Server, Addr string
	Weight       int // 1 to 256; in a change 0 removes the entry
}

// ClassTable is the weight table of a class. If it is not published the controller has no table yet, and a client
// continues with the table that it has, restricted to Update.OpenServers.
type ClassTable struct {
	Class          string
	Published      bool
	AdmissionLimit int // thousandths of the requests to admit; negative: all
	Retry          fleet.RetryMode
	Digest         tableversion.Digest // of the complete table, also in a change
	Endpoints      []Endpoint          // sorted by server; in a change only entries that differ
}

// Update contains the complete tables of a zone, their changes between two versions, or a heartbeat.
type Update struct {
	Minor           uint32 // minor protocol version of the sender
	Controller      string
	ListRevision    uint64 // of the endpoint list that the tables were computed from
	Live            bool   // that list was received from its source since the start of the controller
	Zone            string
	From            tableversion.Version // NoVersion: the update is complete
	To              tableversion.Version
	Classes         []ClassTable
	RestrictsToOpen bool     // OpenServers is set
	OpenServers     []string // names of servers that clients may continue to use for unpublished classes
	Heartbeat       bool     // nothing has changed
}

// Hello is the first message of a caller, and the answer of the controller to it. Callers set only the version and
// their name.
type Hello struct {
	Major, Minor uint32
	Name         string
	Epoch        uint64 // of the controller's table versions
	Zones        []string
	Classes      []fleet.RequestClass
}

// ServerOutcome sums up the outcomes of a caller's attempts at one server since its last report.
type ServerOutcome struct {
	Server        string
	Attempts      uint64
	Failures      uint64   // attempts without a successful response
	Successes     uint64   // successful responses that SuccessMillis sums up
	SuccessMillis uint64   // sum of their latencies, in ms
	Load          []uint32 // latest load report in thousandths, in the order of the controller's settings; may be empty
}

// ClassDemand counts a caller's requests of one class since its last report.
type ClassDemand struct {
	Class                string
	Requests, Unanswered uint64
}

// Report is a batch of outcomes. A batch that is sent again keeps its sequence number and counts once.
type Report struct {
	Zone     string
	Session  uint64 // random number that the caller draws at its start
	Sequence uint64 // of the batch in the session, from 1
	Outcomes []ServerOutcome
	Demands  []ClassDemand
}

// ServerState describes a server as one controller sees it.
type ServerState struct {
	Minor                   uint32
	Name, Addr, Zone, State string
	SlowStartRemaining      fleet.Time // 0: not in slow start
	Withdrawn               bool       // an order withdraws the server from all proxies
	Verdict                 string     // health verdict of the controller on the server
	Weights                 []ClassWeight
	Reasons                 []string // latest log entries about the server, oldest first
}

// ClassWeight is the weight of a server for a class in a zone.
type ClassWeight struct {
	Zone, Class string
	Weight      int
}

// VersionRow describes one version of a weight table.
type VersionRow struct {
	Version   tableversion.Version
	Digest    tableversion.Digest
	CreatedAt fleet.Time
	Entries   int    // number of entries that it changed
	Reason    string // empty for changes by the balancer
}

// History lists versions of a weight table, oldest first.
type History struct {
	Minor    uint32
	Versions []VersionRow
}

// Summary counts the servers and proxies of the fleet as one controller sees it.
type Summary struct {
	Minor                                uint32
	Controller, Program                  string
	Epoch, ListRevision                  uint64
	ListAge                              fleet.Time
	Live                                 bool // the list was received from its source since the start of the controller
	Servers, Ready, WarmingUp, Withdrawn int
	ProxiesUp, ProxiesAll, Watchers      int
}

// QueryHandler answers queries from the state of the controller's loop. An *Error is returned to the caller as it is;
// any other error becomes code Busy.
type QueryHandler interface {
	Server(ctx context.Context, name string) (ServerState, error)
	// History returns up to maxVersions of the latest versions, oldest first.
	History(ctx context.Context, zone, class string, maxVersions int) ([]VersionRow, error)
	Summary(ctx context.Context) (Summary, error)
}

// PublishedState is the state of the endpoint list that clients receive along with the tables.
type PublishedState struct {
	ListRevision uint64
	Live         bool     // the list was received from its source since the start of the controller
	OpenServers  []string // names of the servers that are listed as ready and not withdrawn; nil: no list yet
}

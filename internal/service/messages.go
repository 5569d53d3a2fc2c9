package service

import (
	"context"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// Major and Minor are the version of the protocols that this program speaks. Minor steps add what older readers skip.
const (
	Major = 1
	Minor = 0
)

// Endpoint is a server that a class may use, with its weight: 1 to 256; in a change 0 removes it.
type Endpoint struct {
	Server, Addr string
	Weight       int
}

// ClassTable is the table of a class. Where it is not published the controller has none yet, and a caller goes on to
// use the table that it has, restricted to Update.OpenServers.
type ClassTable struct {
	Class          string
	Published      bool
	AdmissionLimit int // thousandths of the requests to admit; negative: all
	Retry          fleet.RetryMode
	Digest         tableversion.Digest // of the complete table
	Endpoints      []Endpoint          // by server; in a change those that differ
}

// Update is the complete state of a zone, a change of it, or a heartbeat.
type Update struct {
	Minor           uint32 // of the protocol that it was written for
	Controller      string
	ListRevision    uint64 // of the endpoint list that it was decided by
	Live            bool   // that list came from its source since the controller started
	Zone            string
	From            tableversion.Version // NoVersion: the complete state
	To              tableversion.Version
	Classes         []ClassTable
	RestrictsToOpen bool     // OpenServers applies
	OpenServers     []string // servers that a caller may go on to use where a class is not published, by name
	Heartbeat       bool
}

// Hello introduces a caller or a controller.
type Hello struct {
	Major, Minor uint32
	Name         string
	Epoch        uint64
	Zones        []string
	Classes      []fleet.RequestClass
}

// ServerOutcome sums the outcomes of a caller's attempts at a server since its last report.
type ServerOutcome struct {
	Server        string
	Attempts      uint64
	Failures      uint64
	Successes     uint64
	SuccessMillis uint64
	Load          []uint32 // newest load values in thousandths, in the order of the controller's settings; may be empty
}

// ClassDemand counts the requests of a class at a caller since its last report.
type ClassDemand struct {
	Class                string
	Requests, Unanswered uint64
}

// Report is a batch of outcomes. A batch that is sent again has the same number and counts once.
type Report struct {
	Zone     string
	Session  uint64 // of the caller, drawn at its start
	Sequence uint64 // from 1
	Outcomes []ServerOutcome
	Demands  []ClassDemand
}

// ServerState is what is known of a server and why.
type ServerState struct {
	Minor                   uint32
	Name, Addr, Zone, State string
	SlowStartRemaining      fleet.Time // how long its slow start lasts
	Withdrawn               bool
	Verdict                 string
	Weights                 []ClassWeight
	Reasons                 []string
}

// ClassWeight is the weight of a server for a class in a zone.
type ClassWeight struct {
	Zone, Class string
	Weight      int
}

// VersionRow is one version of a table.
type VersionRow struct {
	Version   tableversion.Version
	Digest    tableversion.Digest
	CreatedAt fleet.Time
	Entries   int // that it changed
	Reason    string
}

// History is some versions of a table, oldest first.
type History struct {
	Minor    uint32
	Versions []VersionRow
}

// Summary is the state of the fleet as one controller sees it.
type Summary struct {
	Minor                                uint32
	Controller, Program                  string
	Epoch, ListRevision                  uint64
	ListAge                              fleet.Time
	Live                                 bool // the list came from its source since the controller started
	Servers, Ready, WarmingUp, Withdrawn int
	ProxiesUp, ProxiesAll, Watchers      int
}

// QueryHandler answers queries from the state of the controller's loop.
type QueryHandler interface {
	Server(ctx context.Context, name string) (ServerState, error)
	History(ctx context.Context, zone, class string, maxVersions int) ([]VersionRow, error)
	Summary(ctx context.Context) (Summary, error)
}

// PublishedState is what callers get beside tables, when it changes.
type PublishedState struct {
	ListRevision uint64
	Live         bool     // the list came from its source since the controller started
	OpenServers  []string // servers listed as ready that are not withdrawn, by name
}

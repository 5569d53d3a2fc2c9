// Package service answers the questions of programs that send visits themselves: which servers a class may use from a zone and with what
// weights, whole and as changes; what became of visits; what is known of a server; what tables were; how the fleet stands. It knows no
// wire: package rpc and package text put the same answers on two. Clients of a zone are to the governor one proxy, so that
// what reaches them has gone the way of every table: decided by the module, judged by the guard, paced with all else.
// docs/design/service.md tells the ways weighed.
package service

import (
	"context"
	"fmt"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// Major and Minor are the version of the protocols that this program speaks. Minor steps add what older readers leave out without harm.
const (
	Major = 1
	Minor = 0
)

// Code is what kind of fault an answer is. Codes are the same in both protocols and never change.
type Code string

// The codes.
const (
	Unready     Code = "unready"     // nothing to tell yet: the governor has just started
	NoZone      Code = "no-zone"     // the zone is none of the governor's
	NoClass     Code = "no-class"    // the class is none
	NoServer    Code = "no-server"   // the server was never heard of
	BadRequest  Code = "bad-request" // the question makes no sense; the text names the place
	TooLarge    Code = "too-large"   // over a bound, which the text names
	Overloaded  Code = "overloaded"  // asked too much, by this caller or by all: to be asked again after RetryAfter
	Busy        Code = "busy"        // no answer in time
	OtherMajor  Code = "other-major" // the caller speaks a version that this governor doesn't
	Closing     Code = "closing"     // the governor stops: another one is to be asked
	TooSlow     Code = "too-slow"    // a watcher that took nothing in for long
	Unreachable Code = "unreachable" // no governor answers; only client libraries say so
	Malformed   Code = "malformed"   // an answer that can't be read; only client libraries say so
)

// Error is an answer that is none.
type Error struct {
	Code       Code
	Text       string
	RetryAfter fleet.Time
}

// Fault is the former name of Error, for package controller.
type Fault = Error //nolint:errname // goes when package controller uses Error

func (f *Error) Error() string { return string(f.Code) + ": " + f.Text }

func fault(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Endpoint is a server that a class may use, with its weight: 1 to 256; in a change 0 takes it out.
type Endpoint struct {
	Server, Addr string
	Weight       int
}

// ClassTable is what a class's visits go by. Where it is not laid the governor has none yet, and what a caller holds stands, less
// what is not open.
type ClassTable struct {
	Class          string
	Published      bool
	AdmissionLimit int // thousandths of the visits to let in; negative: all
	Retry          fleet.RetryMode
	Digest         tableversion.Digest // of the whole
	Endpoints      []Endpoint          // by server; in a change those that differ
}

// Update is the whole of a zone, what has changed of it, or a sign of life.
type Update struct {
	Minor        uint32 // of the protocol that it was written for
	Controller   string
	ListRevision uint64 // of the list that it was decided by
	Live         bool   // that list came from its source since the governor started
	Zone         string
	From         tableversion.Version // None: the whole
	To           tableversion.Version
	Classes      []ClassTable
	Shut         bool     // Open is told
	Open         []string // servers that a caller may go on using where a class is not laid, by name
	Heartbeat    bool
}

// Hello tells who speaks.
type Hello struct {
	Major, Minor uint32
	Name         string
	Epoch        uint64
	Zones        []string
	Classes      []fleet.RequestClass
}

// ServerOutcome is what a caller met at a server since its last report.
type ServerOutcome struct {
	Server                                       string
	Attempts, Failures, Successes, SuccessMillis uint64
	Load                                         []uint32 // thousandths, in the order of the governor's settings; the newest; may be none
}

// ClassDemand is what came to a class at a caller since its last report.
type ClassDemand struct {
	Class                string
	Requests, Unanswered uint64
}

// Report is a batch of outcomes. A batch that comes again has the same number and counts once.
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
	SlowStartRemaining      fleet.Time // how long it counts as cold still
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

// Summary is how the fleet stands, as one governor has it.
type Summary struct {
	Minor                                uint32
	Controller, Program                  string
	Epoch, ListRevision                  uint64
	ListAge                              fleet.Time
	Live                                 bool
	Servers, Ready, WarmingUp, Withdrawn int
	ProxiesUp, ProxiesAll, Watchers      int
}

// QueryHandler answers what the governor's loop knows.
type QueryHandler interface {
	Server(ctx context.Context, name string) (ServerState, error)
	History(ctx context.Context, zone, class string, most int) ([]VersionRow, error)
	Summary(ctx context.Context) (Summary, error)
}

// PublishedState are what callers are told beside tables, when it changes.
type PublishedState struct {
	ListRevision uint64
	Live         bool
	Open         []string // servers listed as ready that are not withdrawn, by name
}

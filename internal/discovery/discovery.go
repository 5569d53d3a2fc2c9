// Package discovery implements the endpoint sources of a controller: a watched file, a long-polled HTTP list service
// and the discovery service of the users' platform. A source delivers complete lists, deltas and failures, and leaves
// every decision about them to the controller. The package also caches the latest list on disk.
package discovery

import (
	"context"
	"fmt"
	"io"
	"time"

	"cressknot/internal/fleet"
)

const (
	// maxListSize is in bytes. A list of 100,000 servers takes about 15 MB.
	maxListSize = 64 << 20

	// maxEndpoints is the maximum number of endpoints in a list.
	maxEndpoints = 200_000
)

// Values of Endpoint.State.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// Endpoint is one server of a list, in the JSON format of list files and of the list service.
type Endpoint struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"` // host:port
	Zone    string    `json:"zone"`
	Kind    string    `json:"kind,omitempty"`
	Cell    uint16    `json:"cell,omitempty"`
	State   string    `json:"state,omitempty"`  // "ready" (also ""), "draining" or "gone"
	Started time.Time `json:"started,omitzero"` // time of the latest start; zero: unknown, long ago
	Weight  float64   `json:"weight,omitempty"`
}

// EndpointList is either a complete list or the changes since an earlier revision.
type EndpointList struct {
	Revision  uint64     `json:"rev"`
	Delta     bool       `json:"changes,omitempty"` // holds only the endpoints that changed
	Endpoints []Endpoint `json:"servers"`
}

// scope returns the scope of an update that contains the list.
func (l *EndpointList) scope() fleet.ListScope {
	if l.Delta {
		return fleet.ListDelta
	}
	return fleet.ListFull
}

// Update is one delivery of a source: a list, a failure or a confirmation.
type Update struct {
	Scope     fleet.ListScope
	List      EndpointList
	Err       error // the cause of a ListFailed; for a ListCached a warning
	Unchanged bool  // the source confirmed its previous list; no other field is set

	ConfirmedAt fleet.Time      // ListCached only: when the source last confirmed the list
	Unverified  map[string]bool // ListCached only: names of endpoints taken from an older list
}

// EndpointSource delivers endpoint lists. Watch starts or ends a watch, and Fetch requests the complete list once;
// both return at once and may be called only after Start. Some sources watch from Start on without a call of Watch.
type EndpointSource interface {
	// Start makes the source usable until the context ends. It passes every update to sink, which may block.
	Start(ctx context.Context, sink func(Update)) error
	Watch(enabled bool)
	Fetch()
}

// emptyDelta returns the update that answers a request when nothing has changed since the revision.
func emptyDelta(revision uint64) Update {
	return Update{Scope: fleet.ListDelta, List: EndpointList{Revision: revision, Delta: true}}
}

func failedUpdate(err error) Update { return Update{Scope: fleet.ListFailed, Err: err} }

// sizeError reports a list that exceeds the limit in bytes.
type sizeError struct{ limit int }

func (e *sizeError) Error() string { return fmt.Sprintf("larger than the limit of %d bytes", e.limit) }

// statusError reports an unexpected HTTP status, such as "503 Service Unavailable".
type statusError struct{ status string }

func (e *statusError) Error() string { return "unexpected HTTP status " + e.status }

// readAll reads up to EOF. It returns a *sizeError if there are more than limit bytes.
func readAll(reader io.Reader, limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > limit {
		return nil, &sizeError{limit: limit}
	}
	return text, nil
}

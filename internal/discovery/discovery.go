// Package discovery provides the endpoint sources of a controller: a file that is watched, a list service over HTTP
// that is long-polled, and the discovery service of the users' platform. Each source delivers complete lists and
// deltas with a revision, and failures; it takes no decision. The package also caches the latest list on disk.
package discovery

import (
	"context"
	"fmt"
	"io"
	"time"

	"cressknot/internal/fleet"
)

const (
	// maxListSize is in bytes. A list of 100,000 servers takes some 15 MB.
	maxListSize = 64 << 20

	// maxEndpoints of a list.
	maxEndpoints = 200_000
)

// States of an Endpoint.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// Endpoint is one server of a list, in the form that files and the list service use.
type Endpoint struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"` // host:port
	Zone    string    `json:"zone"`
	Kind    string    `json:"kind,omitempty"`
	Cell    uint16    `json:"cell,omitempty"`
	State   string    `json:"state,omitempty"`  // "ready" (also ""), "draining" or "gone"
	Started time.Time `json:"started,omitzero"` // latest start; absent: long ago
	Weight  float64   `json:"weight,omitempty"`
}

// EndpointList is a complete list, or the changes since an earlier revision.
type EndpointList struct {
	Revision  uint64     `json:"rev"`
	Delta     bool       `json:"changes,omitempty"` // only the endpoints that changed
	Endpoints []Endpoint `json:"servers"`
}

// scope returns the scope of an update that delivers the list.
func (l *EndpointList) scope() fleet.ListScope {
	if l.Delta {
		return fleet.ListDelta
	}
	return fleet.ListFull
}

// Update is what a source delivers.
type Update struct {
	Scope     fleet.ListScope
	List      EndpointList
	Err       error // the failure of a ListFailed, or a remark on a ListCached
	Unchanged bool  // the source confirmed what it delivered before; no other field is set

	ConfirmedAt fleet.Time      // of a ListCached: when its source last confirmed it
	Unverified  map[string]bool // of a ListCached: names of endpoints that come from an older list
}

// EndpointSource delivers endpoint lists. Watch starts or ends a watch and Fetch requests the complete list once;
// neither blocks. A source may watch by itself from Start on.
type EndpointSource interface {
	// Start makes the source ready until the context ends. The sink receives the updates; it may block.
	Start(ctx context.Context, sink func(Update)) error
	Watch(enabled bool)
	Fetch()
}

// emptyDelta is the answer to a request after which nothing has changed.
func emptyDelta(revision uint64) Update {
	return Update{Scope: fleet.ListDelta, List: EndpointList{Revision: revision, Delta: true}}
}

func failedUpdate(err error) Update { return Update{Scope: fleet.ListFailed, Err: err} }

// sizeError reports a list that is too long.
type sizeError struct{ limit int }

func (e *sizeError) Error() string { return fmt.Sprintf("over %d bytes", e.limit) }

// statusError reports an unexpected HTTP status.
type statusError struct{ status string }

func (e *statusError) Error() string { return e.status }

// readAll reads to the end. It returns a *sizeError where that is after more than limit bytes.
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

package relay

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// StreamEvent is a watch event of the relay's event stream. Streams are numbered from 1; an event of an older stream
// than the latest opened one is stale.
type StreamEvent struct {
	Stream uint64
	Kind   StreamEventKind
	// Event is set for ProxyEvent: a fleet.ProxyJoined, fleet.ProxyLeft or fleet.BarrierReached.
	Event fleet.Event
	// Continuous is set for StreamOpened where no event was lost between this stream and the one before it.
	Continuous bool
}

// Unconfirmed are operations of which nobody knows whether they were carried out. The client does not send them again.
type Unconfirmed struct{ Operations []Operation }

// StreamEventKind is the kind of a StreamEvent.
type StreamEventKind uint8

// The kinds of a StreamEvent.
const (
	StreamOpened     StreamEventKind = iota // a new stream, which begins with a snapshot of the joined proxies
	ProxyEvent                              // an event of a proxy
	SnapshotComplete                        // the stream has shown all joined proxies
)

// String returns a short name of the kind.
func (k StreamEventKind) String() string {
	return [...]string{"opened", "event", "snapshot complete"}[k]
}

// Limits of the figures in an event.
const (
	maxRequestRate  = 1e9 // requests per second
	maxBarrierDelay = 1e9 // ms
)

// parseEvent reads one event of the stream. It returns nil for an event of a later version of the protocol.
func parseEvent(name, data string, zones []string, proxyCount int) (fleet.Event, error) {
	values, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("relay event %s: parse form fields: %w", name, err)
	}
	fields := eventFields{values: values}
	proxy := fleet.ProxyID(fields.number("node", float64(proxyCount-1)))
	var event fleet.Event
	switch name {
	case "joined":
		event = fleet.ProxyJoined{
			Proxy:       proxy,
			Zone:        fleet.ZoneID(fields.index("locality", zones)),
			RequestRate: fields.number("w", maxRequestRate),
			Fresh:       fields.number("cold", 1) == 1,
		}
	case "left":
		event = fleet.ProxyLeft{Proxy: proxy}
	case "applied":
		event = fleet.BarrierReached{
			Proxy:   proxy,
			Barrier: fleet.BarrierID(fields.number("nonce", math.MaxUint16)),
			Delay:   fleet.Millisecond.Scale(fields.number("latency", maxBarrierDelay)),
		}
	default:
		return nil, nil
	}
	if fields.err != nil {
		return nil, fmt.Errorf("relay event %s: %w", name, fields.err)
	}
	return event, nil
}

// eventFields reads the fields of an event and collects what is wrong with them.
type eventFields struct {
	values url.Values
	err    error
}

// number reads a field that occurs once and holds a number from 0 to limit.
func (f *eventFields) number(key string, limit float64) float64 {
	texts := f.values[key]
	if len(texts) == 1 {
		value, err := strconv.ParseFloat(texts[0], 64)
		if err == nil && value >= 0 && value <= limit {
			return value
		}
	}
	f.fail(fmt.Errorf("field %s: %.40q is not a number from 0 to %g", key, strings.Join(texts, ","), limit))
	return 0
}

// index reads a field that holds one of the names and returns the index of the name.
func (f *eventFields) index(key string, names []string) int {
	name := f.values.Get(key)
	for index, known := range slices.Backward(names) {
		if known == name {
			return index
		}
	}
	f.fail(fmt.Errorf("field %s: unknown name %.40q", key, name))
	return 0
}

func (f *eventFields) fail(err error) { f.err = errors.Join(f.err, err) }

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

// StreamEvent is an event of the relay's event stream. Streams are numbered from 1; an event is stale if its stream is
// older than the latest opened one.
type StreamEvent struct {
	Stream uint64
	Kind   StreamEventKind
	// Event is set for ProxyEvent: a fleet.ProxyJoined, fleet.ProxyLeft or fleet.BarrierReached.
	Event fleet.Event
	// Continuous is set for StreamOpened if no event was lost between the previous stream and this one.
	Continuous bool
}

// Unconfirmed lists operations that the relay may or may not have carried out. The client does not send them again.
type Unconfirmed struct{ Operations []Operation }

// StreamEventKind is the kind of a StreamEvent.
type StreamEventKind uint8

// The kinds of a StreamEvent.
const (
	StreamOpened     StreamEventKind = iota // a new stream, which begins with a snapshot of the joined proxies
	ProxyEvent                              // an event of one proxy
	SnapshotComplete                        // the stream has listed all joined proxies
)

// String returns the kind as it is logged. It panics on a value that is not one of the constants.
func (k StreamEventKind) String() string {
	return [...]string{"opened", "event", "snapshot complete"}[k]
}

// Limits of the figures in an event.
const (
	maxRequestRate  = 1e9 // requests per second
	maxBarrierDelay = 1e9 // ms
)

// parseEvent parses one event of the stream. It returns nil without an error for an event with an unknown name, which a
// later version of the protocol may add.
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

// eventFields reads the fields of an event and collects errors in them.
type eventFields struct {
	values url.Values
	err    error
}

// number reads a field that must occur once and hold a number from 0 to limit.
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

// index reads a field that must hold one of the names and returns the index of the name.
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

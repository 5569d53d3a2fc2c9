package relay

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// Read makes out what an answer says of a call with so many orders.
func Read(text []byte, orders int) (was CallOutcome, taken int, err error) {
	dec := xml.NewDecoder(strings.NewReader(string(text)))
	var inside []string
	found := -1
	words := map[string]bool{}
	for {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return CallUncertain, 0, fmt.Errorf("answer: byte %d: %w", dec.InputOffset(), err)
		}
		switch t := token.(type) {
		case xml.StartElement:
			inside = append(inside, t.Name.Local)
		case xml.EndElement:
			inside = inside[:len(inside)-1]
		case xml.CharData:
			word := strings.TrimSpace(string(t))
			if len(inside) == 0 || word == "" {
				continue
			}
			if inside[len(inside)-1] != "accepted" {
				words[word] = true
				continue
			}
			n, err := strconv.Atoi(word)
			if err != nil || n < 0 || n > orders || found >= 0 {
				return CallUncertain, 0, fmt.Errorf("answer: accepted %.20q of %d orders", word, orders)
			}
			found = n
		}
	}
	switch {
	case found >= 0:
		return CallAnswered, found, nil
	case words["limit"]:
		return CallRefused, 0, errors.New("answer: limit")
	case words["malformed"]:
		return CallMalformed, 0, errors.New("answer: malformed")
	}
	return CallUncertain, 0, fmt.Errorf("answer: nothing is accepted in %.80q", text)
}

// StreamEvent is what the relay's stream tells. Streams are numbered from 1: what an older one told late never counts.
type StreamEvent struct {
	Stream     uint64
	Kind       StreamEventKind
	Event      fleet.Event // of Told: Joined, Left or Applied
	Continuous bool        // of Opened: the stream before it stood until now
	Err        error       // of Ended
}

// Unconfirmed are orders of which nobody knows whether they were carried out. They are not sent again.
type Unconfirmed struct{ Operations []Operation }

// StreamEventKind is a kind of news.
type StreamEventKind uint8

// The kinds of news.
const (
	StreamOpened     StreamEventKind = iota // a new stream; it shows first who is joined
	ProxyEvent                              // an event
	SnapshotComplete                        // it has shown all
	StreamEnded
)

// String names it.
func (w StreamEventKind) String() string { return [...]string{"opened", "told", "settled", "ended"}[w] }

// event reads one event of the stream.
func event(name, data string, zones []string, proxies int) (fleet.Event, error) {
	fields, err := url.ParseQuery(data)
	if err != nil {
		return nil, fmt.Errorf("news: %s: %w", name, err)
	}
	r := reader{fields: fields}
	node := fleet.ProxyID(r.number("node", float64(proxies-1)))
	var e fleet.Event
	switch name {
	case "joined":
		zone := -1
		for i, z := range zones {
			if z == fields.Get("locality") {
				zone = i
			}
		}
		if zone < 0 {
			r.err = errors.Join(r.err, fmt.Errorf("locality %.40q is unknown", fields.Get("locality")))
		}
		e = fleet.ProxyJoined{Proxy: node, Zone: fleet.ZoneID(zone), RequestRate: r.number("w", 1e9), Fresh: r.number("cold", 1) == 1}
	case "left":
		e = fleet.ProxyLeft{Proxy: node}
	case "applied":
		e = fleet.BarrierReached{Proxy: node, Barrier: fleet.BarrierID(r.number("nonce", 65535)),
			Delay: fleet.Millisecond.Scale(r.number("latency", 1e9))}
	default:
		return nil, nil // of a later protocol
	}
	if r.err != nil {
		return nil, fmt.Errorf("news: %s: %w", name, r.err)
	}
	return e, nil
}

type reader struct {
	fields url.Values
	err    error
}

func (r *reader) number(key string, most float64) float64 {
	text := r.fields[key]
	if len(text) == 1 {
		if v, err := strconv.ParseFloat(text[0], 64); err == nil && v >= 0 && v <= most {
			return v
		}
	}
	if r.err == nil {
		r.err = fmt.Errorf("%s %.40q is not a number from 0 to %g", key, strings.Join(text, ","), most)
	}
	return 0
}

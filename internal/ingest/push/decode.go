// Package push takes in what servers push: the line protocol that InfluxDB publishes, over HTTP POST, as most agents and
// libraries for reports can send it. It decodes and carries; what is believed, kept or told back is decided in package
// intake.
package push

import (
	"errors"
	"fmt"
	"math"

	"github.com/influxdata/line-protocol/v2/lineprotocol"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
)

const (
	measurement = "server" // the lines that are ours; others in a batch are left alone
	nameTag     = "name"
	linesMost   = 10_000 // of a batch
	nameMost    = 64     // bytes, as in settings
)

// Words say how things are called in lines.
type Words struct {
	Loads  []string                                 // by place: the fields with load figures
	Lookup func(name []byte) (fleet.ServerID, bool) // of servers that are known
}

// Ignored counts what a batch held beside records.
type Ignored struct {
	Lines   int // of other measurements
	Unknown int // of servers that nothing names
}

// LineError tells where in a batch something is wrong.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// Decode reads a batch whole or, with an error that names line and byte, not at all:
//
//	server,name=node-07 started=1733071000000000000i,tries=1200i,failed=3i,good=1190i,good_ms=238000i,busy=0.61 1733071234000000000
//
// Sums are whole numbers since the start of the process, started is that start in nanoseconds; load figures are called as in
// the settings; fields that aren't known are left alone. Without a time of its own a line is of when it came.
func Decode(into []ingest.Record, body []byte, w *Words, unit lineprotocol.Precision, now fleet.Time) ([]ingest.Record, Ignored, error) {
	var ignored Ignored
	keep := into
	d := lineprotocol.NewDecoderWithBytes(body)
	for n := 1; d.Next(); n++ {
		r := ingest.Record{Arrived: now}
		known, ours, err := line(d, &r, w, unit)
		if err == nil && n > linesMost {
			err = fmt.Errorf("%d lines are the most in a batch", linesMost)
		}
		if err != nil {
			var at *lineprotocol.DecodeError
			if errors.As(err, &at) {
				return keep, Ignored{}, &LineError{int(at.Line), fmt.Errorf("byte %d: %w", at.Column, at.Err)}
			}
			return keep, Ignored{}, &LineError{n, err}
		}
		switch {
		case !ours:
			ignored.Lines++
		case !known:
			ignored.Unknown++
		default:
			into = append(into, r)
		}
	}
	return into, ignored, nil
}

func line(d *lineprotocol.Decoder, r *ingest.Record, w *Words, unit lineprotocol.Precision) (known, ours bool, err error) {
	what, err := d.Measurement()
	if err != nil {
		return false, false, err
	}
	ours = string(what) == measurement
	named := false
	for {
		key, value, err := d.NextTag()
		if err != nil {
			return false, false, err
		}
		if key == nil {
			break
		}
		if ours && string(key) == nameTag {
			if len(value) == 0 || len(value) > nameMost {
				return false, false, fmt.Errorf("a name has 1 to %d bytes, %d here", nameMost, len(value))
			}
			named = true
			r.Server, known = w.Lookup(value)
		}
	}
	if ours && !named {
		return false, false, fmt.Errorf("a line of %s needs the tag %s", measurement, nameTag)
	}
	for {
		key, value, err := d.NextField()
		if err != nil {
			return false, false, err
		}
		if key == nil {
			break
		}
		if ours {
			if err := field(r, key, value, w); err != nil {
				return false, false, err
			}
		}
	}
	at, err := d.TimeBytes()
	if err != nil || at == nil {
		return known, ours, err
	}
	n, err := nanos(at, unit)
	r.Stated = n
	return known, ours, err
}

// field takes one field.
func field(r *ingest.Record, key []byte, v lineprotocol.Value, w *Words) error {
	sum := func(to *uint64) error {
		switch {
		case v.Kind() == lineprotocol.Uint:
			*to = v.UintV()
		case v.Kind() == lineprotocol.Int && v.IntV() >= 0:
			*to = uint64(v.IntV())
		default:
			return fmt.Errorf("field %s is a sum: a whole number from 0, as 12i", key)
		}
		return nil
	}
	switch string(key) {
	case "tries":
		return sum(&r.Attempts)
	case "failed":
		return sum(&r.Failures)
	case "good":
		return sum(&r.Successes)
	case "good_ms":
		return sum(&r.SuccessMillis)
	case "started":
		var n uint64
		if err := sum(&n); err != nil || n > math.MaxInt64 {
			return fmt.Errorf("field started is a time in nanoseconds since 1970, as 1733071000000000000i")
		}
		r.Started = fleet.Time(n)
		return nil
	}
	for i, name := range w.Loads {
		if string(key) != name {
			continue
		}
		switch v.Kind() {
		case lineprotocol.Float:
			r.Load[i] = float32(v.FloatV())
		case lineprotocol.Int:
			r.Load[i] = float32(v.IntV())
		case lineprotocol.Uint:
			r.Load[i] = float32(v.UintV())
		default:
			return fmt.Errorf("field %s is a load figure: a number", key)
		}
		r.HasLoad = true
	}
	return nil
}

func nanos(text []byte, unit lineprotocol.Precision) (fleet.Time, error) {
	n, neg := int64(0), false
	for i, c := range text {
		switch {
		case i == 0 && c == '-':
			neg = true
		case c < '0' || c > '9' || n > (math.MaxInt64-9)/10:
			return 0, fmt.Errorf("%.24q is no time", text)
		default:
			n = n*10 + int64(c-'0')
		}
	}
	by := int64(unit.Duration())
	if neg || n > math.MaxInt64/by {
		return 0, fmt.Errorf("%.24q is no time since 1970 in %s", text, unit)
	}
	return fleet.Time(n * by), nil
}

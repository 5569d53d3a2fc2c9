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
	// measurement is the measurement of load reports. Lines of other measurements are skipped.
	measurement = "server"

	// nameTag is the key of the tag with the name of the server.
	nameTag = "name"

	// maxLines is the largest number of lines in a batch.
	maxLines = 10_000

	// maxNameSize is the largest size of a server name in bytes, the same as in the settings.
	maxNameSize = 64
)

// Field keys of a line. Load figures are further fields, whose keys are in the Schema.
const (
	fieldAttempts      = "tries"
	fieldFailures      = "failed"
	fieldSuccesses     = "good"
	fieldSuccessMillis = "good_ms"
	fieldStarted       = "started"
)

var errStarted = errors.New(
	"field started must be an integer number of nanoseconds since 1970, such as 1733071000000000000i")

// Schema defines the names that lines may use.
type Schema struct {
	// LoadFields are the field keys of the load figures, in the order of ingest.Record.Load.
	LoadFields []string
	// Lookup returns the ID of a known server. It must not retain name.
	Lookup func(name []byte) (fleet.ServerID, bool)
}

// Ignored counts the skipped lines of a batch.
type Ignored struct {
	Lines   int // lines of other measurements
	Unknown int // lines of unknown servers
}

// LineError is an error in a line of a batch. Lines are numbered from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Decode parses a batch and appends its records. On an error, which is a *LineError, it appends none. A line has the
// form
//
//	server,name=n7 started=1733071000000000000i,tries=120i,failed=3i,good=117i,good_ms=2380i,busy=0.6 1733071234000000000
//
// tries, failed, good and good_ms are integer counters, cumulative since the start of the server's process; good_ms is
// in ms. started is that start in nanoseconds since 1970. Load figures are fields with the names from the settings.
// Unknown fields are skipped. Times of lines are in the given unit and become Record.Stated, which stays 0 for a line
// without a time. now becomes Record.Arrived.
func Decode(
	records []ingest.Record, body []byte, schema *Schema, unit lineprotocol.Precision, now fleet.Time,
) ([]ingest.Record, Ignored, error) {
	var ignored Ignored
	before := records
	decoder := lineDecoder{Decoder: lineprotocol.NewDecoderWithBytes(body), schema: schema, unit: unit}
	for number := 1; decoder.Next(); number++ {
		decoder.record = ingest.Record{Arrived: now}
		kind, err := decoder.decodeLine()
		if err == nil && number > maxLines {
			err = fmt.Errorf("batch exceeds the limit of %d lines", maxLines)
		}
		if err != nil {
			return before, Ignored{}, lineErrorOf(number, err)
		}
		switch kind {
		case otherMeasurement:
			ignored.Lines++
		case unknownServer:
			ignored.Unknown++
		case knownServer:
			records = append(records, decoder.record)
		}
	}
	return records, ignored, nil
}

// lineErrorOf returns a LineError with the line number from the line protocol decoder if it has one, otherwise number.
func lineErrorOf(number int, err error) *LineError {
	var syntax *lineprotocol.DecodeError
	if errors.As(err, &syntax) {
		return &LineError{Line: int(syntax.Line), Err: fmt.Errorf("byte %d: %w", syntax.Column, syntax.Err)}
	}
	return &LineError{Line: number, Err: err}
}

// lineKind tells whether a line contains a record.
type lineKind uint8

const (
	otherMeasurement lineKind = iota
	unknownServer
	knownServer
)

// lineDecoder decodes one line at a time into record.
type lineDecoder struct {
	*lineprotocol.Decoder
	schema *Schema
	unit   lineprotocol.Precision
	record ingest.Record
}

func (d *lineDecoder) decodeLine() (lineKind, error) {
	name, err := d.Measurement()
	if err != nil {
		return otherMeasurement, err
	}
	isServerLine := string(name) == measurement
	kind, err := d.decodeTags(isServerLine)
	if err != nil {
		return otherMeasurement, err
	}
	if err := d.decodeFields(isServerLine); err != nil {
		return otherMeasurement, err
	}
	text, err := d.TimeBytes()
	if err != nil || text == nil {
		return kind, err
	}
	d.record.Stated, err = parseTime(text, d.unit)
	return kind, err
}

// decodeTags decodes the tags of a line. A server line requires the name of a server.
func (d *lineDecoder) decodeTags(isServerLine bool) (lineKind, error) {
	kind := otherMeasurement
	for {
		key, value, err := d.NextTag()
		if err != nil {
			return otherMeasurement, err
		}
		if key == nil {
			break
		}
		if !isServerLine || string(key) != nameTag {
			continue
		}
		if len(value) == 0 || len(value) > maxNameSize {
			return otherMeasurement, fmt.Errorf("tag %s must have 1 to %d bytes, got %d", nameTag, maxNameSize, len(value))
		}
		kind = unknownServer
		server, known := d.schema.Lookup(value)
		if known {
			kind = knownServer
		}
		d.record.Server = server
	}
	if isServerLine && kind == otherMeasurement {
		return otherMeasurement, fmt.Errorf("measurement %s requires the tag %s", measurement, nameTag)
	}
	return kind, nil
}

func (d *lineDecoder) decodeFields(isServerLine bool) error {
	for {
		key, value, err := d.NextField()
		if err != nil {
			return err
		}
		if key == nil {
			return nil
		}
		if !isServerLine {
			continue
		}
		if err := d.decodeField(key, value); err != nil {
			return err
		}
	}
}

func (d *lineDecoder) decodeField(key []byte, value lineprotocol.Value) error {
	switch string(key) {
	case fieldAttempts:
		return readSum(&d.record.Attempts, key, value)
	case fieldFailures:
		return readSum(&d.record.Failures, key, value)
	case fieldSuccesses:
		return readSum(&d.record.Successes, key, value)
	case fieldSuccessMillis:
		return readSum(&d.record.SuccessMillis, key, value)
	case fieldStarted:
		return d.decodeStarted(key, value)
	}
	for i, name := range d.schema.LoadFields {
		if string(key) != name {
			continue
		}
		if err := readLoad(&d.record.Load[i], key, value); err != nil {
			return err
		}
		d.record.HasLoad = true
	}
	return nil
}

func (d *lineDecoder) decodeStarted(key []byte, value lineprotocol.Value) error {
	var started uint64
	if err := readSum(&started, key, value); err != nil || started > math.MaxInt64 {
		return errStarted
	}
	d.record.Started = fleet.Time(started)
	return nil
}

// readSum reads a non-negative integer.
func readSum(sum *uint64, key []byte, value lineprotocol.Value) error {
	switch {
	case value.Kind() == lineprotocol.Uint:
		*sum = value.UintV()
	case value.Kind() == lineprotocol.Int && value.IntV() >= 0:
		*sum = uint64(value.IntV())
	default:
		return fmt.Errorf("field %s must be a non-negative integer, such as 12i", key)
	}
	return nil
}

// readLoad reads a number of any type.
func readLoad(load *float32, key []byte, value lineprotocol.Value) error {
	switch value.Kind() {
	case lineprotocol.Float:
		*load = float32(value.FloatV())
	case lineprotocol.Int:
		*load = float32(value.IntV())
	case lineprotocol.Uint:
		*load = float32(value.UintV())
	default:
		return fmt.Errorf("field %s must be a number", key)
	}
	return nil
}

// parseTime parses an integer time since 1970 in the given unit.
func parseTime(text []byte, unit lineprotocol.Precision) (fleet.Time, error) {
	count := int64(0)
	negative := false
	for i, c := range text {
		switch {
		case i == 0 && c == '-':
			negative = true
		case c < '0' || c > '9' || count > (math.MaxInt64-9)/10:
			return 0, fmt.Errorf("invalid time %.24q: not a 64-bit integer", text)
		default:
			count = count*10 + int64(c-'0')
		}
	}
	nanoseconds := int64(unit.Duration())
	if negative || count > math.MaxInt64/nanoseconds {
		return 0, fmt.Errorf("invalid time %.24q: out of range for %s since 1970", text, unit)
	}
	return fleet.Time(count * nanoseconds), nil
}

package collector

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Kinds of messages.
const (
	kindPing     = "ping"
	kindRegister = "collector"
	kindOutcome  = "heard"
	kindDemand   = "usage"
)

// maxFields is the maximum number of fields of a message.
const maxFields = 32

// errBinaryData reports a message that is not text. Nothing that follows it on the connection can be trusted.
var errBinaryData = errors.New("message contains bytes other than printable ASCII")

// isBinary reports whether the data contains a byte other than printable ASCII or a carriage return.
func isBinary(data []byte) bool {
	return slices.ContainsFunc(data, func(c byte) bool { return (c < ' ' || c > '~') && c != '\r' })
}

// field is one name=value pair of a message.
type field struct {
	name  string
	value string
}

// message is one line of the protocol: a kind followed by fields of the form name=value.
type message struct {
	kind       string
	fields     [maxFields]field // an array, to reduce allocations per report
	fieldCount int
	fieldErr   error // first error from reading a typed field
}

// parseMessage parses a line without its line end. It returns errBinaryData for a line that is not text.
func parseMessage(text string) (m message, err error) {
	if isBinary([]byte(text)) {
		return m, errBinaryData
	}
	for part := range strings.SplitSeq(text, " ") {
		if part == "" {
			continue
		}
		if m.kind == "" {
			m.kind = part
			continue
		}
		if err := m.addField(part); err != nil {
			return m, err
		}
	}
	return m, nil
}

// addField adds a field of the form name=value. Names must not be repeated.
func (m *message) addField(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return fmt.Errorf("field %.40q does not have the form name=value", text)
	}
	if m.fieldCount == maxFields {
		return fmt.Errorf("message has more than %d fields", maxFields)
	}
	if _, repeated := m.value(name); repeated {
		return fmt.Errorf("duplicate field %.40q", name)
	}
	m.fields[m.fieldCount] = field{name: name, value: value}
	m.fieldCount++
	return nil
}

// value returns the value of a field, and whether the message has the field.
func (m *message) value(name string) (value string, ok bool) {
	for _, f := range m.fields[:m.fieldCount] {
		if f.name == name {
			return f.value, true
		}
	}
	return "", false
}

// fail records an error from reading a field, unless there was one before. After an error, the values read from the
// message must not be used.
func (m *message) fail(format string, args ...any) {
	if m.fieldErr == nil {
		m.fieldErr = fmt.Errorf(format, args...)
	}
}

// requiredText reads a field that must not be empty.
func (m *message) requiredText(name string) string {
	value, _ := m.value(name)
	if value == "" {
		m.fail("field %s is missing or empty", name)
	}
	return value
}

// number reads a field that must be a number from minimum to maximum.
func (m *message) number(name string, minimum, maximum float64) float64 {
	text, _ := m.value(name)
	number, err := strconv.ParseFloat(text, 64)
	inRange := number >= minimum && number <= maximum // false for NaN
	if err != nil || !inRange {
		m.fail("field %s: %.40q is not a number from %g to %g", name, text, minimum, maximum)
		return 0
	}
	return number
}

// count reads a field that must be an integer from 0 to maximum.
func (m *message) count(name string, maximum float64) uint32 {
	number := m.number(name, 0, maximum)
	if number != math.Trunc(number) {
		m.fail("field %s: %g is not an integer", name, number)
	}
	return uint32(number)
}

// nameIndex reads a field that must hold one of the names and returns the index of the name.
func (m *message) nameIndex(field string, names []string) int {
	name, _ := m.value(field)
	index := slices.Index(names, name)
	if index < 0 {
		m.fail("field %s: unknown name %.40q", field, name)
		return 0
	}
	return index
}

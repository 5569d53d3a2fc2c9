package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"cressknot/internal/fleet"
)

const (
	// maxMilliseconds limits times to the range of fleet.Time.
	maxMilliseconds = 9e12
	// maxScalarBytes is the size of the largest number on the wire.
	maxScalarBytes = 8
	loadValueBytes = 4
)

// cursor reads the fields of a frame in sequence. After a failure it keeps the first error and all reads return zero.
// Its methods take the name of the field in the protocol, for errors.
type cursor struct {
	data     []byte
	position int
	base     int64 // offset of data in the input
	err      error
}

func (c *cursor) remaining() int { return len(c.data) - c.position }

// fail records an error at the current position, unless one is recorded already.
func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("byte %d: %s", c.base+int64(c.position), fmt.Sprintf(format, args...))
	}
}

// take returns the next size bytes. After a failure it returns zeros, at most maxScalarBytes of them.
func (c *cursor) take(size int, field string) []byte {
	if c.err == nil && size > c.remaining() {
		c.fail("%s: need %d bytes, %d remain", field, size, c.remaining())
	}
	if c.err != nil {
		return make([]byte, min(size, maxScalarBytes))
	}
	c.position += size
	return c.data[c.position-size : c.position]
}

func (c *cursor) uint8(field string) uint8   { return c.take(1, field)[0] }
func (c *cursor) uint16(field string) uint16 { return binary.LittleEndian.Uint16(c.take(2, field)) }
func (c *cursor) uint32(field string) uint32 { return binary.LittleEndian.Uint32(c.take(4, field)) }
func (c *cursor) uint64(field string) uint64 { return binary.LittleEndian.Uint64(c.take(8, field)) }

// float32 reads a finite number of single precision.
func (c *cursor) float32(field string) float64 {
	return c.finite(float64(math.Float32frombits(c.uint32(field))), field)
}

func (c *cursor) finite(value float64, field string) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		c.fail("%s: %v is not a finite number", field, value)
		return 0
	}
	return value
}

// milliseconds reads a time, a number of milliseconds in double precision.
func (c *cursor) milliseconds(field string) fleet.Time {
	ms := c.finite(math.Float64frombits(c.uint64(field)), field)
	if math.Abs(ms) > maxMilliseconds {
		c.fail("%s: %g ms is not between %g and %g ms", field, ms, -maxMilliseconds, maxMilliseconds)
		return 0
	}
	return fleet.Milliseconds(ms)
}

func (c *cursor) flag(field string) bool {
	value := c.uint8(field)
	if value > 1 {
		c.fail("%s: got %d, want 0 or 1", field, value)
	}
	return value == 1
}

// listNumber reads the number of a registered list.
func (c *cursor) listNumber() uint16 {
	number := c.uint16("page")
	if number >= registeredListCount {
		c.fail("page: list number %d is not between 0 and %d", number, registeredListCount-1)
		return 0
	}
	return number
}

// count reads the number of the elements that follow, of elementBytes each, and checks that the frame can hold them.
func (c *cursor) count(field string, elementBytes int) int {
	count := c.uint32(field)
	if c.err == nil && uint64(count)*uint64(elementBytes) > uint64(c.remaining()) {
		c.fail("%s: count %d needs %d bytes, %d remain", field, count, uint64(count)*uint64(elementBytes), c.remaining())
		return 0
	}
	return int(count)
}

// bytes returns a copy of the next size bytes, as the buffer of the frame is reused.
func (c *cursor) bytes(size int) []byte {
	if c.err != nil {
		return nil
	}
	data := c.take(size, "octets")
	if c.err != nil {
		return nil
	}
	return append([]byte(nil), data...)
}

// loadValues reads a load report: a byte with the number of values, then the values.
func (c *cursor) loadValues() []float32 {
	count := int(c.uint8("feedback"))
	if count == 0 || c.err != nil {
		return nil
	}
	if count*loadValueBytes > c.remaining() {
		c.fail("feedback: count %d needs %d bytes, %d remain", count, count*loadValueBytes, c.remaining())
		return nil
	}
	values := make([]float32, count)
	for i := range values {
		values[i] = float32(c.float32("feedback"))
	}
	return values
}

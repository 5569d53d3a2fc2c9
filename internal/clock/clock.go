// Package clock reads Unix time without jumps.
package clock

import (
	"time"

	"cressknot/internal/fleet"
)

// Clock reads the wall clock once, in New, and goes on by the monotonic clock, so that its time never jumps when the
// wall clock is set. Endpoint lists give the starts of servers in Unix time, so the two can be compared. It is safe
// for concurrent use; the zero Clock is not usable.
type Clock struct{ started time.Time }

// New starts a clock at the wall clock's time.
func New() Clock { return Clock{started: time.Now()} }

// Now returns the nanoseconds since the Unix epoch.
func (c Clock) Now() fleet.Time {
	return fleet.Time(c.started.UnixNano() + time.Since(c.started).Nanoseconds())
}

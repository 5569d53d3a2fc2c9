package platform

import (
	"time"

	"cressknot/internal/fleet"
)

// Clock reads Unix time without jumps: it takes the wall clock once, in NewClock, and goes on by the monotonic
// clock. Endpoint lists give the starts of servers in Unix time, so the two can be compared. It is safe for
// concurrent use.
type Clock struct{ started time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{started: time.Now()} }

// Now returns the time since the Unix epoch.
func (c Clock) Now() fleet.Time {
	return fleet.Time(c.started.UnixNano() + time.Since(c.started).Nanoseconds())
}

package controller

import (
	"time"

	"cressknot/internal/fleet"
)

// Clock reads the wall clock once and goes on by the monotonic one, so that its time never jumps when the wall clock
// is set. The zero Clock is not usable; NewClock makes one.
type Clock struct{ start time.Time }

// NewClock starts a clock at the wall clock's time.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now gives the time in nanoseconds since the Unix epoch.
func (c Clock) Now() fleet.Time {
	return fleet.Time(c.start.UnixNano() + time.Since(c.start).Nanoseconds())
}

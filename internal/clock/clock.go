// Package clock provides a Unix time that is unaffected by changes of the wall clock.
package clock

import (
	"time"

	"cressknot/internal/fleet"
)

// Clock reads the wall clock once, in New, and then advances with the monotonic clock, so that setting the wall clock
// does not make its time jump. Its time is comparable with the start times of servers in endpoint lists, which are in
// Unix time. It is safe for concurrent use. The zero Clock is not usable.
type Clock struct{ started time.Time }

// New returns a clock that starts at the present time of the wall clock.
func New() Clock { return Clock{started: time.Now()} }

// Now returns the nanoseconds since the Unix epoch.
func (c Clock) Now() fleet.Time {
	return fleet.Time(c.started.UnixNano() + time.Since(c.started).Nanoseconds())
}

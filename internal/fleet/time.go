package fleet

import "math"

// Time is a point in time on the controller's clock or a duration, in nanoseconds.
type Time int64

// Common durations.
const (
	Millisecond Time = 1_000_000
	Second      Time = 1_000 * Millisecond
)

// Seconds returns a duration in seconds.
func (t Time) Seconds() float64 { return float64(t) / float64(Second) }

// Scale returns a duration multiplied by a factor, truncated to whole nanoseconds.
func (t Time) Scale(factor float64) Time { return Time(float64(t) * factor) }

// Milliseconds returns the duration of a number of milliseconds, rounded to the nearest nanosecond.
func Milliseconds(ms float64) Time { return Time(math.Round(ms * float64(Millisecond))) }

package ingest

import "cressknot/internal/fleet"

const (
	// maxDelayVariation is the largest expected difference between the delays of two reports.
	maxDelayVariation = 500 * fleet.Millisecond

	// maxClockOffset is the offset above which operators are notified, as times in the logs of the server would mislead
	// them.
	maxClockOffset = 5 * fleet.Second

	// minLateRecords is the number of consecutive late records that show that a clock was set back.
	minLateRecords = 6

	// minDisagreeingRecords is the number of consecutive records that show that a clock is off, or right again. A single
	// late record does not.
	minDisagreeingRecords = 3
)

// clockEstimate estimates the offset by which a source's clock is behind the controller's. The offset is the smallest
// difference between the arrival of a record and the time that it states, as that record had the smallest delay. A
// clock that jumps ahead is detected at once, as no record arrives before it is sent.
type clockEstimate struct {
	offset             fleet.Time
	known              bool
	lateRecords        int // consecutive
	offsetTooLarge     bool
	disagreeingRecords int // consecutive records that contradict offsetTooLarge
}

// observe updates the estimate with a record that states its time. It returns true when the offset has become larger
// than maxClockOffset.
func (c *clockEstimate) observe(record *Record, lastArrival fleet.Time) (becameTooLarge bool) {
	difference := record.Arrived - record.Stated
	switch {
	case !c.known:
		c.known = true
		c.setOffset(difference)
	case difference < c.offset:
		c.setOffset(difference)
	case difference <= c.offset+maxDelayVariation:
		c.lateRecords = 0
	case record.Arrived-lastArrival < maxDelayVariation:
		// Records that arrive in quick succession were delayed together; that says nothing about the clock.
	default:
		c.lateRecords++
		if c.lateRecords >= minLateRecords {
			c.setOffset(difference)
		}
	}
	return c.updateOffsetTooLarge()
}

func (c *clockEstimate) setOffset(offset fleet.Time) {
	c.offset = offset
	c.lateRecords = 0
}

func (c *clockEstimate) updateOffsetTooLarge() (becameTooLarge bool) {
	tooLarge := c.offset > maxClockOffset || c.offset < -maxClockOffset
	if tooLarge == c.offsetTooLarge {
		c.disagreeingRecords = 0
		return false
	}
	c.disagreeingRecords++
	if c.disagreeingRecords < minDisagreeingRecords {
		return false
	}
	c.offsetTooLarge = tooLarge
	c.disagreeingRecords = 0
	return tooLarge
}

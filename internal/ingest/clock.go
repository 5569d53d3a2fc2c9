package ingest

import "cressknot/internal/fleet"

const (
	// maxDelayVariation is how much longer than the shortest one the delay of a report may be.
	maxDelayVariation = 500 * fleet.Millisecond

	// maxClockOffset is the offset from which operators are notified: times in the logs of the server would mislead them.
	maxClockOffset = 5 * fleet.Second

	// minLateRecords in a row show that a clock was set back.
	minLateRecords = 6

	// minDisagreeingRecords in a row show that a clock is off. A single late record doesn't.
	minDisagreeingRecords = 3
)

// clockEstimate estimates how far a source's clock is behind ours: the least difference between the time that a
// record states and its arrival contains the least delay. A clock that jumps ahead shows at once, as nothing
// arrives before it is sent.
type clockEstimate struct {
	offset             fleet.Time
	known              bool
	lateRecords        int // in a row
	offsetTooLarge     bool
	disagreeingRecords int // in a row that contradict offsetTooLarge
}

// observe takes in a record that states its time. It returns true when the clock has turned out to be off.
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
		// Many records at once are late, whatever the clock says.
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

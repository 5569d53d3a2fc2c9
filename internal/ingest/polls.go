package ingest

import (
	"math"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	// maxRowsPerSecond is the largest number of counter rows per second that polls request. Reading them takes a third of
	// a core.
	maxRowsPerSecond = 500_000

	// goldenRatio spreads the phases of consecutively numbered proxies evenly over a period.
	goldenRatio = 0.6180339887498949

	// minCounterGrowth is the least number of entries by which the counters of a proxy grow.
	minCounterGrowth = 16
)

// polledProxy is a proxy whose counters are polled.
type polledProxy struct {
	id       fleet.ProxyID
	zone     fleet.ZoneID
	pollAt   fleet.Time
	index    int        // in the heap of polls; notInHeap while a poll is in flight
	polledAt fleet.Time // 0: not since it joined
	rowCount int        // of its last reading
	reported bool       // operators were notified that it doesn't answer

	hasReading bool
	readAt     fleet.Time // of the last reading
	servers    []counters.ServerCounters
	classes    []counters.ClassCounters
}

func (pp *polledProxy) heapIndex() *int { return &pp.index }

// before orders proxies by the time of their next poll, then by ID.
func (pp *polledProxy) before(other *polledProxy) bool {
	if pp.pollAt != other.pollAt {
		return pp.pollAt < other.pollAt
	}
	return pp.id < other.id
}

// countersOf returns the counters of a server at the last reading.
func (pp *polledProxy) countersOf(server fleet.ServerID) *counters.ServerCounters {
	if missing := int(server) + 1 - len(pp.servers); missing > 0 {
		pp.servers = append(pp.servers, make([]counters.ServerCounters, max(minCounterGrowth, missing))...)
	}
	return &pp.servers[server]
}

// Join starts polling a proxy. The polls of a zone's proxies are spread evenly over the period, so that each second
// yields counters of each server from each zone, however long the period is. A proxy that rejoins continues from its
// last counters unless fresh is set, which means that it has restarted.
func (p *Pipeline) Join(now fleet.Time, id fleet.ProxyID, zone fleet.ZoneID, fresh bool) {
	p.Leave(id)
	rank := 0
	for _, other := range p.proxies {
		if other.zone == zone {
			rank++
		}
	}
	proxy := p.departed[id]
	delete(p.departed, id)
	if proxy == nil || fresh {
		proxy = &polledProxy{id: id}
	}
	_, phase := math.Modf(float64(rank)*goldenRatio + float64(zone)*goldenRatio*goldenRatio)
	proxy.zone = zone
	proxy.pollAt = now + p.pollPeriod().Scale(phase)
	proxy.polledAt = 0
	proxy.reported = false
	p.proxies[id] = proxy
	p.coverageOf(zone).proxies++
	p.rowCount += proxy.rowCount
	p.polls.push(proxy)
}

// Leave stops polling a proxy. Outcomes that were already counted are still reported.
func (p *Pipeline) Leave(id fleet.ProxyID) {
	proxy := p.proxies[id]
	if proxy == nil {
		return
	}
	delete(p.proxies, id)
	if proxy.index != notInHeap {
		p.polls.remove(proxy)
	}
	p.coverageOf(proxy.zone).proxies--
	p.rowCount -= proxy.rowCount
	p.departed[id] = proxy
}

// pollPeriod returns the site's report interval, or a longer period if the counters of all proxies would exceed
// maxRowsPerSecond. As counters are cumulative, a longer period delays data but loses none.
func (p *Pipeline) pollPeriod() fleet.Time {
	needed := fleet.Second.Scale(float64(p.rowCount) / (maxRowsPerSecond * p.shedder.pollShare()))
	return max(p.site.ReportInterval, needed)
}

// Polls returns the proxies to poll now, and the time of the next call, 0 if no poll is scheduled. A proxy is not
// polled again until its answer was passed to AddReading, or it has left and rejoined.
func (p *Pipeline) Polls(now fleet.Time) (due []fleet.ProxyID, wake fleet.Time) {
	p.advance(now)
	period := p.pollPeriod()
	for len(p.polls) > 0 && p.polls[0].pollAt <= now {
		proxy := p.polls.pop()
		proxy.polledAt = now
		proxy.pollAt += period
		if proxy.pollAt <= now {
			proxy.skipMissedPolls(now, period)
		}
		due = append(due, proxy.id)
	}
	if len(p.polls) > 0 {
		wake = p.polls[0].pollAt
	}
	return due, wake
}

// skipMissedPolls moves the next poll into the future and keeps its phase in the period.
func (pp *polledProxy) skipMissedPolls(now, period fleet.Time) {
	pp.pollAt += ((now-pp.pollAt)/period + 1) * period
}

// answered schedules the next poll. A proxy that answers late keeps its phase in the period, so that the polls of many
// proxies that answer at once after a stall are spread again.
func (p *Pipeline) answered(proxy *polledProxy, reading *counters.Reading) {
	rows := max(len(reading.Entries), len(reading.Rows)) // "show stat" has a row for each class
	p.rowCount += rows - proxy.rowCount
	proxy.rowCount = rows
	if proxy.index != notInHeap {
		return
	}
	if proxy.pollAt <= p.now {
		proxy.skipMissedPolls(p.now, p.pollPeriod())
	}
	p.polls.push(proxy)
}

package ingest

import (
	"math"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	// maxRowsPerSecond is the number of counter rows per second that are requested. To read them takes a third of a core.
	maxRowsPerSecond = 500_000

	// goldenRatio spreads consecutive numbers evenly over a period.
	goldenRatio = 0.6180339887498949

	// minCounterGrowth is the least number of servers by which the counters of a proxy grow.
	minCounterGrowth = 16
)

// polledProxy is a proxy whose counters are polled.
type polledProxy struct {
	id       fleet.ProxyID
	zone     fleet.ZoneID
	pollAt   fleet.Time
	index    int // in the heap of polls; notInHeap while a poll is in flight
	polledAt fleet.Time
	rowCount int  // of its last reading
	reported bool // operators know that it doesn't answer

	hasReading bool
	readAt     fleet.Time // of the last reading
	servers    []counters.ServerCounters
	classes    []counters.ClassCounters
}

func (pp *polledProxy) heapIndex() *int { return &pp.index }

// before orders proxies by their next poll.
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

// Join begins to poll a proxy. The polls of a zone's proxies are spread evenly over the period, so that each second
// brings counters of each server from each zone, however long the period is. A proxy that comes back continues from
// its last counters unless it is fresh.
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

// Leave ends the polls of a proxy. What its counters added is reported all the same.
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

// pollPeriod is the site's report interval, or longer where the counters of all proxies would exceed
// maxRowsPerSecond. As counters are sums, a longer period loses nothing but time.
func (p *Pipeline) pollPeriod() fleet.Time {
	needed := fleet.Second.Scale(float64(p.rowCount) / (maxRowsPerSecond * p.shedder.pollShare()))
	return max(p.site.ReportInterval, needed)
}

// Polls returns the proxies to poll now, and when to call again. A proxy is not polled again until it has answered
// or left.
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

// skipMissedPolls moves the next poll into the future without a change of its place in the period.
func (pp *polledProxy) skipMissedPolls(now, period fleet.Time) {
	pp.pollAt += ((now-pp.pollAt)/period + 1) * period
}

// answered schedules the next poll. A proxy that answers late stays at its place in the period, so that many that
// answer at once after a stall are spread again.
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

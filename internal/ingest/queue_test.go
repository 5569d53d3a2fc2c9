package ingest

import (
	"math"
	"math/rand/v2"
	"testing"

	"cressknot/internal/fleet"
)

const (
	floodTick = 10 * millisecond

	// regularServers each push a record every second.
	regularServers = 90

	// listedServers is the number of listed servers. The flood uses those from floodingServer on.
	listedServers  = 700
	floodingServer = 99 // sends half of the flood
)

// flood pushes records of many sources, some of them invalid. Half of the records are of floodingServer.
func flood(q *Queue, rng *rand.Rand, now fleet.Time, count int) {
	batch := make([]Record, 0, 100)
	for i := range count {
		record := Record{
			Server:   fleet.ServerID(floodingServer + 1 + rng.IntN(600)),
			Stated:   now - fleet.Time(rng.IntN(9))*second,
			Arrived:  now,
			Attempts: uint64(rng.IntN(1e6)),
			HasLoad:  true,
			Load:     [4]float32{rng.Float32() * 9},
		}
		switch rng.IntN(4) {
		case 0, 1:
			record.Server = floodingServer
		case 2:
			record.Load[0] = float32(math.NaN())
			record.Failures = math.MaxUint64
		}
		batch = append(batch, record)
		if len(batch) == cap(batch) || i == count-1 {
			q.Put(now, batch)
			batch = batch[:0]
		}
	}
}

// floodResult holds the effects of a flood on the regular servers.
type floodResult struct {
	longestGap map[fleet.ServerID]fleet.Time // between two records that were taken
	longest    fleet.Time                    // longest time that a record of a regular server was queued
	totals     Totals
	queued     int // largest number of queued sources
}

// runFlood simulates ten seconds with perTick records of a flood in each tick.
func runFlood(perTick int) floodResult {
	result := floodResult{longestGap: map[fleet.ServerID]fleet.Time{}}
	p := New(testSite())
	q := &Queue{}
	rng := rand.New(rand.NewPCG(5, 5))
	proxy := newFakeProxy()
	p.Join(0, 1, 0, true)
	listAll(p, listedServers)
	last := map[fleet.ServerID]fleet.Time{}
	var records []Record
	for now := second; now < 11*second; now += floodTick {
		flood(q, rng, now, perTick)
		pushRegular(q, now)
		limit, _ := p.StepLimits()
		records = q.Take(limit, records[:0])
		for _, record := range records {
			p.AddRecord(now, record)
			if record.Server >= regularServers {
				continue
			}
			result.longest = max(result.longest, now-record.Arrived)
			if at := last[record.Server]; at > 0 {
				result.longestGap[record.Server] = max(result.longestGap[record.Server], now-at)
			}
			last[record.Server] = now
		}
		if now%second == 0 {
			proxy.attempt(1, 20, 2)
			p.AddReading(now, 1, proxy.reading(now))
		}
		queued, _, _ := q.Stats()
		result.queued = max(result.queued, queued)
		p.Reports(now)
		p.Examine(now)
	}
	result.totals = p.Totals()
	return result
}

// pushRegular pushes the records of the regular servers that are due.
func pushRegular(q *Queue, now fleet.Time) {
	const ticksPerSecond = second / floodTick
	for server := range fleet.ServerID(regularServers) {
		if (now/floodTick+fleet.Time(server))%ticksPerSecond == 0 {
			record := Record{Server: server, Stated: now, Arrived: now, Attempts: uint64(now / second), HasLoad: true}
			q.Put(now, []Record{record})
		}
	}
}

// A flood of 100,000 records per second for ten seconds must not starve other sources: the records of each regular
// server are taken within a second, the queue is no larger than the fleet, and the counters from polls are the same as
// without the flood.
func TestFloodStarvesNoSource(t *testing.T) {
	result := runFlood(1000)
	withoutFlood := runFlood(0)
	for server, gap := range result.longestGap {
		if gap > 2*second {
			t.Errorf("no record of server %d was taken for %.1f s", server, gap.Seconds())
		}
	}
	if result.longest > second || len(result.longestGap) != regularServers || result.queued > listedServers {
		t.Errorf("a record was queued for %.2f s, records of %d sources were taken, %d sources were queued at once",
			result.longest.Seconds(), len(result.longestGap), result.queued)
	}
	if result.totals.Counted != withoutFlood.totals.Counted || result.totals.Counted == 0 {
		t.Errorf("totals %+v, without the flood %+v", result.totals, withoutFlood.totals)
	}
}

func TestSourceOverItsRateIsToldToWait(t *testing.T) {
	q := &Queue{}
	for range 20 {
		reply := q.Put(second, []Record{{Server: 1}})
		if reply.Accepted == 0 && (reply.RetryAfter <= 0 || reply.RetryAfter > second || reply.Text == "") {
			t.Errorf("%+v", reply)
		}
	}
	if sources, records, dropped := q.Stats(); sources != 1 || records != 20 || dropped != 12 {
		t.Errorf("%d sources queued, %d records received, %d dropped", sources, records, dropped)
	}
}

// BenchmarkPushed measures putting, taking and adding a record.
func BenchmarkPushed(b *testing.B) {
	p := New(testSite())
	q := &Queue{}
	batch := make([]Record, listedServers)
	now := second
	var taken []Record
	round := func() {
		now += second
		for i := range batch {
			batch[i] = Record{
				Server: fleet.ServerID(i), Stated: now, Arrived: now, Attempts: uint64(now), HasLoad: true}
		}
		q.Put(now, batch)
		taken = q.Take(1000, taken[:0])
		for _, record := range taken {
			p.AddRecord(now, record)
		}
		p.Reports(now)
	}
	for range 10 {
		round()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += len(batch) {
		round()
	}
}

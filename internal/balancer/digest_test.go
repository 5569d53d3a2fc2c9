package balancer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand"
	"testing"

	"cressknot/internal/fleet"
)

// orderDigest sums up a stream of orders. Its encoding depends on no name of a Go type or field, so that it stays the
// same when these are renamed.
type orderDigest struct{ sum hash.Hash }

func newOrderDigest() *orderDigest { return &orderDigest{sum: sha256.New()} }

func (d *orderDigest) put(kind byte, numbers ...uint64) {
	text := []byte{kind, byte(len(numbers))}
	for _, n := range numbers {
		text = binary.LittleEndian.AppendUint64(text, n)
	}
	d.sum.Write(text)
}

func (d *orderDigest) text(text string) {
	d.put('s', uint64(len(text)))
	d.sum.Write([]byte(text))
}

func bit(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

func float(v float32) uint64 { return uint64(math.Float32bits(v)) }

// step adds the orders of one step.
func (d *orderDigest) step(now fleet.Time, orders []fleet.Order) {
	d.put('t', uint64(now), uint64(len(orders)))
	for _, order := range orders {
		switch o := order.(type) {
		case fleet.SetTimer:
			d.put(1, uint64(o.Delay), uint64(o.ID))
		case fleet.ProbeServer:
			d.put(2, uint64(o.Server))
		case fleet.SendToPeer:
			d.put(3, uint64(o.To))
			d.text(string(o.Data))
		case fleet.LogMessage:
			d.put(4)
			d.text(o.Text)
		case fleet.WatchEndpoints:
			d.put(5, bit(o.Enabled))
		case fleet.FetchEndpoints:
			d.put(6)
		case fleet.SetWeight:
			d.put(7, uint64(o.Table), uint64(o.Server), float(o.Weight))
		case fleet.ClearTable:
			d.put(8, uint64(o.Table))
		case fleet.WithdrawServer:
			d.put(9, uint64(o.Server), bit(o.Withdrawn))
		case fleet.AssignTable:
			d.put(10, uint64(o.Proxy), uint64(o.Table), uint64(o.Classes))
		case fleet.SetAdmission:
			d.put(11, uint64(o.Table), uint64(o.Classes), float(o.Limit), uint64(o.Retry))
		case fleet.Barrier:
			d.put(12, uint64(o.ID), bit(o.AllProxies))
		default:
			panic(fmt.Sprintf("order %T has no place in the digest", order))
		}
	}
}

func (d *orderDigest) String() string { return hex.EncodeToString(d.sum.Sum(nil)[:12]) }

// TestOrdersOfSimulatedDaysStayTheSame plays days of the simulated fleet, mishaps, unconfirmed orders and restarts among
// them, and compares the whole order stream with the one recorded before the module was renamed and parted. The digests
// are those of amd64: other processors may fuse a multiplication with an addition and round differently.
func TestOrdersOfSimulatedDaysStayTheSame(t *testing.T) {
	for _, day := range []struct {
		seed             int64
		servers, proxies int
		seconds          int
		mishaps, unsure  float64
		slower           float64
		want             string
	}{
		{seed: 1, servers: 6, proxies: 5, seconds: 60, mishaps: 1.5, slower: 1, want: "bfbe9d3e8cf62412ceeabf32"},
		{seed: 2, servers: 8, proxies: 5, seconds: 60, mishaps: 1.5, slower: 1, want: "c00dd575fc4505547dce7a26"},
		{seed: 3, servers: 10, proxies: 5, seconds: 60, mishaps: 0, slower: 1, want: "0126d9a0f1322561643bda5b"},
		{seed: 4, servers: 12, proxies: 40, seconds: 60, mishaps: 2, slower: 1, want: "52c5d761b8d629c3dad78465"},
		{seed: 5, servers: 30, proxies: 120, seconds: 40, mishaps: 1, slower: 1, want: "0e50b937f008d74ad1221341"},
		{seed: 6, servers: 10, proxies: 30, seconds: 60, mishaps: 1, unsure: 0.1, slower: 1, want: "ef27c91a6b7d79f72ec48fbc"},
		{seed: 7, servers: 10, proxies: 60, seconds: 60, mishaps: 0.5, slower: 4, want: "c85ab3811c5d0464e7b800b3"},
		{seed: 8, servers: 14, proxies: 9, seconds: 60, mishaps: 3, unsure: 0.05, slower: 1, want: "86e39d0a7202f4c35dcbc74e"},
	} {
		t.Run(fmt.Sprintf("seed %d", day.seed), func(t *testing.T) {
			digest := newOrderDigest()
			y := newSimulatedFleet(day.seed, day.servers, day.proxies)
			y.observeOrders = digest.step
			y.unconfirmedFraction, y.channelSlowdown = day.unsure, day.slower
			y.run(day.seconds, day.mishaps)
			if got := digest.String(); got != day.want {
				t.Errorf("seed %d: digest %s, recorded was %s", day.seed, got, day.want)
			}
		})
	}
}

// TestOrdersOfRandomEventsStayTheSame gives the module events of all kinds, sensible or not, under sites that differ in
// all modes, and compares the order stream with the recorded one.
func TestOrdersOfRandomEventsStayTheSame(t *testing.T) {
	for _, day := range []struct {
		seed int64
		site func(*fleet.Site)
		want string
	}{
		{seed: 1, site: func(s *fleet.Site) { s.Admission, s.ListOnRequest = fleet.AdmissionUnlimited, true }, want: "f28fd8fa9e219b559c9c53ba"},
		{seed: 2, site: func(s *fleet.Site) { s.Admission, s.ListOnRequest = fleet.AdmissionFraction, false }, want: "edb313cffa3e6761a12d2cb0"},
		{seed: 3, site: func(s *fleet.Site) { s.Admission, s.ProxyOutlierFailures = fleet.AdmissionRate, 3 }, want: "7c328b59167ee90ca48c0bd9"},
		{seed: 4, site: func(s *fleet.Site) { s.LoadReports, s.ProbesAllowed = fleet.LoadReportOnProbe, true }, want: "78b30254b46ebf40009565c8"},
		{seed: 5, site: func(s *fleet.Site) { s.ListWeight, s.ProxyCount, s.MinServerConnections = fleet.ListWeightLive, 40, 10 }, want: "e3c8478819d56a2e271c2afc"},
		{seed: 6, site: func(s *fleet.Site) { s.SliceCount, s.PeersAllowed = 8, true }, want: "94f524d1bb83ebfcc5b7f2d9"},
		{seed: 7, site: func(s *fleet.Site) { s.LoadFields, s.MaxMessages, s.MaxBacklog = nil, 0, 200 }, want: "92e3e67cc0f3493f16fd6886"},
	} {
		t.Run(fmt.Sprintf("seed %d", day.seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(day.seed))
			site := testSite(rng)
			site.ProxyCount = 20
			day.site(&site)
			digest := newOrderDigest()
			g := New(site, rng.Uint64())
			now := 50 * fleet.Second
			var last []fleet.Order
			for range 500 {
				now += fleet.Time(rng.Intn(400)) * fleet.Millisecond
				var events []fleet.Event
				for range rng.Intn(30) {
					events = append(events, randomEvent(rng, now, last))
				}
				orders := g.Step(now, events)
				digest.step(now, orders)
				last = append(last[:0:0], orders...)
			}
			if got := digest.String(); got != day.want {
				t.Errorf("seed %d: digest %s, recorded was %s", day.seed, got, day.want)
			}
		})
	}
}

// randomEvent makes an event of any kind; last are the orders of the step before.
func randomEvent(rng *rand.Rand, now fleet.Time, last []fleet.Order) fleet.Event {
	server := func() fleet.ServerID { return fleet.ServerID(1 + rng.Intn(12)) }
	proxy := func() fleet.ProxyID { return fleet.ProxyID(rng.Intn(20)) }
	class := func() fleet.ClassID { return fleet.ClassID(rng.Intn(3)) }
	load := func() []float32 { return []float32{float32(rng.Intn(9)), rng.Float32() * 1.1} }
	span := func() fleet.Time { return fleet.Time(200+rng.Intn(2000)) * fleet.Millisecond }
	switch kind := rng.Intn(40); {
	case kind == 0:
		l := fleet.EndpointList{Scope: fleet.ListScope(rng.Intn(4)), Revision: fleet.ListRevision(rng.Intn(99))}
		for id := range fleet.ServerID(12) {
			if l.Scope == fleet.ListFailed || l.Scope == fleet.ListDelta && rng.Intn(6) > 0 || rng.Intn(20) == 0 {
				continue
			}
			e := fleet.Endpoint{Server: id + 1, Zone: fleet.ZoneID(id % 3), Kind: fleet.KindID(id % 2), Weight: 0.5 + rng.Float64()}
			if rng.Intn(15) == 0 {
				e.State = fleet.ServerState(rng.Intn(3))
			}
			if rng.Intn(8) == 0 {
				e.Started = now - fleet.Time(rng.Intn(20))*fleet.Second
			}
			l.Endpoints = append(l.Endpoints, e)
		}
		return l
	case kind == 1:
		return fleet.TimerFired{ID: fleet.TimerID(rng.Intn(3))}
	case kind == 2:
		return fleet.ProbeResult{Server: server(), Outcome: fleet.ProbeOutcome(rng.Intn(7)), Duration: span(), Load: load()}
	case kind == 3:
		return fleet.PeerMessage{From: 2, Data: []byte("hi")}
	case kind <= 8:
		return fleet.ProxyJoined{Proxy: proxy(), Zone: fleet.ZoneID(rng.Intn(3)), RequestRate: 10 * rng.Float64(), Fresh: rng.Intn(2) == 0}
	case kind == 9 && rng.Intn(2) == 0:
		return fleet.ProxyLeft{Proxy: proxy()}
	case kind == 10:
		return fleet.SliceDemandReport{Slice: fleet.TableID(rng.Intn(8)), Class: class(), Requests: uint32(rng.Intn(9)), Interval: span()}
	case kind == 11:
		return fleet.SliceAssigned{Slice: fleet.TableID(rng.Intn(8)), Assigned: rng.Intn(2) == 0}
	case kind == 12:
		return fleet.StoredEntry{Slice: fleet.TableID(rng.Intn(8)), Server: server(), Weight: rng.Float64()}
	case kind <= 17:
		return fleet.BarrierReached{Proxy: proxy(), Barrier: fleet.BarrierID(rng.Intn(200)), Delay: span()}
	case kind == 18 && rng.Intn(3) == 0:
		return fleet.OrdersUnconfirmed{Orders: append([]fleet.Order(nil), last...)}
	case kind <= 28:
		tries := uint32(rng.Intn(30))
		return fleet.OutcomeReport{Server: server(), Attempts: tries, Failures: uint32(rng.Intn(int(tries/4) + 1)), Latency: span() / 4, Interval: span(),
			Zone: fleet.ZoneID(rng.Intn(3)), Load: load()}
	}
	return fleet.DemandReport{Proxy: proxy(), Class: class(), Requests: uint32(rng.Intn(40)), Unanswered: uint32(rng.Intn(3)), Interval: span()}
}

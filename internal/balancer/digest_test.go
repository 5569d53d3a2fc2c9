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

// orderDigest is a hash of a sequence of orders. Its encoding does not depend on the names of Go types or fields, so
// that renaming them does not change it.
type orderDigest struct {
	hash         hash.Hash
	masksLogText bool // the texts of log messages are omitted, their positions are kept
}

func newOrderDigest() *orderDigest { return &orderDigest{hash: sha256.New()} }

// newMaskedDigest returns a digest that does not depend on the wording of log messages.
func newMaskedDigest() *orderDigest { return &orderDigest{hash: sha256.New(), masksLogText: true} }

// put adds a record that consists of a kind and numbers.
func (d *orderDigest) put(kind byte, numbers ...uint64) {
	record := []byte{kind, byte(len(numbers))}
	for _, number := range numbers {
		record = binary.LittleEndian.AppendUint64(record, number)
	}
	d.hash.Write(record)
}

// text adds a string.
func (d *orderDigest) text(text string) {
	d.put('s', uint64(len(text)))
	d.hash.Write([]byte(text))
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func floatBits(value float32) uint64 { return uint64(math.Float32bits(value)) }

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
			if !d.masksLogText {
				d.text(o.Text)
			}
		case fleet.WatchEndpoints:
			d.put(5, bit(o.Enabled))
		case fleet.FetchEndpoints:
			d.put(6)
		case fleet.SetWeight:
			d.put(7, uint64(o.Table), uint64(o.Server), floatBits(o.Weight))
		case fleet.ClearTable:
			d.put(8, uint64(o.Table))
		case fleet.WithdrawServer:
			d.put(9, uint64(o.Server), bit(o.Withdrawn))
		case fleet.AssignTable:
			d.put(10, uint64(o.Proxy), uint64(o.Table), uint64(o.Classes))
		case fleet.SetAdmission:
			d.put(11, uint64(o.Table), uint64(o.Classes), floatBits(o.Limit), uint64(o.Retry))
		case fleet.Barrier:
			d.put(12, uint64(o.ID), bit(o.AllProxies))
		default:
			panic(fmt.Sprintf("order %T has no encoding in the digest", order))
		}
	}
}

func (d *orderDigest) String() string { return hex.EncodeToString(d.hash.Sum(nil)[:12]) }

// checkDigest compares a digest with the recorded one.
func checkDigest(t *testing.T, name string, digest *orderDigest, want string) {
	t.Helper()
	if got := digest.String(); got != want {
		t.Errorf("%s is %s, recorded %s", name, got, want)
	}
}

// TestOrdersOfSimulatedFleetsStayTheSame runs simulated fleets with faults, unconfirmed orders and restarts, and
// compares the digest of all orders with the recorded one. The digests are those of amd64: other processors may fuse
// a multiplication with an addition and round differently.
func TestOrdersOfSimulatedFleetsStayTheSame(t *testing.T) {
	for _, run := range []struct {
		seed                int64
		servers             int
		proxies             int
		seconds             int
		faultsPerSecond     float64
		unconfirmedFraction float64
		channelSlowdown     float64
		want                string
		wantMasked          string
	}{
		{1, 6, 5, 60, 1.5, 0, 1, "3123c6472221c25241384a6b", "2ecdf253370f0ef07449f28f"},
		{2, 8, 5, 60, 1.5, 0, 1, "c5ec88daa22679d6e1e77f20", "fb96f542f7cf463123f10d93"},
		{3, 10, 5, 60, 0, 0, 1, "0126d9a0f1322561643bda5b", "0126d9a0f1322561643bda5b"},
		{4, 12, 40, 60, 2, 0, 1, "1f5dc31a6e8a2f039dbf53a5", "e995fbd5a97e999a88e2c4a8"},
		{5, 30, 120, 40, 1, 0, 1, "c454425112a4c07eeaa43fbf", "dff73b0c825e942f1f07c319"},
		{6, 10, 30, 60, 1, 0.1, 1, "84cd1489c329cf279a84033c", "d5565b6e1903636bb3672586"},
		{7, 10, 60, 60, 0.5, 0, 4, "18fc793b982842690cca3671", "bc5a765d59244ba646883a6a"},
		{8, 14, 9, 60, 3, 0.05, 1, "f511d04c45f25c623296fb1f", "308c5ff3d622c7af1875302f"},
	} {
		t.Run(fmt.Sprintf("seed %d", run.seed), func(t *testing.T) {
			digest := newOrderDigest()
			sim := newSimulatedFleet(run.seed, run.servers, run.proxies)
			masked := newMaskedDigest()
			sim.observeOrders = func(now fleet.Time, orders []fleet.Order) {
				digest.step(now, orders)
				masked.step(now, orders)
			}
			sim.unconfirmedFraction = run.unconfirmedFraction
			sim.channelSlowdown = run.channelSlowdown
			sim.run(run.seconds, run.faultsPerSecond)
			checkDigest(t, "digest", digest, run.want)
			checkDigest(t, "digest without log texts", masked, run.wantMasked)
		})
	}
}

// TestOrdersOfRandomEventsStayTheSame steps the balancer with random events of all kinds, valid or not, on sites with
// different modes, and compares the digest of all orders with the recorded one.
func TestOrdersOfRandomEventsStayTheSame(t *testing.T) {
	for _, run := range []struct {
		seed      int64
		configure func(*fleet.Site)
		want      string
		// wantMasked is the digest without the texts of log messages.
		wantMasked string
	}{
		{1, func(site *fleet.Site) {
			site.Admission = fleet.AdmissionUnlimited
			site.ListOnRequest = true
		}, "e24b8f07131d99af115f3e3c", "68df0805b7c29faa1a439f33"},
		{2, func(site *fleet.Site) {
			site.Admission = fleet.AdmissionFraction
			site.ListOnRequest = false
		}, "49e3e3733af7abe84eb55c5d", "cb210cfe42023125392f7414"},
		{3, func(site *fleet.Site) {
			site.Admission = fleet.AdmissionRate
			site.ProxyOutlierFailures = 3
		}, "9a46832d0eec0464db5e6514", "74efcc428165ce10c706292b"},
		{4, func(site *fleet.Site) {
			site.LoadReports = fleet.LoadReportOnProbe
			site.ProbesAllowed = true
		}, "16d44f6dcc356fb409782ef3", "a9d97c7cf70a1b601f08b354"},
		{5, func(site *fleet.Site) {
			site.ListWeight = fleet.ListWeightLive
			site.ProxyCount = 40
			site.MinServerConnections = 10
		}, "a93b9aa9cb2df3044e8c5444", "77eccbf2852bc47a4fdb7ea6"},
		{6, func(site *fleet.Site) {
			site.SliceCount = 8
			site.PeersAllowed = true
		}, "9aa5ff4b126e7bd7a3be4991", "45e81f63a377e7e01bcb7b59"},
		{7, func(site *fleet.Site) {
			site.LoadFields = nil
			site.MaxMessages = 0
			site.MaxBacklog = 200
		}, "ee3ee9f11b9816136aa77146", "ee3ee9f11b9816136aa77146"},
	} {
		t.Run(fmt.Sprintf("seed %d", run.seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(run.seed))
			site := testSite(rng)
			site.ProxyCount = 20
			run.configure(&site)
			digest, masked := randomEventsDigests(rng, site)
			checkDigest(t, "digest", digest, run.want)
			checkDigest(t, "digest without log texts", masked, run.wantMasked)
		})
	}
}

// randomEventsDigests returns the digests, with and without the texts of log messages, of the orders that a balancer
// emits for 500 batches of random events.
func randomEventsDigests(rng *rand.Rand, site fleet.Site) (digest, masked *orderDigest) {
	digest = newOrderDigest()
	masked = newMaskedDigest()
	balancer := New(site, rng.Uint64())
	now := 50 * fleet.Second
	var lastOrders []fleet.Order
	for range 500 {
		now += fleet.Time(rng.Intn(400)) * fleet.Millisecond
		var events []fleet.Event
		for range rng.Intn(30) {
			events = append(events, randomEvent(rng, now, lastOrders))
		}
		orders := balancer.Step(now, events)
		digest.step(now, orders)
		masked.step(now, orders)
		lastOrders = append(lastOrders[:0:0], orders...)
	}
	return digest, masked
}

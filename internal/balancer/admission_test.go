package balancer

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// Guards against cutting admission for lost answers: servers that lose some of their answers but have spare capacity
// must not make the fleet look too small.
func TestLostAnswersKeepAdmission(t *testing.T) {
	b := newMeasuredBalancer([]float64{10, 10}, []float64{0.6, 0.6})
	b.site.Admission = fleet.AdmissionFraction
	for id := range fleet.ServerID(2) {
		b.endpoints.byID[id+1].samples[0].successes *= 0.7
	}
	b.Step(2*fleet.Second, nil)
	if admitted := b.classes[0].admittedFraction; admitted < 1 {
		t.Errorf("admitted fraction %.2f at a utilization of 0.6", admitted)
	}
}

// A rate limit that admits a fraction of the demand must limit only the proxies with the highest rates.
func TestProxyRateLimitSparesSmallProxies(t *testing.T) {
	b := New(fleet.Site{
		Zones:     []string{"a"},
		Classes:   make([]fleet.RequestClass, 1),
		Admission: fleet.AdmissionRate,
	}, 1)
	for id, requests := range []uint32{1, 3, 8} {
		proxy := fleet.ProxyID(id)
		b.handleEvent(fleet.ProxyJoined{Proxy: proxy, Fresh: true})
		b.handleEvent(fleet.DemandReport{Proxy: proxy, Requests: requests, Interval: fleet.Second})
	}
	b.classes[0].demand = 12
	b.classes[0].admittedFraction = 0.75 // 9 per second: 1, 3 and 5
	if got := b.admissionLimit(0); math.Abs(got-5) > 1e-9 {
		t.Errorf("limit %v, want 5", got)
	}
}

// Guards against limits that overfill the update channel: each order of a limit costs a message to all proxies.
func TestAdmissionOrdersNeedChannelCapacity(t *testing.T) {
	b := newMeasuredBalancer([]float64{10, 10}, []float64{0.6, 0.6})
	b.site.Admission = fleet.AdmissionFraction
	b.updateFleet()
	b.classes[0].admittedFraction = 0.5
	b.classes[0].demand = 20
	b.channel.nextChangesAt = 0
	if count := publishedLimits(b, 0.6*b.site.MaxBacklog); count != 0 {
		t.Errorf("%d limits emitted into a full channel, want none", count)
	}
	if count := publishedLimits(b, 0.2*b.site.MaxBacklog); count != 1 {
		t.Errorf("%d limits emitted into a channel with capacity, want 1", count)
	}
}

// publishedLimits returns the number of limits that a balancer emits with a given backlog in the update channel.
func publishedLimits(b *Balancer, backlog float64) int {
	b.orders = nil
	b.channel.entriesSent = b.channel.entriesDelivered + backlog
	b.publish()
	count := 0
	for _, order := range b.orders {
		if _, isLimit := order.(fleet.SetAdmission); isLimit {
			count++
		}
	}
	return count
}

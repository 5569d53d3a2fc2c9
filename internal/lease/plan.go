// Package lease decides which controller serves which proxy when several controllers share proxies. Leases are stored
// in the proxies: each controller has its own entry in the map of a proxy, with the epoch of its last takeover and a
// heartbeat count. The entry with the highest epoch holds the lease.
//
// To take over, a controller writes its entry, ends all other sessions at the proxy, and reads the entries again.
// Ending a session discards what an earlier holder had in flight, and a session opened later reads the new entry.
// Therefore two controllers never control one proxy at the same time, even if they cannot reach each other.
//
// The package does no I/O and reads no clock. docs/design/leases.md describes the alternatives and the exhaustive
// search of the protocol.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOverload bounds the request rate of a controller, relative to an even part. A smaller bound moves more proxies
	// when controllers join or leave.
	maxOverload = 1.1
	// minRequestRate is the least rate that a proxy is planned with, in requests per second, so that a proxy of
	// unknown rate counts.
	minRequestRate = 0.001
)

// Rank orders controllers for a proxy by rendezvous hashing, the preferred one first. A controller that joins or
// leaves moves only its own proxies.
func Rank(proxy string, controllers []string) []string {
	score := func(controller string) uint64 { return xxhash.Sum64String(controller + "\x00" + proxy) }
	ranked := slices.Clone(controllers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), strings.Compare(a, b))
	})
	return ranked
}

// ProxyLoad is a proxy and its usual request rate.
type ProxyLoad struct {
	Proxy       string
	RequestRate float64 // requests per second; 0: unknown
}

func (l ProxyLoad) rate() float64 { return max(minRequestRate, l.RequestRate) }

// Plan returns the controllers of each proxy in order of preference, so that the preferred ones have about equal
// request rates. The order is that of Rank, except that the preferred controller is the first one with room below the
// limit, or the least loaded one if none has room. The result depends on the names and rates alone, not on the order
// of proxies, so that all controllers compute the same plan.
func Plan(proxies []ProxyLoad, controllers []string) map[string][]string {
	limit := maxControllerRate(proxies, len(controllers))
	rates := map[string]float64{} // by controller
	plan := make(map[string][]string, len(proxies))
	for _, proxy := range inPlanOrder(proxies) {
		ranked := Rank(proxy.Proxy, controllers)
		preferred := slices.IndexFunc(ranked, func(controller string) bool {
			return rates[controller]+proxy.rate() <= limit
		})
		if preferred < 0 { // no controller has room for this proxy
			least := slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(rates[a], rates[b]) })
			preferred = slices.Index(ranked, least)
		}
		controller := ranked[preferred]
		rates[controller] += proxy.rate()
		plan[proxy.Proxy] = slices.Insert(slices.Delete(ranked, preferred, preferred+1), 0, controller)
	}
	return plan
}

// maxControllerRate returns the request rate up to which a controller is preferred: maxOverload times an even part,
// or an even part and half of the largest proxy where that is more.
func maxControllerRate(proxies []ProxyLoad, controllers int) float64 {
	total, largest := 0.0, 0.0
	for _, proxy := range proxies {
		total += proxy.rate()
		largest = max(largest, proxy.RequestRate)
	}
	evenRate := total / float64(max(1, controllers))
	return max(maxOverload*evenRate, evenRate+largest/2)
}

// inPlanOrder returns proxies in an order that is the same at all controllers and does not change for the other
// proxies when one is added or removed.
func inPlanOrder(proxies []ProxyLoad) []ProxyLoad {
	ordered := slices.Clone(proxies)
	slices.SortFunc(ordered, func(a, b ProxyLoad) int {
		byHash := cmp.Compare(xxhash.Sum64String(a.Proxy), xxhash.Sum64String(b.Proxy))
		return cmp.Or(byHash, strings.Compare(a.Proxy, b.Proxy))
	})
	return ordered
}

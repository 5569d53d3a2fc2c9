// Package lease decides which controller serves which proxy when several could. The proxies themselves store the
// leases: each controller has an entry of its own in the proxy's map, with the epoch of its last takeover and a
// heartbeat, and the highest epoch holds the lease.
//
// A controller takes over by writing its entry, then ending all other sessions at the proxy, then reading the
// entries again. What an earlier holder had in flight ends with its session, and a session that began later sees
// the entry. So two controllers never steer one proxy, whatever they know of each other.
//
// The package is pure. docs/design/leases.md describes the alternatives and the exhaustive search of the protocol.
package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOverload bounds the demand of a controller, relative to an even part. A smaller bound moves more proxies.
	maxOverload = 1.1
	// minRequestRate is assumed of proxies without known demand, in requests per second.
	minRequestRate = 0.001
)

// Rank orders controllers for a proxy by rendezvous hashing, the preferred one first. A controller that comes or
// goes moves only its own proxies.
func Rank(proxy string, controllers []string) []string {
	score := func(controller string) uint64 { return xxhash.Sum64String(controller + "\x00" + proxy) }
	ranked := slices.Clone(controllers)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), strings.Compare(a, b))
	})
	return ranked
}

// ProxyLoad is a proxy with the requests per second that it usually receives.
type ProxyLoad struct {
	Proxy       string
	RequestRate float64
}

func (l ProxyLoad) rate() float64 { return max(minRequestRate, l.RequestRate) }

// Plan orders controllers for each proxy, the preferred one first, so that each serves about the same demand: by
// Rank, but a controller with more than maxOverload of an even part comes after those with room. The result depends
// on the names and rates alone.
func Plan(proxies []ProxyLoad, controllers []string) map[string][]string {
	limit := maxControllerRate(proxies, len(controllers))
	rates := map[string]float64{} // by controller
	plan := make(map[string][]string, len(proxies))
	for _, proxy := range inPlanOrder(proxies) {
		ranked := Rank(proxy.Proxy, controllers)
		preferred := slices.IndexFunc(ranked, func(controller string) bool {
			return rates[controller]+proxy.rate() <= limit
		})
		if preferred < 0 { // none has room for all of it
			least := slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(rates[a], rates[b]) })
			preferred = slices.Index(ranked, least)
		}
		controller := ranked[preferred]
		rates[controller] += proxy.rate()
		plan[proxy.Proxy] = slices.Insert(slices.Delete(ranked, preferred, preferred+1), 0, controller)
	}
	return plan
}

func maxControllerRate(proxies []ProxyLoad, controllers int) float64 {
	total, largest := 0.0, 0.0
	for _, proxy := range proxies {
		total += proxy.rate()
		largest = max(largest, proxy.RequestRate)
	}
	evenRate := total / float64(max(1, controllers))
	return max(maxOverload*evenRate, evenRate+largest/2)
}

// inPlanOrder returns proxies in an order that is the same for all controllers, and that stays the same for the
// others when one comes or goes.
func inPlanOrder(proxies []ProxyLoad) []ProxyLoad {
	ordered := slices.Clone(proxies)
	slices.SortFunc(ordered, func(a, b ProxyLoad) int {
		byHash := cmp.Compare(xxhash.Sum64String(a.Proxy), xxhash.Sum64String(b.Proxy))
		return cmp.Or(byHash, strings.Compare(a.Proxy, b.Proxy))
	})
	return ordered
}

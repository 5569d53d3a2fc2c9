package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/testing/fakes"
)

const (
	// cacheAge is the age that cached lists get.
	cacheAge = 24 * time.Hour
	// serveTimeout is how long a start without discovery may take.
	serveTimeout = 10 * time.Second
	// proxyDownTime is how long the proxies are down.
	proxyDownTime = time.Second
	// outageCheckInterval and shiftInterval are the times between two checks during and after the outage.
	outageCheckInterval = 5 * checkInterval
	shiftInterval       = 10 * checkInterval
	// shiftSamples is how many times the shift of weights is sampled, shiftDistance how many samples apart it is compared.
	shiftSamples  = 100
	shiftDistance = 10
	// staleAddrPrefix begins addresses on which no server listens.
	staleAddrPrefix = "127.0.1."
	// reusedAddrInterval is every how many stale entries one has the address of a present server.
	reusedAddrInterval = 4
	// damagedBytes is how much is cut from the end of a cached list.
	damagedBytes = 10
)

// discoveryOutage kills all controllers while the endpoint source is down and makes their cached lists a day old,
// with as many stale entries and a damaged end. It restarts all proxies with their initial tables, then the
// controllers. It measures how they fare, and what happens when the source returns.
func (r *runner) discoveryOutage(ctx context.Context, spec FaultSpec) {
	result := &DiscoveryOutage{}
	defer func() {
		slices.Sort(result.Served)
		slices.Sort(result.LiveAfter)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.DiscoveryOutage = result
	}()
	r.lister.Fail(true)
	for _, c := range r.controllers {
		r.kill(c)
		if err := ageCache(r.cachePath(c)); err != nil {
			r.reportProblem("%v", err)
		}
	}
	r.restartProxies(ctx)
	began := time.Now()
	r.restartControllers(r.controllers)
	r.measureOutage(ctx, began, time.Duration(spec.Duration), result)
	returned := time.Now()
	r.lister.Fail(false)
	r.measureReturn(ctx, returned, result)
	r.measureShift(ctx, result)
}

func (r *runner) restartProxies(ctx context.Context) {
	for _, proxy := range r.proxies {
		proxy.Down()
	}
	sleep(ctx, proxyDownTime)
	for _, proxy := range r.proxies {
		if err := proxy.Up(); err != nil {
			r.reportProblem("%v", err)
		}
	}
}

// measureOutage measures when proxies get tables, what these have, and how requests fare.
func (r *runner) measureOutage(
	ctx context.Context,
	began time.Time,
	duration time.Duration,
	result *DiscoveryOutage,
) {
	waiting := slices.Clone(r.proxies)
	inTimeBefore, requestsBefore := 0, 0
	measured := false
	for time.Since(began) < duration && sleep(ctx, outageCheckInterval) {
		waiting = slices.DeleteFunc(waiting, func(proxy *fakes.Proxy) bool {
			served := proxy.MapEntry(r.versionKey()) != ""
			if served {
				result.Served = append(result.Served, time.Since(began).Seconds())
			}
			return served
		})
		if !measured && time.Since(began) >= serveTimeout {
			measured = true
			inTimeBefore, requestsBefore = r.tally.sums()
			result.StaleEntries = r.countStaleEntries()
		}
	}
	result.NeverServed = len(waiting)
	inTime, requests := r.tally.sums()
	if requests > requestsBefore {
		result.InTimeFraction = float64(inTime-inTimeBefore) / float64(requests-requestsBefore)
	}
}

// countStaleEntries counts usable entries of servers that are gone.
func (r *runner) countStaleEntries() int {
	count := 0
	for _, proxy := range r.proxies {
		for name, part := range proxy.Weights(r.firstClass()) {
			if part > 0 && strings.HasPrefix(proxy.Addr(r.firstClass(), name), staleAddrPrefix) {
				count++
			}
		}
	}
	return count
}

// measureReturn measures when each controller uses the list of the source that has returned.
func (r *runner) measureReturn(ctx context.Context, returned time.Time, result *DiscoveryOutage) {
	for _, c := range r.controllers {
		for sleep(ctx, checkInterval) {
			text, err := ask(c.socket, "show log\n")
			if err == nil && strings.Contains(text, "source is back") {
				result.LiveAfter = append(result.LiveAfter, time.Since(returned).Seconds())
				break
			}
		}
	}
}

// measureShift measures for ten seconds how weights move within a second.
func (r *runner) measureShift(ctx context.Context, result *DiscoveryOutage) {
	var history []map[string]float64
	for range shiftSamples {
		parts := map[string]float64{}
		for _, proxy := range r.proxies {
			for name, part := range proxy.Weights(r.firstClass()) {
				parts[name] += part / float64(len(r.proxies))
			}
		}
		history = append(history, parts)
		if len(history) > shiftDistance {
			result.addShift(history[len(history)-1-shiftDistance], parts, len(r.nodes))
		}
		if !sleep(ctx, shiftInterval) {
			return
		}
	}
}

// addShift compares the parts of servers at two times.
func (d *DiscoveryOutage) addShift(before, after map[string]float64, nodes int) {
	sum := 0.0
	for name, part := range after {
		gain := part - before[name]
		sum += max(0, gain)
		d.MaxGain = max(d.MaxGain, gain*float64(nodes))
	}
	d.MaxShift = max(d.MaxShift, sum)
}

// ageCache makes a cached list a day old, with a stale entry for each server and a damaged end.
func ageCache(path string) error {
	cached, problems := discovery.ReadCache(path)
	if len(cached) == 0 {
		return fmt.Errorf("%s: no cached endpoint list: %v", path, problems)
	}
	list := discovery.EndpointList{Revision: cached[0].Revision}
	index := 0
	for _, endpoint := range cached[0].Entries {
		list.Endpoints = append(list.Endpoints, endpoint, staleEndpoint(endpoint, index))
		index++
	}
	list.Endpoints = append(list.Endpoints, discovery.Endpoint{
		Name: "zz-damaged",
		Addr: staleAddrPrefix + "251:1",
		Zone: list.Endpoints[0].Zone,
	})
	slices.SortFunc(list.Endpoints, func(a, b discovery.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	writtenAt := fleet.Time(time.Now().Add(-cacheAge).UnixNano())
	if err := discovery.WriteCache(path, list, writtenAt); err != nil {
		return err
	}
	// The previous file has the true list.
	if err := os.Remove(path + ".before"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text[:len(text)-damagedBytes], fileMode)
}

// staleEndpoint returns an endpoint of a server that is gone. Some have the address of a present server.
func staleEndpoint(present discovery.Endpoint, index int) discovery.Endpoint {
	stale := present
	stale.Name = "ghost-" + present.Name
	if index%reusedAddrInterval > 0 {
		stale.Addr = fmt.Sprintf("%s%d:1", staleAddrPrefix, index%250)
	}
	if !present.Started.IsZero() {
		stale.Started = present.Started.Add(-time.Hour)
	}
	return stale
}

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
	// cacheAge is the age that the cached endpoint lists are given.
	cacheAge = 24 * time.Hour
	// serveTimeout bounds the time from a start without the endpoint source until proxies have tables. The stale entries
	// and the requests are measured from then on.
	serveTimeout = 10 * time.Second
	// proxyDownTime is how long the proxies are down.
	proxyDownTime = time.Second
	// outageCheckInterval and shiftInterval are the intervals of checks during the outage and after it.
	outageCheckInterval = 5 * checkInterval
	shiftInterval       = 10 * checkInterval
	// shiftSamples is the number of weight samples after the outage. Each is compared with the one shiftDistance samples
	// before, so that shiftDistance*shiftInterval is one second.
	shiftSamples  = 100
	shiftDistance = 10
	// staleAddrPrefix is the prefix of addresses on which no server listens.
	staleAddrPrefix = "127.0.1."
	// reusedAddrInterval: every n-th stale entry has the address of a running server.
	reusedAddrInterval = 4
	// truncatedBytes is the number of bytes that are cut from the end of a cached list.
	truncatedBytes = 10
)

// discoveryOutage restarts all controllers and proxies while the endpoint source is down. It kills the controllers,
// makes their cached lists a day old with as many stale entries as valid ones and a damaged end, restarts all proxies
// with their initial tables, and then starts the controllers. It measures when proxies get tables, and how the weights
// change when the source returns.
func (r *runner) discoveryOutage(ctx context.Context, spec FaultSpec) {
	result := &DiscoveryOutage{}
	defer func() {
		slices.Sort(result.Served)
		slices.Sort(result.LiveAfter)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.DiscoveryOutage = result
	}()
	r.listService.SetDown(true)
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
	r.listService.SetDown(false)
	r.measureSourceReturn(ctx, returned, result)
	r.measureShift(ctx, result)
}

func (r *runner) restartProxies(ctx context.Context) {
	for _, proxy := range r.proxies {
		proxy.Stop()
	}
	sleep(ctx, proxyDownTime)
	for _, proxy := range r.proxies {
		if err := proxy.Start(); err != nil {
			r.reportProblem("%v", err)
		}
	}
}

// measureOutage measures when proxies get tables, and after serveTimeout the stale entries in them and the fraction of
// requests that are answered in time.
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

// countStaleEntries counts the entries with a weight above 0 whose address is that of a stale entry.
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

// measureSourceReturn measures when each controller uses the list of the endpoint source again.
func (r *runner) measureSourceReturn(ctx context.Context, returned time.Time, result *DiscoveryOutage) {
	for _, c := range r.controllers {
		for sleep(ctx, checkInterval) {
			text, err := sendCommand(c.socket, "show log\n")
			if err == nil && strings.Contains(text, "source is back") {
				result.LiveAfter = append(result.LiveAfter, time.Since(returned).Seconds())
				break
			}
		}
	}
}

// measureShift measures for ten seconds how much the weights change within a second.
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

// addShift compares the servers' parts of the requests at two times and updates the maximum of the changes.
func (d *DiscoveryOutage) addShift(before, after map[string]float64, nodes int) {
	sum := 0.0
	for name, part := range after {
		gain := part - before[name]
		sum += max(0, gain)
		d.MaxGain = max(d.MaxGain, gain*float64(nodes))
	}
	d.MaxShift = max(d.MaxShift, sum)
}

// ageCache makes a cached list a day old, adds a stale entry for each server, and cuts the end off.
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
	// The backup of the previous file holds the unmodified list.
	if err := os.Remove(path + ".before"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text[:len(text)-truncatedBytes], fileMode)
}

// staleEndpoint returns an endpoint of a server that no longer exists. One in reusedAddrInterval has the address of a
// running server.
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

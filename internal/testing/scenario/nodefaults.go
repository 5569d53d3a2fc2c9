package scenario

import (
	"context"
	"strings"
	"time"

	"cressknot/internal/testing/fakes"
)

const (
	// withdrawalTimeout bounds the measurement of a withdrawal. Later withdrawals are not in the report.
	withdrawalTimeout = 8 * time.Second
	// ageingSteps is the number of steps in which an ageing server becomes slower.
	ageingSteps = 10
	// ageingRestartDelay is the time between the crash and the restart of an aged server.
	ageingRestartDelay = 4 * time.Second
	// floodedFraction is the fraction of the servers in whose names a flood sends reports. The servers' own reports are
	// lost among these.
	floodedFraction = 0.25
	// silenceCheckInterval is the interval at which a controller is polled for detected silent reporters.
	silenceCheckInterval = 5 * checkInterval
)

// injectFault injects a fault into some servers for the fault's duration.
func (r *runner) injectFault(ctx context.Context, spec FaultSpec, fault fakes.Fault) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	for _, node := range nodes {
		defer node.Inject(fault)()
	}
	wait(ctx, spec.Duration)
}

// injectRepeatedly injects a fault into some servers for a duration, then pauses for the fault's interval, and repeats
// this until the fault ends.
func (r *runner) injectRepeatedly(ctx context.Context, spec FaultSpec, fault fakes.Fault, duration time.Duration) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	repeat(ctx, spec.Duration, func() {
		var ends []func()
		for _, node := range nodes {
			ends = append(ends, node.Inject(fault))
		}
		sleep(ctx, duration)
		for _, end := range ends {
			end()
		}
		wait(ctx, spec.Interval)
	})
}

func (r *runner) heavyTail(ctx context.Context, spec FaultSpec) {
	spec.Fraction = 1
	fault := fakes.Fault{
		HeavyFraction: heavyFraction,
		HeavyFactor:   orDefault(spec.Size, defaultHeavyFactor),
		Class:         r.class(spec),
	}
	r.injectFault(ctx, spec, fault)
}

func (r *runner) sharedSlow(ctx context.Context, spec FaultSpec) {
	spec.Fraction = 1
	r.injectFault(ctx, spec, fakes.Fault{Slow: orDefault(spec.Size, defaultSharedFactor)})
}

// oneSided makes servers fail for the proxies of the first controller only.
func (r *runner) oneSided(ctx context.Context, spec FaultSpec) {
	proxies := map[string]bool{}
	for i, proxy := range r.proxies {
		if r.ownerByProxy[i] == 0 {
			proxies[proxy.Name] = true
		}
	}
	fault := fakes.Fault{Errors: orDefault(spec.Size, defaultErrorFraction), Proxies: proxies}
	r.injectFault(ctx, spec, fault)
}

// slowLink delays requests from the last zone's proxies to the first zone's servers.
func (r *runner) slowLink(ctx context.Context, spec FaultSpec) {
	zones := r.Spec.Zones
	proxies := map[string]bool{}
	for i, proxy := range r.proxies {
		if r.zoneByProxy[i] == zones[len(zones)-1] {
			proxies[proxy.Name] = true
		}
	}
	fault := fakes.Fault{LinkDelay: millis(orDefault(spec.Size, defaultLinkMillis)), Proxies: proxies}
	for _, node := range r.nodes {
		if r.zoneByNode[node.Name] == zones[0] {
			defer node.Inject(fault)()
		}
	}
	wait(ctx, spec.Duration)
}

// crashNodes ends servers at once; the list service notices it after deathNoticeDelay. It measures when each proxy has
// withdrawn them.
func (r *runner) crashNodes(ctx context.Context, nodes []*fakes.Node) {
	crashed := time.Now()
	for _, node := range nodes {
		node.Crash()
		r.runInBackground(func() { r.measureWithdrawal(ctx, node.Name, crashed) })
	}
	if sleep(ctx, deathNoticeDelay) {
		for _, node := range nodes {
			r.listService.Put(r.listEntry(node, "gone"))
		}
	}
}

// measureWithdrawal measures when each proxy that used a server at its crash has withdrawn it.
func (r *runner) measureWithdrawal(ctx context.Context, node string, crashed time.Time) {
	using := map[int]bool{}
	for i, proxy := range r.proxies {
		if proxy.Weights(r.firstClass())[node] > 0 {
			using[i] = true
		}
	}
	for len(using) > 0 && time.Since(crashed) < withdrawalTimeout && ctx.Err() == nil {
		for i := range using {
			if r.proxies[i].Weights(r.firstClass())[node] == 0 {
				delete(using, i)
				r.recordWithdrawal(r.proxies[i].Name, node, crashed)
			}
		}
		sleep(ctx, checkInterval)
	}
}

// recordWithdrawal records a withdrawal. If the controller was not notified before, it withdrew the server because of
// its own measurements, and only the time from the crash is recorded.
func (r *runner) recordWithdrawal(proxy, node string, crashed time.Time) {
	notifiedAt, notified := r.watch.NotifiedSince(proxy, node, crashed)
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &r.report.Withdrawals
	w.FromCrash = append(w.FromCrash, time.Since(crashed).Seconds())
	if notified {
		w.FromNotification = append(w.FromNotification, time.Since(notifiedAt).Seconds())
	}
}

// restartNodes starts servers again, with a slow start. The list service notices it after startNoticeDelay.
func (r *runner) restartNodes(ctx context.Context, nodes []*fakes.Node) {
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			r.reportProblem("%v", err)
		}
	}
	sleep(ctx, startNoticeDelay)
	for _, node := range nodes {
		r.listService.Put(r.listEntry(node, "ready"))
	}
}

// crash crashes servers and restarts them after the fault's duration.
func (r *runner) crash(ctx context.Context, spec FaultSpec) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	r.crashNodes(ctx, nodes)
	wait(ctx, spec.Duration)
	r.restartNodes(ctx, nodes)
}

// flapping crashes and restarts servers in turn.
func (r *runner) flapping(ctx context.Context, spec FaultSpec) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	repeat(ctx, spec.Duration, func() {
		r.crashNodes(ctx, nodes)
		wait(ctx, spec.Interval)
		r.restartNodes(ctx, nodes)
		wait(ctx, spec.Interval)
	})
}

// drain lists servers as draining, ends them after a time, and restarts them at the end of the fault.
func (r *runner) drain(ctx context.Context, spec FaultSpec, after time.Duration) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	for _, node := range nodes {
		r.listService.Put(r.listEntry(node, "draining"))
	}
	sleep(ctx, after)
	for _, node := range nodes {
		r.listService.Put(r.listEntry(node, "gone"))
		node.Crash()
	}
	sleep(ctx, time.Duration(spec.Duration)-after)
	r.restartNodes(ctx, nodes)
}

// ageing slows servers down step by step, crashes them, and restarts them after ageingRestartDelay.
func (r *runner) ageing(ctx context.Context, spec FaultSpec) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	for i := range ageingSteps {
		factor := 1 + (orDefault(spec.Size, defaultAgeingFactor)-1)*float64(i+1)/ageingSteps
		for _, node := range nodes {
			defer node.Inject(fakes.Fault{Slow: factor})()
		}
		if !sleep(ctx, time.Duration(spec.Duration)/ageingSteps) {
			return
		}
	}
	r.crashNodes(ctx, nodes)
	sleep(ctx, ageingRestartDelay)
	r.restartNodes(ctx, nodes)
}

// flood sends unexpected load reports in the names of some servers to all controllers, at a high rate.
func (r *runner) flood(ctx context.Context, spec FaultSpec) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(spec.Duration))
	defer cancel()
	nodes, release := r.pickNodes(floodedFraction)
	defer release()
	var names []string
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	var flood fakes.Flood
	linesPerSecond := int(orDefault(spec.Size, defaultFloodLinesPerS))
	for i, c := range r.controllers {
		if c.reports != "" {
			flood.Run(ctx, "http://"+c.reports+"/write", names, linesPerSecond, r.Spec.Seed+uint64(i))
		}
	}
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Flood = [3]int64{flood.Accepted.Load(), flood.Rejected.Load(), flood.Failed.Load()}
}

// stopReports stops the load reports of servers that continue to serve, and measures when each controller has detected
// it.
func (r *runner) stopReports(ctx context.Context, spec FaultSpec) {
	nodes, release := r.pickNodes(spec.Fraction)
	defer release()
	stopped := time.Now()
	for _, node := range nodes {
		node.StopReports(true)
		defer node.StopReports(false)
	}
	for _, c := range r.controllers {
		r.runInBackground(func() { r.measureSilenceDetection(ctx, c, nodes, stopped, time.Duration(spec.Duration)) })
	}
	wait(ctx, spec.Duration)
}

// measureSilenceDetection polls a controller until it shows all given servers as silent reporters.
func (r *runner) measureSilenceDetection(
	ctx context.Context,
	c *controllerProcess,
	nodes []*fakes.Node,
	stopped time.Time,
	timeout time.Duration,
) {
	undetected := map[string]bool{}
	for _, node := range nodes {
		undetected[node.Name] = true
	}
	for len(undetected) > 0 && time.Since(stopped) < timeout && sleep(ctx, silenceCheckInterval) {
		text, err := sendCommand(c.socket, "show reports stale\n")
		if err != nil {
			continue
		}
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			if len(fields) > 1 && fields[1] == "mute" && undetected[fields[0]] {
				delete(undetected, fields[0])
				r.mu.Lock()
				r.report.SilenceDetections = append(r.report.SilenceDetections, time.Since(stopped).Seconds())
				r.mu.Unlock()
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.UndetectedSilences += len(undetected)
}

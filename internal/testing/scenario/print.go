package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const (
	maxPrintedViolations = 5  // of each invariant
	maxPrintedServers    = 40 // in the table of weights
)

// Print writes the report as plain text for a reader. It ignores write errors.
func (r *Report) Print(out io.Writer) {
	p := &printer{}
	p.invariants(r)
	p.classes(r)
	p.weights(r)
	p.controllers(r)
	p.operatorActions(r)
	p.loadReports(r)
	p.leases(r)
	p.clientPrograms(r)
	p.discoveryOutage(r.DiscoveryOutage)
	p.versions(r)
	p.guards(r)
	p.conclusion(r)
	_, _ = io.WriteString(out, p.String())
}

// printer collects the formatted sections of a report.
type printer struct{ strings.Builder }

func (p *printer) printf(format string, args ...any) { fmt.Fprintf(&p.Builder, format, args...) }

func (p *printer) invariants(r *Report) {
	p.printf("scenario %s, %.0f s\n\n%-30s %9s  %s\n", r.Scenario, r.Length, "invariant", "checks", "result")
	for _, v := range r.Rules {
		result := "held"
		if len(v.Violations) > 0 {
			result = fmt.Sprintf("VIOLATED %d times", len(v.Violations))
		}
		p.printf("%-30s %9d  %s: %s\n", v.Rule, v.Tested, result, v.Observed)
		for _, b := range v.Violations[:min(maxPrintedViolations, len(v.Violations))] {
			p.printf("%42s %.2f s: %s\n", "", b.At.Seconds(), b.Detail)
		}
	}
}

func (p *printer) classes(r *Report) {
	p.printf("\n%-16s %8s %9s %7s %8s %7s %9s %9s\n",
		"class", "requests", "in time", "late", "rejected", "failed", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		percent := 100 / float64(max(1, c.Requests))
		p.printf("%-16s %8d %8.1f%% %6.1f%% %7.1f%% %6.1f%% %9.1f %9.1f\n", c.Name, c.Requests,
			percent*float64(c.InTime), percent*float64(c.Late), percent*float64(c.Rejected), percent*float64(c.Failed),
			c.P50, c.P99)
	}
}

func (p *printer) weights(r *Report) {
	p.printf("\nweights of the first class over time, relative to an equal share\n%-12s", "time in s")
	names := map[string]bool{}
	for _, sample := range r.Weights {
		p.printf("%6.0f", sample.At)
		for name := range sample.Share {
			names[name] = true
		}
	}
	order := slices.Sorted(maps.Keys(names))
	for _, name := range order[:min(maxPrintedServers, len(order))] {
		p.printf("\n%-12s", name)
		for _, sample := range r.Weights {
			p.printf("%6.2f", sample.Share[name])
		}
	}
	if len(order) > maxPrintedServers {
		p.printf("\n(%d more servers)", len(order)-maxPrintedServers)
	}
}

func (p *printer) controllers(r *Report) {
	p.printf("\n\n%-14s %7s %8s %8s %9s %9s %9s %10s %10s %9s\n",
		"controller", "CPU s", "RSS MiB", "steps", "p50 us", "p99 us", "max us", "entries", "messages", "replaced")
	for _, c := range r.Controllers {
		p.printf("%-14s %7.2f %8.1f %8s %9s %9s %9s %10s %10s %9s\n", c.Name, c.CPU, c.RSS, c.Info["Turns"],
			c.Info["Turn_p50_us"], c.Info["Turn_p99_us"], c.Info["Turn_most_us"], c.Info["Lines_sent"],
			c.Info["Messages_sent"], c.Info["Lines_replaced"])
	}
}

// operatorActions prints withdrawals and weights set by hand.
func (p *printer) operatorActions(r *Report) {
	if pairs := len(r.Withdrawals.FromCrash); pairs > 0 {
		p.printf("\ntime from a server's crash until a proxy had withdrawn it: p50 %.3f s, p99 %.3f s "+
			"(from the endpoint list's update: p50 %.3f s, p99 %.3f s); %d withdrawals\n",
			quantile(r.Withdrawals.FromCrash, 0.5), quantile(r.Withdrawals.FromCrash, 0.99),
			quantile(r.Withdrawals.FromNotification, 0.5), quantile(r.Withdrawals.FromNotification, 0.99), pairs)
	}
	if r.PushesAccepted+r.PushesRejected > 0 {
		p.printf("\nweights set by hand: %d accepted, %d rejected\n", r.PushesAccepted, r.PushesRejected)
	}
}

func (p *printer) loadReports(r *Report) {
	if r.Flood != [3]int64{} {
		p.printf("flood of load reports: %d accepted, %d rejected, %d batches lost\n", r.Flood[0], r.Flood[1], r.Flood[2])
	}
	if count := len(r.SilenceDetections) + r.UndetectedSilences; count > 0 {
		slices.Sort(r.SilenceDetections)
		p.printf("servers that stopped reporting while serving: detected after %.1f s (p50), %.1f s (max); "+
			"%d of %d not detected\n",
			quantile(r.SilenceDetections, 0.5), quantile(r.SilenceDetections, 1), r.UndetectedSilences, count)
	}
	for _, c := range r.Controllers {
		info := c.Info
		if info["Pushed_records"] == "" || info["Pushed_records"] == "0" {
			continue
		}
		p.printf("load reports to %s: %s records, %s dropped by rate limits, %s invalid, %s untrusted; "+
			"attempts: %s counted, %s reported, %s pending, %s too old, %s of removed servers; "+
			"%s steps of the control loop exceeded the deadline\n",
			c.Name, info["Pushed_records"], info["Pushed_thinned"], info["Pushed_odd"], info["Pushed_unbelieved"],
			info["Tries_counted"], info["Tries_told"], info["Tries_waiting"], info["Tries_aged"], info["Tries_unheard"],
			info["Deadlines_missed"])
	}
}

func (p *printer) leases(r *Report) {
	if count := len(r.UnservedGaps); count > 0 {
		p.printf("time that proxies had no controller between two sessions: p50 %.3f s, p99 %.3f s, max %.3f s; %d times\n",
			quantile(r.UnservedGaps, 0.5), quantile(r.UnservedGaps, 0.99), r.UnservedGaps[count-1], count)
	}
	if r.RollingRestart > 0 {
		p.printf("rolling restart of all controllers: %.1f s\n", r.RollingRestart)
	}
}

func (p *printer) clientPrograms(r *Report) {
	for _, program := range r.ClientPrograms {
		attemptsPerRequest := float64(program.Attempts) / float64(max(1, program.Requests))
		p.printf("%s over %s: %d requests, %.3f attempts per request, %d retries or hedged requests denied; "+
			"%d watches, %.1f s without a watch\n",
			program.Name, program.Protocol, program.Requests, attemptsPerRequest, program.Denied, program.Watches,
			program.UnwatchedSeconds)
	}
}

func (p *printer) discoveryOutage(d *DiscoveryOutage) {
	if d == nil || len(d.Served) == 0 || len(d.LiveAfter) == 0 {
		return
	}
	p.printf("start without the endpoint source: proxies had tables after %.1f s (p50), %.1f s (max), %d never; "+
		"after 10 s %.1f%% of the requests were answered in time and %d table entries were stale\n",
		quantile(d.Served, 0.5), d.Served[len(d.Served)-1], d.NeverServed, 100*d.InTimeFraction, d.StaleEntries)
	p.printf("return of the endpoint source: its list was in use after %.2f s; within a second at most %.1f%% of the "+
		"requests moved, and a server gained at most %.2f equal shares\n",
		d.LiveAfter[len(d.LiveAfter)-1], 100*d.MaxShift, d.MaxGain)
}

func (p *printer) versions(r *Report) {
	if count := len(r.Rollbacks); count > 0 {
		p.printf("time from the rollback command until a proxy had the restored version: "+
			"p50 %.3f s, p99 %.3f s, max %.3f s; %d proxies\n",
			quantile(r.Rollbacks, 0.5), quantile(r.Rollbacks, 0.99), r.Rollbacks[count-1], count)
	}
	if len(r.Versions) == 0 {
		return
	}
	p.printf("proxies by last table version:")
	for _, version := range slices.Sorted(maps.Keys(r.Versions)) {
		p.printf(" %s: %d", version, r.Versions[version])
	}
	p.printf("\n")
}

func (p *printer) guards(r *Report) {
	for _, c := range r.Controllers {
		if c.Info["Guard_stopped"] == "" {
			continue
		}
		p.printf("safety check of %s: %s changes passed, %s refused or lowered; "+
			"%s table versions, deltas have %s%% of the entries of full tables\n",
			c.Name, c.Info["Guard_passed"], c.Info["Guard_stopped"], c.Info["Versions"], c.Info["Delta_share_percent"])
	}
}

func (p *printer) conclusion(r *Report) {
	for _, problem := range r.Problems {
		p.printf("\nproblem of the drill: %s", problem)
	}
	if r.Passed() {
		p.printf("\nall invariants held\n")
	} else {
		p.printf("\nFAILED: an invariant was violated or the drill had problems; discard the figures of this run\n")
	}
}

package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const (
	// maxPrintedBreaks bounds the violations that are printed of a rule.
	maxPrintedBreaks = 5
	// maxPrintedNodes bounds the nodes whose weights are printed.
	maxPrintedNodes = 40
)

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	p := &printer{}
	p.rules(r)
	p.classes(r)
	p.weights(r)
	p.controllers(r)
	p.operations(r)
	p.loadReports(r)
	p.leases(r)
	p.clientPrograms(r)
	p.discoveryOutage(r.DiscoveryOutage)
	p.versions(r)
	p.guards(r)
	p.conclusion(r)
	_, _ = io.WriteString(out, p.String())
}

// printer formats the sections of a report.
type printer struct{ strings.Builder }

func (p *printer) printf(format string, args ...any) { fmt.Fprintf(&p.Builder, format, args...) }

func (p *printer) rules(r *Report) {
	p.printf("day %s, %.0f s\n\n%-30s %9s  %s\n", r.Scenario, r.Length, "rule", "tried", "seen")
	for _, v := range r.Rules {
		result := "kept"
		if len(v.Breaks) > 0 {
			result = fmt.Sprintf("BROKEN %d times", len(v.Breaks))
		}
		p.printf("%-30s %9d  %s: %s\n", v.Rule, v.Tested, result, v.Seen)
		for _, b := range v.Breaks[:min(maxPrintedBreaks, len(v.Breaks))] {
			p.printf("%42s %.2f s: %s\n", "", b.At.Seconds(), b.What)
		}
	}
}

func (p *printer) classes(r *Report) {
	p.printf("\n%-16s %8s %9s %7s %8s %7s %9s %9s\n",
		"class", "visits", "in time", "late", "refused", "failed", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		percent := 100 / float64(max(1, c.Requests))
		p.printf("%-16s %8d %8.1f%% %6.1f%% %7.1f%% %6.1f%% %9.1f %9.1f\n", c.Name, c.Requests,
			percent*float64(c.InTime), percent*float64(c.Late), percent*float64(c.Rejected), percent*float64(c.Failed),
			c.P50, c.P99)
	}
}

func (p *printer) weights(r *Report) {
	p.printf("\nshares of the first class over time (1 is even)\n%-12s", "at s")
	names := map[string]bool{}
	for _, sample := range r.Weights {
		p.printf("%6.0f", sample.At)
		for name := range sample.Share {
			names[name] = true
		}
	}
	order := slices.Sorted(maps.Keys(names))
	for _, name := range order[:min(maxPrintedNodes, len(order))] {
		p.printf("\n%-12s", name)
		for _, sample := range r.Weights {
			p.printf("%6.2f", sample.Share[name])
		}
	}
	if len(order) > maxPrintedNodes {
		p.printf("\n(%d more)", len(order)-maxPrintedNodes)
	}
}

func (p *printer) controllers(r *Report) {
	p.printf("\n\n%-14s %7s %8s %8s %9s %9s %9s %10s %10s %9s\n",
		"governor", "cpu s", "rss MiB", "turns", "p50 us", "p99 us", "most us", "lines", "messages", "replaced")
	for _, c := range r.Controllers {
		p.printf("%-14s %7.2f %8.1f %8s %9s %9s %9s %10s %10s %9s\n", c.Name, c.CPU, c.RSS, c.Info["Turns"],
			c.Info["Turn_p50_us"], c.Info["Turn_p99_us"], c.Info["Turn_most_us"], c.Info["Lines_sent"],
			c.Info["Messages_sent"], c.Info["Lines_replaced"])
	}
}

// operations prints withdrawals and weights set by hand.
func (p *printer) operations(r *Report) {
	if pairs := len(r.Withdrawals.FromCrash); pairs > 0 {
		p.printf("\nfrom a node's fall until a proxy had shut it out: p50 %.3f s, p99 %.3f s "+
			"(from the list's word: p50 %.3f s, p99 %.3f s; %d pairs)\n",
			quantile(r.Withdrawals.FromCrash, 0.5), quantile(r.Withdrawals.FromCrash, 0.99),
			quantile(r.Withdrawals.FromNotification, 0.5), quantile(r.Withdrawals.FromNotification, 0.99), pairs)
	}
	if r.PushesAccepted+r.PushesRejected > 0 {
		p.printf("\nweights set by hand: %d taken, %d refused\n", r.PushesAccepted, r.PushesRejected)
	}
}

func (p *printer) loadReports(r *Report) {
	if r.Flood != [3]int64{} {
		p.printf("flood: %d reports taken, %d refused, %d batches lost\n", r.Flood[0], r.Flood[1], r.Flood[2])
	}
	if count := len(r.SilenceDetections) + r.UndetectedSilences; count > 0 {
		slices.Sort(r.SilenceDetections)
		p.printf("servers whose reports stopped while they served: told apart after %.1f s (p50), %.1f s (most), "+
			"%d never; of %d\n",
			quantile(r.SilenceDetections, 0.5), quantile(r.SilenceDetections, 1), r.UndetectedSilences, count)
	}
	for _, c := range r.Controllers {
		info := c.Info
		if info["Pushed_records"] == "" || info["Pushed_records"] == "0" {
			continue
		}
		p.printf("intake of %s: %s records pushed, %s thinned, %s odd, %s unbelieved; "+
			"tries counted %s, told %s, waiting %s, aged %s, unheard %s; %s deadlines missed\n",
			c.Name, info["Pushed_records"], info["Pushed_thinned"], info["Pushed_odd"], info["Pushed_unbelieved"],
			info["Tries_counted"], info["Tries_told"], info["Tries_waiting"], info["Tries_aged"], info["Tries_unheard"],
			info["Deadlines_missed"])
	}
}

func (p *printer) leases(r *Report) {
	if count := len(r.UnservedGaps); count > 0 {
		p.printf("proxies without a governor between two sessions: p50 %.3f s, p99 %.3f s, most %.3f s; %d times\n",
			quantile(r.UnservedGaps, 0.5), quantile(r.UnservedGaps, 0.99), r.UnservedGaps[count-1], count)
	}
	if r.RollingRestart > 0 {
		p.printf("rolling restart of all governors: %.1f s\n", r.RollingRestart)
	}
}

func (p *printer) clientPrograms(r *Report) {
	for _, program := range r.ClientPrograms {
		attemptsPerRequest := float64(program.Attempts) / float64(max(1, program.Requests))
		p.printf("%s over %s: %d visits, %.3f tries each, %d further ones kept back; followed %d times, %.1f s without\n",
			program.Name, program.Protocol, program.Requests, attemptsPerRequest, program.Denied, program.Watches,
			program.UnwatchedSeconds)
	}
}

func (p *printer) discoveryOutage(d *DiscoveryOutage) {
	if d == nil || len(d.Served) == 0 || len(d.LiveAfter) == 0 {
		return
	}
	p.printf("without the list's source: proxies held tables after %.1f s (p50), %.1f s (most), %d never; "+
		"%.1f%% in time after 10 s; %d lines of ghosts then\n",
		quantile(d.Served, 0.5), d.Served[len(d.Served)-1], d.NeverServed, 100*d.InTimeFraction, d.StaleEntries)
	p.printf("its list counted %.2f s after its return; within a second at most %.1f%% of the visits moved, "+
		"a server gained at most %.2f even shares\n",
		d.LiveAfter[len(d.LiveAfter)-1], 100*d.MaxShift, d.MaxGain)
}

func (p *printer) versions(r *Report) {
	if count := len(r.Rollbacks); count > 0 {
		p.printf("from the command to go back until a proxy held that version: p50 %.3f s, p99 %.3f s, most %.3f s; "+
			"%d proxies\n",
			quantile(r.Rollbacks, 0.5), quantile(r.Rollbacks, 0.99), r.Rollbacks[count-1], count)
	}
	if len(r.Versions) == 0 {
		return
	}
	p.printf("versions that proxies ended on:")
	for _, version := range slices.Sorted(maps.Keys(r.Versions)) {
		p.printf(" %s %d", version, r.Versions[version])
	}
	p.printf("\n")
}

func (p *printer) guards(r *Report) {
	for _, c := range r.Controllers {
		if c.Info["Guard_stopped"] == "" {
			continue
		}
		p.printf("guard of %s: %s proposals passed, %s held back or lowered; %s versions, a delta is %s%% of the whole\n",
			c.Name, c.Info["Guard_passed"], c.Info["Guard_stopped"], c.Info["Versions"], c.Info["Delta_share_percent"])
	}
}

func (p *printer) conclusion(r *Report) {
	for _, problem := range r.Problems {
		p.printf("\nthe drill itself: %s", problem)
	}
	if r.Passed() {
		p.printf("\nall rules kept\n")
	} else {
		p.printf("\nA RULE BROKE or the drill failed: the run counts for nothing\n")
	}
}

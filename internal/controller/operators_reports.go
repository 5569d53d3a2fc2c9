package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/timeseries"
)

const (
	defaultTopServers    = 20 // rows of "top servers", and violations in "show intake"
	maxTopServers        = 500
	defaultSeriesMinutes = 60 // rows of "show series"
	maxSeriesMinutes     = 24 * 60
	minute               = 60 * fleet.Second
)

// reportCommands returns the commands about load reports.
func reportCommands() []command {
	return []command{
		{
			words:  []string{"show", "reports"},
			help:   "[stale]: servers as sources of load reports: verdict, age, attempts, trust",
			handle: (*query).showReports,
		},
		{
			words:  []string{"show", "intake"},
			help:   "what became of load reports: totals, and what was dropped, shed or not trusted",
			handle: (*query).showIngest,
		},
		{
			words:  []string{"show", "series"},
			help:   "<server> [minutes]: attempts, failures, latency and load, a row a minute",
			handle: (*query).showSeries,
		},
		{
			words:  []string{"top", "servers"},
			help:   "age|load|failures [n]: the servers with the highest values",
			handle: (*query).topServers,
		},
	}
}

func (q *query) showReports() (string, error) {
	staleOnly := q.hasOption("stale")
	if len(q.args) > 0 && !staleOnly {
		return "", commandError("'show reports' expects no argument or 'stale'.\n")
	}
	var b strings.Builder
	b.WriteString("# server sight since_s report_age_s met_age_s tries failed served erred clock_off_s believed\n")
	for _, v := range q.core.pipeline.Views(q.now) {
		if !staleOnly || v.Verdict != ingest.Healthy || v.UntrustedUntil != 0 {
			b.WriteString(q.formatSource(v))
		}
	}
	b.WriteString("# proxy counters_age_s asked_every_s\n")
	var lines []string
	for id, p := range q.core.proxies.configured {
		age, interval, read := q.core.pipeline.ProxyAge(q.now, id)
		if staleOnly && read && age <= 2*interval {
			continue
		}
		ageText := "-"
		if read {
			ageText = fmt.Sprintf("%.1f", age.Seconds())
		}
		lines = append(lines, fmt.Sprintf("%s %s %.1f\n", p.Name, ageText, interval.Seconds()))
	}
	slices.Sort(lines)
	return b.String() + strings.Join(lines, ""), nil
}

// formatSource formats the row of a server in "show reports".
func (q *query) formatSource(v ingest.View) string {
	age := "-"
	if v.HasReported {
		age = fmt.Sprintf("%.1f", v.Age.Seconds())
	}
	since := "-"
	if v.Verdict != ingest.Healthy {
		since = formatSeconds(q.now - v.Since)
	}
	believed := "yes"
	if v.UntrustedUntil > 0 {
		believed = fmt.Sprintf("in %.0f s", (v.UntrustedUntil - q.now).Seconds())
	}
	return fmt.Sprintf("%s %s %s %s %s %d %d %d %d %.1f %s\n",
		q.core.serverName(v.Server), v.Verdict, since, age, formatSeconds(v.PolledAge),
		v.Attempts, v.Failed, v.OwnAttempts, v.OwnFailures, -v.ClockOffset.Seconds(), believed)
}

func (q *query) showIngest() (string, error) {
	p := q.core.pipeline
	totals := p.Totals()
	waiting, oldest := p.PendingReports(q.now)
	sources, records, thinned := q.loop.mailbox.pushed.Stats()
	violations, repeated, odd, unbelieved := p.Violations()
	level, misses, shedText := p.SheddingLevel()
	var b strings.Builder
	b.WriteString(formatInfo([]infoField{
		{"Tries_counted", totals.Counted},
		{"Tries_told", totals.Reported},
		{"Tries_waiting", totals.Pending},
		{"Tries_aged", totals.Aged},
		{"Tries_unheard", totals.Gone},
		{"Lines_waiting", waiting},
		{"Oldest_line_ms", int64(oldest / fleet.Millisecond)},
		{"Pushed_records", records},
		{"Pushed_thinned", thinned},
		{"Pushed_waiting", sources},
		{"Pushed_repeated", repeated},
		{"Pushed_odd", odd},
		{"Pushed_unbelieved", unbelieved},
		{"Counter_resets", p.Resets()},
		{"Deadlines_missed", misses},
		{"Shed_level", level},
		{"Shed_says", shedText},
	}))
	for _, v := range violations[max(0, len(violations)-defaultTopServers):] {
		fmt.Fprintf(&b, "%s server %s: %s\n", formatTime(v.At), q.core.serverName(v.Server), v.Text)
	}
	return b.String(), nil
}

// rankingBy returns the function whose value "top servers" sorts by, nil for an unknown criterion.
func rankingBy(criterion string) func(v *ingest.View) float64 {
	switch criterion {
	case "age":
		return func(v *ingest.View) float64 { return v.Age.Seconds() }
	case "load":
		return func(v *ingest.View) float64 { return float64(v.Load[0]) }
	case "failures":
		return func(v *ingest.View) float64 { return float64(v.Failed) }
	}
	return nil
}

func (q *query) topServers() (string, error) {
	limit := defaultTopServers
	if len(q.args) == 2 {
		n, err := strconv.Atoi(q.args[1])
		if err != nil || n < 1 || n > maxTopServers {
			return "", commandErrorf("'top servers' shows 1 to %d servers, not %.20q.\n", maxTopServers, q.args[1])
		}
		limit = n
	}
	usage := commandErrorf("'top servers' expects age, load or failures, and optionally a number of servers (1 to %d).\n",
		maxTopServers)
	if len(q.args) < 1 || len(q.args) > 2 {
		return "", usage
	}
	rank := rankingBy(q.args[0])
	if rank == nil {
		return "", usage
	}
	views := q.core.pipeline.Views(q.now)
	slices.SortStableFunc(views, func(a, b ingest.View) int { return cmp.Compare(rank(&b), rank(&a)) })
	var b strings.Builder
	fmt.Fprintf(&b, "# server %s sight tries failed\n", q.args[0])
	for _, v := range views[:min(limit, len(views))] {
		fmt.Fprintf(&b, "%s %.3f %s %d %d\n", q.core.serverName(v.Server), rank(&v), v.Verdict, v.Attempts, v.Failed)
	}
	return b.String(), nil
}

func (q *query) showSeries() (string, error) {
	if len(q.args) < 1 || len(q.args) > 2 {
		return "", commandErrorf("'show series' expects one server name, and optionally a number of minutes (1 to %d).\n",
			maxSeriesMinutes)
	}
	id, err := q.server(q.args[0])
	if err != nil {
		return "", err
	}
	minutes := defaultSeriesMinutes
	if len(q.args) == 2 {
		n, err := strconv.Atoi(q.args[1])
		if err != nil || n < 1 || n > maxSeriesMinutes {
			return "", commandErrorf("'show series' covers the last 1 to %d minutes, not %.20q.\n", maxSeriesMinutes, q.args[1])
		}
		minutes = n
	}
	if q.loop.series == nil {
		return "", commandError("This controller records no time series; its log says why at the start.\n")
	}
	points, damaged, err := q.loop.series.Read(id, q.now-fleet.Time(minutes)*minute)
	if err != nil {
		return "", commandErrorf("%v\n", err)
	}
	var b strings.Builder
	b.WriteString("# minute tries failed p50_ms p99_ms most_ms load\n")
	for i := range points {
		b.WriteString(formatPoint(formatTime(points[i].At), &points[i]))
	}
	total := timeseries.Sum(points)
	b.WriteString(formatPoint("all", &total))
	if damaged > 0 {
		fmt.Fprintf(&b, "# %d damaged rows were skipped\n", damaged)
	}
	return b.String(), nil
}

// formatPoint formats a row of "show series".
func formatPoint(label string, p *timeseries.Point) string {
	return fmt.Sprintf("%s %d %d %d %d %d %.3f\n", label, p.Attempts, p.Failures,
		p.Latencies.ValueAtQuantile(50), p.Latencies.ValueAtQuantile(99), p.Latencies.Max(), p.Load)
}

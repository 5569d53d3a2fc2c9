package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/ingest"
	"cressknot/internal/ingest/timeseries"
)

const (
	topShown     = 20  // lines of "top servers" unless told
	topMost      = 500 // the same at most
	minutesShown = 60  // of "show series" unless told
	minutesMost  = 24 * 60
)

// The operators' commands about reports.

func seconds(t fleet.Time) string {
	if t <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", t.Seconds())
}

func (o *Operators) showReports(c *Core, args []string) string {
	stale := len(args) == 1 && strings.TrimLeft(args[0], "-") == "stale"
	if len(args) > 0 && !stale {
		return "'show reports' expects nothing or 'stale'.\n"
	}
	now := o.loop.now()
	var b strings.Builder
	b.WriteString("# server sight since_s report_age_s met_age_s tries failed served erred clock_off_s believed\n")
	for _, v := range c.intake.Views(now) {
		if stale && v.Verdict == ingest.Well && v.Distrust == 0 {
			continue
		}
		name, _ := c.names.Of(v.Server)
		age, since, believed := "-", "-", "yes"
		if v.Reports {
			age = fmt.Sprintf("%.1f", v.Age.Seconds())
		}
		if v.Verdict != ingest.Well {
			since = seconds(now - v.Since)
		}
		if v.Distrust > 0 {
			believed = fmt.Sprintf("in %.0f s", (v.Distrust - now).Seconds())
		}
		fmt.Fprintf(&b, "%s %s %s %s %s %d %d %d %d %.1f %s\n", name, v.Verdict, since, age, seconds(v.Met), v.Tries, v.Failed, v.Served, v.Erred,
			-v.Skew.Seconds(), believed)
	}
	b.WriteString("# proxy counters_age_s asked_every_s\n")
	var lines []string
	for id, p := range c.proxies {
		age, every, read := c.intake.ProxyAge(now, id)
		if stale && read && age <= 2*every {
			continue
		}
		text := "-"
		if read {
			text = fmt.Sprintf("%.1f", age.Seconds())
		}
		lines = append(lines, fmt.Sprintf("%s %s %.1f\n", p.Name, text, every.Seconds()))
	}
	slices.Sort(lines)
	return b.String() + strings.Join(lines, "")
}

func (o *Operators) showIntake(c *Core, _ []string) string {
	now := o.loop.now()
	t := c.intake.Totals()
	waiting, oldest := c.intake.Waiting(now)
	sources, records, thinned := o.loop.box.Waiting()
	strikes, repeated, odd, unbelieved := c.intake.Trusts()
	level, misses, says := c.intake.Shed()
	var b strings.Builder
	for _, p := range [][2]any{{"Tries_counted", t.Counted}, {"Tries_told", t.Told}, {"Tries_waiting", t.Waiting}, {"Tries_aged", t.Aged},
		{"Tries_unheard", t.Unheard}, {"Lines_waiting", waiting}, {"Oldest_line_ms", int64(oldest / fleet.Millisecond)},
		{"Pushed_records", records}, {"Pushed_thinned", thinned}, {"Pushed_waiting", sources}, {"Pushed_repeated", repeated},
		{"Pushed_odd", odd}, {"Pushed_unbelieved", unbelieved}, {"Counter_resets", c.intake.Resets()}, {"Deadlines_missed", misses},
		{"Shed_level", level}, {"Shed_says", says}} {
		fmt.Fprintf(&b, "%s: %v\n", p[0], p[1])
	}
	for _, s := range strikes[max(0, len(strikes)-topShown):] {
		name, _ := c.names.Of(s.Server)
		fmt.Fprintf(&b, "%s server %s: %s\n", stamp(s.At), name, s.Text)
	}
	return b.String()
}

func (o *Operators) topServers(c *Core, args []string) string {
	by := map[string]func(v *ingest.View) float64{
		"age":      func(v *ingest.View) float64 { return v.Age.Seconds() },
		"load":     func(v *ingest.View) float64 { return float64(v.Load[0]) },
		"failures": func(v *ingest.View) float64 { return float64(v.Failed) },
	}
	most := topShown
	if len(args) == 2 {
		n, err := strconv.Atoi(args[1])
		if err != nil || n < 1 || n > topMost {
			return fmt.Sprintf("'top servers' shows 1 to %d lines, not %.20q.\n", topMost, args[1])
		}
		most = n
	}
	if len(args) < 1 || len(args) > 2 || by[args[0]] == nil {
		return "'top servers' expects age, load or failures, and how many.\n"
	}
	views := c.intake.Views(o.loop.now())
	slices.SortStableFunc(views, func(a, b ingest.View) int { return cmp.Compare(by[args[0]](&b), by[args[0]](&a)) })
	var b strings.Builder
	fmt.Fprintf(&b, "# server %s sight tries failed\n", args[0])
	for _, v := range views[:min(most, len(views))] {
		name, _ := c.names.Of(v.Server)
		fmt.Fprintf(&b, "%s %.3f %s %d %d\n", name, by[args[0]](&v), v.Verdict, v.Tries, v.Failed)
	}
	return b.String()
}

func (o *Operators) showSeries(c *Core, args []string) string {
	if len(args) < 1 || len(args) > 2 {
		return "'show series' expects one server's name, and how many minutes.\n"
	}
	id, ok := c.names.Server(args[0])
	if !ok {
		return haproxyapi.NoServer
	}
	minutes := minutesShown
	if len(args) == 2 {
		n, err := strconv.Atoi(args[1])
		if err != nil || n < 1 || n > minutesMost {
			return fmt.Sprintf("'show series' goes back 1 to %d minutes, not %.20q.\n", minutesMost, args[1])
		}
		minutes = n
	}
	if o.loop.series == nil {
		return "No series are kept.\n"
	}
	points, damaged, err := o.loop.series.Read(id, o.loop.now()-fleet.Time(minutes)*60*fleet.Second)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	b.WriteString("# minute tries failed p50_ms p99_ms most_ms load\n")
	row := func(at string, p *timeseries.Point) {
		fmt.Fprintf(&b, "%s %d %d %d %d %d %.3f\n", at, p.Attempts, p.Failures, p.Latencies.ValueAtQuantile(50), p.Latencies.ValueAtQuantile(99), p.Latencies.Max(), p.Load)
	}
	for i := range points {
		row(stamp(points[i].At), &points[i])
	}
	all := timeseries.Sum(points)
	row("all", &all)
	if damaged > 0 {
		fmt.Fprintf(&b, "# %d rows could not be read\n", damaged)
	}
	return b.String()
}

package scenario

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cressknot/internal/testing/invariants"
)

// Report is what a day came to.
type Report struct {
	Scenario           string               `json:"day"`
	Length        float64              `json:"length_s"`
	Rules         []invariants.Verdict `json:"rules"`
	Classes       []Class              `json:"classes"`
	Weights       []Weights            `json:"weights"`
	Controllers     []ControllerUsage           `json:"governors"`
	Withdrawals         Withdrawals                `json:"falls"`
	Flood         [3]int64             `json:"flood,omitempty"`        // reports nobody asked for: taken, refused, lost
	SilenceDetections         []float64            `json:"mutes_s,omitempty"`      // from a reporter's end until a governor told it from a death
	UndetectedSilences     int                  `json:"unnoticed,omitempty"`    // those that it did not
	Rollbacks         []float64            `json:"backs_s,omitempty"`      // from a way back until a proxy held it, sorted
	UnservedGaps    []float64            `json:"unattended_s,omitempty"` // proxies without a governor's session between two, sorted
	RollingRestart        float64              `json:"rolled_s,omitempty"`     // that a rolling restart of all governors took
	ClientPrograms     []ClientProgramRow         `json:"libraries,omitempty"`
	DiscoveryOutage          *DiscoveryOutage                `json:"dark,omitempty"`
	Versions      map[string]int       `json:"versions"`    // of the first class's tables that proxies ended on
	PushesAccepted   int                  `json:"PushesTaken"` // weights that staff set by hand
	PushesRejected int                  `json:"PushesRefused"`
	Problems      []string             `json:"troubles,omitempty"` // of the drill itself: such a run counts for nothing
}

// Class is how a class fared.
type Class struct {
	Name    string  `json:"name"`
	Requests  int     `json:"visits"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Rejected int     `json:"refused"`
	Failed  int     `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// Weights is what the nodes' shares of the first class were at a time, 1 being an even share.
type Weights struct {
	At    float64            `json:"at_s"`
	Share map[string]float64 `json:"share"`
}

// ControllerUsage is what a governor used and counted.
type ControllerUsage struct {
	Name string            `json:"name"`
	CPU  float64           `json:"cpu_s"`
	RSS  float64           `json:"rss_mib"`
	Info map[string]string `json:"info"`
}

// Withdrawals tells how long it took until a proxy had shut a dead node out, in seconds, sorted: from its fall, and from
// when the list told of it.
type Withdrawals struct {
	FromCrash []float64 `json:"from_fall_s"`
	FromNotification []float64 `json:"from_told_s"`
}

// DiscoveryOutage is how governors fared that started without the list's source, from lists of a day before.
type DiscoveryOutage struct {
	Served  []float64 `json:"served_s"`  // from a governor's start until each proxy held tables of it, sorted
	NeverServed  int       `json:"unheld"`    // proxies that did not while the source was away
	InTimeFraction  float64   `json:"in_time"`   // part of the visits handled in time from ten seconds after the start until the source's return
	StaleEntries  int       `json:"ghosts"`    // lines of servers that are gone, in tables of proxies ten seconds after the start
	LiveAfter    []float64 `json:"live_s"`    // from the source's return until a governor went by its list
	MaxShift   float64   `json:"moved"`     // part of all visits that went elsewhere within a second, at most, in the ten seconds after that
	MaxGain float64   `json:"moved_one"` // largest gain of one server within a second, in even shares
}

// Passed tells whether all rules were kept and the drill itself went well.
func (r *Report) Passed() bool {
	return len(r.Problems) == 0 && !slices.ContainsFunc(r.Rules, func(v invariants.Verdict) bool { return len(v.Breaks) > 0 })
}

type classTally struct {
	requests, inTime, late, rejected, failed int
	durations                                  *hdrhistogram.Histogram
}

type tally struct {
	mu      sync.Mutex
	byClass []classTally
}

func (t *tally) count(class, status int, took, expected, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.byClass[class]
	if c.durations == nil {
		c.durations = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	c.requests++
	switch status {
	case http.StatusOK:
		_ = c.durations.RecordValue(took.Microseconds())
		if took <= expected {
			c.inTime++
		} else {
			c.late++
		}
	case http.StatusTooManyRequests:
		c.rejected++
	default:
		c.failed++
	}
}

func (t *tally) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all, good int
	for _, c := range t.byClass {
		all, good = all+c.requests, good+c.inTime
	}
	return fmt.Sprintf("%d visits, %.1f%% handled in time", all, 100*float64(good)/float64(max(1, all)))
}

func (t *tally) classes(d *Spec) (rows []Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range t.byClass {
		row := Class{Name: d.Classes[i].Name, Requests: c.requests, InTime: c.inTime, Late: c.late, Rejected: c.rejected, Failed: c.failed}
		if c.durations != nil {
			row.P50 = float64(c.durations.ValueAtQuantile(50)) / 1000
			row.P99 = float64(c.durations.ValueAtQuantile(99)) / 1000
		}
		rows = append(rows, row)
	}
	return rows
}

// quantile of sorted values.
func quantile(of []float64, q float64) float64 {
	if len(of) == 0 {
		return 0
	}
	return of[min(len(of)-1, int(q*float64(len(of))))]
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	_, _ = io.WriteString(out, r.text())
}

// text formats the report as a table.
func (r *Report) text() string {
	out := new(strings.Builder)
	fmt.Fprintf(out, "day %s, %.0f s\n\n%-30s %9s  %s\n", r.Scenario, r.Length, "rule", "tried", "seen")
	for _, v := range r.Rules {
		word := "kept"
		if len(v.Breaks) > 0 {
			word = fmt.Sprintf("BROKEN %d times", len(v.Breaks))
		}
		fmt.Fprintf(out, "%-30s %9d  %s: %s\n", v.Rule, v.Tested, word, v.Seen)
		for _, b := range v.Breaks[:min(5, len(v.Breaks))] {
			fmt.Fprintf(out, "%42s %.2f s: %s\n", "", b.At.Seconds(), b.What)
		}
	}
	fmt.Fprintf(out, "\n%-16s %8s %9s %7s %8s %7s %9s %9s\n", "class", "visits", "in time", "late", "refused", "failed", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		n := 100 / float64(max(1, c.Requests))
		fmt.Fprintf(out, "%-16s %8d %8.1f%% %6.1f%% %7.1f%% %6.1f%% %9.1f %9.1f\n", c.Name, c.Requests, n*float64(c.InTime),
			n*float64(c.Late), n*float64(c.Rejected), n*float64(c.Failed), c.P50, c.P99)
	}
	fmt.Fprintf(out, "\nshares of the first class over time (1 is even)\n%-12s", "at s")
	names := map[string]bool{}
	for _, w := range r.Weights {
		fmt.Fprintf(out, "%6.0f", w.At)
		for n := range w.Share {
			names[n] = true
		}
	}
	var order []string
	for n := range names {
		order = append(order, n)
	}
	slices.Sort(order)
	const most = 40
	for _, n := range order[:min(most, len(order))] {
		fmt.Fprintf(out, "\n%-12s", n)
		for _, w := range r.Weights {
			fmt.Fprintf(out, "%6.2f", w.Share[n])
		}
	}
	if len(order) > most {
		fmt.Fprintf(out, "\n(%d more)", len(order)-most)
	}
	fmt.Fprintf(out, "\n\n%-14s %7s %8s %8s %9s %9s %9s %10s %10s %9s\n", "governor", "cpu s", "rss MiB", "turns", "p50 us", "p99 us",
		"most us", "lines", "messages", "replaced")
	for _, g := range r.Controllers {
		fmt.Fprintf(out, "%-14s %7.2f %8.1f %8s %9s %9s %9s %10s %10s %9s\n", g.Name, g.CPU, g.RSS, g.Info["Turns"], g.Info["Turn_p50_us"],
			g.Info["Turn_p99_us"], g.Info["Turn_most_us"], g.Info["Lines_sent"], g.Info["Messages_sent"], g.Info["Lines_replaced"])
	}
	if n := len(r.Withdrawals.FromCrash); n > 0 {
		fmt.Fprintf(out, "\nfrom a node's fall until a proxy had shut it out: p50 %.3f s, p99 %.3f s (from the list's word: p50 %.3f s, p99 %.3f s; %d pairs)\n",
			quantile(r.Withdrawals.FromCrash, 0.5), quantile(r.Withdrawals.FromCrash, 0.99), quantile(r.Withdrawals.FromNotification, 0.5), quantile(r.Withdrawals.FromNotification, 0.99), n)
	}
	if r.PushesAccepted+r.PushesRejected > 0 {
		fmt.Fprintf(out, "\nweights set by hand: %d taken, %d refused\n", r.PushesAccepted, r.PushesRejected)
	}
	if r.Flood != [3]int64{} {
		fmt.Fprintf(out, "flood: %d reports taken, %d refused, %d batches lost\n", r.Flood[0], r.Flood[1], r.Flood[2])
	}
	if n := len(r.SilenceDetections) + r.UndetectedSilences; n > 0 {
		slices.Sort(r.SilenceDetections)
		fmt.Fprintf(out, "servers whose reports stopped while they served: told apart after %.1f s (p50), %.1f s (most), %d never; of %d\n",
			quantile(r.SilenceDetections, 0.5), quantile(r.SilenceDetections, 1), r.UndetectedSilences, n)
	}
	for _, g := range r.Controllers {
		if g.Info["Pushed_records"] != "" && g.Info["Pushed_records"] != "0" {
			fmt.Fprintf(out, "intake of %s: %s records pushed, %s thinned, %s odd, %s unbelieved; tries counted %s, told %s, waiting %s, aged %s, unheard %s; %s deadlines missed\n",
				g.Name, g.Info["Pushed_records"], g.Info["Pushed_thinned"], g.Info["Pushed_odd"], g.Info["Pushed_unbelieved"], g.Info["Tries_counted"],
				g.Info["Tries_told"], g.Info["Tries_waiting"], g.Info["Tries_aged"], g.Info["Tries_unheard"], g.Info["Deadlines_missed"])
		}
	}
	if n := len(r.UnservedGaps); n > 0 {
		fmt.Fprintf(out, "proxies without a governor between two sessions: p50 %.3f s, p99 %.3f s, most %.3f s; %d times\n",
			quantile(r.UnservedGaps, 0.5), quantile(r.UnservedGaps, 0.99), r.UnservedGaps[n-1], n)
	}
	if r.RollingRestart > 0 {
		fmt.Fprintf(out, "rolling restart of all governors: %.1f s\n", r.RollingRestart)
	}
	for _, l := range r.ClientPrograms {
		fmt.Fprintf(out, "%s over %s: %d visits, %.3f tries each, %d further ones kept back; followed %d times, %.1f s without\n", l.Name, l.Protocol, l.Requests,
			float64(l.Attempts)/float64(max(1, l.Requests)), l.Denied, l.Watches, l.UnwatchedSeconds)
	}
	if d := r.DiscoveryOutage; d != nil && len(d.Served) > 0 && len(d.LiveAfter) > 0 {
		fmt.Fprintf(out, "without the list's source: proxies held tables after %.1f s (p50), %.1f s (most), %d never; %.1f%% in time after 10 s; %d lines of ghosts then\n",
			quantile(d.Served, 0.5), d.Served[len(d.Served)-1], d.NeverServed, 100*d.InTimeFraction, d.StaleEntries)
		fmt.Fprintf(out, "its list counted %.2f s after its return; within a second at most %.1f%% of the visits moved, a server gained at most %.2f even shares\n",
			d.LiveAfter[len(d.LiveAfter)-1], 100*d.MaxShift, d.MaxGain)
	}
	if n := len(r.Rollbacks); n > 0 {
		fmt.Fprintf(out, "from the command to go back until a proxy held that version: p50 %.3f s, p99 %.3f s, most %.3f s; %d proxies\n",
			quantile(r.Rollbacks, 0.5), quantile(r.Rollbacks, 0.99), r.Rollbacks[n-1], n)
	}
	if n := len(r.Versions); n > 0 {
		fmt.Fprintf(out, "versions that proxies ended on:")
		for _, text := range slices.Sorted(maps.Keys(r.Versions)) {
			fmt.Fprintf(out, " %s %d", text, r.Versions[text])
		}
		fmt.Fprintln(out)
	}
	for _, g := range r.Controllers {
		if g.Info["Guard_stopped"] != "" {
			fmt.Fprintf(out, "guard of %s: %s proposals passed, %s held back or lowered; %s versions, a delta is %s%% of the whole\n", g.Name,
				g.Info["Guard_passed"], g.Info["Guard_stopped"], g.Info["Versions"], g.Info["Delta_share_percent"])
		}
	}
	for _, t := range r.Problems {
		fmt.Fprintf(out, "\nthe drill itself: %s", t)
	}
	if r.Passed() {
		fmt.Fprintln(out, "\nall rules kept")
	} else {
		fmt.Fprintln(out, "\nA RULE BROKE or the drill failed: the run counts for nothing")
	}
	return out.String()
}

// ask sends one line to a governor's operators' socket.
func ask(socket, text string) (string, error) {
	c, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	return string(answer), err
}

func splitLines(text []byte) []string { return strings.Split(string(text), "\n") }

func splitFields(text []byte) []string { return strings.Fields(string(text)) }

func cutPair(line string) (k, v string, ok bool) {
	k, v, ok = strings.Cut(line, ": ")
	return k, v, ok
}

// Package collector listens at a governor's address on the users' platform: signs of life, the collectors that forward what
// proxies met, and strangers, who get a refusal. Nothing here decides anything.
package collector

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// What a report may say. Past these it is spoilt, and is dropped alone.
const (
	triesMost    = 1_000_000 // of one line: three orders above what a governor's proxies do in an interval
	spanMost     = 120_000.0 // ms that a line may have been counted over: a collector cut off for so long starts anew
	latencyMost  = 600_000.0 // ms: no client waits for ten minutes
	loadMost     = 1e7       // of a figure of a load report
	busyShareMax = 4.0       // of a busy share: noise may carry it past 1
	fieldsMost   = 32        // in a line
)

// Vocabulary are the names that reports may use.
type Vocabulary struct {
	Zones      []string
	Classes    []string
	ProxyCount int
	LoadFields []fleet.LoadField // the order of load reports
}

// Report is a line that could be read: a fleet.Heard, its server by name, or a fleet.Usage.
type Report struct {
	Server   string
	Outcome  fleet.OutcomeReport
	Demand   fleet.DemandReport
	IsDemand bool // it is the Usage
}

// loadWords are the platform page's names of load figures. Collectors send the simulator's, which the page allows as well.
var loadWords = map[string]fleet.LoadField{"inflight": fleet.LoadFieldInFlight, "queue": fleet.LoadFieldQueueLength, "util": fleet.LoadFieldUtilization,
	"latency_ms": fleet.LoadFieldServiceTimeMs, "qps": fleet.LoadFieldRequestRate, "eps": fleet.LoadFieldErrorRate}

// errBinary is of a line that is no text at all: nothing that follows can be trusted.
var errBinary = errors.New("unreadable data")

func unreadable(text []byte) bool {
	return slices.ContainsFunc(text, func(c byte) bool { return (c < ' ' || c > '~') && c != '\r' })
}

type line struct {
	kind   string
	fields [fieldsMost]struct{ name, value string }
	n      int
	err    error
}

// split takes a line apart.
func split(text string) (l line, err error) {
	if unreadable([]byte(text)) {
		return l, errBinary
	}
	for part := range strings.SplitSeq(text, " ") {
		if part == "" {
			continue
		}
		if l.kind == "" {
			l.kind = part
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		switch {
		case !ok || name == "":
			return l, fmt.Errorf("%.40q is not name=value", part)
		case l.n == fieldsMost:
			return l, fmt.Errorf("over %d fields", fieldsMost)
		}
		for _, f := range l.fields[:l.n] {
			if f.name == name {
				return l, fmt.Errorf("field %.40q stands twice", name)
			}
		}
		l.fields[l.n].name, l.fields[l.n].value = name, value
		l.n++
	}
	return l, nil
}

func (l *line) get(name string) (string, bool) {
	for _, f := range l.fields[:l.n] {
		if f.name == name {
			return f.value, true
		}
	}
	return "", false
}

func (l *line) fail(format string, args ...any) {
	if l.err == nil {
		l.err = fmt.Errorf(format, args...)
	}
}

func (l *line) figure(name string, least, most float64) float64 {
	text, _ := l.get(name)
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= least && v <= most) {
		l.fail("field %s: %.40q is not a number from %g to %g", name, text, least, most)
		return 0
	}
	return v
}

func (l *line) count(name string, most float64) uint32 {
	v := l.figure(name, 0, most)
	if v != math.Trunc(v) {
		l.fail("field %s: %g is no whole number", name, v)
	}
	return uint32(v)
}

func (l *line) word(name string, of []string) int {
	text, _ := l.get(name)
	i := slices.Index(of, text)
	if i < 0 {
		l.fail("field %s: %.40q is unknown", name, text)
		return 0
	}
	return i
}

// report reads a heard or usage line.
func (w *Vocabulary) report(l *line) (r Report, err error) {
	total, errs := l.count("total", triesMost), l.count("errors", triesMost)
	span := fleet.Milliseconds(l.figure("interval", math.SmallestNonzeroFloat64, spanMost))
	switch l.kind {
	case "heard":
		if errs > total {
			l.fail("field errors: %d of %d tries", errs, total)
		}
		r.Server, _ = l.get("endpoint")
		if r.Server == "" {
			l.fail("field endpoint is missing")
		}
		r.Outcome = fleet.OutcomeReport{Attempts: total, Failures: errs, Interval: span, Zone: fleet.ZoneID(l.word("locality", w.Zones))}
		if _, has := l.get("rtt"); has || errs < total {
			r.Outcome.Latency = fleet.Milliseconds(l.figure("rtt", 0, latencyMost))
		}
		if text, has := l.get("metrics"); has && text != "" {
			r.Outcome.Load = w.load(l, text)
		}
	case "usage": // visits of an earlier interval may be among those that were not served
		r.IsDemand = true
		r.Demand = fleet.DemandReport{Proxy: fleet.ProxyID(l.count("node", float64(w.ProxyCount-1))), Class: fleet.ClassID(l.word("route", w.Classes)),
			Requests: total, Unanswered: errs, Interval: span}
	default:
		l.fail("kind %.40q is unknown", l.kind)
	}
	return r, l.err
}

// load reads figures into the order that the site states; one that is not there is told by a negative figure.
func (w *Vocabulary) load(l *line, text string) []float32 {
	load := make([]float32, len(w.LoadFields))
	for i := range load {
		load[i] = -1
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		field, known := loadWords[name]
		if !known {
			field, known = simwire.LoadFields[name]
		}
		if err != nil || !(v >= 0 && v <= loadMost) || known && field == fleet.LoadFieldUtilization && v > busyShareMax {
			l.fail("field metrics: %.40q is out of range", part)
			return nil
		}
		if i := slices.Index(w.LoadFields, field); known && i >= 0 {
			load[i] = float32(v)
		}
	}
	return load
}

// SeriesKey tells which line of reports one is of.
type SeriesKey struct {
	server string
	zone   fleet.ZoneID
	proxy  fleet.ProxyID
	class  fleet.ClassID
	used   bool
}

// Key gives the report's line.
func (r *Report) Key() SeriesKey {
	return SeriesKey{r.Server, r.Outcome.Zone, r.Demand.Proxy, r.Demand.Class, r.IsDemand}
}

// Merge makes one report of two of the same line, the later one last.
func (r *Report) Merge(later Report) {
	if r.IsDemand {
		u, v := &r.Demand, later.Demand
		u.Requests, u.Unanswered, u.Interval = u.Requests+v.Requests, u.Unanswered+v.Unanswered, u.Interval+v.Interval
		return
	}
	h, l := &r.Outcome, later.Outcome
	good, more := float64(h.Attempts-h.Failures), float64(l.Attempts-l.Failures)
	if good+more > 0 {
		h.Latency = fleet.Time((float64(h.Latency)*good + float64(l.Latency)*more) / (good + more))
	}
	h.Attempts, h.Failures, h.Interval = h.Attempts+l.Attempts, h.Failures+l.Failures, h.Interval+l.Interval
	if l.Load != nil {
		h.Load = l.Load
	}
}

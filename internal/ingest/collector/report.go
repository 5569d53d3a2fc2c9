package collector

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// Limits of the figures in a report. A report beyond them is malformed.
const (
	// maxReportedCount of attempts or requests is a thousand times what a controller's proxies make in an interval.
	maxReportedCount = 1_000_000

	// maxReportedInterval is in ms. A collector that was partitioned away for longer starts anew.
	maxReportedInterval = 120_000.0

	// maxReportedLatency is in ms. No client waits for ten minutes.
	maxReportedLatency = 600_000.0

	maxReportedLoad = 1e7

	// maxReportedUtilization allows for noise, which may carry a share of busy time above 1.
	maxReportedUtilization = 4.0
)

// missingLoad stands for a load figure that a report doesn't hold.
const missingLoad = -1

// Vocabulary holds the names that reports may use.
type Vocabulary struct {
	Zones      []string
	Classes    []string
	ProxyCount int
	LoadFields []fleet.LoadField // the order of the figures of a load report
}

// Report is one load report: either an outcome report or a demand report.
type Report struct {
	Server   string // of Outcome, whose Server is not set
	Outcome  fleet.OutcomeReport
	Demand   fleet.DemandReport
	IsDemand bool // Demand is set, not Outcome
}

// platformLoadFields are the names of load figures on the users' platform. Collectors send those of the simulator,
// which the platform allows as well.
var platformLoadFields = map[string]fleet.LoadField{
	"inflight":   fleet.LoadFieldInFlight,
	"queue":      fleet.LoadFieldQueueLength,
	"util":       fleet.LoadFieldUtilization,
	"latency_ms": fleet.LoadFieldServiceTimeMs,
	"qps":        fleet.LoadFieldRequestRate,
	"eps":        fleet.LoadFieldErrorRate,
}

// parseReport reads an outcome or demand report.
func (v *Vocabulary) parseReport(m *message) (Report, error) {
	var report Report
	switch m.kind {
	case kindOutcome:
		report.Server = m.requiredText("endpoint")
		report.Outcome = v.parseOutcome(m)
	case kindDemand:
		report.IsDemand = true
		report.Demand = v.parseDemand(m)
	default:
		m.fail("unknown message kind %.40q", m.kind)
	}
	return report, m.fieldErr
}

func (v *Vocabulary) parseOutcome(m *message) fleet.OutcomeReport {
	outcome := fleet.OutcomeReport{
		Attempts: m.count("total", maxReportedCount),
		Failures: m.count("errors", maxReportedCount),
		Interval: parseInterval(m),
		Zone:     fleet.ZoneID(m.nameIndex("locality", v.Zones)),
	}
	if outcome.Failures > outcome.Attempts {
		m.fail("field errors: %d failures exceed the %d attempts in field total", outcome.Failures, outcome.Attempts)
	}
	_, hasLatency := m.value("rtt")
	if hasLatency || outcome.Failures < outcome.Attempts {
		outcome.Latency = fleet.Milliseconds(m.number("rtt", 0, maxReportedLatency))
	}
	if load, _ := m.value("metrics"); load != "" {
		outcome.Load = v.parseLoad(m, load)
	}
	return outcome
}

// parseDemand reads a demand report. Its unanswered requests may be more than its requests, as some came in an earlier
// interval.
func (v *Vocabulary) parseDemand(m *message) fleet.DemandReport {
	return fleet.DemandReport{
		Requests:   m.count("total", maxReportedCount),
		Unanswered: m.count("errors", maxReportedCount),
		Interval:   parseInterval(m),
		Proxy:      fleet.ProxyID(m.count("node", float64(v.ProxyCount-1))),
		Class:      fleet.ClassID(m.nameIndex("route", v.Classes)),
	}
}

func parseInterval(m *message) fleet.Time {
	return fleet.Milliseconds(m.number("interval", math.SmallestNonzeroFloat64, maxReportedInterval))
}

// parseLoad reads load figures into the order of LoadFields, with missingLoad where there is none. Figures that
// LoadFields doesn't name are checked and dropped.
func (v *Vocabulary) parseLoad(m *message, text string) []float32 {
	load := make([]float32, len(v.LoadFields))
	for i := range load {
		load[i] = missingLoad
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, ":")
		loadField, known := loadFieldByName(name)
		figure, err := strconv.ParseFloat(value, 64)
		maximum := maxReportedLoad
		if known && loadField == fleet.LoadFieldUtilization {
			maximum = maxReportedUtilization
		}
		inRange := figure >= 0 && figure <= maximum // false for NaN
		if err != nil || !inRange {
			m.fail("field metrics: %.40q is not name:value with a number from 0 to %g", part, maximum)
			return nil
		}
		if i := slices.Index(v.LoadFields, loadField); known && i >= 0 {
			load[i] = float32(figure)
		}
	}
	return load
}

func loadFieldByName(name string) (loadField fleet.LoadField, known bool) {
	loadField, known = platformLoadFields[name]
	if !known {
		loadField, known = simwire.LoadFieldByName[name]
	}
	return loadField, known
}

// SeriesKey identifies the series that a report belongs to. Reports of one series can be merged.
type SeriesKey struct {
	server   string
	zone     fleet.ZoneID
	proxy    fleet.ProxyID
	class    fleet.ClassID
	isDemand bool
}

// Key returns the series of the report.
func (r *Report) Key() SeriesKey {
	return SeriesKey{
		server:   r.Server,
		zone:     r.Outcome.Zone,
		proxy:    r.Demand.Proxy,
		class:    r.Demand.Class,
		isDemand: r.IsDemand,
	}
}

// Merge adds a later report of the same series to this one.
func (r *Report) Merge(later Report) {
	if r.IsDemand {
		mergeDemand(&r.Demand, &later.Demand)
		return
	}
	mergeOutcome(&r.Outcome, &later.Outcome)
}

func mergeDemand(sum, later *fleet.DemandReport) {
	sum.Requests += later.Requests
	sum.Unanswered += later.Unanswered
	sum.Interval += later.Interval
}

// mergeOutcome weights the latencies by the numbers of successful attempts. The later load figures replace the earlier.
func mergeOutcome(sum, later *fleet.OutcomeReport) {
	successes := float64(sum.Attempts - sum.Failures)
	laterSuccesses := float64(later.Attempts - later.Failures)
	if total := successes + laterSuccesses; total > 0 {
		sum.Latency = fleet.Time((float64(sum.Latency)*successes + float64(later.Latency)*laterSuccesses) / total)
	}
	sum.Attempts += later.Attempts
	sum.Failures += later.Failures
	sum.Interval += later.Interval
	if later.Load != nil {
		sum.Load = later.Load
	}
}

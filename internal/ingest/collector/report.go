package collector

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// Limits of the values in a report. A report that exceeds them is malformed.
const (
	// maxReportedCount limits attempts and requests to a thousand times what a controller's proxies make in an interval.
	maxReportedCount = 1_000_000

	// maxReportedInterval is in ms. A collector that was partitioned for longer starts over.
	maxReportedInterval = 120_000.0

	// maxReportedLatency is in ms. No client waits for 10 minutes.
	maxReportedLatency = 600_000.0

	// maxReportedLoad limits load figures other than utilization.
	maxReportedLoad = 1e7

	// maxReportedUtilization is above 1 because measurement noise may raise the fraction of busy time above 1.
	maxReportedUtilization = 4.0
)

// missingLoad marks a load figure that a report does not contain.
const missingLoad = -1

// ReportSchema holds the names that reports may use. Zones and Classes are indexed by ID.
type ReportSchema struct {
	Zones      []string
	Classes    []string
	ProxyCount int               // proxy IDs are below it
	LoadFields []fleet.LoadField // the load figures to keep, in the order of OutcomeReport.Load
}

// Report is one load report: either an outcome report or a demand report.
type Report struct {
	Server   string // name of the server of Outcome, whose field Server is not set
	Outcome  fleet.OutcomeReport
	Demand   fleet.DemandReport
	IsDemand bool // true: only Demand is set; false: only Server and Outcome are
}

// platformLoadFields are the platform's names of load figures. Collectors send the simulator's names, which the
// platform also allows.
var platformLoadFields = map[string]fleet.LoadField{
	"inflight":   fleet.LoadFieldInFlight,
	"queue":      fleet.LoadFieldQueueLength,
	"util":       fleet.LoadFieldUtilization,
	"latency_ms": fleet.LoadFieldServiceTimeMs,
	"qps":        fleet.LoadFieldRequestRate,
	"eps":        fleet.LoadFieldErrorRate,
}

// parseReport converts a message to an outcome or demand report.
func (s *ReportSchema) parseReport(m *message) (Report, error) {
	var report Report
	switch m.kind {
	case kindOutcome:
		report.Server = m.requiredText("endpoint")
		report.Outcome = s.parseOutcome(m)
	case kindDemand:
		report.IsDemand = true
		report.Demand = s.parseDemand(m)
	default:
		m.fail("unknown message kind %.40q", m.kind)
	}
	return report, m.fieldErr
}

// parseOutcome parses an outcome report. The latency is optional only if all attempts failed.
func (s *ReportSchema) parseOutcome(m *message) fleet.OutcomeReport {
	outcome := fleet.OutcomeReport{
		Attempts: m.count("total", maxReportedCount),
		Failures: m.count("errors", maxReportedCount),
		Interval: parseInterval(m),
		Zone:     fleet.ZoneID(m.nameIndex("locality", s.Zones)),
	}
	if outcome.Failures > outcome.Attempts {
		m.fail("field errors: %d failures exceed the %d attempts in field total", outcome.Failures, outcome.Attempts)
	}
	_, hasLatency := m.value("rtt")
	if hasLatency || outcome.Failures < outcome.Attempts {
		outcome.Latency = fleet.Milliseconds(m.number("rtt", 0, maxReportedLatency))
	}
	if load, _ := m.value("metrics"); load != "" {
		outcome.Load = s.parseLoad(m, load)
	}
	return outcome
}

// parseDemand parses a demand report. The number of unanswered requests may exceed that of requests, since some of them
// were received in an earlier interval.
func (s *ReportSchema) parseDemand(m *message) fleet.DemandReport {
	return fleet.DemandReport{
		Requests:   m.count("total", maxReportedCount),
		Unanswered: m.count("errors", maxReportedCount),
		Interval:   parseInterval(m),
		Proxy:      fleet.ProxyID(m.count("node", float64(s.ProxyCount-1))),
		Class:      fleet.ClassID(m.nameIndex("route", s.Classes)),
	}
}

// parseInterval parses the interval in ms, which must be above 0.
func parseInterval(m *message) fleet.Time {
	return fleet.Milliseconds(m.number("interval", math.SmallestNonzeroFloat64, maxReportedInterval))
}

// parseLoad returns the load figures in the order of LoadFields, with missingLoad for those that the text does not
// contain. Figures that are not in LoadFields are validated and dropped.
func (s *ReportSchema) parseLoad(m *message, text string) []float32 {
	load := make([]float32, len(s.LoadFields))
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
		if i := slices.Index(s.LoadFields, loadField); known && i >= 0 {
			load[i] = float32(figure)
		}
	}
	return load
}

// loadFieldByName looks up the platform's and the simulator's names of load figures.
func loadFieldByName(name string) (loadField fleet.LoadField, known bool) {
	loadField, known = platformLoadFields[name]
	if !known {
		loadField, known = simwire.LoadFieldByName[name]
	}
	return loadField, known
}

// SeriesKey identifies the series that a report belongs to. Reports of the same series can be merged. It is comparable.
type SeriesKey struct {
	server   string
	zone     fleet.ZoneID
	proxy    fleet.ProxyID
	class    fleet.ClassID
	isDemand bool
}

// Key returns the key of the report's series: server and zone of an outcome report, proxy and class of a demand report.
func (r *Report) Key() SeriesKey {
	return SeriesKey{
		server:   r.Server,
		zone:     r.Outcome.Zone,
		proxy:    r.Demand.Proxy,
		class:    r.Demand.Class,
		isDemand: r.IsDemand,
	}
}

// Merge adds a later report of the same series to this one: counts and intervals are summed, latencies are averaged
// over the successful attempts, and later load figures replace earlier ones. The keys of both reports must be equal.
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

// mergeOutcome weights the latencies by the number of successful attempts. Later load figures replace earlier ones.
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

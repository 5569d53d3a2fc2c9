package simwire

import (
	"encoding/json"
	"fmt"

	"cressknot/internal/fleet"
)

// maxClasses is the number of bits of a fleet.ClassSet.
const maxClasses = 16

// options is the JSON structure of the settings. Pointers mark required keys, which have no default. The names of this
// type and its fields appear in errors of package json.
type options struct {
	Me        int      `json:"me"`
	Balancers int      `json:"balancers"`
	Az        uint8    `json:"az"`
	Dcs       []string `json:"dcs"`
	Kinds     []string `json:"kinds"`
	Discovery string   `json:"discovery"`
	TickMs    float64  `json:"tickMs"`
	Weights   string   `json:"weightSource"`
	Grades    []struct {
		Name       string   `json:"name"`
		Effect     *string  `json:"effect"`
		Group      string   `json:"group"`
		WindowMs   float64  `json:"windowMs"`
		TargetMs   *float64 `json:"targetMs"`
		DeadlineMs *float64 `json:"deadlineMs"`
		Worth      float64  `json:"worth"`
		LateShare  float64  `json:"lateShare"`
	} `json:"grades"`
	Limits struct {
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
		Peers            bool    `json:"peers"`
		Probes           bool    `json:"probes"`
	} `json:"limits"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AskWithinMs    float64  `json:"askWithinMs"`
		ColdFrom       *float64 `json:"coldFrom"`
		ColdMs         *float64 `json:"coldMs"`
		DrainGraceMs   *float64 `json:"drainGraceMs"`
		FallMs         *float64 `json:"fallMs"`
		OverloadFactor *float64 `json:"overloadFactor"`
		IgnoreRemoval  bool     `json:"removalNotBinding"`
	} `json:"rules"`
	Goal struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worstClass"`
	} `json:"goal"`
	Family struct {
		Admission     string   `json:"admission"`
		Agents        int      `json:"agents"`
		Bootstrap     int      `json:"bootstrap"`
		ByZone        bool     `json:"byZone"`
		ClassWrites   []bool   `json:"classWrites"`
		CountedOverMs float64  `json:"countedOverMs"`
		EgressPerS    *float64 `json:"egressPerS"`
		Envelope      *float64 `json:"envelope"`
		Exclusive     bool     `json:"exclusive"`
		InFlightMaxMs float64  `json:"inFlightMaxMs"`
		IntervalMs    float64  `json:"intervalMs"`
		MostWaiting   *float64 `json:"mostWaiting"`
		OutlierAfter  int      `json:"outlierAfter"`
		PerTry        float64  `json:"perTry"`
		PropagationMs float64  `json:"propagationMs"`
		PushDelayMax  float64  `json:"pushDelayMaxMs"`
		ReloadsMax    int      `json:"reloadsMax"`
		ReportsPerS   float64  `json:"reportsPerS"`
		RetryDefault  uint8    `json:"retryDefault"`
		Shards        int      `json:"shards"`
		SmallestConn  float64  `json:"smallestConnTable"`
		StaysLocal    []bool   `json:"staysLocal"`
		TenureMs      float64  `json:"tenureMs"`
		UnservedMaxMs *float64 `json:"unservedMaxMs"`
	} `json:"familyInfo"`
}

// ParseSite parses the JSON settings of a start. It ignores unknown keys. The error names the first key that is missing
// or invalid.
func ParseSite(text []byte) (fleet.Site, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return fleet.Site{}, fmt.Errorf("settings: %w", LocateJSONError(err))
	}
	var c checker
	site := convertSite(&c, &o)
	site.Classes = convertClasses(&c, &o)
	if c.err != nil {
		return fleet.Site{}, c.err
	}
	return site, nil
}

// convertSite converts all settings except the classes. The order of the checks determines which error is returned.
func convertSite(c *checker, o *options) fleet.Site {
	family := &o.Family
	return fleet.Site{
		ControllerIndex:      o.Me,
		Controllers:          max(1, o.Balancers),
		Zone:                 fleet.ZoneID(o.Az),
		Zones:                zonesOrDefault(o.Dcs),
		Kinds:                o.Kinds,
		Tick:                 fleet.Milliseconds(o.TickMs),
		ListOnRequest:        enumValue(c, "discovery", o.Discovery, listOnRequestByName),
		ListWeight:           enumValue(c, "weightSource", o.Weights, listWeightByName),
		LoadReports:          enumValue(c, "report.how", o.Report.How, loadReportModeByName),
		LoadFields:           convertLoadFields(o.Report.Fields),
		ProbesAllowed:        o.Limits.Probes,
		PeersAllowed:         o.Limits.Peers,
		Admission:            enumValue(c, "familyInfo.admission", family.Admission, admissionModeByName),
		ProxyCount:           family.Agents,
		JoinByZone:           family.ByZone,
		MaxStandingTableSize: family.Bootstrap,
		SliceCount:           family.Shards,
		ExclusiveSlices:      family.Exclusive,
		WriteLeaseDuration:   fleet.Milliseconds(family.TenureMs),
		MaxWriteDuration:     fleet.Milliseconds(family.InFlightMaxMs),
		AttemptTimeoutFactor: family.PerTry,
		DefaultRetry:         fleet.RetryMode(family.RetryDefault),
		ProxyOutlierFailures: family.OutlierAfter,
		MinServerConnections: family.SmallestConn,
		ReportInterval:       fleet.Milliseconds(family.IntervalMs),
		ReportsPerSecond:     family.ReportsPerS,
		MeanUpdateDelay:      fleet.Milliseconds(family.PropagationMs),
		MaxUpdateDelay:       fleet.Milliseconds(family.PushDelayMax),
		EntriesPerSecond:     c.required("familyInfo.egressPerS", family.EgressPerS),
		MessageOverhead:      c.required("familyInfo.envelope", family.Envelope),
		MaxBacklog:           c.required("familyInfo.mostWaiting", family.MostWaiting),
		MaxMessages:          family.ReloadsMax,
		MessageWindow:        fleet.Milliseconds(family.CountedOverMs),
		MaxUnservedDuration:  c.requiredMilliseconds("familyInfo.unservedMaxMs", family.UnservedMaxMs),
		ConnectTimeout:       fleet.Milliseconds(o.Limits.ConnectTimeoutMs),
		SlowStart: fleet.SlowStart{
			InitialFraction: c.required("rules.coldFrom", o.Rules.ColdFrom),
			Duration:        c.requiredMilliseconds("rules.coldMs", o.Rules.ColdMs),
		},
		RecoveryRamp: fleet.RecoveryRamp{
			OverloadFactor: c.required("rules.overloadFactor", o.Rules.OverloadFactor),
			Duration:       c.requiredMilliseconds("rules.fallMs", o.Rules.FallMs),
		},
		DrainTimeout:              c.requiredMilliseconds("rules.drainGraceMs", o.Rules.DrainGraceMs),
		MaxPollInterval:           fleet.Milliseconds(o.Rules.AskWithinMs),
		IgnoreRemoval:             o.Rules.IgnoreRemoval,
		ObjectiveWorstClassWeight: o.Goal.WorstClass,
		ObjectiveOverallWeight:    o.Goal.Whole,
	}
}

// zonesOrDefault returns the configured zones, or a single unnamed zone if there are none.
func zonesOrDefault(names []string) []string {
	if len(names) == 0 {
		return []string{""}
	}
	return names
}

// convertLoadFields converts the names of load report values. Unknown names become LoadFieldOther.
func convertLoadFields(names []string) []fleet.LoadField {
	var fields []fleet.LoadField
	for _, name := range names {
		fields = append(fields, LoadFieldByName[name])
	}
	return fields
}

// convertClasses converts the request classes.
func convertClasses(c *checker, o *options) []fleet.RequestClass {
	if len(o.Grades) == 0 || len(o.Grades) > maxClasses {
		c.fail("grades", fmt.Sprintf("has %d classes, want 1 to %d", len(o.Grades), maxClasses))
	}
	var classes []fleet.RequestClass
	for i, grade := range o.Grades {
		key := fmt.Sprintf("grades[%d]", i)
		class := fleet.RequestClass{
			Name:                grade.Name,
			DeduplicationWindow: fleet.Milliseconds(grade.WindowMs),
			PriorityWeight:      grade.Worth,
			LateValueFraction:   grade.LateShare,
			LatencyObjective:    c.requiredMilliseconds(key+".targetMs", grade.TargetMs),
			Deadline:            c.requiredMilliseconds(key+".deadlineMs", grade.DeadlineMs),
			ZoneLocal:           flagAt(o.Family.StaysLocal, i),
			Writes:              flagAt(o.Family.ClassWrites, i),
		}
		if grade.Effect == nil {
			c.fail(key+".effect", "is missing")
		} else {
			class.Idempotency = enumValue(c, key+".effect", *grade.Effect, idempotencyByName)
		}
		if class.Idempotency == fleet.IdempotentWithKey {
			class.DeduplicationScope = enumValue(c, key+".group", grade.Group, deduplicationScopeByName)
		}
		classes = append(classes, class)
	}
	return classes
}

// flagAt returns the flag of a class. Missing ones are false.
func flagAt(flags []bool, i int) bool { return i < len(flags) && flags[i] }

// checker keeps the first error in the settings.
type checker struct{ err error }

func (c *checker) fail(key, problem string) {
	if c.err == nil {
		c.err = fmt.Errorf("settings: key %s %s", key, problem)
	}
}

// required returns the value of a required key.
func (c *checker) required(key string, value *float64) float64 {
	if value == nil {
		c.fail(key, "is missing")
		return 0
	}
	return *value
}

func (c *checker) requiredMilliseconds(key string, value *float64) fleet.Time {
	return fleet.Milliseconds(c.required(key, value))
}

// enumValue returns the value that has a name.
func enumValue[T any](c *checker, key, name string, values map[string]T) T {
	value, known := values[name]
	if !known {
		c.fail(key, fmt.Sprintf("has the unknown value %q", name))
	}
	return value
}

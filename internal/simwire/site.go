package simwire

import (
	"encoding/json"
	"fmt"

	"cressknot/internal/fleet"
)

// options is the JSON of enlist. Pointers mark the keys that a rule needs: without them we refuse to start.
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
		AskWithinMs       float64  `json:"askWithinMs"`
		ColdFrom          *float64 `json:"coldFrom"`
		ColdMs            *float64 `json:"coldMs"`
		DrainGraceMs      *float64 `json:"drainGraceMs"`
		FallMs            *float64 `json:"fallMs"`
		OverloadFactor    *float64 `json:"overloadFactor"`
		RemovalNotBinding bool     `json:"removalNotBinding"`
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

// ParseSite reads the settings of enlist. Unknown keys are ignored.
func ParseSite(text []byte) (fleet.Site, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return fleet.Site{}, fmt.Errorf("settings: %w", JSONFault(err))
	}
	p := parser{}
	f := &o.Family
	s := fleet.Site{
		ControllerIndex: o.Me, Controllers: max(1, o.Balancers), Zone: fleet.ZoneID(o.Az), Zones: o.Dcs, Kinds: o.Kinds,
		Tick:          millis(o.TickMs),
		ListOnRequest: pick(&p, "discovery", o.Discovery, onRequest),
		ListWeight:    pick(&p, "weightSource", o.Weights, listWeights),
		LoadReports:   pick(&p, "report.how", o.Report.How, reportWays),
		ProbesAllowed: o.Limits.Probes, PeersAllowed: o.Limits.Peers,
		Admission:  pick(&p, "familyInfo.admission", f.Admission, admissions),
		ProxyCount: f.Agents, JoinByZone: f.ByZone, StandingTableSize: f.Bootstrap, SliceCount: f.Shards, ExclusiveSlices: f.Exclusive,
		WriteLeaseDuration: millis(f.TenureMs), MaxWriteDuration: millis(f.InFlightMaxMs), AttemptTimeoutFactor: f.PerTry,
		DefaultRetry: fleet.RetryMode(f.RetryDefault), ProxyOutlierFailures: f.OutlierAfter, MinServerConnections: f.SmallestConn,
		ReportInterval: millis(f.IntervalMs), ReportsPerSecond: f.ReportsPerS,
		MeanUpdateDelay: millis(f.PropagationMs), MaxUpdateDelay: millis(f.PushDelayMax),
		EntriesPerSecond: p.need("familyInfo.egressPerS", f.EgressPerS), MessageOverhead: p.need("familyInfo.envelope", f.Envelope),
		MaxBacklog:  p.need("familyInfo.mostWaiting", f.MostWaiting),
		MaxMessages: f.ReloadsMax, MessageWindow: millis(f.CountedOverMs),
		MaxUnservedDuration: millis(p.need("familyInfo.unservedMaxMs", f.UnservedMaxMs)),
		ConnectTimeout:      millis(o.Limits.ConnectTimeoutMs),
		SlowStart:           fleet.SlowStart{InitialFraction: p.need("rules.coldFrom", o.Rules.ColdFrom), Duration: millis(p.need("rules.coldMs", o.Rules.ColdMs))},
		RecoveryRamp:        fleet.RecoveryRamp{OverloadFactor: p.need("rules.overloadFactor", o.Rules.OverloadFactor), Duration: millis(p.need("rules.fallMs", o.Rules.FallMs))},
		DrainTimeout:        millis(p.need("rules.drainGraceMs", o.Rules.DrainGraceMs)),
		MaxPollInterval:     millis(o.Rules.AskWithinMs),
		RemovalNotBinding:   o.Rules.RemovalNotBinding,
		WorstClassWeight:    o.Goal.WorstClass, OverallWeight: o.Goal.Whole,
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{""} // a site that names no zones is one
	}
	for _, name := range o.Report.Fields {
		s.LoadFields = append(s.LoadFields, LoadFields[name])
	}
	if len(o.Grades) == 0 || len(o.Grades) > 16 {
		p.fail("grades", fmt.Sprintf("wants 1 to 16 classes, has %d", len(o.Grades)))
	}
	for i, g := range o.Grades {
		key := fmt.Sprintf("grades[%d]", i)
		c := fleet.RequestClass{
			Name: g.Name, DeduplicationWindow: millis(g.WindowMs), PriorityWeight: g.Worth, LateValueFraction: g.LateShare,
			LatencyObjective: millis(p.need(key+".targetMs", g.TargetMs)),
			Deadline:         millis(p.need(key+".deadlineMs", g.DeadlineMs)),
		}
		if g.Effect == nil {
			p.fail(key+".effect", "is missing")
		} else {
			c.Idempotency = pick(&p, key+".effect", *g.Effect, effects)
		}
		if c.Idempotency == fleet.IdempotentWithKey {
			c.DeduplicationScope = pick(&p, key+".group", g.Group, groups)
		}
		c.ZoneLocal = i < len(f.StaysLocal) && f.StaysLocal[i]
		c.Writes = i < len(f.ClassWrites) && f.ClassWrites[i]
		s.Classes = append(s.Classes, c)
	}
	return s, p.err
}

var (
	onRequest   = map[string]bool{"pushed": false, "on_request": true}
	listWeights = map[string]fleet.ListWeight{"": fleet.ListWeightNone, "off": fleet.ListWeightNone,
		"nominal": fleet.ListWeightNominal, "rough": fleet.ListWeightApproximate, "live": fleet.ListWeightLive}
	reportWays = map[string]fleet.LoadReportMode{"": fleet.LoadReportNone, "off": fleet.LoadReportNone,
		"inline": fleet.LoadReportInline, "on_probe": fleet.LoadReportOnProbe}
	admissions = map[string]fleet.AdmissionMode{"": fleet.AdmissionUnlimited, "off": fleet.AdmissionUnlimited,
		"ratio": fleet.AdmissionFraction, "rps": fleet.AdmissionRate}
	effects = map[string]fleet.Idempotency{"read_like": fleet.Idempotent, "idempotency_key": fleet.IdempotentWithKey,
		"non_idempotent": fleet.NotIdempotent}
	groups = map[string]fleet.DeduplicationScope{"all": fleet.DeduplicationFleet, "zone": fleet.DeduplicationZone, "cell": fleet.DeduplicationCell}
	// LoadFields are the wire's names of the figures of a load report.
	LoadFields = map[string]fleet.LoadField{"rif": fleet.LoadFieldInFlight, "q": fleet.LoadFieldQueueLength, "busy": fleet.LoadFieldUtilization,
		"lat_ms": fleet.LoadFieldServiceTimeMs, "rate": fleet.LoadFieldRequestRate, "fail_rate": fleet.LoadFieldErrorRate}
)

// parser keeps the first thing that was wrong.
type parser struct{ err error }

func (p *parser) fail(key, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: key %s %s", key, what)
	}
}

func (p *parser) need(key string, v *float64) float64 {
	if v == nil {
		p.fail(key, "is missing")
		return 0
	}
	return *v
}

func pick[T any](p *parser, key, word string, known map[string]T) T {
	v, ok := known[word]
	if !ok {
		p.fail(key, fmt.Sprintf("has the unknown word %q", word))
	}
	return v
}

func millis(ms float64) fleet.Time { return fleet.Milliseconds(ms) }

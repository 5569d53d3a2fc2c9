// Package config reads the settings of a governor: typed records checked against the schema in schema.cue, which
// also holds the defaults. A file may be CUE, JSON or YAML. All errors of a file are told, each with file, line
// and field.
package config

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	cueformat "cuelang.org/go/cue/format"
	"cuelang.org/go/encoding/yaml"

	"cressknot/internal/fleet"
	"cressknot/internal/lease"
	"cressknot/internal/transport"
)

//go:embed schema.cue
var schema string

// sizeMost bounds a settings file: 10,000 proxies take some 1.5 MB.
const sizeMost = 8 << 20

// Duration is a time with its unit, as "2s".
type Duration fleet.Time

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	*d = Duration(t.Nanoseconds())
	return err
}

// Settings are what a file says, with the schema's defaults.
type Settings struct {
	Name      string   `json:"name"`
	Seed      uint64   `json:"seed"`
	Me        int      `json:"me"`
	Governors int      `json:"governors"`
	Zones     []string `json:"zones"`
	Zone      string   `json:"zone"`
	Kinds     []string `json:"kinds"`
	Classes   []struct {
		Name       string   `json:"name"`
		Backend    string   `json:"backend"`
		Effect     string   `json:"effect"`
		Group      string   `json:"group"`
		Window     Duration `json:"window"`
		Expected   Duration `json:"expected"`
		HardStop   Duration `json:"hardStop"`
		Value      float64  `json:"value"`
		LateShare  float64  `json:"lateShare"`
		StaysLocal bool     `json:"staysLocal"`
		Writes     bool     `json:"writes"`
	} `json:"classes"`
	Proxies []struct {
		Name   string  `json:"name"`
		Zone   string  `json:"zone"`
		Addr   string  `json:"addr"`
		Visits float64 `json:"visits"`
	} `json:"proxies"`
	List struct {
		Source    string   `json:"source"`
		Path      string   `json:"path"`
		URL       string   `json:"url"`
		OnRequest bool     `json:"onRequest"`
		AskWithin Duration `json:"askWithin"`
		Wait      Duration `json:"wait"`
		Cache     string   `json:"cache"`
		Prove     string   `json:"prove"`
		Weight    string   `json:"weight"`
	} `json:"list"`
	Front struct {
		Kind         string   `json:"kind"`
		Map          string   `json:"map"`
		Table        string   `json:"table"`
		Admission    string   `json:"admission"`
		Proxies      int      `json:"proxies"`
		JoinByZone   bool     `json:"joinByZone"`
		Standing     int      `json:"standing"`
		RetryDefault uint8    `json:"retryDefault"`
		PerTry       float64  `json:"perTry"`
		OutlierAfter int      `json:"outlierAfter"`
		ConnLeast    float64  `json:"connLeast"`
		Connect      Duration `json:"connect"`
	} `json:"front"`
	Channel struct {
		LinesPerS    float64  `json:"linesPerS"`
		Head         float64  `json:"head"`
		Backlog      float64  `json:"backlog"`
		Messages     int      `json:"messages"`
		MessagesOver Duration `json:"messagesOver"`
		Travel       Duration `json:"travel"`
		TravelMost   Duration `json:"travelMost"`
		Bare         Duration `json:"bare"`
	} `json:"channel"`
	Reports struct {
		Every     Duration `json:"every"`
		LinesPerS float64  `json:"linesPerS"`
		Load      string   `json:"load"`
		Listen    string   `json:"listen"`
		Series    string   `json:"series"`
		Fields    []string `json:"fields"`
		Probes    bool     `json:"probes"`
		ProbePath string   `json:"probePath"`
	} `json:"reports"`
	Servers struct {
		ColdFrom   float64  `json:"coldFrom"`
		ColdFor    Duration `json:"coldFor"`
		FallFactor float64  `json:"fallFactor"`
		FallFor    Duration `json:"fallFor"`
		DrainGrace Duration `json:"drainGrace"`
		GoneBinds  bool     `json:"goneBinds"`
	} `json:"servers"`
	Goal struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worstClass"`
	} `json:"goal"`
	Peers struct {
		Listen  string   `json:"listen"`
		Join    []string `json:"join"`
		KeyFile string   `json:"keyFile"`
	} `json:"peers"`
	Sharing struct {
		Governors []string `json:"governors"`
	} `json:"sharing"`
	Service struct {
		RPC    string  `json:"rpc"`
		Text   string  `json:"text"`
		Visits float64 `json:"visits"`
	} `json:"service"`
	Store struct {
		Folder string `json:"folder"`
	} `json:"store"`
	Operators struct {
		Socket string   `json:"socket"`
		Stop   Duration `json:"stop"`
	} `json:"operators"`
	Log struct {
		Level  string `json:"level"`
		Format string `json:"format"`
		File   string `json:"file"`
	} `json:"log"`
	Guard   bool     `json:"guard"`
	Faults  []string `json:"faults"`
	Records string   `json:"records"`
}

// Fault is one thing that is wrong in a file.
type Fault struct {
	File  string
	Line  int // 0: not at one line, as for a field that is missing
	Field string
	What  string
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		at += ": " + f.Field
	}
	return at + ": " + f.What
}

// Faults are all that is wrong in a file, in the order of their lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file. What is wrong in it comes as Faults.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, sizeMost+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file; the name's ending tells YAML from CUE and JSON.
func Parse(path string, text []byte) (*Settings, error) {
	if len(text) > sizeMost {
		return nil, Faults{{File: path, What: fmt.Sprintf("is over %d bytes", sizeMost)}}
	}
	ctx := cuecontext.New()
	rules := ctx.CompileString(schema, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := rules.Err(); err != nil {
		return nil, fmt.Errorf("the program's own schema: %w", err)
	}
	var own cue.Value
	if ext := filepath.Ext(path); ext == ".yaml" || ext == ".yml" {
		file, err := yaml.Extract(path, text)
		if err != nil {
			return nil, faults(path, rules, cue.Value{}, err)
		}
		own = ctx.BuildFile(file)
	} else {
		own = ctx.CompileBytes(text, cue.Filename(path))
	}
	if err := own.Err(); err != nil {
		return nil, faults(path, rules, own, err)
	}
	whole := rules.Unify(own)
	if err := whole.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, faults(path, rules, own, err)
	}
	s := &Settings{}
	if err := whole.Decode(s); err != nil {
		return nil, faults(path, rules, own, err)
	}
	if wrong := s.check(path, own); len(wrong) > 0 {
		return nil, wrong
	}
	return s, nil
}

// faults turns the library's errors into ours, one a field: for a value that the schema doesn't take, what it is
// and what the schema asks for.
func faults(path string, rules, own cue.Value, err error) Faults {
	var all Faults
	for _, e := range cueerrors.Errors(err) {
		f := Fault{File: path, Field: strings.TrimPrefix(strings.Join(e.Path(), "."), "#Settings.")}
		format, args := e.Msg()
		f.What = fmt.Sprintf(format, args...)
		for _, at := range append(cueerrors.Positions(e), e.InputPositions()...) {
			if at.Filename() == path && at.Line() > 0 {
				f.Line = at.Line()
				break
			}
		}
		if line := lineOf(own, f.Field); line > 0 {
			f.Line = line
		}
		if form := formOf(rules, f.Field); form != "" {
			if v := own.LookupPath(cue.ParsePath(indexed(f.Field))); v.Exists() {
				f.What = fmt.Sprintf("is %v; expected %s", v, form)
			} else {
				f.What = "is missing; expected " + form
			}
		}
		if !slices.ContainsFunc(all, func(o Fault) bool { return o.Field == f.Field && f.Field != "" }) {
			all = append(all, f)
		}
	}
	if len(all) == 0 {
		all = Faults{{File: path, What: err.Error()}}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return a.Line - b.Line })
	return all
}

// formOf prints what the schema asks of a field, "" where it has none.
func formOf(rules cue.Value, field string) string {
	if field == "" || !rules.Exists() {
		return ""
	}
	var path []cue.Selector
	for _, part := range strings.Split(field, ".") {
		if _, err := strconv.Atoi(part); err == nil {
			path = append(path, cue.AnyIndex)
		} else {
			path = append(path, cue.Str(part).Optional())
		}
	}
	v := rules
	for _, sel := range path {
		next := v.LookupPath(cue.MakePath(sel))
		if plain := sel.String(); !next.Exists() && sel != cue.AnyIndex {
			next = v.LookupPath(cue.ParsePath(strings.TrimSuffix(plain, "?")))
		}
		if v = next; !v.Exists() {
			return ""
		}
	}
	text, err := cueformat.Node(v.Syntax(cue.Raw()))
	if err != nil || strings.Contains(string(text), "\n") {
		return ""
	}
	return strings.ReplaceAll(string(text), "#Time", `a time as "2s" or "500ms"`)
}

// lineOf gives the line of a field, or of the nearest record around it that stands in the file.
func lineOf(own cue.Value, field string) int {
	for field != "" && own.Exists() {
		path := cue.ParsePath(indexed(field))
		if v := own.LookupPath(path); v.Exists() && v.Pos().Line() > 0 {
			return v.Pos().Line()
		}
		cut := strings.LastIndexByte(field, '.')
		field = field[:max(0, cut)]
	}
	return 0
}

// indexed writes a path "proxies.0.zone" as the library reads it, "proxies[0].zone".
func indexed(field string) string {
	var b strings.Builder
	for i, part := range strings.Split(field, ".") {
		if _, err := strconv.Atoi(part); err == nil {
			b.WriteString("[" + part + "]")
			continue
		}
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// check finds what a schema can't say.
func (s *Settings) check(path string, own cue.Value) (wrong Faults) {
	bad := func(field, format string, args ...any) {
		wrong = append(wrong, Fault{path, lineOf(own, field), field, fmt.Sprintf(format, args...)})
	}
	zone := func(field, name string) {
		if !slices.Contains(s.Zones, name) {
			bad(field, "%q is none of the zones %s", name, strings.Join(s.Zones, ", "))
		}
	}
	zone("zone", s.Zone)
	if len(s.Classes) > 16 {
		bad("classes", "has %d classes, 16 are the most", len(s.Classes))
	}
	names, backends := map[string]bool{}, map[string]bool{}
	for i, c := range s.Classes {
		if names[c.Name] {
			bad(fmt.Sprintf("classes.%d.name", i), "%q names two classes", c.Name)
		}
		if backends[c.Backend] {
			bad(fmt.Sprintf("classes.%d.backend", i), "%q is the backend of two classes", c.Backend)
		}
		names[c.Name], backends[c.Backend] = true, true
		if c.Expected > c.HardStop {
			bad(fmt.Sprintf("classes.%d.expected", i), "is longer than the hard stop")
		}
		if c.Effect != "safe" && s.Front.RetryDefault > 1 {
			bad("front.retryDefault", "%d would run a visit of class %s twice", s.Front.RetryDefault, c.Name)
		}
	}
	proxies, addrs := map[string]bool{}, map[string]bool{}
	for i, p := range s.Proxies {
		field := fmt.Sprintf("proxies.%d.", i)
		if zone(field+"zone", p.Zone); proxies[p.Name] {
			bad(field+"name", "%q names two proxies", p.Name)
		}
		if addrs[p.Addr] {
			bad(field+"addr", "%q is the address of two proxies", p.Addr)
		}
		proxies[p.Name], addrs[p.Addr] = true, true
	}
	if len(s.Proxies) > 65000 {
		bad("proxies", "has %d proxies, 65000 are the most", len(s.Proxies))
	}
	if s.List.Source == "file" && s.List.Path == "" {
		bad("list.path", "is needed for a list from a file")
	}
	if s.List.Source == "http" && s.List.URL == "" {
		bad("list.url", "is needed for a list over HTTP")
	}
	if len(s.Reports.Fields) > 4 {
		bad("reports.fields", "has %d figures, 4 are the most", len(s.Reports.Fields))
	}
	if s.Reports.Load == "pushed" && s.Reports.Listen == "" {
		bad("reports.listen", "is needed where load figures are pushed")
	}
	if n := len(s.Sharing.Governors); n > 0 {
		if !slices.Contains(s.Sharing.Governors, s.Name) {
			bad("sharing.governors", "does not name this governor, %q", s.Name)
		}
		if s.Front.Kind != "runtime" {
			bad("sharing.governors", "governors agree at runtime sockets; front.kind is %q", s.Front.Kind)
		}
		if len(slices.Compact(slices.Sorted(slices.Values(s.Sharing.Governors)))) < n {
			bad("sharing.governors", "names one twice")
		}
	}
	if s.Serves() && s.Front.Admission == "rate" {
		bad("front.admission", "is a rate at each proxy; the programs that the service serves are many in place of one: use \"share\" or \"all\"")
	}
	if s.Serves() && len(s.Proxies)+len(s.Zones) > 65000 {
		bad("proxies", "has %d proxies beside the zones that the service serves, 65000 are the most", len(s.Proxies))
	}
	if s.Me >= s.Governors {
		bad("me", "is %d of %d governors, counted from 0", s.Me, s.Governors)
	}
	return wrong
}

var (
	effects    = map[string]fleet.Idempotency{"safe": fleet.Idempotent, "keyed": fleet.IdempotentWithKey, "unsafe": fleet.NotIdempotent}
	groups     = map[string]fleet.DeduplicationScope{"all": fleet.DeduplicationFleet, "zone": fleet.DeduplicationZone, "cell": fleet.DeduplicationCell}
	admissions = map[string]fleet.AdmissionMode{"all": fleet.AdmissionUnlimited, "share": fleet.AdmissionFraction, "rate": fleet.AdmissionRate}
	reportWays = map[string]fleet.LoadReportMode{"none": fleet.LoadReportNone, "answers": fleet.LoadReportInline,
		"probe": fleet.LoadReportOnProbe, "pushed": fleet.LoadReportInline}
	weights = map[string]fleet.ListWeight{"none": fleet.ListWeightNone, "nominal": fleet.ListWeightNominal,
		"rough": fleet.ListWeightApproximate, "live": fleet.ListWeightLive}
	fields = map[string]fleet.LoadField{"busy": fleet.LoadFieldUtilization, "held": fleet.LoadFieldInFlight, "queue": fleet.LoadFieldQueueLength,
		"service": fleet.LoadFieldServiceTimeMs, "rate": fleet.LoadFieldRequestRate, "errors": fleet.LoadFieldErrorRate}
)

// Site gives what the module is told at its start.
func (s *Settings) Site() fleet.Site {
	t := func(d Duration) fleet.Time { return fleet.Time(d) }
	site := fleet.Site{
		ControllerIndex: s.Me, Controllers: s.Governors, Zone: s.ZoneID(s.Zone), Zones: s.Zones, Kinds: s.Kinds,
		Tick: fleet.Millisecond, ListOnRequest: s.List.OnRequest, ListWeight: weights[s.List.Weight],
		LoadReports: reportWays[s.Reports.Load], ProbesAllowed: s.Reports.Probes,
		Admission: admissions[s.Front.Admission], ProxyCount: max(s.Front.Proxies, len(s.Proxies)) + len(s.Callers()),
		JoinByZone: s.Front.JoinByZone, StandingTableSize: s.Front.Standing, AttemptTimeoutFactor: s.Front.PerTry,
		DefaultRetry: fleet.RetryMode(s.Front.RetryDefault), ProxyOutlierFailures: s.Front.OutlierAfter, MinServerConnections: s.Front.ConnLeast,
		ReportInterval: t(s.Reports.Every), ReportsPerSecond: s.Reports.LinesPerS,
		MeanUpdateDelay: t(s.Channel.Travel), MaxUpdateDelay: t(s.Channel.TravelMost), EntriesPerSecond: s.Channel.LinesPerS,
		MessageOverhead: s.Channel.Head, MaxBacklog: s.Channel.Backlog, MaxMessages: s.Channel.Messages,
		MessageWindow: t(s.Channel.MessagesOver), MaxUnservedDuration: t(s.Channel.Bare), ConnectTimeout: t(s.Front.Connect),
		SlowStart: fleet.SlowStart{InitialFraction: s.Servers.ColdFrom, Duration: t(s.Servers.ColdFor)}, RecoveryRamp: fleet.RecoveryRamp{OverloadFactor: s.Servers.FallFactor, Duration: t(s.Servers.FallFor)}, DrainTimeout: t(s.Servers.DrainGrace), MaxPollInterval: t(s.List.AskWithin),
		RemovalNotBinding: !s.Servers.GoneBinds, WorstClassWeight: s.Goal.WorstClass, OverallWeight: s.Goal.Whole,
	}
	for _, f := range s.Reports.Fields {
		site.LoadFields = append(site.LoadFields, fields[f])
	}
	for _, c := range s.Classes {
		site.Classes = append(site.Classes, fleet.RequestClass{Name: c.Name, Idempotency: effects[c.Effect],
			DeduplicationScope: groups[c.Group], DeduplicationWindow: t(c.Window), LatencyObjective: t(c.Expected), Deadline: t(c.HardStop),
			PriorityWeight: c.Value, LateValueFraction: c.LateShare, ZoneLocal: c.StaysLocal, Writes: c.Writes})
	}
	return site
}

// ZoneID gives a zone's number.
func (s *Settings) ZoneID(name string) fleet.ZoneID {
	return fleet.ZoneID(max(0, slices.Index(s.Zones, name)))
}

// Fleet gives the proxies that this governor serves.
func (s *Settings) Fleet() []transport.Proxy {
	var all []transport.Proxy
	for i, p := range s.Proxies {
		all = append(all, transport.Proxy{ID: fleet.ProxyID(i), Name: p.Name, Zone: s.ZoneID(p.Zone), RequestRate: p.Visits,
			Addr: p.Addr})
	}
	return all
}

// Serves tells whether programs may ask this governor.
func (s *Settings) Serves() bool { return s.Service.RPC != "" || s.Service.Text != "" }

// Callers gives what stands for the programs of each zone, one proxy a zone, where the service serves any.
func (s *Settings) Callers() (all []transport.Proxy) {
	if !s.Serves() {
		return nil
	}
	for i, z := range s.Zones {
		all = append(all, transport.Proxy{ID: fleet.ProxyID(len(s.Proxies) + i), Name: "callers." + z, Zone: fleet.ZoneID(i), RequestRate: s.Service.Visits, Addr: "-"})
	}
	return all
}

// Shares gives the proxies as governors plan who serves them.
func (s *Settings) Shares() (all []lease.ProxyLoad) {
	for _, p := range s.Proxies {
		all = append(all, lease.ProxyLoad{Proxy: p.Name, RequestRate: p.Visits})
	}
	return all
}

// Backends gives how the classes are called at proxies.
func (s *Settings) Backends() []transport.Class {
	var all []transport.Class
	for _, c := range s.Classes {
		all = append(all, transport.Class{Name: c.Name, Backend: c.Backend})
	}
	return all
}

// Unchangeable names the fields in which two settings differ though a running governor can't follow that. What
// may change while it runs: log and records.
func Unchangeable(old, new *Settings) (fields []string) {
	a, b := *old, *new
	a.Log, a.Records = b.Log, b.Records
	for _, f := range []struct {
		name string
		a, b any
	}{{"name", a.Name, b.Name}, {"seed", a.Seed, b.Seed}, {"me", a.Me, b.Me}, {"governors", a.Governors, b.Governors},
		{"zones", a.Zones, b.Zones}, {"zone", a.Zone, b.Zone}, {"kinds", a.Kinds, b.Kinds}, {"classes", a.Classes, b.Classes},
		{"proxies", a.Proxies, b.Proxies}, {"list", a.List, b.List}, {"front", a.Front, b.Front},
		{"channel", a.Channel, b.Channel}, {"reports", a.Reports, b.Reports}, {"servers", a.Servers, b.Servers},
		{"goal", a.Goal, b.Goal}, {"guard", a.Guard, b.Guard}, {"faults", a.Faults, b.Faults}, {"operators", a.Operators, b.Operators}, {"store", a.Store, b.Store}, {"service", a.Service, b.Service}, {"sharing", a.Sharing, b.Sharing}, {"peers", a.Peers, b.Peers}} {
		if fmt.Sprint(f.a) != fmt.Sprint(f.b) {
			fields = append(fields, f.name)
		}
	}
	return fields
}

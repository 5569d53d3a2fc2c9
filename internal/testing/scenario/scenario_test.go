package scenario

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cressknot/internal/eventlog"
	"cressknot/internal/server"
	"cressknot/internal/testing/invariants"
)

// TestMain runs a controller instead of the tests if DRILL_GOVERNOR holds the path of a settings file, so that the test
// binary can serve as the controllers' program.
func TestMain(m *testing.M) {
	if path := os.Getenv("DRILL_GOVERNOR"); path != "" {
		if err := server.RunController(path); err != nil {
			_, _ = os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func launchController(config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DRILL_GOVERNOR="+config)
	return cmd
}

// runScenario runs a built-in scenario after change has modified its options; nil: unmodified.
func runScenario(t *testing.T, name string, change func(*Options)) *Report {
	t.Helper()
	spec, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Spec: spec, Launch: launchController, OutputDir: t.TempDir(), RecordEvents: true}
	if change != nil {
		change(&o)
	}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// expectRulesHeld fails the test if an invariant was violated.
func expectRulesHeld(t *testing.T, r *Report) {
	t.Helper()
	for _, v := range r.Rules {
		if len(v.Violations) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Violations)
		}
	}
}

// TestSmallScenarioKeepsInvariants runs a short scenario in which a controller crashes. All invariants must be checked
// and hold, and the recorded event log must replay to the same orders.
func TestSmallScenarioKeepsInvariants(t *testing.T) {
	var dir string
	r := runScenario(t, "small", func(o *Options) { dir = o.OutputDir })
	for _, v := range r.Rules {
		if len(v.Violations) > 0 || v.Tested == 0 {
			t.Errorf("%s: checked %d times, violations %v", v.Rule, v.Tested, v.Violations)
		}
	}
	if len(r.Problems) > 0 {
		t.Errorf("%v", r.Problems)
	}
	f, err := os.Open(dir + "/governor-1.records")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	steps, orders, err := eventlog.Replay("records", f)
	if err != nil || steps < 20 || orders < 20 {
		t.Errorf("replayed %d steps and %d orders, error %v; want at least 20 of each", steps, orders, err)
	}
	if t.Failed() {
		var b strings.Builder
		r.Print(&b)
		t.Log(b.String())
	}
}

// TestGuardPreventsHarmfulTables runs a scenario with harmful tables. With the guard all invariants must hold; without
// it some must be violated, which shows that the tables are harmful.
func TestGuardPreventsHarmfulTables(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		t.Run(map[bool]string{true: "guarded", false: "unguarded"}[guarded], func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, "harm", func(o *Options) { o.Spec.Guard = guarded })
			breaks := 0
			for _, v := range r.Rules {
				breaks += len(v.Violations)
			}
			if guarded && (breaks > 0 || r.PushesRejected == 0) || !guarded && breaks == 0 || len(r.Problems) > 0 {
				var b strings.Builder
				r.Print(&b)
				t.Error(b.String())
			}
		})
	}
}

// TestBrokenControllersAreDetected checks for each invariant that a violation by a broken controller is detected.
func TestBrokenControllersAreDetected(t *testing.T) {
	broken := map[string]func(*Options){
		// A controller that ignores drains: it receives no list updates, but they are recorded as sent.
		invariants.RuleDrain: func(o *Options) {
			o.Spec.FaultSpecs = []FaultSpec{
				{At: Duration(2 * time.Second), Duration: Duration(8 * time.Second), Kind: "drain"},
			}
			o.FrozenList = true
		},
		// A controller that lets proxies retry after any failure, also for classes that are not idempotent.
		invariants.RuleNoDuplicates: func(o *Options) {
			o.Spec.FaultSpecs = []FaultSpec{
				{At: Duration(time.Second), Duration: Duration(6 * time.Second), Kind: "answers-lost", Fraction: 1, Size: 0.6},
			}
			o.ForcedCommands = []string{"add map cressknot bag-issue.retry 2", "set map cressknot bag-issue.retry 2"}
		},
		// A controller that withdraws every server of a class.
		invariants.RuleAvailability: func(o *Options) {
			o.Spec.FaultSpecs = nil
			for i := range o.Spec.Nodes {
				o.ForcedCommands = append(o.ForcedCommands, "set server slot-look/"+nodeName(i)+" state maint")
			}
			o.AlterSettings = func(settings map[string]any) { // polls the proxies too seldom to correct the state
				settings["reports"] = map[string]any{"every": "60s"}
			}
		},
		// A controller that sends all requests to a server in slow start.
		invariants.RuleSlowStart: func(o *Options) {
			o.Spec.FaultSpecs = []FaultSpec{{At: Duration(time.Second), Duration: Duration(2 * time.Second), Kind: "crash"}}
			o.Spec.RequestRate = 160
			o.OverloadNewestNode = true
		},
		// A controller whose updates exceed the backlog, here by a lower limit.
		invariants.RuleQueue: func(o *Options) {
			o.Spec.FaultSpecs = nil
			o.AlterLimits = func(f *invariants.Limits) { f.Backlog = 20 }
		},
	}
	for rule, change := range broken {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, "small", func(o *Options) {
				o.Spec.Length = Duration(12 * time.Second)
				change(o)
			})
			for _, v := range r.Rules {
				if v.Rule == rule && len(v.Violations) == 0 {
					t.Errorf("violation not detected: %s", v.Observed)
				}
			}
		})
	}
}

// TestFloodedControllersDetectSilentReporters floods two controllers with unexpected load reports while some servers
// stop reporting but continue to serve. The invariants must hold, and both controllers must distinguish those servers
// from dead ones.
func TestFloodedControllersDetectSilentReporters(t *testing.T) {
	r := runScenario(t, "flood", func(o *Options) {
		o.Spec.Length = Duration(14 * time.Second)
		o.Spec.FaultSpecs = []FaultSpec{
			{At: Duration(2 * time.Second), Duration: Duration(10 * time.Second), Kind: "flood", Size: 10_000},
			{At: Duration(4 * time.Second), Duration: Duration(9 * time.Second), Kind: "mute", Fraction: 0.17},
		}
	})
	expectRulesHeld(t, r)
	if len(r.SilenceDetections) != 4 || r.UndetectedSilences != 0 || r.Flood[0]+r.Flood[1] == 0 {
		t.Errorf("silent reporters detected after %v s, %d not detected; flood %v",
			r.SilenceDetections, r.UndetectedSilences, r.Flood)
	}
	for _, g := range r.Controllers {
		if g.Info["Pushed_thinned"] == "" || g.Info["Pushed_thinned"] == "0" || g.Info["Tries_told"] == "0" {
			t.Errorf("%s: %v", g.Name, g.Info)
		}
	}
}

// TestStartWithoutDiscovery restarts two controllers and all proxies while the endpoint source is down, from cached
// lists that are a day old, half stale and damaged at the end. Proxies must have tables without the stale servers
// within ten seconds, and the source's return must move few requests.
func TestStartWithoutDiscovery(t *testing.T) {
	r := runScenario(t, "dark", func(o *Options) {
		o.Spec.Length = Duration(34 * time.Second)
		o.Spec.FaultSpecs = []FaultSpec{
			{At: Duration(3 * time.Second), Duration: Duration(14 * time.Second), Kind: "dark"},
		}
	})
	expectRulesHeld(t, r)
	d := r.DiscoveryOutage
	if len(r.Problems) > 0 || d == nil || len(d.Served) != 6 || d.Served[5] > serveTimeout.Seconds() ||
		d.StaleEntries > 0 ||
		d.InTimeFraction < 0.8 ||
		len(d.LiveAfter) != 2 ||
		d.MaxShift > 0.25 {
		t.Errorf("outage %+v, problems %v", d, r.Problems)
	}
}

// TestClientProgramsKeepInvariants runs a short scenario with programs that use the client library over both protocols,
// with crashes of a controller and of servers, a drain and lost answers.
func TestClientProgramsKeepInvariants(t *testing.T) {
	r := runScenario(t, "library", func(o *Options) {
		o.Spec.Length = Duration(18 * time.Second)
		o.Spec.FaultSpecs = []FaultSpec{
			{At: Duration(5 * time.Second), Duration: Duration(4 * time.Second), Kind: "crash"},
			{At: Duration(6 * time.Second), Duration: Duration(6 * time.Second), Kind: "drain", Fraction: 0.15},
			{
				At:       Duration(8 * time.Second),
				Duration: Duration(time.Second),
				Kind:     "governor-kill",
			},
			{
				At:       Duration(10 * time.Second),
				Duration: Duration(6 * time.Second),
				Kind:     "answers-lost",
				Fraction: 0.2,
				Size:     0.5,
			},
		}
	})
	expectRulesHeld(t, r)
	if len(r.Problems) > 0 || len(r.ClientPrograms) != 8 {
		t.Error(r.Problems)
	}
	for _, l := range r.ClientPrograms {
		if l.Requests < 50 || l.Watches == 0 || float64(l.Attempts) > 1.3*float64(l.Requests) {
			t.Errorf("%+v", l)
		}
	}
}

// TestControllersShareProxies runs three controllers that share all proxies. One crashes, and one stalls for longer
// than its leases last. The invariants must hold; in particular, no proxy may follow a controller after one with a
// later lease.
func TestControllersShareProxies(t *testing.T) {
	r := runScenario(t, "sharing", func(o *Options) {
		o.Spec.Length = Duration(30 * time.Second)
		o.Spec.Nodes, o.Spec.Proxies, o.Spec.RequestRate = 8, 8, 80
		o.Spec.FaultSpecs = []FaultSpec{
			{At: Duration(8 * time.Second), Duration: Duration(8 * time.Second), Kind: "governor-kill"},
			{At: Duration(10 * time.Second), Duration: Duration(4 * time.Second), Kind: "crash"},
			{
				At:       Duration(18 * time.Second),
				Duration: Duration(8 * time.Second),
				Kind:     "governor-stall",
				Size:     8000,
				Interval: Duration(20 * time.Second),
			},
		}
	})
	judged := false
	for _, v := range r.Rules {
		if len(v.Violations) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Violations)
		}
		judged = judged || v.Rule == invariants.RuleSingleController && v.Tested > 0
	}
	if !judged || len(r.Problems) > 0 {
		t.Errorf("invariant of a single controller checked: %v, problems %v", judged, r.Problems)
	}
}

// kills is the number of crashes in TestRepeatedCrashesKeepInvariants; use -kills 100 for a long run.
var kills = flag.Int("kills", 10, "number of controller crashes in TestRepeatedCrashesKeepInvariants")

// TestRepeatedCrashesKeepInvariants crashes a controller repeatedly, ten times by default. The invariants must hold,
// and the controller must restore its state from the store at each start, without damaged records.
func TestRepeatedCrashesKeepInvariants(t *testing.T) {
	var dir string
	r := runScenario(t, "kills", func(o *Options) {
		if dir = o.OutputDir; *kills != 10 {
			rng := rand.New(rand.NewPCG(7, 7))
			at := 2 * time.Second
			o.Spec.FaultSpecs = slices.DeleteFunc(
				o.Spec.FaultSpecs,
				func(t FaultSpec) bool { return t.Kind == "governor-kill" },
			)
			for range *kills {
				down := time.Duration(100+rng.IntN(600)) * time.Millisecond
				o.Spec.FaultSpecs = append(
					o.Spec.FaultSpecs,
					FaultSpec{At: Duration(at), Duration: Duration(down), Kind: "governor-kill"},
				)
				at += down + time.Duration(300+rng.IntN(2500))*time.Millisecond
			}
			o.Spec.Length = Duration(at + 2*time.Second)
		}
	})
	expectRulesHeld(t, r)
	if len(r.Problems) > 0 {
		t.Error(r.Problems)
	}
	log, err := os.ReadFile(filepath.Join(dir, "governor-1.log"))
	if err != nil {
		t.Fatal(err)
	}
	starts := strings.Count(string(log), `"message":"state restored"`)
	damaged := strings.Contains(string(log), "stored record is damaged")
	hasList := strings.Contains(string(log), `"list":true`)
	if starts != *kills+1 || damaged || !hasList {
		t.Errorf("restored state from the store %d times, want %d; damaged records: %v, endpoint list restored: %v; log:\n%s",
			starts, *kills+1, damaged, hasList, log)
	}
}

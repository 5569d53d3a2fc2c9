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

// TestMain lets the test binary be a governor's process.
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

func launch(config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DRILL_GOVERNOR="+config)
	return cmd
}

func playDay(t *testing.T, name string, change func(*Options)) *Report {
	t.Helper()
	day, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Day: day, Launch: launch, Keep: t.TempDir(), Records: true}
	if change != nil {
		change(&o)
	}
	r, err := Play(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSmallDayKeepsTheRules plays the short bad day, a governor killed outright in it, and replays the records.
func TestSmallDayKeepsTheRules(t *testing.T) {
	var dir string
	r := playDay(t, "small", func(o *Options) { dir = o.Keep })
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 || v.Tried == 0 {
			t.Errorf("%s: tried %d times, %v", v.Rule, v.Tried, v.Breaks)
		}
	}
	if len(r.Troubles) > 0 {
		t.Errorf("%v", r.Troubles)
	}
	f, err := os.Open(dir + "/governor-1.records")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	steps, orders, err := eventlog.Replay("records", f)
	if err != nil || steps < 20 || orders < 20 {
		t.Errorf("replayed %d steps, %d orders: %v", steps, orders, err)
	}
	if t.Failed() {
		var b strings.Builder
		r.Print(&b)
		t.Log(b.String())
	}
}

// TestGuardKeepsHarmAway plays a day of harmful tables with the guard and without it.
func TestGuardKeepsHarmAway(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		t.Run(map[bool]string{true: "guarded", false: "unguarded"}[guarded], func(t *testing.T) {
			t.Parallel()
			r := playDay(t, "harm", func(o *Options) { o.Day.Guard = guarded })
			breaks := 0
			for _, v := range r.Rules {
				breaks += len(v.Breaks)
			}
			if guarded && (breaks > 0 || r.PushesRefused == 0) || !guarded && breaks == 0 || len(r.Troubles) > 0 {
				var b strings.Builder
				r.Print(&b)
				t.Error(b.String())
			}
		})
	}
}

// TestBrokenGovernorsAreCaught: for each rule, a governor, or a fault at its front, that breaks it.
func TestBrokenGovernorsAreCaught(t *testing.T) {
	broken := map[string]func(*Options){
		// A governor that is told nothing of drains: its list stays as it was, while the service has told it.
		invariants.RuleDrain: func(o *Options) {
			o.Day.Troubles = []Trouble{{At: Span(2 * time.Second), For: Span(8 * time.Second), What: "drain"}}
			o.Deaf = true
		},
		// One that lets proxies try again after any failure, whatever the class.
		invariants.RuleTwice: func(o *Options) {
			o.Day.Troubles = []Trouble{{At: Span(time.Second), For: Span(6 * time.Second), What: "answers-lost", Part: 1, Size: 0.6}}
			o.Force = []string{"add map cressknot bag-issue.retry 2", "set map cressknot bag-issue.retry 2"}
		},
		// One that shuts out every server of a class.
		invariants.RuleBare: func(o *Options) {
			o.Day.Troubles = nil
			for i := range o.Day.Nodes {
				o.Force = append(o.Force, "set server slot-look/"+nodeName(i)+" state maint")
			}
			o.Alter = func(settings map[string]any) { // and that looks at its proxies too seldom to put that right
				settings["reports"] = map[string]any{"every": "60s"}
			}
		},
		// One that gives a cold server all visits.
		invariants.RuleCold: func(o *Options) {
			o.Day.Troubles = []Trouble{{At: Span(time.Second), For: Span(2 * time.Second), What: "crash"}}
			o.Day.Visits = 160
			o.Crowd = true
		},
		// One that sends its whole table anew to all, again and again, past what may wait.
		invariants.RuleQueue: func(o *Options) {
			o.Day.Troubles = nil
			o.Strict = func(f *invariants.Figures) { f.Backlog = 20 }
		},
	}
	for rule, change := range broken {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			r := playDay(t, "small", func(o *Options) {
				o.Day.Length = Span(12 * time.Second)
				change(o)
			})
			for _, v := range r.Rules {
				if v.Rule == rule && len(v.Breaks) == 0 {
					t.Errorf("not caught: %s", v.Seen)
				}
			}
		})
	}
}

// TestFloodedGovernorsSeeWhoIsSilent floods two governors with reports that nobody asked for while reporters of nodes that serve
// on fall silent: the rules are kept, and both governors tell those nodes from dead ones.
func TestFloodedGovernorsSeeWhoIsSilent(t *testing.T) {
	r := playDay(t, "flood", func(o *Options) {
		o.Day.Length = Span(14 * time.Second)
		o.Day.Troubles = []Trouble{{At: Span(2 * time.Second), For: Span(10 * time.Second), What: "flood", Size: 10_000},
			{At: Span(4 * time.Second), For: Span(9 * time.Second), What: "mute", Part: 0.17}}
	})
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
	}
	if len(r.Mutes) != 4 || r.Unnoticed != 0 || r.Flood[0]+r.Flood[1] == 0 {
		t.Errorf("noticed %v, %d not; flood %v", r.Mutes, r.Unnoticed, r.Flood)
	}
	for _, g := range r.Governors {
		if g.Info["Pushed_thinned"] == "" || g.Info["Pushed_thinned"] == "0" || g.Info["Tries_told"] == "0" {
			t.Errorf("%s: %v", g.Name, g.Info)
		}
	}
}

// TestStartWithoutDiscovery starts two governors and all proxies anew without the list's source, from lists of a day before of which half
// is gone and the end damaged: tables stand within ten seconds, without the servers that are gone, and the source's return moves little.
func TestStartWithoutDiscovery(t *testing.T) {
	r := playDay(t, "dark", func(o *Options) {
		o.Day.Length = Span(34 * time.Second)
		o.Day.Troubles = []Trouble{{At: Span(3 * time.Second), For: Span(14 * time.Second), What: "dark"}}
	})
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
	}
	d := r.Dark
	if len(r.Troubles) > 0 || d == nil || len(d.Served) != 6 || d.Served[5] > servedBy.Seconds() || d.Ghosts > 0 || d.InTime < 0.8 || len(d.Live) != 2 || d.Moved > 0.25 {
		t.Errorf("%+v %v", d, r.Troubles)
	}
}

// TestProgramsWithLibrariesKeepTheRules plays a short day of programs that send their visits by both client libraries, through a governor's
// death, a death, a drain and lost answers.
func TestProgramsWithLibrariesKeepTheRules(t *testing.T) {
	r := playDay(t, "library", func(o *Options) {
		o.Day.Length = Span(18 * time.Second)
		o.Day.Troubles = []Trouble{{At: Span(5 * time.Second), For: Span(4 * time.Second), What: "crash"}, {At: Span(6 * time.Second), For: Span(6 * time.Second), What: "drain", Part: 0.15},
			{At: Span(8 * time.Second), For: Span(time.Second), What: "governor-kill"}, {At: Span(10 * time.Second), For: Span(6 * time.Second), What: "answers-lost", Part: 0.2, Size: 0.5}}
	})
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
	}
	if len(r.Troubles) > 0 || len(r.Libraries) != 8 {
		t.Error(r.Troubles)
	}
	for _, l := range r.Libraries {
		if l.Visits < 50 || l.Follows == 0 || float64(l.Tries) > 1.3*float64(l.Visits) {
			t.Errorf("%+v", l)
		}
	}
}

// TestGovernorsShareProxies plays a day of three governors that may all serve all proxies, one killed and one standing still past its lease:
// the rules are kept, and no proxy follows a governor after a later one.
func TestGovernorsShareProxies(t *testing.T) {
	r := playDay(t, "sharing", func(o *Options) {
		o.Day.Length = Span(30 * time.Second)
		o.Day.Nodes, o.Day.Proxies, o.Day.Visits = 8, 8, 80
		o.Day.Troubles = []Trouble{{At: Span(8 * time.Second), For: Span(8 * time.Second), What: "governor-kill"}, {At: Span(10 * time.Second), For: Span(4 * time.Second), What: "crash"},
			{At: Span(18 * time.Second), For: Span(8 * time.Second), What: "governor-stall", Size: 8000, Every: Span(20 * time.Second)}}
	})
	one := false
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
		one = one || v.Rule == invariants.RuleOne && v.Tried > 0
	}
	if !one || len(r.Troubles) > 0 {
		t.Errorf("judged %v, %v", one, r.Troubles)
	}
}

// kills of a governor that TestKills plays: -kills 100 for the whole.
var kills = flag.Int("kills", 10, "kills of a governor to play")

// TestTenKills kills a governor outright ten times: the rules are kept, and it ends with the versions that its store led it to.
func TestTenKills(t *testing.T) {
	var dir string
	r := playDay(t, "kills", func(o *Options) {
		if dir = o.Keep; *kills != 10 {
			rng := rand.New(rand.NewPCG(7, 7))
			at := 2 * time.Second
			o.Day.Troubles = slices.DeleteFunc(o.Day.Troubles, func(t Trouble) bool { return t.What == "governor-kill" })
			for range *kills {
				down := time.Duration(100+rng.IntN(600)) * time.Millisecond
				o.Day.Troubles = append(o.Day.Troubles, Trouble{At: Span(at), For: Span(down), What: "governor-kill"})
				at += down + time.Duration(300+rng.IntN(2500))*time.Millisecond
			}
			o.Day.Length = Span(at + 2*time.Second)
		}
	})
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
	}
	if len(r.Troubles) > 0 {
		t.Error(r.Troubles)
	}
	log, err := os.ReadFile(filepath.Join(dir, "governor-1.log"))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(log), `"message":"woke"`); n != *kills+1 || strings.Contains(string(log), "damaged in the store") || !strings.Contains(string(log), `"list":true`) {
		t.Errorf("woke %d times, in\n%s", n, log)
	}
}

package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
)

const (
	// deathNoticeDelay and startNoticeDelay are how much later the list service notices a death and a start.
	deathNoticeDelay = 800 * time.Millisecond
	startNoticeDelay = 200 * time.Millisecond
	// checkInterval is the time between two checks of what a measurement waits for.
	checkInterval = 10 * time.Millisecond
	// runnerRandomStream distinguishes the runner's random numbers from others of the same seed.
	runnerRandomStream = 7
	// judgedMessageWindow, judgedMessageHead and judgedSlack are figures of the invariants.
	judgedMessageWindow = 10 * time.Second
	judgedMessageHead   = 6
	judgedSlack         = 250 * time.Millisecond
)

// Options configure how a scenario is played.
type Options struct {
	Spec          *Spec
	Launch        func(config string) *exec.Cmd // returns a controller's process
	Progress      io.Writer                     // gets a line while it runs; nil: none
	Keep          string                        // folder for settings, logs and records; "": a temporary one
	AlterSettings func(settings map[string]any) // breaks a controller on purpose, for tests of the invariants
	AlterFigures  func(*invariants.Figures)     // changes the limits, for tests of the invariants
	Records       bool                          // controllers record their events and orders

	// Faults that a broken controller would cause, for tests of the invariants.
	FrozenList      bool     // controllers get no change of the list, though the watch records all as sent
	ForcedCommands  []string // commands that every proxy follows again and again as if its controller had sent them
	CrowdNewestNode bool     // every proxy sends all requests to the node that started last
}

// runner plays one scenario.
type runner struct {
	Options
	dir         string
	watch       *invariants.Watch
	lister      *fakes.Lister
	nodes       []*fakes.Node
	zoneByNode  map[string]string
	proxies     []*fakes.Proxy
	zoneByProxy []string
	started     time.Time
	tally       tally
	background  sync.WaitGroup

	controllers    []*controllerProcess
	ownerByProxy   []int // index of the controller
	clientPrograms []*clientProgram

	rateFactor atomic.Uint64 // bits of a float: of all callers
	hotProxy   atomic.Int64  // index of the proxy that gets more, -1: none
	hotFactor  atomic.Uint64 // bits of a float: of all requests
	requestIDs atomic.Uint64

	mu          sync.Mutex
	rng         *rand.Rand
	faultyNodes map[string]bool
	report      *Report
}

// Play plays a scenario and judges it.
func Play(ctx context.Context, options Options) (*Report, error) {
	r := &runner{
		Options:     options,
		watch:       invariants.NewWatch(),
		zoneByNode:  map[string]string{},
		faultyNodes: map[string]bool{},
		rng:         rand.New(rand.NewPCG(options.Spec.Seed, runnerRandomStream)),
		report:      &Report{Scenario: options.Spec.Name},
	}
	r.rateFactor.Store(math.Float64bits(1))
	r.hotProxy.Store(-1)
	r.tally.byClass = make([]classTally, len(options.Spec.Classes))
	if err := r.makeFolder(); err != nil {
		return nil, err
	}
	if options.Keep == "" {
		defer func() { _ = os.RemoveAll(r.dir) }()
	}
	defer r.close()
	if err := r.startFleet(); err != nil {
		return nil, err
	}
	scenarioCtx, cancel := context.WithTimeout(ctx, time.Duration(options.Spec.Length))
	defer cancel()
	r.started = time.Now()
	r.startReports(scenarioCtx)
	r.startCallers(scenarioCtx)
	if err := r.startClientPrograms(scenarioCtx); err != nil {
		return nil, err
	}
	r.startFaults(scenarioCtx)
	r.forceCommands(scenarioCtx)
	r.startSampling(scenarioCtx)
	<-scenarioCtx.Done()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.finish()
	return r.report, nil
}

// makeFolder makes the folder for settings, logs and records.
func (r *runner) makeFolder() error {
	if r.Keep != "" {
		r.dir = r.Keep
		return os.MkdirAll(r.dir, folderMode)
	}
	dir, err := os.MkdirTemp("", "drill")
	r.dir = dir
	return err
}

// close ends all processes and simulated parts.
func (r *runner) close() {
	for _, c := range r.controllers {
		_ = c.stop(syscall.SIGKILL)
	}
	r.background.Wait()
	r.closeClientPrograms()
	for _, proxy := range r.proxies {
		proxy.Down()
	}
	for _, node := range r.nodes {
		node.Crash()
	}
	if r.lister != nil {
		r.lister.Close()
	}
}

// runInBackground runs a function that ends with the scenario.
func (r *runner) runInBackground(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// finish waits for requests in flight, reads the controllers' counters, stops them and judges.
func (r *runner) finish() {
	for _, c := range r.controllers {
		r.report.Controllers = append(r.report.Controllers, r.controllerUsage(c))
	}
	r.background.Wait()
	r.closeClientPrograms()
	for _, c := range r.controllers {
		if err := c.stop(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			r.reportProblem("stop controller: %v", err)
		}
	}
	figures := r.figures()
	if r.AlterFigures != nil {
		r.AlterFigures(&figures)
	}
	report := r.report
	report.Rules = r.watch.Judge(figures)
	report.Length = time.Duration(r.Spec.Length).Seconds()
	report.Classes = r.tally.classes(r.Spec)
	slices.Sort(report.Rollbacks)
	if r.Spec.Sharing {
		for _, gap := range r.watch.UnservedGaps() {
			report.UnservedGaps = append(report.UnservedGaps, gap.Seconds())
		}
	}
	report.Versions = map[string]int{}
	for _, proxy := range r.proxies {
		report.Versions[proxy.MapEntry(r.versionKey())]++
	}
	slices.Sort(report.Withdrawals.FromCrash)
	slices.Sort(report.Withdrawals.FromNotification)
}

// controllerUsage reads what a controller used and counted.
func (r *runner) controllerUsage(c *controllerProcess) ControllerUsage {
	cpu, memory := c.usage()
	usage := ControllerUsage{
		Name: c.name,
		CPU:  (c.pastCPU + cpu).Seconds(),
		RSS:  float64(memory) / (1 << 20),
		Info: map[string]string{},
	}
	text, err := ask(c.socket, "show info;show intake\n")
	if err != nil {
		r.reportProblem("%s: read counters from the operators' socket: %v", c.name, err)
		return usage
	}
	for line := range strings.SplitSeq(text, "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			usage.Info[name] = value
		}
	}
	return usage
}

// figures returns the limits of the invariants.
func (r *runner) figures() invariants.Figures {
	idempotency := map[string]invariants.Idempotency{
		"safe":   invariants.Idempotent,
		"keyed":  invariants.IdempotentWithKey,
		"unsafe": invariants.NotIdempotent,
	}
	spec := r.Spec
	figures := invariants.Figures{
		MaxUnusable:       time.Duration(spec.Channel.Bare),
		DrainTimeout:      time.Duration(spec.Servers.Grace),
		SlowStartDuration: time.Duration(spec.Servers.ColdFor),
		SlowStartFraction: spec.Servers.ColdFrom,
		OverloadFactor:    spec.Servers.FallFactor,
		OverloadWindow:    time.Duration(spec.Servers.FallFor),
		EntriesPerSecond:  spec.Channel.LinesPerS,
		Backlog:           spec.Channel.Backlog,
		MessageOverhead:   judgedMessageHead,
		MessagesOver:      judgedMessageWindow,
		Slack:             judgedSlack,
	}
	for _, class := range spec.Classes {
		figures.Classes = append(figures.Classes, invariants.Class{
			Name:                class.Name,
			Idempotency:         idempotency[class.Effect],
			DeduplicationWindow: time.Duration(class.Window),
		})
	}
	return figures
}

// reportProblem records that the scenario itself went wrong.
func (r *runner) reportProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Problems = append(r.report.Problems, fmt.Sprintf(format, args...))
}

// firstClass is the class by which tables are compared.
func (r *runner) firstClass() string { return r.Spec.Classes[0].Name }

// versionKey is the key of the first class's version in the proxies' maps.
func (r *runner) versionKey() string { return r.firstClass() + ".version" }

// wait waits; it returns false if the scenario ends before.
func wait(ctx context.Context, d Duration) bool { return sleep(ctx, time.Duration(d)) }

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

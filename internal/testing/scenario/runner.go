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
	// deathNoticeDelay and startNoticeDelay are the delays after which the list service notices a server's crash or start.
	deathNoticeDelay = 800 * time.Millisecond
	startNoticeDelay = 200 * time.Millisecond
	// checkInterval is the polling interval of measurements.
	checkInterval = 10 * time.Millisecond
	// runnerRandomStream is the random number stream of the runner, independent of the others with the same seed.
	runnerRandomStream = 7
	// messageWindow is the time over which the invariants limit the messages to a proxy.
	messageWindow = 10 * time.Second
	// messageOverheadEntries is what a message costs in the backlog, in entries, in addition to the entries in it.
	messageOverheadEntries = 6
	// timingSlack is the tolerance of the invariants for delays of a loaded machine.
	timingSlack = 250 * time.Millisecond
)

// Options configure how a scenario is run. Spec and Launch are required.
type Options struct {
	Spec          *Spec
	Launch        func(config string) *exec.Cmd // returns the command that runs a controller with a settings file
	Progress      io.Writer                     // receives a progress line each second; nil: none
	OutputDir     string                        // folder for settings, logs and records; "": a temporary one
	AlterSettings func(settings map[string]any) // modifies the controllers' settings, for tests of the invariants
	AlterLimits   func(*invariants.Limits)      // modifies the limits, for tests of the invariants
	RecordEvents  bool                          // controllers record their events and orders

	// Faults that a broken controller would cause, for tests of the invariants.
	FrozenList         bool     // controllers get their first list only, but updates are recorded as sent
	ForcedCommands     []string // commands that are repeatedly executed at every proxy
	OverloadNewestNode bool     // every proxy sends all requests to the server that was started last
}

// runner runs one scenario.
type runner struct {
	Options
	dir         string
	watch       *invariants.Watch
	listService *fakes.ListService
	nodes       []*fakes.Node
	zoneByNode  map[string]string
	proxies     []*fakes.Proxy
	zoneByProxy []string
	started     time.Time
	tally       tally
	background  sync.WaitGroup

	controllers    []*controllerProcess
	ownerByProxy   []int // index of the controller that serves each proxy at first
	clientPrograms []*clientProgram

	rateFactor atomic.Uint64 // bits of a float64: factor of all callers' rates
	hotProxy   atomic.Int64  // index of the proxy with additional requests; -1: none
	hotFactor  atomic.Uint64 // bits of a float64: additional requests, as a fraction of the scenario's rate
	requestIDs atomic.Uint64

	mu          sync.Mutex
	rng         *rand.Rand
	faultyNodes map[string]bool
	report      *Report
}

// Run runs a scenario and checks the invariants. It returns after the scenario's length plus the time for requests in
// flight and the controllers' shutdown. Violations and problems during the run are in the report; the error is that of
// the preparation or the context.
func Run(ctx context.Context, options Options) (*Report, error) {
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
	if options.OutputDir == "" {
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

// makeFolder creates the folder for settings, logs and records.
func (r *runner) makeFolder() error {
	if r.OutputDir != "" {
		r.dir = r.OutputDir
		return os.MkdirAll(r.dir, folderMode)
	}
	dir, err := os.MkdirTemp("", "drill")
	r.dir = dir
	return err
}

// close stops all processes and simulated parts.
func (r *runner) close() {
	for _, c := range r.controllers {
		_ = c.stop(syscall.SIGKILL)
	}
	r.background.Wait()
	r.closeClientPrograms()
	for _, proxy := range r.proxies {
		proxy.Stop()
	}
	for _, node := range r.nodes {
		node.Crash()
	}
	if r.listService != nil {
		r.listService.Close()
	}
}

// runInBackground runs a function in a goroutine for which finish and close wait.
func (r *runner) runInBackground(f func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		f()
	}()
}

// finish reads the controllers' counters, waits for requests in flight, stops the controllers and completes the report.
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
	limits := r.limits()
	if r.AlterLimits != nil {
		r.AlterLimits(&limits)
	}
	report := r.report
	report.Rules = r.watch.Check(limits)
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

// controllerUsage reads the CPU time, memory and counters of a controller.
func (r *runner) controllerUsage(c *controllerProcess) ControllerUsage {
	cpu, memory := c.usage()
	usage := ControllerUsage{
		Name: c.name,
		CPU:  (c.pastCPU + cpu).Seconds(),
		RSS:  float64(memory) / (1 << 20),
		Info: map[string]string{},
	}
	text, err := sendCommand(c.socket, "show info;show intake\n")
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

// limits returns the limits of the invariants for the scenario.
func (r *runner) limits() invariants.Limits {
	idempotency := map[string]invariants.Idempotency{
		"safe":   invariants.Idempotent,
		"keyed":  invariants.IdempotentWithKey,
		"unsafe": invariants.NotIdempotent,
	}
	spec := r.Spec
	limits := invariants.Limits{
		MaxUnusable:       time.Duration(spec.Channel.Bare),
		DrainTimeout:      time.Duration(spec.Servers.Grace),
		SlowStartDuration: time.Duration(spec.Servers.ColdFor),
		SlowStartFraction: spec.Servers.ColdFrom,
		OverloadFactor:    spec.Servers.FallFactor,
		OverloadWindow:    time.Duration(spec.Servers.FallFor),
		EntriesPerSecond:  spec.Channel.LinesPerS,
		Backlog:           spec.Channel.Backlog,
		MessageOverhead:   messageOverheadEntries,
		MessagesOver:      messageWindow,
		Slack:             timingSlack,
	}
	for _, class := range spec.Classes {
		limits.Classes = append(limits.Classes, invariants.Class{
			Name:                class.Name,
			Idempotency:         idempotency[class.Effect],
			DeduplicationWindow: time.Duration(class.Window),
		})
	}
	return limits
}

// reportProblem adds a problem of the scenario itself to the report.
func (r *runner) reportProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Problems = append(r.report.Problems, fmt.Sprintf(format, args...))
}

// firstClass returns the class whose tables are measured and reported.
func (r *runner) firstClass() string { return r.Spec.Classes[0].Name }

// versionKey returns the key in the proxies' maps that holds the version of the first class's table.
func (r *runner) versionKey() string { return r.firstClass() + ".version" }

// wait waits for a duration. It returns false if the context ends first.
func wait(ctx context.Context, d Duration) bool { return sleep(ctx, time.Duration(d)) }

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

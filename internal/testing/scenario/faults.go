package scenario

import (
	"context"
	"math"
	"time"

	"cressknot/internal/testing/fakes"
)

// faultHandler injects one fault and returns when the fault has ended.
type faultHandler func(r *runner, ctx context.Context, spec FaultSpec)

// preemptNotice is the time between the notice of a preemption and the end of the server.
const preemptNotice = 3 * time.Second

// Default sizes of faults; scenario files override them with "size".
const (
	defaultSlowFactor     = 5
	defaultSharedFactor   = 2
	defaultErrorFraction  = 0.6
	defaultLostFraction   = 0.3
	heavyFraction         = 0.02
	defaultHeavyFactor    = 15
	defaultPauseMillis    = 300
	defaultStallMillis    = 1000
	defaultLinkMillis     = 400
	defaultAgeingFactor   = 8
	defaultListDelay      = 4 // seconds
	defaultReportDelay    = 2 // seconds
	defaultBurstFactor    = 1.6
	defaultHotFactor      = 0.2
	defaultFloodLinesPerS = 10_000
	minProxyDownMillis    = 500
)

// faultKinds holds the fault handlers by the names that scenario files use; docs/operate/fault-drills.md describes
// them.
var faultKinds = map[string]faultHandler{
	// Faults of servers.
	"crash":    (*runner).crash,
	"flapping": (*runner).flapping,
	"drain": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.drain(ctx, spec, time.Duration(spec.Duration)/2)
	},
	"preempt": func(r *runner, ctx context.Context, spec FaultSpec) { r.drain(ctx, spec, preemptNotice) },
	"ageing":  (*runner).ageing,
	"slow": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.injectFault(ctx, spec, fakes.Fault{Slow: orDefault(spec.Size, defaultSlowFactor)})
	},
	"hang": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.injectFault(ctx, spec, fakes.Fault{Hang: true})
	},
	"errors": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.injectFault(ctx, spec, fakes.Fault{Errors: orDefault(spec.Size, defaultErrorFraction)})
	},
	"answers-lost": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.injectFault(ctx, spec, fakes.Fault{LostAnswers: orDefault(spec.Size, defaultLostFraction)})
	},
	"class-fails": func(r *runner, ctx context.Context, spec FaultSpec) {
		fault := fakes.Fault{Errors: orDefault(spec.Size, defaultErrorFraction), Class: r.class(spec)}
		r.injectFault(ctx, spec, fault)
	},
	"heavy-tail":  (*runner).heavyTail,
	"shared-slow": (*runner).sharedSlow,
	"one-sided":   (*runner).oneSided,
	"slow-link":   (*runner).slowLink,
	"pauses": func(r *runner, ctx context.Context, spec FaultSpec) {
		r.injectRepeatedly(ctx, spec, fakes.Fault{Pause: true}, millis(orDefault(spec.Size, defaultPauseMillis)))
	},
	"neighbour": func(r *runner, ctx context.Context, spec FaultSpec) {
		fault := fakes.Fault{Slow: orDefault(spec.Size, defaultSharedFactor)}
		r.injectRepeatedly(ctx, spec, fault, time.Duration(spec.Interval))
	},
	"flood": (*runner).flood,
	"mute":  (*runner).stopReports,

	// Faults of callers and proxies.
	"reports-late":  (*runner).reportsLate,
	"burst":         (*runner).burst,
	"hot-caller":    (*runner).hotCaller,
	"proxy-restart": (*runner).proxyRestart,
	"proxy-stall":   (*runner).proxyStall,
	"cut":           (*runner).cutSessions,
	"slow-reader":   (*runner).slowReader,

	// Faults of controllers and the list service.
	"governor-kill":  (*runner).controllerCrash,
	"governor-stall": (*runner).controllerStall,
	"rolling":        (*runner).rolling,
	"list-down":      (*runner).listDown,
	"list-late":      (*runner).listLate,
	"list-dark":      (*runner).listDownForSome,
	"dark":           (*runner).discoveryOutage,

	// Mistakes of operators.
	"push":      (*runner).pushTables,
	"bad-table": (*runner).badTable,
}

func orDefault(size, defaultSize float64) float64 {
	if size > 0 {
		return size
	}
	return defaultSize
}

func millis(number float64) time.Duration { return time.Duration(number) * time.Millisecond }

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// startFaults starts each fault of the scenario at its time.
func (r *runner) startFaults(ctx context.Context) {
	for _, spec := range r.Spec.FaultSpecs {
		r.runInBackground(func() {
			if wait(ctx, spec.At) {
				faultKinds[spec.Kind](r, ctx, spec)
			}
		})
	}
}

// repeat calls f until the duration or the context ends.
func repeat(ctx context.Context, duration Duration, f func()) {
	end := time.Now().Add(time.Duration(duration))
	for time.Now().Before(end) && ctx.Err() == nil {
		f()
	}
}

// countOf returns a fraction of a number, rounded, but at least 1 and at most the number.
func countOf(fraction float64, number int) int {
	return min(number, max(1, int(math.Round(fraction*float64(number)))))
}

// pickNodes draws servers that have no other fault, and reserves them for a fault until release is called. A fraction
// of 1 means all servers, also those with another fault.
func (r *runner) pickNodes(fraction float64) (nodes []*fakes.Node, release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := countOf(fraction, len(r.nodes))
	for _, i := range r.rng.Perm(len(r.nodes)) {
		node := r.nodes[i]
		if len(nodes) < wanted && (!r.faultyNodes[node.Name] || fraction == 1) {
			nodes = append(nodes, node)
			r.faultyNodes[node.Name] = true
		}
	}
	return nodes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, node := range nodes {
			delete(r.faultyNodes, node.Name)
		}
	}
}

// pickProxies draws a fraction of the proxies, at least one, and returns their indexes.
func (r *runner) pickProxies(fraction float64) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Perm(len(r.proxies))[:countOf(fraction, len(r.proxies))]
}

// pickControllers returns the first controllers: a fraction of all, at least one.
func (r *runner) pickControllers(fraction float64) []*controllerProcess {
	return r.controllers[:countOf(fraction, len(r.controllers))]
}

// class returns the class that a fault affects: the specified one, else the first.
func (r *runner) class(spec FaultSpec) string {
	if spec.Class != "" {
		return spec.Class
	}
	return r.firstClass()
}

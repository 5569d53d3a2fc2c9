package scenario

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"time"

	"cressknot/internal/transport/files"
)

const (
	// slowReaderDelay is the delay of a slow proxy before each command.
	slowReaderDelay = 50 * time.Millisecond
	// cutInterval is the pause between two cuts of sessions.
	cutInterval = 700 * time.Millisecond
	// minCutBytes and cutBytesSpread define the range of the number of bytes after which a session is cut.
	minCutBytes    = 60
	cutBytesSpread = 2000
	// noCut makes CutSessions end the cuts.
	noCut = -1
)

func (r *runner) reportsLate(ctx context.Context, spec FaultSpec) {
	delay := seconds(orDefault(spec.Size, defaultReportDelay))
	for _, proxy := range r.proxies {
		proxy.DelayCounters(delay)
		defer proxy.DelayCounters(0)
	}
	wait(ctx, spec.Duration)
}

func (r *runner) burst(ctx context.Context, spec FaultSpec) {
	r.rateFactor.Store(math.Float64bits(orDefault(spec.Size, defaultBurstFactor)))
	wait(ctx, spec.Duration)
	r.rateFactor.Store(math.Float64bits(1))
}

// hotCaller sends one proxy more requests, by a fraction of the scenario's request rate.
func (r *runner) hotCaller(ctx context.Context, spec FaultSpec) {
	r.hotFactor.Store(math.Float64bits(orDefault(spec.Size, defaultHotFactor)))
	r.hotProxy.Store(int64(r.pickProxies(0)[0]))
	wait(ctx, spec.Duration)
	r.hotProxy.Store(-1)
}

func (r *runner) proxyRestart(ctx context.Context, spec FaultSpec) {
	picked := r.pickProxies(spec.Fraction)
	for _, i := range picked {
		r.proxies[i].Stop()
	}
	sleep(ctx, max(millis(minProxyDownMillis), time.Duration(spec.Duration)))
	for _, i := range picked {
		if err := r.proxies[i].Start(); err != nil {
			r.reportProblem("%v", err)
		}
	}
}

func (r *runner) proxyStall(ctx context.Context, spec FaultSpec) {
	picked := r.pickProxies(spec.Fraction)
	stall := millis(orDefault(spec.Size, defaultStallMillis))
	repeat(ctx, spec.Duration, func() {
		for _, i := range picked {
			r.proxies[i].StallUntil(time.Now().Add(stall))
		}
		sleep(ctx, stall+time.Duration(spec.Interval))
	})
}

// cutSessions repeatedly closes the runtime sessions of proxies, and each later session after some bytes of its
// commands. For proxies that read files, it removes or truncates the tables' file instead.
func (r *runner) cutSessions(ctx context.Context, spec FaultSpec) {
	picked := r.pickProxies(spec.Fraction)
	repeat(ctx, spec.Duration, func() {
		for _, i := range picked {
			r.mu.Lock()
			after := minCutBytes + r.rng.IntN(cutBytesSpread)
			r.mu.Unlock()
			proxy := r.proxies[i]
			tables := filepath.Join(proxy.Folder, files.TablesFile)
			switch {
			case proxy.Folder == "":
				proxy.CutSessions(after)
			case after%2 == 0:
				_ = os.Remove(tables)
			default:
				_ = os.Truncate(tables, int64(after))
			}
		}
		sleep(ctx, cutInterval)
	})
	for _, i := range picked {
		r.proxies[i].CutSessions(noCut)
	}
}

func (r *runner) slowReader(ctx context.Context, spec FaultSpec) {
	for _, i := range r.pickProxies(spec.Fraction) {
		r.proxies[i].ReadSlowly(slowReaderDelay)
		defer r.proxies[i].ReadSlowly(0)
	}
	wait(ctx, spec.Duration)
}

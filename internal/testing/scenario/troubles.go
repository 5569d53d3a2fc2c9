package scenario

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cressknot/internal/rollingrestart"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/transport/files"
)

// faultKinds tells each kind of trouble and what it does, as docs/operate/drill.md has it.
var faultKinds = map[string]func(*runner, context.Context, FaultSpec){
	"crash":        (*runner).crash,
	"flapping":     (*runner).flapping,
	"drain":        func(p *runner, ctx context.Context, t FaultSpec) { p.drain(ctx, t, time.Duration(t.Duration)/2) },
	"preempt":      func(p *runner, ctx context.Context, t FaultSpec) { p.drain(ctx, t, 3*time.Second) },
	"ageing":       (*runner).ageing,
	"slow":         func(p *runner, ctx context.Context, t FaultSpec) { p.injectFault(ctx, t, fakes.Fault{Slow: orDefault(t.Size, 5)}) },
	"hang":         func(p *runner, ctx context.Context, t FaultSpec) { p.injectFault(ctx, t, fakes.Fault{Hang: true}) },
	"errors":       func(p *runner, ctx context.Context, t FaultSpec) { p.injectFault(ctx, t, fakes.Fault{Errors: orDefault(t.Size, 0.6)}) },
	"answers-lost": func(p *runner, ctx context.Context, t FaultSpec) { p.injectFault(ctx, t, fakes.Fault{LostAnswers: orDefault(t.Size, 0.3)}) },
	"class-fails": func(p *runner, ctx context.Context, t FaultSpec) {
		p.injectFault(ctx, t, fakes.Fault{Errors: orDefault(t.Size, 0.6), Class: p.class(t)})
	},
	"heavy-tail": func(p *runner, ctx context.Context, t FaultSpec) {
		t.Fraction = 1
		p.injectFault(ctx, t, fakes.Fault{HeavyFraction: 0.02, HeavyFactor: orDefault(t.Size, 15), Class: p.class(t)})
	},
	"shared-slow": func(p *runner, ctx context.Context, t FaultSpec) {
		t.Fraction = 1
		p.injectFault(ctx, t, fakes.Fault{Slow: orDefault(t.Size, 2)})
	},
	"one-sided": (*runner).oneSided,
	"slow-link": (*runner).slowLink,
	"pauses": func(p *runner, ctx context.Context, t FaultSpec) {
		p.injectRepeatedly(ctx, t, fakes.Fault{Pause: true}, time.Duration(orDefault(t.Size, 300))*time.Millisecond)
	},
	"neighbour": func(p *runner, ctx context.Context, t FaultSpec) {
		p.injectRepeatedly(ctx, t, fakes.Fault{Slow: orDefault(t.Size, 2)}, time.Duration(t.Interval))
	},
	"reports-late":   (*runner).reportsLate,
	"burst":          (*runner).burst,
	"hot-caller":     (*runner).hotCaller,
	"proxy-restart":  (*runner).proxyRestart,
	"proxy-stall":    (*runner).proxyStall,
	"governor-kill":  (*runner).governorKill,
	"governor-stall": (*runner).governorStall,
	"list-down": func(p *runner, ctx context.Context, t FaultSpec) {
		p.lister.Fail(true)
		wait(ctx, t.Duration)
		p.lister.Fail(false)
	},
	"list-late": func(p *runner, ctx context.Context, t FaultSpec) {
		p.lister.Delay(time.Duration(orDefault(t.Size, 4) * float64(time.Second)))
		wait(ctx, t.Duration)
		p.lister.Delay(0)
	},
	"cut":         (*runner).cutSessions,
	"slow-reader": (*runner).slowReader,
	"push":        (*runner).pushTables,
	"bad-table":   (*runner).badTable,
	"flood":       (*runner).flood,
	"mute":        (*runner).stopReports,
	"dark":        (*runner).discoveryOutage,
	"rolling":     (*runner).rolling,
	"list-dark": func(p *runner, ctx context.Context, t FaultSpec) {
		for _, g := range p.pickControllers(t.Fraction) {
			p.lister.FailFor(g.name, true)
			defer p.lister.FailFor(g.name, false)
		}
		wait(ctx, t.Duration)
	},
}

func orDefault(size, otherwise float64) float64 {
	if size > 0 {
		return size
	}
	return otherwise
}

// wait waits, or until the day ends.
func wait(ctx context.Context, d Duration) bool { return sleep(ctx, time.Duration(d)) }

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startFaults starts each trouble of the day at its time.
func (p *runner) startFaults(ctx context.Context) {
	for _, t := range p.Spec.FaultSpecs {
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			if wait(ctx, t.At) {
				faultKinds[t.Kind](p, ctx, t)
			}
		}()
	}
}

func count(part float64, of int) int { return min(of, max(1, int(math.Round(part*float64(of))))) }

// pickNodes draws nodes that nothing else ails.
func (p *runner) pickNodes(part float64) (nodes []*fakes.Node, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := count(part, len(p.nodes))
	for _, at := range p.rng.Perm(len(p.nodes)) {
		if x := p.nodes[at]; len(nodes) < n && (!p.faultyNodes[x.Name] || part == 1) {
			nodes = append(nodes, x)
			p.faultyNodes[x.Name] = true
		}
	}
	return nodes, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, x := range nodes {
			delete(p.faultyNodes, x.Name)
		}
	}
}

func (p *runner) pickProxies(part float64) (at []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Perm(len(p.proxies))[:count(part, len(p.proxies))]
}

func (p *runner) class(t FaultSpec) string {
	if t.Class != "" {
		return t.Class
	}
	return p.Spec.Classes[0].Name
}

func (p *runner) injectFault(ctx context.Context, t FaultSpec, what fakes.Fault) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	for _, n := range nodes {
		defer n.Inject(what)()
	}
	wait(ctx, t.Duration)
}

func (p *runner) injectRepeatedly(ctx context.Context, t FaultSpec, what fakes.Fault, on time.Duration) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; {
		var ends []func()
		for _, n := range nodes {
			ends = append(ends, n.Inject(what))
		}
		sleep(ctx, on)
		for _, e := range ends {
			e()
		}
		wait(ctx, t.Interval)
	}
}

// crashNodes lets nodes die at once; the list hears of it later, and measures when each proxy has shut them out.
func (p *runner) crashNodes(ctx context.Context, nodes []*fakes.Node) {
	fell := time.Now()
	for _, n := range nodes {
		n.Crash()
		p.background.Add(1)
		go p.measureWithdrawal(ctx, n.Name, fell)
	}
	if sleep(ctx, deathNoticeDelay) {
		for _, n := range nodes {
			p.lister.Put(p.listEntry(n, "gone"))
		}
	}
}

func (p *runner) measureWithdrawal(ctx context.Context, node string, fell time.Time) {
	defer p.background.Done()
	left, had := map[int]bool{}, map[int]bool{}
	for i, x := range p.proxies {
		left[i], had[i] = true, x.Weights(p.Spec.Classes[0].Name)[node] > 0
	}
	for len(left) > 0 && time.Since(fell) < 8*time.Second && ctx.Err() == nil {
		for i := range left {
			if !had[i] { // it had no visits for it when it fell
				delete(left, i)
			} else if share := p.proxies[i].Weights(p.Spec.Classes[0].Name)[node]; share == 0 {
				delete(left, i)
				told, heard := p.watch.NotifiedSince(p.proxies[i].Name, node, fell)
				p.mu.Lock()
				p.report.Withdrawals.FromCrash = append(p.report.Withdrawals.FromCrash, time.Since(fell).Seconds())
				if heard { // else the governor shut it out by what it saw itself
					p.report.Withdrawals.FromNotification = append(p.report.Withdrawals.FromNotification, time.Since(told).Seconds())
				}
				p.mu.Unlock()
			}
		}
		sleep(ctx, checkInterval)
	}
}

// restartNodes starts nodes again: they are cold.
func (p *runner) restartNodes(ctx context.Context, nodes []*fakes.Node) {
	for _, n := range nodes {
		if err := n.Up(); err != nil {
			p.reportProblem("%v", err)
		}
	}
	sleep(ctx, startNoticeDelay)
	for _, n := range nodes {
		p.lister.Put(p.listEntry(n, "ready"))
	}
}

func (p *runner) reportProblem(format string, args ...any) {
	p.mu.Lock()
	p.report.Problems = append(p.report.Problems, fmt.Sprintf(format, args...))
	p.mu.Unlock()
}

func (p *runner) crash(ctx context.Context, t FaultSpec) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	p.crashNodes(ctx, nodes)
	wait(ctx, t.Duration)
	p.restartNodes(ctx, nodes)
}

func (p *runner) flapping(ctx context.Context, t FaultSpec) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; {
		p.crashNodes(ctx, nodes)
		wait(ctx, t.Interval)
		p.restartNodes(ctx, nodes)
		wait(ctx, t.Interval)
	}
}

// drain lists nodes as draining, lets them end after so long, and brings them back at the end.
func (p *runner) drain(ctx context.Context, t FaultSpec, after time.Duration) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	for _, n := range nodes {
		p.lister.Put(p.listEntry(n, "draining"))
	}
	sleep(ctx, after)
	for _, n := range nodes {
		p.lister.Put(p.listEntry(n, "gone"))
		n.Crash()
	}
	sleep(ctx, time.Duration(t.Duration)-after)
	p.restartNodes(ctx, nodes)
}

func (p *runner) ageing(ctx context.Context, t FaultSpec) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	const steps = 10
	for i := range steps {
		by := 1 + (orDefault(t.Size, 8)-1)*float64(i+1)/steps
		for _, n := range nodes {
			defer n.Inject(fakes.Fault{Slow: by * float64(steps) / steps})()
		}
		if !sleep(ctx, time.Duration(t.Duration)/steps) {
			return
		}
	}
	p.crashNodes(ctx, nodes)
	sleep(ctx, 4*time.Second)
	p.restartNodes(ctx, nodes)
}

func (p *runner) oneSided(ctx context.Context, t FaultSpec) {
	hit := map[string]bool{}
	for i, x := range p.proxies {
		if p.ownerByProxy[i] == 0 {
			hit[x.Name] = true
		}
	}
	p.injectFault(ctx, t, fakes.Fault{Errors: orDefault(t.Size, 0.6), Proxies: hit})
}

func (p *runner) slowLink(ctx context.Context, t FaultSpec) {
	hit := map[string]bool{}
	for i, x := range p.proxies {
		if p.zoneByProxy[i] == p.Spec.Zones[len(p.Spec.Zones)-1] {
			hit[x.Name] = true
		}
	}
	link := time.Duration(orDefault(t.Size, 400)) * time.Millisecond
	for _, n := range p.nodes {
		if p.zoneByNode[n.Name] == p.Spec.Zones[0] {
			defer n.Inject(fakes.Fault{LinkDelay: link, Proxies: hit})()
		}
	}
	wait(ctx, t.Duration)
}

func (p *runner) reportsLate(ctx context.Context, t FaultSpec) {
	for _, x := range p.proxies {
		x.DelayCounters(time.Duration(orDefault(t.Size, 2) * float64(time.Second)))
		defer x.DelayCounters(0)
	}
	wait(ctx, t.Duration)
}

func (p *runner) burst(ctx context.Context, t FaultSpec) {
	p.rateFactor.Store(math.Float64bits(orDefault(t.Size, 1.6)))
	wait(ctx, t.Duration)
	p.rateFactor.Store(math.Float64bits(1))
}

func (p *runner) hotCaller(ctx context.Context, t FaultSpec) {
	p.hotFactor.Store(math.Float64bits(orDefault(t.Size, 0.2)))
	p.hotProxy.Store(int64(p.pickProxies(0)[0]))
	wait(ctx, t.Duration)
	p.hotProxy.Store(-1)
}

func (p *runner) proxyRestart(ctx context.Context, t FaultSpec) {
	at := p.pickProxies(t.Fraction)
	for _, i := range at {
		p.proxies[i].Down()
	}
	sleep(ctx, max(500*time.Millisecond, time.Duration(t.Duration)))
	for _, i := range at {
		if err := p.proxies[i].Up(); err != nil {
			p.reportProblem("%v", err)
		}
	}
}

func (p *runner) proxyStall(ctx context.Context, t FaultSpec) {
	at := p.pickProxies(t.Fraction)
	still := time.Duration(orDefault(t.Size, 1000)) * time.Millisecond
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; {
		for _, i := range at {
			p.proxies[i].StallUntil(time.Now().Add(still))
		}
		sleep(ctx, still+time.Duration(t.Interval))
	}
}

func (p *runner) pickControllers(part float64) []*controllerProcess {
	return p.controllers[:count(part, len(p.controllers))]
}

// rolling restarts all governors one after the other, as the command of that name does.
func (p *runner) rolling(ctx context.Context, t FaultSpec) {
	var sockets []string
	for _, g := range p.controllers {
		sockets = append(sockets, g.socket)
	}
	began := time.Now()
	err := rollingrestart.Restart(ctx, sockets, 30*time.Second, func(ctx context.Context, socket string) error {
		g := p.controllers[slices.Index(sockets, socket)]
		if err := g.stop(syscall.SIGTERM); err != nil {
			return err
		}
		sleep(ctx, time.Second/2)
		return g.start(p.Launch)
	})
	if err != nil {
		p.reportProblem("rolling restart: %v", err)
	}
	p.mu.Lock()
	p.report.RollingRestart = time.Since(began).Seconds()
	p.mu.Unlock()
}

func (p *runner) governorKill(ctx context.Context, t FaultSpec) {
	owned := func(do func(string)) { // on files nothing shows a proxy that its governor is gone: then it isn't joined
		for i, x := range p.proxies {
			if x.Folder != "" && slices.Contains(p.pickControllers(t.Fraction), p.controllers[p.ownerByProxy[i]]) {
				do(x.Name)
			}
		}
	}
	defer owned(p.watch.Connected)
	owned(p.watch.Disconnected)
	for _, g := range p.pickControllers(t.Fraction) {
		g.usage()
		if err := g.stop(syscall.SIGKILL); err != nil {
			p.reportProblem("%v", err)
		}
	}
	wait(ctx, t.Duration)
	for _, g := range p.pickControllers(t.Fraction) {
		if err := g.start(p.Launch); err != nil {
			p.reportProblem("%v", err)
		}
	}
}

func (p *runner) governorStall(ctx context.Context, t FaultSpec) {
	still := time.Duration(orDefault(t.Size, 1000)) * time.Millisecond
	signal := func(s syscall.Signal) {
		for _, g := range p.pickControllers(t.Fraction) {
			g.mu.Lock()
			if g.cmd != nil {
				_ = g.cmd.Process.Signal(s)
			}
			g.mu.Unlock()
		}
	}
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; {
		signal(syscall.SIGSTOP)
		sleep(ctx, still)
		signal(syscall.SIGCONT)
		wait(ctx, t.Interval)
	}
}

// cutSessions breaks the runtime sessions of proxies again and again, each after some bytes of an order; on files somebody
// removes or truncates what was put in place.
func (p *runner) cutSessions(ctx context.Context, t FaultSpec) {
	at := p.pickProxies(t.Fraction)
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; {
		for _, i := range at {
			p.mu.Lock()
			after := 60 + p.rng.IntN(2000)
			p.mu.Unlock()
			if folder := p.proxies[i].Folder; folder == "" {
				p.proxies[i].CutSessions(after)
			} else if path := filepath.Join(folder, files.TablesFile); after%2 == 0 {
				_ = os.Remove(path)
			} else {
				_ = os.Truncate(path, int64(after))
			}
		}
		sleep(ctx, 700*time.Millisecond)
	}
	for _, i := range at {
		p.proxies[i].CutSessions(-1)
	}
}

func (p *runner) slowReader(ctx context.Context, t FaultSpec) {
	at := p.pickProxies(t.Fraction)
	for _, i := range at {
		p.proxies[i].ReadSlowly(50 * time.Millisecond)
		defer p.proxies[i].ReadSlowly(0)
	}
	wait(ctx, t.Duration)
}

// pushTables sets weights by hand through the operators' sockets, again and again, and counts what was refused.
func (p *runner) pushTables(ctx context.Context, t FaultSpec) {
	for end := time.Now().Add(time.Duration(t.Duration)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 300*time.Millisecond) {
		newest := slices.MaxFunc(p.nodes, func(a, b *fakes.Node) int { return a.Started().Compare(b.Started()) })
		isCold := time.Since(newest.Started()) < time.Duration(p.Spec.Servers.ColdFor)
		for _, g := range p.controllers {
			for _, n := range p.nodes {
				weight := -1
				switch state := p.lister.State(n.Name); {
				case t.Push == "empty":
					weight = 0
				case t.Push == "drained" && state != "ready":
					weight = 256
				case t.Push == "crowd" && isCold && n == newest:
					weight = 256
				case t.Push == "crowd" && isCold:
					weight = 0
				}
				if weight < 0 {
					continue
				}
				answer, err := ask(g.socket, fmt.Sprintf("set weight 0/%s %d\n", n.Name, weight))
				p.mu.Lock()
				if err == nil && strings.HasPrefix(answer, "Refused") {
					p.report.PushesRejected++
				} else if err == nil {
					p.report.PushesAccepted++
				}
				p.mu.Unlock()
			}
		}
	}
	for _, g := range p.controllers {
		for _, n := range p.nodes {
			_, _ = ask(g.socket, fmt.Sprintf("clear weight 0/%s\n", n.Name))
		}
	}
}

// badTable lets staff force a poor table on each governor and go back after a while. It measures how long it takes from
// the command until each proxy says that it holds the version gone back to.
func (p *runner) badTable(ctx context.Context, t FaultSpec) {
	for g, own := range p.controllers {
		history, err := ask(own.socket, "table history 0\n")
		lines := strings.Split(strings.TrimSpace(history), "\n")
		if err != nil || len(lines) < 2 {
			p.reportProblem("%s has no history: %v %s", own.name, err, history)
			return
		}
		good := strings.Fields(lines[len(lines)-1])[1]
		for i, n := range p.nodes {
			weight := 1
			if i == 0 {
				weight = 256
			}
			p.setWeight(own, n.Name, weight)
		}
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			if !wait(ctx, t.Duration) {
				return
			}
			began := time.Now()
			answer, err := ask(own.socket, "table rollback 0 "+good+" 5m\n")
			_, version, ok := strings.Cut(answer, "as version ")
			if version, _, _ = strings.Cut(version, ","); err != nil || !ok {
				p.reportProblem("%s: rollback: %v %s", own.name, err, answer)
				return
			}
			left := map[int]bool{}
			for i := range p.proxies {
				if p.ownerByProxy[i] == g {
					left[i] = true
				}
			}
			for key := p.Spec.Classes[0].Name + ".version"; len(left) > 0 && time.Since(began) < 10*time.Second && ctx.Err() == nil; sleep(ctx, checkInterval/2) {
				for i := range left {
					if strings.HasPrefix(p.proxies[i].Level(key), version+"/") {
						delete(left, i)
						p.mu.Lock()
						p.report.Rollbacks = append(p.report.Rollbacks, time.Since(began).Seconds())
						p.mu.Unlock()
					}
				}
			}
			if len(left) > 0 {
				p.reportProblem("%d proxies of %s did not come to version %s", len(left), own.name, version)
			}
		}()
	}
}

// setWeight sets a weight by hand, with force where that is offered.
func (p *runner) setWeight(own *controllerProcess, node string, weight int) {
	answer, err := ask(own.socket, fmt.Sprintf("set weight 0/%s %d\n", node, weight))
	if _, forced, offered := strings.Cut(answer, "within 30 s: "); err == nil && offered {
		answer, err = ask(own.socket, strings.TrimSpace(forced)+"\n")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && strings.TrimSpace(answer) == "" {
		p.report.PushesAccepted++
	} else {
		p.report.PushesRejected++
	}
}

// flood sends reports that nobody asked for to all governors.
func (p *runner) flood(ctx context.Context, t FaultSpec) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.Duration))
	defer cancel()
	nodes, release := p.pickNodes(0.25) // whose names it uses: what those say themselves drowns in it
	defer release()
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	var f fakes.Flood
	for i, g := range p.controllers {
		if g.reports != "" {
			f.Run(ctx, "http://"+g.reports+"/write", names, int(orDefault(t.Size, 10_000)), p.Spec.Seed+uint64(i))
		}
	}
	<-ctx.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Flood = [3]int64{f.Accepted.Load(), f.Rejected.Load(), f.Failed.Load()}
}

// stopReports stops the reports of nodes that go on serving, and measures when each governor has noticed which those are.
func (p *runner) stopReports(ctx context.Context, t FaultSpec) {
	nodes, release := p.pickNodes(t.Fraction)
	defer release()
	began := time.Now()
	for _, n := range nodes {
		n.StopReports(true)
		defer n.StopReports(false)
	}
	for _, g := range p.controllers {
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			left := map[string]bool{}
			for _, n := range nodes {
				left[n.Name] = true
			}
			for len(left) > 0 && time.Since(began) < time.Duration(t.Duration) && sleep(ctx, 5*checkInterval) {
				text, err := ask(g.socket, "show reports stale\n")
				if err != nil {
					continue
				}
				for _, l := range splitLines([]byte(text)) {
					if f := strings.Fields(l); len(f) > 1 && f[1] == "mute" && left[f[0]] {
						delete(left, f[0])
						p.mu.Lock()
						p.report.SilenceDetections = append(p.report.SilenceDetections, time.Since(began).Seconds())
						p.mu.Unlock()
					}
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.report.UndetectedSilences += len(left)
		}()
	}
	wait(ctx, t.Duration)
}

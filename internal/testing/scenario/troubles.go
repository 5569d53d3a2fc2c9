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

// Kinds tells each kind of trouble and what it does, as docs/operate/drill.md has it.
var Kinds = map[string]func(*play, context.Context, Trouble){
	"crash":        (*play).crash,
	"flapping":     (*play).flapping,
	"drain":        func(p *play, ctx context.Context, t Trouble) { p.drain(ctx, t, time.Duration(t.For)/2) },
	"preempt":      func(p *play, ctx context.Context, t Trouble) { p.drain(ctx, t, 3*time.Second) },
	"ageing":       (*play).ageing,
	"slow":         func(p *play, ctx context.Context, t Trouble) { p.ail(ctx, t, fakes.Fault{Slow: or(t.Size, 5)}) },
	"hang":         func(p *play, ctx context.Context, t Trouble) { p.ail(ctx, t, fakes.Fault{Hang: true}) },
	"errors":       func(p *play, ctx context.Context, t Trouble) { p.ail(ctx, t, fakes.Fault{Errors: or(t.Size, 0.6)}) },
	"answers-lost": func(p *play, ctx context.Context, t Trouble) { p.ail(ctx, t, fakes.Fault{LostAnswers: or(t.Size, 0.3)}) },
	"class-fails": func(p *play, ctx context.Context, t Trouble) {
		p.ail(ctx, t, fakes.Fault{Errors: or(t.Size, 0.6), Class: p.class(t)})
	},
	"heavy-tail": func(p *play, ctx context.Context, t Trouble) {
		t.Part = 1
		p.ail(ctx, t, fakes.Fault{HeavyFraction: 0.02, HeavyFactor: or(t.Size, 15), Class: p.class(t)})
	},
	"shared-slow": func(p *play, ctx context.Context, t Trouble) {
		t.Part = 1
		p.ail(ctx, t, fakes.Fault{Slow: or(t.Size, 2)})
	},
	"one-sided": (*play).oneSided,
	"slow-link": (*play).slowLink,
	"pauses": func(p *play, ctx context.Context, t Trouble) {
		p.onOff(ctx, t, fakes.Fault{Pause: true}, time.Duration(or(t.Size, 300))*time.Millisecond)
	},
	"neighbour": func(p *play, ctx context.Context, t Trouble) {
		p.onOff(ctx, t, fakes.Fault{Slow: or(t.Size, 2)}, time.Duration(t.Every))
	},
	"reports-late":   (*play).reportsLate,
	"burst":          (*play).burstVisits,
	"hot-caller":     (*play).hotCaller,
	"proxy-restart":  (*play).proxyRestart,
	"proxy-stall":    (*play).proxyStall,
	"governor-kill":  (*play).governorKill,
	"governor-stall": (*play).governorStall,
	"list-down": func(p *play, ctx context.Context, t Trouble) {
		p.lister.Fail(true)
		wait(ctx, t.For)
		p.lister.Fail(false)
	},
	"list-late": func(p *play, ctx context.Context, t Trouble) {
		p.lister.Delay(time.Duration(or(t.Size, 4) * float64(time.Second)))
		wait(ctx, t.For)
		p.lister.Delay(0)
	},
	"cut":         (*play).cut,
	"slow-reader": (*play).slowReader,
	"push":        (*play).pushTables,
	"bad-table":   (*play).badTable,
	"flood":       (*play).flood,
	"mute":        (*play).mute,
	"dark":        (*play).dark,
	"rolling":     (*play).rolling,
	"list-dark": func(p *play, ctx context.Context, t Trouble) {
		for _, g := range p.someGovernors(t.Part) {
			p.lister.FailFor(g.name, true)
			defer p.lister.FailFor(g.name, false)
		}
		wait(ctx, t.For)
	},
}

func or(size, otherwise float64) float64 {
	if size > 0 {
		return size
	}
	return otherwise
}

// wait waits, or until the day ends.
func wait(ctx context.Context, d Span) bool { return sleep(ctx, time.Duration(d)) }

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// troubles starts each trouble of the day at its time.
func (p *play) troubles(ctx context.Context) {
	for _, t := range p.Day.Troubles {
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			if wait(ctx, t.At) {
				Kinds[t.What](p, ctx, t)
			}
		}()
	}
}

func count(part float64, of int) int { return min(of, max(1, int(math.Round(part*float64(of))))) }

// some draws nodes that nothing else ails.
func (p *play) some(part float64) (nodes []*fakes.Node, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := count(part, len(p.nodes))
	for _, at := range p.rng.Perm(len(p.nodes)) {
		if x := p.nodes[at]; len(nodes) < n && (!p.ailing[x.Name] || part == 1) {
			nodes = append(nodes, x)
			p.ailing[x.Name] = true
		}
	}
	return nodes, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, x := range nodes {
			delete(p.ailing, x.Name)
		}
	}
}

func (p *play) someProxies(part float64) (at []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Perm(len(p.proxies))[:count(part, len(p.proxies))]
}

func (p *play) class(t Trouble) string {
	if t.Class != "" {
		return t.Class
	}
	return p.Day.Classes[0].Name
}

func (p *play) ail(ctx context.Context, t Trouble, what fakes.Fault) {
	nodes, release := p.some(t.Part)
	defer release()
	for _, n := range nodes {
		defer n.Inject(what)()
	}
	wait(ctx, t.For)
}

func (p *play) onOff(ctx context.Context, t Trouble, what fakes.Fault, on time.Duration) {
	nodes, release := p.some(t.Part)
	defer release()
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; {
		var ends []func()
		for _, n := range nodes {
			ends = append(ends, n.Inject(what))
		}
		sleep(ctx, on)
		for _, e := range ends {
			e()
		}
		wait(ctx, t.Every)
	}
}

// fall lets nodes die at once; the list hears of it later, and measures when each proxy has shut them out.
func (p *play) fall(ctx context.Context, nodes []*fakes.Node) {
	fell := time.Now()
	for _, n := range nodes {
		n.Crash()
		p.background.Add(1)
		go p.measureFall(ctx, n.Name, fell)
	}
	if sleep(ctx, notice) {
		for _, n := range nodes {
			p.lister.Put(p.entry(n, "gone"))
		}
	}
}

func (p *play) measureFall(ctx context.Context, node string, fell time.Time) {
	defer p.background.Done()
	left, had := map[int]bool{}, map[int]bool{}
	for i, x := range p.proxies {
		left[i], had[i] = true, x.Weights(p.Day.Classes[0].Name)[node] > 0
	}
	for len(left) > 0 && time.Since(fell) < 8*time.Second && ctx.Err() == nil {
		for i := range left {
			if !had[i] { // it had no visits for it when it fell
				delete(left, i)
			} else if share := p.proxies[i].Weights(p.Day.Classes[0].Name)[node]; share == 0 {
				delete(left, i)
				told, heard := p.watch.ToldSince(p.proxies[i].Name, node, fell)
				p.mu.Lock()
				p.report.Falls.FromFall = append(p.report.Falls.FromFall, time.Since(fell).Seconds())
				if heard { // else the governor shut it out by what it saw itself
					p.report.Falls.FromTold = append(p.report.Falls.FromTold, time.Since(told).Seconds())
				}
				p.mu.Unlock()
			}
		}
		sleep(ctx, lookEvery)
	}
}

// back starts nodes again: they are cold.
func (p *play) back(ctx context.Context, nodes []*fakes.Node) {
	for _, n := range nodes {
		if err := n.Up(); err != nil {
			p.trouble("%v", err)
		}
	}
	sleep(ctx, listed)
	for _, n := range nodes {
		p.lister.Put(p.entry(n, "ready"))
	}
}

func (p *play) trouble(format string, args ...any) {
	p.mu.Lock()
	p.report.Troubles = append(p.report.Troubles, fmt.Sprintf(format, args...))
	p.mu.Unlock()
}

func (p *play) crash(ctx context.Context, t Trouble) {
	nodes, release := p.some(t.Part)
	defer release()
	p.fall(ctx, nodes)
	wait(ctx, t.For)
	p.back(ctx, nodes)
}

func (p *play) flapping(ctx context.Context, t Trouble) {
	nodes, release := p.some(t.Part)
	defer release()
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; {
		p.fall(ctx, nodes)
		wait(ctx, t.Every)
		p.back(ctx, nodes)
		wait(ctx, t.Every)
	}
}

// drain lists nodes as draining, lets them end after so long, and brings them back at the end.
func (p *play) drain(ctx context.Context, t Trouble, after time.Duration) {
	nodes, release := p.some(t.Part)
	defer release()
	for _, n := range nodes {
		p.lister.Put(p.entry(n, "draining"))
	}
	sleep(ctx, after)
	for _, n := range nodes {
		p.lister.Put(p.entry(n, "gone"))
		n.Crash()
	}
	sleep(ctx, time.Duration(t.For)-after)
	p.back(ctx, nodes)
}

func (p *play) ageing(ctx context.Context, t Trouble) {
	nodes, release := p.some(t.Part)
	defer release()
	const steps = 10
	for i := range steps {
		by := 1 + (or(t.Size, 8)-1)*float64(i+1)/steps
		for _, n := range nodes {
			defer n.Inject(fakes.Fault{Slow: by * float64(steps) / steps})()
		}
		if !sleep(ctx, time.Duration(t.For)/steps) {
			return
		}
	}
	p.fall(ctx, nodes)
	sleep(ctx, 4*time.Second)
	p.back(ctx, nodes)
}

func (p *play) oneSided(ctx context.Context, t Trouble) {
	hit := map[string]bool{}
	for i, x := range p.proxies {
		if p.ownerOf[i] == 0 {
			hit[x.Name] = true
		}
	}
	p.ail(ctx, t, fakes.Fault{Errors: or(t.Size, 0.6), Proxies: hit})
}

func (p *play) slowLink(ctx context.Context, t Trouble) {
	hit := map[string]bool{}
	for i, x := range p.proxies {
		if p.zones[i] == p.Day.Zones[len(p.Day.Zones)-1] {
			hit[x.Name] = true
		}
	}
	link := time.Duration(or(t.Size, 400)) * time.Millisecond
	for _, n := range p.nodes {
		if p.zoneOf[n.Name] == p.Day.Zones[0] {
			defer n.Inject(fakes.Fault{LinkDelay: link, Proxies: hit})()
		}
	}
	wait(ctx, t.For)
}

func (p *play) reportsLate(ctx context.Context, t Trouble) {
	for _, x := range p.proxies {
		x.DelayCounters(time.Duration(or(t.Size, 2) * float64(time.Second)))
		defer x.DelayCounters(0)
	}
	wait(ctx, t.For)
}

func (p *play) burstVisits(ctx context.Context, t Trouble) {
	p.burst.Store(math.Float64bits(or(t.Size, 1.6)))
	wait(ctx, t.For)
	p.burst.Store(math.Float64bits(1))
}

func (p *play) hotCaller(ctx context.Context, t Trouble) {
	p.hotBy.Store(math.Float64bits(or(t.Size, 0.2)))
	p.hot.Store(int64(p.someProxies(0)[0]))
	wait(ctx, t.For)
	p.hot.Store(-1)
}

func (p *play) proxyRestart(ctx context.Context, t Trouble) {
	at := p.someProxies(t.Part)
	for _, i := range at {
		p.proxies[i].Down()
	}
	sleep(ctx, max(500*time.Millisecond, time.Duration(t.For)))
	for _, i := range at {
		if err := p.proxies[i].Up(); err != nil {
			p.trouble("%v", err)
		}
	}
}

func (p *play) proxyStall(ctx context.Context, t Trouble) {
	at := p.someProxies(t.Part)
	still := time.Duration(or(t.Size, 1000)) * time.Millisecond
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; {
		for _, i := range at {
			p.proxies[i].StallUntil(time.Now().Add(still))
		}
		sleep(ctx, still+time.Duration(t.Every))
	}
}

func (p *play) someGovernors(part float64) []*governor {
	return p.governors[:count(part, len(p.governors))]
}

// rolling restarts all governors one after the other, as the command of that name does.
func (p *play) rolling(ctx context.Context, t Trouble) {
	var sockets []string
	for _, g := range p.governors {
		sockets = append(sockets, g.socket)
	}
	began := time.Now()
	err := rollingrestart.Restart(ctx, sockets, 30*time.Second, func(ctx context.Context, socket string) error {
		g := p.governors[slices.Index(sockets, socket)]
		if err := g.end(syscall.SIGTERM); err != nil {
			return err
		}
		sleep(ctx, time.Second/2)
		return g.start(p.Launch)
	})
	if err != nil {
		p.trouble("rolling restart: %v", err)
	}
	p.mu.Lock()
	p.report.Rolled = time.Since(began).Seconds()
	p.mu.Unlock()
}

func (p *play) governorKill(ctx context.Context, t Trouble) {
	owned := func(do func(string)) { // on files nothing shows a proxy that its governor is gone: then it isn't joined
		for i, x := range p.proxies {
			if x.Folder != "" && slices.Contains(p.someGovernors(t.Part), p.governors[p.ownerOf[i]]) {
				do(x.Name)
			}
		}
	}
	defer owned(p.watch.Joined)
	owned(p.watch.Parted)
	for _, g := range p.someGovernors(t.Part) {
		g.usage()
		if err := g.end(syscall.SIGKILL); err != nil {
			p.trouble("%v", err)
		}
	}
	wait(ctx, t.For)
	for _, g := range p.someGovernors(t.Part) {
		if err := g.start(p.Launch); err != nil {
			p.trouble("%v", err)
		}
	}
}

func (p *play) governorStall(ctx context.Context, t Trouble) {
	still := time.Duration(or(t.Size, 1000)) * time.Millisecond
	signal := func(s syscall.Signal) {
		for _, g := range p.someGovernors(t.Part) {
			g.mu.Lock()
			if g.cmd != nil {
				_ = g.cmd.Process.Signal(s)
			}
			g.mu.Unlock()
		}
	}
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; {
		signal(syscall.SIGSTOP)
		sleep(ctx, still)
		signal(syscall.SIGCONT)
		wait(ctx, t.Every)
	}
}

// cut breaks the runtime sessions of proxies again and again, each after some bytes of an order; on files somebody
// removes or truncates what was put in place.
func (p *play) cut(ctx context.Context, t Trouble) {
	at := p.someProxies(t.Part)
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; {
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

func (p *play) slowReader(ctx context.Context, t Trouble) {
	at := p.someProxies(t.Part)
	for _, i := range at {
		p.proxies[i].ReadSlowly(50 * time.Millisecond)
		defer p.proxies[i].ReadSlowly(0)
	}
	wait(ctx, t.For)
}

// pushTables sets weights by hand through the operators' sockets, again and again, and counts what was refused.
func (p *play) pushTables(ctx context.Context, t Trouble) {
	for end := time.Now().Add(time.Duration(t.For)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 300*time.Millisecond) {
		newest := slices.MaxFunc(p.nodes, func(a, b *fakes.Node) int { return a.Started().Compare(b.Started()) })
		isCold := time.Since(newest.Started()) < time.Duration(p.Day.Servers.ColdFor)
		for _, g := range p.governors {
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
					p.report.PushesRefused++
				} else if err == nil {
					p.report.PushesTaken++
				}
				p.mu.Unlock()
			}
		}
	}
	for _, g := range p.governors {
		for _, n := range p.nodes {
			_, _ = ask(g.socket, fmt.Sprintf("clear weight 0/%s\n", n.Name))
		}
	}
}

// badTable lets staff force a poor table on each governor and go back after a while. It measures how long it takes from
// the command until each proxy says that it holds the version gone back to.
func (p *play) badTable(ctx context.Context, t Trouble) {
	for g, own := range p.governors {
		history, err := ask(own.socket, "table history 0\n")
		lines := strings.Split(strings.TrimSpace(history), "\n")
		if err != nil || len(lines) < 2 {
			p.trouble("%s has no history: %v %s", own.name, err, history)
			return
		}
		good := strings.Fields(lines[len(lines)-1])[1]
		for i, n := range p.nodes {
			weight := 1
			if i == 0 {
				weight = 256
			}
			p.set(own, n.Name, weight)
		}
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			if !wait(ctx, t.For) {
				return
			}
			began := time.Now()
			answer, err := ask(own.socket, "table rollback 0 "+good+" 5m\n")
			_, version, ok := strings.Cut(answer, "as version ")
			if version, _, _ = strings.Cut(version, ","); err != nil || !ok {
				p.trouble("%s: rollback: %v %s", own.name, err, answer)
				return
			}
			left := map[int]bool{}
			for i := range p.proxies {
				if p.ownerOf[i] == g {
					left[i] = true
				}
			}
			for key := p.Day.Classes[0].Name + ".version"; len(left) > 0 && time.Since(began) < 10*time.Second && ctx.Err() == nil; sleep(ctx, lookEvery/2) {
				for i := range left {
					if strings.HasPrefix(p.proxies[i].Level(key), version+"/") {
						delete(left, i)
						p.mu.Lock()
						p.report.Backs = append(p.report.Backs, time.Since(began).Seconds())
						p.mu.Unlock()
					}
				}
			}
			if len(left) > 0 {
				p.trouble("%d proxies of %s did not come to version %s", len(left), own.name, version)
			}
		}()
	}
}

// set sets a weight by hand, with force where that is offered.
func (p *play) set(own *governor, node string, weight int) {
	answer, err := ask(own.socket, fmt.Sprintf("set weight 0/%s %d\n", node, weight))
	if _, forced, offered := strings.Cut(answer, "within 30 s: "); err == nil && offered {
		answer, err = ask(own.socket, strings.TrimSpace(forced)+"\n")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && strings.TrimSpace(answer) == "" {
		p.report.PushesTaken++
	} else {
		p.report.PushesRefused++
	}
}

// flood sends reports that nobody asked for to all governors.
func (p *play) flood(ctx context.Context, t Trouble) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.For))
	defer cancel()
	nodes, release := p.some(0.25) // whose names it uses: what those say themselves drowns in it
	defer release()
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	var f fakes.Flood
	for i, g := range p.governors {
		if g.reports != "" {
			f.Run(ctx, "http://"+g.reports+"/write", names, int(or(t.Size, 10_000)), p.Day.Seed+uint64(i))
		}
	}
	<-ctx.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Flood = [3]int64{f.Accepted.Load(), f.Rejected.Load(), f.Failed.Load()}
}

// mute stops the reports of nodes that go on serving, and measures when each governor has noticed which those are.
func (p *play) mute(ctx context.Context, t Trouble) {
	nodes, release := p.some(t.Part)
	defer release()
	began := time.Now()
	for _, n := range nodes {
		n.StopReports(true)
		defer n.StopReports(false)
	}
	for _, g := range p.governors {
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			left := map[string]bool{}
			for _, n := range nodes {
				left[n.Name] = true
			}
			for len(left) > 0 && time.Since(began) < time.Duration(t.For) && sleep(ctx, 5*lookEvery) {
				text, err := ask(g.socket, "show reports stale\n")
				if err != nil {
					continue
				}
				for _, l := range splitLines([]byte(text)) {
					if f := strings.Fields(l); len(f) > 1 && f[1] == "mute" && left[f[0]] {
						delete(left, f[0])
						p.mu.Lock()
						p.report.Mutes = append(p.report.Mutes, time.Since(began).Seconds())
						p.mu.Unlock()
					}
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.report.Unnoticed += len(left)
		}()
	}
	wait(ctx, t.For)
}

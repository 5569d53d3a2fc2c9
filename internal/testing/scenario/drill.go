package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
)

const (
	deathNoticeDelay     = 800 * time.Millisecond // the list service hears of a death so much later
	startNoticeDelay     = 200 * time.Millisecond // and of a start
	checkInterval  = 10 * time.Millisecond  // between two looks at whether a withdrawal has arrived
	callTimeout   = 60 * time.Second       // longest that any call to a stand-in lasts
	attemptTimeoutFactor = 1.0
)

// Options say how a day is played.
type Options struct {
	Spec      *Spec
	Launch   func(config string) *exec.Cmd // a governor's process
	Progress io.Writer                     // a line while it runs; nil: none
	Keep     string                        // folder that keeps settings, logs and records; "": a temporary one
	AlterSettings    func(settings map[string]any) // breaks a governor on purpose, for tests of the rules
	AlterFigures   func(*invariants.Figures)     // judges by other figures
	Records  bool

	// Faults at the front, for tests of the rules: what a broken governor would have done.
	FrozenList  bool     // governors hear of no change of the list, though the service tells it
	ForcedCommands []string // commands that every proxy is made to follow, again and again, as if its governor sent them
	CrowdNewestNode bool     // every proxy is made to send all visits to the node that started last
}

type controllerProcess struct {
	name, config, socket, log string
	reports                   string // host:port that nodes push to, "" for none
	peers                     string // where other governors reach it, "" for nowhere
	rpc, text                 string // where programs ask, "" for nowhere
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	pastCPU                       time.Duration // of processes that ended
	peakMemory                   int64
}

type runner struct {
	Options
	dir        string
	watch      *invariants.Watch
	lister     *fakes.Lister
	nodes      []*fakes.Node
	zoneByNode     map[string]string
	proxies    []*fakes.Proxy
	zoneByProxy      []string // by proxy
	controllers  []*controllerProcess
	clientPrograms  []*clientProgram
	ownerByProxy    []int // governor of a proxy
	rng        *rand.Rand
	mu         sync.Mutex
	faultyNodes     map[string]bool
	rateFactor      atomic.Uint64 // float bits: factor of all visits
	hotProxy        atomic.Int64  // proxy that gets more, -1: none
	hotFactor      atomic.Uint64
	requestIDs        atomic.Uint64 // of visits
	started    time.Time
	tally      tally
	report     *Report
	background sync.WaitGroup
}

// Play plays a day and judges it.
func Play(ctx context.Context, o Options) (*Report, error) {
	p := &runner{Options: o, watch: invariants.NewWatch(), zoneByNode: map[string]string{}, faultyNodes: map[string]bool{},
		rng: rand.New(rand.NewPCG(o.Spec.Seed, 7)), report: &Report{Scenario: o.Spec.Name}}
	p.rateFactor.Store(math.Float64bits(1))
	p.hotProxy.Store(-1)
	p.tally.byClass = make([]classTally, len(o.Spec.Classes))
	var err error
	if p.dir = o.Keep; p.dir == "" {
		if p.dir, err = os.MkdirTemp("", "drill"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(p.dir) }()
	} else if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return nil, err
	}
	defer p.close()
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	day, cancel := context.WithTimeout(ctx, time.Duration(o.Spec.Length))
	defer cancel()
	p.started = time.Now()
	p.startReports(day)
	p.startCallers(day)
	if err := p.startClientPrograms(day); err != nil {
		return nil, err
	}
	p.startFaults(day)
	p.forceCommands(day)
	p.startSampling(day)
	<-day.Done()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.finish()
	return p.report, nil
}

// startFleet starts all stand-ins and governors.
func (p *runner) startFleet() error {
	d := p.Spec
	var err error
	if p.lister, err = fakes.NewLister(p.watch); err != nil {
		return err
	}
	work := map[string]time.Duration{}
	var classes []fakes.ProxyClass
	for _, c := range d.Classes {
		work[c.Name] = time.Duration(c.Work)
		classes = append(classes, fakes.ProxyClass{Name: c.Name, Backend: c.Name, HardStop: time.Duration(c.HardStop),
			PerTry: time.Duration(attemptTimeoutFactor * float64(c.Expected))})
	}
	speeds := []float64{1.5, 1, 0.6}
	var entries []fakes.Entry
	for i := range d.Nodes {
		name, zone := nodeName(i), d.Zones[i%len(d.Zones)]
		n := fakes.NewNode(name, fakes.NodeCapacity{Cores: 2, Speed: speeds[i%len(speeds)] * (0.9 + 0.2*p.rng.Float64()), Queue: 24,
			SlowStartFraction: d.Servers.ColdFrom, SlowStartDuration: time.Duration(d.Servers.ColdFor), OverloadFactor: d.Servers.FallFactor,
			OverloadWindow: time.Duration(d.Servers.FallFor), Work: work}, p.watch, d.Seed*1000+uint64(i))
		if err := n.Up(); err != nil {
			return err
		}
		p.nodes, p.zoneByNode[name] = append(p.nodes, n), zone
		entries = append(entries, p.listEntry(n, "ready"))
	}
	p.lister.Put(entries...)
	p.lister.Freeze(p.FrozenList)
	for i := range d.Proxies {
		zone := d.Zones[i%len(d.Zones)]
		var standing []fakes.Entry
		for _, at := range p.rng.Perm(len(entries)) {
			if e := entries[at]; len(standing) < d.InitialEntries && (e.Zone == zone || d.Nodes < 3*len(d.Zones)) {
				standing = append(standing, e)
			}
		}
		x := fakes.NewProxy(fakes.ProxySetup{Name: fmt.Sprintf("proxy-%02d", i+1), Zone: zone, Classes: classes,
			Map: "cressknot", Table: "nodes", EjectionThreshold: 3, EjectionDuration: 4 * time.Second, EntryDelay: time.Duration(d.EntryDelay),
			Runtime: filepath.Join(p.dir, fmt.Sprintf("p%d.sock", i+1)), Folder: p.folder(i)}, standing, p.watch, d.Seed*2000+uint64(i))
		if err := x.Up(); err != nil {
			return err
		}
		p.proxies, p.zoneByProxy = append(p.proxies, x), append(p.zoneByProxy, zone)
	}
	for g := range d.Controllers {
		p.controllers = append(p.controllers, &controllerProcess{name: fmt.Sprintf("governor-%d", g+1)})
	}
	for i := range p.proxies {
		g := (i % len(d.Zones)) % d.Controllers // by zone
		p.ownerByProxy = append(p.ownerByProxy, g)
		p.watch.Owner(p.proxies[i].Name, p.controllers[g].name)
	}
	for _, g := range p.controllers {
		if d.Peers {
			if g.peers, err = freePort(); err != nil {
				return err
			}
		}
	}
	for g := range p.controllers {
		if err := p.writeSettings(g); err != nil {
			return err
		}
		if err := p.controllers[g].start(p.Launch); err != nil {
			return err
		}
	}
	return nil
}

// folder gives a proxy's folder on the files front.
func (p *runner) folder(i int) string {
	if p.Spec.Transport != "files" {
		return ""
	}
	return filepath.Join(p.dir, fmt.Sprintf("p%d", i+1))
}

func nodeName(i int) string { return fmt.Sprintf("node-%02d", i+1) }

// forceCommands makes proxies follow a broken governor's commands.
func (p *runner) forceCommands(ctx context.Context) {
	if len(p.ForcedCommands) == 0 && !p.CrowdNewestNode {
		return
	}
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		for sleep(ctx, checkInterval) {
			for _, x := range p.proxies {
				for _, c := range p.ForcedCommands {
					x.ByHand(splitFields([]byte(c))...)
				}
			}
			if !p.CrowdNewestNode {
				continue
			}
			newest := slices.MaxFunc(p.nodes, func(a, b *fakes.Node) int { return a.Started().Compare(b.Started()) })
			// Only once the governors have been told of the start: what comes before is nobody's order.
			if newest.Started().IsZero() || time.Since(newest.Started()) < 2*startNoticeDelay || time.Since(newest.Started()) > time.Duration(p.Spec.Servers.ColdFor) {
				continue
			}
			for _, x := range p.proxies {
				p.watch.Message(x.Name, len(p.nodes)) // as far as the rules go, its governor sent this
				for _, c := range p.Spec.Classes {
					for _, n := range p.nodes {
						weight := "0"
						if n == newest {
							weight = "256"
							x.ByHand("set", "server", c.Name+"/"+n.Name, "state", "ready")
						}
						x.ByHand("set", "server", c.Name+"/"+n.Name, "weight", weight)
					}
				}
			}
		}
	}()
}

func (p *runner) listEntry(n *fakes.Node, state string) fakes.Entry {
	return fakes.Entry{Name: n.Name, Addr: n.Addr, Zone: p.zoneByNode[n.Name], State: state, Started: n.Started()}
}

// writeSettings writes a governor's settings.
func (p *runner) writeSettings(g int) error {
	d, own := p.Spec, p.controllers[g]
	own.config = filepath.Join(p.dir, own.name+".json")
	own.socket = filepath.Join(p.dir, fmt.Sprintf("g%d.sock", g+1))
	own.log = filepath.Join(p.dir, own.name+".log")
	var classes, proxies []map[string]any
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "window": formatDuration(c.Window),
			"expected": formatDuration(c.Expected), "hardStop": formatDuration(c.HardStop), "value": c.Value})
	}
	for i, x := range p.proxies {
		if p.ownerByProxy[i] == g || d.Sharing {
			addr := x.Runtime
			if x.Folder != "" {
				addr = x.Folder
			}
			proxies = append(proxies, map[string]any{"name": x.Name, "zone": x.Zone, "addr": addr,
				"visits": d.RequestRate / float64(d.Proxies)})
		}
	}
	s := map[string]any{
		"name": own.name, "seed": d.Seed + uint64(g), "me": g, "governors": d.Controllers, "zones": d.Zones, "classes": classes,
		"proxies": proxies,
		"list":    map[string]any{"source": "http", "url": p.lister.URL + "?governor=" + own.name, "cache": filepath.Join(p.dir, own.name+".list")},
		"front":   map[string]any{"kind": d.Transport, "admission": d.Admission, "proxies": d.Proxies, "standing": d.InitialEntries, "outlierAfter": 3},
		"channel": map[string]any{"linesPerS": d.Channel.LinesPerS, "backlog": d.Channel.Backlog, "bare": formatDuration(d.Channel.Bare)},
		"servers": map[string]any{"coldFrom": d.Servers.ColdFrom, "coldFor": formatDuration(d.Servers.ColdFor), "fallFactor": d.Servers.FallFactor,
			"fallFor": formatDuration(d.Servers.FallFor), "drainGrace": formatDuration(d.Servers.Grace)},
		"guard": d.Guard, "faults": d.Faults,
		"operators": map[string]any{"socket": own.socket},
		"log":       map[string]any{"file": own.log},
	}
	if d.Store {
		s["store"] = map[string]any{"folder": filepath.Join(p.dir, own.name+".store")}
	}
	if d.Peers {
		s["peers"] = map[string]any{"listen": own.peers, "join": []string{p.controllers[0].peers, p.controllers[len(p.controllers)-1].peers}}
	}
	if d.Sharing {
		var all []string
		for _, o := range p.controllers {
			all = append(all, o.name)
		}
		s["sharing"] = map[string]any{"governors": all}
	}
	if d.ClientPrograms > 0 {
		var err error
		if own.rpc, err = freePort(); err != nil {
			return err
		}
		own.text = filepath.Join(p.dir, fmt.Sprintf("s%d.sock", g+1))
		s["service"] = map[string]any{"rpc": own.rpc, "text": own.text, "visits": d.RequestRate / float64(d.Proxies+d.ClientPrograms) * float64(d.ClientPrograms) / float64(len(d.Zones))}
	}
	if d.PushedReports {
		var err error
		if own.reports, err = freePort(); err != nil {
			return err
		}
		s["reports"] = map[string]any{"load": "pushed", "listen": own.reports}
		s["front"].(map[string]any)["table"] = "nodes"
	}
	if p.Records {
		s["records"] = filepath.Join(p.dir, own.name+".records")
	}
	if p.AlterSettings != nil {
		p.AlterSettings(s)
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(own.config, text, 0o644)
}

// freePort gives a loopback address that is free now.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func formatDuration(s Duration) string { return time.Duration(s).String() }

func (g *controllerProcess) start(launch func(string) *exec.Cmd) error {
	cmd := launch(g.config)
	out, err := os.OpenFile(g.log+".err", os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a drill that fails
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	g.mu.Lock()
	g.cmd = cmd
	g.mu.Unlock()
	return nil
}

// usage reads the processor time and memory of the process that runs.
func (g *controllerProcess) usage() (cpu time.Duration, rss int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return 0, g.peakMemory
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err == nil {
		for _, l := range splitLines(text) {
			var kb int64
			if n, _ := fmt.Sscanf(l, "VmHWM: %d kB", &kb); n == 1 {
				g.peakMemory = max(g.peakMemory, kb<<10)
			}
		}
	}
	text, err = os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	if err != nil {
		return 0, g.peakMemory
	}
	fields := splitFields(text[slices.Index(text, ')')+1:])
	ticks := int64(0)
	for _, f := range fields[11:13] { // utime, stime, in hundredths of a second
		n, _ := strconv.ParseInt(f, 10, 64)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond, g.peakMemory
}

// stop kills the process or lets it stop in order.
func (g *controllerProcess) stop(sig syscall.Signal) error {
	g.mu.Lock()
	cmd := g.cmd
	g.cmd = nil
	g.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Signal(sig); err != nil {
		return err
	}
	timer := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	err := cmd.Wait()
	if cmd.ProcessState != nil {
		g.pastCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
	if sig != syscall.SIGKILL && err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	return nil
}

func (p *runner) close() {
	for _, g := range p.controllers {
		_ = g.stop(syscall.SIGKILL)
	}
	p.background.Wait()
	p.closeClientPrograms()
	for _, x := range p.proxies {
		x.Down()
	}
	for _, n := range p.nodes {
		n.Crash()
	}
	if p.lister != nil {
		p.lister.Close()
	}
}

// startReports lets nodes push what they count.
func (p *runner) startReports(ctx context.Context) {
	var urls []string
	for _, g := range p.controllers {
		if g.reports != "" {
			urls = append(urls, "http://"+g.reports+"/api/v2/write")
		}
	}
	for _, n := range p.nodes {
		if len(urls) > 0 {
			p.background.Add(1)
			go func() {
				defer p.background.Done()
				n.Report(ctx, urls)
			}()
		}
	}
}

// startCallers lets visits come to each proxy at chance moments, whatever becomes of those before.
func (p *runner) startCallers(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}
	each := p.Spec.RequestRate / float64(p.Spec.Proxies+p.Spec.ClientPrograms)
	shares := 0.0
	for _, c := range p.Spec.Classes {
		shares += c.Share
	}
	for i := range p.proxies {
		rng := rand.New(rand.NewPCG(p.Spec.Seed, 100+uint64(i)))
		heft := 0.4 + 1.2*rng.Float64()
		p.background.Add(1)
		go func() {
			defer p.background.Done()
			next := time.Now()
			for ctx.Err() == nil {
				rate := each * heft * math.Float64frombits(p.rateFactor.Load())
				if p.hotProxy.Load() == int64(i) {
					rate += p.Spec.RequestRate * math.Float64frombits(p.hotFactor.Load())
				}
				next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if wait := time.Until(next); wait > 0 {
					select {
					case <-ctx.Done():
						return
					case <-time.After(wait):
					}
				}
				p.background.Add(1)
				go p.call(ctx, client, i, p.drawClass(rng, shares), p.requestIDs.Add(1))
			}
		}()
	}
}

// drawClass draws a class by the share of its visits.
func (p *runner) drawClass(rng *rand.Rand, shares float64) (class int) {
	draw := rng.Float64() * shares
	for draw -= p.Spec.Classes[0].Share; draw > 0 && class < len(p.Spec.Classes)-1; {
		class++
		draw -= p.Spec.Classes[class].Share
	}
	return class
}

func (p *runner) call(ctx context.Context, client *http.Client, proxy, class int, id uint64) {
	defer p.background.Done()
	c := p.Spec.Classes[class]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(c.HardStop))
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.proxies[proxy].RequestAddr+"/", nil)
	if err != nil {
		return
	}
	req.Header.Set("X-Class", c.Name)
	req.Header.Set("X-Visit", strconv.FormatUint(id, 10))
	res, err := client.Do(req)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	p.tally.count(class, status, time.Since(began), time.Duration(c.Expected), time.Since(p.started))
}

// startSampling looks at weights ten times a day, and prints progress.
func (p *runner) startSampling(ctx context.Context) {
	length := time.Duration(p.Spec.Length)
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		next := length / 20
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			at := time.Since(p.started)
			if p.Progress != nil {
				_, _ = fmt.Fprintf(p.Progress, "\r%4.0f s of %.0f s  %s", at.Seconds(), length.Seconds(), p.tally.summary())
			}
			if at >= next {
				next += length / 10
				row := Weights{At: at.Seconds(), Share: map[string]float64{}}
				for _, x := range p.proxies {
					for name, share := range x.Weights(p.Spec.Classes[0].Name) {
						row.Share[name] += share * float64(len(p.nodes)) / float64(len(p.proxies))
					}
				}
				p.mu.Lock()
				p.report.Weights = append(p.report.Weights, row)
				p.mu.Unlock()
			}
		}
	}()
}

// finish lets visits end, asks the governors for their counters, stops them and judges.
func (p *runner) finish() {
	r := p.report
	for _, g := range p.controllers {
		cpu, rss := g.usage()
		row := ControllerUsage{Name: g.name, CPU: (g.pastCPU + cpu).Seconds(), RSS: float64(rss) / (1 << 20), Info: map[string]string{}}
		if text, err := ask(g.socket, "show info;show intake\n"); err == nil {
			for _, l := range splitLines([]byte(text)) {
				if k, v, ok := cutPair(l); ok {
					row.Info[k] = v
				}
			}
		} else {
			r.Problems = append(r.Problems, fmt.Sprintf("%s did not answer: %v", g.name, err))
		}
		r.Controllers = append(r.Controllers, row)
	}
	p.background.Wait()
	p.closeClientPrograms()
	for _, g := range p.controllers {
		if err := g.stop(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
			r.Problems = append(r.Problems, "stopping "+err.Error())
		}
	}
	d := p.Spec
	f := invariants.Figures{Bare: time.Duration(d.Channel.Bare), Grace: time.Duration(d.Servers.Grace),
		SlowStartDuration: time.Duration(d.Servers.ColdFor), SlowStartFraction: d.Servers.ColdFrom, OverloadFactor: d.Servers.FallFactor,
		OverloadWindow: time.Duration(d.Servers.FallFor), LinesPerS: d.Channel.LinesPerS, Backlog: d.Channel.Backlog, Head: 6,
		MessagesOver: 10 * time.Second, Slack: 250 * time.Millisecond}
	for _, c := range d.Classes {
		f.Classes = append(f.Classes, invariants.Class{Name: c.Name, Idempotency: effects[c.Effect], DeduplicationWindow: time.Duration(c.Window)})
	}
	if p.AlterFigures != nil {
		p.AlterFigures(&f)
	}
	r.Rules = p.watch.Judge(f)
	r.Length = time.Duration(d.Length).Seconds()
	r.Classes = p.tally.classes(d)
	slices.Sort(r.Rollbacks)
	if d.Sharing {
		for _, gap := range p.watch.UnservedGaps() {
			r.UnservedGaps = append(r.UnservedGaps, gap.Seconds())
		}
	}
	r.Versions = map[string]int{}
	for _, x := range p.proxies {
		r.Versions[x.Level(d.Classes[0].Name+".version")]++
	}
	slices.Sort(r.Withdrawals.FromCrash)
	slices.Sort(r.Withdrawals.FromNotification)
}

var effects = map[string]invariants.Idempotency{"safe": invariants.Idempotent, "keyed": invariants.IdempotentWithKey, "unsafe": invariants.NotIdempotent}

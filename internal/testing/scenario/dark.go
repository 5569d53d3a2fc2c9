package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
)

const (
	cacheAge   = 24 * time.Hour
	serveTimeout = 10 * time.Second // what a start without discovery may take
)

// discoveryOutage kills all governors while the list's source is away, makes the lists that they kept a day old, with as many names of servers that
// are gone (some at the addresses of others) and a damaged last entry, restarts all proxies with their standing tables, and starts the
// governors. It measures how they fare, and what happens when the source returns.
func (p *runner) discoveryOutage(ctx context.Context, t FaultSpec) {
	r := &DiscoveryOutage{}
	defer func() {
		slices.Sort(r.Served)
		slices.Sort(r.LiveAfter)
		p.mu.Lock()
		p.report.DiscoveryOutage = r
		p.mu.Unlock()
	}()
	p.lister.Fail(true)
	for _, g := range p.controllers {
		g.usage()
		if err := g.stop(syscall.SIGKILL); err != nil {
			p.reportProblem("%v", err)
		}
		if err := p.ageCache(filepath.Join(p.dir, g.name+".list")); err != nil {
			p.reportProblem("%v", err)
		}
	}
	for _, x := range p.proxies {
		x.Down()
	}
	sleep(ctx, time.Second)
	for _, x := range p.proxies {
		if err := x.Up(); err != nil {
			p.reportProblem("%v", err)
		}
	}
	began := time.Now()
	for _, g := range p.controllers {
		if err := g.start(p.Launch); err != nil {
			p.reportProblem("%v", err)
		}
	}
	key := p.Spec.Classes[0].Name + ".version"
	waits := slices.Clone(p.proxies)
	var good, all int
	measured := false
	for time.Since(began) < time.Duration(t.Duration) && sleep(ctx, 5*checkInterval) {
		for i := 0; i < len(waits); {
			if waits[i].Level(key) == "" {
				i++
				continue
			}
			r.Served = append(r.Served, time.Since(began).Seconds())
			waits = slices.Delete(waits, i, i+1)
		}
		if !measured && time.Since(began) >= serveTimeout {
			measured = true
			good, all = p.tally.sums()
			for _, x := range p.proxies {
				for name, share := range x.Weights(p.Spec.Classes[0].Name) {
					if share > 0 && strings.HasPrefix(x.Addr(p.Spec.Classes[0].Name, name), "127.0.1.") {
						r.StaleEntries++
					}
				}
			}
		}
	}
	r.NeverServed = len(waits)
	if g, a := p.tally.sums(); a > all {
		r.InTimeFraction = float64(g-good) / float64(a-all)
	}
	back := time.Now()
	p.lister.Fail(false)
	for _, g := range p.controllers {
		for sleep(ctx, checkInterval) {
			text, err := ask(g.socket, "show log\n")
			if err == nil && strings.Contains(text, "source is back") {
				r.LiveAfter = append(r.LiveAfter, time.Since(back).Seconds())
				break
			}
		}
	}
	p.measureShift(ctx, r)
}

// measureShift looks for ten seconds at how shares move.
func (p *runner) measureShift(ctx context.Context, r *DiscoveryOutage) {
	var looks []map[string]float64
	for range 100 {
		all := map[string]float64{}
		for _, x := range p.proxies {
			for name, share := range x.Weights(p.Spec.Classes[0].Name) {
				all[name] += share / float64(len(p.proxies))
			}
		}
		if looks = append(looks, all); len(looks) > 10 {
			sum := 0.0
			for name, share := range all {
				gain := share - looks[len(looks)-11][name]
				sum += max(0, gain)
				r.MaxGain = max(r.MaxGain, gain*float64(len(p.nodes)))
			}
			r.MaxShift = max(r.MaxShift, sum)
		}
		if !sleep(ctx, 10*checkInterval) {
			return
		}
	}
}

// ageCache makes a kept list a day old.
func (p *runner) ageCache(path string) error {
	kept, wrong := discovery.ReadCache(path)
	if len(kept) == 0 {
		return fmt.Errorf("no list was kept at %s: %v", path, wrong)
	}
	doc := discovery.EndpointList{Revision: kept[0].Revision}
	i := 0
	for _, s := range kept[0].Entries {
		doc.Endpoints = append(doc.Endpoints, s)
		ghost := s
		if ghost.Name = "ghost-" + s.Name; i%4 > 0 { // the fourth ones' addresses are others' now
			ghost.Addr = fmt.Sprintf("127.0.1.%d:1", i%250) // nobody listens there
		}
		if !s.Started.IsZero() {
			ghost.Started = s.Started.Add(-time.Hour)
		}
		doc.Endpoints = append(doc.Endpoints, ghost)
		i++
	}
	doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: "zz-damaged", Addr: "127.0.1.251:1", Zone: doc.Endpoints[0].Zone})
	slices.SortFunc(doc.Endpoints, func(a, b discovery.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	if err := discovery.WriteCache(path, doc, fleet.Time(time.Now().Add(-cacheAge).UnixNano())); err != nil {
		return err
	}
	if err := os.Remove(path + ".before"); err != nil && !errors.Is(err, os.ErrNotExist) { // the true one
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text[:len(text)-10], 0o644)
}

func (t *tally) sums() (good, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.byClass {
		good, all = good+c.inTime, all+c.requests
	}
	return good, all
}

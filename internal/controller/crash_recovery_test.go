package controller_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
	"cressknot/internal/transport"
	"cressknot/internal/transport/haproxy"
)

// fakeSource is an endpoint source with a fixed list.
type fakeSource struct {
	mu   sync.Mutex
	sink func(discovery.Update)
	list discovery.EndpointList
}

func (s *fakeSource) Start(_ context.Context, sink func(discovery.Update)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sink = sink
	sink(discovery.Update{Scope: fleet.ListFull, List: s.list})
	return nil
}
func (s *fakeSource) Watch(bool) {}
func (s *fakeSource) Fetch()     {}

// TestControllerCrashLeavesProxiesServed kills a controller after it has sent tables. Proxies continue to use these
// tables, the next controller reads them back instead of treating the proxies as fresh, and no proxy lacks an entry at
// any time.
func TestControllerCrashLeavesProxiesServed(t *testing.T) {
	dir := t.TempDir()
	watch := invariants.NewWatch()
	var addresses []transport.Proxy
	var proxies []*fakes.Proxy
	for i := range 3 {
		p := newProxy(t, dir, fmt.Sprintf("p%d", i), watch, 3)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		proxies = append(proxies, p)
		addresses = append(addresses, transport.Proxy{ID: fleet.ProxyID(i), Name: p.Name, Addr: p.Runtime, RequestRate: 1})
		watch.Owner(p.Name, "g")
	}
	list := discovery.EndpointList{Revision: 1}
	for _, e := range testEndpoints(6) {
		watch.Notified("g", e.Name, "ready", time.Time{})
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: e.Name, Addr: e.Addr, Zone: "a"})
	}
	site := testSite()
	site.Classes[0] = fleet.RequestClass{
		Name:             backend,
		PriorityWeight:   1,
		LatencyObjective: fleet.Second,
		Deadline:         2 * fleet.Second,
	}
	site.ReportInterval = 200 * fleet.Millisecond
	site.ReportsPerSecond = 1000
	site.MaxUnservedDuration = 2 * fleet.Second
	site.DrainTimeout = fleet.Second
	site.ProxyCount = 3
	site.Controllers = 1
	site.LoadFields = []fleet.LoadField{fleet.LoadFieldUtilization}
	startController := func(seed uint64) (loop *controller.Loop, kill func()) {
		names := controller.NewServerNames()
		proxyTransport := haproxy.New(haproxy.Options{
			Proxies:   addresses,
			Classes:   []transport.Class{{Name: backend, Backend: backend}},
			Map:       "cressknot",
			Table:     "nodes",
			Admission: site.Admission,
			Names:     names,
		})
		loop = controller.NewLoop(controller.Options{
			Core:      controller.NewCore(controller.CoreOptions{Site: site, Seed: seed, Proxies: addresses, Names: names}),
			Names:     names,
			Transport: proxyTransport,
			Source:    &fakeSource{list: list},
			Log:       zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx, 0) }()
		return loop, func() {
			cancel()
			if err := <-done; err != nil { // streams are cut without a drain, as by a kill
				t.Logf("the killed controller returned: %v", err)
			}
		}
	}
	served := func(loop *controller.Loop) bool {
		all := false
		_ = loop.Do(context.Background(), func(c *controller.Core) {
			all = !slices.ContainsFunc(c.ProxyViews(), func(v reconcile.ProxyView) bool {
				return !v.Assigned[0] || v.InFlight > 0
			}) && len(c.ProxyViews()) == 3
		})
		return all
	}
	waitFor := func(condition string, met func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: condition not met within 20 s", condition)
			}
		}
	}
	loop, kill := startController(1)
	waitFor("table applied", func() bool { return served(loop) })
	for _, p := range proxies {
		if p.EntryState(backend, "n5") == "No such server." || p.MapEntry("cressknot.steered") != "1" {
			t.Errorf("%s did not receive its table: n5 is %q", p.Name, p.EntryState(backend, "n5"))
		}
	}
	kill()
	for _, p := range proxies {
		p.Commands()
	}
	loop, kill = startController(2)
	defer kill()
	waitFor("taken over by the next controller", func() bool { return served(loop) })
	_ = loop.Do(context.Background(), func(c *controller.Core) {
		if slices.ContainsFunc(c.ProxyViews(), func(v reconcile.ProxyView) bool { return v.Fresh }) {
			t.Error("a proxy that an earlier controller has served is reported as fresh")
		}
	})
	for _, p := range proxies {
		if n, log := p.Commands(); n > 6 {
			t.Errorf("%s was sent %d commands for tables that it already held: %q", p.Name, n, log)
		}
	}
	for _, v := range watch.Check(invariants.Limits{
		MaxUnusable:      time.Millisecond,
		DrainTimeout:     time.Second,
		EntriesPerSecond: 1e6,
		Backlog:          1e6,
		MessageOverhead:  4,
	}) {
		if len(v.Violations) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Violations)
		}
	}
}

package controller_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cressknot/internal/controller"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
	"cressknot/internal/transport"
	"cressknot/internal/transport/files"
	"cressknot/internal/transport/haproxy"
)

const (
	backend       = "look"
	waitTimeout   = 30 * time.Second // for each condition, with a margin for loaded machines
	eventCapacity = 1 << 16          // large enough that a transport never blocks on a test
)

// simulatedFleet is a transport with fake proxies, driven by a reconciler without a balancer: tests choose the orders.
type simulatedFleet struct {
	t          *testing.T
	reconciler *reconcile.Reconciler
	names      *controller.ServerNames
	transport  transport.Transport
	dir        string
	addresses  []transport.Proxy
	proxies    []*fakes.Proxy
	events     chan transport.Event
	streams    map[fleet.ProxyID]uint64
	lastErrors map[fleet.ProxyID]string
	joins      map[fleet.ProxyID]int
	start      time.Time
	watch      *invariants.Watch
}

func testSite() fleet.Site {
	return fleet.Site{
		Zones:            []string{"a"},
		Classes:          []fleet.RequestClass{{Name: backend}},
		EntriesPerSecond: 1e6,
		MessageOverhead:  4,
		MaxBacklog:       1e6,
		MeanUpdateDelay:  50 * fleet.Millisecond,
		MaxUpdateDelay:   200 * fleet.Millisecond,
		SlowStart:        fleet.SlowStart{Duration: 10 * fleet.Second},
		Admission:        fleet.AdmissionFraction,
	}
}

func testEndpoints(n int) (entries []fakes.ListedServer) {
	for i := range n {
		entries = append(entries, fakes.ListedServer{Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i)})
	}
	return entries
}

func newProxy(t *testing.T, dir, name string, watch *invariants.Watch, servers int) *fakes.Proxy {
	t.Helper()
	return fakes.NewProxy(fakes.ProxySetup{Name: name, Map: "cressknot", Table: "nodes",
		Classes: []fakes.ProxyClass{{Name: backend, Backend: backend, Deadline: time.Second}},
		Runtime: filepath.Join(dir, name+".sock")}, testEndpoints(servers), watch, 1)
}

// newSimulatedFleet returns a fleet without proxies and transport.
func newSimulatedFleet(t *testing.T) *simulatedFleet {
	return &simulatedFleet{
		t:          t,
		reconciler: reconcile.New(testSite()),
		names:      controller.NewServerNames(),
		events:     make(chan transport.Event, eventCapacity),
		streams:    map[fleet.ProxyID]uint64{},
		lastErrors: map[fleet.ProxyID]string{},
		joins:      map[fleet.ProxyID]int{},
		start:      time.Now(),
		watch:      invariants.NewWatch(),
	}
}

// newSocketFleet returns a fleet whose proxies are served over their runtime sockets. prepare, if not nil, is called
// for each proxy before it starts.
func newSocketFleet(t *testing.T, proxies, servers int, prepare func(i int, p *fakes.Proxy)) *simulatedFleet {
	t.Helper()
	sim := newSimulatedFleet(t)
	sim.reconciler.SetEpoch(7, func(id fleet.ServerID) string { name, _ := sim.names.Lookup(id); return name })
	dir := t.TempDir()
	l := fleet.EndpointList{Scope: fleet.ListFull}
	for _, e := range testEndpoints(servers) {
		id, _ := sim.names.SetAddress(e.Name, e.Addr)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: id})
	}
	sim.reconciler.SetEndpoints(1, l)
	var addresses []transport.Proxy
	for i := range proxies {
		p := newProxy(t, dir, fmt.Sprintf("p%d", i), sim.watch, min(3, servers))
		if prepare != nil {
			prepare(i, p)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		sim.proxies = append(sim.proxies, p)
		addresses = append(addresses, transport.Proxy{ID: fleet.ProxyID(i), Name: p.Name, Addr: p.Runtime})
	}
	sim.dir = dir
	sim.addresses = addresses
	sim.startTransport(haproxy.New(haproxy.Options{
		Proxies:   addresses,
		Classes:   []transport.Class{{Name: backend, Backend: backend}},
		Map:       "cressknot",
		Table:     "nodes",
		Admission: fleet.AdmissionFraction,
		Names:     sim.names,
	}))
	return sim
}

// startTransport starts a transport and stops it when the test ends.
func (sim *simulatedFleet) startTransport(started transport.Transport) {
	sim.transport = started
	events := sim.events // restartController gives the next transport a new channel
	if err := started.Start(context.Background(), func(e transport.Event) { events <- e }); err != nil {
		sim.t.Fatal(err)
	}
	sim.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = started.Stop(ctx)
	})
}

func (sim *simulatedFleet) now() fleet.Time { return fleet.Second + fleet.Time(time.Since(sim.start)) }

// waitUntil handles events and sends messages until met returns true. It fails the test after waitTimeout.
func (sim *simulatedFleet) waitUntil(condition string, met func() bool) {
	sim.t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		out, _, drops, _ := sim.reconciler.NextMessages(sim.now())
		for _, m := range out {
			sim.transport.Send(m)
		}
		for _, id := range drops {
			sim.transport.Drop(id)
		}
		if met() {
			return
		}
		select {
		case e := <-sim.events:
			sim.handleEvent(e)
		case <-tick.C:
		case <-deadline:
			for _, proxy := range sim.addresses {
				ack, _ := os.ReadFile(filepath.Join(proxy.Addr, "ack.json"))
				sim.t.Logf("proxy %s acknowledges %s", proxy.Name, ack)
			}
			sim.t.Fatalf("%s: condition not met within 30 s; last errors %v; connections %v; proxies %+v",
				condition, sim.lastErrors, sim.joins, sim.reconciler.Proxies())
		}
	}
}

func (sim *simulatedFleet) handleEvent(e transport.Event) {
	switch e := e.(type) {
	case transport.Connected:
		sim.streams[e.Proxy] = e.Stream
		sim.joins[e.Proxy]++
		sim.reconciler.Join(sim.now(), e.Proxy, e.Snapshot)
	case transport.Disconnected:
		sim.lastErrors[e.Proxy] = e.Err.Error()
		sim.reconciler.Leave(e.Proxy)
	case transport.Unreachable:
		sim.lastErrors[e.Proxy] = e.Err.Error()
	case transport.Progress:
		sim.reconciler.RecordProgress(sim.now(), e.Proxy)
	case transport.CountersPolled:
		sim.reconciler.ObserveEntries(sim.now(), e.Proxy, e.Reading.Entries)
	case transport.Answered:
		if sim.streams[e.Proxy] == e.Stream {
			sim.reconciler.RecordAcknowledgement(sim.now(), e.Proxy, e.Sequence, e.Failures)
		}
	}
}

// applyTable orders a table of the given number of servers for all proxies, an admission limit of 0.75 and the
// withdrawal of server 1.
func (sim *simulatedFleet) applyTable(servers int) {
	var orders []fleet.Order
	for i := range servers {
		orders = append(orders, fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.2 + float32(i)/20})
	}
	for i := range sim.proxies {
		orders = append(orders, fleet.AssignTable{Proxy: fleet.ProxyID(i)})
	}
	sim.reconciler.Apply(sim.now(), append(orders, fleet.WithdrawServer{Server: 1, Withdrawn: true},
		fleet.SetAdmission{Table: fleet.AllTables, Limit: 0.75}))
}

// hasTable reports whether a proxy holds the entries and the admission limit that applyTable ordered.
func (sim *simulatedFleet) hasTable(p *fakes.Proxy, servers int) bool {
	for _, l := range sim.reconciler.Entries() {
		state := "ready"
		if l.Withdrawn {
			state = "maint"
		}
		name, _ := sim.names.Lookup(l.Server)
		if p.EntryState(backend, name) != fmt.Sprintf("%d %s", l.Published, state) {
			return false
		}
	}
	return p.MapEntry(backend+".share") == "750"
}

func (sim *simulatedFleet) allConnected() bool { return len(sim.streams) == len(sim.proxies) }

// hasNewestVersion reports whether a proxy holds the newest version, by its version stamp and by its entries.
func (sim *simulatedFleet) hasNewestVersion(p *fakes.Proxy, servers int) bool {
	table := sim.reconciler.TableVersions(0)
	digest := tableversion.Digest(0)
	for i := range servers {
		name := fmt.Sprint("n", i)
		weight, _ := strconv.Atoi(strings.Fields(p.EntryState(backend, name) + " x")[0])
		digest += tableversion.EntryDigest(name, weight)
	}
	stamp := table.Version().String() + "/" + table.Digest().String()
	return digest == table.Digest() && p.MapEntry(backend+".version") == stamp
}

// newMemoryDir returns a folder in memory if /dev/shm exists, else one on disk. Syncing a file may take seconds on a
// disk that builds write to, which would dominate these tests.
func newMemoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "files")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// newFileFleet returns a fleet whose proxies read files. It has no transport before restartController.
func newFileFleet(t *testing.T, proxies, servers int) *simulatedFleet {
	t.Helper()
	sim := newSimulatedFleet(t)
	sim.dir = newMemoryDir(t)
	for i := range proxies {
		name := fmt.Sprintf("p%d", i)
		p := fakes.NewProxy(fakes.ProxySetup{Name: name, Map: "cressknot", Folder: filepath.Join(sim.dir, name),
			Classes: []fakes.ProxyClass{{
				Name:     backend,
				Backend:  backend,
				Deadline: time.Second,
			}}}, testEndpoints(min(3, servers)), sim.watch, 1)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		sim.proxies = append(sim.proxies, p)
		sim.addresses = append(sim.addresses, transport.Proxy{ID: fleet.ProxyID(i), Name: name, Addr: p.Folder})
	}
	return sim
}

// restartController replaces the reconciler and the transport by new ones, as a restarted process does. fault, if not
// nil, is called at each step of a file swap, which fails if it returns an error.
func (sim *simulatedFleet) restartController(servers int, fault func(string, int) error) {
	sim.t.Helper()
	sim.reconciler = reconcile.New(testSite())
	sim.events = make(chan transport.Event, eventCapacity)
	sim.streams = map[fleet.ProxyID]uint64{}
	sim.lastErrors = map[fleet.ProxyID]string{}
	sim.joins = map[fleet.ProxyID]int{}
	sim.reconciler.SetEpoch(uint64(time.Now().UnixNano()),
		func(id fleet.ServerID) string { name, _ := sim.names.Lookup(id); return name })
	l := fleet.EndpointList{Scope: fleet.ListFull}
	for _, e := range testEndpoints(servers) {
		id, _ := sim.names.SetAddress(e.Name, e.Addr)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: id})
	}
	sim.reconciler.SetEndpoints(1, l)
	sim.startTransport(files.New(files.Options{
		Proxies:   sim.addresses,
		Classes:   []transport.Class{{Name: backend, Backend: backend}},
		Admission: fleet.AdmissionFraction,
		Names:     sim.names,
		Fault:     fault,
	}))
	sim.waitUntil("connected", sim.allConnected)
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

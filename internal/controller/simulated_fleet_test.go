package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/testing/invariants"
	"cressknot/internal/transport"
	"cressknot/internal/transport/haproxy"
)

const (
	backend  = "look"
	waitMost = 30 * time.Second // for anything that must happen: a loaded machine's worst
)

// yard is a front over sockets with stand-in proxies, driven by a plane alone, so that tests choose the orders.
type yard struct {
	t       *testing.T
	plane   *reconcile.Reconciler
	names   *controller.Names
	front   transport.Transport
	dir     string
	to      []transport.Proxy
	proxies []*fakes.Proxy
	events  chan transport.Event
	streams map[fleet.ProxyID]uint64
	why     map[fleet.ProxyID]string
	joins   map[fleet.ProxyID]int
	start   time.Time
	watch   *invariants.Watch
	parted  map[fleet.ProxyID]time.Time
}

func testSite() fleet.Site {
	return fleet.Site{Zones: []string{"a"}, Classes: []fleet.RequestClass{{Name: backend}}, EntriesPerSecond: 1e6, MessageOverhead: 4,
		MaxBacklog: 1e6, MeanUpdateDelay: 50 * fleet.Millisecond, MaxUpdateDelay: 200 * fleet.Millisecond, SlowStart: fleet.SlowStart{Duration: 10 * fleet.Second},
		Admission: fleet.AdmissionFraction}
}

func standing(n int) (entries []fakes.Entry) {
	for i := range n {
		entries = append(entries, fakes.Entry{Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i)})
	}
	return entries
}

func newProxy(t *testing.T, dir, name string, watch *invariants.Watch, servers int) *fakes.Proxy {
	t.Helper()
	return fakes.NewProxy(fakes.ProxySetup{Name: name, Map: "cressknot", Table: "nodes",
		Classes: []fakes.ProxyClass{{Name: backend, Backend: backend, HardStop: time.Second}},
		Runtime: filepath.Join(dir, name+".sock")}, standing(servers), watch, 1)
}

func newYard(t *testing.T, proxies, servers int, prepare func(i int, p *fakes.Proxy)) *yard {
	t.Helper()
	y := &yard{t: t, plane: reconcile.New(testSite()), names: controller.NewNames(), events: make(chan transport.Event, 1<<16),
		streams: map[fleet.ProxyID]uint64{}, why: map[fleet.ProxyID]string{}, joins: map[fleet.ProxyID]int{},
		start: time.Now(), watch: invariants.NewWatch(), parted: map[fleet.ProxyID]time.Time{}}
	y.plane.SetEpoch(7, func(id fleet.ServerID) string { name, _ := y.names.Of(id); return name })
	dir := t.TempDir()
	l := fleet.EndpointList{Scope: fleet.ListFull}
	for _, e := range standing(servers) {
		id, _ := y.names.Listed(e.Name, e.Addr)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{Server: id})
	}
	y.plane.SetEndpoints(1, l)
	var to []transport.Proxy
	for i := range proxies {
		p := newProxy(t, dir, fmt.Sprintf("p%d", i), y.watch, min(3, servers))
		if prepare != nil {
			prepare(i, p)
		}
		if err := p.Up(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Down)
		y.proxies = append(y.proxies, p)
		to = append(to, transport.Proxy{ID: fleet.ProxyID(i), Name: p.Name, Addr: p.Runtime})
	}
	y.dir, y.to = dir, to
	y.begin(haproxy.New(haproxy.Options{Proxies: to, Classes: []transport.Class{{Name: backend, Backend: backend}},
		Map: "cressknot", Table: "nodes", Admission: fleet.AdmissionFraction, Names: y.names}))
	return y
}

// begin starts a front and ends it with the test.
func (y *yard) begin(f transport.Transport) {
	y.front = f
	events := y.events // the next front of this yard has others
	if err := f.Start(context.Background(), func(e transport.Event) { events <- e }); err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = f.Stop(ctx)
	})
}

func (y *yard) now() fleet.Time { return fleet.Second + fleet.Time(time.Since(y.start)) }

// until takes events in and sends messages out until the condition holds.
func (y *yard) until(what string, holds func() bool) {
	y.t.Helper()
	deadline := time.After(waitMost)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		out, _, drops, _ := y.plane.Next(y.now())
		for _, m := range out {
			y.front.Send(m)
		}
		for _, id := range drops {
			y.front.Drop(id)
		}
		if holds() {
			return
		}
		select {
		case e := <-y.events:
			y.take(e)
		case <-tick.C:
		case <-deadline:
			for _, to := range y.to {
				ack, _ := os.ReadFile(filepath.Join(to.Addr, "ack.json"))
				y.t.Logf("proxy %s acknowledges %s", to.Name, ack)
			}
			y.t.Fatalf("%s: not within 30 s; refusals %v; joins %v; proxies %+v", what, y.why, y.joins, y.plane.Proxies())
		}
	}
}

func (y *yard) take(e transport.Event) {
	switch e := e.(type) {
	case transport.Connected:
		y.streams[e.Proxy] = e.Stream
		y.joins[e.Proxy]++
		y.plane.Join(y.now(), e.Proxy, e.Snapshot)
	case transport.Disconnected:
		y.why[e.Proxy] = e.Err.Error()
		y.plane.Leave(e.Proxy)
	case transport.Unreachable:
		y.why[e.Proxy] = e.Err.Error()
	case transport.Progress:
		y.plane.Progress(y.now(), e.Proxy)
	case transport.CountersPolled:
		y.plane.ObserveEntries(y.now(), e.Proxy, e.Reading.Entries)
	case transport.Answered:
		if y.streams[e.Proxy] == e.Stream {
			y.plane.Acknowledge(y.now(), e.Proxy, e.Sequence, e.Failures)
		}
	}
}

// lay orders a table of so many servers for all proxies, with a level and a withdrawal.
func (y *yard) lay(servers int) {
	var orders []fleet.Order
	for i := range servers {
		orders = append(orders, fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.2 + float32(i)/20})
	}
	for i := range y.proxies {
		orders = append(orders, fleet.AssignTable{Proxy: fleet.ProxyID(i)})
	}
	y.plane.Apply(y.now(), append(orders, fleet.WithdrawServer{Server: 1, Withdrawn: true},
		fleet.SetAdmission{Table: fleet.AllTables, Limit: 0.75}))
}

// wants tells whether a proxy holds what lay ordered.
func (y *yard) wants(p *fakes.Proxy, servers int) bool {
	for _, l := range y.plane.Entries() {
		state := "ready"
		if l.Withdrawn {
			state = "maint"
		}
		name, _ := y.names.Of(l.Server)
		if p.Held(backend, name) != fmt.Sprintf("%d %s", l.Published, state) {
			return false
		}
	}
	return p.Level(backend+".share") == "750"
}

func (y *yard) allJoined() bool { return len(y.streams) == len(y.proxies) }

// TestChannelCutAtEveryByte: the stream drops after any byte of an order of many commands. After it is dialed anew the
// proxy ends on what is wanted, and what it held already is not sent again.
func TestChannelCutAtEveryByte(t *testing.T) {
	const servers = 5
	whole := newYard(t, 1, servers, nil)
	whole.until("joined", whole.allJoined)
	whole.lay(servers)
	whole.until("laid", func() bool { return whole.wants(whole.proxies[0], servers) && whole.plane.Idle() })
	_, commands := whole.proxies[0].Commands()
	bytes := 100 + len(strings.Join(commands, ";")) // of the reading back, and of the order
	y := newYard(t, bytes, servers, func(i int, p *fakes.Proxy) { p.CutOnce(i) })
	y.until("joined", y.allJoined)
	again := map[fleet.ProxyID]bool{}
	y.lay(servers)
	y.until("all on what is wanted", func() bool {
		for i := range y.proxies {
			id := fleet.ProxyID(i)
			if y.joins[id] > 1 && !again[id] { // a binding ends with its stream, so the module binds anew
				again[id] = true
				y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: id}})
			}
		}
		for _, p := range y.proxies {
			if !y.wants(p, servers) {
				return false
			}
		}
		return y.plane.Idle()
	})
	cut := 0
	for i := range y.proxies {
		if y.joins[fleet.ProxyID(i)] > 1 {
			cut++
		}
	}
	if cut < len(strings.Join(commands, ";"))*3/4 {
		t.Errorf("only %d of %d streams were cut inside the order", cut, bytes)
	}
	for i, p := range y.proxies {
		_, log := p.Commands()
		counts := map[string]int{}
		for _, c := range log {
			if counts[c]++; counts[c] > 1 && strings.Contains(c, "weight") {
				t.Errorf("cut at byte %d: %q was carried out %d times", i, c, counts[c])
			}
		}
	}
}

// TestRepeatedOrderDoesNothing: after a reconnect with nothing new to say, nothing is said.
func TestRepeatedOrderDoesNothing(t *testing.T) {
	y := newYard(t, 1, 4, nil)
	y.until("joined", y.allJoined)
	y.lay(4)
	y.until("laid", func() bool { return y.wants(y.proxies[0], 4) && y.plane.Idle() })
	y.proxies[0].Commands()
	y.front.Drop(0)
	y.until("joined again", func() bool { return y.joins[0] == 2 })
	y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}, fleet.Barrier{ID: 9}})
	y.until("at rest", y.plane.Idle)
	if n, log := y.proxies[0].Commands(); n > 0 {
		t.Errorf("%d commands for what stood: %q", n, log)
	}
}

// TestProxyRestartsWhileOrdersAreOnTheWay: it comes back with its standing tables and ends on what is wanted.
func TestProxyRestartsWhileOrdersAreOnTheWay(t *testing.T) {
	y := newYard(t, 2, 30, nil)
	y.until("joined", y.allJoined)
	y.proxies[0].ReadSlowly(20 * time.Millisecond)
	y.lay(30)
	y.until("half way", func() bool { return y.proxies[0].Held(backend, "n8") != "No such server." })
	y.proxies[0].Down()
	y.proxies[0].ReadSlowly(0)
	if err := y.proxies[0].Up(); err != nil {
		t.Fatal(err)
	}
	y.until("joined again", func() bool { return y.joins[0] == 2 })
	y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}})
	y.until("all on what is wanted", func() bool { return y.wants(y.proxies[0], 30) && y.wants(y.proxies[1], 30) })
}

// TestSlowReaderDelaysNoOther: one proxy takes 50 ms for each command; the other has its table long before.
func TestSlowReaderDelaysNoOther(t *testing.T) {
	y := newYard(t, 2, 30, nil)
	y.until("joined", y.allJoined)
	y.proxies[0].ReadSlowly(50 * time.Millisecond)
	y.lay(30)
	y.until("the quick one has it", func() bool { return y.wants(y.proxies[1], 30) })
	if y.wants(y.proxies[0], 30) {
		t.Error("the slow one was not slow")
	}
	y.until("the slow one has it too", func() bool { return y.wants(y.proxies[0], 30) })
}

// TestHandChangesAreFollowed: a server added by hand where it is to be added, one deleted where it is to be set, one
// that has visits where it is to be deleted.
func TestHandChangesAreFollowed(t *testing.T) {
	y := newYard(t, 1, 6, nil)
	y.until("joined", y.allJoined)
	p := y.proxies[0]
	p.ByHand("add", "server", backend+"/n5", "127.0.0.1:9005", "weight", "3")
	p.ByHand("set", "server", backend+"/n0", "state", "maint")
	p.ByHand("del", "server", backend+"/n0")
	y.lay(6)
	y.until("on what is wanted", func() bool { return y.wants(p, 6) && y.plane.Idle() })
	if got := p.ByHand("del", "server", backend+"/n2"); !strings.Contains(got, "maintenance") {
		t.Errorf("a ready server was deleted: %q", got)
	}
}

// TestServerMoves: a server that is listed at another address is sent to there, also by a proxy that was away.
func TestServerMoves(t *testing.T) {
	for _, on := range []string{"sockets", "files"} {
		var y *yard
		if on == "files" {
			y = newFolders(t, 2, 4)
			y.govern(4, nil)
		} else {
			y = newYard(t, 2, 4, nil)
			y.until("joined", y.allJoined)
		}
		y.lay(4)
		y.until("laid", func() bool { return y.wants(y.proxies[0], 4) && y.wants(y.proxies[1], 4) })
		y.front.Drop(1)
		id, moved := y.names.Listed("n2", "127.0.0.1:9999")
		if !moved {
			t.Fatal("not told as moved")
		}
		y.plane.AddressChanged(id)
		y.until("followed", func() bool {
			return y.proxies[0].Addr(backend, "n2") == "127.0.0.1:9999" && (on == "files" || y.proxies[1].Addr(backend, "n2") == "127.0.0.1:9999")
		})
	}
}

// onNewest tells whether a proxy holds the newest version, by what it says and by what it really holds.
func (y *yard) onNewest(p *fakes.Proxy, servers int) bool {
	book := y.plane.TableVersions(0)
	digest := tableversion.Digest(0)
	for i := range servers {
		name := fmt.Sprint("n", i)
		weight, _ := strconv.Atoi(strings.Fields(p.Held(backend, name) + " x")[0])
		digest += tableversion.EntryDigest(name, weight)
	}
	return digest == book.Digest() && p.Level(backend+".version") == book.Version().String()+"/"+book.Digest().String()
}

// TestAllEndOnTheSameVersion: through cuts, restarts, changes by hand, slow reading and ways back while others are on their
// way, every proxy ends on the same checked version; on both fronts.
func TestAllEndOnTheSameVersion(t *testing.T) {
	const servers, proxies = 8, 4
	for _, on := range []string{"sockets", "files"} {
		t.Run(on, func(t *testing.T) {
			var y *yard
			if on == "files" {
				y = newFolders(t, proxies, servers)
				y.govern(servers, nil)
			} else {
				y = newYard(t, proxies, servers, nil)
				y.until("joined", y.allJoined)
			}
			laid := map[fleet.ProxyID]int{}
			bind := func() {
				for i := range y.proxies {
					if id := fleet.ProxyID(i); laid[id] < y.joins[id] {
						laid[id] = y.joins[id]
						y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: id}})
					}
				}
			}
			all := func() bool {
				bind()
				return !slices.ContainsFunc(y.proxies, func(p *fakes.Proxy) bool { return !y.onNewest(p, servers) })
			}
			y.lay(servers)
			y.until("laid", all)
			good := y.plane.TableVersions(0).Version()
			rng := rand.New(rand.NewPCG(1, 9))
			for round := range 12 {
				y.plane.Apply(y.now(), []fleet.Order{fleet.SetWeight{Server: fleet.ServerID(rng.IntN(servers)), Weight: 0.1 + rng.Float32()/2}})
				p := y.proxies[rng.IntN(proxies)]
				switch rng.IntN(5) {
				case 0:
					p.CutOnce(100 + rng.IntN(200))
					y.front.Drop(fleet.ProxyID(rng.IntN(proxies)))
				case 1:
					p.Down()
					if err := p.Up(); err != nil {
						t.Fatal(err)
					}
				case 2:
					if on == "sockets" { // noticed by the next poll
						p.ByHand("set", "server", backend+"/n2", "weight", "3")
						p.ByHand("del", "server", backend+"/n1")
						p.ByHand("set", "server", backend+"/n4", "state", "maint")
					}
				case 3:
					p.ReadSlowly(5 * time.Millisecond)
				}
				if round == 6 || round == 9 { // while the last change is on its way, or not yet
					if _, err := y.plane.Rollback(y.now(), 0, good, y.now()+fleet.Second/2); err != nil && !strings.Contains(err.Error(), "stands already") {
						t.Fatal(err)
					}
				}
				for id := range y.proxies {
					y.front.Poll(fleet.ProxyID(id))
				}
				for range rng.IntN(3) {
					y.until("a moment", func() bool { bind(); return true })
				}
			}
			polled := func() bool {
				for id := range y.proxies {
					y.front.Poll(fleet.ProxyID(id))
				}
				return all()
			}
			y.until("all on the newest version", polled)
			if on == "files" {
				return // what is changed there is put back as a file
			}
			y.until("at rest", y.plane.Idle)
			y.plane.Notices()
			p := y.proxies[1]
			p.Commands()
			p.ByHand("set", "server", backend+"/n2", "weight", "3")
			p.ByHand("set", "server", backend+"/n3", "state", "maint")
			p.ByHand("del", "server", backend+"/n3")
			y.until("put right", func() bool { return polled() && y.plane.Idle() })
			if _, log := p.Commands(); len(log) > 12 {
				t.Errorf("more than the difference was sent: %q", log)
			}
			if alarms := y.plane.Notices(); len(alarms) == 0 || !strings.Contains(alarms[0].Text, "lines are not what it was sent") {
				t.Errorf("not told: %+v", alarms)
			}
		})
	}
}

// TestReadBackIsChecked: a proxy that says it holds a version and was changed while nobody looked is told and put right; one
// that holds what it says is left alone.
func TestReadBackIsChecked(t *testing.T) {
	const servers = 5
	y := newYard(t, 2, servers, nil)
	y.until("joined", y.allJoined)
	y.lay(servers)
	y.until("laid", func() bool {
		return y.onNewest(y.proxies[0], servers) && y.onNewest(y.proxies[1], servers) && y.plane.Idle()
	})
	y.plane.Notices()
	y.front.Drop(0)
	y.front.Drop(1)
	y.proxies[1].ByHand("set", "server", backend+"/n2", "weight", "7")
	y.until("joined again", func() bool { return y.joins[0] == 2 && y.joins[1] == 2 })
	alarms := y.plane.Notices()
	if len(alarms) != 1 || alarms[0].Proxy != 1 || !strings.Contains(alarms[0].Text, "it says that it holds version") {
		t.Errorf("alarms %+v", alarms)
	}
	y.plane.Apply(y.now(), []fleet.Order{fleet.AssignTable{Proxy: 0}, fleet.AssignTable{Proxy: 1}})
	y.until("put right", func() bool { return y.onNewest(y.proxies[1], servers) && y.plane.Idle() })
}

// TestOddFarEnds: one answers garbage, one never, one calls itself by another's name, one has no map; all are told by
// name and reason, and a sound one beside them is served.
func TestOddFarEnds(t *testing.T) {
	dir := t.TempDir()
	scripted := func(name, answer string) transport.Proxy {
		path := filepath.Join(dir, name+".sock")
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					if answer == "" {
						_, _ = c.Read(make([]byte, 1))
						time.Sleep(time.Minute)
						return
					}
					_, _ = c.Write([]byte(answer))
					_, _ = c.Read(make([]byte, 1<<16))
					<-time.After(time.Second)
				}()
			}
		}()
		return transport.Proxy{Name: name, Addr: path}
	}
	sound := newProxy(t, dir, "sound", invariants.NewWatch(), 3)
	if err := sound.Up(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sound.Down)
	state := "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_port\n\n"
	proxies := []transport.Proxy{
		scripted("garbage", "\n> HTTP/1.1 400 Bad request\n\n"),
		scripted("half", "\n> node: half\n\n> 1\n# be_id srv_id\n\n"),
		scripted("twin", "\n> node: sound\n\n"),
		scripted("bare", "\n> node: bare\n\n> "+state+"> Unknown map identifier. Please use #<id> or <file>.\n\n"),
		scripted("chatty", "\n> node: chatty\n\n> "+state+"> \n> what\n\n"),
		{Name: "sound", Addr: sound.Runtime},
		{Name: "nobody", Addr: filepath.Join(dir, "nobody.sock")},
	}
	for i := range proxies {
		proxies[i].ID = fleet.ProxyID(i)
	}
	y := &yard{t: t, plane: reconcile.New(testSite()), names: controller.NewNames(), events: make(chan transport.Event, 1<<16),
		streams: map[fleet.ProxyID]uint64{}, why: map[fleet.ProxyID]string{}, joins: map[fleet.ProxyID]int{}, start: time.Now()}
	y.front = haproxy.New(haproxy.Options{Proxies: proxies, Classes: []transport.Class{{Name: backend, Backend: backend}},
		Map: "cressknot", Names: y.names})
	if err := y.front.Start(context.Background(), func(e transport.Event) { y.events <- e }); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = y.front.Stop(context.Background()) }()
	want := map[fleet.ProxyID]string{0: "is no \"name: value\"", 1: "no column \"be_name\"", 2: "calls itself \"sound\"",
		3: "has no map cressknot", 4: "an answer to nothing", 6: "no such file"}
	if p := proxies[0]; p.Name != "garbage" {
		t.Fatal(p)
	}
	want[0] = "answer to" // whatever of it is read first
	y.until("each told", func() bool {
		for id, text := range want {
			if !strings.Contains(y.why[id], text) {
				return false
			}
		}
		return y.joins[5] == 1
	})
	if got := sound.Held(backend, "n1"); got != "100 ready" {
		t.Errorf("the sound proxy holds %q", got)
	}
}

// memory is a list source that tests feed.
type memory struct {
	mu   sync.Mutex
	sink func(discovery.Update)
	doc  discovery.EndpointList
}

func (m *memory) Start(_ context.Context, sink func(discovery.Update)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sink = sink
	sink(discovery.Update{Scope: fleet.ListFull, List: m.doc})
	return nil
}
func (m *memory) Watch(bool) {}
func (m *memory) Fetch()     {}

// TestGovernorKilledOutright: a governor lays tables and dies without a word; proxies keep what they hold; a new one
// starts over, is told that they are not fresh, and at no moment does a proxy lack a line.
func TestGovernorKilledOutright(t *testing.T) {
	dir, watch := t.TempDir(), invariants.NewWatch()
	var to []transport.Proxy
	var proxies []*fakes.Proxy
	for i := range 3 {
		p := newProxy(t, dir, fmt.Sprintf("p%d", i), watch, 3)
		if err := p.Up(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Down)
		proxies = append(proxies, p)
		to = append(to, transport.Proxy{ID: fleet.ProxyID(i), Name: p.Name, Addr: p.Runtime, RequestRate: 1})
		watch.Owner(p.Name, "g")
	}
	doc := discovery.EndpointList{Revision: 1}
	for _, e := range standing(6) {
		watch.Told("g", e.Name, "ready", time.Time{})
		doc.Endpoints = append(doc.Endpoints, discovery.Endpoint{Name: e.Name, Addr: e.Addr, Zone: "a"})
	}
	site := testSite()
	site.Classes[0] = fleet.RequestClass{Name: backend, PriorityWeight: 1, LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second}
	site.ReportInterval, site.ReportsPerSecond, site.MaxUnservedDuration, site.DrainTimeout = 200*fleet.Millisecond, 1000, 2*fleet.Second, fleet.Second
	site.ProxyCount, site.Controllers, site.LoadFields = 3, 1, []fleet.LoadField{fleet.LoadFieldUtilization}
	run := func(seed uint64) (loop *controller.Loop, kill func()) {
		names := controller.NewNames()
		f := haproxy.New(haproxy.Options{Proxies: to, Classes: []transport.Class{{Name: backend, Backend: backend}}, Map: "cressknot",
			Table: "nodes", Admission: site.Admission, Names: names})
		loop = controller.NewLoop(controller.Options{Core: controller.NewCore(controller.CoreOptions{Site: site, Seed: seed, Proxies: to, Names: names}), Names: names, Transport: f,
			Source: &memory{doc: doc}, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx, 0) }()
		return loop, func() { cancel(); <-done }
	}
	bound := func(loop *controller.Loop) bool {
		all := false
		_ = loop.Do(context.Background(), func(c *controller.Core) {
			all = !slices.ContainsFunc(c.ProxyViews(), func(v reconcile.ProxyView) bool { return !v.Assigned[0] || v.InFlight > 0 }) &&
				len(c.ProxyViews()) == 3
		})
		return all
	}
	wait := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within 20 s", what)
			}
		}
	}
	loop, kill := run(1)
	wait("laid", func() bool { return bound(loop) })
	for _, p := range proxies {
		if p.Held(backend, "n5") == "No such server." || p.Level("cressknot.steered") != "1" {
			t.Errorf("%s was not steered: n5 %s", p.Name, p.Held(backend, "n5"))
		}
	}
	kill()
	for _, p := range proxies {
		p.Commands()
	}
	loop, kill = run(2)
	defer kill()
	wait("taken over", func() bool { return bound(loop) })
	_ = loop.Do(context.Background(), func(c *controller.Core) {
		if slices.ContainsFunc(c.ProxyViews(), func(v reconcile.ProxyView) bool { return v.Fresh }) {
			t.Error("a proxy that the governor before steered counts as fresh")
		}
	})
	for _, p := range proxies {
		if n, log := p.Commands(); n > 6 {
			t.Errorf("%s was sent %d commands for tables that it held: %q", p.Name, n, log)
		}
	}
	for _, v := range watch.Judge(invariants.Figures{Bare: time.Millisecond, Grace: time.Second, LinesPerS: 1e6, Backlog: 1e6, Head: 4}) {
		if len(v.Breaks) > 0 {
			t.Errorf("%s: %v", v.Rule, v.Breaks)
		}
	}
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

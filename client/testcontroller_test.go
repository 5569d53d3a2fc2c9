package client_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"cressknot/client"
	"cressknot/client/rpc"
	"cressknot/client/runtime"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	overrpc "cressknot/internal/service/rpc"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/transport"
)

const eventuallyTimeout = 30 * time.Second // for anything that must happen on a loaded machine

var transports = []struct {
	name string
	via  client.Transport
}{{"rpc", rpc.Transport{}}, {"runtime", runtime.Transport{}}}

// names are servers s0, s1, … at addresses of their own.
type names struct{ n int }

func (n names) Server(name string) (fleet.ServerID, bool) {
	var id int
	_, err := fmt.Sscanf(name, "s%d", &id)
	return fleet.ServerID(id), err == nil && id < n.n
}
func (n names) Learn(name, _ string) fleet.ServerID { id, _ := n.Server(name); return id }
func (n names) Lookup(id fleet.ServerID) (string, string) {
	return fmt.Sprint("s", id), fmt.Sprint("127.0.0.1:", 7000+id)
}

var classes = []fleet.RequestClass{
	{Name: "look", LatencyObjective: 200 * fleet.Millisecond, Deadline: 2 * fleet.Second},
	{
		Name:                "book",
		Idempotency:         fleet.IdempotentWithKey,
		DeduplicationWindow: 5 * fleet.Second,
		LatencyObjective:    fleet.Second,
		Deadline:            2 * fleet.Second,
	},
	{Name: "issue", Idempotency: fleet.NotIdempotent, LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second},
}

// fixedQueries answers every query with fixed values.
type fixedQueries struct{}

func (fixedQueries) Server(_ context.Context, name string) (service.ServerState, error) {
	if name != "s1" {
		return service.ServerState{}, &service.Error{
			Code: service.NoServer,
			Text: fmt.Sprintf("no server %q is known to this controller", name),
		}
	}
	return service.ServerState{
		Name:               "s1",
		Addr:               "127.0.0.1:7001",
		Zone:               "a",
		State:              "draining",
		SlowStartRemaining: 3 * fleet.Second,
		Withdrawn:          true,
		Verdict:            "well",
		Weights: []service.ClassWeight{
			{Zone: "a", Class: "look", Weight: 12},
		},
		Reasons: []string{"draining; set by the endpoint list", "= \\ 100%"},
	}, nil
}

func (fixedQueries) History(
	_ context.Context,
	zone, class string,
	most int,
) (rows []service.VersionRow, err error) {
	if class != "look" {
		return nil, &service.Error{Code: service.NoClass, Text: fmt.Sprintf("class %q is not configured", class)}
	}
	for i := range most {
		rows = append(rows, service.VersionRow{
			Version:   tableversion.Version{Epoch: 9, Count: uint64(i + 1)},
			Digest:    tableversion.Digest(i),
			CreatedAt: fleet.Time(i),
			Entries:   i,
			Reason:    "by hand",
		})
	}
	return rows, nil
}

func (fixedQueries) Summary(context.Context) (service.Summary, error) {
	return service.Summary{
		Controller:   "g",
		Program:      "p",
		Epoch:        9,
		ListRevision: 4,
		ListAge:      5,
		Live:         true,
		Servers:      6,
		Ready:        5,
		WarmingUp:    1,
		Withdrawn:    2,
		ProxiesUp:    3,
		ProxiesAll:   4,
	}, nil
}

// testController is a hub served over both protocols, without a controller's loop: tests send the messages.
type testController struct {
	t        *testing.T
	hub      *service.Hub
	servers  [2]interface{ Close(context.Context) error }
	addrs    [2]string
	mu       sync.Mutex
	events   []transport.Event
	sequence uint64
	stopped  bool
}

func startController(t *testing.T, name string, epoch uint64, minor uint32) *testController {
	t.Helper()
	g := &testController{t: t}
	began := time.Now()
	g.hub = service.NewHub(service.HubOptions{
		Controller: name,
		Epoch:      epoch,
		Zones:      []service.Zone{{Name: "a"}},
		Classes:    classes,
		Names:      names{1000},
		Minor:      minor,
		Now:        func() fleet.Time { return fleet.Time(began.UnixNano()) + fleet.Time(time.Since(began)) },
	})
	if err := g.hub.Start(context.Background(), func(e transport.Event) {
		g.mu.Lock()
		g.events = append(g.events, e)
		g.mu.Unlock()
	}); err != nil {
		t.Fatal(err)
	}
	core := service.New(g.hub, fixedQueries{})
	r, err := overrpc.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	x, err := text.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	g.servers, g.addrs = [2]interface{ Close(context.Context) error }{r, x}, [2]string{r.Addr(), x.Addr()}
	return g
}

func (g *testController) stop() {
	if g.stopped {
		return
	}
	g.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = g.hub.Stop(ctx)
	for _, f := range g.servers {
		_ = f.Close(ctx)
	}
}

// publish changes servers in all classes by one message.
func (g *testController) publish(kind reconcile.ChangeKind, state reconcile.State, weight int16, servers ...int) {
	g.sequence++
	m := reconcile.Message{Sequence: g.sequence}
	for c := range classes {
		for _, s := range servers {
			m.Changes = append(
				m.Changes,
				reconcile.Change{Kind: kind, Class: fleet.ClassID(c), Server: fleet.ServerID(s), Weight: weight, State: state},
			)
		}
	}
	g.hub.Send(m)
}

func (g *testController) setOpen(rev uint64, servers ...int) {
	f := service.PublishedState{ListRevision: rev, Live: true, OpenServers: []string{}}
	for _, s := range servers {
		f.OpenServers = append(f.OpenServers, fmt.Sprint("s", s))
	}
	g.hub.PublishState(f)
}

// answered counts the messages that were answered.
func (g *testController) answered() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.events {
		if _, is := e.(transport.Answered); is {
			n++
		}
	}
	return n
}

// clientPair is a client on each protocol, each behind a relay of its own.
type clientPair struct {
	t       *testing.T
	relays  [2]*fakes.Relay
	clients [2]*client.Client
}

func newClientPair(t *testing.T, controllers ...*testController) *clientPair {
	t.Helper()
	p := &clientPair{t: t}
	for i, via := range transports {
		r, err := fakes.NewRelay(controllers[0].addrs[i])
		if err != nil {
			t.Fatal(err)
		}
		addrs := []string{r.Addr}
		for _, g := range controllers[1:] {
			addrs = append(addrs, g.addrs[i])
		}
		c, err := client.New(client.Config{Name: "suite-" + via.name, Zone: "a", Controllers: addrs, Seed: 2}, via.via)
		if err != nil {
			t.Fatal(err)
		}
		p.relays[i], p.clients[i] = r, c
	}
	return p
}

func (p *clientPair) close() {
	for i := range p.clients {
		_ = p.clients[i].Close()
		p.relays[i].Close()
	}
}

// eventuallyAgree waits until both clients are as wanted, and alike.
func (p *clientPair) eventuallyAgree(what string, good func(*client.Client) bool) {
	p.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(5 * time.Millisecond) {
		a, b := p.clients[0].State(), p.clients[1].State()
		if good(p.clients[0]) && good(p.clients[1]) && a.Controller == b.Controller && a.Version == b.Version &&
			a.Connected == b.Connected &&
			a.NewerProtocol == b.NewerProtocol &&
			reflect.DeepEqual(p.clients[0].Endpoints("look"), p.clients[1].Endpoints("look")) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf(
				"%s: condition not met by both clients, or their states differ, after %s:\n%+v %v\n%+v %v",
				what,
				eventuallyTimeout,
				a,
				p.clients[0].Endpoints("look"),
				b,
				p.clients[1].Endpoints("look"),
			)
		}
	}
}

func weights(c *client.Client) string {
	out := ""
	for _, l := range c.Endpoints("issue") {
		out += fmt.Sprintf("%s=%d ", l.Server, l.Weight)
	}
	return out
}

// errorCode returns the code of an error, and whether it asks to retry later.
func errorCode(err error) (service.Code, bool) {
	var f *service.Error
	if errors.As(err, &f) {
		return f.Code, f.RetryAfter > 0
	}
	return service.Code(fmt.Sprint(err)), false
}

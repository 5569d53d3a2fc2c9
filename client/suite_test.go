package client_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

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
func (n names) Of(id fleet.ServerID) (string, string) {
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
			Text: fmt.Sprintf("%q was never heard of", name),
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
		Reasons: []string{"it drains; so says the list", "= \\ 100%"},
	}, nil
}

func (fixedQueries) History(
	_ context.Context,
	zone, class string,
	most int,
) (rows []service.VersionRow, err error) {
	if class != "look" {
		return nil, &service.Error{Code: service.NoClass, Text: "no class"}
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
	f := service.PublishedState{ListRevision: rev, Live: true, Open: []string{}}
	for _, s := range servers {
		f.Open = append(f.Open, fmt.Sprint("s", s))
	}
	g.hub.Facts(f)
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
		c, err := client.New(client.Config{Name: "suite-" + via.name, Zone: "a", Governors: addrs, Seed: 2}, via.via)
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
				"%s: the clients don't agree:\n%+v %v\n%+v %v",
				what,
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

// TestClientsOfBothProtocolsAgree runs the clients of both protocols through the same faults and checks that they are
// alike at each step.
func TestClientsOfBothProtocolsAgree(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventuallyTimeout)
	defer cancel()
	g := startController(t, "g1", 100, 0)
	defer func() { g.stop() }()
	p := newClientPair(t, g)
	defer p.close()
	same := func(what string, want service.Code, ask func(*client.Client) (any, error)) {
		t.Helper()
		var got [2]any
		for i, c := range p.clients {
			v, err := ask(c)
			if is, retryLater := errorCode(
				err,
			); err != nil && is != want || err == nil && want != "" ||
				retryLater != (want == service.Unready || want == service.Overloaded) {
				t.Errorf("%s over %s: %v, want code %q", what, transports[i].name, err, want)
			}
			got[i] = v
		}
		if !reflect.DeepEqual(got[0], got[1]) {
			t.Errorf("%s: %+v and %+v", what, got[0], got[1])
		}
	}
	up := func(c *client.Client) bool { return c.State().Connected }
	shows := func(want string) func(*client.Client) bool {
		return func(c *client.Client) bool { return up(c) && weights(c) == want }
	}
	table := func(c *client.Client) (any, error) { return c.Table(ctx) }

	p.eventuallyAgree("greeted", up)
	same("nothing is published", service.Unready, table)
	g.setOpen(5, 0, 1, 2, 3)
	g.publish(reconcile.AddEntry, reconcile.StateReady, 128, 0, 1, 2)
	p.eventuallyAgree("published", shows("s0=128 s1=128 s2=128 "))
	g.publish(reconcile.UpdateEntry, reconcile.StateDrain, -1, 1)
	g.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 64, 2)
	p.eventuallyAgree("one drains, one has less weight", shows("s0=128 s2=64 "))
	same("the complete state", "", table)
	same("a server", "", func(c *client.Client) (any, error) { return c.Server(ctx, "s1") })
	same(
		"an unknown server",
		service.NoServer,
		func(c *client.Client) (any, error) { return c.Server(ctx, "nobody; quit") },
	)
	same(
		"a long name",
		service.TooLarge,
		func(c *client.Client) (any, error) { return c.Server(ctx, fmt.Sprintf("%0300d", 1)) },
	)
	same("history", "", func(c *client.Client) (any, error) { return c.History(ctx, "look", 3) })
	same(
		"history of no class",
		service.NoClass,
		func(c *client.Client) (any, error) { return c.History(ctx, "none", 3) },
	)
	same(
		"too much history",
		service.BadRequest,
		func(c *client.Client) (any, error) { return c.History(ctx, "look", 5000) },
	)
	same("summary", "", func(c *client.Client) (any, error) { return c.Summary(ctx) })
	same("asked too often", service.Overloaded, func(c *client.Client) (any, error) {
		var err error
		for i := 0; err == nil && i < 100; i++ {
			_, err = c.Summary(ctx)
		}
		return nil, err
	})

	// The connections break: both continue with what they have cached, miss three changes, and continue from there.
	for _, r := range p.relays {
		r.Refuse(true)
		r.Cut()
	}
	p.eventuallyAgree("disconnected", func(c *client.Client) bool { return !up(c) && weights(c) == "s0=128 s2=64 " })
	for _, c := range p.clients {
		if n, err := c.Pick(0); err != nil || n.Name != "s0" && n.Name != "s2" {
			t.Errorf("disconnected, it picks %v (%v)", n, err)
		}
	}
	same(
		"no controller answers",
		service.Unreachable,
		func(c *client.Client) (any, error) { _, err := c.Summary(ctx); return nil, err },
	)
	g.publish(reconcile.UpdateEntry, reconcile.StateReady, -1, 1)
	g.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 32, 2)
	g.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 16, 0)
	for _, r := range p.relays {
		r.Refuse(false)
	}
	p.eventuallyAgree("reconnected", shows("s0=16 s1=128 s2=32 "))

	// Half-open connections: nothing arrives any more, and no error says so.
	for _, r := range p.relays {
		r.Hold(true)
	}
	p.eventuallyAgree("noticed that it is silent", func(c *client.Client) bool { return !up(c) })
	for _, r := range p.relays {
		r.Hold(false)
		r.Cut()
	}
	p.eventuallyAgree("reconnected after silence", up)

	// The controller restarts: it has published nothing yet, says which servers are open, and speaks a newer minor
	// version.
	g.stop()
	g = startController(t, "g1", 200, 7)
	for i, r := range p.relays {
		r.SetTarget(g.addrs[i])
		r.Cut()
	}
	g.setOpen(6, 0, 2)
	p.eventuallyAgree(
		"the cached table without servers that are not open",
		func(c *client.Client) bool { return shows("s0=16 s2=32 ")(c) && c.State().NewerProtocol },
	)
	g.setOpen(7, 5)
	p.eventuallyAgree("no server open: the complete cached table", shows("s0=16 s1=128 s2=32 "))
	g.publish(reconcile.AddEntry, reconcile.StateReady, 100, 5, 6)
	p.eventuallyAgree("published again", shows("s5=100 s6=100 "))
	if n := g.answered(); n != 1 {
		t.Errorf("%d messages are answered", n)
	}

	// Outcomes are counted once though the connections break in between.
	for i, c := range p.clients {
		for n := range 300 {
			if n == 150 {
				p.relays[i].Cut()
			}
			err := c.Do(ctx, 2, func(context.Context, client.Attempt) client.Result {
				return client.Result{
					Outcome: []client.Outcome{client.Success, client.Success, client.Failed}[n%3],
					Load:    []uint32{500},
				}
			})
			if (err == nil) != (n%3 < 2) {
				t.Fatalf("request %d: %v", n, err)
			}
		}
	}
	p.eventuallyAgree("counted", func(*client.Client) bool {
		g.hub.Poll(0)
		g.mu.Lock()
		defer g.mu.Unlock()
		r := g.events[len(g.events)-1].(transport.CountersPolled).Reading
		attempts, failures := uint64(0), uint64(0)
		for _, row := range r.Rows {
			attempts += row.Attempts
			failures += row.Failures
		}
		if attempts > 600 || failures > 200 || r.Classes[2].Requests > 600 {
			t.Fatalf("counted twice: %d attempts, %d failures, %d requests", attempts, failures, r.Classes[2].Requests)
		}
		return attempts == 600 && failures == 200 && r.Classes[2].Requests == 600 && r.Classes[2].Unanswered == 200
	})
}

// TestClientNeverGoesBackToOlderList checks that a controller with an older endpoint list than one seen before is not
// watched, over either protocol, until it has caught up.
func TestClientNeverGoesBackToOlderList(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	one, other := startController(t, "g1", 100, 0), startController(t, "g2", 300, 0)
	defer one.stop()
	defer other.stop()
	one.setOpen(10, 0, 1)
	one.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	p := newClientPair(t, one)
	defer p.close()
	p.eventuallyAgree("follows", func(c *client.Client) bool { return c.State().ListRevision == 10 })
	other.setOpen(9, 0, 1)
	other.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0, 1)
	for i, r := range p.relays {
		r.SetTarget(other.addrs[i])
		r.Cut()
	}
	p.eventuallyAgree("outdated", func(c *client.Client) bool {
		s := c.State()
		return s.Controller == "g1" && s.Err != nil && len(c.Endpoints("look")) == 1
	})
	other.setOpen(10, 0, 1)
	other.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 1)
	p.eventuallyAgree(
		"caught up",
		func(c *client.Client) bool { return c.State().Controller == "g2" && len(c.Endpoints("look")) == 2 },
	)
}

// TestMalformedInputEndsOnlyItsConnection checks that malformed input ends the connection that it came on and no other,
// and that it is answered by an error in the text protocol.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g := startController(t, "g1", 100, 0)
	defer g.stop()
	g.setOpen(1, 0)
	g.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	p := newClientPair(t, g)
	defer p.close()
	p.eventuallyAgree("follows", func(c *client.Client) bool { return weights(c) != "" })
	malformed := [][]string{
		{
			"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x08\x06\x00\x00\x00\x00\x00\xff",
			"GET / HTTP/1.1\r\n\r\n",
		},
		{
			"get table a\x01\n",
			"report a x 1 <<e\nmet server=s0 tries=-1\ne\n",
			"watch table a zz\n",
			"watch table a -\nget summary\n",
			"hello one me\n",
			"report a 1 1 <<e\nmet server=s0 tries=1 failed=2\ne\n",
		},
	}
	for i, frames := range malformed {
		for _, frame := range frames {
			conn, err := net.Dial("tcp", g.addrs[i])
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(eventuallyTimeout))
			_, _ = conn.Write([]byte(frame))
			if i == 1 {
				answer := make([]byte, 4096)
				n, err := conn.Read(answer)
				if _, fault := text.ParseHello(answer[:n]); err != nil {
					t.Errorf("%q: %v", frame, err)
				} else if is, _ := errorCode(fault); is != service.BadRequest && is != service.Malformed {
					t.Errorf("%q: %s", frame, answer[:n])
				}
			}
			_ = conn.Close()
		}
	}
	for i, via := range transports {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		conn, err := via.via.Dial(ctx, g.addrs[i], "x")
		if err != nil {
			t.Fatal(err)
		}
		_, err = conn.Greet(ctx, service.Hello{Major: 2, Name: "x"})
		if is, _ := errorCode(err); is != service.OtherMajor {
			t.Errorf("%s: another major version: %v", via.name, err)
		}
		tooLarge := make([]service.ServerOutcome, 5000)
		_, err = conn.Report(ctx, &service.Report{Zone: "a", Session: 1, Sequence: 1, Outcomes: tooLarge})
		if is, _ := errorCode(err); is != service.TooLarge && is != service.BadRequest && is != service.Unreachable {
			t.Errorf("%s: a too large report: %v", via.name, err)
		}
		_ = conn.Close()
		cancel()
	}
	g.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 0)
	p.eventuallyAgree(
		"others go on",
		func(c *client.Client) bool { return c.State().Connected && weights(c) == "s0=50 " },
	)
}

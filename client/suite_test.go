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

const waitMost = 30 * time.Second // for anything that must happen: a loaded machine's worst

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
	{Name: "book", Idempotency: fleet.IdempotentWithKey, DeduplicationWindow: 5 * fleet.Second, LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second},
	{Name: "issue", Idempotency: fleet.NotIdempotent, LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second}}

// desk answers what a governor's loop would.
type desk struct{}

func (desk) Server(_ context.Context, name string) (service.ServerState, error) {
	if name != "s1" {
		return service.ServerState{}, &service.Error{Code: service.NoServer, Text: fmt.Sprintf("%q was never heard of", name)}
	}
	return service.ServerState{Name: "s1", Addr: "127.0.0.1:7001", Zone: "a", State: "draining", SlowStartRemaining: 3 * fleet.Second, Withdrawn: true, Verdict: "well",
		Weights: []service.ClassWeight{{Zone: "a", Class: "look", Weight: 12}}, Reasons: []string{"it drains; so says the list", "= \\ 100%"}}, nil
}

func (desk) History(_ context.Context, zone, class string, most int) (rows []service.VersionRow, err error) {
	if class != "look" {
		return nil, &service.Error{Code: service.NoClass, Text: "no class"}
	}
	for i := range most {
		rows = append(rows, service.VersionRow{Version: tableversion.Version{Epoch: 9, Count: uint64(i + 1)}, Digest: tableversion.Digest(i), CreatedAt: fleet.Time(i), Entries: i, Reason: "by hand"})
	}
	return rows, nil
}

func (desk) Summary(context.Context) (service.Summary, error) {
	return service.Summary{Controller: "g", Program: "p", Epoch: 9, ListRevision: 4, ListAge: 5, Live: true, Servers: 6, Ready: 5, WarmingUp: 1, Withdrawn: 2, ProxiesUp: 3, ProxiesAll: 4}, nil
}

// governor is a hub behind both fronts, without a governor's loop: tests give the messages.
type governor struct {
	t       *testing.T
	hub     *service.Hub
	fronts  [2]interface{ Close(context.Context) error }
	addrs   [2]string
	mu      sync.Mutex
	events  []transport.Event
	seq     uint64
	stopped bool
}

func start(t *testing.T, name string, epoch uint64, minor uint32) *governor {
	t.Helper()
	g := &governor{t: t}
	began := time.Now()
	g.hub = service.NewHub(service.HubOptions{Controller: name, Epoch: epoch, Zones: []service.Zone{{Name: "a"}}, Classes: classes, Names: names{1000}, Minor: minor,
		Now: func() fleet.Time { return fleet.Time(began.UnixNano()) + fleet.Time(time.Since(began)) }})
	if err := g.hub.Start(context.Background(), func(e transport.Event) {
		g.mu.Lock()
		g.events = append(g.events, e)
		g.mu.Unlock()
	}); err != nil {
		t.Fatal(err)
	}
	core := service.New(g.hub, desk{})
	r, err := overrpc.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	x, err := text.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	g.fronts, g.addrs = [2]interface{ Close(context.Context) error }{r, x}, [2]string{r.Addr(), x.Addr()}
	return g
}

func (g *governor) stop() {
	if g.stopped {
		return
	}
	g.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = g.hub.Stop(ctx)
	for _, f := range g.fronts {
		_ = f.Close(ctx)
	}
}

// lay gives servers weights in all classes, as one message.
func (g *governor) lay(kind reconcile.ChangeKind, state reconcile.State, weight int16, servers ...int) {
	g.seq++
	m := reconcile.Message{Sequence: g.seq}
	for c := range classes {
		for _, s := range servers {
			m.Changes = append(m.Changes, reconcile.Change{Kind: kind, Class: fleet.ClassID(c), Server: fleet.ServerID(s), Weight: weight, State: state})
		}
	}
	g.hub.Send(m)
}

func (g *governor) open(rev uint64, servers ...int) {
	f := service.PublishedState{ListRevision: rev, Live: true, Open: []string{}}
	for _, s := range servers {
		f.Open = append(f.Open, fmt.Sprint("s", s))
	}
	g.hub.Facts(f)
}

// answered counts the messages that were answered.
func (g *governor) answered() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.events {
		if _, is := e.(transport.Answered); is {
			n++
		}
	}
	return n
}

// pair is a library on each protocol, each behind a relay of its own.
type pair struct {
	t      *testing.T
	relays [2]*fakes.Relay
	of     [2]*client.Client
}

func newPair(t *testing.T, governors ...*governor) *pair {
	t.Helper()
	p := &pair{t: t}
	for i, via := range transports {
		r, err := fakes.NewRelay(governors[0].addrs[i])
		if err != nil {
			t.Fatal(err)
		}
		addrs := []string{r.Addr}
		for _, g := range governors[1:] {
			addrs = append(addrs, g.addrs[i])
		}
		c, err := client.New(client.Config{Name: "suite-" + via.name, Zone: "a", Governors: addrs, Seed: 2}, via.via)
		if err != nil {
			t.Fatal(err)
		}
		p.relays[i], p.of[i] = r, c
	}
	return p
}

func (p *pair) close() {
	for i := range p.of {
		_ = p.of[i].Close()
		p.relays[i].Close()
	}
}

// agree waits until both libraries are as wanted, and are alike.
func (p *pair) agree(what string, good func(*client.Client) bool) {
	p.t.Helper()
	for end := time.Now().Add(waitMost); ; time.Sleep(5 * time.Millisecond) {
		a, b := p.of[0].State(), p.of[1].State()
		if good(p.of[0]) && good(p.of[1]) && a.Controller == b.Controller && a.Version == b.Version && a.Connected == b.Connected && a.NewerProtocol == b.NewerProtocol &&
			reflect.DeepEqual(p.of[0].Endpoints("look"), p.of[1].Endpoints("look")) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("%s: they don't agree:\n%+v %v\n%+v %v", what, a, p.of[0].Endpoints("look"), b, p.of[1].Endpoints("look"))
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

// code gives the code of an error, and whether it asks for patience.
func code(err error) (service.Code, bool) {
	var f *service.Error
	if errors.As(err, &f) {
		return f.Code, f.RetryAfter > 0
	}
	return service.Code(fmt.Sprint(err)), false
}

// TestBothLibrariesAgree runs both libraries through the same faults and finds them alike at each step.
func TestBothLibrariesAgree(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitMost)
	defer cancel()
	g := start(t, "g1", 100, 0)
	defer func() { g.stop() }()
	p := newPair(t, g)
	defer p.close()
	same := func(what string, want service.Code, ask func(*client.Client) (any, error)) {
		t.Helper()
		var got [2]any
		for i, c := range p.of {
			v, err := ask(c)
			if is, patient := code(err); err != nil && is != want || err == nil && want != "" || patient != (want == service.Unready || want == service.Overloaded) {
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

	p.agree("greeted", up)
	same("nothing is laid", service.Unready, table)
	g.open(5, 0, 1, 2, 3)
	g.lay(reconcile.AddEntry, reconcile.StateReady, 128, 0, 1, 2)
	p.agree("laid", shows("s0=128 s1=128 s2=128 "))
	g.lay(reconcile.UpdateEntry, reconcile.StateDrain, -1, 1)
	g.lay(reconcile.UpdateEntry, reconcile.StateUnchanged, 64, 2)
	p.agree("one drains, one is cut", shows("s0=128 s2=64 "))
	same("the whole", "", table)
	same("a server", "", func(c *client.Client) (any, error) { return c.Server(ctx, "s1") })
	same("an unknown server", service.NoServer, func(c *client.Client) (any, error) { return c.Server(ctx, "nobody; quit") })
	same("a long name", service.TooLarge, func(c *client.Client) (any, error) { return c.Server(ctx, fmt.Sprintf("%0300d", 1)) })
	same("history", "", func(c *client.Client) (any, error) { return c.History(ctx, "look", 3) })
	same("history of no class", service.NoClass, func(c *client.Client) (any, error) { return c.History(ctx, "none", 3) })
	same("too much history", service.BadRequest, func(c *client.Client) (any, error) { return c.History(ctx, "look", 5000) })
	same("summary", "", func(c *client.Client) (any, error) { return c.Summary(ctx) })
	same("asked too often", service.Overloaded, func(c *client.Client) (any, error) {
		var err error
		for i := 0; err == nil && i < 100; i++ {
			_, err = c.Summary(ctx)
		}
		return nil, err
	})

	// Cut: both go on by what they hold, miss three changes, and go on from there.
	for _, r := range p.relays {
		r.Refuse(true)
		r.Cut()
	}
	p.agree("cut", func(c *client.Client) bool { return !up(c) && weights(c) == "s0=128 s2=64 " })
	for _, c := range p.of {
		if n, err := c.Pick(0); err != nil || n.Name != "s0" && n.Name != "s2" {
			t.Errorf("cut off, it picks %v (%v)", n, err)
		}
	}
	same("nobody answers", service.Unreachable, func(c *client.Client) (any, error) { _, err := c.Summary(ctx); return nil, err })
	g.lay(reconcile.UpdateEntry, reconcile.StateReady, -1, 1)
	g.lay(reconcile.UpdateEntry, reconcile.StateUnchanged, 32, 2)
	g.lay(reconcile.UpdateEntry, reconcile.StateUnchanged, 16, 0)
	for _, r := range p.relays {
		r.Refuse(false)
	}
	p.agree("back", shows("s0=16 s1=128 s2=32 "))

	// Half open: nothing comes any more, nothing says so.
	for _, r := range p.relays {
		r.Hold(true)
	}
	p.agree("noticed that it is silent", func(c *client.Client) bool { return !up(c) })
	for _, r := range p.relays {
		r.Hold(false)
		r.Cut()
	}
	p.agree("back from silence", up)

	// The governor restarts: it has laid nothing yet, says who is open, and speaks a newer minor version.
	g.stop()
	g = start(t, "g1", 200, 7)
	for i, r := range p.relays {
		r.To(g.addrs[i])
		r.Cut()
	}
	g.open(6, 0, 2)
	p.agree("what was held stands, less what is not open", func(c *client.Client) bool { return shows("s0=16 s2=32 ")(c) && c.State().NewerProtocol })
	g.open(7, 5)
	p.agree("nobody open: nobody is left without", shows("s0=16 s1=128 s2=32 "))
	g.lay(reconcile.AddEntry, reconcile.StateReady, 100, 5, 6)
	p.agree("laid anew", shows("s5=100 s6=100 "))
	if n := g.answered(); n != 1 {
		t.Errorf("%d messages are answered", n)
	}

	// What became of visits is counted once, through a cut in the middle.
	for i, c := range p.of {
		for n := range 300 {
			if n == 150 {
				p.relays[i].Cut()
			}
			err := c.Do(ctx, 2, func(context.Context, client.Attempt) client.Result {
				return client.Result{Outcome: []client.Outcome{client.Success, client.Success, client.Failed}[n%3], Load: []uint32{500}}
			})
			if (err == nil) != (n%3 < 2) {
				t.Fatalf("visit %d: %v", n, err)
			}
		}
	}
	p.agree("counted", func(*client.Client) bool {
		g.hub.Poll(0)
		g.mu.Lock()
		defer g.mu.Unlock()
		r := g.events[len(g.events)-1].(transport.CountersPolled).Reading
		tries, failed := uint64(0), uint64(0)
		for _, row := range r.Rows {
			tries, failed = tries+row.Attempts, failed+row.Failures
		}
		if tries > 600 || failed > 200 || r.Classes[2].Requests > 600 {
			t.Fatalf("counted twice: %d tries, %d failed, %d visits", tries, failed, r.Classes[2].Requests)
		}
		return tries == 600 && failed == 200 && r.Classes[2].Requests == 600 && r.Classes[2].Unanswered == 200
	})
}

// TestNeverBack: a governor that goes by an older list than one heard before is not followed, whichever protocol, until it has caught up.
func TestNeverBack(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	one, other := start(t, "g1", 100, 0), start(t, "g2", 300, 0)
	defer one.stop()
	defer other.stop()
	one.open(10, 0, 1)
	one.lay(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	p := newPair(t, one)
	defer p.close()
	p.agree("follows", func(c *client.Client) bool { return c.State().ListRevision == 10 })
	other.open(9, 0, 1)
	other.lay(reconcile.AddEntry, reconcile.StateReady, 100, 0, 1)
	for i, r := range p.relays {
		r.To(other.addrs[i])
		r.Cut()
	}
	p.agree("behind", func(c *client.Client) bool {
		s := c.State()
		return s.Controller == "g1" && s.Err != nil && len(c.Endpoints("look")) == 1
	})
	other.open(10, 0, 1)
	other.lay(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 1)
	p.agree("caught up", func(c *client.Client) bool { return c.State().Controller == "g2" && len(c.Endpoints("look")) == 2 })
}

// TestMalformed: what makes no sense ends the connection that it came on and no other; a fault names the byte in the text protocol.
func TestMalformed(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g := start(t, "g1", 100, 0)
	defer g.stop()
	g.open(1, 0)
	g.lay(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	p := newPair(t, g)
	defer p.close()
	p.agree("follows", func(c *client.Client) bool { return weights(c) != "" })
	for i, frames := range [][]string{{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x08\x06\x00\x00\x00\x00\x00\xff", "GET / HTTP/1.1\r\n\r\n"},
		{"get table a\x01\n", "report a x 1 <<e\nmet server=s0 tries=-1\ne\n", "watch table a zz\n", "watch table a -\nget summary\n", "hello one me\n", "report a 1 1 <<e\nmet server=s0 tries=1 failed=2\ne\n"}} {
		for _, frame := range frames {
			conn, err := net.Dial("tcp", g.addrs[i])
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(waitMost))
			_, _ = conn.Write([]byte(frame))
			if i == 1 {
				answer := make([]byte, 4096)
				n, err := conn.Read(answer)
				if _, fault := text.ParseHello(answer[:n]); err != nil {
					t.Errorf("%q: %v", frame, err)
				} else if is, _ := code(fault); is != service.BadRequest && is != service.Malformed {
					t.Errorf("%q: %s", frame, answer[:n])
				}
			}
			_ = conn.Close()
		}
	}
	for i, via := range transports {
		ctx, cancel := context.WithTimeout(context.Background(), waitMost)
		conn, err := via.via.Dial(ctx, g.addrs[i], "x")
		if err != nil {
			t.Fatal(err)
		}
		_, err = conn.Greet(ctx, service.Hello{Major: 2, Name: "x"})
		if is, _ := code(err); is != service.OtherMajor {
			t.Errorf("%s: another major version: %v", via.name, err)
		}
		_, err = conn.Report(ctx, &service.Report{Zone: "a", Session: 1, Sequence: 1, Outcomes: make([]service.ServerOutcome, 5000)})
		if is, _ := code(err); is != service.TooLarge && is != service.BadRequest && is != service.Unreachable {
			t.Errorf("%s: a huge batch: %v", via.name, err)
		}
		_ = conn.Close()
		cancel()
	}
	g.lay(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 0)
	p.agree("others go on", func(c *client.Client) bool { return c.State().Connected && weights(c) == "s0=50 " })
}

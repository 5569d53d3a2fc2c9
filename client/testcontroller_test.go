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
	servicerpc "cressknot/internal/service/rpc"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
	"cressknot/internal/testing/fakes"
	"cressknot/internal/transport"
)

// eventuallyTimeout bounds the wait for an expected state, with room for a loaded machine.
const eventuallyTimeout = 30 * time.Second

var protocols = []struct {
	name      string
	transport client.Transport
}{{"rpc", rpc.Transport{}}, {"runtime", runtime.Transport{}}}

// serverNames names n servers s0, s1, … with distinct addresses.
type serverNames struct{ n int }

func (n serverNames) Server(name string) (fleet.ServerID, bool) {
	var id int
	_, err := fmt.Sscanf(name, "s%d", &id)
	return fleet.ServerID(id), err == nil && id < n.n
}
func (n serverNames) GetOrAssign(name, _ string) fleet.ServerID { id, _ := n.Server(name); return id }
func (n serverNames) Lookup(id fleet.ServerID) (string, string) {
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
	limit int,
) (rows []service.VersionRow, err error) {
	if class != "look" {
		return nil, &service.Error{Code: service.NoClass, Text: fmt.Sprintf("class %q is not configured", class)}
	}
	for i := range limit {
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

// testController is a service hub served over both protocols, without a controller's main loop: tests publish changes
// directly.
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
	controller := &testController{t: t}
	began := time.Now()
	controller.hub = service.NewHub(service.HubOptions{
		Controller: name,
		Epoch:      epoch,
		Zones:      []service.Zone{{Name: "a"}},
		Classes:    classes,
		Names:      serverNames{1000},
		Minor:      minor,
		Now:        func() fleet.Time { return fleet.Time(began.UnixNano()) + fleet.Time(time.Since(began)) },
	})
	if err := controller.hub.Start(context.Background(), func(e transport.Event) {
		controller.mu.Lock()
		controller.events = append(controller.events, e)
		controller.mu.Unlock()
	}); err != nil {
		t.Fatal(err)
	}
	core := service.New(controller.hub, fixedQueries{})
	rpcServer, err := servicerpc.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	textServer, err := text.Listen("127.0.0.1:0", core)
	if err != nil {
		t.Fatal(err)
	}
	controller.servers = [2]interface{ Close(context.Context) error }{rpcServer, textServer}
	controller.addrs = [2]string{rpcServer.Addr(), textServer.Addr()}
	return controller
}

func (tc *testController) stop() {
	if tc.stopped {
		return
	}
	tc.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = tc.hub.Stop(ctx)
	for _, server := range tc.servers {
		_ = server.Close(ctx)
	}
}

// publish sends one message that changes the given servers in all classes.
func (tc *testController) publish(kind reconcile.ChangeKind, state reconcile.State, weight int16, servers ...int) {
	tc.sequence++
	message := reconcile.Message{Sequence: tc.sequence}
	for class := range classes {
		for _, server := range servers {
			message.Changes = append(
				message.Changes,
				reconcile.Change{
					Kind:   kind,
					Class:  fleet.ClassID(class),
					Server: fleet.ServerID(server),
					Weight: weight,
					State:  state,
				},
			)
		}
	}
	tc.hub.Send(message)
}

func (tc *testController) setOpen(revision uint64, servers ...int) {
	state := service.PublishedState{ListRevision: revision, Live: true, OpenServers: []string{}}
	for _, server := range servers {
		state.OpenServers = append(state.OpenServers, fmt.Sprint("s", server))
	}
	tc.hub.PublishState(state)
}

// answered returns the number of messages that the hub has answered.
func (tc *testController) answered() (n int) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, e := range tc.events {
		if _, ok := e.(transport.Answered); ok {
			n++
		}
	}
	return n
}

// clientPair is a client for each protocol, each connected through its own relay to the first controller.
type clientPair struct {
	t       *testing.T
	relays  [2]*fakes.Relay
	clients [2]*client.Client
}

func newClientPair(t *testing.T, controllers ...*testController) *clientPair {
	t.Helper()
	p := &clientPair{t: t}
	for i, protocol := range protocols {
		relay, err := fakes.NewRelay(controllers[0].addrs[i])
		if err != nil {
			t.Fatal(err)
		}
		addrs := []string{relay.Addr}
		for _, controller := range controllers[1:] {
			addrs = append(addrs, controller.addrs[i])
		}
		config := client.Config{Name: "suite-" + protocol.name, Zone: "a", Controllers: addrs, Seed: 2}
		c, err := client.New(config, protocol.transport)
		if err != nil {
			t.Fatal(err)
		}
		p.relays[i], p.clients[i] = relay, c
	}
	return p
}

func (p *clientPair) close() {
	for i := range p.clients {
		_ = p.clients[i].Close()
		p.relays[i].Close()
	}
}

// eventuallyAgree waits until both clients meet the condition and have the same state.
func (p *clientPair) eventuallyAgree(step string, condition func(*client.Client) bool) {
	p.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(5 * time.Millisecond) {
		a, b := p.clients[0].State(), p.clients[1].State()
		if condition(p.clients[0]) && condition(p.clients[1]) && a.Controller == b.Controller && a.Version == b.Version &&
			a.Connected == b.Connected &&
			a.NewerProtocol == b.NewerProtocol &&
			reflect.DeepEqual(p.clients[0].Endpoints("look"), p.clients[1].Endpoints("look")) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf(
				"%s: condition not met by both clients, or their states differ, after %s:\n%+v %v\n%+v %v",
				step,
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
	formatted := ""
	for _, endpoint := range c.Endpoints("issue") {
		formatted += fmt.Sprintf("%s=%d ", endpoint.Server, endpoint.Weight)
	}
	return formatted
}

// errorCode returns the code of a service error, else the error's text, and whether it has a RetryAfter.
func errorCode(err error) (service.Code, bool) {
	var serviceError *service.Error
	if errors.As(err, &serviceError) {
		return serviceError.Code, serviceError.RetryAfter > 0
	}
	return service.Code(fmt.Sprint(err)), false
}

package client_test

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cressknot/client"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	"cressknot/internal/service/text"
	"cressknot/internal/transport"
)

// TestClientsOfBothProtocolsAgree runs a client of each protocol through the same faults and checks that their states
// and answers are equal after each step.
func TestClientsOfBothProtocolsAgree(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventuallyTimeout)
	defer cancel()
	a := &protocolComparison{t: t, ctx: ctx, controller: startController(t, "g1", 100, 0)}
	defer func() { a.controller.stop() }()
	a.pair = newClientPair(t, a.controller)
	defer a.pair.close()
	a.publishAndQuery()
	a.breakConnections()
	a.holdConnections()
	a.restartController()
	a.reportOutcomes()
}

// protocolComparison is the state of TestClientsOfBothProtocolsAgree; its methods are the steps in order.
type protocolComparison struct {
	t          *testing.T
	ctx        context.Context
	controller *testController
	pair       *clientPair
}

func connected(c *client.Client) bool { return c.State().Connected }

// connectedWithWeights matches a connected client with the given weights.
func connectedWithWeights(want string) func(*client.Client) bool {
	return func(c *client.Client) bool { return connected(c) && weights(c) == want }
}

// expectSameAnswer queries both clients and expects equal answers, or errors with the given code.
func (a *protocolComparison) expectSameAnswer(step string, want service.Code, ask func(*client.Client) (any, error)) {
	a.t.Helper()
	wantRetryLater := want == service.Unready || want == service.Overloaded
	var answers [2]any
	for i, c := range a.pair.clients {
		answer, err := ask(c)
		got, retryLater := errorCode(err)
		wrongCode := err != nil && got != want || err == nil && want != ""
		if wrongCode || retryLater != wantRetryLater {
			a.t.Errorf("%s, protocol %s: error %v, want code %q", step, protocols[i].name, err, want)
		}
		answers[i] = answer
	}
	if !reflect.DeepEqual(answers[0], answers[1]) {
		a.t.Errorf("%s: answers differ: %+v over %s, %+v over %s",
			step, answers[0], protocols[0].name, answers[1], protocols[1].name)
	}
}

// publishAndQuery publishes tables and sends each kind of query.
func (a *protocolComparison) publishAndQuery() {
	ctx := a.ctx
	table := func(c *client.Client) (any, error) { return c.Table(ctx) }
	a.pair.eventuallyAgree("connected", connected)
	a.expectSameAnswer("table before the first publication", service.Unready, table)
	a.controller.setOpen(5, 0, 1, 2, 3)
	a.controller.publish(reconcile.AddEntry, reconcile.StateReady, 128, 0, 1, 2)
	a.pair.eventuallyAgree("first publication", connectedWithWeights("s0=128 s1=128 s2=128 "))
	a.controller.publish(reconcile.UpdateEntry, reconcile.StateDrain, -1, 1)
	a.controller.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 64, 2)
	a.pair.eventuallyAgree("one server draining, one with a lower weight", connectedWithWeights("s0=128 s2=64 "))
	a.expectSameAnswer("complete state", "", table)
	a.expectSameAnswer("known server", "", func(c *client.Client) (any, error) { return c.Server(ctx, "s1") })
	a.expectSameAnswer("unknown server", service.NoServer, func(c *client.Client) (any, error) {
		return c.Server(ctx, "nobody; quit")
	})
	a.expectSameAnswer("overlong server name", service.TooLarge, func(c *client.Client) (any, error) {
		return c.Server(ctx, fmt.Sprintf("%0300d", 1))
	})
	a.expectSameAnswer("history", "", func(c *client.Client) (any, error) { return c.History(ctx, "look", 3) })
	a.expectSameAnswer("history of an unknown class", service.NoClass, func(c *client.Client) (any, error) {
		return c.History(ctx, "none", 3)
	})
	a.expectSameAnswer("history over the limit", service.BadRequest, func(c *client.Client) (any, error) {
		return c.History(ctx, "look", 5000)
	})
	a.expectSameAnswer("summary", "", func(c *client.Client) (any, error) { return c.Summary(ctx) })
	a.expectSameAnswer("queries over the rate limit", service.Overloaded, func(c *client.Client) (any, error) {
		var err error
		for i := 0; err == nil && i < 100; i++ {
			_, err = c.Summary(ctx)
		}
		return nil, err
	})
}

// breakConnections checks that both clients use their cached tables while disconnected, and catch up with three missed
// changes after reconnecting.
func (a *protocolComparison) breakConnections() {
	for _, relay := range a.pair.relays {
		relay.Refuse(true)
		relay.Cut()
	}
	a.pair.eventuallyAgree("disconnected", func(c *client.Client) bool {
		return !connected(c) && weights(c) == "s0=128 s2=64 "
	})
	for _, c := range a.pair.clients {
		if server, err := c.Pick(0); err != nil || server.Name != "s0" && server.Name != "s2" {
			a.t.Errorf("Pick while disconnected: server %v, error %v; want s0 or s2", server, err)
		}
	}
	a.expectSameAnswer("query while disconnected", service.Unreachable, func(c *client.Client) (any, error) {
		_, err := c.Summary(a.ctx)
		return nil, err
	})
	a.controller.publish(reconcile.UpdateEntry, reconcile.StateReady, -1, 1)
	a.controller.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 32, 2)
	a.controller.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 16, 0)
	for _, relay := range a.pair.relays {
		relay.Refuse(false)
	}
	a.pair.eventuallyAgree("reconnected", connectedWithWeights("s0=16 s1=128 s2=32 "))
}

// holdConnections simulates half-open connections, on which nothing arrives and no error occurs, and checks that both
// clients detect them and reconnect.
func (a *protocolComparison) holdConnections() {
	for _, relay := range a.pair.relays {
		relay.Hold(true)
	}
	a.pair.eventuallyAgree("silent connection detected", func(c *client.Client) bool { return !connected(c) })
	for _, relay := range a.pair.relays {
		relay.Hold(false)
		relay.Cut()
	}
	a.pair.eventuallyAgree("reconnected after silence", connected)
}

// restartController replaces the controller by one with a newer minor version that has not published a table yet. It
// checks that the cached table is restricted to the open servers that the new controller names.
func (a *protocolComparison) restartController() {
	a.controller.stop()
	a.controller = startController(a.t, "g1", 200, 7)
	for i, relay := range a.pair.relays {
		relay.SetTarget(a.controller.addrs[i])
		relay.Cut()
	}
	a.controller.setOpen(6, 0, 2)
	a.pair.eventuallyAgree("cached table restricted to open servers", func(c *client.Client) bool {
		return connectedWithWeights("s0=16 s2=32 ")(c) && c.State().NewerProtocol
	})
	a.controller.setOpen(7, 5)
	a.pair.eventuallyAgree(
		"complete cached table while none of its servers is open",
		connectedWithWeights("s0=16 s1=128 s2=32 "),
	)
	a.controller.publish(reconcile.AddEntry, reconcile.StateReady, 100, 5, 6)
	a.pair.eventuallyAgree("publication after the restart", connectedWithWeights("s5=100 s6=100 "))
	if answered := a.controller.answered(); answered != 1 {
		a.t.Errorf("%d messages answered, want 1", answered)
	}
}

// reportOutcomes checks that outcomes are counted exactly once although connections break in between.
func (a *protocolComparison) reportOutcomes() {
	const requests = 300
	outcomes := []client.Outcome{client.Success, client.Success, client.Failed}
	for i, c := range a.pair.clients {
		for n := range requests {
			if n == requests/2 {
				a.pair.relays[i].Cut()
			}
			err := c.Do(a.ctx, 2, func(context.Context, client.Attempt) client.Result {
				return client.Result{Outcome: outcomes[n%3], Load: []uint32{500}}
			})
			if (err == nil) != (n%3 < 2) {
				a.t.Fatalf("request %d: error %v, want success: %t", n, err, n%3 < 2)
			}
		}
	}
	a.pair.eventuallyAgree("counted", func(*client.Client) bool { return a.countedOnce(2*requests, 2*requests/3) })
}

// countedOnce reports whether the controller has counted all requests and failures. It fails the test if the controller
// has counted more.
func (a *protocolComparison) countedOnce(requests, failed uint64) bool {
	a.controller.hub.Poll(0)
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	events := a.controller.events
	reading := events[len(events)-1].(transport.CountersPolled).Reading
	attempts := uint64(0)
	failures := uint64(0)
	for _, row := range reading.Rows {
		attempts += row.Attempts
		failures += row.Failures
	}
	class := reading.Classes[2]
	if attempts > requests || failures > failed || class.Requests > requests {
		a.t.Fatalf("more counted than sent: %d attempts, %d failures, %d requests", attempts, failures, class.Requests)
	}
	return attempts == requests && failures == failed && class.Requests == requests && class.Unanswered == failed
}

// TestClientNeverGoesBackToOlderList checks for both protocols that a client rejects the tables of a controller whose
// endpoint list is older than the one in use, until that controller has caught up.
func TestClientNeverGoesBackToOlderList(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	first, second := startController(t, "g1", 100, 0), startController(t, "g2", 300, 0)
	defer first.stop()
	defer second.stop()
	first.setOpen(10, 0, 1)
	first.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	pair := newClientPair(t, first)
	defer pair.close()
	pair.eventuallyAgree("watching g1", func(c *client.Client) bool { return c.State().ListRevision == 10 })
	second.setOpen(9, 0, 1)
	second.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0, 1)
	for i, relay := range pair.relays {
		relay.SetTarget(second.addrs[i])
		relay.Cut()
	}
	pair.eventuallyAgree("g2 rejected as outdated", func(c *client.Client) bool {
		state := c.State()
		return state.Controller == "g1" && state.Err != nil && len(c.Endpoints("look")) == 1
	})
	second.setOpen(10, 0, 1)
	second.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 1)
	pair.eventuallyAgree(
		"g2 accepted after catching up",
		func(c *client.Client) bool { return c.State().Controller == "g2" && len(c.Endpoints("look")) == 2 },
	)
}

// TestMalformedInputEndsOnlyItsConnection checks that malformed input ends only the connection that it was received on,
// and that the text protocol answers it with an error.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	controller := startController(t, "g1", 100, 0)
	defer controller.stop()
	controller.setOpen(1, 0)
	controller.publish(reconcile.AddEntry, reconcile.StateReady, 100, 0)
	pair := newClientPair(t, controller)
	defer pair.close()
	pair.eventuallyAgree("watching g1", func(c *client.Client) bool { return weights(c) != "" })
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
			conn, err := net.Dial("tcp", controller.addrs[i])
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(eventuallyTimeout))
			_, _ = conn.Write([]byte(frame))
			if i == 1 {
				answer := make([]byte, 4096)
				n, err := conn.Read(answer)
				if _, fault := text.ParseHello(answer[:n]); err != nil {
					t.Errorf("input %q: reading the answer: %v", frame, err)
				} else if code, _ := errorCode(fault); code != service.BadRequest && code != service.Malformed {
					t.Errorf("input %q: answer %q, want code %q or %q",
						frame, answer[:n], service.BadRequest, service.Malformed)
				}
			}
			_ = conn.Close()
		}
	}
	for i, protocol := range protocols {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		conn, err := protocol.transport.Dial(ctx, controller.addrs[i], "x")
		if err != nil {
			t.Fatal(err)
		}
		_, err = conn.Greet(ctx, service.Hello{Major: 2, Name: "x"})
		if code, _ := errorCode(err); code != service.OtherMajor {
			t.Errorf("%s: Greet with another major version: error %v, want code %q", protocol.name, err, service.OtherMajor)
		}
		tooLarge := make([]service.ServerOutcome, 5000)
		_, err = conn.Report(ctx, &service.Report{Zone: "a", Session: 1, Sequence: 1, Outcomes: tooLarge})
		if code, _ := errorCode(err); code != service.TooLarge && code != service.BadRequest && code != service.Unreachable {
			t.Errorf("%s: Report with %d outcomes: error %v, want code %q, %q or %q", protocol.name, len(tooLarge), err,
				service.TooLarge, service.BadRequest, service.Unreachable)
		}
		_ = conn.Close()
		cancel()
	}
	controller.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, 50, 0)
	pair.eventuallyAgree(
		"other connections continue",
		func(c *client.Client) bool { return c.State().Connected && weights(c) == "s0=50 " },
	)
}

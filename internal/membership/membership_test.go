package membership

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
)

const waitTimeout = 30 * time.Second

// testMember is the membership of a controller and the messages and errors that it received.
type testMember struct {
	*Membership
	address string

	mu       sync.Mutex
	messages []gossip.Message
	errors   []error
}

func startMember(t testing.TB, name string, key []byte, join ...string) *testMember {
	t.Helper()
	return startMemberOfVersion(t, 0, name, key, join...)
}

func startMemberOfVersion(t testing.TB, major int, name string, key []byte, join ...string) *testMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := &testMember{address: listener.Addr().String()}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	member.Membership, err = Start(Options{
		Name:         name,
		Listen:       member.address,
		Join:         join,
		Key:          key,
		majorVersion: major,
		OnChange:     func(string, bool) {},
		OnMessage: func(message gossip.Message) {
			member.mu.Lock()
			defer member.mu.Unlock()
			member.messages = append(member.messages, message)
		},
		OnError: func(err error) {
			member.mu.Lock()
			defer member.mu.Unlock()
			member.errors = append(member.errors, err)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return member
}

// closeMember closes a member after a test. Its leave may time out, as other members may be closed already.
func closeMember(member *testMember) { _ = member.Close() }

func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// received reports whether a message of a controller with the given number of servers has arrived.
func (m *testMember) received(controller string, servers int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.messages, func(message gossip.Message) bool {
		return message.Controller == controller && len(message.Servers) == servers
	})
}

func (m *testMember) receivedErrors() []error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.errors)
}

// TestControllersFindEachOther checks that three controllers, of which each is configured with at most one address,
// find each other, receive small and large messages, and notice when one leaves. A controller with another key must
// not become a member nor receive messages.
func TestControllersFindEachOther(t *testing.T) {
	key := []byte("sixteen bytes of")
	a := startMember(t, "a", key)
	b := startMember(t, "b", key, a.address)
	c := startMember(t, "c", key, b.address)
	other := startMember(t, "other", []byte("another sixteen."), a.address)
	defer closeMember(a)
	defer closeMember(c)
	defer closeMember(other)
	waitUntil(t, "the controllers do not find each other", func() bool {
		return len(a.Names()) == 3 && len(b.Names()) == 3 && len(c.Names()) == 3
	})
	large := gossip.Message{Controller: "c", Epoch: 1, Sequence: 2}
	for i := range 1500 {
		name := fmt.Sprint("server-", i)
		large.Servers = append(large.Servers, gossip.ServerStatus{Name: name, State: fleet.ServerDraining})
	}
	waitUntil(t, "small messages do not arrive", func() bool {
		c.Send(gossip.Message{Controller: "c", Epoch: 1, Sequence: 1, Servers: large.Servers[:2]})
		return a.received("c", 2) && b.received("c", 2)
	})
	c.Send(large)
	waitUntil(t, "large messages do not arrive", func() bool {
		return a.received("c", 1500) && b.received("c", 1500)
	})
	if errs := c.receivedErrors(); len(errs) != 0 {
		t.Errorf("errors without an invalid message: %v", errs)
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	waitUntil(t, "the controller that left is still listed", func() bool {
		return len(a.Names()) == 2 && len(c.Names()) == 2
	})
	if len(other.Names()) != 1 || other.received("c", 2) {
		t.Errorf("a controller with another key sees %v or received a message", other.Names())
	}
}

// TestInvalidMessagesAreReported checks that each invalid message is reported, with the name of the invalid field.
func TestInvalidMessagesAreReported(t *testing.T) {
	member := startMember(t, "a", nil)
	defer closeMember(member)
	member.receive([]byte(`{"g": 5}`))
	member.receive([]byte(`{"g": "x", "v": [{"n": ""}]}`))
	errs := member.receivedErrors()
	if len(errs) != 2 || !strings.Contains(errs[1].Error(), "observations[0]") {
		t.Errorf("errors %v, want two, the second naming observations[0]", errs)
	}
}

// TestOtherMajorVersionGetsNoMessages checks that a controller of another major version becomes a member and is
// reported, but is sent no messages.
func TestOtherMajorVersionGetsNoMessages(t *testing.T) {
	a := startMember(t, "a", nil)
	b := startMemberOfVersion(t, 2, "b", nil, a.address)
	defer closeMember(a)
	defer closeMember(b)
	waitUntil(t, "the controllers do not find each other", func() bool {
		return len(a.Names()) == 2 && len(b.Names()) == 2
	})
	waitUntil(t, "the incompatible version is not reported", func() bool {
		errs := a.receivedErrors()
		return len(errs) == 1 && strings.Contains(errs[0].Error(), `controller "b" has an incompatible protocol version`)
	})
	a.Send(gossip.Message{Controller: "a", Epoch: 1, Sequence: 1})
	if a.SentBytes() != 0 {
		t.Error("messages were sent to a controller of another major version")
	}
}

// benchmarkMessage returns a message with ten servers and ten observations.
func benchmarkMessage(controller string) gossip.Message {
	message := gossip.Message{Controller: controller, Epoch: 1 << 60, Sequence: 1}
	for i := range 10 {
		name := fmt.Sprint("server-", i)
		message.Servers = append(message.Servers, gossip.ServerStatus{Name: name, State: fleet.ServerDraining})
		observation := gossip.Observation{Name: name, Attempts: 90, Failures: 60}
		message.Observations = append(message.Observations, observation)
	}
	return message
}

// BenchmarkMembers has controllers join the first one all at once, then sends one message of each. It reports the time
// until each knows all others, and the size of messages per second of all controllers together.
func BenchmarkMembers(b *testing.B) {
	for _, count := range []int{2, 4, 8, 16, 30} {
		b.Run(fmt.Sprint("governors=", count), func(b *testing.B) {
			for b.Loop() {
				startedAt := time.Now()
				members := []*testMember{startMember(b, "g0", nil)}
				for i := 1; i < count; i++ {
					members = append(members, startMember(b, fmt.Sprint("g", i), nil, members[0].address))
				}
				for _, member := range members {
					for len(member.Names()) < count {
						time.Sleep(5 * time.Millisecond)
					}
				}
				duration := time.Since(startedAt)
				sentBytes := uint64(0)
				for i, member := range members {
					member.Send(benchmarkMessage(fmt.Sprint("g", i)))
					sentBytes += member.SentBytes()
				}
				b.ReportMetric(duration.Seconds(), "s_until_all_know_all")
				b.ReportMetric(float64(sentBytes)/1000, "kB/s")
				for _, member := range members { // skips the announcement of Close
					member.cancel()
					member.joinLoop.Wait()
					if err := member.list.Shutdown(); err != nil {
						b.Error(err)
					}
				}
			}
		})
	}
}

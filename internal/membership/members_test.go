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

const waitMost = 30 * time.Second

// node is a governor's membership and what it heard.
type node struct {
	*Membership
	mu    sync.Mutex
	news  []gossip.Message
	wrong []error
	addr  string
}

func start(t *testing.T, name string, key []byte, join ...string) *node {
	t.Helper()
	return startAs(t, 0, name, key, join...)
}

func startAs(t *testing.T, major int, name string, key []byte, join ...string) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{addr: l.Addr().String()}
	l.Close()
	n.Membership, err = Start(Options{Name: name, Listen: n.addr, Join: join, Key: key, major: major, OnChange: func(string, bool) {},
		OnMessage: func(got gossip.Message) {
			n.mu.Lock()
			n.news = append(n.news, got)
			n.mu.Unlock()
		},
		OnError: func(err error) {
			n.mu.Lock()
			n.wrong = append(n.wrong, err)
			n.mu.Unlock()
		}})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func until(t *testing.T, what string, good func() bool) {
	t.Helper()
	for end := time.Now().Add(waitMost); !good(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func (n *node) heard(governor string, servers int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.news, func(g gossip.Message) bool { return g.Controller == governor && len(g.Servers) == servers })
}

// TestGovernorsFindEachOther: three that know one address each find all, hear small and large news, and are told of one that leaves; one
// with another key is not heard, nor does it hear.
func TestGovernorsFindEachOther(t *testing.T) {
	key := []byte("sixteen bytes of")
	a := start(t, "a", key)
	b := start(t, "b", key, a.addr)
	c := start(t, "c", key, b.addr)
	other := start(t, "other", []byte("another sixteen."), a.addr)
	defer a.Close()
	defer c.Close()
	defer other.Close()
	until(t, "they don't find each other", func() bool { return len(a.Names()) == 3 && len(b.Names()) == 3 && len(c.Names()) == 3 })
	large := gossip.Message{Controller: "c", Epoch: 1, Sequence: 2}
	for i := range 1500 {
		large.Servers = append(large.Servers, gossip.ServerStatus{Name: fmt.Sprint("server-", i), State: fleet.ServerDraining})
	}
	until(t, "news don't come", func() bool {
		c.Send(gossip.Message{Controller: "c", Epoch: 1, Sequence: 1, Servers: large.Servers[:2]})
		return a.heard("c", 2) && b.heard("c", 2)
	})
	c.Send(large)
	until(t, "large news don't come", func() bool { return a.heard("c", 1500) && b.heard("c", 1500) })
	c.take([]byte("{\"g\": 5}"))
	c.take([]byte("{\"g\": \"x\", \"v\": [{\"n\": \"\"}]}"))
	if len(c.wrong) != 2 || !strings.Contains(c.wrong[1].Error(), "views[0]") {
		t.Errorf("%v", c.wrong)
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	until(t, "one that left is still here", func() bool { return len(a.Names()) == 2 && len(c.Names()) == 2 })
	if len(other.Names()) != 1 || other.heard("c", 2) {
		t.Errorf("with another key: %v", other.Names())
	}
}

// TestAnotherMajorVersion: a governor of another version is here, is told nothing, and that is said.
func TestAnotherMajorVersion(t *testing.T) {
	a := start(t, "a", nil)
	b := startAs(t, 2, "b", nil, a.addr)
	defer a.Close()
	defer b.Close()
	until(t, "they don't find each other", func() bool { return len(a.Names()) == 2 && len(b.Names()) == 2 })
	until(t, "nothing is said", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.wrong) == 1 && strings.Contains(a.wrong[0].Error(), `"b" speaks another version`)
	})
	a.Send(gossip.Message{Controller: "a", Epoch: 1, Sequence: 1})
	if a.Sent() != 0 {
		t.Error("it is told news that it can't read")
	}
}

// BenchmarkMembers lets so many governors join one at once, then tells once from each: how long it takes until all know all, and how many
// bytes of news a second that is for all of them together, with ten servers and ten views in the news of each.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 30} {
		b.Run(fmt.Sprint("governors=", n), func(b *testing.B) {
			for b.Loop() {
				t := &testing.T{}
				began := time.Now()
				all := []*node{start(t, "g0", nil)}
				for i := 1; i < n; i++ {
					all = append(all, start(t, fmt.Sprint("g", i), nil, all[0].addr))
				}
				for _, m := range all {
					for len(m.Names()) < n {
						time.Sleep(5 * time.Millisecond)
					}
				}
				took, sent := time.Since(began), uint64(0)
				for i, m := range all {
					news := gossip.Message{Controller: fmt.Sprint("g", i), Epoch: 1 << 60, Sequence: 1}
					for k := range 10 {
						news.Servers = append(news.Servers, gossip.ServerStatus{Name: fmt.Sprint("server-", k), State: fleet.ServerDraining})
						news.Observations = append(news.Observations, gossip.Observation{Name: fmt.Sprint("server-", k), Attempts: 90, Failures: 60})
					}
					m.Send(news)
					sent += m.Sent()
				}
				b.ReportMetric(took.Seconds(), "s_until_all_know_all")
				b.ReportMetric(float64(sent)/1000, "kB/s")
				for _, m := range all {
					m.cancel()
					m.done.Wait()
					_ = m.list.Shutdown()
				}
			}
		})
	}
}

package platform

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/transport/relay"
)

func streamOpened(stream uint64, continuous bool) Message {
	return RelayEvent{relay.StreamEvent{Stream: stream, Kind: relay.StreamOpened, Continuous: continuous}}
}

func snapshotComplete(stream uint64) Message {
	return RelayEvent{relay.StreamEvent{Stream: stream, Kind: relay.SnapshotComplete}}
}

func proxyEvent(stream uint64, event fleet.Event) Message {
	return RelayEvent{relay.StreamEvent{Stream: stream, Kind: relay.ProxyEvent, Event: event}}
}

func proxiesJoined(stream uint64, proxies ...fleet.ProxyID) []Message {
	var list []Message
	for _, proxy := range proxies {
		list = append(list, proxyEvent(stream, fleet.ProxyJoined{Proxy: proxy, RequestRate: 3}))
	}
	return list
}

// snapshot returns the messages of a new stream with a complete snapshot of the given proxies.
func snapshot(stream uint64, continuous bool, proxies ...fleet.ProxyID) []Message {
	list := []Message{streamOpened(stream, continuous)}
	list = append(list, proxiesJoined(stream, proxies...)...)
	return append(list, snapshotComplete(stream))
}

// assignedProxies returns the proxies to which the operations assign a table.
func assignedProxies(operations []relay.Operation) []fleet.ProxyID {
	var proxies []fleet.ProxyID
	for _, operation := range operations {
		if order, isAssignment := operation.Order.(fleet.AssignTable); isAssignment {
			proxies = append(proxies, order.Proxy)
		}
	}
	return proxies
}

// After a broken stream, a proxy that is still joined may have left and rejoined unseen and must get its tables again;
// a proxy missing from the new snapshot has left. Events of the old stream must be ignored.
func TestSnapshotAfterBreakReassignsTables(t *testing.T) {
	h := newHarness("s-1", "s-2")
	h.run(fleet.Second, messageBatch(streamOpened(1, false)))
	first := append(proxiesJoined(1, 1, 2), snapshotComplete(1))
	if got := assignedProxies(h.run(15*fleet.Second, messageBatch(first...))); len(got) != 2 {
		t.Fatalf("tables assigned to proxies %v, want 2 proxies", got)
	}
	got := assignedProxies(h.run(15*fleet.Second, messageBatch(snapshot(2, false, 2, 3)...)))
	if fmt.Sprint(got) != "[2 3]" || h.controller.JoinedProxies() != 2 {
		t.Errorf("tables assigned to proxies %v, want [2 3]; %d joined, want 2", got, h.controller.JoinedProxies())
	}
	got = assignedProxies(h.run(5*fleet.Second, messageBatch(proxiesJoined(1, 5)...)))
	if len(got) != 0 || h.controller.JoinedProxies() != 2 {
		t.Errorf("event of an old stream was handled: tables assigned to proxies %v, %d joined",
			got, h.controller.JoinedProxies())
	}
	h.run(0, messageBatch(proxyEvent(2, fleet.ProxyLeft{Proxy: 3})))
	if len(h.last.ProxiesLeft) != 1 {
		t.Errorf("proxies left: %v, want 1", h.last.ProxiesLeft)
	}
}

// No event is missed between continuous streams, so a proxy in the new snapshot still has its tables and must not get
// them again, unless it reports itself as fresh.
func TestContinuousSnapshotReassignsFreshProxiesOnly(t *testing.T) {
	h := newHarness("s-1", "s-2")
	h.run(15*fleet.Second, messageBatch(snapshot(1, false, 1, 2, 3)...))
	fresh := proxyEvent(2, fleet.ProxyJoined{Proxy: 2, RequestRate: 3, Fresh: true})
	second := append([]Message{streamOpened(2, true)}, proxiesJoined(2, 1)...)
	second = append(second, fresh, snapshotComplete(2))
	got := assignedProxies(h.run(15*fleet.Second, messageBatch(second...)))
	if fmt.Sprint(got) != "[2]" || h.controller.JoinedProxies() != 2 {
		t.Errorf("tables assigned to proxies %v, want [2]; %d joined, want 2", got, h.controller.JoinedProxies())
	}
}

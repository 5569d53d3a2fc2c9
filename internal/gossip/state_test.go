package gossip

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const startTime = 1000 * fleet.Second

// newPeerStates returns two peers. The second one has a list of ready servers, which is returned, at revision 7.
func newPeerStates(servers int) (first, second *PeerState, list map[string]LocalServer) {
	first = NewPeerState("a", 5)
	second = NewPeerState("b", 6)
	list = map[string]LocalServer{}
	for i := range servers {
		list[fmt.Sprint("s", i)] = LocalServer{}
	}
	second.SetLocalList(startTime, 7, true, list)
	return first, second, list
}

// withChanges returns a copy of a list with some servers changed.
func withChanges(list, changed map[string]LocalServer) map[string]LocalServer {
	merged := maps.Clone(list)
	maps.Copy(merged, changed)
	return merged
}

// sendIfDue delivers the message of one peer to another if one is due.
func sendIfDue(t *testing.T, now, warmUp fleet.Time, from, to *PeerState) {
	t.Helper()
	message, due := from.NextMessage(now, warmUp)
	if !due {
		return
	}
	if err := to.Merge(now, message); err != nil {
		t.Fatal(err)
	}
}

// newerListTest holds two peers, of which the first one has a newer list.
type newerListTest struct {
	*testing.T
	first, second *PeerState
	list, newer   map[string]LocalServer
	now           fleet.Time
}

func newNewerListTest(t *testing.T) *newerListTest {
	t.Helper()
	first, second, list := newPeerStates(10)
	newer := withChanges(list, map[string]LocalServer{
		"s1": {State: fleet.ServerDraining},
		"s2": {Started: 999 * fleet.Second},
	})
	delete(newer, "s3")
	first.SetLocalList(startTime, 7, true, list)
	first.SetLocalList(startTime, 9, true, newer)
	return &newerListTest{t, first, second, list, newer, startTime}
}

func (n *newerListTest) send() {
	n.Helper()
	sendIfDue(n.T, n.now, 15*fleet.Second, n.first, n.second)
}

// sendUntilNewerListCounts sends messages until newerListDelay has passed.
func (n *newerListTest) sendUntilNewerListCounts() {
	n.Helper()
	n.send()
	n.changes()
	for range 3 {
		n.now += fleet.Second
		n.send()
	}
}

// changes returns the changes at the second peer, each as "name=state,start in seconds,FromPeer ".
func (n *newerListTest) changes() (text string) {
	changes, _ := n.second.Next(n.now)
	for _, change := range changes {
		started := change.Server.Started / fleet.Second
		text += fmt.Sprintf("%s=%d,%d,%v ", change.Name, change.Server.State, started, change.FromPeer)
	}
	return text
}

func (n *newerListTest) expect(when, want string) {
	n.Helper()
	if got := n.changes(); got != want {
		n.Errorf("%s: changes %q, want %q", when, got, want)
	}
}

const (
	overridesOfNewerList = "s1=1,0,true s2=0,999,true s3=2,0,true "
	overridesEnded       = "s1=0,0,false s2=0,0,false s3=0,0,false "
)

// TestNewerListOfPeerCountsAfterDelay checks that draining, gone and restarted servers of a peer's newer list are
// applied after newerListDelay, applied again after the local list was replaced, and reverted when the peer's
// messages expire.
func TestNewerListOfPeerCountsAfterDelay(t *testing.T) {
	n := newNewerListTest(t)
	n.send()
	n.expect("before the delay", "")
	repeated := Message{Controller: "a", Epoch: 5, Sequence: 1, ListRevision: 99}
	err := n.second.Merge(n.now, repeated)
	if err != nil || n.second.Outdated != 1 || n.second.peers["a"].message.ListRevision != 9 {
		t.Errorf("repeated message: error %v, %d outdated messages, want 1", err, n.second.Outdated)
	}
	for range 3 {
		n.now += fleet.Second
		n.send()
	}
	n.expect("newer list after the delay", overridesOfNewerList)
	n.expect("same list again", "")
	n.second.SetLocalList(n.now, 7, true, n.list) // the same list again, as after a reconnect
	n.expect("local list replaced", overridesOfNewerList)
	n.now += messageLifetime
	n.expect("peer messages expired", overridesEnded)
	n.send()
	n.now += 3 * fleet.Second
	n.send()
	n.expect("peer sends again", overridesOfNewerList)
	n.second.SetLocalList(n.now, 9, true, n.newer)
	n.expect("local list caught up", "")
}

// TestNewerListOfPeerEndsWithOurOwn checks that overrides end once the local list has caught up, and that an older
// list of a peer changes nothing.
func TestNewerListOfPeerEndsWithOurOwn(t *testing.T) {
	n := newNewerListTest(t)
	n.sendUntilNewerListCounts()
	n.expect("newer list after the delay", overridesOfNewerList)
	n.second.SetLocalList(n.now, 9, true, n.newer)
	n.expect("local list caught up", "")
	if n.second.OverrideCount() != 0 {
		t.Errorf("%d servers are overridden after the list caught up", n.second.OverrideCount())
	}
	n.second.SetLocalList(n.now, 12, true, n.list)
	gone := map[string]LocalServer{"s5": {State: fleet.ServerGone}}
	n.second.SetLocalList(n.now, 12, true, withChanges(n.list, gone))
	n.now += 3 * fleet.Second
	n.send()
	n.expect("older list of the peer", "")
}

// TestTooManyOverridesAreIgnored checks that a peer's list is ignored, with one notice, if it would stop requests to
// more than half of the servers.
func TestTooManyOverridesAreIgnored(t *testing.T) {
	first, second, list := newPeerStates(10)
	now := startTime
	changed := map[string]LocalServer{}
	for i := range 6 {
		changed[fmt.Sprint("s", i)] = LocalServer{State: fleet.ServerDraining}
	}
	first.SetLocalList(now, 9, true, withChanges(list, changed))
	noticeCount := 0
	for range 10 {
		sendIfDue(t, now, 0, first, second)
		changes, notices := second.Next(now)
		if len(changes) > 0 {
			t.Fatalf("changes despite too many overrides: %+v", changes)
		}
		noticeCount += len(notices)
		now += fleet.Second
	}
	if noticeCount != 1 {
		t.Errorf("%d notices, want 1", noticeCount)
	}
}

// TestUnhealthyServerIsComparedWithPeers checks that a server that is unhealthy here but healthy for a peer is
// reported as a fault on the network path, and one that is unhealthy for both as a fault of the server, once per
// minute each.
func TestUnhealthyServerIsComparedWithPeers(t *testing.T) {
	first, second, list := newPeerStates(4)
	now := startTime
	first.SetLocalList(now, 7, true, list)
	texts := ""
	for range 30 {
		first.ObserveOutcome(now, "s0", 10, 0)
		first.ObserveOutcome(now, "s1", 10, 9)
		second.ObserveOutcome(now, "s0", 10, 9)
		second.ObserveOutcome(now, "s1", 10, 9)
		sendIfDue(t, now, 0, first, second)
		sendIfDue(t, now, 0, second, first)
		_, notices := second.Next(now)
		for _, notice := range notices {
			texts += notice.Server + " " + notice.Text + ";"
		}
		now += fleet.Second
	}
	onPath := strings.Count(texts, "s0 is unhealthy here but healthy for a: fault on the network path")
	ofServer := strings.Count(texts, "s1 is unhealthy here and for a: the server itself is faulty")
	if onPath != 1 || ofServer != 1 || strings.Count(texts, ";") != 2 {
		t.Errorf("notices: %s", texts)
	}
}

// TestInvalidMessagesAreRefused checks that an invalid message is not stored and that the error names the invalid
// field.
func TestInvalidMessagesAreRefused(t *testing.T) {
	_, state, _ := newPeerStates(4)
	for want, message := range map[string]Message{
		"controller name of 0 bytes": {},
		"2001 servers and 0 observations, at most 2000": {
			Controller: "a", Servers: make([]ServerStatus, maxServersPerMessage+1),
		},
		"servers[1]":      {Controller: "a", Servers: []ServerStatus{{Name: "s0"}, {Name: "s1", State: 7}}},
		"observations[0]": {Controller: "a", Observations: []Observation{{"s0", 1, 2}}},
	} {
		if err := state.Merge(startTime, message); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
	if len(state.peers) != 0 || state.Invalid != 4 {
		t.Errorf("%d peers, want none; %d invalid messages, want 4", len(state.peers), state.Invalid)
	}
}

// TestNumberOfPeersIsBounded checks that messages from 1,000 different names create at most MaxControllers peers.
func TestNumberOfPeersIsBounded(t *testing.T) {
	_, state, _ := newPeerStates(4)
	failures := 0
	for i := range 1000 {
		err := state.Merge(startTime, Message{Controller: fmt.Sprint("g", i), Epoch: 1, Sequence: 1})
		if err != nil {
			failures++
		}
	}
	if len(state.peers) != MaxControllers || failures != 1000-MaxControllers {
		t.Errorf("%d peers and %d errors for 1000 senders", len(state.peers), failures)
	}
}

// messageSimulation delivers messages of two peers with random lists late, repeatedly or not at all.
type messageSimulation struct {
	t          *rapid.T
	now        fleet.Time
	state      *PeerState
	senders    [2]*PeerState
	allServers map[string]LocalServer // list of all servers, from which lists are drawn
	localList  map[string]LocalServer // list of the receiving controller
	effective  map[string]LocalServer // localList with all changes applied
	sent       []Message
}

func newMessageSimulation(t *rapid.T) *messageSimulation {
	_, state, list := newPeerStates(8)
	return &messageSimulation{
		t:          t,
		now:        startTime,
		state:      state,
		senders:    [2]*PeerState{NewPeerState("a", 1), NewPeerState("c", 2)},
		allServers: list,
		localList:  list,
		effective:  maps.Clone(list),
	}
}

func (m *messageSimulation) drawList() map[string]LocalServer {
	list := map[string]LocalServer{}
	for name := range m.allServers {
		if rapid.IntRange(0, 7).Draw(m.t, "gone") > 0 {
			state := fleet.ServerState(rapid.IntRange(0, 5).Draw(m.t, "state") / 5)
			started := fleet.Time(rapid.IntRange(0, 1).Draw(m.t, "started")) * 999 * fleet.Second
			list[name] = LocalServer{State: state, Started: started}
		}
	}
	return list
}

func (m *messageSimulation) drawRevision() uint64 {
	return uint64(rapid.IntRange(5, 12).Draw(m.t, "revision"))
}

func (m *messageSimulation) step() {
	m.now += fleet.Time(rapid.IntRange(1, 2500).Draw(m.t, "ms")) * fleet.Millisecond
	sender := m.senders[rapid.IntRange(0, 1).Draw(m.t, "peer")]
	switch rapid.IntRange(0, 4).Draw(m.t, "action") {
	case 0:
		sender.SetLocalList(m.now, m.drawRevision(), rapid.Bool().Draw(m.t, "live"), m.drawList())
	case 1:
		m.localList = m.drawList()
		m.state.SetLocalList(m.now, m.drawRevision(), true, m.localList)
		m.effective = maps.Clone(m.localList)
	case 2:
		if len(m.sent) > 0 {
			m.merge(m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(m.t, "late")])
		}
	default:
		if message, due := sender.NextMessage(m.now, 3600*fleet.Second); due {
			m.sent = append(m.sent, message)
			if rapid.Bool().Draw(m.t, "arrives") {
				m.merge(message)
			}
		}
	}
	m.applyChanges()
}

func (m *messageSimulation) merge(message Message) {
	if err := m.state.Merge(m.now, message); err != nil {
		m.t.Fatal(err)
	}
}

func (m *messageSimulation) applyChanges() {
	changes, _ := m.state.Next(m.now)
	for _, change := range changes {
		m.effective[change.Name] = change.Server
	}
}

// check fails if peers made a server ready, or stop requests to more than half of the ready servers.
func (m *messageSimulation) check() {
	unready, ready := 0, 0
	for name, server := range m.localList {
		if m.effective[name].State < server.State {
			m.t.Fatalf("peers made server %s ready", name)
		}
		if server.State == fleet.ServerReady {
			ready++
			if m.effective[name].State != fleet.ServerReady {
				unready++
			}
		}
	}
	if unready > alwaysAllowedOverrides && 2*unready > ready {
		m.t.Fatalf("peers stop requests to %d of %d ready servers", unready, ready)
	}
}

// TestPeersOnlyKeepRequestsAway checks for random lists, and messages that are late, repeated or lost, that peers stop
// requests to at most half of the ready servers and make none ready, and that no override is left after all messages
// have expired.
func TestPeersOnlyKeepRequestsAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMessageSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.check()
		}
		m.now += messageLifetime + noticeInterval
		m.applyChanges()
		for name, server := range m.localList {
			if m.effective[name] != server {
				t.Fatalf("%s is treated as %+v after all messages expired, the local list has %+v",
					name, m.effective[name], server)
			}
		}
	})
}

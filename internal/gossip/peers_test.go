package gossip

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const s = fleet.Second

// two boards of which b goes by an older list than a.
func two(n int) (a, b *PeerState, own map[string]LocalServer, now fleet.Time) {
	a, b, now = NewPeerState("a", 5), NewPeerState("b", 6), 1000*s
	own = map[string]LocalServer{}
	for i := range n {
		own[fmt.Sprint("s", i)] = LocalServer{}
	}
	b.SetLocalList(now, 7, true, own)
	return a, b, own, now
}

func with(own map[string]LocalServer, changed map[string]LocalServer) map[string]LocalServer {
	all := map[string]LocalServer{}
	for n, o := range own {
		all[n] = o
	}
	for n, o := range changed {
		all[n] = o
	}
	return all
}

// TestNewerListOfAPeer: drains, losses and starts that a peer's newer list has count here after a while, until our list has caught up
// or the peer is silent; what an older list says counts nothing; nobody is let in by a peer.
func TestNewerListOfAPeer(t *testing.T) {
	a, b, own, now := two(10)
	newer := with(own, map[string]LocalServer{"s1": {State: fleet.ServerDraining}, "s2": {Started: 999 * s}})
	a.SetLocalList(now, 7, true, own)
	delete(newer, "s3")
	a.SetLocalList(now, 9, true, newer)
	tell := func() {
		if n, due := a.NextMessage(now, 15*s); due {
			if err := b.Merge(now, n); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts := func() string {
		changes, _ := b.Next(now)
		out := ""
		for _, c := range changes {
			out += fmt.Sprintf("%s=%d,%d,%v ", c.Name, c.As.State, c.As.Started/s, c.Peer)
		}
		return out
	}
	tell()
	if got := counts(); got != "" {
		t.Errorf("at once: %s", got)
	}
	if err := b.Merge(now, Message{Controller: "a", Epoch: 5, Sequence: 1, ListRevision: 99}); err != nil || b.Old != 1 || b.peers["a"].news.ListRevision != 9 {
		t.Errorf("the same again: %v, %d old", err, b.Old)
	}
	for range 3 {
		now += s
		tell()
	}
	if got := counts(); got != "s1=1,0,true s2=0,999,true s3=2,0,true " {
		t.Errorf("from a newer list: %q", got)
	}
	if got := counts(); got != "" {
		t.Errorf("again: %q", got)
	}
	b.SetLocalList(now, 7, true, own) // the same list anew, as after a reconnect: what was told of it is undone
	if got := counts(); got != "s1=1,0,true s2=0,999,true s3=2,0,true " {
		t.Errorf("after our list: %q", got)
	}
	now += freshFor
	if got := counts(); got != "s1=0,0,false s2=0,0,false s3=0,0,false " {
		t.Errorf("when the peer is silent: %q", got)
	}
	tell()
	now += 3 * s
	tell()
	counts()
	b.SetLocalList(now, 9, true, newer)
	if got := counts(); got != "" || b.Given() != 0 {
		t.Errorf("caught up: %q", got)
	}
	b.SetLocalList(now, 12, true, own) // ours is newer: theirs counts nothing, nor do they let anybody in that ours keeps out
	b.SetLocalList(now, 12, true, with(own, map[string]LocalServer{"s5": {State: fleet.ServerGone}}))
	now += 3 * s
	tell()
	if got := counts(); got != "" {
		t.Errorf("from an older list: %q", got)
	}
}

// TestTooMany: a peer that would keep visits from more than half of the servers is not followed, and that is said once.
func TestTooMany(t *testing.T) {
	a, b, own, now := two(10)
	changed := map[string]LocalServer{}
	for i := range 6 {
		changed[fmt.Sprint("s", i)] = LocalServer{State: fleet.ServerDraining}
	}
	a.SetLocalList(now, 9, true, with(own, changed))
	said := 0
	for range 10 {
		if n, due := a.NextMessage(now, 0); due {
			_ = b.Merge(now, n)
		}
		changes, says := b.Next(now)
		if len(changes) > 0 {
			t.Fatalf("%+v", changes)
		}
		said += len(says)
		now += s
	}
	if said != 1 {
		t.Errorf("said %d times", said)
	}
}

// TestOneSided: a server that is bad here and well for a peer is told as trouble on the way; one that is bad for both as its own; once a
// minute.
func TestOneSided(t *testing.T) {
	a, b, own, now := two(4)
	a.SetLocalList(now, 7, true, own)
	words := ""
	for range 30 {
		a.ObserveOutcome(now, "s0", 10, 0)
		a.ObserveOutcome(now, "s1", 10, 9)
		for _, n := range []string{"s0", "s1"} {
			b.ObserveOutcome(now, n, 10, 9)
		}
		for _, pair := range [][2]*PeerState{{a, b}, {b, a}} {
			if n, due := pair[0].NextMessage(now, 0); due {
				_ = pair[1].Merge(now, n)
			}
		}
		_, says := b.Next(now)
		for _, w := range says {
			words += w.Server + " " + w.Text + ";"
		}
		now += s
	}
	if strings.Count(words, "s0 bad here, but not for a") != 1 || strings.Count(words, "s1 bad for a, too") != 1 || strings.Count(words, ";") != 2 {
		t.Error(words)
	}
}

// TestNewsThatMakeNoSense: nothing of it is taken, and the place is named.
func TestNewsThatMakeNoSense(t *testing.T) {
	_, b, _, now := two(4)
	for want, n := range map[string]Message{
		"nobody": {}, "are the most": {Controller: "a", Servers: make([]ServerStatus, serversMost+1)},
		"servers[1]": {Controller: "a", Servers: []ServerStatus{{Name: "s0"}, {Name: "s1", State: 7}}}, "views[0]": {Controller: "a", Observations: []Observation{{"s0", 1, 2}}},
	} {
		if err := b.Merge(now, n); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if len(b.peers) != 0 || b.Refused != 4 {
		t.Errorf("%d peers, %d refused", len(b.peers), b.Refused)
	}
	for i := range 1000 { // a flood of names
		_ = b.Merge(now, Message{Controller: fmt.Sprint("g", i), Epoch: 1, Sequence: 1})
	}
	if len(b.peers) != MaxControllers {
		t.Errorf("%d peers are heard", len(b.peers))
	}
}

// TestRandomNews: whatever news come late, twice or not at all, of whichever peers, with whatever lists: peers keep visits from no more than
// half of the servers, never let one in that ours keeps out, and when all is quiet nothing is left of them.
func TestRandomNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, b, own, now := two(8)
		boards := []*PeerState{NewPeerState("a", 1), NewPeerState("c", 2)}
		counts := with(own, nil) // as the governor has it
		var late []Message
		draw := func() map[string]LocalServer {
			list := map[string]LocalServer{}
			for n := range own {
				if rapid.IntRange(0, 7).Draw(t, "gone") > 0 {
					list[n] = LocalServer{State: fleet.ServerState(rapid.IntRange(0, 5).Draw(t, "state") / 5), Started: fleet.Time(rapid.IntRange(0, 1).Draw(t, "started")) * 999 * s}
				}
			}
			return list
		}
		ours := own
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += fleet.Time(rapid.IntRange(1, 2500).Draw(t, "ms")) * fleet.Millisecond
			from := boards[rapid.IntRange(0, 1).Draw(t, "peer")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				from.SetLocalList(now, uint64(rapid.IntRange(5, 12).Draw(t, "rev")), rapid.Bool().Draw(t, "live"), draw())
			case 1:
				ours = draw()
				b.SetLocalList(now, uint64(rapid.IntRange(5, 12).Draw(t, "rev")), true, ours)
				counts = with(ours, nil)
			case 2:
				if len(late) > 0 {
					_ = b.Merge(now, late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			default:
				if n, due := from.NextMessage(now, 3600*s); due {
					late = append(late, n)
					if rapid.Bool().Draw(t, "arrives") {
						_ = b.Merge(now, n)
					}
				}
			}
			changes, _ := b.Next(now)
			for _, c := range changes {
				counts[c.Name] = c.As
			}
			out, ready := 0, 0
			for n, o := range ours {
				if counts[n].State < o.State {
					t.Fatalf("%s is let in by peers", n)
				}
				if o.State == fleet.ServerReady {
					if ready++; counts[n].State != fleet.ServerReady {
						out++
					}
				}
			}
			if out > outFew && 2*out > ready {
				t.Fatalf("peers keep visits from %d of %d", out, ready)
			}
		}
		now += freshFor + speakFor
		changes, _ := b.Next(now)
		for _, c := range changes {
			counts[c.Name] = c.As
		}
		for n, o := range ours {
			if counts[n] != o {
				t.Fatalf("%s counts as %+v when all is quiet, ours says %+v", n, counts[n], o)
			}
		}
	})
}

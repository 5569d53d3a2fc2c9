// Package peers decides what a governor makes of what other governors tell it: drains, losses and starts that a newer list than its own
// has, and whether a server that is bad for this governor is bad for all. News may be lost, late or doubled; older ones lose. Peers can only
// keep visits away from servers or make them careful, never send any: a peer that is wrong costs capacity, bounded, and no rule. It is
// pure. docs/design/peers.md tells the ways weighed.
package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

const (
	SendInterval   = fleet.Second       // between two tellings: a drain's grace holds some of them
	freshFor       = 5 * fleet.Second   // news of a peer count so long: five tellings missed
	catchUp        = 2 * fleet.Second   // before a newer list of a peer counts: ours mostly comes by then
	outMost        = 0.5                // of our servers that peers may keep visits from: more is trouble of theirs, as with lists
	outFew         = 3                  // of few servers more may
	MaxControllers = 64                 // that are heard at a time: twice as many as are meant to be
	serversMost    = 2000               // of one telling: what is past it is not told
	namesMost      = 256                // bytes
	viewTries      = 8                  // tries that make a view: fewer are chance
	badShare       = 0.5                // of them failed that make a bad one
	viewFor        = 10 * fleet.Second  // that tries are looked back on
	goneFor        = 600 * fleet.Second // that a server which left our list is told of: lists that lag do so by seconds
	speakFor       = 60 * fleet.Second  // between two words to staff of one server
)

// How news travel; package members carries them and decides nothing.
const (
	MaxMessageSize      = 1 << 20           // bytes of a peer's news
	MaxDatagramSize     = 1200              // bytes that go as one packet; larger news go over streams
	MaxConcurrentSends  = 16                // streams of one telling
	JoinInterval        = 2 * fleet.Second  // between tries to join while nobody else is there
	LeaveTimeout        = 2 * fleet.Second  // for a leave to be told
	DeadNodeReclaimTime = 30 * fleet.Second // a dead governor's name may be taken by a new process at another address
)

// ServerStatus is what a governor tells of a server: only of those that drain, are gone, or have started a while ago.
type ServerStatus struct {
	Name    string            `json:"n"`
	State   fleet.ServerState `json:"s,omitempty"`
	Started fleet.Time        `json:"t,omitempty"` // on the wall clock, as the list has it
}

// Observation is what a governor's proxies met at a server lately.
type Observation struct {
	Name     string `json:"n"`
	Attempts uint32 `json:"t"`
	Failures uint32 `json:"f"`
}

// Message is all that a governor tells at one time; the newest makes all before it needless.
type Message struct {
	Controller   string         `json:"g"`
	Epoch        uint64         `json:"e"` // of its start
	Sequence     uint64         `json:"q"`
	ListRevision uint64         `json:"r"`
	Live         bool           `json:"l"` // its list came from the source since its start
	Servers      []ServerStatus `json:"s,omitempty"`
	Observations []Observation  `json:"v,omitempty"` // of servers that it finds bad, and of those that others do
}

// Check tells what is wrong with news, nil for nothing.
func (n *Message) Check() error {
	switch {
	case n.Controller == "" || len(n.Controller) > namesMost:
		return fmt.Errorf("news of nobody: a name of %d bytes", len(n.Controller))
	case len(n.Servers) > serversMost || len(n.Observations) > serversMost:
		return fmt.Errorf("news of governor %q: %d servers and %d views, %d are the most", n.Controller, len(n.Servers), len(n.Observations), serversMost)
	}
	for i, s := range n.Servers {
		if s.Name == "" || len(s.Name) > namesMost || s.State > fleet.ServerGone {
			return fmt.Errorf("news of governor %q: servers[%d]: %.40q, state %d", n.Controller, i, s.Name, s.State)
		}
	}
	for i, v := range n.Observations {
		if v.Name == "" || len(v.Name) > namesMost || v.Failures > v.Attempts {
			return fmt.Errorf("news of governor %q: views[%d]: %.40q, %d of %d failed", n.Controller, i, v.Name, v.Failures, v.Attempts)
		}
	}
	return nil
}

// LocalServer is what this governor's list says of a server.
type LocalServer struct {
	State   fleet.ServerState
	Started fleet.Time
}

type peer struct {
	news  Message
	at    fleet.Time // heard
	ahead fleet.Time // since when its list is newer than ours, 0: it isn't
}

type met struct {
	at            fleet.Time
	tries, failed uint32
}

// PeerState holds what peers told, and what follows.
type PeerState struct {
	me      string
	epoch   uint64
	seq     uint64
	peers   map[string]*peer
	own     map[string]LocalServer
	rev     uint64
	live    bool
	given   map[string]LocalServer // in place of ours, as given out
	gone    map[string]fleet.Time  // from our list, and when
	met     map[string][]met
	spoken  map[string]fleet.Time
	toldAt  fleet.Time
	over    bool // peers would keep visits from too many
	Refused uint64
	Old     uint64 // news that were not newer
}

// NewPeerState makes an empty board of a governor, in the epoch of its start.
func NewPeerState(me string, epoch uint64) *PeerState {
	return &PeerState{me: me, epoch: epoch, peers: map[string]*peer{}, own: map[string]LocalServer{}, given: map[string]LocalServer{}, gone: map[string]fleet.Time{}, met: map[string][]met{}, spoken: map[string]fleet.Time{}}
}

// SetLocalList hears what our own list says now, whole. What was given out in place of the one before is to be given out anew.
func (b *PeerState) SetLocalList(now fleet.Time, rev uint64, live bool, own map[string]LocalServer) {
	for name := range b.own {
		if _, listed := own[name]; !listed {
			b.gone[name] = now
		}
	}
	for name, at := range b.gone {
		if _, listed := own[name]; listed || now >= at+goneFor {
			delete(b.gone, name)
		}
	}
	b.rev, b.live, b.own = rev, live, own
	clear(b.given)
	for name := range b.met {
		if _, listed := own[name]; !listed {
			delete(b.met, name)
		}
	}
}

// ObserveOutcome hears what our proxies met at a server.
func (b *PeerState) ObserveOutcome(now fleet.Time, name string, tries, failed uint32) {
	kept := b.met[name]
	for len(kept) > 0 && kept[0].at < now-viewFor {
		kept = kept[1:]
	}
	b.met[name] = append(kept, met{now, tries, failed})
}

func (b *PeerState) view(now fleet.Time, name string) (v Observation) {
	v.Name = name
	for _, m := range b.met[name] {
		if m.at >= now-viewFor {
			v.Attempts, v.Failures = v.Attempts+m.tries, v.Failures+m.failed
		}
	}
	return v
}

func (v Observation) bad() bool {
	return v.Attempts >= viewTries && float64(v.Failures) > badShare*float64(v.Attempts)
}

func (v Observation) well() bool {
	return v.Attempts >= viewTries && float64(v.Failures) <= badShare/2*float64(v.Attempts)
}

// Merge hears a peer's news. An error tells what makes no sense in it; nothing of it is taken then.
func (b *PeerState) Merge(now fleet.Time, n Message) error {
	if err := n.Check(); err != nil {
		b.Refused++
		return err
	}
	if n.Controller == b.me {
		return nil // our own, come around
	}
	p := b.peers[n.Controller]
	if p == nil && len(b.peers) >= MaxControllers {
		b.Refused++
		return fmt.Errorf("news of governor %q: %d others are heard, which is the most", n.Controller, len(b.peers))
	}
	if p == nil {
		p = &peer{}
		b.peers[n.Controller] = p
	} else if c := cmp.Or(cmp.Compare(n.Epoch, p.news.Epoch), cmp.Compare(n.Sequence, p.news.Sequence)); c <= 0 {
		b.Old++
		return nil
	}
	p.news, p.at = n, now
	return nil
}

// NextMessage gives our news where it is time for them.
func (b *PeerState) NextMessage(now fleet.Time, coldFor fleet.Time) (Message, bool) {
	if b.toldAt > 0 && now < b.toldAt+SendInterval {
		return Message{}, false
	}
	b.toldAt = now
	b.seq++
	n := Message{Controller: b.me, Epoch: b.epoch, Sequence: b.seq, ListRevision: b.rev, Live: b.live}
	asked := map[string]bool{}
	for _, p := range b.fresh(now) {
		for _, v := range p.news.Observations {
			if v.bad() {
				asked[v.Name] = true
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.own)) {
		o := b.own[name]
		if (o.State != fleet.ServerReady || o.Started > 0 && now < o.Started+coldFor) && len(n.Servers) < serversMost {
			n.Servers = append(n.Servers, ServerStatus{name, o.State, o.Started})
		}
		if v := b.view(now, name); (v.bad() || asked[name] && v.Attempts > 0) && len(n.Observations) < serversMost {
			n.Observations = append(n.Observations, v)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.gone)) {
		if len(n.Servers) < serversMost {
			n.Servers = append(n.Servers, ServerStatus{Name: name, State: fleet.ServerGone})
		}
	}
	return n, true
}

// fresh gives the peers whose news count, by name.
func (b *PeerState) fresh(now fleet.Time) (all []*peer) {
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		p := b.peers[name]
		switch {
		case now < p.at+freshFor:
			all = append(all, p)
		case now >= p.at+2*speakFor:
			delete(b.peers, name)
		}
	}
	return all
}

// Change is what a server is to count as: by peers' newer list, or by our own again.
type Change struct {
	Name string
	As   LocalServer
	Peer bool // in place of what ours says
}

// Notice is something for staff.
type Notice struct {
	Server string // "" for none
	Text   string
}

// Next works out what peers' news make of our list, and gives the difference to what was given out.
func (b *PeerState) Next(now fleet.Time) (changes []Change, says []Notice) {
	wanted, from := map[string]LocalServer{}, map[string]string{}
	for _, p := range b.fresh(now) {
		if !p.news.Live || p.news.ListRevision <= b.rev {
			p.ahead = 0
			continue
		}
		if p.ahead = cmp.Or(p.ahead, now); now < p.ahead+catchUp {
			continue
		}
		for _, s := range p.news.Servers {
			ours, listed := b.own[s.Name]
			if !listed {
				continue // never more servers than we know of
			}
			as, was := wanted[s.Name]
			if !was {
				as = ours
			}
			if s.State > as.State { // more careful only
				as.State = s.State
			}
			if s.Started > as.Started && s.Started <= now {
				as.Started = s.Started
			}
			if as != ours {
				wanted[s.Name], from[s.Name] = as, p.news.Controller
			}
		}
	}
	out, ready := 0, 0
	for name, o := range b.own {
		if o.State == fleet.ServerReady {
			if ready++; wanted[name].State != fleet.ServerReady {
				out++
			}
		}
	}
	over := out > outFew && float64(out) > outMost*float64(ready)
	if over {
		if !b.over {
			says = append(says, Notice{"", fmt.Sprintf("peers would keep visits from %d of %d servers: that is not followed", out, ready)})
		}
		clear(wanted)
	}
	b.over = over
	for _, name := range slices.Sorted(maps.Keys(b.given)) {
		if _, still := wanted[name]; !still {
			if ours, listed := b.own[name]; listed {
				changes = append(changes, Change{name, ours, false})
			}
			delete(b.given, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if as := wanted[name]; b.given[name] != as {
			b.given[name] = as
			changes = append(changes, Change{name, as, true})
			says = append(says, Notice{name, fmt.Sprintf("counts as %s: governor %s goes by a newer list than ours", stateWord(as, b.own[name]), from[name])})
		}
	}
	return changes, append(says, b.oneSided(now)...)
}

func stateWord(as, ours LocalServer) string {
	switch {
	case as.State == fleet.ServerGone:
		return "gone"
	case as.State == fleet.ServerDraining:
		return "draining"
	case as.Started != ours.Started:
		return "started anew"
	}
	return "ready"
}

// oneSided tells staff of servers that are bad for one side only: trouble on the way, not of the server.
func (b *PeerState) oneSided(now fleet.Time) (says []Notice) {
	fresh := b.fresh(now)
	for _, name := range slices.Sorted(maps.Keys(b.met)) {
		v := b.view(now, name)
		if !v.bad() || b.spoken[name] > 0 && now < b.spoken[name]+speakFor {
			continue
		}
		var well, ill []string
		for _, p := range fresh {
			for _, theirs := range p.news.Observations {
				if theirs.Name == name && theirs.well() {
					well = append(well, p.news.Controller)
				} else if theirs.Name == name && theirs.bad() {
					ill = append(ill, p.news.Controller)
				}
			}
		}
		if len(well)+len(ill) == 0 {
			continue
		}
		b.spoken[name] = now
		text := "bad for " + strings.Join(ill, ", ") + ", too: the server's own trouble"
		if len(well) > 0 {
			text = "bad here, but not for " + strings.Join(well, ", ") + ": trouble on the way to it"
		}
		says = append(says, Notice{name, text})
	}
	return says
}

// Given tells how many servers count otherwise than our list has them.
func (b *PeerState) Given() int { return len(b.given) }

// PeerView is what staff see of a peer.
type PeerView struct {
	Controller   string
	Age          fleet.Time
	ListRevision uint64
	Live         bool
	Servers      int
	Ahead        bool
}

// Peers gives what is known of peers, by name.
func (b *PeerState) Peers(now fleet.Time) (all []PeerView) {
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		p := b.peers[name]
		all = append(all, PeerView{name, now - p.at, p.news.ListRevision, p.news.Live, len(p.news.Servers), p.ahead > 0})
	}
	return all
}

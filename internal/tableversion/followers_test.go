package tableversion

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const (
	simulatedFollowers = 3
	simulatedServers   = 5
	messageOverhead    = 6 // cost of a message, in entries
)

// followerSimulation changes a table at random, while deltas to its followers are lost, repeated, reordered and
// damaged.
type followerSimulation struct {
	t        *rapid.T
	now      fleet.Time
	epoch    uint64
	table    *Table
	contents map[Version]map[string]int // of every version so far
	digests  map[Version]Digest
	replicas [simulatedFollowers]Replica
	inFlight [simulatedFollowers][]Delta
}

func newFollowerSimulation(t *rapid.T) *followerSimulation {
	limits := HistoryLimits{MaxEntries: rapid.IntRange(1, 40).Draw(t, "max entries"), MaxAge: 100 * fleet.Second}
	table := New(1, serverName, limits)
	return &followerSimulation{
		t:        t,
		now:      fleet.Second,
		epoch:    1,
		table:    table,
		contents: map[Version]map[string]int{NoVersion: {}, table.Version(): {}},
		digests:  map[Version]Digest{NoVersion: 0, table.Version(): 0},
	}
}

// record stores the content of the current version and verifies its digest.
func (s *followerSimulation) record() {
	s.contents[s.table.Version()] = weightsByName(s.table.Entries())
	s.digests[s.table.Version()] = s.table.Digest()
	want := Digest(0)
	for _, entry := range s.table.Entries() {
		want += EntryDigest(serverName(entry.Server), entry.Weight)
	}
	if want != s.table.Digest() {
		s.t.Fatalf("incremental digest %v, computed from the entries %v", s.table.Digest(), want)
	}
}

// send puts the planned deltas to the current version in flight to a follower.
func (s *followerSimulation) send(i int) {
	version, digest := s.replicas[i].Version()
	_, deltas := s.table.Plan(version, digest, messageOverhead)
	s.inFlight[i] = append(s.inFlight[i], deltas...)
}

// deliver applies a delta in flight and checks that the replica then has a complete version that existed and is not
// older than the one before.
func (s *followerSimulation) deliver(i, at int) {
	delta := s.inFlight[i][at]
	replica := &s.replicas[i]
	before, _ := replica.Version()
	err := replica.Apply(delta, namedEntries(delta.Entries))
	var mismatch *MismatchError
	if err != nil && !errors.As(err, &mismatch) {
		s.t.Fatal(err)
	}
	version, digest := replica.Version()
	if version.Compare(before) < 0 {
		s.t.Fatalf("replica went back from version %v to %v", before, version)
	}
	want, known := s.contents[version]
	differs := !maps.Equal(want, replica.Weights()) && len(want)+len(replica.Weights()) > 0
	if !known || differs || s.digests[version] != digest {
		s.t.Fatalf("replica has %v as version %v, want %v", replica.Weights(), version, want)
	}
}

func (s *followerSimulation) change() {
	var entries []Entry
	for range rapid.IntRange(1, 3).Draw(s.t, "entries") {
		server := fleet.ServerID(rapid.IntRange(0, simulatedServers-1).Draw(s.t, "server"))
		entries = append(entries, Entry{Server: server, Weight: rapid.IntRange(0, 3).Draw(s.t, "weight")})
	}
	s.table.Change(s.now, entries, "")
	s.record()
}

func (s *followerSimulation) rollback() {
	history := s.table.History()
	if len(history) == 0 {
		return
	}
	to := history[rapid.IntRange(0, len(history)-1).Draw(s.t, "to")].From
	gone := fleet.ServerID(rapid.IntRange(0, simulatedServers-1).Draw(s.t, "gone"))
	_, differences, err := s.table.Rollback(s.now, to, func(id fleet.ServerID) string {
		if id == gone {
			return "gone"
		}
		return ""
	})
	s.record()
	want := maps.Clone(s.contents[to])
	if _, had := want[serverName(gone)]; had != (len(differences) == 1) {
		s.t.Fatalf("excluded server %v, differences %v", gone, differences)
	}
	delete(want, serverName(gone))
	if got := weightsByName(s.table.Entries()); err == nil && !maps.Equal(want, got) {
		s.t.Fatalf("rollback to %v: got %v, want %v", to, got, want)
	}
}

// damage checks that a follower refuses a delta that was damaged in flight, and drops all deltas in flight to it.
func (s *followerSimulation) damage(i int) {
	if len(s.inFlight[i]) > 0 && len(s.inFlight[i][0].Entries) > 0 {
		delta := s.inFlight[i][0]
		delta.Entries = slices.Clone(delta.Entries)
		delta.Entries[0].Weight++
		before := maps.Clone(s.replicas[i].Weights())
		err := s.replicas[i].Apply(delta, namedEntries(delta.Entries))
		if err == nil && !maps.Equal(before, s.replicas[i].Weights()) {
			s.t.Fatal("a damaged delta was applied")
		}
	}
	s.inFlight[i] = nil
}

// takeOver replaces the controller by one of a later epoch that continues with the same entries.
func (s *followerSimulation) takeOver() {
	entries := s.table.Entries()
	s.epoch += uint64(rapid.IntRange(1, 3).Draw(s.t, "epoch"))
	s.table = New(s.epoch, serverName, s.table.limits)
	s.record()
	s.table.Change(s.now, entries, "")
	s.record()
}

func (s *followerSimulation) step() {
	s.now += fleet.Time(rapid.IntRange(0, 3000).Draw(s.t, "ms")) * fleet.Millisecond
	i := rapid.IntRange(0, simulatedFollowers-1).Draw(s.t, "follower")
	switch rapid.IntRange(0, 8).Draw(s.t, "action") {
	case 0, 1, 2:
		s.change()
	case 3:
		s.rollback()
	case 4:
		s.send(i)
	case 5, 6:
		if len(s.inFlight[i]) > 0 { // deltas arrive in any order
			at := rapid.IntRange(0, len(s.inFlight[i])-1).Draw(s.t, "at")
			s.deliver(i, at)
			if rapid.Bool().Draw(s.t, "once") {
				s.inFlight[i] = slices.Delete(s.inFlight[i], at, at+1)
			}
		}
	case 7:
		s.damage(i)
	case 8:
		if rapid.Bool().Draw(s.t, "controller") {
			s.takeOver()
		} else { // the follower is restored from an image
			s.replicas[i] = Replica{}
			s.inFlight[i] = nil
		}
	}
}

// catchUp sends a follower the current version and checks that it gets there.
func (s *followerSimulation) catchUp(i int) {
	s.inFlight[i] = nil
	s.send(i)
	for len(s.inFlight[i]) > 0 {
		s.deliver(i, 0)
		s.inFlight[i] = s.inFlight[i][1:]
	}
	version, digest := s.replicas[i].Version()
	if version != s.table.Version() || digest != s.table.Digest() {
		s.t.Fatalf("follower ends at version %v, want %v", version, s.table.Version())
	}
}

// TestFollowersReachNewestVersion checks that every follower always has a complete version that existed and never goes
// back to an older one, and that all reach the newest version in the end. Deltas are lost, repeated, reordered and
// damaged, tables are rolled back, other controllers take over and followers restart without their table.
func TestFollowersReachNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFollowerSimulation(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			s.step()
		}
		for i := range simulatedFollowers {
			s.catchUp(i)
		}
		limit := s.table.limits.MaxEntries
		if s.table.historyEntries > limit && len(s.table.history) > 1 {
			t.Fatalf("%d entries in the history, limit %d", s.table.historyEntries, limit)
		}
	})
}

// interleavings explores all orders of changes, deliveries and one loss.
type interleavings struct {
	t    *testing.T
	runs int
}

// interleavingState is the state before a step.
type interleavingState struct {
	table    *Table
	replicas [2]Replica
	inFlight [2][]Delta
	changes  int // so far
	losses   int
	now      fleet.Time
}

func cloneTable(table *Table) *Table {
	clone := *table
	clone.weights = maps.Clone(table.weights)
	clone.history = slices.Clone(table.history)
	return &clone
}

// applied returns a copy of a replica after a delta, unchanged if the replica refuses the delta.
func applied(replica Replica, delta Delta) Replica {
	replica.weights = maps.Clone(replica.weights)
	_ = replica.Apply(delta, namedEntries(delta.Entries))
	return replica
}

// explore continues a state in all possible ways and checks each final one.
func (p *interleavings) explore(state interleavingState) {
	state.now += fleet.Second
	complete := true
	if state.changes < 4 {
		complete = false
		p.explore(p.changed(state))
	}
	for i := range state.replicas {
		if len(state.inFlight[i]) == 0 {
			continue
		}
		complete = false
		delivered := state
		delivered.replicas[i] = applied(state.replicas[i], state.inFlight[i][0])
		delivered.inFlight[i] = state.inFlight[i][1:]
		p.explore(delivered)
		if state.losses < 1 { // all deltas in flight to this follower are lost
			lost := state
			lost.inFlight[i] = nil
			lost.losses++
			p.explore(lost)
		}
	}
	if complete {
		p.runs++
		p.checkCatchUp(state)
	}
}

// changed returns the state after the next change, with its delta in flight to all followers. The third change is a
// rollback.
func (p *interleavings) changed(state interleavingState) interleavingState {
	state.table = cloneTable(state.table)
	if state.changes == 2 {
		if _, _, err := state.table.Rollback(state.now, state.table.History()[0].From, excludeNone); err != nil {
			p.t.Fatal(err)
		}
	} else {
		entry := Entry{Server: fleet.ServerID(state.changes % 2), Weight: state.changes + 1}
		state.table.Change(state.now, []Entry{entry}, "")
	}
	history := state.table.History()
	for i := range state.inFlight {
		state.inFlight[i] = append(slices.Clone(state.inFlight[i]), history[len(history)-1])
	}
	state.changes++
	return state
}

// checkCatchUp checks that the planned deltas lead every follower to the current version.
func (p *interleavings) checkCatchUp(state interleavingState) {
	table := state.table
	for i, replica := range state.replicas {
		version, digest := replica.Version()
		_, deltas := table.Plan(version, digest, messageOverhead)
		for _, delta := range deltas {
			replica = applied(replica, delta)
		}
		version, digest = replica.Version()
		want := weightsByName(table.Entries())
		if version != table.Version() || digest != table.Digest() || !maps.Equal(replica.weights, want) {
			p.t.Fatalf("follower %d ends at version %v %v, want %v %v", i, version, replica.weights, table.Version(), want)
		}
	}
}

// TestEveryInterleavingReachesNewestVersion checks that two followers reach the newest version after every order of
// three changes, one rollback, the deliveries of their deltas and at most one loss.
func TestEveryInterleavingReachesNewestVersion(t *testing.T) {
	table := New(1, serverName, HistoryLimits{MaxEntries: 100, MaxAge: 1000 * fleet.Second})
	table.Change(0, []Entry{{Server: 9, Weight: 9}}, "")
	first := Delta{To: table.Version(), ToDigest: table.Digest(), Entries: table.Entries()}
	state := interleavingState{table: table, now: fleet.Second}
	for i := range state.replicas {
		state.replicas[i] = applied(Replica{}, first)
	}
	p := &interleavings{t: t}
	p.explore(state)
	t.Logf("%d interleavings reached the newest version", p.runs)
	if p.runs < 1000 {
		t.Errorf("explored only %d interleavings, want at least 1000", p.runs)
	}
}

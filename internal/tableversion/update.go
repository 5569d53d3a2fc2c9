package tableversion

import "slices"

// DeltaPath is the way by which a follower is updated to the current version.
type DeltaPath uint8

// The paths, in the order of preference at equal cost.
const (
	PathNone   DeltaPath = iota // the follower has the current version
	PathDeltas                  // all deltas, one after the other
	PathFolded                  // one delta that combines all of them
	PathFull                    // the complete table
)

// followerState is the version and digest that a follower reports, and the overhead of a message to it in entries.
type followerState struct {
	version  Version
	digest   Digest
	overhead int
}

type update struct {
	path   DeltaPath
	deltas []Delta
}

// Plan returns the cheapest update, with its deltas, for a follower that reports its version and digest. Costs are
// counted in entries, with overhead entries added for each delta. A follower whose version is not in the history, or
// whose digest does not match that version, gets the complete table.
//
// Updates are planned once for each distinct version, so the cost for a thousand followers depends on the number of
// distinct versions among them. Callers must not change the deltas.
func (t *Table) Plan(version Version, digest Digest, overhead int) (DeltaPath, []Delta) {
	if version == t.version && digest == t.digest {
		return PathNone, nil
	}
	state := followerState{version, digest, overhead}
	deltas, err := t.deltasAfter(version)
	if err != nil { // all unknown versions share one complete table
		state = followerState{overhead: overhead}
	}
	planned, known := t.updates[state]
	if !known {
		if err != nil {
			planned = t.fullUpdate(overhead)
		} else {
			planned = t.planUpdate(state, deltas)
		}
		if planned.path == PathFull { // not stored by digest, because wrong digests can be any number
			state = followerState{overhead: overhead}
		}
		if t.updates == nil {
			t.updates = map[followerState]update{}
		}
		t.updates[state] = planned
	}
	return planned.path, planned.deltas
}

// fullUpdate returns the complete table, shared by all followers that need it.
func (t *Table) fullUpdate(overhead int) update {
	if planned, known := t.updates[followerState{overhead: overhead}]; known {
		return planned
	}
	complete := Delta{From: NoVersion, To: t.version, ToDigest: t.digest, Entries: t.Entries()}
	return update{PathFull, []Delta{complete}}
}

// planUpdate chooses the update of a follower whose version is in the history; deltas are those after its version.
func (t *Table) planUpdate(state followerState, deltas []Delta) update {
	knownDigest := t.digest
	if len(deltas) > 0 {
		knownDigest = deltas[0].FromDigest
	}
	if state.digest != knownDigest {
		return t.fullUpdate(state.overhead)
	}
	folded, err := t.Fold(state.version)
	if err != nil {
		return t.fullUpdate(state.overhead)
	}
	foldedCost := state.overhead + len(folded.Entries)
	deltasCost := 0
	for _, delta := range deltas {
		deltasCost += state.overhead + len(delta.Entries)
	}
	switch {
	case len(t.weights)+state.overhead < min(foldedCost, deltasCost):
		return t.fullUpdate(state.overhead)
	case deltasCost <= foldedCost:
		return update{PathDeltas, slices.Clone(deltas)}
	}
	return update{PathFolded, []Delta{folded}}
}

package tableversion

import "slices"

// DeltaPath is how a follower gets to the present version.
type DeltaPath uint8

// The paths, in the order of preference at the same cost.
const (
	PathNone   DeltaPath = iota // it has the present version
	PathDeltas                  // all deltas, one after the other
	PathFolded                  // one delta for all of them
	PathFull                    // the complete table
)

// followerState is what a follower reports to have, with the overhead of a message to it.
type followerState struct {
	version  Version
	digest   Digest
	overhead int
}

type update struct {
	path   DeltaPath
	deltas []Delta
}

// Plan returns the cheapest safe path for a follower that reports its version and digest. Costs are counted in
// entries, each delta costing overhead entries more. A follower with an unknown version, or with a digest that its
// version never had, gets the complete table.
//
// Paths are worked out once for each version, so that a thousand followers cost what their distinct versions do.
// The deltas must not be changed.
func (t *Table) Plan(version Version, digest Digest, overhead int) (DeltaPath, []Delta) {
	if version == t.version && digest == t.digest {
		return PathNone, nil
	}
	state := followerState{version, digest, overhead}
	deltas, err := t.deltasAfter(version)
	if err != nil { // one complete table for all unknown versions
		state = followerState{overhead: overhead}
	}
	planned, known := t.updates[state]
	if !known {
		if err != nil {
			planned = t.fullUpdate(overhead)
		} else {
			planned = t.planUpdate(state, deltas)
		}
		if planned.path == PathFull { // not stored by digest, as a wrong one may be any number
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

// planUpdate chooses the path of a follower to which these deltas lead on.
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

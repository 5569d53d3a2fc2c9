package tableversion

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

// Delta is the change from one version of a table to another. Entries are sorted by server, at most one for each.
type Delta struct {
	From, To             Version
	FromDigest, ToDigest Digest
	Entries              []Entry
	CreatedAt            fleet.Time
	Reason               string // shown to operators; "" for changes by the balancer
}

// HistoryLimits bounds the history of a table. The newest delta is kept even if it exceeds them.
type HistoryLimits struct {
	MaxEntries int        // total number of entries in all deltas
	MaxAge     fleet.Time // age of the oldest delta
}

// VersionNotFoundError reports that a version is no longer in the history or never existed. Oldest and Newest are the
// bounds of the history.
type VersionNotFoundError struct{ Version, Oldest, Newest Version }

func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %s is not in the history (%s to %s)", e.Version, e.Oldest, e.Newest)
}

// History returns the deltas of the history, oldest first. Callers must not change them.
func (t *Table) History() []Delta { return t.history }

// addHistory appends the newest delta and drops the oldest ones beyond the limits, but never the newest.
func (t *Table) addHistory(now fleet.Time, delta Delta) {
	t.history = append(t.history, delta)
	t.historyEntries += len(delta.Entries)
	dropped := 0
	for dropped < len(t.history)-1 && t.exceedsLimits(now, t.history[dropped]) {
		t.historyEntries -= len(t.history[dropped].Entries)
		dropped++
	}
	if dropped > 0 {
		clear(t.history[:dropped]) // releases the memory of their entries
		t.history = t.history[dropped:]
	}
}

func (t *Table) exceedsLimits(now fleet.Time, oldest Delta) bool {
	return t.historyEntries > t.limits.MaxEntries || oldest.CreatedAt < now-t.limits.MaxAge
}

// deltasAfter returns the deltas from an earlier version to the current one, oldest first.
func (t *Table) deltasAfter(version Version) ([]Delta, error) {
	for i := len(t.history); i > 0; i-- {
		if t.history[i-1].To == version {
			return t.history[i:], nil
		}
	}
	oldest := t.version
	if len(t.history) > 0 {
		oldest = t.history[0].From
	}
	if oldest == version {
		return t.history, nil
	}
	return nil, &VersionNotFoundError{version, oldest, t.version}
}

// Fold returns a single delta from an earlier version to the current one, with only the entries that differ between the
// two. The error is a VersionNotFoundError.
func (t *Table) Fold(from Version) (Delta, error) {
	deltas, err := t.deltasAfter(from)
	if err != nil {
		return Delta{}, err
	}
	folded := Delta{From: from, To: t.version, FromDigest: t.digest, ToDigest: t.digest}
	if len(deltas) == 0 {
		return folded, nil
	}
	folded.FromDigest = deltas[0].FromDigest
	folded.CreatedAt = deltas[len(deltas)-1].CreatedAt
	previous := map[fleet.ServerID]int{}
	for _, delta := range slices.Backward(deltas) { // the oldest delta of an entry, applied last, has its weight at from
		for _, entry := range delta.Entries {
			previous[entry.Server] = entry.Previous
		}
	}
	for _, entry := range sortedEntries(previous) {
		if weight := t.weights[entry.Server]; weight != entry.Weight {
			folded.Entries = append(folded.Entries, Entry{entry.Server, weight, entry.Weight})
		}
	}
	return folded, nil
}

// At returns the entries of an earlier version, sorted by server. The error is a VersionNotFoundError.
func (t *Table) At(version Version) ([]Entry, error) {
	delta, err := t.Fold(version)
	if err != nil {
		return nil, err
	}
	weights := maps.Clone(t.weights)
	for _, entry := range delta.Entries {
		if entry.Previous == 0 {
			delete(weights, entry.Server)
		} else {
			weights[entry.Server] = entry.Previous
		}
	}
	return sortedEntries(weights), nil
}

// Difference is an entry that a rollback leaves out of the version that it restores.
type Difference struct {
	Entry
	Reason string // as excludeReason returned it, such as "draining"
}

// Rollback makes a new version with the content of an earlier one. The function excludeReason returns why a server
// must be left out, "" if it may be included; the entries left out are returned. It is an error if the earlier version
// is not in the history, if all of its servers must be left out, or if the table already has the resulting content.
func (t *Table) Rollback(
	now fleet.Time, to Version, excludeReason func(fleet.ServerID) string,
) (Delta, []Difference, error) {
	old, err := t.At(to)
	if err != nil {
		return Delta{}, nil, err
	}
	var entries []Entry
	var differences []Difference
	kept := map[fleet.ServerID]bool{}
	for _, entry := range old {
		if reason := excludeReason(entry.Server); reason != "" {
			differences = append(differences, Difference{entry, reason})
			continue
		}
		kept[entry.Server] = true
		entries = append(entries, entry)
	}
	if len(entries) == 0 && len(old) > 0 {
		first := differences[0]
		err := fmt.Errorf("none of the %d servers of version %s may get requests: server %s is %s",
			len(old), to, t.name(first.Server), first.Reason)
		return Delta{}, differences, err
	}
	for id := range t.weights {
		if !kept[id] {
			entries = append(entries, Entry{Server: id})
		}
	}
	delta, changed := t.Change(now, entries, "back to "+to.String())
	if !changed {
		return delta, differences, fmt.Errorf("the table already has this content, as version %s", t.version)
	}
	return delta, differences, nil
}

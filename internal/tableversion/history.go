package tableversion

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

// Delta leads from one version to another. Entries are by server, at most one for each.
type Delta struct {
	From, To             Version
	FromDigest, ToDigest Digest
	Entries              []Entry
	CreatedAt            fleet.Time
	Reason               string // "" for changes by the balancer
}

// HistoryLimits bound the history of a table.
type HistoryLimits struct {
	MaxEntries int        // in all deltas
	MaxAge     fleet.Time // of the oldest delta
}

// VersionNotFoundError reports that a version is no longer in the history, or never was.
type VersionNotFoundError struct{ Version, Oldest, Newest Version }

func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %s is not in the history (%s to %s)", e.Version, e.Oldest, e.Newest)
}

// History returns the deltas of the history, oldest first. They must not be changed.
func (t *Table) History() []Delta { return t.history }

// addHistory adds the newest delta and drops the oldest ones past the limits. The newest always stays.
func (t *Table) addHistory(now fleet.Time, delta Delta) {
	t.history = append(t.history, delta)
	t.historyEntries += len(delta.Entries)
	dropped := 0
	for dropped < len(t.history)-1 && t.exceedsLimits(now, t.history[dropped]) {
		t.historyEntries -= len(t.history[dropped].Entries)
		dropped++
	}
	if dropped > 0 {
		clear(t.history[:dropped]) // so that their memory is released
		t.history = t.history[dropped:]
	}
}

func (t *Table) exceedsLimits(now fleet.Time, oldest Delta) bool {
	return t.historyEntries > t.limits.MaxEntries || oldest.CreatedAt < now-t.limits.MaxAge
}

// deltasAfter returns the deltas that lead from an earlier version to the present one.
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

// Fold returns one delta from an earlier version to the present one, with each entry that differs.
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
	for _, delta := range slices.Backward(deltas) { // the oldest delta of an entry has its weight at from
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

// At returns the entries of an earlier version by server.
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

// Difference is an entry in which a rollback differs from the version that it goes back to.
type Difference struct {
	Entry
	Reason string
}

// Rollback makes a new version with the content of an earlier one. The function excludeReason returns why a server must
// not be in it, "" if it may. It fails if no server may.
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

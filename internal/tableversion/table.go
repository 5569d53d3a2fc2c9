// Package tableversion implements versioned weight tables: deltas between versions, a digest of the content by which
// followers verify their copies, a bounded history, and rollback. It has no I/O and no clock.
// docs/design/table-versions.md states the canonical form of a digest.
package tableversion

import (
	"cmp"
	"fmt"
	"slices"

	"cressknot/internal/fleet"
)

// Entry is one entry of a table, or its change in a delta.
type Entry struct {
	Server fleet.ServerID
	Weight int // as sent to proxies, 0 to 256; 0 in a delta removes the entry
	// Previous is the weight before a delta, 0 if there was no entry. It is set in deltas only.
	Previous int
}

// NameFunc returns the name of a server, from which digests are computed. It must not change for a server.
type NameFunc func(fleet.ServerID) string

// Table is a weight table with its versions. Use New or Restore; the zero value is not usable. It is not safe for
// concurrent use.
type Table struct {
	version Version
	digest  Digest
	weights map[fleet.ServerID]int
	epoch   uint64 // epoch of the next version, if larger than that of version
	name    NameFunc

	history        []Delta // oldest first, contiguous up to version
	historyEntries int     // total number of entries in history
	limits         HistoryLimits

	// updates holds the planned updates that bring followers (proxies with this table) to the current version.
	// Followers with the same state share an update.
	updates map[followerState]update
}

// New returns an empty table in an epoch. Its first change makes version EPOCH.1.
func New(epoch uint64, name NameFunc, limits HistoryLimits) *Table {
	return &Table{
		version: Version{Epoch: epoch},
		weights: map[fleet.ServerID]int{},
		name:    name,
		limits:  limits,
	}
}

// Restore returns a table from stored data: its content at a version, and deltas in order that lead up to that version
// or on from it. Deltas after the version are applied; deltas before a gap are left out of the history. New versions
// are in the given epoch. Data that does not match the digests returns a MismatchError.
func Restore(
	epoch uint64, name NameFunc, limits HistoryLimits,
	at Version, digest Digest, entries []Entry, deltas []Delta,
) (*Table, error) {
	t := New(at.Epoch, name, limits)
	t.version = at
	t.epoch = epoch
	for _, entry := range entries {
		t.setEntry(entry)
	}
	if t.digest != digest {
		return nil, storedDigestMismatch(at, digest, t.digest)
	}
	for _, delta := range deltas {
		if delta.To.Compare(at) > 0 {
			if err := t.applyStored(delta); err != nil {
				return nil, err
			}
		}
		t.dropHistoryUnlessAt(delta.From)
		t.history = append(t.history, delta)
		t.historyEntries += len(delta.Entries)
	}
	t.dropHistoryUnlessAt(t.version)
	return t, nil
}

// applyStored applies a stored delta that must start at the current version.
func (t *Table) applyStored(delta Delta) error {
	if delta.From != t.version || delta.FromDigest != t.digest {
		return &MismatchError{fmt.Sprintf("stored delta starts at version %s (digest %s), want version %s (digest %s)",
			delta.From, delta.FromDigest, t.version, t.digest)}
	}
	for _, entry := range delta.Entries {
		t.setEntry(entry)
	}
	t.version = delta.To
	if t.digest != delta.ToDigest {
		return storedDigestMismatch(delta.To, delta.ToDigest, t.digest)
	}
	return nil
}

func storedDigestMismatch(version Version, want, got Digest) error {
	return &MismatchError{fmt.Sprintf("digest mismatch at version %s: want %s, the stored entries give %s",
		version, want, got)}
}

// dropHistoryUnlessAt drops the history if it does not end at a version.
func (t *Table) dropHistoryUnlessAt(version Version) {
	if n := len(t.history); n > 0 && t.history[n-1].To != version {
		t.history = nil
		t.historyEntries = 0
	}
}

// BeginEpoch makes a version with the same entries in a later epoch, so that it is newer than all versions of earlier
// epochs. An epoch that is not later is ignored. An empty table without versions only takes over the epoch.
func (t *Table) BeginEpoch(now fleet.Time, epoch uint64, reason string) {
	if epoch <= max(t.epoch, t.version.Epoch) {
		return
	}
	clear(t.updates)
	from := t.version
	t.epoch = epoch
	t.version = Version{Epoch: epoch}
	if from.Count == 0 { // a table without changes has no version yet
		return
	}
	t.version.Count = 1
	t.addHistory(now, Delta{
		From:       from,
		To:         t.version,
		FromDigest: t.digest,
		ToDigest:   t.digest,
		CreatedAt:  now,
		Reason:     reason,
	})
}

// Version returns the current version. Its Count is 0 before the first change.
func (t *Table) Version() Version { return t.version }

// Digest returns the digest of the current content, 0 for an empty table.
func (t *Table) Digest() Digest { return t.digest }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.weights) }

// Weight returns the current weight of a server, 0 if it has no entry.
func (t *Table) Weight(id fleet.ServerID) int { return t.weights[id] }

// Entries returns all entries, sorted by server.
func (t *Table) Entries() []Entry { return sortedEntries(t.weights) }

func sortedEntries(weights map[fleet.ServerID]int) []Entry {
	entries := make([]Entry, 0, len(weights))
	for id, weight := range weights {
		entries = append(entries, Entry{Server: id, Weight: weight})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
	return entries
}

// Change makes the next version by setting the given entries, and returns the delta to it. Other entries are kept; a
// weight of 0 removes an entry. If nothing differs there is no new version, and changed is false.
func (t *Table) Change(now fleet.Time, entries []Entry, reason string) (delta Delta, changed bool) {
	delta = Delta{From: t.version, FromDigest: t.digest, CreatedAt: now, Reason: reason}
	weights := map[fleet.ServerID]int{}
	for _, entry := range entries {
		weights[entry.Server] = max(0, entry.Weight)
	}
	for _, entry := range sortedEntries(weights) {
		entry.Previous = t.weights[entry.Server]
		if entry.Weight != entry.Previous {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if len(delta.Entries) == 0 {
		return delta, false
	}
	for _, entry := range delta.Entries {
		t.setEntry(entry)
	}
	clear(t.updates)
	t.version = t.version.Next()
	if t.version.Epoch < t.epoch {
		t.version = Version{t.epoch, 1}
	}
	delta.To = t.version
	delta.ToDigest = t.digest
	t.addHistory(now, delta)
	return delta, true
}

// put sets one entry and updates the digest.
func (t *Table) setEntry(entry Entry) {
	name := t.name(entry.Server)
	t.digest += EntryDigest(name, entry.Weight) - EntryDigest(name, t.weights[entry.Server])
	if entry.Weight == 0 {
		delete(t.weights, entry.Server)
	} else {
		t.weights[entry.Server] = entry.Weight
	}
}

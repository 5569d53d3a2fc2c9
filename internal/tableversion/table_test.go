package tableversion

import (
	"errors"
	"math"
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

func TestParseVersionReadsOnlyWhatStringPrints(t *testing.T) {
	for _, text := range []string{"", "7", "7.", ".1", "7.x", "zz_.1", strings.Repeat("1", 50)} {
		if _, err := ParseVersion(text); err == nil {
			t.Errorf("%q was accepted as a version", text)
		}
	}
	want := Version{123456789, 42}
	if version, err := ParseVersion(want.String()); err != nil || version != want {
		t.Error(version, err)
	}
}

func TestEmptyTableNeedsNoUpdate(t *testing.T) {
	table := New(7, serverName, HistoryLimits{MaxEntries: 30_000, MaxAge: 100 * fleet.Second})
	if path, _ := table.Plan(table.Version(), 0, messageOverhead); path != PathNone {
		t.Errorf("path %v for a follower of an empty table, want PathNone", path)
	}
}

// TestDigestMismatchIsRefused checks that a follower that reports a wrong digest gets the complete table, and that a
// replica refuses a delta whose ToDigest does not match the resulting content.
func TestDigestMismatchIsRefused(t *testing.T) {
	table := newLargeTable(10_000)
	delta := table.History()[0]
	var replica Replica
	err := replica.Apply(Delta{To: delta.To, ToDigest: delta.ToDigest}, namedEntries(delta.Entries))
	if err != nil || len(replica.Weights()) != 10_000 {
		t.Fatal(err)
	}
	if path, _ := table.Plan(delta.To, delta.ToDigest+1, messageOverhead); path != PathFull {
		t.Errorf("path %v for a follower with a wrong digest, want PathFull", path)
	}
	version, digest := replica.Version()
	forged := Delta{From: version, FromDigest: digest, To: version.Next(), ToDigest: digest}
	err = replica.Apply(forged, []NamedEntry{{"n1", 77}})
	if after, _ := replica.Version(); err == nil || after != version {
		t.Errorf("delta with an unchanged digest was applied: error %v, version %v", err, after)
	}
}

// TestReplicaRefusesDeltaAfterMissedVersion checks that a replica that missed a version refuses the delta after it,
// even if the resulting content would be the same.
func TestReplicaRefusesDeltaAfterMissedVersion(t *testing.T) {
	table := New(1, serverName, HistoryLimits{MaxEntries: 10, MaxAge: 100 * fleet.Second})
	first, _ := table.Change(1, []Entry{{Server: 1, Weight: 1}}, "")
	var replica Replica
	err := replica.Apply(Delta{To: first.To, ToDigest: first.ToDigest}, namedEntries(first.Entries))
	if err != nil {
		t.Fatal(err)
	}
	table.Change(2, []Entry{{Server: 1, Weight: 2}}, "")
	third, _ := table.Change(3, []Entry{{Server: 1, Weight: 3}}, "")
	if err := replica.Apply(third, namedEntries(third.Entries)); err == nil {
		t.Error("a delta that starts at a missed version was applied")
	}
}

func TestUsedUpCounterBeginsNewEpoch(t *testing.T) {
	table := newLargeTable(10_000)
	epoch := table.version.Epoch
	table.version.Count = math.MaxUint64
	next, _ := table.Change(2, []Entry{{Server: 1, Weight: 99}}, "")
	if next.To.Compare(Version{epoch, math.MaxUint64}) <= 0 || next.To.Count != 1 {
		t.Errorf("version %v after the largest count, want count 1 in a later epoch", next.To)
	}
}

func TestUnavailableVersionIsReported(t *testing.T) {
	table := newLargeTable(10_000)
	var gone *VersionNotFoundError
	_, err := table.At(Version{3, 3})
	if !errors.As(err, &gone) || !strings.Contains(err.Error(), "is not in the history") {
		t.Error(err)
	}
}

func TestRollbackWithoutUsableServersFails(t *testing.T) {
	table := newLargeTable(10_000)
	first := table.Version()
	table.Change(2, []Entry{{Server: 1, Weight: 99}}, "")
	if _, differences, err := table.Rollback(3, first, everyServerGone); err == nil || len(differences) == 0 {
		t.Errorf("rollback to a version whose servers are all gone: %v", err)
	}
}

// TestPlansAreShared checks that followers with the same version share one planned update, also when many report
// different wrong digests, and that all updates lead to the current version.
func TestPlansAreShared(t *testing.T) {
	table := newLargeTable(1000)
	var versions []Delta
	for i := range 20 {
		delta, _ := table.Change(2, []Entry{{Server: fleet.ServerID(i % 3), Weight: 1 + i}}, "")
		versions = append(versions, delta)
	}
	for round := range 3 {
		for i := range 930 {
			version := versions[i%10]
			digest := version.ToDigest
			if i%5 == 4 { // a wrong digest, different for each follower
				digest += Digest(i + 1)
			}
			path, deltas := table.Plan(version.To, digest, messageOverhead)
			last := deltas[len(deltas)-1]
			arrives := last.To == table.Version() && last.ToDigest == table.Digest()
			if !arrives || (path == PathFull) != (digest != version.ToDigest) {
				t.Fatalf("round %d, follower %d: path %d leads to version %s", round, i, path, last.To)
			}
		}
		if len(table.updates) > 11 {
			t.Errorf("%d updates planned for 10 versions, want at most 11", len(table.updates))
		}
		table.Change(3, []Entry{{Server: 9, Weight: 10 + round}}, "")
	}
}

// TestLaterEpochKeepsEntriesAndHistory checks that a table in a later epoch has the same entries under a newer version,
// that its history reaches back to versions of the earlier epoch, and that it can be restored from its stored state.
func TestLaterEpochKeepsEntriesAndHistory(t *testing.T) {
	limits := HistoryLimits{1000, 1 << 60}
	table := New(5, serverName, limits)
	if table.BeginEpoch(1, 7, "later"); table.Version() != (Version{Epoch: 7}) {
		t.Errorf("version %s of an empty table, want 7.0", table.Version())
	}
	table.Change(2, []Entry{{Server: 1, Weight: 9}, {Server: 2, Weight: 4}}, "")
	first, digest := table.Version(), table.Digest()
	if table.BeginEpoch(3, 6, "earlier"); table.Version() != first {
		t.Errorf("version %s after an earlier epoch, want it unchanged", table.Version())
	}
	table.BeginEpoch(3, 20, "later")
	if table.Version() != (Version{20, 1}) || table.Digest() != digest {
		t.Errorf("%s, %s", table.Version(), table.Digest())
	}
	table.Change(4, []Entry{{Server: 2, Weight: 0}}, "")
	folded, err := table.Fold(first)
	if err != nil || len(folded.Entries) != 1 || table.Version() != (Version{20, 2}) {
		t.Errorf("%+v %v at %s", folded, err, table.Version())
	}
	if entries, err := table.At(first); err != nil || len(entries) != 2 {
		t.Errorf("%v %v", entries, err)
	}
	restored, err := Restore(
		21, serverName, limits, table.Version(), table.Digest(), table.Entries(), table.History())
	if err != nil || len(restored.History()) != 3 {
		t.Errorf("%v", err)
	}
}

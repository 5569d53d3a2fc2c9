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
			t.Errorf("%q is parsed as a version", text)
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
		t.Errorf("an empty table: %v", path)
	}
}

// TestDigestMismatchIsRefused checks that a follower with a wrong digest gets the complete table, and that a delta
// that states the digest of other content is refused.
func TestDigestMismatchIsRefused(t *testing.T) {
	table := newLargeTable(10_000)
	delta := table.History()[0]
	var replica Replica
	err := replica.Apply(Delta{To: delta.To, ToDigest: delta.ToDigest}, namedEntries(delta.Entries))
	if err != nil || len(replica.Weights()) != 10_000 {
		t.Fatal(err)
	}
	if path, _ := table.Plan(delta.To, delta.ToDigest+1, messageOverhead); path != PathFull {
		t.Errorf("a version with a wrong digest gets %v, not the complete table", path)
	}
	version, digest := replica.Version()
	forged := Delta{From: version, FromDigest: digest, To: version.Next(), ToDigest: digest}
	err = replica.Apply(forged, []NamedEntry{{"n1", 77}})
	if after, _ := replica.Version(); err == nil || after != version {
		t.Errorf("content changed under an unchanged digest: %v, %v", err, after)
	}
}

// TestReplicaRefusesDeltaAfterMissedVersion checks that a follower that missed a version does not take the next
// one, though the content would come out the same.
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
		t.Error("a follower applied a delta after a version that it had missed")
	}
}

func TestUsedUpCounterBeginsNewEpoch(t *testing.T) {
	table := newLargeTable(10_000)
	epoch := table.version.Epoch
	table.version.Count = math.MaxUint64
	next, _ := table.Change(2, []Entry{{Server: 1, Weight: 99}}, "")
	if next.To.Compare(Version{epoch, math.MaxUint64}) <= 0 || next.To.Count != 1 {
		t.Errorf("after the last counter comes %v", next.To)
	}
}

func TestUnavailableVersionIsReported(t *testing.T) {
	table := newLargeTable(10_000)
	var gone *VersionNotFoundError
	if _, err := table.At(Version{3, 3}); !errors.As(err, &gone) || !strings.Contains(err.Error(), "is not in the history") {
		t.Error(err)
	}
}

func TestRollbackWithoutUsableServersFails(t *testing.T) {
	table := newLargeTable(10_000)
	first := table.Version()
	table.Change(2, []Entry{{Server: 1, Weight: 99}}, "")
	if _, differences, err := table.Rollback(3, first, everyServerGone); err == nil || len(differences) == 0 {
		t.Errorf("rollback to servers that are all gone: %v", err)
	}
}

// TestPlansAreShared checks that followers with the same version share the work, and that all paths lead to the
// present version.
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
			if i%5 == 4 { // reports a digest of nothing that ever was: each another one
				digest += Digest(i + 1)
			}
			path, deltas := table.Plan(version.To, digest, messageOverhead)
			last := deltas[len(deltas)-1]
			arrives := last.To == table.Version() && last.ToDigest == table.Digest()
			if !arrives || (path == PathFull) != (digest != version.ToDigest) {
				t.Fatalf("round %d, follower %d: path %d to %s", round, i, path, last.To)
			}
		}
		if len(table.updates) > 11 {
			t.Errorf("%d paths worked out for 10 versions", len(table.updates))
		}
		table.Change(3, []Entry{{Server: 9, Weight: 10 + round}}, "")
	}
}

// TestLaterEpochKeepsEntriesAndHistory checks that a table that goes on in a later epoch has the same entries under
// a newer version, that paths lead there from earlier versions, and that what was stored of it can be restored.
func TestLaterEpochKeepsEntriesAndHistory(t *testing.T) {
	limits := HistoryLimits{1000, 1 << 60}
	table := New(5, serverName, limits)
	if table.BeginEpoch(1, 7, "later"); table.Version() != (Version{Epoch: 7}) {
		t.Errorf("an empty table has version %s", table.Version())
	}
	table.Change(2, []Entry{{Server: 1, Weight: 9}, {Server: 2, Weight: 4}}, "")
	first, digest := table.Version(), table.Digest()
	if table.BeginEpoch(3, 6, "earlier"); table.Version() != first {
		t.Errorf("an earlier epoch: %s", table.Version())
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

package reconcile

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/properties"
)

// TestMain fixes the seed of property tests, so that CI results are reproducible.
func TestMain(m *testing.M) { properties.RunFixed(m, 7, 400) }

func testSite() fleet.Site {
	return fleet.Site{
		Zones: []string{"a"},
		Classes: []fleet.RequestClass{
			{Name: "look"},
			{Name: "issue", Idempotency: fleet.NotIdempotent},
		},
		EntriesPerSecond: 1000,
		MessageOverhead:  4,
		MaxBacklog:       2000,
		MeanUpdateDelay:  50 * fleet.Millisecond,
		MaxUpdateDelay:   200 * fleet.Millisecond,
		SlowStart:        fleet.SlowStart{Duration: 10 * fleet.Second},
		Admission:        fleet.AdmissionFraction,
	}
}

// newSettledReconciler returns a reconciler and its time after all proxies have acknowledged table 0 with the given
// number of servers.
func newSettledReconciler(tb testing.TB, site fleet.Site, proxies, servers int) (*Reconciler, fleet.Time) {
	tb.Helper()
	r := New(site)
	now := fleet.Second
	list := fleet.EndpointList{Scope: fleet.ListFull}
	for i := range servers {
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{Server: fleet.ServerID(i)})
	}
	r.SetEndpoints(now, list)
	var orders []fleet.Order
	for i := range servers {
		orders = append(orders, fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.5 + float32(i%7)/14})
	}
	for i := range proxies {
		r.Join(now, fleet.ProxyID(i), Snapshot{})
		orders = append(orders, fleet.AssignTable{Proxy: fleet.ProxyID(i)})
	}
	r.Apply(now, orders)
	runUntilIdle(r, &now)
	if !r.Idle() {
		tb.Fatal("reconciler is not idle after the initial tables")
	}
	return r, now
}

// runUntilIdle acknowledges all messages until the reconciler is idle.
func runUntilIdle(r *Reconciler, now *fleet.Time) {
	for range 1_000_000 {
		messages, _, _, _ := r.NextMessages(*now)
		for _, message := range messages {
			r.RecordAcknowledgement(*now, message.Proxy, message.Sequence, nil)
		}
		if *now += 10 * fleet.Millisecond; r.Idle() {
			return
		}
	}
}

// runFor acknowledges all messages for the given number of seconds.
func runFor(r *Reconciler, now *fleet.Time, seconds float64) {
	for end := *now + fleet.Second.Scale(seconds); *now < end; *now += 20 * fleet.Millisecond {
		messages, _, _, _ := r.NextMessages(*now)
		for _, message := range messages {
			r.RecordAcknowledgement(*now, message.Proxy, message.Sequence, nil)
		}
	}
}

// changeList returns a delta of the endpoint list that sets the state of servers.
func changeList(state fleet.ServerState, servers ...fleet.ServerID) fleet.EndpointList {
	list := fleet.EndpointList{Scope: fleet.ListDelta}
	for _, server := range servers {
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{Server: server, State: state})
	}
	return list
}

type entryKey struct {
	server fleet.ServerID
	class  fleet.ClassID
}

// fakeProxy applies messages with the semantics of a real proxy.
type fakeProxy struct {
	entries    map[entryKey]EntryState
	admissions map[fleet.ClassID]Admission
	inbox      []Message
	violation  string // the latest violation that apply has found; "": none
}

func (f *fakeProxy) snapshot() Snapshot {
	snapshot := Snapshot{Admissions: make([]Admission, 2)}
	for key, entry := range f.entries {
		snapshot.Entries = append(snapshot.Entries, SnapshotEntry{Class: key.class, Server: key.server, State: entry})
	}
	for class, admission := range f.admissions {
		snapshot.Admissions[class] = admission
	}
	return snapshot
}

// usableCount returns the number of entries of a class that receive requests.
func (f *fakeProxy) usableCount(class fleet.ClassID) (count int) {
	for key, entry := range f.entries {
		if key.class == class && entry.State == StateReady && entry.Weight > 0 {
			count++
		}
	}
	return count
}

// apply applies up to limit changes of a message and returns the failures. It records a violation if a class has
// usable entries before and after a complete message, but none at some step in between.
func (f *fakeProxy) apply(message Message, limit int) (failures []Failure) {
	before := [2]int{f.usableCount(0), f.usableCount(1)}
	emptyBefore := [2]int{-1, -1}
	for i, change := range message.Changes[:min(limit, len(message.Changes))] {
		for class := range 2 {
			if i > 0 && f.usableCount(fleet.ClassID(class)) == 0 {
				emptyBefore[class] = i
			}
		}
		if kind, failed := f.applyChange(change); failed {
			failures = append(failures, Failure{Index: i, Kind: kind})
		}
	}
	for class := range 2 {
		complete := len(failures) == 0 && limit >= len(message.Changes)
		if before[class] > 0 && emptyBefore[class] >= 0 && f.usableCount(fleet.ClassID(class)) > 0 && complete {
			f.violation = fmt.Sprintf("class %d has no usable entry before change %d of %+v",
				class, emptyBefore[class], message.Changes)
		}
	}
	return failures
}

func (f *fakeProxy) applyChange(change Change) (kind FailureKind, failed bool) {
	key := entryKey{change.Server, change.Class}
	entry, exists := f.entries[key]
	switch change.Kind {
	case UpdateAdmission:
		f.admissions[change.Class] = change.Admission
		return 0, false
	case AddEntry:
		if exists {
			return FailureEntryExists, true
		}
		entry = EntryState{Present: true, State: StateMaintenance}
	case DeleteEntry:
		delete(f.entries, key)
		return FailureEntryMissing, !exists
	case UpdateEntry:
		if !exists {
			return FailureEntryMissing, true
		}
	}
	if change.Weight >= 0 {
		entry.Weight = change.Weight
	}
	if change.State != StateUnchanged {
		entry.State = change.State
	}
	f.entries[key] = entry
	return 0, false
}

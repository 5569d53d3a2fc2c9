package reconcile

import (
	"math"
	"testing"

	"cressknot/internal/fleet"
)

// TestFailuresCorrectAssumedState guards against a proxy that stays out of sync because the reconciler assumes a
// wrong state. An entry to be added that exists is updated instead, an entry to be updated that is missing is added,
// a failed admission limit is resent, and state that the proxy already has is not sent.
func TestFailuresCorrectAssumedState(t *testing.T) {
	r, now := newSettledReconciler(t, testSite(), 1, 3)
	maintenance := EntryState{Present: true, Weight: 7, State: StateMaintenance}
	proxy := &fakeProxy{
		entries:    map[entryKey]EntryState{{0, 0}: maintenance, {0, 1}: maintenance},
		admissions: map[fleet.ClassID]Admission{},
	}
	r.Join(now, 0, Snapshot{}) // the entries were added after the readback
	proxy.entries[entryKey{1, 0}] = EntryState{Present: true, Weight: 1, State: StateReady}
	r.Apply(now, []fleet.Order{
		fleet.AssignTable{Proxy: 0},
		fleet.SetAdmission{Table: fleet.AllTables, Limit: 0.5},
	})
	admissionFailed := false
	run := func() (sent int) {
		for range 400 {
			messages, _, _, _ := r.NextMessages(now)
			for _, message := range messages {
				sent++
				failures := proxy.apply(message, math.MaxInt)
				for i, change := range message.Changes {
					if change.Kind == UpdateAdmission && !admissionFailed {
						admissionFailed = true
						delete(proxy.admissions, change.Class)
						failures = append(failures, Failure{Index: i, Text: "entry not found."})
					}
				}
				r.RecordAcknowledgement(now, 0, message.Sequence, failures)
			}
			now += 10 * fleet.Millisecond
		}
		return sent
	}
	check := func(when string) {
		t.Helper()
		for server := range 3 {
			for class := range 2 {
				got := proxy.entries[entryKey{fleet.ServerID(server), fleet.ClassID(class)}]
				if want := r.desiredEntry(r.proxies[0], int32(server), class); got != want {
					t.Errorf("%s: server %d, class %d: got %+v, want %+v", when, server, class, got, want)
				}
			}
		}
		if proxy.admissions[0].Limit != 500 || proxy.admissions[1].Limit != 500 {
			t.Errorf("%s: admission limits %+v, want 500 for both classes", when, proxy.admissions)
		}
	}
	run()
	check("entry to be added exists")
	delete(proxy.entries, entryKey{2, 1})
	r.Apply(now, []fleet.Order{fleet.SetWeight{Server: 2, Weight: 0.9}})
	run()
	check("entry to be updated is missing")
	r.Apply(now, []fleet.Order{
		fleet.SetWeight{Server: 2, Weight: 0.9},
		fleet.SetAdmission{Table: fleet.AllTables, Limit: 0.5},
	})
	if sent := run(); sent != 0 {
		t.Errorf("%d messages sent although the proxy already has the desired state", sent)
	}
}

// TestFailedChangeIsRetriedWithBackoff guards against a proxy being flooded with a change that it rejects for an
// unknown reason: it is retried at growing intervals, with one or two notices in all.
func TestFailedChangeIsRetriedWithBackoff(t *testing.T) {
	r, now := newSettledReconciler(t, testSite(), 1, 3)
	r.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 0.9}})
	var sentAt []fleet.Time
	notices := 0
	for now < 60*fleet.Second {
		messages, _, _, _ := r.NextMessages(now)
		for _, message := range messages {
			sentAt = append(sentAt, now)
			var failures []Failure
			for i := range message.Changes {
				failures = append(failures, Failure{Index: i, Text: "Permission denied"})
			}
			if len(sentAt) > 5 {
				failures = nil
			}
			r.RecordAcknowledgement(now, message.Proxy, message.Sequence, failures)
		}
		notices += len(r.Notices())
		now += 50 * fleet.Millisecond
	}
	if len(sentAt) != 6 || notices == 0 || notices > 2 {
		t.Errorf("sent %d times with %d notices, want 6 times and 1 or 2 notices", len(sentAt), notices)
	}
	for i := 2; i < len(sentAt); i++ {
		if sentAt[i]-sentAt[i-1] < sentAt[i-1]-sentAt[i-2] {
			t.Errorf("retry delays shrink; sent at %v", sentAt)
		}
	}
}

// TestGoneEntriesAreDeleted guards against entries of gone servers that accumulate at proxies. They are deleted after
// the retention, and a deletion that fails because of requests in flight is retried.
func TestGoneEntriesAreDeleted(t *testing.T) {
	r, now := newSettledReconciler(t, testSite(), 1, 4)
	r.SetEndpoints(now, changeList(fleet.ServerGone, 2))
	r.Apply(now, []fleet.Order{fleet.WithdrawServer{Server: 2, Withdrawn: true}, fleet.SetWeight{Server: 2}})
	attempts := 0
	for now < 200*fleet.Second && attempts < 4 {
		messages, _, _, _ := r.NextMessages(now)
		for _, message := range messages {
			var failures []Failure
			for i, change := range message.Changes {
				if change.Kind != DeleteEntry {
					continue
				}
				attempts++
				if attempts <= 2 {
					failures = append(failures, Failure{Index: i, Kind: FailureEntryInUse, Text: "in use"})
				}
			}
			r.RecordAcknowledgement(now, message.Proxy, message.Sequence, failures)
		}
		now += 500 * fleet.Millisecond
	}
	if attempts != 4 {
		t.Errorf("%d deletions attempted, want 4: 2 refused and 2 successful", attempts)
	}
}

// TestFailedWithdrawalIsRetriedWithinDrainTimeout guards against a drain that is missed after an outage of a proxy: the
// backoff of changes that it rejects grows, and a withdrawal must not wait for it once the proxy works again.
func TestFailedWithdrawalIsRetriedWithinDrainTimeout(t *testing.T) {
	site := testSite()
	site.DrainTimeout = 3 * fleet.Second
	r, now := newSettledReconciler(t, site, 1, 3)
	r.Apply(now, []fleet.Order{fleet.SetWeight{Server: 1, Weight: 0.9}})
	var withdrawnAt fleet.Time
	const rejectsUntil = 40 * fleet.Second // its backoff has reached 16 s
	ordered := false
	for now < 90*fleet.Second && withdrawnAt == 0 {
		if !ordered && now > rejectsUntil-2*fleet.Second {
			ordered = true
			r.SetEndpoints(now, changeList(fleet.ServerDraining, 2))
			r.Apply(now, []fleet.Order{fleet.WithdrawServer{Server: 2, Withdrawn: true}})
		}
		messages, _, _, _ := r.NextMessages(now)
		for _, message := range messages {
			var failures []Failure
			for i, change := range message.Changes {
				if now < rejectsUntil {
					failures = append(failures, Failure{Index: i, Text: "Permission denied"})
				} else if change.Server == 2 && change.State == StateDrain {
					withdrawnAt = now
				}
			}
			r.RecordAcknowledgement(now, message.Proxy, message.Sequence, failures)
		}
		now += 50 * fleet.Millisecond
	}
	if limit := rejectsUntil + site.DrainTimeout - site.MaxUpdateDelay; withdrawnAt == 0 || withdrawnAt > limit {
		t.Errorf("withdrawn %.2f s after the proxy works again, want within %.2f s",
			(withdrawnAt - rejectsUntil).Seconds(), (limit - rejectsUntil).Seconds())
	}
}

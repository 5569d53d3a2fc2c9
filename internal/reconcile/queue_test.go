package reconcile

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
)

// TestSlowProxyDelaysNoOther guards against head-of-line blocking in the shared update channel. While one proxy
// acknowledges nothing, the others receive their messages and reach their barriers, messages to the slow one stay
// within the in-flight window, and its session is closed after the stuck timeout.
func TestSlowProxyDelaysNoOther(t *testing.T) {
	r, now := newSettledReconciler(t, testSite(), 3, 10)
	barriersReached := 0
	messagesToSlowProxy := 0
	var disconnectedAt fleet.Time
	startedAt := now
	for i := range 800 {
		if i%20 == 0 {
			r.Apply(now, []fleet.Order{
				fleet.SetWeight{Server: 3, Weight: 0.5 + float32(i%140)/280},
				fleet.Barrier{ID: fleet.BarrierID(i + 1)},
			})
		}
		messages, events, disconnects, _ := r.NextMessages(now)
		for _, message := range messages {
			if message.Proxy == 1 {
				messagesToSlowProxy++
				continue
			}
			r.RecordAcknowledgement(now, message.Proxy, message.Sequence, nil)
		}
		for _, event := range events {
			_, reached := event.(fleet.BarrierReached)
			if reached && now < startedAt+r.stuckTimeout()-fleet.Second {
				barriersReached++
			}
		}
		if len(disconnects) > 0 {
			disconnectedAt = now
		}
		now += 10 * fleet.Millisecond
	}
	if messagesToSlowProxy > maxInFlightMessages {
		t.Errorf("%d messages sent to a proxy that acknowledges none; the in-flight window is %d",
			messagesToSlowProxy, maxInFlightMessages)
	}
	if barriersReached < 30 {
		t.Errorf("the two other proxies reached %d of about 40 barriers while one proxy was slow, want at least 30",
			barriersReached)
	}
	due := startedAt + r.stuckTimeout()
	if disconnectedAt == 0 || disconnectedAt < due || disconnectedAt > due+fleet.Second {
		t.Errorf("disconnected after %v s, want %v s to %v s", (disconnectedAt - startedAt).Seconds(),
			r.stuckTimeout().Seconds(), (r.stuckTimeout() + fleet.Second).Seconds())
	}
}

// TestUrgentChangesOvertake guards against a withdrawal that is delayed by queued changes: it is sent in the proxy's
// next message, as the first change. A queued weight is replaced by a newer one.
func TestUrgentChangesOvertake(t *testing.T) {
	r, now := newSettledReconciler(t, testSite(), 1, 40)
	var orders []fleet.Order
	for i := range 40 {
		orders = append(orders, fleet.SetWeight{Server: fleet.ServerID(i), Weight: 0.31})
	}
	r.Apply(now, orders[:20])
	r.Apply(now, orders[20:])
	r.SetEndpoints(now, changeList(fleet.ServerGone, 30))
	r.Apply(now, []fleet.Order{
		fleet.SetWeight{Server: 39, Weight: 0.91},
		fleet.WithdrawServer{Server: 30, Withdrawn: true},
	})
	now += fleet.Millisecond
	var first Message
	for first.Sequence == 0 {
		messages, _, _, _ := r.NextMessages(now)
		if len(messages) > 0 {
			first = messages[0]
		}
		now += fleet.Millisecond
	}
	if change := first.Changes[0]; change.Server != 30 || change.State != StateMaintenance {
		t.Errorf("first change is %+v, want the withdrawal of server 30", change)
	}
	r.RecordAcknowledgement(now, 0, first.Sequence, nil)
	sent := map[fleet.ServerID]int{}
	for _, change := range first.Changes {
		sent[change.Server]++
	}
	for range 200 {
		messages, _, _, _ := r.NextMessages(now)
		for _, message := range messages {
			for _, change := range message.Changes {
				sent[change.Server]++
			}
			r.RecordAcknowledgement(now, 0, message.Sequence, nil)
		}
		now += 10 * fleet.Millisecond
	}
	if classes := len(r.site.Classes); sent[39] != classes {
		t.Errorf("%d changes of server 39 were sent, want %d (one per class): the first weight was still queued",
			sent[39], classes)
	}
}

// TestBacklogAndMessagesStayBounded guards against a backlog or a message rate above the site's limits when orders
// come in faster than they can be sent. All proxies reach the desired state after the orders stop.
func TestBacklogAndMessagesStayBounded(t *testing.T) {
	site := testSite()
	site.MaxBacklog = 300
	site.MaxMessages = 8
	site.MessageWindow = 10 * fleet.Second
	r, now := newSettledReconciler(t, site, 6, 40)
	written := map[fleet.ProxyID][]fleet.Time{}
	for i := range 4000 {
		if i < 600 {
			var orders []fleet.Order
			for j := range 40 {
				weight := 0.3 + float32((i+j)%50)/100
				orders = append(orders, fleet.SetWeight{Server: fleet.ServerID(j), Weight: weight})
			}
			r.Apply(now, orders)
		}
		messages, _, _, _ := r.NextMessages(now)
		if r.Backlog() > site.MaxBacklog {
			t.Fatalf("backlog is %.0f entries, limit %.0f", r.Backlog(), site.MaxBacklog)
		}
		for _, message := range messages {
			written[message.Proxy] = append(written[message.Proxy], now)
			recent := 0
			for _, at := range written[message.Proxy] {
				if at > now-site.MessageWindow {
					recent++
				}
			}
			if recent > site.MaxMessages {
				t.Fatalf("%d messages to proxy %d within %v s, limit %d",
					recent, message.Proxy, site.MessageWindow.Seconds(), site.MaxMessages)
			}
			r.RecordAcknowledgement(now, message.Proxy, message.Sequence, nil)
		}
		now += 20 * fleet.Millisecond
	}
	if !r.Idle() {
		t.Error("reconciler is not idle after all orders")
	}
	for j := range 40 {
		proxy := r.proxies[3]
		if proxy.sent[2*j] != r.desiredEntry(proxy, int32(j), 0) {
			t.Errorf("server %d: sent %+v, want %+v", j, proxy.sent[2*j], r.desiredEntry(proxy, int32(j), 0))
		}
	}
}

// BenchmarkChangedLineToAll measures one changed entry that is sent to all proxies.
func BenchmarkChangedLineToAll(b *testing.B) {
	for _, proxies := range []int{230, 465, 930} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			site := testSite()
			site.EntriesPerSecond = 1e9
			r, now := newSettledReconciler(b, site, proxies, 700)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Apply(now, []fleet.Order{fleet.SetWeight{Server: 5, Weight: 0.5 + float32(i%2)/4}})
				runUntilIdle(r, &now)
			}
		})
	}
}

// BenchmarkFullTableToOne measures a complete table that is sent to one proxy without entries.
func BenchmarkFullTableToOne(b *testing.B) {
	site := testSite()
	site.EntriesPerSecond = 1e9
	r, now := newSettledReconciler(b, site, 1, 700)
	b.ReportAllocs()
	for b.Loop() {
		r.Join(now, 0, Snapshot{})
		r.Apply(now, []fleet.Order{fleet.AssignTable{Proxy: 0}})
		runUntilIdle(r, &now)
	}
}

// BenchmarkReturn930 measures the reconnection of 930 proxies with 700 servers, whose tables are spread over a number
// of earlier versions.
func BenchmarkReturn930(b *testing.B) {
	for _, distinct := range []int{1, 10, 300} {
		b.Run(fmt.Sprint("versions=", distinct), func(b *testing.B) {
			site := testSite()
			site.EntriesPerSecond = 1e9
			site.MaxBacklog = 1e9
			r, now := newSettledReconciler(b, site, 930, 700)
			snapshots := make([]Snapshot, 930)
			for i := range snapshots {
				for j := range 700 {
					weight := int16(128)
					if j <= i%distinct {
						weight = 100
					}
					snapshots[i].Entries = append(snapshots[i].Entries, SnapshotEntry{
						Server: fleet.ServerID(j),
						State:  EntryState{Weight: weight, State: StateReady},
					})
				}
			}
			b.ResetTimer()
			for b.Loop() {
				var assignments []fleet.Order
				for i := range snapshots {
					r.Join(now, fleet.ProxyID(i), snapshots[i])
					assignments = append(assignments, fleet.AssignTable{Proxy: fleet.ProxyID(i)})
				}
				r.Apply(now, assignments)
				runUntilIdle(r, &now)
			}
		})
	}
}

package client_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cressknot/client"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/service"
	servicerpc "cressknot/internal/service/rpc"
	"cressknot/internal/service/text"
	"cressknot/internal/tableversion"
)

// startBenchController starts a controller with 700 servers in three classes.
func startBenchController(b *testing.B) *testController {
	controller := startController(&testing.T{}, "g1", 100, 0)
	b.Cleanup(controller.stop)
	all := make([]int, 700)
	for i := range all {
		all[i] = i
	}
	controller.setOpen(1, all...)
	controller.publish(reconcile.AddEntry, reconcile.StateReady, 128, all...)
	return controller
}

// BenchmarkFanOut changes 20 servers in three classes for 5,000 watchers, which run on the same cores. An operation
// lasts until the last watcher has received the change.
func BenchmarkFanOut(b *testing.B) {
	const watchers = 5000
	for i, protocol := range protocols {
		b.Run(protocol.name, func(b *testing.B) {
			controller := startBenchController(b)
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			var received atomic.Int64
			var target atomic.Int64
			reached := make(chan struct{}, 1)
			for w := range watchers {
				done.Add(1)
				go func() {
					defer done.Done()
					time.Sleep(time.Duration(w) * time.Millisecond) // not all dials at once
					conn, err := protocol.transport.Dial(ctx, controller.addrs[i], fmt.Sprint("w", w))
					if err == nil {
						_, err = conn.Greet(ctx, service.Hello{Major: 1, Name: fmt.Sprint("w", w)})
					}
					if err != nil {
						b.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					// A watch has a connection of its own, and the sockets of one process are limited.
					if protocol.name == "runtime" {
						_ = conn.Close()
					}
					version := tableversion.NoVersion
					for ctx.Err() == nil {
						if err := conn.Watch(ctx, "a", version, func(u *service.Update) error {
							if version = u.To; !u.Heartbeat && received.Add(1) == target.Load() {
								reached <- struct{}{}
							}
							return nil
						}); ctx.Err() == nil {
							if code, _ := errorCode(err); code != service.Overloaded {
								b.Error(err)
								return
							}
							time.Sleep(time.Duration(100+w%100) * time.Millisecond) // at least the smallest RetryAfter, spread
						}
					}
				}()
			}
			for controller.hub.Watchers() < watchers && !b.Failed() {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2 * time.Second) // lets all watchers apply their first update
			var latencies []time.Duration
			for n := range b.N {
				target.Store(received.Load() + watchers)
				start := time.Now()
				servers := make([]int, 20)
				for k := range servers {
					servers[k] = (n*20 + k) % 700
				}
				controller.publish(reconcile.UpdateEntry, reconcile.StateUnchanged, int16(n%250+1), servers...)
				select {
				case <-reached:
				case <-time.After(20 * time.Second):
					b.Fatalf("%d of %d watchers received the change within 20 s",
						watchers-target.Load()+received.Load(), watchers)
				}
				latencies = append(latencies, time.Since(start))
			}
			sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms_to_last_p50")
			b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds())/1000, "ms_to_last_most")
			cancel()
			done.Wait()
		})
	}
}

// BenchmarkSizes reports the sizes in bytes, over each protocol, of a change of 20 servers in three classes and of a
// complete state of 700 servers.
func BenchmarkSizes(b *testing.B) {
	view := service.NewView("g1", "a", 1, []string{"look", "book", "issue"})
	var all []reconcile.Change
	for c := range 3 {
		for s := range 700 {
			all = append(all, reconcile.Change{
				Kind:   reconcile.AddEntry,
				Class:  fleet.ClassID(c),
				Server: fleet.ServerID(s),
				Weight: 128,
				State:  reconcile.StateReady,
			})
		}
	}
	view.Apply(all, serverNames{1000}.Lookup)
	from := view.Version()
	for c := range 3 {
		for s := range 20 {
			view.Apply(
				[]reconcile.Change{
					{Kind: reconcile.UpdateEntry, Class: fleet.ClassID(c), Server: fleet.ServerID(s), Weight: 64},
				},
				serverNames{1000}.Lookup,
			)
		}
	}
	updates := map[string]service.Update{"change": view.Since(from), "whole": view.Since(tableversion.NoVersion)}
	for name, u := range updates {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(proto.Size(servicerpc.UpdateToProto(&u))), "rpc_bytes")
				b.ReportMetric(float64(len(text.FormatUpdate(&u))), "text_bytes")
			}
		})
	}
}

// BenchmarkRequests measures handshakes with a controller over 16 concurrent connections.
func BenchmarkRequests(b *testing.B) {
	for i, protocol := range protocols {
		b.Run(protocol.name, func(b *testing.B) {
			controller := startBenchController(b)
			var conns []client.Conn
			for k := range 16 {
				conn, err := protocol.transport.Dial(context.Background(), controller.addrs[i], fmt.Sprint("c", k))
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				conns = append(conns, conn)
			}
			var mu sync.Mutex
			var latencies []time.Duration
			var next atomic.Int64
			var workers sync.WaitGroup
			start := time.Now()
			for _, conn := range conns {
				workers.Add(1)
				go func() {
					defer workers.Done()
					var own []time.Duration
					for next.Add(1) <= int64(b.N) {
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						sentAt := time.Now()
						if _, err := conn.Greet(ctx, service.Hello{Major: 1, Name: "c"}); err != nil {
							b.Error(err)
						}
						own = append(own, time.Since(sentAt))
						cancel()
					}
					mu.Lock()
					latencies = append(latencies, own...)
					mu.Unlock()
				}()
			}
			workers.Wait()
			sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99_us")
		})
	}
}

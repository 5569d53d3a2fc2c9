// Package hostile has what tests of clients that send too much, too slowly or read nothing have in common.
package hostile

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// heapInterval is the interval at which the heap is measured.
	heapInterval = 5 * time.Millisecond
	// liveHeapMetric is the size in bytes of the objects that the latest collection has found to be live.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// HeapMeter measures the largest size of the live heap, in bytes, above that at its start.
type HeapMeter struct {
	base uint64
	stop chan struct{}
	done sync.WaitGroup
	peak uint64
}

// StartHeapMeter starts to measure.
func StartHeapMeter() *HeapMeter {
	m := &HeapMeter{base: LiveHeap(), stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(heapInterval):
				m.peak = max(m.peak, LiveHeap())
			}
		}
	})
	return m
}

// Stop ends the measurement and returns the largest growth.
func (m *HeapMeter) Stop() uint64 {
	close(m.stop)
	m.done.Wait()
	return m.peak - min(m.peak, m.base)
}

// LiveHeap collects garbage and returns the size of the objects that were found to be live, in bytes. It does not count
// garbage that other goroutines make meanwhile, whose amount depends on the load of the machine.
func LiveHeap() uint64 {
	runtime.GC()
	samples := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}

package fakes

import (
	"flag"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"

	"cressknot/internal/testing/invariants"
)

var requests = flag.Int(
	"requests",
	12_000,
	"number of requests in the weight test; at 100,000 the tolerance is 2%",
)

// TestRequestsFollowWeights checks that nodes receive requests in proportion to their weights. The tolerance is 2% of
// each node's share at 100,000 requests. It grows with the inverse square root of a smaller number of requests, as
// their random variation does.
func TestRequestsFollowWeights(t *testing.T) {
	weights := []int{256, 192, 128, 224, 160}
	proxy := startProxyWithWeights(t, weights)
	client := &http.Client{}
	received := map[string]int{}
	began := time.Now()
	for i := range *requests {
		req, err := http.NewRequest(http.MethodPost, "http://"+proxy.RequestAddr, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(headerClass, "look")
		req.Header.Set(headerRequest, strconv.Itoa(i))
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		received[res.Header.Get(headerNode)]++
	}
	rate := float64(*requests) / time.Since(began).Seconds()
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	worst := 0.0
	for i, weight := range weights {
		want := float64(weight) / float64(sum) * float64(*requests)
		worst = max(worst, math.Abs(float64(received[fmt.Sprintf("n%d", i)])/want-1))
	}
	t.Logf("%d requests, %.0f per second: largest deviation from a weighted share %.2f%%", *requests, rate, 100*worst)
	if allowed := 0.02 * math.Sqrt(1e5/float64(*requests)); worst > allowed {
		t.Errorf("largest deviation from a weighted share %.2f%%, limit %.2f%%; requests by node: %v",
			100*worst, 100*allowed, received)
	}
}

// startProxyWithWeights starts a proxy and, for each weight, a node named n0, n1, and so on.
func startProxyWithWeights(t *testing.T, weights []int) *Proxy {
	t.Helper()
	watch := invariants.NewWatch()
	capacity := NodeCapacity{Cores: 64, Speed: 1, Queue: 1000, Work: map[string]time.Duration{"look": 0}}
	var entries []ListedServer
	for i := range weights {
		node := NewNode(fmt.Sprintf("n%d", i), capacity, watch, uint64(i))
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Crash)
		entries = append(entries, ListedServer{Name: node.Name, Addr: node.Addr})
	}
	setup := ProxySetup{
		Name:              "p",
		Map:               "m",
		Table:             "t",
		Runtime:           t.TempDir() + "/p.sock",
		EjectionThreshold: 3,
		Classes:           []ProxyClass{{Name: "look", Backend: "look", Deadline: 10 * time.Second}},
	}
	proxy := NewProxy(setup, entries, watch, 3)
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	for i, weight := range weights {
		proxy.Execute("set", "server", fmt.Sprintf("look/n%d", i), "weight", strconv.Itoa(weight))
	}
	return proxy
}

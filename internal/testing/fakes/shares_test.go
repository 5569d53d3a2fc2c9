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

var requests = flag.Int("requests", 12_000, "visits of the shares' test; 100,000 for the stated bound of two percent")

// TestSharesFollowWeights: the shares of visits that nodes meet match the published weights: within two percent of
// each at 100,000 visits, and as much more as chance needs at fewer.
func TestSharesFollowWeights(t *testing.T) {
	watch := invariants.NewWatch()
	weights := []int{256, 192, 128, 224, 160}
	seen := map[string]int{}
	sum := 0
	var standing []Entry
	for i, w := range weights {
		n := NewNode(fmt.Sprintf("n%d", i), Load{Cores: 64, Speed: 1, Queue: 1000, Work: map[string]time.Duration{"look": 0}}, watch, uint64(i))
		if err := n.Up(); err != nil {
			t.Fatal(err)
		}
		defer n.Crash()
		standing = append(standing, Entry{Name: n.Name, Addr: n.Addr})
		sum += w
	}
	p := NewProxy(ProxySetup{Name: "p", Map: "m", Table: "t", Runtime: t.TempDir() + "/p.sock", ShunAfter: 3,
		Classes: []ProxyClass{{Name: "look", Backend: "look", HardStop: 10 * time.Second}}}, standing, watch, 3)
	if err := p.Up(); err != nil {
		t.Fatal(err)
	}
	defer p.Down()
	for i, w := range weights {
		p.ByHand("set", "server", fmt.Sprintf("look/n%d", i), "weight", strconv.Itoa(w))
	}
	client := &http.Client{}
	began := time.Now()
	for i := range *requests {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.Visit, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Class", "look")
		req.Header.Set("X-Visit", strconv.Itoa(i))
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		seen[res.Header.Get("X-Node")]++
	}
	worst := 0.0
	for i, w := range weights {
		want := float64(w) / float64(sum) * float64(*requests)
		worst = max(worst, math.Abs(float64(seen[fmt.Sprintf("n%d", i)])/want-1))
	}
	t.Logf("%d visits, %.0f a second: the worst share is off by %.2f%%", *requests, float64(*requests)/time.Since(began).Seconds(), 100*worst)
	if most := 0.02 * math.Sqrt(1e5/float64(*requests)); worst > most {
		t.Errorf("a share is off by %.2f%%, %.2f%% may be: %v", 100*worst, 100*most, seen)
	}
}

package client

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPickByWeight checks that servers are picked in proportion to their weights.
func TestPickByWeight(t *testing.T) {
	const picks = 200_000
	weights := []int{1, 256, 40, 90, 0, 128}
	c := newTestClient(t, 0, false, weights...)
	picked := map[string]float64{}
	for range picks {
		server, err := c.Pick(0)
		if err != nil {
			t.Fatal(err)
		}
		picked[server.Name]++
	}
	sum := 0.0
	for _, weight := range weights {
		sum += float64(weight)
	}
	for i, weight := range weights {
		want := float64(weight) / sum * picks
		if got := picked[fmt.Sprint("s", i)]; math.Abs(got-want) > 5*math.Sqrt(want)+1 {
			t.Errorf("server %d of weight %d: %.0f picks, want %.0f", i, weight, got, want)
		}
	}
}

// TestPickAvoidsEjectedServers checks that a server is not picked after several consecutive failures, and that a
// server is still picked when all are ejected.
func TestPickAvoidsEjectedServers(t *testing.T) {
	weights := []int{1, 256, 40, 90, 0, 128}
	c := newTestClient(t, 0, false, weights...)
	fail := func(name string) {
		for range ejectionThreshold {
			c.servers[name].recordAttempt(c.nowNanos(), Failed, 0, nil)
		}
	}
	fail("s1")
	for range 1000 {
		if server, _ := c.Pick(0); server.Name == "s1" {
			t.Fatal("picked an ejected server")
		}
	}
	for i := range weights {
		fail(fmt.Sprint("s", i))
	}
	if server, err := c.Pick(0); err != nil || server == nil {
		t.Errorf("pick with all servers ejected: server %v, error %v", server, err)
	}
}

// TestPickFailsWithoutUsableTable checks the errors for an unknown class and for a stale table.
func TestPickFailsWithoutUsableTable(t *testing.T) {
	c := newTestClient(t, 0, false, 1)
	if _, err := c.Pick(7); !errors.Is(err, ErrNoClass) {
		t.Errorf("error %v, want %v", err, ErrNoClass)
	}
	c.config.Staleness = time.Second
	if _, err := c.Pick(0); !errors.Is(err, ErrStale) {
		t.Errorf("error %v, want %v", err, ErrStale)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{10, 700} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			weights := make([]int, servers)
			for i := range weights {
				weights[i] = 1 + rand.IntN(256)
			}
			c := newTestClient(b, 0, false, weights...)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Pick(0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

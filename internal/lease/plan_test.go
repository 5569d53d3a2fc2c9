package lease

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRankMovesOnlyWhatMustMove checks that each controller is preferred by 80 to 120 percent of an even part of the
// proxies, and that only the proxies of a controller that leaves move.
func TestRankMovesOnlyWhatMustMove(t *testing.T) {
	const proxies = 5000
	var controllers []string
	for i := range 10 {
		controllers = append(controllers, fmt.Sprint("g", i))
	}
	preferred := func(controllers []string) map[string]string {
		of := map[string]string{}
		for i := range proxies {
			name := fmt.Sprint("p", i)
			of[name] = Rank(name, controllers)[0]
		}
		return of
	}
	before := preferred(controllers)
	after := preferred(controllers[:9])
	counts := map[string]int{}
	moved := 0
	for proxy, controller := range before {
		counts[controller]++
		if after[proxy] == controller {
			continue
		}
		moved++
		if controller != "g9" {
			t.Fatalf("%s moved from %s, which did not leave", proxy, controller)
		}
	}
	for controller, count := range counts {
		if count < proxies/10*8/10 || count > proxies/10*12/10 {
			t.Errorf("%s has %d of %d proxies", controller, count, proxies)
		}
	}
	if moved != counts["g9"] {
		t.Errorf("%d proxies moved, %d belonged to the controller that left", moved, counts["g9"])
	}
}

var planControllers = []string{"governor-1", "governor-2", "governor-3", "governor-4", "governor-5"}

// largestRate returns the request rate of the busiest controller.
func largestRate(proxies []ProxyLoad, plan map[string][]string) (largest float64) {
	rates := map[string]float64{}
	for _, proxy := range proxies {
		controller := plan[proxy.Proxy][0]
		rates[controller] += proxy.RequestRate
		largest = max(largest, rates[controller])
	}
	return largest
}

// TestPlanIsEven checks for random request rates that no controller exceeds maxOverload of an even part, or half of
// the largest proxy above an even part, by more than half of the largest proxy, and that the plan does not depend on
// the order of the proxies.
func TestPlanIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var proxies []ProxyLoad
		total, largest := 0.0, 0.0
		for i := range rapid.IntRange(1, 300).Draw(t, "proxies") {
			rate := rapid.Float64Range(0.1, 20).Draw(t, "rate")
			proxies = append(proxies, ProxyLoad{fmt.Sprintf("proxy-%02d", i), rate})
			total += rate
			largest = max(largest, rate)
		}
		count := rapid.IntRange(1, 4).Draw(t, "controllers")
		plan := Plan(proxies, planControllers[:count])
		even := total / float64(count)
		limit := max(maxOverload*even, even+largest/2) + largest/2 + 1e-9
		if got := largestRate(proxies, plan); got > limit {
			t.Fatalf("one controller has %.1f requests per second; an even part is %.1f, the largest proxy has %.1f",
				got, even, largest)
		}
		slices.Reverse(proxies)
		if reversed := Plan(proxies, planControllers[:count]); !reflect.DeepEqual(plan, reversed) {
			t.Fatal("the plan depends on the order of the proxies")
		}
	})
}

// TestPlanMovesLittle checks that a joining controller moves at most half again as many proxies as it takes.
func TestPlanMovesLittle(t *testing.T) {
	var proxies []ProxyLoad
	for i := range 2000 {
		proxies = append(proxies, ProxyLoad{fmt.Sprint("p", i), float64(1 + i%7)})
	}
	before := Plan(proxies, planControllers[:4])
	after := Plan(proxies, planControllers)
	moved, taken := 0, 0
	for proxy := range before {
		if after[proxy][0] != before[proxy][0] {
			moved++
		}
		if after[proxy][0] == planControllers[4] {
			taken++
		}
	}
	t.Logf("fifth controller takes %d of 2,000 proxies, %d move in all", taken, moved)
	if moved > taken*3/2 || taken < 300 {
		t.Errorf("%d proxies move, %d of them to the new controller", moved, taken)
	}
}

// BenchmarkPlan plans 10,000 proxies for 30 controllers.
func BenchmarkPlan(b *testing.B) {
	var controllers []string
	var proxies []ProxyLoad
	for i := range 30 {
		controllers = append(controllers, fmt.Sprint("governor-", i))
	}
	for i := range 10_000 {
		proxies = append(proxies, ProxyLoad{fmt.Sprint("proxy-", i), float64(i % 9)})
	}
	for b.Loop() {
		Plan(proxies, controllers)
	}
}

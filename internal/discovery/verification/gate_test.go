package verification

import (
	"testing"

	"pgregory.net/rapid"

	"cressknot/internal/fleet"
)

const s = fleet.Second

// TestShortLists: a list of fewer than half is held, and obeyed when it is said again, or when its time is over; a whole one in
// between replaces it; small fleets and ordinary changes pass.
func TestShortLists(t *testing.T) {
	g := NewShrinkGate(3 * s)
	for _, c := range []struct {
		at          fleet.Time
		known, stay int
		digest      uint64
		want        Verdict
	}{
		{1 * s, 3, 0, 1, Take}, {2 * s, 20, 10, 2, Take}, {3 * s, 20, 9, 3, Hold}, {3*s + s/2, 20, 20, 4, Take}, // it was a part
		{5 * s, 20, 5, 5, Hold}, {5*s + s/2, 20, 5, 5, Hold}, {6 * s, 20, 5, 5, Take}, // said again, and not in one breath
		{8 * s, 20, 5, 6, Hold}, {8*s + s/2, 20, 6, 7, Hold}, {9*s + s/2, 20, 6, 8, Take}, // another one each time
	} {
		if got := g.Whole(c.at, c.known, c.stay, c.digest); got != c.want {
			t.Errorf("at %.1f s: %d of %d: verdict %d", c.at.Seconds(), c.stay, c.known, got)
		}
	}
	if obey, ask, wake := g.Due(20 * s); obey || ask || wake != 0 || g.Held != 3 || g.Better != 1 {
		t.Errorf("%v %v %d, %d held, %d better", obey, ask, wake, g.Held, g.Better)
	}
}

// TestNothingIsHeldPastItsTime: whatever lists come when, what is told binds within half the grace.
func TestNothingIsHeldPastItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now, since, asked := NewShrinkGate(3*s), s, fleet.Time(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += fleet.Time(rapid.IntRange(1, 900).Draw(t, "ms")) * fleet.Millisecond
			obey, ask, wake := g.Due(now)
			if ask {
				asked++
			}
			if asked > int(g.Held) {
				t.Fatalf("asked %d times for %d lists", asked, g.Held)
			}
			if obey {
				if now < since+3*s/2 {
					t.Fatalf("obeyed %d ms after", (now-since)/fleet.Millisecond)
				}
				since = 0
			} else if since > 0 && (wake == 0 || wake > since+3*s/2) {
				t.Fatalf("held since %d, looks again at %d", since, wake)
			}
			if rapid.Bool().Draw(t, "list") {
				switch g.Whole(now, 20, rapid.IntRange(0, 20).Draw(t, "stay"), rapid.Uint64Range(0, 3).Draw(t, "digest")) {
				case Take:
					since = 0
				case Hold:
					if since == 0 {
						since = now
					}
				}
			}
			if since > 0 && now >= since+3*s/2+900*fleet.Millisecond {
				t.Fatalf("held for %d ms", (now-since)/fleet.Millisecond)
			}
		}
	})
}

package verification

import (
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

// generation returns a stored list with entries of the given names. The value of each entry is the source.
func generation(source string, confirmedAt fleet.Time, revision uint64, size int, names ...string) Generation[string] {
	g := Generation[string]{
		Source:       source,
		ConfirmedAt:  confirmedAt,
		Revision:     revision,
		DeclaredSize: size,
		Complete:     size == len(names),
		Entries:      map[string]string{},
	}
	for _, name := range names {
		g.Entries[name] = source
	}
	return g
}

// The list that was confirmed last is chosen, and lost entries are replaced from the one before it. A list with a
// confirmation time in the future is chosen last, and one without entries never.
func TestChoose(t *testing.T) {
	const now = 100_000 * second
	for name, test := range map[string]struct {
		generations []Generation[string]
		source      string
		entries     int
		unverified  string
		notice      string
	}{
		"nothing": {},
		"empty": {
			generations: []Generation[string]{generation("a", now, 4, 0)},
			notice:      "no intact entry",
		},
		"empty, with an older list": {
			generations: []Generation[string]{generation("a", now, 4, 0), generation("b", now-second, 3, 1, "x")},
			source:      "b",
			entries:     1,
			notice:      "no intact entry",
		},
		"newest": {
			generations: []Generation[string]{
				generation("a", now-9*second, 4, 1, "x"), generation("b", now-second, 3, 1, "y")},
			source:  "b",
			entries: 1,
		},
		"confirmed at the same time, higher revision": {
			generations: []Generation[string]{generation("a", now, 3, 1, "x"), generation("b", now, 4, 1, "y")},
			source:      "b",
			entries:     1,
		},
		"last entry damaged": {
			generations: []Generation[string]{
				generation("a", now, 4, 3, "x", "y"), generation("b", now-second, 3, 2, "x", "z")},
			source:     "a",
			entries:    3,
			unverified: "z",
			notice:     "1 of 3 entries",
		},
		"last entry damaged, no older list": {
			generations: []Generation[string]{generation("a", now, 4, 3, "x", "y")},
			source:      "a",
			entries:     2,
			notice:      "1 of 3 entries",
		},
		"in the future": {
			generations: []Generation[string]{
				generation("a", now+hour, 9, 1, "x"), generation("b", now-second, 3, 1, "y")},
			source:  "b",
			entries: 1,
		},
		"only one, in the future": {
			generations: []Generation[string]{generation("a", now+hour, 9, 1, "x")},
			source:      "a",
			entries:     1,
			notice:      "in the future",
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := ChooseGeneration(now, test.generations)
			if ok != (test.source != "") || got.Source != test.source || len(got.Entries) != test.entries {
				t.Errorf("chosen: %v, %+v, want %d entries of %q", ok, got, test.entries, test.source)
			}
			if len(got.Unverified) != min(1, len(test.unverified)) ||
				test.unverified != "" && !got.Unverified[test.unverified] {
				t.Errorf("unverified %v, want %q", got.Unverified, test.unverified)
			}
			notices := strings.Join(got.Notices, ";")
			if !strings.Contains(notices, test.notice) || test.notice == "" && notices != "" {
				t.Errorf("notices %q, want %q", notices, test.notice)
			}
		})
	}
}

func TestTrustFallsWithAge(t *testing.T) {
	last := 2.0
	for age := fleet.Time(0); age < 2*day; age += 10 * minute {
		factor := UnverifiedWeightFactor(age)
		if factor > last || factor < minUnverifiedFactor {
			t.Errorf("age %.0f s: factor %v after %v", age.Seconds(), factor, last)
			continue
		}
		last = factor
	}
	if UnverifiedWeightFactor(30*second) != 1 || UnverifiedWeightFactor(day) != minUnverifiedFactor ||
		UnverifiedWeightFactor(2*hour) > 0.26 {
		t.Error(UnverifiedWeightFactor(30*second), UnverifiedWeightFactor(2*hour), UnverifiedWeightFactor(day))
	}
}

func TestAgeAllowsForClockSkew(t *testing.T) {
	if age, known := Age(100*second, 130*second); age != 0 || !known {
		t.Error(age, known)
	}
	if _, known := Age(100*second, 200*second); known {
		t.Error("a list confirmed in the future has a known age")
	}
}

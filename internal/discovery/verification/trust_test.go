package verification

import (
	"strings"
	"testing"

	"cressknot/internal/fleet"
)

func gen(from string, at fleet.Time, rev uint64, stated int, names ...string) Generation[string] {
	g := Generation[string]{Source: from, ConfirmedAt: at, Revision: rev, DeclaredSize: stated, Complete: stated == len(names), Entries: map[string]string{}}
	for _, n := range names {
		g.Entries[n] = from
	}
	return g
}

// TestChoose: the list that was confirmed last counts; lost entries are filled from the one before, as doubtful ones; empty ones
// and ones from the future come last.
func TestChoose(t *testing.T) {
	now := 100_000 * s
	for name, c := range map[string]struct {
		kept     []Generation[string]
		from     string
		entries  int
		doubtful string
		says     string
	}{
		"nothing":             {},
		"empty":               {kept: []Generation[string]{gen("a", now, 4, 0)}, says: "no entry"},
		"empty, and older":    {kept: []Generation[string]{gen("a", now, 4, 0), gen("b", now-s, 3, 1, "x")}, from: "b", entries: 1, says: "no entry"},
		"newest":              {kept: []Generation[string]{gen("a", now-9*s, 4, 1, "x"), gen("b", now-s, 3, 1, "y")}, from: "b", entries: 1},
		"at once, higher rev": {kept: []Generation[string]{gen("a", now, 3, 1, "x"), gen("b", now, 4, 1, "y")}, from: "b", entries: 1},
		"last entry damaged":  {kept: []Generation[string]{gen("a", now, 4, 3, "x", "y"), gen("b", now-s, 3, 2, "x", "z")}, from: "a", entries: 3, doubtful: "z", says: "1 of 3 entries"},
		"damaged, none other": {kept: []Generation[string]{gen("a", now, 4, 3, "x", "y")}, from: "a", entries: 2, says: "1 of 3 entries"},
		"from the future":     {kept: []Generation[string]{gen("a", now+3600*s, 9, 1, "x"), gen("b", now-s, 3, 1, "y")}, from: "b", entries: 1},
		"only the future":     {kept: []Generation[string]{gen("a", now+3600*s, 9, 1, "x")}, from: "a", entries: 1, says: "from the future"},
	} {
		got, ok := Choose(now, c.kept)
		if ok != (c.from != "") || got.Source != c.from || len(got.Entries) != c.entries || len(got.Unverified) != min(1, len(c.doubtful)) ||
			c.doubtful != "" && !got.Unverified[c.doubtful] || !strings.Contains(strings.Join(got.Notices, ";"), c.says) || c.says == "" && len(got.Notices) > 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestAges: trust falls with age and never rises; a clock that is a little behind makes no list old.
func TestAges(t *testing.T) {
	last := 2.0
	for age := fleet.Time(0); age < 48*3600*s; age += 600 * s {
		if is := Trust(age); is > last || is < leastTrust {
			t.Errorf("%.0f s: %v after %v", age.Seconds(), is, last)
		} else {
			last = is
		}
	}
	if Trust(30*s) != 1 || Trust(24*3600*s) != leastTrust || Trust(2*3600*s) > 0.26 {
		t.Error(Trust(30*s), Trust(2*3600*s), Trust(24*3600*s))
	}
	if age, known := Age(100*s, 130*s); age != 0 || !known {
		t.Error(age, known)
	}
	if _, known := Age(100*s, 200*s); known {
		t.Error("a list from the future has an age")
	}
}

package verification

import (
	"fmt"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	freshFor   = 60 * fleet.Second        // a list confirmed so shortly ago is as good as told now: a restart takes seconds
	halfLife   = 3600 * fleet.Second      // of an older one: fleets are renewed within a day, so after one its names are worth least
	leastTrust = 0.05                     // of a name of any age: it may still be tried
	skewMost   = 60 * fleet.Second        // by which clocks of one place may differ: a list of later than that has no age
	ConfirmGap = 30 * fleet.Second        // between two notes on disk that the list still stands: half of what counts as fresh
	LookAgain  = 20 * fleet.Second        // at a list's file whose folder told of nothing: some file systems tell nothing at all
	unknownAge = 24 * 3600 * fleet.Second // what staff are told then
)

// Age gives how long ago a list was confirmed, on a clock that may have been set since. One from the future has no age that
// can be told, and counts as old.
func Age(now, confirmed fleet.Time) (age fleet.Time, known bool) {
	if confirmed <= 0 || confirmed > now+skewMost {
		return unknownAge, false
	}
	return max(0, now-confirmed), true
}

// Trust gives what a name of a list of an age is worth before anything is known of it: from 1, falling by half each halfLife.
func Trust(age fleet.Time) float64 {
	if age <= freshFor {
		return 1
	}
	return max(leastTrust, math.Exp2(-(age-freshFor).Seconds()/halfLife.Seconds()))
}

// Generation is a list as it was kept, with what its head says of it.
type Generation[T any] struct {
	Source       string     // for staff
	ConfirmedAt  fleet.Time // when its source confirmed it last
	Revision     uint64
	DeclaredSize int          // entries by its head
	Complete     bool         // its checksum as a whole holds
	Entries      map[string]T // those that can be believed, by name
}

// Chosen is the list to start from.
type Chosen[T any] struct {
	Generation[T]
	Unverified map[string]bool // taken from an older list in place of entries that were lost: may be gone since
	Notices    []string        // what staff should know
}

// Choose takes the list that was confirmed last, whoever kept it. Entries that it lost may be among those that an older one
// has beside it: these are taken too, as doubtful ones. One without entries is no list to start from.
func Choose[T any](now fleet.Time, kept []Generation[T]) (chosen Chosen[T], ok bool) {
	kept = slices.Clone(kept)
	usable := func(g Generation[T]) fleet.Time { // one from the future comes last: anything else is known better
		if _, known := Age(now, g.ConfirmedAt); !known {
			return 0
		}
		return g.ConfirmedAt
	}
	slices.SortStableFunc(kept, func(a, b Generation[T]) int {
		if x, y := usable(a), usable(b); x != y {
			return int(min(1, max(-1, y-x)))
		}
		return int(min(1, max(-1, int64(b.Revision)-int64(a.Revision))))
	})
	for _, g := range kept {
		if len(g.Entries) == 0 {
			if g.DeclaredSize > 0 || g.Revision > 0 {
				chosen.Notices = append(chosen.Notices, fmt.Sprintf("%s: the list of rev %d has no entry that can be used", g.Source, g.Revision))
			}
			continue
		}
		lost := g.DeclaredSize - len(g.Entries)
		if !ok {
			ok, chosen.Generation, chosen.Unverified = true, g, map[string]bool{}
			if !g.Complete || lost != 0 {
				chosen.Notices = append(chosen.Notices, fmt.Sprintf("%s: %d of %d entries of the list of rev %d are damaged; the rest is used", g.Source, max(0, lost), g.DeclaredSize, g.Revision))
			}
			if _, known := Age(now, g.ConfirmedAt); !known {
				chosen.Notices = append(chosen.Notices, fmt.Sprintf("%s: the list of rev %d is from the future: its age can't be told, it counts as old", g.Source, g.Revision))
			}
			if lost <= 0 {
				return chosen, true
			}
			own := g.Entries
			chosen.Entries = make(map[string]T, len(own))
			for name, e := range own {
				chosen.Entries[name] = e
			}
			continue
		}
		for name, e := range g.Entries {
			if _, there := chosen.Entries[name]; !there {
				chosen.Entries[name], chosen.Unverified[name] = e, true
			}
		}
		if n := len(chosen.Unverified); n > 0 {
			chosen.Notices = append(chosen.Notices, fmt.Sprintf("%s: %d entries are taken from the list of rev %d, as they may be among the damaged ones", g.Source, n, g.Revision))
		}
		return chosen, true
	}
	return chosen, ok
}

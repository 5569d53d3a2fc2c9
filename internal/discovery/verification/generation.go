package verification

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

// Generation is a stored list, with what its header states.
type Generation[T any] struct {
	Source       string     // where it is stored, for operators
	ConfirmedAt  fleet.Time // when the list's source last confirmed it
	Revision     uint64
	DeclaredSize int          // number of entries by the header
	Complete     bool         // the checksum of all entries is right
	Entries      map[string]T // the intact ones, by name
}

// lost returns the number of entries that are missing.
func (g *Generation[T]) lost() int { return g.DeclaredSize - len(g.Entries) }

// Chosen is the list to start from.
type Chosen[T any] struct {
	Generation[T]
	Unverified map[string]bool // entries that come from an older list, in place of lost ones; their servers may be gone
	Notices    []string        // for operators
}

// Choose returns the list that was confirmed last, wherever it is stored. Where entries of it are lost, those of
// the next older list are added, as they may be among the lost ones. A list without entries is not chosen.
func Choose[T any](now fleet.Time, generations []Generation[T]) (chosen Chosen[T], ok bool) {
	for _, generation := range newestFirst(now, generations) {
		switch {
		case len(generation.Entries) == 0:
			chosen.skipEmpty(generation)
		case !ok:
			ok = true
			chosen.start(now, generation)
			if generation.lost() <= 0 {
				return chosen, true
			}
			chosen.Entries = maps.Clone(chosen.Entries)
		default:
			chosen.addMissing(generation)
			return chosen, true
		}
	}
	return chosen, ok
}

// newestFirst sorts by the time of confirmation, then by revision. A list from the future comes last, as any other
// is known better.
func newestFirst[T any](now fleet.Time, generations []Generation[T]) []Generation[T] {
	confirmedAt := func(g Generation[T]) fleet.Time {
		if _, known := Age(now, g.ConfirmedAt); !known {
			return 0
		}
		return g.ConfirmedAt
	}
	sorted := slices.Clone(generations)
	slices.SortStableFunc(sorted, func(a, b Generation[T]) int {
		return cmp.Or(cmp.Compare(confirmedAt(b), confirmedAt(a)), cmp.Compare(b.Revision, a.Revision))
	})
	return sorted
}

func (c *Chosen[T]) notice(format string, args ...any) {
	c.Notices = append(c.Notices, fmt.Sprintf(format, args...))
}

func (c *Chosen[T]) skipEmpty(g Generation[T]) {
	if g.DeclaredSize > 0 || g.Revision > 0 {
		c.notice("%s: the list of revision %d has no entry that can be used", g.Source, g.Revision)
	}
}

// start chooses a list.
func (c *Chosen[T]) start(now fleet.Time, g Generation[T]) {
	c.Generation = g
	c.Unverified = map[string]bool{}
	if !g.Complete || g.lost() != 0 {
		c.notice("%s: %d of %d entries of the list of revision %d are damaged; the rest is used",
			g.Source, max(0, g.lost()), g.DeclaredSize, g.Revision)
	}
	if _, known := Age(now, g.ConfirmedAt); !known {
		c.notice("%s: the list of revision %d is from the future: its age is not known, it counts as old",
			g.Source, g.Revision)
	}
}

// addMissing adds the entries of an older list that the chosen one does not hold.
func (c *Chosen[T]) addMissing(older Generation[T]) {
	for name, entry := range older.Entries {
		if _, present := c.Entries[name]; !present {
			c.Entries[name] = entry
			c.Unverified[name] = true
		}
	}
	if count := len(c.Unverified); count > 0 {
		c.notice("%s: %d entries are taken from the list of revision %d, as they may be among the damaged ones",
			older.Source, count, older.Revision)
	}
}

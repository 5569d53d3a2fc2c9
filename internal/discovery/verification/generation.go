package verification

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
)

// Generation is a stored list together with the data of its header.
type Generation[T any] struct {
	Source       string     // where the list is stored, such as a file path; shown to operators
	ConfirmedAt  fleet.Time // when the endpoint source last confirmed the list
	Revision     uint64
	DeclaredSize int          // number of entries according to the header
	Complete     bool         // the checksum over all entries matches
	Entries      map[string]T // the intact entries, by name
}

// lost returns the number of declared entries that are not intact. Negative: there are more entries than declared.
func (g *Generation[T]) lost() int { return g.DeclaredSize - len(g.Entries) }

// ChosenGeneration is the list to start from, as selected by ChooseGeneration.
type ChosenGeneration[T any] struct {
	Generation[T]
	Unverified map[string]bool // names of entries added from an older list; these servers may be gone
	Notices    []string        // messages for operators
}

// ChooseGeneration returns the list that was confirmed last. If some of its entries are lost, entries that only the
// next older list contains are added, as the lost ones may be among them. A list without intact entries is never
// chosen; ok is false if there is no other.
func ChooseGeneration[T any](now fleet.Time, generations []Generation[T]) (chosen ChosenGeneration[T], ok bool) {
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

// newestFirst sorts by the time of confirmation, then by revision, both descending. A list whose confirmation time is
// unknown or in the future comes last, as the age of any other list is known.
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

// notice adds a message for operators.
func (c *ChosenGeneration[T]) notice(format string, args ...any) {
	c.Notices = append(c.Notices, fmt.Sprintf(format, args...))
}

// skipEmpty reports that a stored list has no intact entry.
func (c *ChosenGeneration[T]) skipEmpty(g Generation[T]) {
	if g.DeclaredSize > 0 || g.Revision > 0 {
		c.notice("%s: list revision %d has no intact entry", g.Source, g.Revision)
	}
}

// start chooses a list, and reports lost entries and an unknown age.
func (c *ChosenGeneration[T]) start(now fleet.Time, g Generation[T]) {
	c.Generation = g
	c.Unverified = map[string]bool{}
	if !g.Complete || g.lost() != 0 {
		c.notice("%s: list revision %d: %d of %d entries are damaged; using the others",
			g.Source, g.Revision, max(0, g.lost()), g.DeclaredSize)
	}
	if _, known := Age(now, g.ConfirmedAt); !known {
		c.notice("%s: list revision %d has no valid confirmation time, or one in the future; treating it as old",
			g.Source, g.Revision)
	}
}

// addMissing adds the entries of an older list that the chosen list does not contain.
func (c *ChosenGeneration[T]) addMissing(older Generation[T]) {
	for name, entry := range older.Entries {
		if _, present := c.Entries[name]; !present {
			c.Entries[name] = entry
			c.Unverified[name] = true
		}
	}
	if count := len(c.Unverified); count > 0 {
		c.notice("%s: added %d entries of list revision %d, as the damaged entries may be among them",
			older.Source, count, older.Revision)
	}
}

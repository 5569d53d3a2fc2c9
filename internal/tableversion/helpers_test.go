package tableversion

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/properties"
)

// TestMain fixes the seed of property tests, so that CI results are reproducible.
func TestMain(m *testing.M) { properties.RunFixed(m, 5, 3000) }

func serverName(id fleet.ServerID) string { return fmt.Sprint("n", id) }

func namedEntries(entries []Entry) (named []NamedEntry) {
	for _, entry := range entries {
		named = append(named, NamedEntry{serverName(entry.Server), entry.Weight})
	}
	return named
}

func weightsByName(entries []Entry) map[string]int {
	weights := map[string]int{}
	for _, entry := range entries {
		weights[serverName(entry.Server)] = entry.Weight
	}
	return weights
}

// excludeNone allows every server in a rollback.
func excludeNone(fleet.ServerID) string { return "" }

// everyServerGone allows no server in a rollback.
func everyServerGone(fleet.ServerID) string { return "gone" }

package tableversion

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"cressknot/internal/fleet"
)

// TestMain fixes the seed and number of checks, so that each CI run has the same result. The flags -rapid.seed and
// -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

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

package ingest

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets defaults for the flags of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

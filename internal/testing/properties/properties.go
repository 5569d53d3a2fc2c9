// Package properties fixes the seeds of property tests, so that each run has the same result.
package properties

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// RunFixed runs the tests of a package with a fixed seed and number of checks, and ends the process. It is called by
// TestMain. The flags -rapid.seed and -rapid.checks override the values.
func RunFixed(m *testing.M, seed, checks int) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	} {
		if !set[name] {
			_ = flag.Set(name, value) // fails only for a flag that does not exist
		}
	}
	os.Exit(m.Run())
}

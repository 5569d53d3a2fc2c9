package ingest

import (
	"testing"

	"cressknot/internal/testing/properties"
)

// TestMain fixes the seed of property tests, so that CI results are reproducible.
func TestMain(m *testing.M) { properties.RunFixed(m, 7, 400) }

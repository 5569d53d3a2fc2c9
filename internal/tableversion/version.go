package tableversion

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	epochBase = 36
	// maxVersionText bounds the text of a version, in bytes.
	maxVersionText = 40
)

// Version orders tables: by the epoch of the controller that made them, then by a counter. A controller that starts
// or takes over later has the larger epoch, so that its versions come after all earlier ones.
type Version struct {
	Epoch uint64 `json:"Epoch"` // start of the controller, in nanoseconds of the wall clock
	Count uint64 `json:"Count"` // from 1
}

// NoVersion is the version of a proxy that has no table of any controller.
var NoVersion Version

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Count, other.Count))
}

// Next returns the version after v. Where the counter is used up, it begins a new epoch.
func (v Version) Next() Version {
	if v.Count == math.MaxUint64 {
		return Version{v.Epoch + 1, 1}
	}
	return Version{v.Epoch, v.Count + 1}
}

// String returns the version as EPOCH.COUNT, the epoch in base 36.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, epochBase) + "." + strconv.FormatUint(v.Count, 10)
}

// ParseVersion parses what String returns.
func ParseVersion(text string) (Version, error) {
	epochText, countText, found := strings.Cut(text, ".")
	epoch, epochErr := strconv.ParseUint(epochText, epochBase, 64)
	count, countErr := strconv.ParseUint(countText, 10, 64)
	if !found || epochErr != nil || countErr != nil || len(text) > maxVersionText {
		return NoVersion, fmt.Errorf("invalid version %.40q: want EPOCH.COUNT", text)
	}
	return Version{epoch, count}, nil
}

package tableversion

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	epochBase = 36 // number base of the epoch in text
	// maxVersionText is the maximum length of a version in text, in bytes.
	maxVersionText = 40
)

// Version identifies a state of a table. Versions are ordered by the epoch of the controller that made them, then by a
// counter. A controller that starts or takes over later has a larger epoch, so its versions are newer than all earlier
// ones.
type Version struct {
	Epoch uint64 `json:"Epoch"` // wall clock time at the start of the controller, in nanoseconds
	Count uint64 `json:"Count"` // from 1
}

// NoVersion is the version of a follower that has no table yet. A delta from it is a complete table.
var NoVersion Version

// Compare returns -1 if v is older than other, 0 if they are equal and 1 if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Count, other.Count))
}

// Next returns the version after v. At the maximum count it starts the next epoch at count 1.
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

// ParseVersion parses a version in the form of String, EPOCH.COUNT. A text of more than 40 bytes is an error.
func ParseVersion(text string) (Version, error) {
	epochText, countText, found := strings.Cut(text, ".")
	epoch, epochErr := strconv.ParseUint(epochText, epochBase, 64)
	count, countErr := strconv.ParseUint(countText, 10, 64)
	if !found || epochErr != nil || countErr != nil || len(text) > maxVersionText {
		return NoVersion, fmt.Errorf("invalid version %.40q: want EPOCH.COUNT", text)
	}
	return Version{epoch, count}, nil
}

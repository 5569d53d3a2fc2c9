package lease

import (
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// Suffixes of stored values. Controllers of other versions parse them.
const (
	retiredSuffix = ".retired"
	manualSuffix  = ".hand"
)

// epochBase is the numeric base of stored epochs.
const epochBase = 36

// Entry is the lease entry of one controller in the map of a proxy, together with its request for the lease, which is
// stored under a key of its own.
type Entry struct {
	Controller    string
	Epoch         uint64 // epoch of its takeover; 0: it holds no lease
	Heartbeat     uint64 // number of heartbeats since the takeover
	RequestCount  uint64 // number of its requests for the lease; 0: none
	Retired       bool   // it takes or keeps the lease only while no other controller does
	Manual        bool   // operators assigned the lease to it: others request it only on behalf of operators
	ManualRequest bool   // its request is on behalf of operators
}

// String returns the stored value of an entry: EPOCH.BEAT, the epoch in base 36 and the heartbeat count in base 10,
// followed by a suffix for a retired controller and one for a lease that operators assigned. Requests are not part of
// it.
func (e Entry) String() string {
	text := strconv.FormatUint(e.Epoch, epochBase) + "." + strconv.FormatUint(e.Heartbeat, 10)
	if e.Retired {
		text += retiredSuffix
	}
	if e.Manual {
		text += manualSuffix
	}
	return text
}

// ParseEntry parses the stored value of a controller's entry. An invalid value gives an entry that holds no lease,
// regardless of who wrote it.
func ParseEntry(controller, value string) Entry {
	value, manual := strings.CutSuffix(value, manualSuffix)
	value, retired := strings.CutSuffix(value, retiredSuffix)
	epochText, heartbeatText, found := strings.Cut(value, ".")
	epoch, epochErr := strconv.ParseUint(epochText, epochBase, 64)
	heartbeat, heartbeatErr := strconv.ParseUint(heartbeatText, 10, 64)
	if !found || epochErr != nil || heartbeatErr != nil {
		return Entry{Controller: controller}
	}
	return Entry{Controller: controller, Epoch: epoch, Heartbeat: heartbeat, Retired: retired, Manual: manual}
}

// ParseRequest parses the stored value of a request for the lease: the number of requests so far, and whether operators
// want the controller to hold the lease. An invalid value gives 0, which is no request.
func ParseRequest(value string) (count uint64, manual bool) {
	value, manual = strings.CutSuffix(value, manualSuffix)
	count, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, false
	}
	return count, manual
}

// Holder returns the entry with the highest epoch, which holds the lease. Its epoch is 0 if no controller does.
func Holder(entries []Entry) (holder Entry) {
	for _, entry := range entries {
		if entry.Epoch > holder.Epoch {
			holder = entry
		}
	}
	return holder
}

// NextEpoch returns an epoch higher than all stored ones: the wall clock if it is higher, otherwise the highest stored
// epoch plus one.
func NextEpoch(now fleet.Time, entries []Entry) uint64 {
	return max(uint64(max(1, now)), Holder(entries).Epoch+1)
}

// HoldsLease reports whether a controller's takeover of the given epoch holds the lease. After a takeover, the entries
// must have been read after all other sessions at the proxy were ended.
func HoldsLease(controller string, epoch uint64, entries []Entry) bool {
	holder := Holder(entries)
	return holder.Controller == controller && holder.Epoch == epoch
}

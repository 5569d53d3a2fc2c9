package lease

import (
	"strconv"
	"strings"

	"cressknot/internal/fleet"
)

// Suffixes of stored values.
const (
	retiredSuffix = ".retired"
	manualSuffix  = ".hand"
)

const epochBase = 36

// Entry is what a controller has stored at a proxy.
type Entry struct {
	Controller string
	Epoch      uint64 // of its takeover; 0: it has no lease
	Heartbeat  uint64 // counts its heartbeats
	Want       uint64 // counts its requests for the lease; 0: none
	Retired    bool   // it holds the lease only because no other controller does
	Manual     bool   // operators gave it the lease: no other controller requests it
	WantManual bool   // operators want it to have the lease
}

// String returns the stored value of an entry: EPOCH.BEAT, the epoch in base 36, with suffixes for a retired
// controller and for one that operators gave the lease.
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

// ParseEntry parses the stored value of a controller's entry. An invalid value holds no lease, whoever wrote it.
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

// ParseWant parses the stored value that requests a lease. An invalid value requests nothing.
func ParseWant(value string) (count uint64, manual bool) {
	value, manual = strings.CutSuffix(value, manualSuffix)
	count, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, false
	}
	return count, manual
}

// Holder returns the entry that holds the lease, with epoch 0 for none.
func Holder(entries []Entry) (holder Entry) {
	for _, entry := range entries {
		if entry.Epoch > holder.Epoch {
			holder = entry
		}
	}
	return holder
}

// NextEpoch returns an epoch after all that are stored: the wall clock if that is.
func NextEpoch(now fleet.Time, entries []Entry) uint64 {
	return max(uint64(max(1, now)), Holder(entries).Epoch+1)
}

// Wins reports, from the entries read after all other sessions were ended, whether a takeover succeeded.
func HoldsLease(controller string, epoch uint64, entries []Entry) bool {
	holder := Holder(entries)
	return holder.Controller == controller && holder.Epoch == epoch
}

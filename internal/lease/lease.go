package lease

import (
	"cmp"
	"slices"
	"strconv"

	"cressknot/internal/fleet"
)

const (
	// CheckInterval is the time between two reads of a proxy's entries, and between two heartbeats.
	CheckInterval = fleet.Second
	// leaseDuration is how long a lease stays valid without a heartbeat: five missed ones, as many as a restart may
	// cost.
	leaseDuration = 5 * fleet.Second
	// rankDelay is the additional delay before a takeover per controller of a better rank, which should take over
	// first.
	rankDelay = 2 * fleet.Second
	// minHoldDuration is how long a lease is held before it is handed over to a preferred controller, so that
	// controllers that restart repeatedly do not move proxies back and forth.
	minHoldDuration = 10 * fleet.Second
)

// Action is what a controller must do next about the lease of a proxy.
type Action uint8

// The actions. Check returns the first three, Renew the others.
const (
	ActionWait    Action = iota // do not take the lease: check again
	ActionRequest               // as ActionWait, and store a request for the lease
	ActionClaim                 // begin a takeover
	ActionKeep                  // keep the lease
	ActionRelease               // hand the lease over: after the messages already sent, store ReleaseEntry; send no more
	ActionYield                 // another controller took the lease over: send nothing more
)

// heartbeat is the heartbeat count of a holder, and when it was first read on this controller's clock.
type heartbeat struct {
	count uint64
	at    fleet.Time
}

// Lease runs one controller's side of the lease protocol at one proxy. It is not safe for concurrent use.
type Lease struct {
	self   string
	ranked []string // controllers that may serve the proxy, in order of preference

	// Set by operators.
	retired bool
	manual  bool // this controller should hold the lease whatever its rank

	// While another controller holds the lease.
	freeSince        fleet.Time           // since when the proxy has no holder; 0: it has one
	holderHeartbeats map[uint64]heartbeat // latest heartbeat of the holder, by epoch
	requestCount     uint64
	hasRequested     bool // requested the lease since it last held it

	// While this controller holds the lease or takes it over.
	epoch        uint64 // epoch of the takeover; 0: none
	heldSince    fleet.Time
	heartbeats   uint64
	lastRequests map[string]uint64 // latest request count, by controller
	handingOver  bool              // hand over without waiting for a request

	lastHolder   Entry
	lastHolderAt fleet.Time // when a change of lastHolder was last read
}

// NewLease returns the lease state of controller self at a proxy, without a lease. ranked lists all controllers that
// may serve the proxy in order of preference, as Plan returns them.
func NewLease(self string, ranked []string) *Lease {
	return &Lease{
		self:             self,
		ranked:           ranked,
		holderHeartbeats: map[uint64]heartbeat{},
		lastRequests:     map[string]uint64{},
	}
}

// SetRetired makes the controller hand the lease over and take it only while no other controller does, until one
// requests it. SetRetired(false) ends that.
func (l *Lease) SetRetired(on bool) {
	l.retired = on
	l.handingOver = on && l.heldSince > 0
}

// SetManual makes the controller request and keep the lease whatever its rank, on behalf of operators.
// SetManual(false) ends that.
func (l *Lease) SetManual(on bool) { l.manual = on }

// LastHolder returns the entry of the holder as of the last read, and when a change of it was last read. The entry has
// epoch 0 if there is no holder.
func (l *Lease) LastHolder() (holder Entry, changedAt fleet.Time) {
	return l.lastHolder, l.lastHolderAt
}

// Epoch returns the epoch of the takeover that is in progress or has succeeded, 0 if there is none.
func (l *Lease) Epoch() uint64 { return l.epoch }

func (l *Lease) recordHolder(now fleet.Time, entries []Entry) {
	if holder := Holder(entries); holder != l.lastHolder {
		l.lastHolder = holder
		l.lastHolderAt = now
	}
}

// rank returns the rank of a controller, 0 for the preferred one. This controller ranks last while it is retired, and
// so do unknown ones.
func (l *Lease) rank(controller string) int {
	if l.retired && controller == l.self {
		return len(l.ranked)
	}
	if at := slices.Index(l.ranked, controller); at >= 0 {
		return at
	}
	return len(l.ranked)
}

// Check decides from the entries what to do about a proxy whose lease this controller does not hold, and when to check
// again.
func (l *Lease) Check(now fleet.Time, entries []Entry) (action Action, checkAt fleet.Time) {
	l.recordHolder(now, entries)
	holder := Holder(entries)
	if holder.Epoch == 0 || holder.Controller == l.self { // free, or held by this controller before it restarted
		return l.checkFree(now, holder, entries)
	}
	l.freeSince = 0
	if now >= l.expiry(now, holder) {
		return ActionClaim, now
	}
	preferred := l.rank(l.self) < l.rank(holder.Controller) || holder.Retired && !l.retired
	if l.manual || !holder.Manual && preferred {
		return ActionRequest, now + CheckInterval
	}
	return ActionWait, now + CheckInterval
}

// checkFree decides about a proxy that has no holder, or whose holder is an earlier process of this controller.
// Controllers of a better rank get the chance to take over first.
func (l *Lease) checkFree(now fleet.Time, holder Entry, entries []Entry) (action Action, checkAt fleet.Time) {
	l.freeSince = cmp.Or(l.freeSince, now)
	delay := rankDelay * fleet.Time(l.controllersAhead(entries))
	if l.manual {
		delay = 0
	} else if slices.ContainsFunc(entries, func(entry Entry) bool {
		return entry.ManualRequest && entry.Controller != l.self
	}) {
		delay += rankDelay // the proxy is being handed over to that controller
	}
	if holder.Controller == l.self && !l.retired || now >= l.freeSince+delay {
		return ActionClaim, now
	}
	return ActionWait, min(now+CheckInterval, l.freeSince+delay)
}

// expiry returns when this controller may take the lease over from another one: leaseDuration after its last
// heartbeat, and later for each controller of a better rank.
func (l *Lease) expiry(now fleet.Time, holder Entry) fleet.Time {
	last, known := l.holderHeartbeats[holder.Epoch]
	if !known || last.count != holder.Heartbeat {
		clear(l.holderHeartbeats)
		last = heartbeat{holder.Heartbeat, now}
		l.holderHeartbeats[holder.Epoch] = last
	}
	before := l.rank(l.self)
	if l.rank(holder.Controller) < before {
		before-- // the holder is presumed dead and takes nothing over
	}
	return last.at + leaseDuration + rankDelay*fleet.Time(before)
}

// controllersAhead counts the controllers that may take a free proxy before this one: those of a better rank that have
// not announced that they stop or retire. It is 0 if this controller has requested the lease and none of a better rank
// has.
func (l *Lease) controllersAhead(entries []Entry) (count int) {
	rank := l.rank(l.self)
	preferredRequests := false
	leaving := map[string]bool{}
	for _, entry := range entries {
		leaving[entry.Controller] = entry.Retired && entry.Epoch == 0
		if entry.RequestCount > 0 && l.rank(entry.Controller) < rank {
			preferredRequests = true
		}
	}
	if l.hasRequested && !preferredRequests {
		return 0
	}
	for i, controller := range l.ranked {
		if i < rank && controller != l.self && !leaving[controller] {
			count++
		}
	}
	return count
}

// NextRequest returns the value to store as the next request for the lease.
func (l *Lease) NextRequest() string {
	l.requestCount++
	l.hasRequested = true
	value := strconv.FormatUint(l.requestCount, 10)
	if l.manual {
		value += manualSuffix
	}
	return value
}

// BeginTakeover starts a takeover with a new epoch and returns the entry to store.
func (l *Lease) BeginTakeover(now fleet.Time, entries []Entry) Entry {
	l.epoch = NextEpoch(now, entries)
	l.heartbeats = 1
	return l.entry()
}

// ConfirmTakeover reports whether the takeover succeeded. The entries must have been read after all other sessions at
// the proxy were ended. A takeover that lost to another one is dropped.
func (l *Lease) ConfirmTakeover(now fleet.Time, entries []Entry) bool {
	if !HoldsLease(l.self, l.epoch, entries) {
		l.Drop()
		return false
	}
	l.heldSince = now
	l.hasRequested = false
	clear(l.lastRequests)
	return true
}

// NextHeartbeat counts one more heartbeat and returns the entry to store for it.
func (l *Lease) NextHeartbeat() Entry {
	l.heartbeats++
	return l.entry()
}

func (l *Lease) entry() Entry {
	return Entry{Controller: l.self, Epoch: l.epoch, Heartbeat: l.heartbeats, Retired: l.retired, Manual: l.manual}
}

// Renew decides, from the entries read with a heartbeat, whether to keep the lease, to hand it over or to yield it to
// another controller. It is handed over only as fast as the limiter permits.
func (l *Lease) Renew(now fleet.Time, entries []Entry, handovers *HandoverLimiter) Action {
	l.recordHolder(now, entries)
	if !HoldsLease(l.self, l.epoch, entries) {
		return ActionYield
	}
	if l.handingOver && handovers.Allow(now) {
		return ActionRelease
	}
	for _, entry := range entries {
		if !l.isLiveRequest(entry) {
			continue
		}
		if (entry.ManualRequest || now >= l.heldSince+minHoldDuration) && handovers.Allow(now) {
			return ActionRelease
		}
	}
	return ActionKeep
}

// isLiveRequest reports whether an entry is a current request of a controller that should hold the lease instead. The
// request must have changed since the last read: a constant one may be left over from a controller that is gone.
func (l *Lease) isLiveRequest(entry Entry) bool {
	preferred := !l.manual && l.rank(entry.Controller) < l.rank(l.self)
	if entry.RequestCount == 0 || !entry.ManualRequest && !preferred {
		return false
	}
	last, known := l.lastRequests[entry.Controller]
	l.lastRequests[entry.Controller] = entry.RequestCount
	return known && last != entry.RequestCount
}

// ReleaseEntry returns the entry to store when the lease is handed over. It has no epoch. A controller that retires,
// or is stopping, is marked as retired, so that no other one waits for it to take over.
func (l *Lease) ReleaseEntry(stopping bool) Entry {
	return Entry{Controller: l.self, Retired: l.retired || stopping}
}

// Drop resets the state of a takeover or lease after it ended or its session was lost. The last heartbeat of another
// holder is kept: otherwise each broken session would extend the lease of a dead holder.
func (l *Lease) Drop() {
	l.epoch = 0
	l.heldSince = 0
	l.freeSince = 0
	l.handingOver = false
}

package lease

import (
	"cmp"
	"slices"
	"strconv"

	"cressknot/internal/fleet"
)

const (
	// CheckInterval is the time between two readings of the entries of a proxy. Heartbeats are as frequent.
	CheckInterval = fleet.Second
	// leaseDuration is how long a holder may miss heartbeats: five, as many as a restart may cost.
	leaseDuration = 5 * fleet.Second
	// rankDelay is added for each controller with a better rank, which should take over first.
	rankDelay = 2 * fleet.Second
	// minHoldDuration is how long a proxy is held before it is handed over, so that controllers that come and go move
	// nothing back and forth.
	minHoldDuration = 10 * fleet.Second
)

// Action is what a controller has to do about a proxy.
type Action uint8

// The acts.
const (
	ActionWait    Action = iota // another controller holds the lease: check again
	ActionRequest               // the same, and request the lease
	ActionClaim                 // take the lease over
	ActionKeep                  // continue to hold the lease
	ActionRelease               // hand the lease over: end what is in flight and remove the entry
	ActionYield                 // another controller holds the lease: send nothing more
)

// heartbeat is a count of a holder's heartbeats, and when it was read first on this controller's clock.
type heartbeat struct {
	count uint64
	at    fleet.Time
}

// Lease is one controller's part of the protocol at one proxy. It is not safe for concurrent use.
type Lease struct {
	self   string
	ranked []string // controllers that may serve the proxy, the preferred one first

	// Set by operators.
	retired bool
	manual  bool // this controller is to have the lease

	// While another controller holds the lease.
	freeSince        fleet.Time           // since when no holder is known; 0: there is one
	holderHeartbeats map[uint64]heartbeat // by epoch: the latest heartbeat of the holder
	requestCount     uint64
	hasRequested     bool // the lease, since it was held last

	// While this controller holds the lease or takes it over.
	epoch        uint64 // of the takeover; 0: none
	heldSince    fleet.Time
	heartbeats   uint64
	lastRequests map[string]uint64 // by controller: its latest request
	handingOver  bool              // hand over without a request

	lastHolder   Entry
	lastHolderAt fleet.Time // when the last holder's entry changed
}

// NewLease returns the part of a controller at a proxy. All controllers that may serve the proxy are ranked, the
// preferred one first.
func NewLease(self string, ranked []string) *Lease {
	return &Lease{self: self, ranked: ranked, holderHeartbeats: map[uint64]heartbeat{}, lastRequests: map[string]uint64{}}
}

// Retire lets a controller hand over what it holds and take only what no other one does, until that is requested;
// or ends that.
func (l *Lease) Retire(on bool) {
	l.retired = on
	l.handingOver = on && l.heldSince > 0
}

// SetManual lets a controller have the lease whatever its rank, as operators want, or ends that.
func (l *Lease) SetManual(on bool) { l.manual = on }

// LastHolder returns the holder when the entries were read last, and when its entry was seen to change.
func (l *Lease) LastHolder() (holder Entry, changedAt fleet.Time) {
	return l.lastHolder, l.lastHolderAt
}

// Epoch returns the epoch of the takeover that is in progress or succeeded, 0 for none.
func (l *Lease) Epoch() uint64 { return l.epoch }

func (l *Lease) recordHolder(now fleet.Time, entries []Entry) {
	if holder := Holder(entries); holder != l.lastHolder {
		l.lastHolder = holder
		l.lastHolderAt = now
	}
}

// rank returns the rank of a controller, 0 for the preferred one. A retired controller comes last.
func (l *Lease) rank(controller string) int {
	if l.retired && controller == l.self {
		return len(l.ranked)
	}
	if at := slices.Index(l.ranked, controller); at >= 0 {
		return at
	}
	return len(l.ranked)
}

// Check decides from the entries what to do about a proxy that is not held, and when to check again.
func (l *Lease) Check(now fleet.Time, entries []Entry) (action Action, checkAt fleet.Time) {
	l.recordHolder(now, entries)
	holder := Holder(entries)
	if holder.Epoch == 0 || holder.Controller == l.self { // free, or held by this controller before a restart
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

// lookAtFree decides about a proxy without a living holder. Controllers with a better rank come first.
func (l *Lease) checkFree(now fleet.Time, holder Entry, entries []Entry) (action Action, checkAt fleet.Time) {
	l.freeSince = cmp.Or(l.freeSince, now)
	delay := rankDelay * fleet.Time(l.controllersAhead(entries))
	if l.manual {
		delay = 0
	} else if slices.ContainsFunc(entries, func(entry Entry) bool {
		return entry.WantManual && entry.Controller != l.self
	}) {
		delay += rankDelay // it is handed over to that one
	}
	if holder.Controller == l.self && !l.retired || now >= l.freeSince+delay {
		return ActionClaim, now
	}
	return ActionWait, min(now+CheckInterval, l.freeSince+delay)
}

// expiry returns when the lease of another controller may be taken over.
func (l *Lease) expiry(now fleet.Time, holder Entry) fleet.Time {
	last, known := l.holderHeartbeats[holder.Epoch]
	if !known || last.count != holder.Heartbeat {
		clear(l.holderHeartbeats)
		last = heartbeat{holder.Heartbeat, now}
		l.holderHeartbeats[holder.Epoch] = last
	}
	before := l.rank(l.self)
	if l.rank(holder.Controller) < before {
		before-- // the holder itself will be gone
	}
	return last.at + leaseDuration + rankDelay*fleet.Time(before)
}

// controllersBefore counts the controllers that may take a free proxy before this one: those with a better rank
// that have not announced to leave. It returns 0 where this one has requested the lease and no better one does.
func (l *Lease) controllersAhead(entries []Entry) (count int) {
	rank := l.rank(l.self)
	preferredRequests := false
	leaving := map[string]bool{}
	for _, entry := range entries {
		leaving[entry.Controller] = entry.Retired && entry.Epoch == 0
		if entry.Want > 0 && l.rank(entry.Controller) < rank {
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

// Request returns the value to store as a request for the lease.
func (l *Lease) Request() string {
	l.requestCount++
	l.hasRequested = true
	value := strconv.FormatUint(l.requestCount, 10)
	if l.manual {
		value += manualSuffix
	}
	return value
}

// BeginTakeover begins a takeover and returns the entry to store.
func (l *Lease) BeginTakeover(now fleet.Time, entries []Entry) Entry {
	l.epoch = NextEpoch(now, entries)
	l.heartbeats = 1
	return l.entry()
}

// ConfirmTakeover decides, from the entries read after all other sessions were ended, whether the lease is held from
// now on.
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

// Next returns the entry of the next heartbeat.
func (l *Lease) Next() Entry {
	l.heartbeats++
	return l.entry()
}

func (l *Lease) entry() Entry {
	return Entry{Controller: l.self, Epoch: l.epoch, Heartbeat: l.heartbeats, Retired: l.retired, Manual: l.manual}
}

// Renew decides, from the entries read with a heartbeat, whether the lease continues. It is handed over only
// where moves allows it.
func (l *Lease) Renew(now fleet.Time, entries []Entry, moves *Moves) Action {
	l.recordHolder(now, entries)
	if !HoldsLease(l.self, l.epoch, entries) {
		return ActionYield
	}
	if l.handingOver && moves.Allow(now) {
		return ActionRelease
	}
	for _, entry := range entries {
		if !l.isLiveRequest(entry) {
			continue
		}
		if (entry.WantManual || now >= l.heldSince+minHoldDuration) && moves.Allow(now) {
			return ActionRelease
		}
	}
	return ActionKeep
}

// isLiveRequest reports whether a controller that should have the lease requests it. A request that does not change
// may be left from long ago.
func (l *Lease) isLiveRequest(entry Entry) bool {
	preferred := !l.manual && l.rank(entry.Controller) < l.rank(l.self)
	if entry.Want == 0 || !entry.WantManual && !preferred {
		return false
	}
	last, known := l.lastRequests[entry.Controller]
	l.lastRequests[entry.Controller] = entry.Want
	return known && last != entry.Want
}

// ReleaseEntry returns the entry that a controller leaves when it hands a proxy over. One that retires or stops says
// so, so that no controller waits for it.
func (l *Lease) ReleaseEntry(stopping bool) Entry {
	return Entry{Controller: l.self, Retired: l.retired || stopping}
}

// Drop forgets a takeover that is over, or a session that was lost. The heartbeats of another holder stay: a holder
// that is gone must not gain time by sessions that break.
func (l *Lease) Drop() {
	l.epoch = 0
	l.heldSince = 0
	l.freeSince = 0
	l.handingOver = false
}

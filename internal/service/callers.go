package service

import (
	"container/list"

	"cressknot/internal/fleet"
)

const (
	// connectionClaims and addressClaims limit the names and report sessions that are new: a program needs one of each.
	// An address may stand for a host with many programs that start at once.
	connectionClaimBurst = 16
	connectionClaimRate  = 1.0 // per second
	addressClaimBurst    = 512
	addressClaimRate     = 50.0 // per second
)

// The error texts for new names and sessions beyond their rates.
const (
	newNamesRejected    = "too many new caller names from this connection or address"
	newSessionsRejected = "too many new report sessions from this connection"
)

// Caller identifies who sends a query. Callers are told apart by address and name, so that none uses up what another
// one may send by taking its name.
type Caller struct {
	Name    string // as it says; "" if it does not
	Address string // host from which it is connected
	Claims  *Claims
}

// Claims limits the new names and report sessions that come over one connection. The zero value is ready for use; nil
// stands for no limit. Service guards it.
type Claims struct {
	bucket  tokenBucket
	started bool
}

// take takes a claim, or returns false if the connection has none.
func (c *Claims) take(now fleet.Time) bool {
	if c == nil {
		return true
	}
	if !c.started {
		c.started = true
		c.bucket = tokenBucket{connectionClaimBurst, now}
	}
	return c.bucket.take(now, connectionClaimRate, connectionClaimBurst)
}

// take takes a token from a bucket, or returns false if it has none.
func (b *tokenBucket) take(now fleet.Time, ratePerSecond, burst float64) bool {
	b.refill(now, queryPolicy{ratePerSecond: ratePerSecond, burst: burst})
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// callerKey identifies a caller in a QueryLimiter.
type callerKey struct{ address, name string }

// addressState is what a QueryLimiter knows of an address.
type addressState struct {
	callers  list.List // of callerKey, least recently used first
	claims   tokenBucket
	lastUsed fleet.Time
}

// caller returns the state of a caller and starts to track a new one. In place of a new caller beyond the limits, the
// least recently used one of its address, or of the address that has the most, is forgotten.
func (l *QueryLimiter) caller(now fleet.Time, caller Caller) (*callerState, *Error) {
	key := callerKey{caller.Address, caller.Name}
	if state := l.callers[key]; state != nil {
		state.address.callers.MoveToBack(state.element)
		state.address.lastUsed = now
		return state, nil
	}
	address := l.address(now, caller.Address)
	// The claim of the connection comes first: a connection that has none leaves those of its address to others.
	if !caller.Claims.take(now) || !address.claims.take(now, addressClaimRate, addressClaimBurst) {
		return nil, &Error{Overloaded, newNamesRejected, fleet.Second}
	}
	if address.callers.Len() >= maxCallersPerAddress {
		l.forgetOldest(address)
	}
	if len(l.callers) >= maxCallers {
		l.forgetOldest(l.largestAddress())
	}
	state := &callerState{address: address, element: address.callers.PushBack(key)}
	for kind := range state.buckets {
		state.buckets[kind] = tokenBucket{queryPolicies[kind].burst, now}
	}
	l.callers[key] = state
	return state, nil
}

// address returns the state of an address and starts to track a new one.
func (l *QueryLimiter) address(now fleet.Time, host string) *addressState {
	address := l.addresses[host]
	if address == nil {
		address = &addressState{claims: tokenBucket{addressClaimBurst, now}}
		l.addresses[host] = address
	}
	address.lastUsed = now
	return address
}

func (l *QueryLimiter) largestAddress() *addressState {
	var largest *addressState
	for _, address := range l.addresses {
		if largest == nil || address.callers.Len() > largest.callers.Len() {
			largest = address
		}
	}
	return largest
}

// forgetOldest removes the least recently used caller of an address.
func (l *QueryLimiter) forgetOldest(address *addressState) {
	if front := address.callers.Front(); front != nil {
		address.callers.Remove(front)
		delete(l.callers, front.Value.(callerKey))
	}
}

// sweep removes callers and addresses without a query within callerRetention.
func (l *QueryLimiter) sweep(now fleet.Time) {
	interval := sweepInterval
	if len(l.callers) >= maxCallers {
		interval = minSweepInterval
	}
	if now < l.lastSwept+interval {
		return
	}
	l.lastSwept = now
	for key, state := range l.callers {
		if now >= state.lastQuery+callerRetention {
			state.address.callers.Remove(state.element)
			delete(l.callers, key)
		}
	}
	for host, address := range l.addresses {
		if address.callers.Len() == 0 && now >= address.lastUsed+callerRetention {
			delete(l.addresses, host)
		}
	}
}

package client

import (
	"sync"

	"cressknot/internal/fleet"
)

const (
	budgetRatio = 0.1  // further tries for each visit: a fleet of which half fails gets a tenth more, not half as much again
	budgetMost  = 10.0 // of them saved up: a quiet library may try again after the first failures of a trouble
	shunAfter   = 3    // failures in a row after which a server is avoided, as plain proxies do
	shunFor     = 4 * fleet.Second
	hedgePart   = 0.5 // of the expected time, after which a second try of a safe visit may begin
)

// Outcome is what came of a try.
type Outcome uint8

// The outcomes.
const (
	Good     Outcome = iota
	NeverRan         // there is proof that it did nothing: no connection, or the server said so
	Failed           // it may have run
)

// Place says where a further try may go.
type Place uint8

// The places.
const (
	Anywhere Place = iota
	Elsewhere
	SameServer // the only one that surely knows the repeat
)

// Visit is the state of one visit's tries. It is pure.
type Visit struct {
	class      fleet.RequestClass
	mode       fleet.RetryMode
	tries      int
	mayHaveRun bool
	ranSince   fleet.Time // when the first try began that may have run
}

// NewVisit begins a visit of a class under the governor's retry mode.
func NewVisit(class fleet.RequestClass, mode fleet.RetryMode) Visit {
	return Visit{class: class, mode: mode}
}

// Begin begins a try, and tells whether another one may follow it.
func (v *Visit) Begin() (followed bool) {
	v.tries++
	return v.tries <= map[fleet.RetryMode]int{fleet.RetryOnce: 1, fleet.RetryTwice: 2}[v.mode] && v.class.Idempotency != fleet.NotIdempotent
}

// Ended tells how a try ended that began at a time.
func (v *Visit) Ended(began fleet.Time, o Outcome) {
	if o == Failed && !v.mayHaveRun {
		v.mayHaveRun, v.ranSince = true, began
	}
}

// Again tells whether the visit may be tried again now, and where. No effect runs twice: an unsafe visit is tried again only while no
// try may have run; a keyed one within its window, counted from the first try that may have run, where servers know the repeat.
func (v *Visit) Again(now fleet.Time, last Outcome) (place Place, again bool) {
	switch v.mode {
	case fleet.RetryIfNotExecuted:
		again = v.tries == 1 && last == NeverRan
	case fleet.RetryOnce:
		again = v.tries == 1
	case fleet.RetryTwice:
		again = v.tries <= 2
	}
	if !again || last == Good {
		return Elsewhere, false
	}
	if !v.mayHaveRun || v.class.Idempotency == fleet.Idempotent {
		return Elsewhere, true
	}
	if v.class.Idempotency == fleet.NotIdempotent || now+v.class.Deadline/2 > v.ranSince+v.class.DeduplicationWindow { // it must arrive within the window, too
		return Elsewhere, false
	}
	if v.class.DeduplicationScope == fleet.DeduplicationFleet {
		return Elsewhere, true
	}
	return SameServer, true
}

// Budget bounds further tries and hedges by the visits that there are, so that a library never feeds an overload.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	Denied uint64
}

// NewBudget makes a full one.
func NewBudget() *Budget { return &Budget{tokens: budgetMost} }

// Visit adds what a visit earns.
func (b *Budget) Visit() {
	b.mu.Lock()
	b.tokens = min(budgetMost, b.tokens+budgetRatio)
	b.mu.Unlock()
}

// Spend takes what a further try costs, if it is there.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.Denied++
		return false
	}
	b.tokens--
	return true
}

package lease

import (
	"flag"
	"testing"

	"cressknot/internal/fleet"
)

// The model has three controllers at one proxy. Each may begin a takeover at any time, so that nothing depends on
// clocks, may be paused between any two steps, lose any connection, and have an order in flight that arrives late
// or never. The steps are those of the transport; what is stored and decided comes from this package.

const (
	modelControllers = 3
	maxModelSessions = 14
)

// maxModelClaims bounds the takeovers of a run, so that the search ends: 4 go through six million states in 17 s, 3
// through some hundred thousand.
var maxModelClaims = flag.Int("claims", 3, "most takeovers in one run of the model")

// modelPhase is how far a controller has got with a takeover.
type modelPhase uint8

const (
	phaseIdle    modelPhase = iota
	phaseRead               // the first session is open and the entries were read
	phaseStored             // the own entry is stored
	phaseListed             // the sessions of the proxy at that time are known
	phaseFenced             // the second session is open, all that were listed are ended
	phaseServing            // the own entry was read as the highest
)

type modelController struct {
	phase         modelPhase
	firstSession  uint8 // numbers of its sessions, 0 for none
	secondSession uint8
	epochRead     uint8  // the highest one
	epoch         uint8  // of its takeover
	listed        uint16 // sessions that it will end
	orderInFlight bool   // in the second session
}

// modelState is a state of the model.
type modelState struct {
	controllers  [modelControllers]modelController
	epochs       [modelControllers]uint8 // stored
	openSessions uint16                  // bit mask by number
	lastSession  uint8
	servedEpoch  uint8 // the highest whose takeover succeeded
	appliedEpoch uint8 // the highest of an order that took effect
	claims       uint8
	violated     bool // an order took effect after a later takeover or a later order
}

func (s modelState) entries() (entries []Entry) {
	for i, epoch := range s.epochs {
		entries = append(entries, Entry{Controller: controllerName(i), Epoch: uint64(epoch)})
	}
	return entries
}

func controllerName(i int) string { return string(rune('a' + i)) }

func (s *modelState) openSession() uint8 {
	s.lastSession++
	s.openSessions |= 1 << s.lastSession
	return s.lastSession
}

func (s *modelState) isOpen(session uint8) bool {
	return session > 0 && s.openSessions&(1<<session) != 0
}

// modelVariant leaves out a part of the protocol, which the search must find to be wrong.
type modelVariant struct {
	keepSessions bool // other sessions are not ended
	skipReread   bool // the entries are not read again
}

// next returns all states that may follow.
func (s modelState) next(variant modelVariant) (states []modelState) {
	for i := range s.controllers {
		states = append(states, s.nextOf(i, variant)...)
		if s.controllers[i].phase != phaseIdle {
			states = append(states, s.abort(i))
		}
	}
	return states
}

// afterGivingUp returns the state after a controller gave up or lost its connections.
func (s modelState) abort(i int) modelState {
	controller := &s.controllers[i]
	s.openSessions &^= 1<<controller.firstSession | 1<<controller.secondSession
	*controller = modelController{}
	return s
}

// nextOf returns the states after the next step of a controller.
func (s modelState) nextOf(i int, variant modelVariant) []modelState {
	switch controller := s.controllers[i]; controller.phase {
	case phaseIdle:
		if int(s.claims) < *maxModelClaims && s.lastSession+2 <= maxModelSessions {
			return []modelState{s.read(i)}
		}
	case phaseRead:
		if s.isOpen(controller.firstSession) {
			return []modelState{s.store(i)}
		}
	case phaseStored:
		if s.isOpen(controller.firstSession) {
			s.controllers[i].listed = s.openSessions
			s.controllers[i].phase = phaseListed
			return []modelState{s}
		}
	case phaseListed:
		return []modelState{s.fence(i, variant)}
	case phaseFenced:
		if s.isOpen(controller.secondSession) {
			return []modelState{s.reread(i, variant)}
		}
	case phaseServing:
		if s.isOpen(controller.secondSession) {
			return []modelState{s.sendOrDeliver(i)}
		}
	}
	return nil
}

func (s modelState) read(i int) modelState {
	epoch := uint8(Holder(s.entries()).Epoch)
	s.controllers[i] = modelController{phase: phaseRead, firstSession: s.openSession(), epochRead: epoch}
	s.claims++
	return s
}

func (s modelState) store(i int) modelState {
	controller := &s.controllers[i]
	known := []Entry{{Controller: controllerName(i), Epoch: uint64(controller.epochRead)}}
	// Clocks make the epochs of controllers distinct. The model has no clocks.
	controller.epoch = uint8(NextEpoch(fleet.Time(0), known))*modelControllers + uint8(i)
	controller.phase = phaseStored
	s.epochs[i] = controller.epoch
	return s
}

func (s modelState) fence(i int, variant modelVariant) modelState {
	controller := &s.controllers[i]
	controller.secondSession = s.openSession()
	if !variant.keepSessions {
		s.openSessions &^= controller.listed
	}
	controller.phase = phaseFenced
	return s
}

func (s modelState) reread(i int, variant modelVariant) modelState {
	controller := &s.controllers[i]
	if !variant.skipReread && !HoldsLease(controllerName(i), uint64(controller.epoch), s.entries()) {
		s.openSessions &^= 1 << controller.secondSession
		*controller = modelController{}
		return s
	}
	controller.phase = phaseServing
	s.servedEpoch = max(s.servedEpoch, controller.epoch)
	return s
}

// order sends an order, or lets the one in flight arrive, however late.
func (s modelState) sendOrDeliver(i int) modelState {
	controller := &s.controllers[i]
	if !controller.orderInFlight {
		controller.orderInFlight = true
		return s
	}
	if controller.epoch < s.servedEpoch || controller.epoch < s.appliedEpoch {
		s.violated = true
	}
	s.appliedEpoch = max(s.appliedEpoch, controller.epoch)
	controller.orderInFlight = false
	return s
}

// searchResult is what a search found.
type searchResult struct {
	states   int
	violated bool
	served   bool // some controller served
}

// search visits all states that can be reached, up to the first violation.
func search(variant modelVariant) (result searchResult) {
	seen := map[modelState]bool{{}: true}
	stack := []modelState{{}}
	for len(stack) > 0 {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		result.states++
		if state.violated {
			result.violated = true
			return result
		}
		for _, controller := range state.controllers {
			result.served = result.served || controller.phase == phaseServing
		}
		for _, next := range state.next(variant) {
			if !seen[next] {
				seen[next] = true
				stack = append(stack, next)
			}
		}
	}
	return result
}

// TestNoOrderTakesEffectAfterLaterTakeover searches all that can happen: no order takes effect after a later
// takeover succeeded, or after an order of a later one. Without ending sessions, and without reading the entries
// again, the search finds a violation.
func TestNoOrderTakesEffectAfterLaterTakeover(t *testing.T) {
	result := search(modelVariant{})
	t.Logf("%d states", result.states)
	if result.violated || !result.served || result.states < 10_000 {
		t.Errorf("search found %+v", result)
	}
	if !search(modelVariant{keepSessions: true}).violated {
		t.Error("no violation found without ending other sessions")
	}
	if !search(modelVariant{skipReread: true}).violated {
		t.Error("no violation found without rereading the entries")
	}
}

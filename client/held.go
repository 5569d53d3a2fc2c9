package client

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const (
	linesMost  = 20_000            // of a class: more is no table of servers
	weightMost = 256               // of a line, as in the runtime API of a proxy
	olderAfter = 10 * fleet.Second // without any word that counts, after which an older list is taken: its source has begun anew, or all forgot
)

// Verdict is what is made of an update.
type Verdict uint8

// The verdicts.
const (
	Taken  Verdict = iota
	Same           // a sign of life
	Resync         // it does not go on from what is held, or does not add up: the whole is asked for
	Behind         // the governor knows less than another one told: another one is asked
	Broken         // it makes no sense
)

// heldClass is what is held of a class.
type heldClass struct {
	lines  map[string]service.Endpoint
	laid   bool // by the governor that is followed
	amount int
	retry  fleet.RetryMode
}

func (c *heldClass) clone() *heldClass {
	return &heldClass{maps.Clone(c.lines), c.laid, c.amount, c.retry}
}

// Held is what a library holds of its zone: it takes updates in whole or not at all, and never goes back to what an older list says.
// It is pure.
type Held struct {
	classes  map[string]*heldClass
	open     map[string]bool // nil: all
	governor string
	version  tableversion.Version
	listRev  uint64
	newest   map[string]tableversion.Version // by governor: told last
	at       fleet.Time                      // of the last word that counted
	newer    bool                            // some word was written for a newer version of the protocol
}

// NewHeld holds nothing.
func NewHeld() *Held {
	return &Held{classes: map[string]*heldClass{}, newest: map[string]tableversion.Version{}}
}

// Holds tells which version is held, and of which governor.
func (h *Held) Holds() (governor string, version tableversion.Version) { return h.governor, h.version }

// ListRev tells by which list it was decided.
func (h *Held) ListRev() uint64 { return h.listRev }

// At tells when a word came that counted, 0 for never.
func (h *Held) At() fleet.Time { return h.at }

// Newer tells that a governor speaks a newer version of the protocol; what of it is not known here is left out.
func (h *Held) Newer() bool { return h.newer }

// Asks tells what a watch of a governor asks from: what is held of it, else the whole.
func (h *Held) Asks(governor string) tableversion.Version {
	if governor == h.governor {
		return h.version
	}
	return tableversion.NoVersion
}

// Forget lets the next watch ask for the whole.
func (h *Held) Forget() { h.version = tableversion.NoVersion }

// Update takes an update in. Why tells what was wrong with one that isn't taken.
func (h *Held) Update(now fleet.Time, u *service.Update) (v Verdict, why string) {
	h.newer = h.newer || u.Minor > service.Minor
	patient := h.at > 0 && now < h.at+olderAfter
	if last := h.newest[u.Controller]; u.To.Compare(last) < 0 && patient {
		return Behind, fmt.Sprintf("governor %s told version %s before %s", u.Controller, last, u.To)
	}
	if u.ListRevision < h.listRev && patient {
		return Behind, fmt.Sprintf("governor %s goes by list %d, list %d was told before", u.Controller, u.ListRevision, h.listRev)
	}
	if u.Heartbeat {
		if u.Controller != h.governor || u.To != h.version {
			return Resync, "a sign of life of a version that is not held"
		}
		h.at, h.listRev = now, u.ListRevision
		return Same, ""
	}
	whole := u.From == tableversion.NoVersion
	if !whole && (u.Controller != h.governor || u.From != h.version) {
		return Resync, fmt.Sprintf("a change from version %s, version %s is held", u.From, h.version)
	}
	next := map[string]*heldClass{}
	for name, c := range h.classes {
		next[name] = c
	}
	for i := range u.Classes {
		t := &u.Classes[i]
		if t.Class == "" || len(t.Endpoints) > linesMost || t.Retry > fleet.RetryTwice {
			return Broken, fmt.Sprintf("classes[%d]: %d lines, retry mode %d", i, len(t.Endpoints), t.Retry)
		}
		c := next[t.Class]
		switch {
		case c == nil:
			c = &heldClass{lines: map[string]service.Endpoint{}}
		case t.Published && (whole || !c.laid): // what it held was another's
			c = &heldClass{lines: map[string]service.Endpoint{}}
		default:
			c = c.clone()
		}
		c.laid, c.amount, c.retry = t.Published, t.AdmissionLimit, t.Retry
		next[t.Class] = c
		if !t.Published {
			continue // what is held stands
		}
		for k, l := range t.Endpoints {
			switch {
			case l.Server == "" || l.Weight < 0 || l.Weight > weightMost || l.Weight > 0 && l.Addr == "":
				return Broken, fmt.Sprintf("classes[%d].lines[%d]: server %q at %q, weight %d", i, k, l.Server, l.Addr, l.Weight)
			case l.Weight == 0:
				delete(c.lines, l.Server)
			default:
				c.lines[l.Server] = l
			}
		}
		sum := tableversion.Digest(0)
		for _, l := range c.lines {
			sum += tableversion.EntryDigest(l.Server, l.Weight)
		}
		if sum != t.Digest {
			if whole {
				return Broken, fmt.Sprintf("classes[%d]: digest %s, its lines add up to %s", i, t.Digest, sum)
			}
			return Resync, fmt.Sprintf("class %s: digest %s, %s is held", t.Class, t.Digest, sum)
		}
	}
	if whole { // classes that it doesn't name are none any more
		for name := range next {
			if !slices.ContainsFunc(u.Classes, func(t service.ClassTable) bool { return t.Class == name }) {
				delete(next, name)
			}
		}
	}
	h.classes, h.governor, h.version, h.listRev, h.at = next, u.Controller, u.To, u.ListRevision, now
	h.newest[u.Controller] = u.To
	if h.open = nil; u.RestrictsToOpen {
		h.open = map[string]bool{}
		for _, s := range u.OpenServers {
			h.open[s] = true
		}
	}
	return Taken, ""
}

// Lines gives what a class's visits may use, by server. What the governor has not laid is what was held, less servers that are not
// open, unless none would be left.
func (h *Held) Lines(class string) (lines []service.Endpoint, amount int, retry fleet.RetryMode, known bool) {
	c := h.classes[class]
	if c == nil {
		return nil, 0, 0, false
	}
	pick := func(open func(string) bool) {
		for _, name := range slices.Sorted(maps.Keys(c.lines)) {
			if open(name) {
				lines = append(lines, c.lines[name])
			}
		}
	}
	if !c.laid && h.open != nil {
		pick(func(name string) bool { return h.open[name] })
	}
	if len(lines) == 0 {
		pick(func(string) bool { return true })
	}
	return lines, c.amount, c.retry, true
}

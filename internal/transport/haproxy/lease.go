package haproxy

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/lease"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// How governors agree at a proxy who serves it: package assign decides, here it is carried out by the commands that a runtime API has. Entries
// stand in the proxy's map, each governor's under a key of its own; "show sess" tells which sessions of the runtime socket there are,
// "shutdown session" ends them.

const (
	leaseKey = "cressknot.lease." // and the governor's name: EPOCH.BEAT
	wantKey  = "cressknot.want."  // and the governor's name: a beat of asking for the proxy
	runtime  = "fe=GLOBAL"        // of a session of the runtime socket, in "show sess"
)

var (
	errLost   = errors.New("another governor serves it")
	errHanded = errors.New("handed on to another governor")
)

// entries reads what governors have written.
func entries(text []byte) (all []lease.Entry, keys map[string]bool, err error) {
	keys = map[string]bool{}
	wants := map[string]string{}
	err = haproxyapi.ReadMap(text, func(key, value []byte) error {
		k := string(key)
		if g, is := strings.CutPrefix(k, leaseKey); is {
			all = append(all, lease.ParseEntry(g, string(value)))
			keys[k] = true
		} else if g, is := strings.CutPrefix(k, wantKey); is {
			wants[g] = string(value)
			keys[k] = true
		}
		return nil
	})
	for i := range all {
		all[i].Want, all[i].WantHand = lease.ParseWant(wants[all[i].Controller])
		delete(wants, all[i].Controller)
	}
	for g, w := range wants {
		e := lease.Entry{Controller: g}
		e.Want, e.WantHand = lease.ParseWant(w)
		all = append(all, e)
	}
	return all, keys, wrap("show map", err)
}

// put writes an entry of the map, whether it is there or not.
func (s *session) put(key, value string, to what) {
	verb := "add"
	if s.keys[key] {
		verb = "set"
	}
	s.keys[key] = true
	s.out = append(haproxyapi.AppendCommand(s.out, verb, "map", s.link.front.opt.Map, key, value), '\n')
	s.expect = append(s.expect, expectation{what: to, key: key})
}

func (s *session) showMap(to what) {
	s.out = append(haproxyapi.AppendCommand(s.out, "show", "map", s.link.front.opt.Map), '\n')
	s.expect = append(s.expect, expectation{what: to})
}

func (s *session) look() { s.showMap(toLook) }

// lookAgain looks a while later.
func (s *session) lookAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || s.link.front.stopping.Load() {
		return
	}
	s.arm()
	s.out = s.out[:0]
	s.look()
	s.flush()
}

// complete ends the sessions that there were when our entry had been written, and says whose session this is.
func (s *session) complete() {
	l := s.link
	l.leasing.Lock()
	next, ending := l.lease.Next(), l.ending
	l.ending = nil
	l.leasing.Unlock()
	for _, id := range ending {
		s.out = append(haproxyapi.AppendCommand(s.out, "shutdown", "session", id), '\n')
		s.expect = append(s.expect, expectation{what: toShut})
	}
	s.keys[leaseKey+l.front.opt.Me] = true
	s.put(leaseKey+l.front.opt.Me, next.String(), toBid)
}

// took tells whether the proxy is ours, of the entries read after the others' sessions were ended.
func (s *session) took(text []byte) error {
	l := s.link
	if l.lease == nil {
		return nil
	}
	all, _, err := entries(text)
	if err != nil {
		return err
	}
	l.leasing.Lock()
	defer l.leasing.Unlock()
	if !l.lease.Took(l.front.opt.Clock(), all) {
		return errLost
	}
	return nil
}

// takeLease makes of an answer what it is to.
func (s *session) takeLease(e expectation, text []byte) (transport.Event, error) {
	l := s.link
	l.leasing.Lock()
	defer l.leasing.Unlock()
	now := l.front.opt.Clock()
	s.out = s.out[:0]
	switch e.what {
	case toLook:
		if string(text) == haproxyapi.NoMap {
			return nil, fmt.Errorf("the proxy has no map %s", l.front.opt.Map)
		}
		all, keys, err := entries(text)
		if err != nil {
			return nil, err
		}
		s.keys = keys
		act, again := l.lease.Look(now, all)
		switch act {
		case lease.Claim:
			bid := l.lease.Begin(now, all)
			s.put(leaseKey+l.front.opt.Me, bid.String(), toBid)
			s.out = append(s.out, "show sess\n"...)
			s.expect = append(s.expect, expectation{what: toRivals})
		case lease.Want:
			s.put(wantKey+l.front.opt.Me, l.lease.Ask(), toBeat)
		}
		if act != lease.Claim {
			s.again = time.AfterFunc(time.Duration(max(1, again-now)), s.lookAgain)
		}
	case toRivals:
		ids, err := sessions(text)
		if err != nil {
			return nil, err
		}
		l.ending = ids
		go l.takeOver(s)
	case toEntries:
		all, _, err := entries(text)
		if err != nil {
			return nil, err
		}
		l.front.moving.Lock()
		act := l.lease.Holding(now, all, &l.front.moves)
		l.front.moving.Unlock()
		switch act {
		case lease.Lost:
			return nil, errLost
		case lease.Release:
			s.release(l.lease.Leave(false))
		}
	case toBid, toBeat:
		if string(text) == haproxyapi.NoKey { // somebody took it away
			delete(s.keys, e.key)
			if e.what == toBid || s.up {
				return nil, errLost
			}
		}
	case toHandOn:
		return nil, errHanded
	}
	s.flush()
	return nil, nil
}

// sessions reads the sessions of the runtime socket out of "show sess".
func sessions(text []byte) (ids []string, err error) {
	n := 0
	for line := range bytes.Lines(text) {
		n++
		id, rest, ok := strings.Cut(string(bytes.TrimSpace(line)), ": ")
		if !ok || !strings.HasPrefix(id, "0x") {
			return nil, fmt.Errorf("answer to \"show sess\": line %d: %.60q", n, line)
		}
		for _, f := range strings.Fields(rest) {
			if f == runtime {
				ids = append(ids, id)
			}
		}
	}
	return ids, nil
}

// takeOver opens the session that completes a takeover, while the one that began it still stands: so its number can't be the new one's.
func (l *link) takeOver(before *session) {
	before.mu.Lock()
	over := before.over
	before.mu.Unlock()
	if over { // what it began ended with it; the next look begins anew
		return
	}
	dialer := net.Dialer{Timeout: time.Duration(reconcile.DialTimeout)}
	conn, err := dialer.DialContext(l.front.ctx, network(l.proxy.Addr), l.proxy.Addr)
	if err == nil {
		err = l.open(conn, before)
	}
	if err != nil {
		before.end(err)
	}
}

// over tells the lease that what stood is over.
func (l *link) over() {
	if l.lease == nil {
		return
	}
	l.leasing.Lock()
	defer l.leasing.Unlock()
	l.lease.Drop()
}

// beat adds our next beat, and asks for the entries, to what goes with a poll.
func (s *session) beat(out []byte) []byte {
	l := s.link
	if l.lease == nil {
		return out
	}
	l.leasing.Lock()
	next := l.lease.Next()
	l.leasing.Unlock()
	s.out = out
	s.put(leaseKey+l.front.opt.Me, next.String(), toBeat)
	s.showMap(toEntries)
	return s.out
}

// release sends nothing more and writes that we hold it no more, after all that was sent: the proxy reads in order.
func (s *session) release(left lease.Entry) {
	s.handing = true
	s.put(leaseKey+s.link.front.opt.Me, left.String(), toHandOn)
}

// handOn lets another governor have the proxy, as this one stops.
func (s *session) handOn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.over || s.handing {
		return
	}
	s.arm()
	s.out = s.out[:0]
	s.link.leasing.Lock()
	left := s.link.lease.Leave(true)
	s.link.leasing.Unlock()
	s.release(left)
	s.flush()
}

// Retire hands all proxies on, in bounded moves, or ends that.
func (f *Front) Retire(on bool) {
	for _, l := range f.links {
		if l.lease != nil {
			l.leasing.Lock()
			l.lease.Retire(on)
			l.leasing.Unlock()
		}
	}
}

// Take lets this governor have a proxy by hand, or ends that; false: no such proxy is shared.
func (f *Front) Take(id fleet.ProxyID, on bool) bool {
	l := f.links[id]
	if l == nil || l.lease == nil {
		return false
	}
	l.leasing.Lock()
	defer l.leasing.Unlock()
	l.lease.Take(on)
	return true
}

// Holders tells who serves each proxy, by id.
func (f *Front) Holders() (all []transport.LeaseHolder) {
	for id, l := range f.links {
		if l.lease == nil {
			continue
		}
		l.leasing.Lock()
		h, moved := l.lease.Seen()
		l.leasing.Unlock()
		s := f.session(id)
		all = append(all, transport.LeaseHolder{Proxy: id, Controller: h.Controller, Epoch: h.Epoch, LastHeartbeat: moved, Own: s != nil && s.steers()})
	}
	slices.SortFunc(all, func(a, b transport.LeaseHolder) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return all
}

func (s *session) steers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && !s.over && !s.handing
}

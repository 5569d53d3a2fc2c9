// Package governor is one governor: a loop that owns all decision state, hears what fronts, list and timers bring,
// lets the module decide, and hands its orders to the front through package steer.
package controller

import (
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/transport"
)

// Names keeps the ids of servers, which live as long as the governor. Fronts look names up from their own
// goroutines.
type Names struct {
	mu      sync.RWMutex
	byName  map[string]fleet.ServerID
	servers []named
}

type named struct{ name, addr string }

var _ transport.ServerNames = (*Names)(nil)

// NewNames makes an empty register.
func NewNames() *Names { return &Names{byName: map[string]fleet.ServerID{}} }

// Server gives the id of a name.
func (n *Names) Server(name string) (fleet.ServerID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.byName[name]
	return id, ok
}

// ServerBytes is Server for a name in a buffer.
func (n *Names) ServerBytes(name []byte) (fleet.ServerID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.byName[string(name)]
	return id, ok
}

// Learn gives the id of a name, a new one for a new name; an address that is told replaces none that the list told.
func (n *Names) Learn(name, addr string) fleet.ServerID {
	id, _ := n.put(name, addr, false)
	return id
}

// Listed is Learn for what the list says: its address counts. Moved tells that it was another one before.
func (n *Names) Listed(name, addr string) (id fleet.ServerID, moved bool) {
	return n.put(name, addr, true)
}

func (n *Names) put(name, addr string, replace bool) (id fleet.ServerID, moved bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.byName[name]
	if !ok {
		id = fleet.ServerID(len(n.servers))
		n.byName[name] = id
		n.servers = append(n.servers, named{name, addr})
	} else if at := &n.servers[id]; replace && addr != "" || at.addr == "" {
		moved = at.addr != "" && at.addr != addr
		at.addr = addr
	}
	return id, moved
}

// Of gives name and address of an id.
func (n *Names) Of(id fleet.ServerID) (name, addr string) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if int(id) >= len(n.servers) {
		return "", ""
	}
	return n.servers[id].name, n.servers[id].addr
}

// Count tells how many names there are; ids go from 0 to one less.
func (n *Names) Count() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.servers)
}

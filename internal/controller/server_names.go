package controller

import (
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/transport"
)

// Names holds the ids of servers, which live as long as the process. It may be used from any goroutine.
type Names struct {
	mu      sync.RWMutex
	byName  map[string]fleet.ServerID
	servers []namedServer // by id
}

type namedServer struct{ name, addr string }

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

// Learn gives the id of a name, a new one for a new name. Its address replaces none that is known.
func (n *Names) Learn(name, addr string) fleet.ServerID {
	id, _ := n.register(name, addr, false)
	return id
}

// Listed is Learn for the endpoint list, whose address replaces the known one. Moved reports that it was another one
// before.
func (n *Names) SetAddress(name, addr string) (id fleet.ServerID, changed bool) {
	return n.register(name, addr, true)
}

func (n *Names) register(name, addr string, replace bool) (id fleet.ServerID, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok := n.byName[name]
	if !ok {
		id = fleet.ServerID(len(n.servers))
		n.byName[name] = id
		n.servers = append(n.servers, namedServer{name, addr})
		return id, false
	}
	server := &n.servers[id]
	if replace && addr != "" || server.addr == "" {
		changed = server.addr != "" && server.addr != addr
		server.addr = addr
	}
	return id, changed
}

// Lookup gives name and address of an id, both "" for an unknown one.
func (n *Names) Lookup(id fleet.ServerID) (name, addr string) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if int(id) >= len(n.servers) {
		return "", ""
	}
	server := n.servers[id]
	return server.name, server.addr
}

// Count gives the number of names; ids go from 0 to one less.
func (n *Names) Count() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.servers)
}

package controller

import (
	"sync"

	"cressknot/internal/fleet"
	"cressknot/internal/transport"
)

// ServerNames assigns ids to server names and holds the servers' addresses. Ids are valid for the lifetime of the
// process. It is safe for concurrent use.
type ServerNames struct {
	mu      sync.RWMutex
	byName  map[string]fleet.ServerID
	servers []namedServer // by id
}

type namedServer struct{ name, addr string }

var _ transport.ServerNames = (*ServerNames)(nil)

// NewServerNames returns an empty register; ids start at 0.
func NewServerNames() *ServerNames { return &ServerNames{byName: map[string]fleet.ServerID{}} }

// Server returns the id of a name, and whether the name is known.
func (n *ServerNames) Server(name string) (fleet.ServerID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.byName[name]
	return id, ok
}

// ServerBytes is like Server for a name in a buffer; it does not allocate.
func (n *ServerNames) ServerBytes(name []byte) (fleet.ServerID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok := n.byName[string(name)]
	return id, ok
}

// GetOrAssign returns the id of a name, and assigns one to a new name. The address, "" for none, is only used if the
// server's address is not known yet.
func (n *ServerNames) GetOrAssign(name, addr string) fleet.ServerID {
	id, _ := n.register(name, addr, false)
	return id
}

// SetAddress returns the id of a name, and assigns one to a new name. Unlike with GetOrAssign, the address replaces the
// known one, unless it is "". changed reports that a different address was known before.
func (n *ServerNames) SetAddress(name, addr string) (id fleet.ServerID, changed bool) {
	return n.register(name, addr, true)
}

func (n *ServerNames) register(name, addr string, replace bool) (id fleet.ServerID, changed bool) {
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

// Lookup returns the name and the address, host:port, of a server. Both are "" for an unknown id.
func (n *ServerNames) Lookup(id fleet.ServerID) (name, addr string) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if int(id) >= len(n.servers) {
		return "", ""
	}
	server := n.servers[id]
	return server.name, server.addr
}

// Count returns the number of names. Ids range from 0 to Count()-1.
func (n *ServerNames) Count() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.servers)
}

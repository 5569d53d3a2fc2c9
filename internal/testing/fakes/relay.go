package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// relayBufferSize is the size in bytes of a direction's buffer.
const relayBufferSize = 32 << 10

// Relay is on loopback between a caller and a controller, and does to their connections what networks do.
type Relay struct {
	Addr     string
	target   atomic.Pointer[string]
	listener net.Listener
	holding  atomic.Bool
	refusing atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// NewRelay listens for a controller at an address, which SetTarget changes.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: listener.Addr().String(), listener: listener, open: map[net.Conn]bool{}}
	r.SetTarget(target)
	go r.accept()
	return r, nil
}

// accept forwards connections until the listener is closed.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// SetTarget lets new connections lead to another address.
func (r *Relay) SetTarget(addr string) { r.target.Store(&addr) }

// Hold drops all bytes of all connections from now on, or no more: connections are half open. Those made meanwhile
// stay so.
func (r *Relay) Hold(hold bool) { r.holding.Store(hold) }

// Refuse closes new connections at once, or no more.
func (r *Relay) Refuse(refuse bool) { r.refusing.Store(refuse) }

// Cut closes all connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		_ = conn.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

// forward carries one connection until either side ends it.
func (r *Relay) forward(caller net.Conn) {
	if r.refusing.Load() {
		_ = caller.Close()
		return
	}
	target, err := net.Dial("tcp", *r.target.Load())
	if err != nil {
		_ = caller.Close()
		return
	}
	r.mu.Lock()
	r.open[caller] = true
	r.open[target] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		r.copy(caller, target)
	}()
	go func() {
		defer directions.Done()
		r.copy(target, caller)
	}()
	directions.Wait()
	r.mu.Lock()
	delete(r.open, caller)
	delete(r.open, target)
	r.mu.Unlock()
}

// copy carries bytes of one direction, and closes both connections at its end.
func (r *Relay) copy(from, to net.Conn) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.holding.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

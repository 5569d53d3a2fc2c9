package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// relayBufferSize is the size of the buffer for each direction, in bytes.
const relayBufferSize = 32 << 10

// Relay forwards TCP connections between callers and a controller on loopback, and simulates network faults on them.
type Relay struct {
	Addr     string
	target   atomic.Pointer[string]
	listener net.Listener
	holding  atomic.Bool
	refusing atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]bool
}

// NewRelay starts a relay on a free loopback port that forwards to the target address. Close ends it.
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

// SetTarget changes the target of later connections. Open ones keep theirs.
func (r *Relay) SetTarget(addr string) { r.target.Store(&addr) }

// Hold sets whether all bytes on all connections are dropped while the connections stay open, as behind a network
// partition. Connections are still accepted meanwhile. Dropped bytes are not sent later, so connections made meanwhile
// stay half-open afterwards.
func (r *Relay) Hold(hold bool) { r.holding.Store(hold) }

// Refuse sets whether new connections are closed at once.
func (r *Relay) Refuse(refuse bool) { r.refusing.Store(refuse) }

// Cut closes all open connections. Later ones are not affected.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		_ = conn.Close()
	}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

// forward forwards one connection in both directions until either side closes it.
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

// copy copies bytes in one direction until an error or the end, and then closes both connections.
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

package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// Relay stands on loopback between a caller and a governor, and does to their connections what networks do.
type Relay struct {
	Addr string
	to   atomic.Pointer[string]
	l    net.Listener
	held atomic.Bool
	shut atomic.Bool
	mu   sync.Mutex
	open map[net.Conn]bool
}

// NewRelay listens for a governor at an address, which may be changed by To.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), l: l, open: map[net.Conn]bool{}}
	r.To(to)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.carry(c)
		}
	}()
	return r, nil
}

// To lets new connections lead elsewhere.
func (r *Relay) To(addr string) { r.to.Store(&addr) }

// Hold swallows all bytes of all connections from now on, or no more: connections stand half open. Those made meanwhile stay so.
func (r *Relay) Hold(held bool) { r.held.Store(held) }

// Refuse closes new connections at once, or no more.
func (r *Relay) Refuse(shut bool) { r.shut.Store(shut) }

// Cut breaks all connections.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
}

// Close ends it.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.Cut()
}

func (r *Relay) carry(c net.Conn) {
	if r.shut.Load() {
		_ = c.Close()
		return
	}
	to, err := net.Dial("tcp", *r.to.Load())
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.open[c], r.open[to] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	pump := func(from, into net.Conn) {
		defer both.Done()
		defer func() { _ = from.Close() }()
		defer func() { _ = into.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 && !r.held.Load() {
				if _, err := into.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(c, to)
	go pump(to, c)
	both.Wait()
	r.mu.Lock()
	delete(r.open, c)
	delete(r.open, to)
	r.mu.Unlock()
}

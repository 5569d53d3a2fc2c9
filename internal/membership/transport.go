package membership

import (
	"log"
	"net"
	"sync"

	"github.com/hashicorp/memberlist"

	"cressknot/internal/netlimit"
)

const (
	// maxStreams is the number of streams from other controllers that are handled at a time. The library allocates up to
	// 20 MiB for a stream as soon as its header announces them.
	maxStreams = 4
	// bindRetries is the number of times that a port which the system chose is tried again with both protocols.
	bindRetries = 10
)

// limitedTransport is the library's transport with limits on the streams of other controllers: on their number, and
// on what they hold together with all other connections of the process. It closes the oldest stream of the address
// that has the most.
type limitedTransport struct {
	*memberlist.NetTransport
	budget   *netlimit.Budget
	inbound  *netlimit.Budget // limits the number of streams
	handled  chan struct{}    // has an element for each stream that the library handles
	streams  chan net.Conn
	quit     chan struct{}
	forward  sync.WaitGroup
	quitOnce sync.Once
}

// newTransport listens on an address for both protocols of the library.
func newTransport(host string, port int, logger *log.Logger, budget *netlimit.Budget) (*limitedTransport, error) {
	config := &memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger}
	inner, err := memberlist.NewNetTransport(config)
	for retry := 0; err != nil && port == 0 && retry < bindRetries; retry++ { // the port is in use by the other protocol
		inner, err = memberlist.NewNetTransport(config)
	}
	if err != nil {
		return nil, err
	}
	t := &limitedTransport{
		NetTransport: inner,
		budget:       budget,
		inbound:      netlimit.New(netlimit.Limits{Connections: maxStreams}, nil),
		handled:      make(chan struct{}, maxStreams),
		streams:      make(chan net.Conn),
		quit:         make(chan struct{}),
	}
	t.forward.Go(t.forwardStreams)
	return t, nil
}

// StreamCh returns the channel of the streams of other controllers.
func (t *limitedTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the listeners.
func (t *limitedTransport) Shutdown() error {
	t.quitOnce.Do(func() { close(t.quit) })
	err := t.NetTransport.Shutdown()
	t.forward.Wait()
	return err
}

// forwardStreams passes streams to the library until Shutdown. A further stream first closes another one, and then
// waits until the library has released that one's memory.
func (t *limitedTransport) forwardStreams() {
	for {
		select {
		case <-t.quit:
			return
		case conn := <-t.NetTransport.StreamCh():
			stream := t.limit(conn)
			select {
			case t.handled <- struct{}{}:
			case <-t.quit:
				_ = stream.Conn.Close()
				return
			}
			select {
			case t.streams <- stream:
			case <-t.quit:
				_ = stream.Close()
				return
			}
		}
	}
}

// limit returns a stream with its accounts.
func (t *limitedTransport) limit(conn net.Conn) *limitedStream {
	counted := netlimit.NewConn(conn, t.inbound, "gossip")
	return &limitedStream{Conn: netlimit.NewConn(counted, t.budget, "gossip"), transport: t}
}

// limitedStream counts what it receives, as the library keeps that until the message is complete.
type limitedStream struct {
	*netlimit.Conn
	transport *limitedTransport
	closeOnce sync.Once
}

// Read reads from the stream.
func (s *limitedStream) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	s.Account.Add(int64(n))
	return n, err
}

// Close closes the stream. The library calls it when it has handled the stream.
func (s *limitedStream) Close() error {
	s.closeOnce.Do(func() { <-s.transport.handled })
	return s.Conn.Close()
}

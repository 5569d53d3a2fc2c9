package fakes

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// silentDialTimeout is how long a connection over loopback may take before the queue of a listener counts as full.
	// The machine may be busy.
	silentDialTimeout = time.Second
	// maxQueuedConnections bounds the connections that fill the queue of a listener.
	maxQueuedConnections = 16
)

// SilentListener is an address at which connections do not come up, as behind a cut network: nothing accepts them, and
// the queue of the listener is full, so that the system drops further ones.
type SilentListener struct {
	Addr     string // host:port
	listener net.Listener
	queued   []net.Conn
}

// NewSilentListener listens on a free port of the loopback interface. The caller closes it.
func NewSilentListener() (*SilentListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SilentListener{Addr: listener.Addr().String(), listener: listener}
	if err := s.fillQueue(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// fillQueue connects until the system drops connections.
func (s *SilentListener) fillQueue() error {
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	if listenErr != nil {
		return listenErr
	}
	for range maxQueuedConnections {
		conn, err := net.DialTimeout("tcp", s.Addr, silentDialTimeout)
		if err != nil {
			return nil
		}
		s.queued = append(s.queued, conn)
	}
	return errors.New("the queue of the listener does not fill")
}

// Close ends the listener. Pending attempts to connect to it are refused.
func (s *SilentListener) Close() {
	for _, conn := range s.queued {
		_ = conn.Close()
	}
	_ = s.listener.Close()
}

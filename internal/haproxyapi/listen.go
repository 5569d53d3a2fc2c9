package haproxyapi

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// socketUmask gives Unix sockets the mode 0600.
	socketUmask = 0o177
	// liveSocketTimeout is how long a process on an existing Unix socket has to accept a connection.
	liveSocketTimeout = time.Second
)

// Listen listens for the text protocol: on host:port, or on a Unix socket of mode 0600. It replaces a socket on which
// no process listens any more, as a killed process leaves one.
func Listen(network, addr string) (net.Listener, error) {
	if network != "unix" {
		return net.Listen(network, addr)
	}
	previous := syscall.Umask(socketUmask)
	defer syscall.Umask(previous)
	listener, err := net.Listen("unix", addr)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return listener, err
	}
	if conn, dialErr := net.DialTimeout("unix", addr, liveSocketTimeout); dialErr == nil {
		_ = conn.Close()
		return nil, err
	}
	if err := os.Remove(addr); err != nil {
		return nil, err
	}
	return net.Listen("unix", addr)
}

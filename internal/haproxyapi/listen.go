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
	// liveSocketTimeout is how long the owner of an existing Unix socket may take to accept a connection before the
	// socket is considered stale.
	liveSocketTimeout = time.Second
)

// Listen listens on a TCP address, host:port, or on a Unix socket with mode 0600. It replaces a stale Unix socket,
// which a killed process leaves behind. It changes the umask of the process while it creates a socket.
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

package haproxyapi

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Listen listens for the text protocol: on host:port, or on a Unix socket of mode 0600. It takes the place of a socket that
// nobody listens on any more, as a killed process leaves one.
func Listen(network, addr string) (net.Listener, error) {
	if network != "unix" {
		return net.Listen(network, addr)
	}
	old := syscall.Umask(0o177)
	defer syscall.Umask(old)
	l, err := net.Listen("unix", addr)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return l, err
	}
	if c, dialed := net.DialTimeout("unix", addr, time.Second); dialed == nil {
		_ = c.Close()
		return nil, err
	}
	if err := os.Remove(addr); err != nil {
		return nil, err
	}
	return net.Listen("unix", addr)
}

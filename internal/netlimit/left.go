package netlimit

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasLeft reports whether the client of a connection has closed it, reset it, or sends nothing more, even if data that
// it sent before is still to be read. It reports false if that is not known.
func HasLeft(conn syscall.Conn) bool { return pollConn(conn, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) }

// IsUnreachable reports whether nothing that is written to a connection can reach its client any more. A client that
// only sends nothing more is reachable.
func IsUnreachable(conn syscall.Conn) bool { return pollConn(conn, unix.POLLHUP|unix.POLLERR) }

// pollConn reports whether one of the events has happened to a connection. It does not block.
func pollConn(conn syscall.Conn, events int16) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	happened := false
	err = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
		count, pollErr := unix.Poll(fds, 0)
		happened = pollErr == nil && count > 0 && fds[0].Revents&events != 0
	})
	return err == nil && happened
}

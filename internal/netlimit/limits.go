package netlimit

import (
	"fmt"
	"math"
	"runtime/debug"
	"syscall"

	"github.com/KimMachineGun/automemlimit/memlimit"
)

const (
	// byteFraction is the fraction of the memory that connections may hold by default. The Go runtime lets the heap grow
	// to twice what is in use before it collects.
	byteFraction = 1.0 / 8
	// minBytes lets a connection send one request of the largest size alongside others.
	minBytes = 4 << 20
	// maxBytes is the largest default, for machines whose memory other programs use, too.
	maxBytes = 256 << 20
	// bytesPerConnection is the memory of an idle connection with its buffers and goroutines.
	bytesPerConnection = 64 << 10
	// descriptorFraction is the fraction of the file descriptors that connections may use by default.
	descriptorFraction = 0.75
	// maxConnections is the largest default.
	maxConnections = 16384
	// fallbackMemory is assumed where the system tells nothing, in bytes.
	fallbackMemory = 1 << 30
)

// Limits of all connections of a process together.
type Limits struct {
	Bytes       int64 // held in memory: received parts of requests, requests in progress, unsent answers; 0: no limit
	Connections int   // 0: no limit
}

// DefaultLimits returns the limits for a process that may use this memory, in bytes, and this number of file descriptors.
func DefaultLimits(memory int64, descriptors int) Limits {
	bytes := int64(float64(memory) * byteFraction)
	connections := min(float64(memory)*byteFraction/bytesPerConnection, float64(descriptors)*descriptorFraction)
	return Limits{
		Bytes:       max(minBytes, min(maxBytes, bytes)),
		Connections: max(1, min(maxConnections, int(connections))),
	}
}

// ProcessMemory returns the memory that the process may use, in bytes: the memory limit of the Go runtime if one is set,
// else that of the control group, else the memory of the machine.
func ProcessMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	for _, provider := range []memlimit.Provider{memlimit.FromCgroup, memlimit.FromSystem} {
		if limit, err := provider(); err == nil && limit > 0 && limit < math.MaxInt64 {
			return int64(limit)
		}
	}
	return fallbackMemory
}

// ProcessDescriptors returns the number of file descriptors that the process may use.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// Limit identifies a limit of a budget.
type Limit uint8

// The limits of a budget.
const (
	ByteLimit Limit = iota
	ConnectionLimit
)

// Error says which limit a connection was closed for.
type Error struct {
	Limit Limit
	Max   int64 // the limit
	Held  int64 // bytes that the connection held; for ByteLimit only
}

func (e *Error) Error() string {
	if e.Limit == ConnectionLimit {
		return fmt.Sprintf("limit of %d open connections reached: connection closed", e.Max)
	}
	return fmt.Sprintf("limit of %d bytes held for all connections reached: connection closed, as it held %d bytes, the most",
		e.Max, e.Held)
}

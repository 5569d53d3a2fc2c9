package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopTimeout is how long a process may take to stop before it is killed.
	stopTimeout = 10 * time.Second
	// clockTick is the unit of CPU times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// firstTimeField and afterTimeFields are the index of utime and the index after stime among the fields that follow
	// the command's name in /proc/PID/stat.
	firstTimeField  = 11
	afterTimeFields = 13
	fileMode        = 0o644
	folderMode      = 0o755
)

// controllerProcess is a controller that runs as a separate process and may be restarted.
type controllerProcess struct {
	name, config, socket, log string
	reports                   string // host:port for load reports; "": none
	peers                     string // host:port for gossip with other controllers; "": none
	rpc, text                 string // addresses for client programs over gRPC and text; "": none

	mu         sync.Mutex
	cmd        *exec.Cmd
	pastCPU    time.Duration // of the processes that have ended
	peakMemory int64         // bytes
}

// start starts the process. Its standard error is appended to the log file's name plus ".err".
func (c *controllerProcess) start(launch func(string) *exec.Cmd) error {
	cmd := launch(c.config)
	stderr, err := os.OpenFile(c.log+".err", os.O_WRONLY|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = stderr.Close() }()
	cmd.Stderr = stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process if this program dies
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cmd = cmd
	return nil
}

// usage returns the CPU time of the running process, and the peak memory in bytes of all processes so far.
func (c *controllerProcess) usage() (cpu time.Duration, peakMemory int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return 0, c.peakMemory
	}
	folder := fmt.Sprintf("/proc/%d", c.cmd.Process.Pid)
	if status, err := os.ReadFile(folder + "/status"); err == nil {
		c.peakMemory = max(c.peakMemory, parsePeakMemory(string(status)))
	}
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return 0, c.peakMemory
	}
	return parseCPUTime(stat), c.peakMemory
}

// parsePeakMemory returns the peak resident memory in bytes from /proc/PID/status, 0 if it is missing.
func parsePeakMemory(status string) int64 {
	for line := range strings.Lines(status) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// parseCPUTime returns the user and system time from /proc/PID/stat.
func parseCPUTime(stat []byte) time.Duration {
	afterName := stat[slices.Index(stat, ')')+1:]
	fields := strings.Fields(string(afterName))
	ticks := int64(0)
	for _, field := range fields[firstTimeField:afterTimeFields] {
		number, _ := strconv.ParseInt(field, 10, 64)
		ticks += number
	}
	return time.Duration(ticks) * clockTick
}

// stop sends a signal and waits until the process has ended; after stopTimeout it kills the process. Without a running
// process it does nothing.
func (c *controllerProcess) stop(signal syscall.Signal) error {
	c.mu.Lock()
	cmd := c.cmd
	c.cmd = nil
	c.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Signal(signal); err != nil {
		return err
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	err := cmd.Wait()
	if cmd.ProcessState != nil {
		c.pastCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
	if signal != syscall.SIGKILL && err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	return nil
}

// signal sends a signal to the process if it is running.
func (c *controllerProcess) signal(signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(signal)
	}
}

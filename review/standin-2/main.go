// Command standin2 plays the cases of the second review: it starts the project's program as a process of its own, and
// proxies, servers, clients and the endpoint list as stand-ins, all on loopback addresses and Unix sockets.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long, with exit code 2. No case should reach it.
const timeLimit = 115 * time.Second

// lab is what all cases share.
type lab struct {
	rec     *record
	dir     string // temporary folder
	program string // bin/cressknot
	trouble bool

	mu      sync.Mutex
	cleanup []func()
}

func (l *lab) onEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cleanup = append(l.cleanup, f)
}

// end ends what was started, the latest first. Further calls do nothing.
func (l *lab) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.cleanup) - 1; i >= 0; i-- {
		l.cleanup[i]()
	}
	l.cleanup = nil
}

// endEarly ends the case when it is interrupted or takes too long, so that no process is left.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	fmt.Fprintln(os.Stderr, "could not run: interrupted, or over the time limit")
	l.end()
	os.Exit(2)
}

func main() {
	cases := map[string]func(*lab) (broken bool){
		"pinned-restart":     playRestart,
		"pinned-proxy-death": playProxyDeath,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*lab) bool, program, recordPath string) (code int) {
	l := &lab{program: program, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		l.end()
		if cause := recover(); cause != nil {
			reason, ok := cause.(setupError)
			if !ok {
				panic(cause)
			}
			fmt.Fprintln(os.Stderr, "could not run:", reason)
			code = 2
		}
	}()
	go l.endEarly()
	l.rec = newRecord(recordPath)
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	l.dir = dir
	if os.Getenv("KEEP") == "" {
		l.onEnd(func() { _ = os.RemoveAll(dir) })
	}
	if run(l) {
		l.rec.say("verdict: the rule is broken")
		return 1
	}
	l.rec.say("verdict: the rule held")
	return 0
}

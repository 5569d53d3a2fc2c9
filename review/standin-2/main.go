// Command standin2 plays the cases of the second review: it starts the project's program as a process of its own, and
// proxies, servers, clients and the endpoint list as stand-ins, all on loopback addresses and Unix sockets.
package main

import (
	"fmt"
	"os"
)

// lab is what all cases share.
type lab struct {
	rec     *record
	dir     string // temporary folder
	program string // bin/cressknot
	trouble bool
	cleanup []func()
}

func (l *lab) onEnd(f func()) { l.cleanup = append(l.cleanup, f) }

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
		for i := len(l.cleanup) - 1; i >= 0; i-- {
			l.cleanup[i]()
		}
		if cause := recover(); cause != nil {
			reason, ok := cause.(setupError)
			if !ok {
				panic(cause)
			}
			fmt.Fprintln(os.Stderr, "could not run:", reason)
			code = 2
		}
	}()
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

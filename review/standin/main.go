package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	record := flag.String("record", "record.txt", "the file to write to")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.String("logs", "", "folder to copy the logs of the governors to")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *trouble, *keep))
}

func play(name, root, record string, trouble bool, keep string) int {
	played, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no case of the name", name)
		return notRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w := &world{
		root: root, temp: temp, began: time.Now(), stop: make(chan struct{}),
		record: file, served: map[string]*load{}, servers: map[string]*server{}, breaks: map[string]int{}, worst: map[string]float64{},
	}
	code := played(w, trouble)
	close(w.stop)
	w.end(keep)
	w.mu.Lock()
	_ = w.record.Close()
	w.mu.Unlock()
	return code
}

// end ends the governors and removes the temporary folder.
func (w *world) end(keep string) {
	for _, g := range w.govs {
		if g.command == nil {
			continue
		}
		_ = g.command.Process.Kill()
		select {
		case <-g.exited:
		case <-time.After(endTimeout):
		}
		if keep != "" {
			copyFile(filepath.Join(w.temp, g.name+".log"), filepath.Join(keep, g.name+".log"))
		}
	}
	_ = os.RemoveAll(w.temp)
}

// endTimeout bounds the wait for the end of a governor that was killed.
const endTimeout = 5 * time.Second

func copyFile(from, to string) {
	source, err := os.Open(from)
	if err != nil {
		return
	}
	defer func() { _ = source.Close() }()
	target, err := os.Create(to)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	_, _ = io.Copy(target, source)
}

// open makes a site with its governors, starts them and lets the proxies join. It returns false if it can't.
func (w *world) open(s *site, zones, seeds []string) bool {
	w.site = s
	w.disco = newDiscovery(w)
	s.addServers(w)
	s.setRate(w, s.proxies*len(zones))
	for i, zone := range zones {
		if _, err := w.addGovernor(zone, seeds[i], s.proxies); err != nil {
			w.fail(err)
			return false
		}
	}
	for _, g := range w.govs {
		if err := g.start(); err != nil {
			w.fail(err)
			return false
		}
	}
	for _, g := range w.govs {
		g.serve()
	}
	go w.count()
	go w.watchBare()
	return true
}

// watchBare judges all proxies every 50 ms.
func (w *world) watchBare() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-tick.C:
			for _, g := range w.govs {
				for _, p := range g.proxies {
					p.checkBare(now)
				}
			}
		}
	}
}

func (w *world) fail(err error) {
	w.logf("the case cannot run: %v", err)
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
}

// crashed reports a governor that has ended by itself.
func (w *world) crashed() bool {
	for _, g := range w.govs {
		select {
		case err := <-g.exited:
			g.exited <- err
			w.logf("%s has ended by itself: %v", g.name, err)
			return true
		default:
		}
	}
	return false
}

// coldVerdict prints and records the result of the rule on cold servers.
func (w *world) coldVerdict() int {
	if w.crashed() {
		fmt.Println("a governor has ended by itself")
		return notRun
	}
	w.mu.Lock()
	falls := w.falls
	w.mu.Unlock()
	if len(falls) == 0 {
		w.logf("rule held: no cold server was pushed over")
		fmt.Println("rule held: no cold server was pushed over")
		return ruleHeld
	}
	for _, f := range falls {
		text := fmt.Sprintf("rule broken: %s was sent %.1f times what it could do, %.2f s after its start; "+
			"%d requests came to it after it had fallen over", f.uid, f.times, f.age.Seconds(), w.unanswered([]string{f.uid}))
		w.logf("%s", text)
		fmt.Println(text)
	}
	return ruleBroken
}

// unanswered returns how many requests some servers got after they had ended or fallen over.
func (w *world) unanswered(uids []string) (count int) {
	for _, uid := range uids {
		s := w.server(uid)
		s.mu.Lock()
		count += s.unanswered
		s.mu.Unlock()
	}
	return count
}

// verdict prints and records the result of the rule on draining.
func (w *world) verdict(what string) int {
	if w.crashed() {
		fmt.Println("a governor has ended by itself")
		return notRun
	}
	late := w.lateTries()
	if len(late) == 0 {
		w.logf("rule held: %s", what)
		fmt.Println("rule held:", what)
		return ruleHeld
	}
	servers := map[string]bool{}
	longest := time.Duration(0)
	for _, try := range late {
		servers[try.server] = true
		longest = max(longest, try.over)
	}
	var names []string
	for name := range servers {
		names = append(names, name)
	}
	text := fmt.Sprintf("%d tries at %s after the limit, the last %.1f s after it; %d of them met a process that had ended",
		len(late), strings.Join(names, ", "), longest.Seconds(), w.unanswered(names))
	w.logf("rule broken: %s", text)
	fmt.Println("rule broken:", text)
	return ruleBroken
}

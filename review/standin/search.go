package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["search"] = search }

// search plays faults in random order and judges all rules. It is no case: it was used to look for faults.
//
// It reads SEARCH_SEED, SEARCH_SITE (north, salt; otherwise bengal), SEARCH_SECONDS, SEARCH_SHARE (of the calls that
// fail), SEARCH_LOAD (of the capacity) and SEARCH_FAULTS, names joined by "+": calls, burst, burststream, streams, proxies, servers, watch, stall, kill,
// hup, relaycut.
func search(w *world, _ bool) int {
	seed, _ := strconv.Atoi(os.Getenv("SEARCH_SEED"))
	rnd := rand.New(rand.NewSource(int64(seed)))
	s := bengal()
	switch os.Getenv("SEARCH_SITE") {
	case "salt":
		s = saltLake()
	case "north":
		s = northBengal()
		s.discovery = "on_request"
	}
	if load, err := strconv.ParseFloat(os.Getenv("SEARCH_LOAD"), 64); err == nil {
		s.load = load
	}
	faults := map[string]bool{}
	for _, f := range strings.Split(os.Getenv("SEARCH_FAULTS"), "+") {
		faults[f] = true
	}
	hex := func() string { return fmt.Sprintf("%016x", rnd.Uint64()) }
	s.proxies = 8
	if !w.open(s, []string{s.Zones[0]}, []string{hex()}) {
		return notRun
	}
	g := w.govs[0]
	seconds, _ := strconv.Atoi(os.Getenv("SEARCH_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	share, _ := strconv.ParseFloat(os.Getenv("SEARCH_SHARE"), 64)
	if faults["calls"] {
		r2 := rand.New(rand.NewSource(int64(seed) + 7))
		kinds := []string{callLost, callReset, callGarbled, callSilent, callForgotten}
		g.relay.fault = func() string {
			if r2.Float64() < share {
				return kinds[r2.Intn(len(kinds))]
			}
			return ""
		}
	}
	if mode := os.Getenv("SEARCH_SPOIL"); mode != "" {
		r3 := rand.New(rand.NewSource(int64(seed) + 9))
		g.spoilt = func(field string) string {
			if r3.Float64() >= share {
				return ""
			}
			options := map[string][]string{
				"total":    {"1000000", "999999", "0"},
				"interval": {"0.001", "0.1", "120000", "1"},
			}
			if mode == "wild" {
				options = map[string][]string{"total": {"-5", "1000000000000", "x", "2147483648"}, "interval": {"0", "-1000", "1e30", "x"}}
			}
			return options[field][r3.Intn(len(options[field]))]
		}
	}
	if faults["burst"] {
		began := time.Now()
		r2 := rand.New(rand.NewSource(int64(seed) + 7))
		kinds := []string{callReset, callGarbled}
		g.relay.fault = func() string {
			at := time.Since(began).Seconds()
			if at > 15 && at < 21 && r2.Float64() < share {
				return kinds[r2.Intn(2)]
			}
			return ""
		}
		for _, after := range []float64{15.1, 16.7} {
			time.AfterFunc(time.Duration(after*float64(time.Second)), func() {
				if faults["burststream"] {
					g.relay.resetStreams()
				}
			})
		}
	}
	spawn := func(name string, low, high float64, f func(r *rand.Rand)) {
		if !faults[name] {
			return
		}
		r := rand.New(rand.NewSource(rnd.Int63()))
		go func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration((low + r.Float64()*(high-low)) * float64(time.Second)))
				f(r)
			}
		}()
	}
	spawn("streams", 1, 8, func(*rand.Rand) { g.relay.resetStreams() })
	spawn("proxies", 0.5, 3, func(r *rand.Rand) {
		p := g.proxies[r.Intn(len(g.proxies))]
		p.mu.Lock()
		left := p.left
		p.mu.Unlock()
		if left {
			return
		}
		g.relay.leave(p)
		time.AfterFunc(time.Duration((0.24+r.Float64()*2)*float64(time.Second)), func() { g.relay.join(p) })
	})
	number := s.servers
	spawn("servers", 1, 4, func(r *rand.Rand) {
		w.disco.mu.Lock()
		var ready []int
		for i, t := range w.disco.targets {
			if t.State == "in_service" {
				ready = append(ready, i)
			}
		}
		w.disco.mu.Unlock()
		if len(ready) < s.servers*2/3 {
			return
		}
		i := ready[r.Intn(len(ready))]
		uid := w.disco.targets[i].UID
		if r.Intn(2) == 0 { // replaced
			s.addServer(w, number, number, float64(time.Now().UnixMilli()))
			number++
			w.drain(uid, 6*time.Second)
			time.AfterFunc(time.Duration(3+r.Intn(5))*time.Second, func() { w.disco.set(uid, "terminated") })
			return
		}
		w.drain(uid, 6*time.Second)
		w.disco.set(uid, "terminated")
		time.AfterFunc(time.Duration(3+r.Intn(20))*time.Second, func() { w.comeBack(uid) })
	})
	spawn("watch", 2, 9, func(r *rand.Rand) {
		g.access.listener.resetAll()
	})
	spawn("stall", 2, 4, func(r *rand.Rand) {
		_ = g.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(1500+r.Intn(500)) * time.Millisecond)
		_ = g.command.Process.Signal(syscall.SIGCONT)
	})
	spawn("relaycut", 14, 18, func(*rand.Rand) {
		w.logf("n0: network to the relay is cut")
		g.relay.setSilent(true)
		if err := g.relayListener.block(); err != nil {
			w.logf("n0: %v", err)
		}
		time.Sleep(6 * time.Second)
		g.relayListener.unblock()
		g.relay.setSilent(false)
		w.logf("n0: network to the relay is whole again")
	})
	dead := false
	spawn("kill", 6, 14, func(r *rand.Rand) {
		known, _, _ := w.disco.object(0, true)
		w.mu.Lock()
		dead = true
		w.mu.Unlock()
		w.logf("n0 is killed")
		_ = g.command.Process.Kill()
		<-g.exited
		for _, p := range g.proxies {
			g.relay.leave(p)
		}
		g.relay.forget()
		time.Sleep(time.Duration((2.2 + r.Float64()*4) * float64(time.Second)))
		g.knownList, g.seed = known, fmt.Sprintf("%016x", r.Uint64())
		if err := g.start(); err != nil {
			w.logf("BROKEN start: %v", err)
		}
		w.mu.Lock()
		dead = false
		w.mu.Unlock()
		go g.collect()
		for _, p := range g.proxies {
			time.AfterFunc(time.Duration((0.24+r.Float64()*2)*float64(time.Second)), func() { g.relay.join(p) })
		}
	})
	spawn("hup", 5, 9, func(r *rand.Rand) {
		oldRelay, oldDisco := g.relayListener, g.access.listener
		var err error
		if g.relayListener, err = listenOn(g.relay); err != nil {
			return
		}
		g.relayAt = g.relayListener.Addr().String()
		if g.access.listener, err = listenOn(g.access); err != nil {
			return
		}
		if err := g.writeConfig(); err != nil {
			return
		}
		w.logf("n0: new configuration, SIGHUP")
		_ = g.command.Process.Signal(syscall.SIGHUP)
		_ = oldRelay.TCPListener.Close()
		_ = oldDisco.TCPListener.Close()
		time.Sleep(1500 * time.Millisecond)
		oldRelay.resetAll()
		oldDisco.resetAll()
	})
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		w.mu.Lock()
		down := dead
		w.mu.Unlock()
		if !down && w.crashed() {
			fmt.Println("CRASHED")
			return ruleBroken
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println("seed", seed, os.Getenv("SEARCH_FAULTS"), "breaks:", w.breaks, fmt.Sprintf("%.2v", w.worst), "falls:", w.falls)
	if len(w.breaks)+len(w.falls) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// comeBack lists a server that has died as started again.
func (w *world) comeBack(uid string) {
	now := time.Now()
	s := w.server(uid)
	s.mu.Lock()
	s.started = now
	s.fallen = false
	s.recent = nil
	s.mu.Unlock()
	w.mu.Lock()
	delete(drains, uid)
	for _, g := range w.govs {
		delete(g.startTold, uid)
	}
	w.mu.Unlock()
	w.disco.mu.Lock()
	for _, t := range w.disco.targets {
		if t.UID == uid {
			t.BootMs = float64(now.UnixMilli())
		}
	}
	w.disco.mu.Unlock()
	w.disco.set(uid, "in_service")
}

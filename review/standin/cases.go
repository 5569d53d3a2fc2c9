package main

import "time"

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(w *world, trouble bool) int{
	"pushed-list": pushedList,
	"cut":         cutDiscovery,
	"release":     release,
	"zone":        zoneLost,
}

// pushedList: a server drains on a site whose settings say that the list is pushed.
func pushedList(w *world, trouble bool) int {
	if !w.open(northBengal(), []string{"matigara"}, []string{"8c1f30d27a5be964"}) {
		return notRun
	}
	time.Sleep(10 * time.Second)
	if trouble {
		uid := w.disco.targets[5].UID
		w.drain(uid, 10*time.Second)
		w.endAfterLimit(uid)
	}
	time.Sleep(30 * time.Second)
	return w.verdict("no try at a draining server after the limit")
}

// cutDiscovery: the network between governors and discovery is silent for 6 s as a server begins to drain.
func cutDiscovery(w *world, trouble bool) int {
	seeds := []string{"0b3c29e4c11e0373", "d805e05e8bf11bab", "946f6aa5200fa21f"}
	if !w.open(bengal(), []string{"salt-lake", "howrah", "kalyani"}, seeds) {
		return notRun
	}
	time.Sleep(12200 * time.Millisecond) // half a second after discovery's sign of life
	if trouble {
		for _, g := range w.govs {
			if err := g.access.cut(); err != nil {
				w.fail(err)
				return notRun
			}
		}
	}
	uid := w.disco.targets[5].UID
	w.drain(uid, 6*time.Second)
	w.endAfterLimit(uid)
	time.Sleep(6 * time.Second)
	if trouble {
		for _, g := range w.govs {
			g.access.heal()
		}
	}
	time.Sleep(12 * time.Second)
	return w.verdict("no try at a draining server after the limit")
}

// release: the servers of a site are replaced by fresh ones with new ids, one after the other.
func release(w *world, trouble bool) int {
	if !w.open(saltLake(), []string{"ground-floor", "first-floor"}, []string{"8c1f30d27a5be964", "5d0e7c91b3a2f846"}) {
		return notRun
	}
	time.Sleep(8 * time.Second)
	old := append([]*target{}, w.disco.targets...)
	for place := range old {
		if trouble {
			w.site.addServer(w, len(old)+place, place, float64(time.Now().UnixMilli()))
			w.disco.set(old[place].UID, "terminating")
			time.AfterFunc(4*time.Second, func() { w.disco.set(old[place].UID, "terminated") })
		}
		time.Sleep(6 * time.Second)
	}
	time.Sleep(10 * time.Second)
	return w.coldVerdict()
}

// zoneLost: a zone is lost for 5 s, with its servers, its proxies and its governor, and returns cold.
func zoneLost(w *world, trouble bool) int {
	s := bengal()
	s.servers, s.proxies, s.load = 20, 3, 0.5
	seeds := []string{"8c1f30d27a5be964", "5d0e7c91b3a2f846", "e17b4460c92d8a35", "3a96f1d807c45b2e"}
	if !w.open(s, s.Zones, seeds) {
		return notRun
	}
	time.Sleep(12 * time.Second)
	if !trouble {
		time.Sleep(25 * time.Second)
		return w.coldVerdict()
	}
	g := w.govs[1]
	known, _, _ := w.disco.object(0, true)
	uids := w.disco.readyIn(g.zone)
	w.logf("zone %s is lost", g.zone)
	for _, uid := range uids {
		w.server(uid).die()
	}
	g.kill()
	for _, p := range g.proxies {
		p.die()
	}
	time.Sleep(5 * time.Second) // discovery notices silent machines after 5 to 13 s: the list does not change
	w.logf("zone %s is back", g.zone)
	back := time.Now()
	for _, uid := range uids {
		w.server(uid).start(back)
	}
	for _, p := range g.proxies {
		p.restart()
	}
	g.knownList, g.seed = known, "b0c35e9d7714a862"
	if err := g.start(); err != nil {
		w.fail(err)
		return notRun
	}
	go g.collect()
	time.Sleep(time.Until(back.Add(400 * time.Millisecond)))
	for _, uid := range uids {
		w.disco.started(uid, back)
	}
	time.Sleep(time.Until(back.Add(700 * time.Millisecond))) // front ends dial again within 0.69 to 2.5 s
	for _, p := range g.proxies {
		g.relay.join(p)
	}
	w.logf("%s: its proxies have joined again", g.name)
	time.Sleep(19 * time.Second)
	return w.coldVerdict()
}

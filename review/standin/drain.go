package main

import "time"

// drained is when a server was listed as draining or gone, and when the governors count as told of it.
type drained struct {
	listedAt time.Time
	told     map[*governor]time.Time
}

var drains = map[string]*drained{}

// drain lists a server as draining. Governors count as told at the latest after a time that the pages state.
func (w *world) drain(uid string, toldAfter time.Duration) {
	w.mu.Lock()
	d := &drained{listedAt: time.Now(), told: map[*governor]time.Time{}}
	for _, g := range w.govs {
		d.told[g] = d.listedAt.Add(toldAfter)
	}
	drains[uid] = d
	w.mu.Unlock()
	w.disco.set(uid, "terminating")
}

// endAfterLimit ends a draining server soon after the latest limit, when no proxy may send to it any more.
func (w *world) endAfterLimit(uid string) {
	latest := time.Time{}
	for _, g := range w.govs {
		if at, _ := g.deadline(uid, time.Time{}); at.After(latest) {
			latest = at
		}
	}
	time.AfterFunc(time.Until(latest)+endDelay, func() {
		s := w.server(uid)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		w.logf("%s has completed what it had, and ends", uid)
		w.disco.set(uid, "terminated")
	})
}

// endDelay is the time from the limit of the rule on draining to the end of the process.
const endDelay = 100 * time.Millisecond

// noteWritten records that discovery has written all that is listed to a governor.
func (w *world) noteWritten(g *governor) {
	if g.access.isCut() {
		return // counts as told later, by the time that the pages state
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range drains {
		if now := time.Now(); now.Before(d.told[g]) {
			d.told[g] = now
		}
	}
}

func (a *access) isCut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cutUntil != nil
}

// deadline returns when the proxies of the governor have to have stopped to send to a server.
func (g *governor) deadline(uid string, joinedAt time.Time) (at time.Time, draining bool) {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	d := drains[uid]
	if d == nil {
		return time.Time{}, false
	}
	from := d.told[g]
	if joinedAt.After(from) {
		from = joinedAt
	}
	return from.Add(g.w.site.drainGrace + slack), true
}

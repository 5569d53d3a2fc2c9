package main

import (
	"sync"
	"time"
)

// Allowance of the rule on cold servers for chance.
const (
	budgetSlackFactor   = 1.15
	budgetSlackRequests = 3
)

// server is a server of the platform: a queue with some cores, that is cold after its start.
type server struct {
	w          *world
	uid        string
	speed      float64 // of a core
	mu         sync.Mutex
	started    time.Time // zero: long ago
	down       bool
	fallen     bool
	unanswered int     // requests that came after it ended or fell over
	waiting    float64 // seconds of work of a core of speed 1 that wait or run
	updated    time.Time
	recent     []sentWork // in the last span of the rule, while it is cold
}

type sentWork struct {
	at      time.Time
	work    float64
	knowing bool // the proxy's governor knew about the start, as the rule words it
}

// capacity returns the seconds of work per second that the server can do. The caller holds the lock.
func (s *server) capacity(now time.Time) float64 {
	full := s.w.site.cores * s.speed
	if s.started.IsZero() {
		return full
	}
	part := now.Sub(s.started).Seconds() / s.w.site.cold.Seconds()
	return full * min(1, s.w.site.coldFrom+(1-s.w.site.coldFrom)*part)
}

// die ends the process.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

// start starts the process again.
func (s *server) start(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.fallen, s.started, s.waiting, s.recent = false, false, at, 0, nil
}

func (s *server) isCold(now time.Time) bool {
	return !s.started.IsZero() && now.Sub(s.started) < s.w.site.cold
}

// receive takes a request with some seconds of work. It returns whether it is answered well, and the time it takes.
func (s *server) receive(work float64, knowing bool) (good bool, took time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.fallen {
		s.unanswered++
		return false, 0
	}
	s.judge(now, work, knowing)
	capacity := s.capacity(now)
	s.waiting = max(0, s.waiting-capacity*now.Sub(s.updated).Seconds())
	s.updated = now
	if s.fallen || s.waiting > s.w.site.room*s.w.site.cores*s.w.site.meanWork() {
		return false, 0
	}
	seconds := s.waiting/capacity + work/s.speed
	s.waiting += work
	return true, time.Duration(seconds * float64(time.Second))
}

// judge applies the rule on cold servers: the work sent within any span of the stated length stays under the stated
// multiple of the present capacity. The caller holds the lock.
func (s *server) judge(now time.Time, work float64, knowing bool) {
	if !s.isCold(now) {
		s.recent = nil
		return
	}
	span := s.w.site.fallSpan()
	s.recent = append(s.recent, sentWork{now, work, knowing})
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) > span {
		s.recent = s.recent[1:]
	}
	sum, knowingSum := 0.0, 0.0
	for _, sent := range s.recent {
		sum += sent.work
		if sent.knowing {
			knowingSum += sent.work
		}
	}
	limit := s.w.site.fallFactor * s.capacity(now) * span.Seconds()
	s.w.near("failback", sum/(limit*budgetSlackFactor+budgetSlackRequests*s.w.site.meanWork()))
	if sum > limit*budgetSlackFactor+budgetSlackRequests*s.w.site.meanWork() {
		s.fallen = true
		s.w.fell(s, now, sum/(s.capacity(now)*span.Seconds()), knowingSum/sum)
	}
}

// fall is a cold server that was pushed over.
type fall struct {
	uid   string
	age   time.Duration
	times float64 // the work sent, in multiples of what the server could do
	known float64 // the part of it that came with knowledge of the start
}

// brokenFrom is the part of the work that has to come with knowledge of the start for the rule to be broken.
const brokenFrom = 2.0 / 3

func (w *world) fell(s *server, now time.Time, times, known float64) {
	if known < brokenFrom {
		w.logf("%s falls over %.2f s after its start; only %.2f of the work came with knowledge of the start: no break of the rule",
			s.uid, now.Sub(s.started).Seconds(), known)
		return
	}
	w.mu.Lock()
	w.falls = append(w.falls, fall{s.uid, now.Sub(s.started), times, known})
	w.mu.Unlock()
	w.logf("BROKEN: %s is pushed over %.2f s after its start: sent %.1f times what it could do within %v, %.2f of it knowingly",
		s.uid, now.Sub(s.started).Seconds(), times, w.site.fallSpan(), known)
}

func (w *world) server(uid string) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[uid]
}

// addServer makes the server of a target.
func (w *world) addServer(t *target, speed float64) *server {
	s := &server{w: w, uid: t.UID, speed: speed, updated: time.Now()}
	if t.BootMs > 0 {
		s.started = time.UnixMilli(int64(t.BootMs))
	}
	w.mu.Lock()
	w.servers[t.UID] = s
	w.mu.Unlock()
	return s
}

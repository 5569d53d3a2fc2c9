package text

import "sync"

// sender writes the updates of all watching connections in one goroutine, so that the hub, which wakes it, never blocks
// on a connection.
type sender struct {
	mu       sync.Mutex
	due      map[*connection]bool // connections that may have an update to send
	order    []*connection        // the keys of due, in the order of their enqueue calls
	wake     chan struct{}
	quit     chan struct{}
	done     sync.WaitGroup
	stopOnce sync.Once
}

func newSender() sender {
	return sender{due: map[*connection]bool{}, wake: make(chan struct{}, 1), quit: make(chan struct{})}
}

func (s *sender) start() {
	s.done.Add(1)
	go s.run()
}

// stop ends the goroutine and waits for it. It may be called more than once.
func (s *sender) stop() {
	s.stopOnce.Do(func() { close(s.quit) })
	s.done.Wait()
}

// enqueue schedules a connection to send the updates of its watcher. It does not block.
func (s *sender) enqueue(c *connection) {
	s.mu.Lock()
	if !s.due[c] {
		s.due[c] = true
		s.order = append(s.order, c)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) run() {
	defer s.done.Done()
	for {
		select {
		case <-s.wake:
		case <-s.quit:
			return
		}
		for _, c := range s.takeDue() {
			c.sendUpdates()
		}
	}
}

// takeDue returns the scheduled connections in order and clears the schedule.
func (s *sender) takeDue() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.order
	s.order = nil
	clear(s.due)
	return due
}

package text

import "sync"

// sender writes the updates of watchers in a goroutine of its own: the hub wakes it and never waits.
type sender struct {
	mu       sync.Mutex
	due      map[*connection]bool
	order    []*connection
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

// stop ends the goroutine and waits for it.
func (s *sender) stop() {
	s.stopOnce.Do(func() { close(s.quit) })
	s.done.Wait()
}

// enqueue lets a connection send what its watcher has.
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

func (s *sender) takeDue() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.order
	s.order = nil
	clear(s.due)
	return due
}

package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

// arrival is one request that a server received.
type arrival struct {
	at    time.Time
	class string
	id    string
	via   string
}

// server is a stand-in for a server of the fleet. It answers each line "CLASS ID VIA" after its service time.
type server struct {
	name     string
	addr     string
	listener net.Listener

	mu       sync.Mutex
	arrivals []arrival
}

const serviceTime = 8 * time.Millisecond

func startServer(rec *record, name string) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("server %s: %v", name, err)
	}
	s := &server{name: name, addr: listener.Addr().String(), listener: listener}
	rec.line("server %s listens at %s", name, s.addr)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) != 3 {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{time.Now(), words[0], words[1], words[2]})
		s.mu.Unlock()
		time.Sleep(serviceTime)
		if _, err := conn.Write([]byte("ok " + words[1] + "\n")); err != nil {
			return
		}
	}
}

// between returns the requests that arrived from one time to another.
func (s *server) between(from, to time.Time) (found []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			found = append(found, a)
		}
	}
	return found
}

// send sends one request to a server and reports whether it was answered.
func send(addr, class, id, via string) bool {
	conn, err := net.DialTimeout("tcp", addr, 400*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(class + " " + id + " " + via + "\n")); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && answer == "ok "+id+"\n"
}

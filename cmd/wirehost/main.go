// Wirehost runs many governors on one simulator wire: batches of events on standard input, one reply
// each on standard output. The governors share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// hosted is one instance and what the current batch holds for it.
type hosted struct {
	id       fleet.ControllerID
	governor *balancer.Balancer
	events   []fleet.Event
	waiting  bool // has its place in the order of this batch
}

type host struct {
	out       simwire.Writer
	instances map[fleet.ControllerID]*hosted
	turn      []*hosted // instances with events in this batch, in order of their first
}

// serve answers every batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	h := host{instances: make(map[fleet.ControllerID]*hosted)}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		reply, err := h.answer(batch)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
	}
}

func (h *host) answer(batch simwire.Batch) ([]byte, error) {
	h.out.Begin()
	h.turn = h.turn[:0]
	for _, item := range batch.Items {
		switch what := item.What.(type) {
		case simwire.Start:
			site, err := simwire.ParseSite(what.Options)
			if err != nil {
				return nil, fmt.Errorf("governor %d: %w", item.Governor, err)
			}
			fresh := &hosted{id: item.Governor, governor: balancer.New(site, what.Seed), waiting: true}
			h.instances[item.Governor] = fresh
			h.turn = append(h.turn, fresh)
		case simwire.Stop:
			// A dead instance orders nothing more, whatever it heard earlier in this batch.
			if old := h.instances[item.Governor]; old != nil {
				old.governor, old.events = nil, nil
				delete(h.instances, item.Governor)
			}
		case fleet.Event:
			at := h.instances[item.Governor]
			if at == nil {
				return nil, fmt.Errorf("governor %d: %T before its enlist", item.Governor, what)
			}
			if !at.waiting {
				at.waiting = true
				h.turn = append(h.turn, at)
			}
			at.events = append(at.events, what)
		}
	}
	for _, at := range h.turn {
		if at.governor != nil {
			if err := h.step(at, batch.Now); err != nil {
				return nil, err
			}
		}
		clear(at.events)
		at.events, at.waiting = at.events[:0], false
	}
	return h.out.Frame(), nil
}

// step lets one instance act; a panic in it becomes its own crash and leaves the others alone.
func (h *host) step(at *hosted, now fleet.Time) error {
	orders, failure := decide(at, now)
	for _, order := range orders {
		if err := h.out.Order(at.id, order); err != nil {
			return fmt.Errorf("governor %d: %w", at.id, err)
		}
	}
	if failure != "" {
		h.out.Crash(at.id, failure)
	}
	return nil
}

func decide(at *hosted, now fleet.Time) (orders []fleet.Order, failure string) {
	defer func() {
		if p := recover(); p != nil {
			orders, failure = nil, fmt.Sprint(p)
		}
	}()
	return at.governor.Step(now, at.events), ""
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// inputBufferBytes is larger than most batches.
const inputBufferBytes = 1 << 16

// serve writes a reply to every batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	h := newHost()
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		reply, err := h.handleBatch(batch)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// instance is one controller with its events of the current batch.
type instance struct {
	id        fleet.ControllerID
	balancer  *balancer.Balancer // nil after the instance was stopped
	events    []fleet.Event
	scheduled bool // the instance is in host.schedule
}

// host runs the instances of one connection.
type host struct {
	reply     simwire.Writer
	instances map[fleet.ControllerID]*instance
	schedule  []*instance // instances to step in this batch, in the order of their first items
}

func newHost() *host {
	return &host{instances: make(map[fleet.ControllerID]*instance)}
}

// handleBatch steps each instance that has items in a batch once, and returns the reply, which is valid until the next
// call.
func (h *host) handleBatch(batch simwire.Batch) ([]byte, error) {
	h.reply.Begin()
	h.schedule = h.schedule[:0]
	for _, item := range batch.Items {
		if err := h.handleItem(item); err != nil {
			return nil, fmt.Errorf("controller %d: %w", item.Controller, err)
		}
	}
	for _, scheduled := range h.schedule {
		if err := h.step(scheduled, batch.Now); err != nil {
			return nil, fmt.Errorf("controller %d: %w", scheduled.id, err)
		}
	}
	return h.reply.Frame(), nil
}

func (h *host) handleItem(item simwire.Item) error {
	switch item.Kind {
	case simwire.ItemStart:
		return h.start(item.Controller, item.Start)
	case simwire.ItemStop:
		h.stop(item.Controller)
		return nil
	default:
		return h.addEvent(item.Controller, item.Event)
	}
}

// start starts an instance and schedules its first step, which needs no event.
func (h *host) start(id fleet.ControllerID, start *simwire.Start) error {
	site, err := simwire.ParseSite(start.Options)
	if err != nil {
		return err
	}
	started := &instance{id: id, balancer: balancer.New(site, start.Seed), scheduled: true}
	h.instances[id] = started
	h.schedule = append(h.schedule, started)
	return nil
}

// stop stops an instance. It emits no orders for this batch, even for events before the stop.
func (h *host) stop(id fleet.ControllerID) {
	stopped := h.instances[id]
	if stopped == nil {
		return
	}
	stopped.balancer = nil
	stopped.events = nil
	delete(h.instances, id)
}

func (h *host) addEvent(id fleet.ControllerID, event fleet.Event) error {
	target := h.instances[id]
	if target == nil {
		return fmt.Errorf("received %T before the enlist message, which starts an instance", event)
	}
	if !target.scheduled {
		target.scheduled = true
		h.schedule = append(h.schedule, target)
	}
	target.events = append(target.events, event)
	return nil
}

// step steps an instance with its events and adds its orders to the reply. A panic is reported as a crash of this
// instance and does not affect the others.
func (h *host) step(target *instance, now fleet.Time) error {
	if target.balancer != nil {
		orders, failure := target.stepBalancer(now)
		for _, order := range orders {
			if err := h.reply.AppendOrder(target.id, order); err != nil {
				return err
			}
		}
		if failure != "" {
			h.reply.AppendCrash(target.id, failure)
		}
	}
	clear(target.events)
	target.events = target.events[:0]
	target.scheduled = false
	return nil
}

// stepBalancer steps the balancer. The failure is the text of a panic, empty if there was none.
func (i *instance) stepBalancer(now fleet.Time) (orders []fleet.Order, failure string) {
	defer func() {
		if cause := recover(); cause != nil {
			orders = nil
			failure = fmt.Sprint(cause)
		}
	}()
	return i.balancer.Step(now, i.events), ""
}

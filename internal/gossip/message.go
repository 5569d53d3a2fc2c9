package gossip

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Bounds of a message.
const (
	maxServersPerMessage = 2000 // what is beyond is not sent
	maxNameSize          = 256  // bytes
)

// Parameters of the transport of messages, which package membership uses.
const (
	// MaxMessageSize bounds a message, in bytes.
	MaxMessageSize = 1 << 20
	// MaxDatagramSize bounds messages that are sent as one datagram, in bytes. Larger ones go over streams.
	MaxDatagramSize = 1200
	// MaxConcurrentSends bounds the streams for one message.
	MaxConcurrentSends = 16
	// JoinInterval is the delay between attempts to join while no other controller is there.
	JoinInterval = 2 * fleet.Second
	// LeaveTimeout bounds the announcement of a graceful leave.
	LeaveTimeout = 2 * fleet.Second
	// DeadNodeReclaimTime is when the name of a dead controller may be taken by a new process at another address.
	DeadNodeReclaimTime = 30 * fleet.Second
)

// ServerStatus is what a controller's endpoint list says of a server. Only those are sent that are draining, gone
// or warming up.
type ServerStatus struct {
	Name    string            `json:"n"`
	State   fleet.ServerState `json:"s,omitempty"`
	Started fleet.Time        `json:"t,omitempty"` // on the wall clock, as in the list
}

// Observation sums up the recent attempts of a controller's proxies at a server.
type Observation struct {
	Name     string `json:"n"`
	Attempts uint32 `json:"t"`
	Failures uint32 `json:"f"`
}

const (
	// minObservedAttempts is the fewest attempts that say something about a server.
	minObservedAttempts = 8
	// unhealthyFraction of failed attempts is exceeded by an unhealthy server. A healthy one has at most half of it.
	unhealthyFraction = 0.5
)

func (o Observation) isUnhealthy() bool {
	return o.Attempts >= minObservedAttempts && float64(o.Failures) > unhealthyFraction*float64(o.Attempts)
}

func (o Observation) isHealthy() bool {
	return o.Attempts >= minObservedAttempts && float64(o.Failures) <= unhealthyFraction/2*float64(o.Attempts)
}

// Message is all that a controller sends to its peers at one time. The newest one replaces all earlier ones.
type Message struct {
	Controller   string         `json:"g"`
	Epoch        uint64         `json:"e"` // of its start
	Sequence     uint64         `json:"q"`
	ListRevision uint64         `json:"r"`
	Live         bool           `json:"l"` // its list came from the source since its start
	Servers      []ServerStatus `json:"s,omitempty"`
	Observations []Observation  `json:"v,omitempty"` // of servers that are unhealthy for it or for a peer
}

// Check returns what is invalid in a message, nil for nothing. Operators see the texts in "show log".
func (m *Message) Check() error {
	if m.Controller == "" || len(m.Controller) > maxNameSize {
		return fmt.Errorf("gossip message: controller name of %d bytes, want 1 to %d", len(m.Controller), maxNameSize)
	}
	if len(m.Servers) > maxServersPerMessage || len(m.Observations) > maxServersPerMessage {
		return fmt.Errorf("gossip from controller %q: %d servers and %d observations, at most %d of each allowed",
			m.Controller, len(m.Servers), len(m.Observations), maxServersPerMessage)
	}
	for i, server := range m.Servers {
		if server.Name == "" || len(server.Name) > maxNameSize || server.State > fleet.ServerGone {
			return fmt.Errorf("gossip from controller %q: servers[%d] is invalid: "+
				"name %.40q of %d bytes (want 1 to %d), state %d (want at most %d)",
				m.Controller, i, server.Name, len(server.Name), maxNameSize, server.State, fleet.ServerGone)
		}
	}
	for i, observation := range m.Observations {
		if observation.Name == "" || len(observation.Name) > maxNameSize || observation.Failures > observation.Attempts {
			return fmt.Errorf("gossip from controller %q: observations[%d] is invalid: "+
				"name %.40q of %d bytes (want 1 to %d), %d failures in %d attempts",
				m.Controller, i, observation.Name, len(observation.Name), maxNameSize,
				observation.Failures, observation.Attempts)
		}
	}
	return nil
}

// isNewer reports whether a message replaces another one of the same controller.
func (m *Message) isNewer(than *Message) bool {
	if m.Epoch != than.Epoch {
		return m.Epoch > than.Epoch
	}
	return m.Sequence > than.Sequence
}

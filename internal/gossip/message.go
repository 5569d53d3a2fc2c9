package gossip

import (
	"fmt"

	"cressknot/internal/fleet"
)

// Limits of a message.
const (
	maxServersPerMessage = 2000 // of each kind; further ones are not sent
	maxNameSize          = 256  // bytes
)

// Parameters of package membership, which transports messages.
const (
	// MaxMessageSize is the largest encoded message, in bytes.
	MaxMessageSize = 1 << 20
	// MaxDatagramSize is the largest encoded message that is sent as a datagram, in bytes. Larger ones are sent over
	// streams.
	MaxDatagramSize = 1200
	// MaxConcurrentSends bounds the streams over which one message is sent at a time.
	MaxConcurrentSends = 16
	// JoinInterval is the time between attempts to join while no other controller is a member.
	JoinInterval = 2 * fleet.Second
	// LeaveTimeout bounds the time for announcing a graceful leave.
	LeaveTimeout = 2 * fleet.Second
	// DeadNodeReclaimTime is how long after the death of a controller a process at another address may use its name.
	DeadNodeReclaimTime = 30 * fleet.Second
)

// ServerStatus is the state of a server in the sender's endpoint list. Only servers that are draining, gone or warming
// up are sent.
type ServerStatus struct {
	Name    string            `json:"n"`
	State   fleet.ServerState `json:"s,omitempty"`
	Started fleet.Time        `json:"t,omitempty"` // start time on the wall clock, as in the list; 0: unknown
}

// Observation counts the recent attempts of a controller's proxies at a server.
type Observation struct {
	Name     string `json:"n"`
	Attempts uint32 `json:"t"`
	Failures uint32 `json:"f"`
}

const (
	// minObservedAttempts is the fewest attempts from which the health of a server is judged.
	minObservedAttempts = 8
	// unhealthyFraction is the fraction of failed attempts above which a server is unhealthy. It is healthy up to half
	// of this fraction, and in between it is neither.
	unhealthyFraction = 0.5
)

func (o Observation) isUnhealthy() bool {
	return o.Attempts >= minObservedAttempts && float64(o.Failures) > unhealthyFraction*float64(o.Attempts)
}

func (o Observation) isHealthy() bool {
	return o.Attempts >= minObservedAttempts && float64(o.Failures) <= unhealthyFraction/2*float64(o.Attempts)
}

// Message is the complete gossip state of a controller. The newest message replaces all earlier ones of its sender.
type Message struct {
	Controller   string         `json:"g"`
	Epoch        uint64         `json:"e"` // of the start of the sender; a restart makes it higher
	Sequence     uint64         `json:"q"`
	ListRevision uint64         `json:"r"`
	Live         bool           `json:"l"` // the source has delivered the list since the sender started
	Servers      []ServerStatus `json:"s,omitempty"`
	Observations []Observation  `json:"v,omitempty"` // of servers that are unhealthy for the sender or a peer
}

// Check returns an error for the first invalid field of a message. The text of the error appears in "show log".
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
				"name %.40q of %d bytes (want 1 to %d), "+
				"%d failures in %d attempts (want at most as many failures as attempts)",
				m.Controller, i, observation.Name, len(observation.Name), maxNameSize,
				observation.Failures, observation.Attempts)
		}
	}
	return nil
}

// isNewer reports whether a message replaces another one of the same sender.
func (m *Message) isNewer(than *Message) bool {
	if m.Epoch != than.Epoch {
		return m.Epoch > than.Epoch
	}
	return m.Sequence > than.Sequence
}

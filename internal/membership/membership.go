// Package membership discovers the other controllers and transports gossip messages among them. It is based on
// hashicorp/memberlist, which provides failure detection, graceful leaves, and encryption if a key is set. Package
// gossip defines and interprets the messages.
package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"cressknot/internal/gossip"
	"cressknot/internal/netlimit"
)

// Version of the protocol between controllers. No messages are sent to controllers of another major version.
const (
	MajorVersion = 1
	MinorVersion = 0
)

// Options configure the membership of a controller.
type Options struct {
	Name      string
	Listen    string               // host:port
	Join      []string             // host:port of other controllers; one that is reachable suffices
	Key       []byte               // 16, 24 or 32 bytes; nil: not encrypted
	OnMessage func(gossip.Message) // called for each valid message
	OnError   func(error)          // called for invalid messages and members of another major version
	// OnChange is called when another controller has joined, or has left or died.
	OnChange     func(name string, joined bool)
	Connections  *netlimit.Budget // of all connections of the process; nil: no limits
	majorVersion int              // of the protocol; 0: MajorVersion. Only tests set it.
}

// protocolVersion is the metadata that a controller announces with its name.
type protocolVersion struct {
	Major int `json:"major"`
	Minor int `json:"minor"`
}

// Membership is the membership of one controller. Its methods are safe for concurrent use.
type Membership struct {
	options  Options
	list     *memberlist.Memberlist
	cancel   context.CancelFunc
	joinLoop sync.WaitGroup

	mu        sync.Mutex
	latest    []byte // latest message that was sent, encoded; for controllers that join
	sentBytes uint64
}

// Start listens at the configured address and joins the other controllers in the background. The callbacks of the
// options may be called, from other goroutines, before it returns. The caller must call Close.
func Start(options Options) (*Membership, error) {
	host, portText, err := net.SplitHostPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("membership: listen address: %w", err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("membership: port of listen address %q: %w", options.Listen, err)
	}
	if options.majorVersion == 0 {
		options.majorVersion = MajorVersion
	}
	m := &Membership{options: options}
	config := m.listConfig(host, int(port))
	limited, err := newTransport(host, int(port), config.Logger, options.Connections)
	if err != nil {
		return nil, fmt.Errorf("membership: start on %s: %w", options.Listen, err)
	}
	config.Transport = limited
	m.list, err = memberlist.Create(config)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("membership: start on %s: %w", options.Listen, err), limited.Shutdown())
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.joinLoop.Add(1)
	go m.join(ctx)
	return m, nil
}

func (m *Membership) listConfig(host string, port int) *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	config.Name = m.options.Name
	config.BindAddr = host
	config.BindPort = port
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.Delegate = &delegate{m}
	config.Events = &events{m}
	config.SecretKey = m.options.Key
	config.DeadNodeReclaimTime = time.Duration(gossip.DeadNodeReclaimTime)
	config.Logger = log.New(io.Discard, "", 0) // relevant events are reported by OnError and OnChange
	return config
}

// join contacts the configured controllers as long as there is no other member, until the context ends.
func (m *Membership) join(ctx context.Context) {
	defer m.joinLoop.Done()
	for {
		if len(m.options.Join) > 0 && m.list.NumMembers() < 2 {
			_, _ = m.list.Join(m.options.Join) // retried after JoinInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(gossip.JoinInterval)):
		}
	}
}

// Send sends a message to all other members of the same major version. It does not wait for streams to finish, and
// messages may be lost: the next one replaces them.
func (m *Membership) Send(message gossip.Message) {
	text, err := json.Marshal(message)
	if err != nil || len(text) > gossip.MaxMessageSize {
		return // package gossip bounds its messages
	}
	m.mu.Lock()
	m.latest = text
	m.mu.Unlock()
	streams := make(chan struct{}, gossip.MaxConcurrentSends)
	for _, node := range m.list.Members() {
		if node.Name == m.options.Name || !m.isCompatible(node) {
			continue
		}
		m.mu.Lock()
		m.sentBytes += uint64(len(text))
		m.mu.Unlock()
		if len(text) <= gossip.MaxDatagramSize {
			_ = m.list.SendBestEffort(node, text) // the next message replaces a lost one
			continue
		}
		go func() {
			streams <- struct{}{}
			defer func() { <-streams }()
			_ = m.list.SendReliable(node, text) // as above
		}()
	}
}

// isCompatible reports whether a member announces the major version of this controller.
func (m *Membership) isCompatible(node *memberlist.Node) bool {
	var version protocolVersion
	err := json.Unmarshal(node.Meta, &version)
	return err == nil && version.Major == m.options.majorVersion
}

// SentBytes returns the total size of the messages sent, in bytes, once for each receiver. Failed sends count, too.
func (m *Membership) SentBytes() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentBytes
}

// Names returns the names of all live members, including this controller.
func (m *Membership) Names() (names []string) {
	for _, node := range m.list.Members() {
		names = append(names, node.Name)
	}
	return names
}

// Close announces that this controller leaves, so that others do not take it for crashed, and stops listening.
// The announcement is bounded by gossip.LeaveTimeout.
func (m *Membership) Close() error {
	m.cancel()
	m.joinLoop.Wait()
	return errors.Join(m.list.Leave(time.Duration(gossip.LeaveTimeout)), m.list.Shutdown())
}

// receive decodes a message and passes it, or the error, to a callback.
func (m *Membership) receive(text []byte) {
	message, err := decodeMessage(text)
	if err != nil {
		m.options.OnError(fmt.Errorf("membership: %w", err))
		return
	}
	m.options.OnMessage(message)
}

func decodeMessage(text []byte) (message gossip.Message, err error) {
	if len(text) > gossip.MaxMessageSize {
		return message, fmt.Errorf("gossip message of %d bytes, at most %d allowed", len(text), gossip.MaxMessageSize)
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return message, fmt.Errorf("decode gossip message of %d bytes: %w", len(text), err)
	}
	return message, message.Check()
}

// delegate implements memberlist.Delegate.
type delegate struct{ m *Membership }

// NodeMeta returns the metadata announced with the name of this controller.
func (d *delegate) NodeMeta(int) []byte {
	text, _ := json.Marshal(protocolVersion{d.m.options.majorVersion, MinorVersion}) // encoding two numbers cannot fail
	return text
}

// NotifyMsg receives a message from another controller.
func (d *delegate) NotifyMsg(text []byte) { d.m.receive(text) }

// GetBroadcasts returns nothing: Send addresses each controller itself.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the latest message sent, so that a controller that joins need not wait for the next one.
func (d *delegate) LocalState(bool) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.latest
}

// MergeRemoteState receives the latest message of another controller; it is empty if there was none.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		d.m.receive(text)
	}
}

// events implements memberlist.EventDelegate.
type events struct{ m *Membership }

// NotifyJoin reports a controller that joined, and an error if its major version is another one.
func (e *events) NotifyJoin(node *memberlist.Node) {
	if node.Name == e.m.options.Name {
		return
	}
	e.m.options.OnChange(node.Name, true)
	if !e.m.isCompatible(node) {
		e.m.options.OnError(fmt.Errorf("membership: controller %q has an incompatible protocol version: "+
			"%.60q, want major version %d; sending it no messages",
			node.Name, node.Meta, e.m.options.majorVersion))
	}
}

// NotifyLeave reports a controller that left or died.
func (e *events) NotifyLeave(node *memberlist.Node) {
	if node.Name != e.m.options.Name {
		e.m.options.OnChange(node.Name, false)
	}
}

// NotifyUpdate does nothing: the announced metadata of a controller never changes.
func (e *events) NotifyUpdate(*memberlist.Node) {}

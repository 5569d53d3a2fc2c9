// Package membership lets controllers find each other and carries messages among them, on hashicorp/memberlist:
// membership, failure detection, graceful leaves, and encryption where a key is set. What messages mean is decided
// in package gossip.
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
)

// The version of the messages between controllers. Controllers of another major version are not listened to.
const (
	MajorVersion = 1
	MinorVersion = 0
)

// Options configure the membership of a controller.
type Options struct {
	Name      string
	Listen    string               // host:port
	Join      []string             // host:port of others; any one that is up is enough
	Key       []byte               // 16, 24 or 32 bytes; nil: not encrypted
	OnMessage func(gossip.Message) // called for each valid message
	OnError   func(error)          // called for what cannot be understood
	// OnChange is called when a controller is there or has left.
	OnChange     func(name string, joined bool)
	majorVersion int // of the protocol, for tests; 0: that of this program
}

// protocolVersion is what a controller announces to others.
type protocolVersion struct {
	Major int `json:"major"`
	Minor int `json:"minor"`
}

// Membership is the membership of one controller. Its methods may be called from any goroutine.
type Membership struct {
	options  Options
	list     *memberlist.Memberlist
	cancel   context.CancelFunc
	joinLoop sync.WaitGroup

	mu        sync.Mutex
	latest    []byte // our latest message, for those that join
	sentBytes uint64
}

// Start listens and begins to look for the other controllers.
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
	m.list, err = memberlist.Create(m.listConfig(host, int(port)))
	if err != nil {
		return nil, fmt.Errorf("membership: start on %s: %w", options.Listen, err)
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
	config.Logger = log.New(io.Discard, "", 0) // what matters is reported by OnError and OnChange
	return config
}

// join contacts the configured controllers until one is there, and again whenever none is.
func (m *Membership) join(ctx context.Context) {
	defer m.joinLoop.Done()
	for {
		if len(m.options.Join) > 0 && m.list.NumMembers() < 2 {
			_, _ = m.list.Join(m.options.Join) // the next attempt follows
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(gossip.JoinInterval)):
		}
	}
}

// Send sends our message to all controllers that are there. It waits for none of them.
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
			_ = m.list.SendBestEffort(node, text) // the next message makes up for a lost one
			continue
		}
		go func() {
			streams <- struct{}{}
			defer func() { <-streams }()
			_ = m.list.SendReliable(node, text) // the same
		}()
	}
}

// isCompatible reports whether a controller has our major version.
func (m *Membership) isCompatible(node *memberlist.Node) bool {
	var version protocolVersion
	err := json.Unmarshal(node.Meta, &version)
	return err == nil && version.Major == m.options.majorVersion
}

// Sent returns how many bytes of messages were sent.
func (m *Membership) SentBytes() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sentBytes
}

// Names returns the controllers that are there, this one included.
func (m *Membership) Names() (names []string) {
	for _, node := range m.list.Members() {
		names = append(names, node.Name)
	}
	return names
}

// Close leaves gracefully, so that no controller suspects a crash.
func (m *Membership) Close() error {
	m.cancel()
	m.joinLoop.Wait()
	return errors.Join(m.list.Leave(time.Duration(gossip.LeaveTimeout)), m.list.Shutdown())
}

// receive takes an encoded message.
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

// NodeMeta returns what is announced with our name.
func (d *delegate) NodeMeta(int) []byte {
	text, _ := json.Marshal(protocolVersion{d.m.options.majorVersion, MinorVersion}) // two numbers always encode
	return text
}

// NotifyMsg takes a message.
func (d *delegate) NotifyMsg(text []byte) { d.m.receive(text) }

// GetBroadcasts returns nothing: messages are sent one by one.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns our latest message to a controller that joins, which so need not wait for the next one.
func (d *delegate) LocalState(bool) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.latest
}

// MergeRemoteState takes the latest message of a controller.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		d.m.receive(text)
	}
}

// events implements memberlist.EventDelegate.
type events struct{ m *Membership }

// NotifyJoin reports a controller that is there.
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

// NotifyLeave reports a controller that has left.
func (e *events) NotifyLeave(node *memberlist.Node) {
	if node.Name != e.m.options.Name {
		e.m.options.OnChange(node.Name, false)
	}
}

// NotifyUpdate does nothing, as what is announced never changes.
func (e *events) NotifyUpdate(*memberlist.Node) {}

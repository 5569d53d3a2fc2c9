// Package members lets governors find each other and carry news among them, on hashicorp/memberlist: who is there, suspicion and its
// refutation, leaving on purpose, encrypted where a key is set. What news mean is decided in package peers.
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

// Protocol is the version of what governors tell each other: Major.Minor. Another major version is not listened to.
const (
	Major = 1
	Minor = 0
)

// Options say where a governor listens and whom it asks first.
type Options struct {
	Name      string
	Listen    string   // host:port
	Join      []string // host:port of others; any that is up will do
	Key       []byte   // 16, 24 or 32 bytes; nil: not encrypted
	OnMessage func(gossip.Message)
	OnError   func(error) // what can't be read, and from whom
	OnChange  func(name string, here bool)
	major     int // of the protocol, for tests; 0: this program's
}

type meta struct {
	Major int `json:"major"`
	Minor int `json:"minor"`
}

// Membership is one governor's membership.
type Membership struct {
	opt    Options
	list   *memberlist.Memberlist
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	newest []byte // our news, for those that join
	sent   uint64 // bytes of news
}

type delegate struct{ m *Membership }

type events struct{ m *Membership }

// Start listens and begins to look for the others.
func Start(o Options) (*Membership, error) {
	host, port, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("members: port of %q: %w", o.Listen, err)
	}
	if o.major == 0 {
		o.major = Major
	}
	m := &Membership{opt: o}
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.BindAddr, cfg.BindPort, cfg.AdvertiseAddr, cfg.AdvertisePort = o.Name, host, int(n), host, int(n)
	cfg.Delegate, cfg.Events, cfg.SecretKey = &delegate{m}, &events{m}, o.Key
	cfg.DeadNodeReclaimTime = time.Duration(gossip.DeadNodeReclaimTime)
	cfg.Logger = log.New(io.Discard, "", 0) // what matters comes as errors and changes
	if m.list, err = memberlist.Create(cfg); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Add(1)
	go m.join(ctx)
	return m, nil
}

// join asks the configured others until somebody is there, and again whenever nobody is.
func (m *Membership) join(ctx context.Context) {
	defer m.done.Done()
	for {
		if len(m.opt.Join) > 0 && m.list.NumMembers() < 2 {
			_, _ = m.list.Join(m.opt.Join) // nobody there yet is no error
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(gossip.JoinInterval)):
		}
	}
}

// Send sends our news to all that are here. It waits for no one of them.
func (m *Membership) Send(n gossip.Message) {
	text, err := json.Marshal(n)
	if err != nil || len(text) > gossip.MaxMessageSize {
		return // peers bounds what there is to tell
	}
	m.mu.Lock()
	m.newest = text
	m.mu.Unlock()
	limit := make(chan struct{}, gossip.MaxConcurrentSends)
	for _, node := range m.list.Members() {
		if node.Name == m.opt.Name || !m.speaks(node) {
			continue
		}
		m.mu.Lock()
		m.sent += uint64(len(text))
		m.mu.Unlock()
		if len(text) <= gossip.MaxDatagramSize {
			_ = m.list.SendBestEffort(node, text) // the next telling makes up for one that is lost
			continue
		}
		go func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			_ = m.list.SendReliable(node, text)
		}()
	}
}

// speaks tells whether a governor speaks our major version.
func (m *Membership) speaks(node *memberlist.Node) bool {
	var v meta
	return json.Unmarshal(node.Meta, &v) == nil && v.Major == m.opt.major
}

// Sent tells how many bytes of news were sent.
func (m *Membership) Sent() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent
}

// Names gives those that are here, this governor too.
func (m *Membership) Names() (names []string) {
	for _, node := range m.list.Members() {
		names = append(names, node.Name)
	}
	return names
}

// Close leaves on purpose, so that nobody suspects a death.
func (m *Membership) Close() error {
	m.cancel()
	m.done.Wait()
	return errors.Join(m.list.Leave(time.Duration(gossip.LeaveTimeout)), m.list.Shutdown())
}

func (d *delegate) NodeMeta(limit int) []byte {
	text, _ := json.Marshal(meta{d.m.opt.major, Minor})
	return text
}

func (d *delegate) NotifyMsg(text []byte) { d.m.take(text) }

func (m *Membership) take(text []byte) {
	var n gossip.Message
	err := error(nil)
	if len(text) > gossip.MaxMessageSize {
		err = fmt.Errorf("news of %d bytes, %d are the most", len(text), gossip.MaxMessageSize)
	} else if err = json.Unmarshal(text, &n); err == nil {
		err = n.Check()
	}
	if err != nil {
		m.opt.OnError(fmt.Errorf("members: %w", err))
		return
	}
	m.opt.OnMessage(n)
}

func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState goes to one that joins: it need not wait for the next telling.
func (d *delegate) LocalState(bool) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.newest
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		d.m.take(text)
	}
}

func (e *events) NotifyJoin(n *memberlist.Node) {
	if n.Name == e.m.opt.Name {
		return
	}
	e.m.opt.OnChange(n.Name, true)
	if !e.m.speaks(n) {
		e.m.opt.OnError(fmt.Errorf("members: governor %q speaks another version: %.60q; it is told nothing", n.Name, n.Meta))
	}
}

func (e *events) NotifyLeave(n *memberlist.Node) {
	if n.Name != e.m.opt.Name {
		e.m.opt.OnChange(n.Name, false)
	}
}

func (e *events) NotifyUpdate(*memberlist.Node) {}

// Package netlimit bounds what the network connections of a process use together: the bytes that they hold in memory and
// their number. All listeners and links of a process share one Budget, as a limit for each connection alone bounds
// nothing where the number of connections is not bounded.
package netlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// localAddress stands for the address of clients on Unix sockets.
	localAddress = "local"
	// completedResolution is the resolution, in time, of the order in which connections completed their last request.
	completedResolution = 100 * time.Millisecond
)

// Closed describes a connection that a Budget has closed.
type Closed struct {
	Listener string // such as "grpc"
	Address  string // of the client, without the port
	Err      *Error
}

// Statistics are the use of a Budget now, and counts since its creation.
type Statistics struct {
	Bytes                int64
	PeakBytes            int64
	Connections          int
	ClosedForBytes       uint64
	ClosedForConnections uint64
}

// Budget limits the connections of a process. Where they exceed a limit together, it closes connections until they
// don't: for bytes the one that holds the most, for their number one of the address that has the most, which has
// completed no request or whose last request is the longest ago. Its methods are safe for concurrent use. A nil Budget
// has no limits.
type Budget struct {
	limits   Limits
	onClosed func(Closed)
	bytes    atomic.Int64
	peak     atomic.Int64

	mu                   sync.Mutex
	accounts             map[*Account]struct{}
	links                map[*Account]struct{}
	addresses            map[string]*addressAccounts
	closedForBytes       uint64
	closedForConnections uint64
}

// addressAccounts are the connections of one address. Those that have completed a request are ordered by the time of
// their latest one, the others by the time at which they were opened; oldest first.
type addressAccounts struct {
	completed   list.List
	uncompleted list.List
}

func (a *addressAccounts) len() int { return a.completed.Len() + a.uncompleted.Len() }

// leastUseful returns the account to close if the address has too many.
func (a *addressAccounts) leastUseful() *Account {
	if front := a.uncompleted.Front(); front != nil {
		return front.Value.(*Account)
	}
	if front := a.completed.Front(); front != nil {
		return front.Value.(*Account)
	}
	return nil
}

// New returns a budget. OnClosed, which may be nil, is called in a goroutine of its own for each connection that the
// budget closes.
func New(limits Limits, onClosed func(Closed)) *Budget {
	return &Budget{
		limits:    limits,
		onClosed:  onClosed,
		accounts:  map[*Account]struct{}{},
		links:     map[*Account]struct{}{},
		addresses: map[string]*addressAccounts{},
	}
}

// Account holds what one connection uses of a budget. Its methods are safe for concurrent use. A nil Account has no
// effect.
type Account struct {
	budget      *Budget
	listener    string
	address     string
	close       func(*Error)
	bytes       atomic.Int64
	closing     atomic.Bool // the budget closes the connection: its bytes no longer count
	completedAt atomic.Int64

	// The lock of the budget guards these.
	element   *list.Element // nil: the account is closed, or that of a link
	completed bool
}

// Open returns the account of a new connection. Close must end the connection; it is called at most once, in a goroutine
// of its own, with the limit that is exceeded. The caller must call Account.Close when the connection has ended.
func (b *Budget) Open(listener string, remote net.Addr, closeConnection func(*Error)) *Account {
	if b == nil {
		return nil
	}
	account := &Account{budget: b, listener: listener, address: AddressOf(remote), close: closeConnection}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.limits.Connections > 0 && len(b.accounts) >= b.limits.Connections {
		b.closeSurplus(account.address)
	}
	b.accounts[account] = struct{}{}
	of := b.addresses[account.address]
	if of == nil {
		of = &addressAccounts{}
		b.addresses[account.address] = of
	}
	account.element = of.uncompleted.PushBack(account)
	return account
}

// OpenLink returns the account of a connection that this process has opened, as Open does. Its bytes count; it does not
// count in the number of connections, which the settings of the links bound.
func (b *Budget) OpenLink(name string, remote net.Addr, closeConnection func(*Error)) *Account {
	if b == nil {
		return nil
	}
	account := &Account{budget: b, listener: name, address: AddressOf(remote), close: closeConnection}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links[account] = struct{}{}
	return account
}

// closeSurplus closes a connection of the address that has the most, for a new one of the given address. The caller holds
// the lock.
func (b *Budget) closeSurplus(newest string) {
	largest := b.addresses[newest]
	if largest == nil || largest.len()*len(b.addresses) <= len(b.accounts) { // not above the average
		for _, of := range b.addresses {
			if largest == nil || of.len() > largest.len() {
				largest = of
			}
		}
	}
	account := largest.leastUseful()
	b.closedForConnections++
	b.evict(account, &Error{Limit: ConnectionLimit, Max: int64(b.limits.Connections)})
}

// evict removes an account and closes its connection. The caller holds the lock.
func (b *Budget) evict(account *Account, reason *Error) {
	account.closing.Store(true)
	b.bytes.Add(-account.bytes.Swap(0))
	b.remove(account)
	go func() {
		account.close(reason)
		if b.onClosed != nil {
			b.onClosed(Closed{Listener: account.listener, Address: account.address, Err: reason})
		}
	}()
}

// remove removes an account. The caller holds the lock.
func (b *Budget) remove(account *Account) {
	delete(b.links, account)
	if account.element == nil {
		return
	}
	of := b.addresses[account.address]
	if account.completed {
		of.completed.Remove(account.element)
	} else {
		of.uncompleted.Remove(account.element)
	}
	if of.len() == 0 {
		delete(b.addresses, account.address)
	}
	account.element = nil
	delete(b.accounts, account)
}

// Statistics returns the current use and the counts.
func (b *Budget) Statistics() Statistics {
	if b == nil {
		return Statistics{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Statistics{
		Bytes:                b.bytes.Load(),
		PeakBytes:            b.peak.Load(),
		Connections:          len(b.accounts),
		ClosedForBytes:       b.closedForBytes,
		ClosedForConnections: b.closedForConnections,
	}
}

// Add adds bytes that the connection holds, or subtracts them if negative. If all connections together hold too much,
// the one that holds the most is closed.
func (a *Account) Add(bytes int64) {
	if a == nil || bytes == 0 || a.closing.Load() {
		return
	}
	a.bytes.Add(bytes)
	a.budget.changed(bytes)
}

// Set replaces the number of bytes that the connection holds.
func (a *Account) Set(bytes int64) {
	if a == nil || a.closing.Load() {
		return
	}
	if difference := bytes - a.bytes.Swap(bytes); difference != 0 {
		a.budget.changed(difference)
	}
}

// changed handles a change of the bytes of an account.
func (b *Budget) changed(difference int64) {
	total := b.bytes.Add(difference)
	if difference < 0 {
		return
	}
	if b.limits.Bytes > 0 && total > b.limits.Bytes {
		b.closeLargest()
		return
	}
	for peak := b.peak.Load(); total > peak && !b.peak.CompareAndSwap(peak, total); peak = b.peak.Load() {
	}
}

// closeLargest closes the connections that hold the most until the limit of bytes is kept.
func (b *Budget) closeLargest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.bytes.Load() > b.limits.Bytes {
		largest, held := b.largest()
		if largest == nil {
			return
		}
		b.closedForBytes++
		b.evict(largest, &Error{Limit: ByteLimit, Max: b.limits.Bytes, Held: held})
	}
}

// largest returns the account that holds the most, or nil if none holds anything. The caller holds the lock.
func (b *Budget) largest() (largest *Account, held int64) {
	for _, accounts := range []map[*Account]struct{}{b.accounts, b.links} {
		for account := range accounts {
			if bytes := account.bytes.Load(); bytes > held {
				largest, held = account, bytes
			}
		}
	}
	return largest, held
}

// Completed records that the connection has completed a request. Such connections are closed last where there are too
// many.
func (a *Account) Completed() {
	if a == nil {
		return
	}
	now := time.Now().UnixNano()
	if previous := a.completedAt.Load(); previous > 0 && now-previous < int64(completedResolution) {
		return
	}
	a.completedAt.Store(now)
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.element == nil {
		return
	}
	of := a.budget.addresses[a.address]
	if a.completed {
		of.completed.MoveToBack(a.element)
		return
	}
	of.uncompleted.Remove(a.element)
	a.completed = true
	a.element = of.completed.PushBack(a)
}

// Address returns the address of the client, without the port.
func (a *Account) Address() string {
	if a == nil {
		return localAddress
	}
	return a.address
}

// Close ends the account, as its connection has ended. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closing.Store(true)
	a.budget.bytes.Add(-a.bytes.Swap(0))
	a.budget.remove(a)
}

// AddressOf returns the host of an address, and localAddress for a Unix socket or nil.
func AddressOf(remote net.Addr) string {
	if remote == nil {
		return localAddress
	}
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return localAddress
	}
	return host
}

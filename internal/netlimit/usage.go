package netlimit

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Timeouts of connections without progress.
const (
	// RequestTimeout is the time from the first byte of a request to its last one.
	RequestTimeout = 3 * time.Second
	// UnreadTimeout is the time in which a client must read some of what is sent to it.
	UnreadTimeout = 5 * time.Second
	// StallCheckInterval is the interval at which servers check their connections for these timeouts.
	StallCheckInterval = 250 * time.Millisecond
)

// StallError says that a connection made no progress.
type StallError struct {
	Unread  bool // the client reads nothing, or else its request is not complete
	Timeout time.Duration
}

func (e *StallError) Error() string {
	if e.Unread {
		return fmt.Sprintf("no part of an answer was read for %v: connection closed", e.Timeout)
	}
	return fmt.Sprintf("request not complete after %v: connection closed", e.Timeout)
}

// Usage is what one connection holds: received parts of requests, and answers that are not sent yet. It keeps the account
// of the connection up to date. Its methods are safe for concurrent use.
type Usage struct {
	account      *Account
	received     atomic.Int64
	unsent       atomic.Int64
	partialSince atomic.Int64 // Unix time in ns since which the latest request is incomplete; 0: none is
	sentAt       atomic.Int64 // Unix time in ns at which something was sent last, or began to wait
}

// NewUsage returns the usage of a connection.
func NewUsage(account *Account) *Usage { return &Usage{account: account} }

// Account returns the account of the connection.
func (u *Usage) Account() *Account { return u.account }

// Receive sets the number of bytes of requests that are held, and whether the last one is incomplete.
func (u *Usage) Receive(now time.Time, held int, partial bool) {
	u.account.Add(int64(held) - u.received.Swap(int64(held)))
	switch {
	case !partial:
		u.partialSince.Store(0)
	case u.partialSince.Load() == 0:
		u.partialSince.Store(now.UnixNano())
	}
}

// Queue adds bytes that are to be sent. It must be called before they are passed to the connection.
func (u *Usage) Queue(now time.Time, bytes int) {
	if u.unsent.Add(int64(bytes)) == int64(bytes) {
		u.sentAt.Store(now.UnixNano())
	}
	u.account.Add(int64(bytes))
}

// Sent removes bytes that were sent, and returns how many are left.
func (u *Usage) Sent(now time.Time, bytes int) (left int64) {
	u.sentAt.Store(now.UnixNano())
	u.account.Add(-int64(bytes))
	return u.unsent.Add(-int64(bytes))
}

// Unsent returns the number of bytes that are to be sent.
func (u *Usage) Unsent() int64 { return u.unsent.Load() }

// Stalled returns why the connection is to be closed, or nil if it makes progress.
func (u *Usage) Stalled(now time.Time) *StallError {
	if since := u.partialSince.Load(); since > 0 && now.UnixNano()-since >= int64(RequestTimeout) {
		return &StallError{Timeout: RequestTimeout}
	}
	if u.unsent.Load() > 0 && now.UnixNano()-u.sentAt.Load() >= int64(UnreadTimeout) {
		return &StallError{Unread: true, Timeout: UnreadTimeout}
	}
	return nil
}

package netlimit

import (
	"net"
	"sync"
	"time"
)

// interruptDelay is the time to tell a client for which limit its connection is closed.
const interruptDelay = 100 * time.Millisecond

// Listener is a listener whose connections have accounts of a budget.
type Listener struct {
	net.Listener
	budget *Budget
	name   string
}

// NewListener returns a listener that accepts connections of type *Conn from another one. The name identifies it in
// logs.
func NewListener(listener net.Listener, budget *Budget, name string) *Listener {
	return &Listener{Listener: listener, budget: budget, name: name}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn, l.budget, l.name), nil
}

// Conn is a connection with an account.
type Conn struct {
	net.Conn
	Account   *Account
	closeOnce sync.Once
	closeErr  error

	mu          sync.Mutex
	limitError  *Error
	beforeClose func(*Error)
}

// NewConn opens the account of a connection.
func NewConn(conn net.Conn, budget *Budget, name string) *Conn {
	c := &Conn{Conn: conn}
	c.mu.Lock() // the budget may close the connection at once
	defer c.mu.Unlock()
	c.Account = budget.Open(name, conn.RemoteAddr(), c.closeForLimit)
	return c
}

// BeforeClose sets a function that the budget calls before it closes the connection, such as one that tells the client.
// The connection is closed once it returns.
func (c *Conn) BeforeClose(f func(*Error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeClose = f
}

// InterruptBeforeClose makes the budget end a read of the connection before it closes it, and leave those who serve it
// some time to tell the client the LimitError.
func (c *Conn) InterruptBeforeClose() {
	c.BeforeClose(func(*Error) {
		_ = c.SetReadDeadline(time.Now()) // fails only on a closed connection
		time.Sleep(interruptDelay)
	})
}

// LimitError returns the limit for which the budget closes the connection, or nil.
func (c *Conn) LimitError() *Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limitError
}

func (c *Conn) closeForLimit(reason *Error) {
	c.mu.Lock()
	c.limitError = reason
	beforeClose := c.beforeClose
	c.mu.Unlock()
	if beforeClose != nil {
		beforeClose(reason)
	}
	_ = c.Close()
}

// Close closes the connection and its account.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.Account.Close()
	})
	return c.closeErr
}

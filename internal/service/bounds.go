package service

import "time"

// Timeouts and sizes of the protocols, at both ends. They are here because a protocol's package decides nothing.
const (
	MaxRequestSize     = 1 << 20          // bytes of a query: a report of 4,096 servers takes some 300 kB
	MaxAnswerSize      = 16 << 20         // bytes of an answer: 20,000 servers in 16 classes
	MaxUnsentBytes     = 64 << 20         // bytes that wait for one reader
	MaxStreams         = 2048             // of one connection
	MaxPendingRequests = 64               // queries of a connection that wait for their answers
	ConnectTimeout     = 10 * time.Second // for the handshake of a connection
	IdleTimeout        = 10 * time.Minute // of a connection without a query
	RequestTimeout     = 3 * time.Second  // for a query to the controller's loop: longer than the service gives it
	PingInterval       = 5 * time.Second  // of silence on a connection that has streams
	PingTimeout        = 3 * time.Second
)

package service

import "time"

// Bounds of the wires' patience and sizes, at both ends. They stand here because a wire decides nothing.
const (
	MaxRequestSize     = 1 << 20          // bytes of a question: a batch of 4,096 servers takes some 300 kB
	MaxAnswerSize      = 16 << 20         // bytes of an answer: 20,000 servers in 16 classes
	MaxUnsentBytes     = 64 << 20         // bytes that wait for one reader
	MaxStreams         = 2048             // of one connection
	MaxPendingRequests = 64               // questions of a connection that wait for their answers
	ConnectTimeout     = 10 * time.Second // for a connection to become one of its protocol
	IdleTimeout        = 10 * time.Minute // a connection without a question
	RequestTimeout     = 3 * time.Second  // for a question to the governor's loop, on the wire: longer than the service gives it
	PingInterval       = 5 * time.Second  // of silence on a connection that has streams
	PingTimeout        = 3 * time.Second
)

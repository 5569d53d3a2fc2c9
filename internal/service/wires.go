package service

import "time"

// Bounds of the wires' patience and sizes, at both ends. They stand here because a wire decides nothing.
const (
	RequestMost   = 1 << 20          // bytes of a question: a batch of 4,096 servers takes some 300 kB
	AnswerMost    = 16 << 20         // bytes of an answer: 20,000 servers in 16 classes
	UnsentMost    = 64 << 20         // bytes that wait for one reader
	StreamsMost   = 2048             // of one connection
	AskedMost     = 64               // questions of a connection that wait for their answers
	ConnectWithin = 10 * time.Second // for a connection to become one of its protocol
	IdleMost      = 10 * time.Minute // a connection without a question
	AskWithin     = 3 * time.Second  // for a question to the governor's loop, on the wire: longer than the service gives it
	PingAfter     = 5 * time.Second  // of silence on a connection that has streams
	PingWithin    = 3 * time.Second
)

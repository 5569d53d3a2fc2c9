package service

import "time"

// Limits and timeouts of both protocols, used by controllers and clients. They are declared here because packages rpc
// and text only translate and make no decisions.
const (
	MaxRequestSize     = 1 << 20          // bytes of a request; a report of 4,096 servers takes about 300 kB
	MaxHeaderListSize  = 8 << 10          // bytes of the header fields of a gRPC request, each counted with 32 more
	MaxAnswerSize      = 16 << 20         // bytes of an answer; enough for 20,000 servers in 16 classes
	MaxUnsentBytes     = 64 << 20         // bytes buffered for one connection that reads slowly
	MaxStreams         = 2048             // concurrent gRPC streams of one connection
	MaxPendingRequests = 64               // commands of one connection that are not answered yet
	ConnectTimeout     = 10 * time.Second // for the connection handshake
	IdleTimeout        = 10 * time.Minute // after which a connection without requests is closed
	RequestTimeout     = 3 * time.Second  // for one request; longer than queryTimeout, so that the service answers first
	// RejectionDelay is the time from a rejected request to the next one of its connection. Without it, one that sends at
	// full speed would take the time of the others.
	RejectionDelay = 20 * time.Millisecond
	// ClientDialTimeout bounds an attempt of a client to connect to a controller, without the handshake. While the
	// network is cut none succeeds, and one that began in the cut delays the next.
	ClientDialTimeout = 500 * time.Millisecond
	PingInterval      = 5 * time.Second // of silence before a keepalive ping; clients ping only while they have streams
	PingTimeout       = 3 * time.Second // for the answer to a ping, before the connection is closed
)

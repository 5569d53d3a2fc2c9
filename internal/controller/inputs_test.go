package controller

import (
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// connected returns the input for a proxy that connects with its first stream.
func connected(proxy fleet.ProxyID, snapshot reconcile.Snapshot) Input {
	return TransportEvent{transport.Connected{Proxy: proxy, Stream: 1, Snapshot: snapshot}}
}

// answered returns the input for a proxy that has applied all changes of a message.
func answered(m reconcile.Message) Input {
	return TransportEvent{transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence}}
}

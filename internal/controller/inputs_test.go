package controller

import (
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// connected is the input by which a proxy connects with its first stream.
func connected(proxy fleet.ProxyID, snapshot reconcile.Snapshot) Input {
	return TransportEvent{transport.Connected{Proxy: proxy, Stream: 1, Snapshot: snapshot}}
}

// answered is the input by which a proxy answers all of a message.
func answered(m reconcile.Message) Input {
	return TransportEvent{transport.Answered{Proxy: m.Proxy, Stream: 1, Sequence: m.Sequence}}
}

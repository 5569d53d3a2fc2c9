package discovery

import (
	"context"
	"net"
)

// SetDial makes the source use another network.
func (p *PlatformSource) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	p.dial = dial
}

package haproxy

import (
	"testing"

	"cressknot/internal/balancer"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

// Guards against a drain that is missed after an outage of the network to a proxy: an attempt to connect that began in
// the outage, the delay after it and the delivery of a withdrawal must fit in the drain timeout.
func TestReconnectionFitsInDrainTimeout(t *testing.T) {
	for drainTimeout := 2 * fleet.Second; drainTimeout <= 5*fleet.Second; drainTimeout += fleet.Second / 2 {
		site := fleet.Site{ // the channel of the default settings; withdrawals overtake what waits in it
			DrainTimeout:     drainTimeout,
			EntriesPerSecond: 15000,
			MaxBacklog:       30000,
			MessageWindow:    10 * fleet.Second,
			MaxUpdateDelay:   500 * fleet.Millisecond,
			MaxPollInterval:  10 * fleet.Second,
		}
		sum := reconcile.ConnectTimeout + balancer.MaxRetryInterval(&site) + site.MaxUpdateDelay
		if sum >= drainTimeout {
			t.Errorf("%.2f s after an outage, want less than the drain timeout of %.1f s", sum.Seconds(), drainTimeout.Seconds())
		}
	}
}

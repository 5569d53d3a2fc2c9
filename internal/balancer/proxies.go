package balancer

import (
	"slices"

	"cressknot/internal/fleet"
)

type proxyState struct {
	id                                 fleet.ProxyID
	partition                          int              // the tables that it goes by
	expectedRate, reportedExpectedRate float64          // visits a second, as told when it joined; the same once it was heard of
	assignedTables                     []int            // by class: its table of ours, -1: none yet
	outOfSync                          bool             // is not on the tables it should be on, or nobody knows whether it is
	assignmentUnconfirmed              bool             // nobody knows whether it was bound
	withdrawalsRepeated                bool             // has had to wait, and hears of earlier withdrawals
	joinedAt                           fleet.Time       // when it joined
	demandSamples                      [][]reportSample // by class
}

func (g *Balancer) removeProxy(id fleet.ProxyID) {
	delete(g.proxies.byID, id)
	g.proxies.all = slices.DeleteFunc(g.proxies.all, func(p *proxyState) bool { return p.id == id })
}

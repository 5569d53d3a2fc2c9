package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

// peerCommands are those about other controllers.
func peerCommands() []command {
	return []command{
		{
			words:  []string{"show", "members"},
			help:   "[proxies]: governors that share the proxies, and who serves which",
			handle: (*query).showMembers,
		},
		{
			words:  []string{"show", "peers"},
			help:   "other governors that are heard, and what their news change",
			handle: (*query).showPeers,
		},
		{
			words:  []string{"take"},
			help:   "<proxy> on|off: have a proxy by hand, whoever should by the plan, or end that",
			handle: (*query).takeProxy,
		},
		{
			words:  []string{"retire"},
			help:   "on|off: hand all proxies on to other governors, or take its part again",
			handle: (*query).retire,
		},
	}
}

const errNotShared = commandError("This governor shares its proxies with no other one.\n")

// holderSummary is what the leases at the proxies show of a controller.
type holderSummary struct {
	proxies       int
	lastHeartbeat fleet.Time
}

// formatHolder gives the name and the age of the heartbeat of a lease holder; "" is nobody.
func (q *query) formatHolder(name string, lastHeartbeat fleet.Time) (shownName, age string) {
	if name == "" {
		return "(nobody)", "-"
	}
	return name, fmt.Sprintf("%.1f", (q.now - lastHeartbeat).Seconds())
}

// showMembers lists which controllers serve how many proxies, as the proxies say.
func (q *query) showMembers() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	holders := q.loop.leases.Holders()
	q.now = q.loop.Now() // heartbeats may have been seen since
	byName := map[string]holderSummary{}
	for _, h := range holders {
		summary := byName[h.Controller]
		summary.proxies++
		summary.lastHeartbeat = max(summary.lastHeartbeat, h.LastHeartbeat)
		byName[h.Controller] = summary
	}
	var b strings.Builder
	b.WriteString("# governor proxies beat_age_s\n")
	for _, controller := range slices.Sorted(maps.Keys(byName)) {
		name, age := q.formatHolder(controller, byName[controller].lastHeartbeat)
		if controller == q.loop.name {
			name += "(this)"
		}
		fmt.Fprintf(&b, "%s %d %s\n", name, byName[controller].proxies, age)
	}
	if q.hasOption("proxies") {
		b.WriteString("# proxy governor epoch beat_age_s steered_here\n")
		for _, h := range holders {
			name, age := q.formatHolder(h.Controller, h.LastHeartbeat)
			proxy := q.core.proxies.configured[h.Proxy].Name
			fmt.Fprintf(&b, "%s %s %d %s %v\n", proxy, name, h.Epoch, age, h.Own)
		}
	}
	return b.String(), nil
}

// retire is "retire on|off": it hands all proxies on, or takes this controller's part again.
func (q *query) retire() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	on, ok := q.switchAt(0)
	if !ok {
		return "", commandError("'retire' expects on or off.\n")
	}
	q.loop.leases.Retire(on)
	if on {
		return "Hands its proxies on; 'show members' tells how far that is.\n", nil
	}
	return "Takes its part of the proxies again.\n", nil
}

// takeProxy is "take <proxy> on|off": it moves a proxy to this controller by hand, or ends that.
func (q *query) takeProxy() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	on, ok := q.switchAt(1)
	if !ok {
		return "", commandError("'take' expects a proxy's name, and on or off.\n")
	}
	for id, p := range q.core.proxies.configured {
		if p.Name != q.args[0] || !q.loop.leases.Take(id, on) {
			continue
		}
		if on {
			return answerf("Asks for it; it is this governor's until 'take %s off', or a restart.\n", p.Name)
		}
		return "It goes where the plan has it.\n", nil
	}
	return "", refusef("Refused: %.80q is no proxy that is shared.\n", q.args[0])
}

func (q *query) showPeers() (string, error) {
	peers := q.core.gossip.peers
	if peers == nil {
		return "", commandError("No peers are heard.\n")
	}
	var b strings.Builder
	b.WriteString("# governor age_s list_rev live tells_of list_ahead\n")
	for _, p := range peers.Peers(q.now) {
		fmt.Fprintf(&b, "%s %.1f %d %v %d %v\n",
			p.Controller, p.Age.Seconds(), p.ListRevision, p.Live, p.Servers, p.Ahead)
	}
	fmt.Fprintf(&b, "# %d servers count as peers say; %d news refused, %d old\n",
		peers.OverrideCount(), peers.Invalid, peers.Outdated)
	return b.String(), nil
}

package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

// peerCommands returns the commands about other controllers and the proxies shared with them.
func peerCommands() []command {
	return []command{
		{
			words:  []string{"show", "members"},
			help:   "[proxies]: controllers that share the proxies, and which one serves each",
			handle: (*query).showMembers,
		},
		{
			words:  []string{"show", "peers"},
			help:   "other controllers whose gossip is received, and how many servers it overrides",
			handle: (*query).showPeers,
		},
		{
			words:  []string{"take"},
			help:   "<proxy> on|off: assign a proxy to this controller regardless of the plan, or end that",
			handle: (*query).takeProxy,
		},
		{
			words:  []string{"retire"},
			help:   "on|off: hand all proxies over to other controllers, or take proxies again",
			handle: (*query).retire,
		},
	}
}

// errNotShared answers commands about shared proxies where this controller shares none.
const errNotShared = commandError("This controller does not share its proxies (setting sharing.governors).\n")

// holderSummary sums up the leases that one controller holds.
type holderSummary struct {
	proxies       int
	lastHeartbeat fleet.Time // the newest of all its leases
}

// formatHolder returns the name of a lease holder and the age of its heartbeat in seconds. The name "" stands for a
// lease without holder.
func (q *query) formatHolder(name string, lastHeartbeat fleet.Time) (shownName, age string) {
	if name == "" {
		return "(nobody)", "-"
	}
	return name, fmt.Sprintf("%.1f", (q.now - lastHeartbeat).Seconds())
}

// showMembers lists how many proxies each controller serves, by the leases that were last read at the proxies.
func (q *query) showMembers() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	holders := q.loop.leases.Holders()
	q.now = q.loop.Now() // a heartbeat seen since the command began would have a negative age
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

// retire handles "retire on|off": the controller hands its proxies over to others, or takes proxies again.
func (q *query) retire() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	on, ok := q.parseOnOff(0)
	if !ok {
		return "", commandError("'retire' expects 'on' or 'off'.\n")
	}
	q.loop.leases.Retire(on)
	if on {
		return "Handing all proxies over to other controllers; 'show members' shows how many are left.\n", nil
	}
	return "Taking proxies again; 'show members' shows how many this controller serves.\n", nil
}

// takeProxy handles "take <proxy> on|off": the controller requests a proxy's lease whatever its rank, or ends that.
func (q *query) takeProxy() (string, error) {
	if q.loop.leases == nil {
		return "", errNotShared
	}
	on, ok := q.parseOnOff(1)
	if !ok {
		return "", commandError("'take' expects a proxy name, and 'on' or 'off'.\n")
	}
	for id, p := range q.core.proxies.configured {
		if p.Name != q.args[0] || !q.loop.leases.Take(id, on) {
			continue
		}
		if on {
			return answerf("Requested proxy %s for this controller until 'take %s off' or a restart; "+
				"'show members proxies' shows who serves it.\n", p.Name, p.Name)
		}
		return answerf("Proxy %s is assigned by the plan again.\n", p.Name)
	}
	return "", commandErrorf("Refused: %.80q is not a shared proxy; 'show members proxies' lists them.\n", q.args[0])
}

func (q *query) showPeers() (string, error) {
	peers := q.core.gossip.peers
	if peers == nil {
		return "", commandError("Gossip with other controllers is off (setting peers.listen).\n")
	}
	var b strings.Builder
	b.WriteString("# governor age_s list_rev live tells_of list_ahead\n")
	for _, p := range peers.Peers(q.now) {
		fmt.Fprintf(&b, "%s %.1f %d %v %d %v\n",
			p.Controller, p.Age.Seconds(), p.ListRevision, p.Live, p.Servers, p.Ahead)
	}
	fmt.Fprintf(&b, "# %d servers overridden by peers; %d invalid and %d outdated messages ignored\n",
		peers.OverrideCount(), peers.Invalid, peers.Outdated)
	return b.String(), nil
}

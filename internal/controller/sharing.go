package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
)

// member is what is seen of a governor at the proxies.
type member struct {
	holds int
	moved fleet.Time // when a beat of it was seen last
}

// showMembers tells which governors serve how many proxies, as the proxies say.
func (o *Operators) showMembers(c *Core, args []string) string {
	if o.loop.sharing == nil {
		return "This governor shares its proxies with no other one.\n"
	}
	holders := o.loop.sharing.Holders()
	now := o.loop.now()
	of := map[string]*member{}
	for _, h := range holders {
		m := of[h.Controller]
		if m == nil {
			m = &member{}
			of[h.Controller] = m
		}
		m.holds++
		m.moved = max(m.moved, h.LastHeartbeat)
	}
	var b strings.Builder
	b.WriteString("# governor proxies beat_age_s\n")
	for _, g := range slices.Sorted(maps.Keys(of)) {
		name, age := g, "-"
		if g == "" {
			name = "(nobody)"
		} else {
			age = fmt.Sprintf("%.1f", (now - of[g].moved).Seconds())
		}
		if g == o.loop.name {
			name += "(this)"
		}
		fmt.Fprintf(&b, "%s %d %s\n", name, of[g].holds, age)
	}
	if len(args) == 1 && strings.TrimLeft(args[0], "-") == "proxies" {
		b.WriteString("# proxy governor epoch beat_age_s steered_here\n")
		for _, h := range holders {
			governor, age := h.Controller, "-"
			if governor == "" {
				governor = "(nobody)"
			} else {
				age = fmt.Sprintf("%.1f", (now - h.LastHeartbeat).Seconds())
			}
			fmt.Fprintf(&b, "%s %s %d %s %v\n", c.proxies[h.Proxy].Name, governor, h.Epoch, age, h.Own)
		}
	}
	return b.String()
}

// retire hands all proxies on, or takes its part again.
func (o *Operators) retire(c *Core, args []string) string {
	if o.loop.sharing == nil {
		return "This governor shares its proxies with no other one.\n"
	}
	if len(args) != 1 || args[0] != "on" && args[0] != "off" {
		return "'retire' expects on or off.\n"
	}
	o.loop.sharing.Retire(args[0] == "on")
	if args[0] == "on" {
		return "Hands its proxies on; 'show members' tells how far that is.\n"
	}
	return "Takes its part of the proxies again.\n"
}

// take moves a proxy to this governor by hand, or ends that.
func (o *Operators) take(c *Core, args []string) string {
	if o.loop.sharing == nil {
		return "This governor shares its proxies with no other one.\n"
	}
	if len(args) != 2 || args[1] != "on" && args[1] != "off" {
		return "'take' expects a proxy's name, and on or off.\n"
	}
	for id, p := range c.proxies {
		if p.Name == args[0] && o.loop.sharing.Take(id, args[1] == "on") {
			if args[1] == "on" {
				return "Asks for it; it is this governor's until 'take " + p.Name + " off', or a restart.\n"
			}
			return "It goes where the plan has it.\n"
		}
	}
	return fmt.Sprintf("Refused: %.80q is no proxy that is shared.\n", args[0])
}

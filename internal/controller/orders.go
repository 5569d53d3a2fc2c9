package controller

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"cressknot/internal/fleet"
)

// serverIDInText finds the ids of servers in the balancer's log messages: it knows no names.
var serverIDInText = regexp.MustCompile(`\bserver (\d+)\b`)

// applyOrders hands the balancer's orders to where they are carried out.
func (c *Core) applyOrders(now fleet.Time, orders []fleet.Order, out *Output) {
	for _, order := range orders {
		if c.applyOrder(now, order, out) {
			c.history.addOrder(now, c.formatOrder(order))
		}
	}
	if c.faults[FaultUnboundedSlowStart] {
		orders = c.unboundSlowStart(now, slices.Clone(orders))
	}
	c.reconciler.Apply(now, orders)
}

// applyOrder carries out what of an order is not the reconciler's; shown reports whether "show orders" prints it.
func (c *Core) applyOrder(now fleet.Time, order fleet.Order, out *Output) (shown bool) {
	switch order := order.(type) {
	case fleet.SetTimer:
		c.timers = append(c.timers, timer{now + order.Delay, order.ID})
		return false
	case fleet.ProbeServer:
		out.Probes = append(out.Probes, order.Server)
		return false
	case fleet.Barrier:
		return false
	case fleet.LogMessage:
		c.log(out, LogEntry{now, LevelInfo, "module", c.nameServers(order.Text)})
	case fleet.WatchEndpoints:
		out.WatchEndpoints = &order.Enabled
	case fleet.FetchEndpoints:
		out.FetchEndpoints = true
	case fleet.WithdrawServer:
		c.published.changed = true
	}
	return true
}

// nameServers puts the names of servers in place of their ids.
func (c *Core) nameServers(text string) string {
	return serverIDInText.ReplaceAllStringFunc(text, func(match string) string {
		id, _ := strconv.ParseUint(match[len("server "):], 10, 32) // the expression matches digits alone
		return "server " + c.serverName(fleet.ServerID(id))
	})
}

// unboundedSlowStartFactor is how many times the highest weight of its table a server in slow start gets by
// FaultUnboundedSlowStart.
const unboundedSlowStartFactor = 8

// unboundSlowStart gives servers that are warming up high weights, as a balancer without a limit on them would.
func (c *Core) unboundSlowStart(now fleet.Time, orders []fleet.Order) []fleet.Order {
	highest := map[fleet.TableID]float32{}
	for _, entry := range c.reconciler.Entries() {
		highest[entry.Table] = max(highest[entry.Table], float32(entry.Weight))
	}
	for i, order := range orders {
		if set, ok := order.(fleet.SetWeight); ok && c.warmingUp(now, set.Server) {
			set.Weight = max(highest[set.Table], 1) * unboundedSlowStartFactor
			orders[i] = set
		}
	}
	return orders
}

// formatOrder gives the text of an order for "show orders", which operators' scripts read: it never changes.
func (c *Core) formatOrder(order fleet.Order) string {
	switch o := order.(type) {
	case fleet.SetWeight:
		return fmt.Sprintf("share table=%d server=%s weight=%.4g", o.Table, c.serverName(o.Server), o.Weight)
	case fleet.WithdrawServer:
		return fmt.Sprintf("withdraw server=%s out=%v", c.serverName(o.Server), o.Withdrawn)
	case fleet.AssignTable:
		return fmt.Sprintf("bind proxy=%s table=%d classes=%#x", c.proxies.configured[o.Proxy].Name, o.Table, o.Classes)
	case fleet.SetAdmission:
		return fmt.Sprintf("level table=%d classes=%#x amount=%.4g retry=%d", o.Table, o.Classes, o.Limit, o.Retry)
	case fleet.LogMessage:
		return "log " + o.Text
	case fleet.SetTimer:
		return fmt.Sprintf("fleet.SetAlarm {After:%d ID:%d}", o.Delay, o.ID)
	case fleet.ProbeServer:
		return fmt.Sprintf("fleet.Probe {Server:%d}", o.Server)
	case fleet.SendToPeer:
		return fmt.Sprintf("fleet.Tell {To:%d Data:%d}", o.To, o.Data)
	case fleet.WatchEndpoints:
		return fmt.Sprintf("fleet.Watch {On:%v}", o.Enabled)
	case fleet.FetchEndpoints:
		return "fleet.Fetch {}"
	case fleet.ClearTable:
		return fmt.Sprintf("fleet.Clear {Table:%d}", o.Table)
	case fleet.Barrier:
		return fmt.Sprintf("fleet.Mark {ID:%d All:%v}", o.ID, o.AllProxies)
	}
	return ""
}

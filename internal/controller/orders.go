package controller

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"cressknot/internal/fleet"
)

// serverIDInText matches the server ids in the balancer's log messages: the balancer does not know servers by name.
var serverIDInText = regexp.MustCompile(`\bserver (\d+)\b`)

// applyOrders carries out the balancer's orders and records them for "show orders".
func (c *Core) applyOrders(now fleet.Time, orders []fleet.Order, out *Output) {
	for _, order := range orders {
		if c.applyOrder(now, order, out) {
			c.history.addOrder(now, c.formatOrder(order))
		}
	}
	if c.faults[FaultUnboundedSlowStart] {
		orders = c.applySlowStartFault(now, slices.Clone(orders))
	}
	c.reconciler.Apply(now, orders)
}

// applyOrder carries out the part of an order that is not left to the reconciler. It returns whether "show orders"
// prints the order.
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
		c.log(out, LogEntry{now, LevelInfo, "module", c.replaceServerIDs(order.Text)})
	case fleet.WatchEndpoints:
		out.WatchEndpoints = &order.Enabled
	case fleet.FetchEndpoints:
		out.FetchEndpoints = true
	case fleet.WithdrawServer:
		c.published.changed = true
	}
	return true
}

// replaceServerIDs replaces the server ids in a text by the servers' names.
func (c *Core) replaceServerIDs(text string) string {
	return serverIDInText.ReplaceAllStringFunc(text, func(match string) string {
		id, _ := strconv.ParseUint(match[len("server "):], 10, 32) // the expression matches only digits
		return "server " + c.serverName(fleet.ServerID(id))
	})
}

// slowStartFaultFactor is the weight that FaultUnboundedSlowStart gives a server in slow start, as a multiple of the
// highest weight in its table.
const slowStartFaultFactor = 8

// applySlowStartFault simulates a balancer that does not limit the weights of servers in slow start: it raises the
// weights that the orders give them.
func (c *Core) applySlowStartFault(now fleet.Time, orders []fleet.Order) []fleet.Order {
	highest := map[fleet.TableID]float32{}
	for _, entry := range c.reconciler.Entries() {
		highest[entry.Table] = max(highest[entry.Table], float32(entry.Weight))
	}
	for i, order := range orders {
		if set, ok := order.(fleet.SetWeight); ok && c.warmingUp(now, set.Server) {
			set.Weight = max(highest[set.Table], 1) * slowStartFaultFactor
			orders[i] = set
		}
	}
	return orders
}

// formatOrder returns the text of an order for "show orders", "" for an unknown kind. Operators' scripts parse the
// texts, so they never change.
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

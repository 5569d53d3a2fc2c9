// Package fleet defines the domain types that the balancer and its hosts share: identifiers, time, the site's
// settings, the events that the balancer consumes and the orders that it produces. It performs no I/O and takes no
// decision.
//
// The JSON tags of events, orders and Site are the format of recorded event logs. They never change.
package fleet

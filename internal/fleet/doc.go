// Package fleet defines the domain types that the balancer and its hosts share: identifiers, time, the settings of a
// site, the events that the balancer consumes and the orders that it emits. It performs no I/O and takes no decision.
//
// The JSON tags of events, orders and Site are the format of recorded event logs and must not change.
package fleet
